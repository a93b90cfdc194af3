"""How fast prompts are read, told apart from what passes beside it."""

import random

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import prefills
from foxtaildale import reading

_PER_S = 33_000.0
_WAY_S = 0.065


def _took_s(prompt: int, rng: random.Random) -> float:
    return _WAY_S + prompt / _PER_S + rng.uniform(0.0, 0.004)


def test_reading_is_told_apart_from_the_time_beside_it() -> None:
    rng = random.Random(5)
    found = reading.Reading()
    for _ in range(40):
        prompt = rng.randrange(600, 6600)
        found.note(prompt, _took_s(prompt, rng), alone=True)
    assert abs(found.per_s - _PER_S) < 0.05 * _PER_S
    assert abs(found.way_s - _WAY_S) < 0.01


def test_prompts_of_one_length_tell_nothing() -> None:
    found = reading.Reading()
    for _ in range(40):
        found.note(3000, 0.15, alone=True)
    assert found.way_s == reading.WAY_S
    assert 20_000.0 <= found.per_s <= reading.PER_S


def test_prompts_that_waited_are_not_taken_for_slow_reading() -> None:
    rng = random.Random(5)
    found = reading.Reading()
    for _ in range(40):
        prompt = rng.randrange(600, 6600)
        found.note(prompt, _took_s(prompt, rng), alone=True)
        found.note(prompt, 0.6, alone=False)
    assert abs(found.per_s - _PER_S) < 0.05 * _PER_S


def test_prefill_workers_are_kept_busy_in_a_burst() -> None:
    """Prompts of 3,000 tokens come as fast as two prefill workers read.

    Taken for a part of the reading, the time beside it makes the workers look
    busy while they idle for a third of the time; requests wait beside decode
    memory that is free.
    """
    rng = random.Random(7)
    found = prefills.Prefills()
    workers = [
        fleet.Tally(
            forwarding.Backend(
                id=name, service='s', address='x:1', stage='prefill'
            )
        )
        for name in ('p1', 'p2')
    ]
    busy_until = dict.fromkeys(('p1', 'p2'), 0.0)
    now, given, after = 0.0, 0, 4.0
    while now < 10.0:
        now += 0.01
        prompt = rng.randrange(600, 6600)
        turn = found.choose(now, prompt, workers, ())
        if found.too_busy(now, prompt, turn):
            continue
        found.give(turn)
        alone = busy_until[turn.worker] <= now
        began = max(now, busy_until[turn.worker])
        busy_until[turn.worker] = began + prompt / _PER_S
        took_s = busy_until[turn.worker] + _WAY_S - now
        found.note(now, turn.worker, prompt, took_s, alone=alone)
        given += prompt if now > after else 0
    assert given > 0.9 * 2 * _PER_S * (10.0 - after)
