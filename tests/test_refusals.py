"""Decode workers that refuse what they are thought to have room for."""

from foxtaildale import messages
from foxtaildale import placing
from foxtaildale import refusals
from foxtaildale import routes
from tests import tallies

_SERVICE = routes.Service(
    name='s', kv_tokens=30_000, hold_s=2.0, handle_s=0.5, slots=64
)


def test_each_refusal_in_a_row_closes_it_for_longer() -> None:
    known = refusals.Refusals()
    now, spans = 0.0, []
    known.note(now, 'd', 'p1', taken=False)
    assert known.closed(now) == frozenset()
    for _ in range(5):
        known.note(now, 'd', 'p2', taken=False)
        began = now
        while 'd' in known.closed(now):
            now += 0.01
        spans.append(round(now - began, 1))
    assert spans == [0.3, 0.6, 1.2, 2.4, 2.4]
    known.note(now, 'd', 'p1', taken=True)
    known.note(now, 'd', 'p1', taken=False)
    assert known.closed(now) == frozenset()


def test_handles_that_lapse_close_no_decode_worker() -> None:
    """A prefill worker lets go of its prompts at once.

    Every decode worker refuses them; closed for that, all memory would stand
    empty.
    """
    known = refusals.Refusals()
    for number in range(30):
        known.note(number * 0.1, f'd{number % 3}', 'p1', taken=False)
        known.note(number * 0.1, f'd{number % 3}', 'p2', taken=True)
    assert known.closed(3.0) == frozenset()


def test_a_worker_that_refuses_all_costs_few_prompts() -> None:
    """A decode worker changes its stage, and nobody here knows of it.

    Always empty in the plan, it is the first choice for every request. Their
    prompts are read for nothing, and callers with one attempt are refused.
    """
    plan = placing.Plan()
    decoders = tallies.make('decode', 3)
    prefillers = tallies.make('prefill', 3)
    lost = served = 0
    running: list[tuple[float, str]] = []
    for step in range(1000):
        now = step * 0.01
        for ends_at, name in list(running):
            if now >= ends_at:
                running.remove((ends_at, name))
                end = messages.EndPlace(
                    service='s',
                    request=name,
                    prefill_ms=100,
                    decode_ms=2000,
                    tokens=500,
                    whole=True,
                )
                plan.end(now, end)
        if step % 20:
            continue
        name = f'r{step}'
        ask = tallies.ask(name, 3000)
        place = plan.ask(now, ask, _SERVICE, lambda: (decoders, prefillers))
        if not isinstance(place, messages.Place):
            continue
        if place.worker == 'decode-0':
            lost += 1
            end = messages.EndPlace(
                service='s', request=name, prefill_ms=100, refused=True
            )
            plan.end(now + 0.1, end)
        else:
            served += 1
            running.append((now + 2.0, name))
    assert lost <= 8
    assert served >= 40
