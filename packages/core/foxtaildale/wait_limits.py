"""How long a request may wait for a placement, and how much memory it reserves.

The limits are made for bursts of twice the usual traffic, in which the memory
of the decode workers is full for seconds. A placement at a decode worker is
certain before the prompt is prefilled, since a prefilled prompt lives for half
a second and its prefill is wasted if it finds no placement.
"""

from typing import Final

from foxtaildale import forwarding
from foxtaildale import routes

# Tokens in one block of memory; engines allocate memory in blocks.
BLOCK_TOKENS: Final = 16
# Reserved output without a plan, as a multiple of the expected output.
# Reserving the maximum output would leave half of the memory unused; with less
# than the expected output, requests outgrow their reservations and others are
# preempted.
RESERVED_OUTPUT_RATIO: Final = 1.25
# Maximum wait for a placement: this many times the target, and at least this
# long, seconds. The caller of a stream disconnects after a silence of two
# seconds, or of four times the target for the first event if that is longer.
# The limits leave time for the prefill and the first event.
MAX_WAIT_TARGETS: Final = 2.6
MIN_PATIENCE_S: Final = 1.4
# The same for a retry. A caller does not retry a second time, so its request
# waits for almost as long as the caller does; the rest is for the first event.
RETRY_MAX_WAIT_TARGETS: Final = 3.4
RETRY_MIN_PATIENCE_S: Final = 1.7
# Part of the target after which a waiting request counts as late, until the
# time of a prefill is known; the prefill and the transfer take the rest.
LATE_TARGET_FRACTION: Final = 0.8
# Time set aside for the prefill, as a multiple of its mean, and for the network
# delay and the first token, seconds.
PREFILL_MARGIN: Final = 1.3
FIRST_TOKEN_S: Final = 0.05
# Error factor of the estimated wait while a burst begins or ends. A request is
# refused early only if its estimated wait exceeds its limit by more than this.
WAIT_ERROR_FACTOR: Final = 1.3
# A response may finish in this part of its estimated time. Two of three length
# estimates are within a factor of 1.5 to either side, so one response in ten
# needs less than this part.
MIN_DURATION_FRACTION: Final = 0.6
# A response may take this multiple of its estimated time. Two of three length
# estimates are within a factor of 1.5 to either side, so few responses need
# more.
MAX_DURATION_FACTOR: Final = 2.5
# Maximum lifetime of a reservation, seconds; a prefill that takes longer has
# failed.
MAX_RESERVATION_S: Final = 2.0


def reserved_tokens(call: forwarding.CallerRequest) -> int:
    """Returns the KV memory that a request grows to, tokens."""
    expected = call.hinted_tokens or call.output_tokens
    output = min(call.output_tokens, int(expected * RESERVED_OUTPUT_RATIO))
    total = call.prompt_tokens + output
    return -(-total // BLOCK_TOKENS) * BLOCK_TOKENS


def patience_s(route: routes.Route, *, is_retry: bool = False) -> float:
    """Returns how long a request may wait for a placement, seconds.

    Args:
        route: Route of the request.
        is_retry: Whether it is the retry of a refused request.
    """
    if is_retry:
        return max(
            RETRY_MIN_PATIENCE_S, RETRY_MAX_WAIT_TARGETS * route.target_s
        )
    return max(MIN_PATIENCE_S, MAX_WAIT_TARGETS * route.target_s)


def exceeds_patience(wait_s: float, patience_s: float) -> bool:
    """Whether a request is refused now rather than after its maximum wait.

    The sooner a caller gets the refusal, the more of its time is left for a
    retry when the burst is over.

    Args:
        wait_s: Estimated wait from now on, seconds.
        patience_s: How long it may still wait, seconds.
    """
    return wait_s > WAIT_ERROR_FACTOR * patience_s


def cannot_finish(estimated_s: float, left_s: float) -> bool:
    """Whether a response will hardly finish before its caller disconnects.

    A response that is cut off at its caller's deadline has used memory for
    longer than most, and its result is wasted. Refused at once, it costs
    nothing.

    Args:
        estimated_s: Estimated time of prefill and decode, seconds.
        left_s: How long the caller still waits, seconds.
    """
    return MIN_DURATION_FRACTION * estimated_s > left_s


def may_outlast(estimated_s: float, longest_s: float, left_s: float) -> bool:
    """Whether a response may last longer than the process that relays it.

    Another VM has the time for it.

    Args:
        estimated_s: Estimated time of prefill and decode, seconds.
        longest_s: The same for the maximum output, seconds.
        left_s: Time until the process ends, seconds.
    """
    return min(longest_s, MAX_DURATION_FACTOR * estimated_s) > left_s


def misses_target(
    age_s: float, target_s: float, mean_prefill_s: float = 0.0
) -> bool:
    """Whether a request can no longer meet its target for the first event.

    Requests that can still meet it go first: serving a late one before them
    makes two late.

    Args:
        age_s: Time since the request arrived, seconds.
        target_s: Its target, seconds.
        mean_prefill_s: Mean time from a placement to the end of its prefill,
            seconds; 0 if not known.
    """
    if not mean_prefill_s:
        return age_s > LATE_TARGET_FRACTION * target_s
    return age_s > target_s - PREFILL_MARGIN * mean_prefill_s - FIRST_TOKEN_S
