"""Estimates of prefill speed, separate from the time spent elsewhere."""

import random

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import prefill_speed
from foxtaildale import prefills

_TOKENS_PER_S = 33_000.0
_NETWORK_DELAY_S = 0.065


def _duration_s(prompt: int, rng: random.Random) -> float:
    return _NETWORK_DELAY_S + prompt / _TOKENS_PER_S + rng.uniform(0.0, 0.004)


def test_prefill_speed_and_network_delay_are_estimated_apart() -> None:
    rng = random.Random(5)
    estimate = prefill_speed.PrefillSpeed()
    for _ in range(40):
        prompt = rng.randrange(600, 6600)
        estimate.record(prompt, _duration_s(prompt, rng), alone=True)
    assert abs(estimate.tokens_per_s - _TOKENS_PER_S) < 0.05 * _TOKENS_PER_S
    assert abs(estimate.overhead_s - _NETWORK_DELAY_S) < 0.01


def test_prompts_of_one_length_leave_the_delay_unchanged() -> None:
    estimate = prefill_speed.PrefillSpeed()
    for _ in range(40):
        estimate.record(3000, 0.15, alone=True)
    assert estimate.overhead_s == prefill_speed.INITIAL_OVERHEAD_S
    assert (
        20_000.0 <= estimate.tokens_per_s <= prefill_speed.INITIAL_TOKENS_PER_S
    )


def test_queueing_of_prompts_does_not_count_as_slow_prefill() -> None:
    rng = random.Random(5)
    estimate = prefill_speed.PrefillSpeed()
    for _ in range(40):
        prompt = rng.randrange(600, 6600)
        estimate.record(prompt, _duration_s(prompt, rng), alone=True)
        estimate.record(prompt, 0.6, alone=False)
    assert abs(estimate.tokens_per_s - _TOKENS_PER_S) < 0.05 * _TOKENS_PER_S


def test_prefill_workers_are_kept_busy_in_a_burst() -> None:
    """Prompts of 3,000 tokens arrive as fast as two workers prefill them.

    If the network delay counted as prefill time, the workers would look busy
    while idle a third of the time, and requests would wait with memory free.
    """
    rng = random.Random(7)
    prefill_table = prefills.Prefills()
    workers = [
        fleet.ServerState(
            forwarding.Backend(
                id=name, service='s', address='x:1', stage='prefill'
            )
        )
        for name in ('p1', 'p2')
    ]
    busy_until = dict.fromkeys(('p1', 'p2'), 0.0)
    now, granted_tokens, measure_from_s = 0.0, 0, 4.0
    while now < 10.0:
        now += 0.01
        prompt = rng.randrange(600, 6600)
        turn = prefill_table.choose_worker(now, prompt, workers, ())
        if prefill_table.is_too_busy(now, prompt, turn):
            continue
        prefill_table.assign(turn)
        alone = busy_until[turn.worker] <= now
        started_at = max(now, busy_until[turn.worker])
        busy_until[turn.worker] = started_at + prompt / _TOKENS_PER_S
        duration_s = busy_until[turn.worker] + _NETWORK_DELAY_S - now
        prefill_table.record_prefill(
            now, turn.worker, prompt, duration_s, alone=alone
        )
        granted_tokens += prompt if now > measure_from_s else 0
    assert granted_tokens > 0.9 * 2 * _TOKENS_PER_S * (10.0 - measure_from_s)
