"""Decode workers that refuse requests although the plan has room there."""

from foxtaildale import messages
from foxtaildale import placement_plan
from foxtaildale import refusals
from foxtaildale import routes
from tests import engine_states

_SERVICE = routes.Service(
    name='s', kv_tokens=30_000, hold_s=2.0, handle_s=0.5, slots=64
)


def test_each_further_refusal_closes_a_worker_for_longer() -> None:
    table = refusals.Refusals()
    now, closed_spans_s = 0.0, []
    table.record(now, 'd', 'p1', accepted=False)
    assert table.closed_workers(now) == frozenset()
    for _ in range(5):
        table.record(now, 'd', 'p2', accepted=False)
        closed_at = now
        while 'd' in table.closed_workers(now):
            now += 0.01
        closed_spans_s.append(round(now - closed_at, 1))
    assert closed_spans_s == [0.3, 0.6, 1.2, 2.4, 2.4]
    table.record(now, 'd', 'p1', accepted=True)
    table.record(now, 'd', 'p1', accepted=False)
    assert table.closed_workers(now) == frozenset()


def test_expired_handles_close_no_decode_worker() -> None:
    """A prefill worker evicts its prompts immediately.

    Every decode worker refuses them. If that closed the decode workers, all
    decode memory would stay unused.
    """
    table = refusals.Refusals()
    for number in range(30):
        table.record(number * 0.1, f'd{number % 3}', 'p1', accepted=False)
        table.record(number * 0.1, f'd{number % 3}', 'p2', accepted=True)
    assert table.closed_workers(3.0) == frozenset()


def test_a_worker_that_refuses_everything_wastes_few_prefills() -> None:
    """A decode worker changes its stage, and the coordinator is not notified.

    It is always empty in the plan and thus the first choice. The prefills are
    wasted, and callers with one attempt are refused.
    """
    plan = placement_plan.Plan()
    decoders = engine_states.make_engines('decode', 3)
    prefillers = engine_states.make_engines('prefill', 3)
    refused = served = 0
    running: list[tuple[float, str]] = []
    for step in range(1000):
        now = step * 0.01
        for ends_at, name in list(running):
            if now >= ends_at:
                running.remove((ends_at, name))
                end = messages.PlacementRelease(
                    service='s',
                    request=name,
                    prefill_ms=100,
                    decode_ms=2000,
                    output_tokens=500,
                    complete=True,
                )
                plan.release(now, end)
        if step % 20:
            continue
        name = f'r{step}'
        ask = engine_states.placement_request(name, 3000)
        place = plan.request_placement(
            now, ask, _SERVICE, lambda: (decoders, prefillers)
        )
        if not isinstance(place, messages.PlacementGrant):
            continue
        if place.decode_worker == 'decode-0':
            refused += 1
            end = messages.PlacementRelease(
                service='s', request=name, prefill_ms=100, prefill_rejected=True
            )
            plan.release(now + 0.1, end)
        else:
            served += 1
            running.append((now + 2.0, name))
    assert refused <= 8
    assert served >= 40
