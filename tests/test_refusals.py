"""Decode workers that refuse requests although the plan has room there."""

from foxtaildale import messages
from foxtaildale import placing
from foxtaildale import refusals
from foxtaildale import routes
from tests import tallies

_SERVICE = routes.Service(
    name='s', kv_tokens=30_000, hold_s=2.0, handle_s=0.5, slots=64
)


def test_each_further_refusal_closes_a_worker_for_longer() -> None:
    table = refusals.Refusals()
    now, closed_spans_s = 0.0, []
    table.note(now, 'd', 'p1', taken=False)
    assert table.closed(now) == frozenset()
    for _ in range(5):
        table.note(now, 'd', 'p2', taken=False)
        closed_at = now
        while 'd' in table.closed(now):
            now += 0.01
        closed_spans_s.append(round(now - closed_at, 1))
    assert closed_spans_s == [0.3, 0.6, 1.2, 2.4, 2.4]
    table.note(now, 'd', 'p1', taken=True)
    table.note(now, 'd', 'p1', taken=False)
    assert table.closed(now) == frozenset()


def test_expired_handles_close_no_decode_worker() -> None:
    """A prefill worker evicts its prompts immediately.

    Every decode worker refuses them. If that closed the decode workers, all
    decode memory would stay unused.
    """
    table = refusals.Refusals()
    for number in range(30):
        table.note(number * 0.1, f'd{number % 3}', 'p1', taken=False)
        table.note(number * 0.1, f'd{number % 3}', 'p2', taken=True)
    assert table.closed(3.0) == frozenset()


def test_a_worker_that_refuses_everything_wastes_few_prefills() -> None:
    """A decode worker changes its stage, and the coordinator is not notified.

    It is always empty in the plan and thus the first choice. The prefills are
    wasted, and callers with one attempt are refused.
    """
    plan = placing.Plan()
    decoders = tallies.make('decode', 3)
    prefillers = tallies.make('prefill', 3)
    refused = served = 0
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
            refused += 1
            end = messages.EndPlace(
                service='s', request=name, prefill_ms=100, refused=True
            )
            plan.end(now + 0.1, end)
        else:
            served += 1
            running.append((now + 2.0, name))
    assert refused <= 8
    assert served >= 40
