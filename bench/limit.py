"""Upper limits: what no policy can pass.

The planner is clairvoyant: it knows every length, pools all prefill workers
into one and all slots into one, moves KV cache in no time but a transfer's
own, starts each prefill just in time, and prefills nothing in vain. It serves
first come first served, as the product does. The bound on paper may also pick
short requests over long ones, which the product does not: lengths of answers
are not known beforehand, and a refusal for a long prompt alone would be hard
to explain.
"""

import heapq

from bench import workload


def planner(dep: workload.Deployment, arrivals: list[workload.Arrival]) -> int:
    """Returns how many answers the clairvoyant planner gives in time."""
    slots = [0.0] * (dep.decodes * workload.SLOTS)
    prefill_free = 0.0
    good = 0
    for arrival in arrivals:
        tokens = arrival.prompt - arrival.prefix_tokens
        pooled = tokens / (workload.PREFILL_RATE * dep.prefills)
        alone = tokens / workload.PREFILL_RATE
        transfer = arrival.prompt / workload.LINK_RATE
        ready = max(arrival.at + alone, prefill_free + pooled)
        began = max(ready, slots[0])
        token_s = workload.step_s(_batch(slots, began, dep))
        if began + transfer + token_s - arrival.at > dep.first_answer_s:
            continue
        answer_s = arrival.answer * token_s
        whole_at = began + transfer + answer_s
        if (
            arrival.leaves_after
            and whole_at - arrival.at > arrival.leaves_after
        ):
            continue
        prefill_free = max(prefill_free, arrival.at) + pooled
        heapq.heapreplace(slots, whole_at)
        good += 1
    return good


def _batch(slots: list[float], now: float, dep: workload.Deployment) -> float:
    """Returns the mean batch size at a time, this request included."""
    return (sum(end > now for end in slots) + 1) / dep.decodes


def bound(
    dep: workload.Deployment,
    arrivals: list[workload.Arrival],
    length_s: float,
) -> int:
    """Returns how many answers fit the workers when short ones are picked.

    Each resource alone gives a bound; the smaller one holds. Work may run on
    after the last arrival until the last answer that is still in time.
    """
    end = length_s + dep.first_answer_s
    tokens_s = workload.SLOTS / workload.step_s(workload.SLOTS)
    longest = max((a.answer for a in arrivals), default=0)
    decode_end = end + longest * workload.step_s(workload.SLOTS)
    decode = _fit(
        [a.answer for a in arrivals], dep.decodes * tokens_s * decode_end
    )
    prefill = _fit(
        [a.prompt - a.prefix_tokens for a in arrivals],
        dep.prefills * workload.PREFILL_RATE * end,
    )
    return min(decode, prefill)


def _fit(costs: list[int], budget: float) -> int:
    """Returns how many of the cheapest fit a budget."""
    fitted = 0
    for cost in sorted(costs):
        budget -= cost
        if budget < 0:
            break
        fitted += 1
    return fitted
