"""How many engines prefill, and which VM may order them to change stage."""

import itertools
import math
import random

import msgspec
import pytest

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import lease
from foxtaildale import prefills
from foxtaildale import routes
from foxtaildale import stage_balance
from tests import engine_states

_SERVICE = routes.Service(name='s', kv_tokens=63_000, slots=12)
# Speeds of the engines that the constants of `stage_balance` were computed for.
_PREFILL_PER_S = 55_555.0
_TOKEN_S = 0.00073


def _make_balance(
    prompt: int = 5200, answer: float = 4000
) -> stage_balance.StageBalance:
    """Returns a balance that saw length hints with a correct median."""
    balancer = stage_balance.StageBalance()
    rng = random.Random(1)
    for _ in range(400):
        hint = answer * math.exp(rng.gauss(0.0, 0.6))
        balancer.record_request(int(prompt * rng.uniform(0.5, 1.5)), hint)
    return balancer


def _wanted_share(balancer: stage_balance.StageBalance) -> float | None:
    return balancer.prefill_share(_SERVICE, _PREFILL_PER_S, _TOKEN_S)


@pytest.mark.parametrize(
    ('decoders', 'prefillers', 'wanted'),
    [
        pytest.param(9, 5, 3, id='second site after its growth'),
        pytest.param(15, 8, 5, id='first site after its growth'),
        pytest.param(3, 2, 2, id='site of five engines'),
        pytest.param(1, 2, 2, id='site of five without two decode workers'),
    ],
)
def test_idle_prefill_workers_become_decode_workers(
    decoders: int, prefillers: int, wanted: int
) -> None:
    """Callers wait for decode memory while prefill workers idle."""
    balancer = _make_balance()
    decode = engine_states.make_engines('decode', decoders)
    prefill = engine_states.make_engines('prefill', prefillers)
    now = 0.0
    for step in range(400):
        now = step * 0.1
        changes = balancer.changes(
            now, _wanted_share(balancer), decode, prefill
        )
        for change in changes:
            assert change.stage == 'decode'
            balancer.record_order(now, change.backend.id)
            prefill = [t for t in prefill if t.backend.id != change.backend.id]
            decode.append(
                fleet.ServerState(
                    msgspec.structs.replace(change.backend, stage='decode')
                )
            )
    assert len(prefill) == wanted
    assert len(decode) == decoders + prefillers - wanted


def test_a_lasting_lack_of_prefill_workers_adds_one() -> None:
    """Long prompts with short responses delay the first events."""
    balancer = _make_balance(prompt=9000, answer=300)
    decode, prefill = (
        engine_states.make_engines('decode', 8),
        engine_states.make_engines('prefill', 2),
    )
    share = _wanted_share(balancer)
    assert not balancer.changes(0.0, share, decode, prefill)
    assert not balancer.changes(
        stage_balance.SHORTAGE_S - 0.1, share, decode, prefill
    )
    changes = balancer.changes(stage_balance.SHORTAGE_S, share, decode, prefill)
    assert [change.stage for change in changes] == ['prefill']


def test_no_prefill_worker_changes_stage_while_prompts_wait() -> None:
    """Some prefill workers became slow, and the others are fully used.

    With one worker less, callers that have a placement wait a second for their
    prefill, and all of them miss their target.
    """
    waiting = prefills.Prefills()
    for _ in range(60):
        waiting.record_prefill(0.0, 'p1', 5000, 0.1)
    assert not waiting.has_queue(0.0, 5000)
    for _ in range(20):
        waiting.record_prefill(0.0, 'p1', 5000, 0.3)
    assert waiting.has_queue(0.0, 5000)
    # Where no prompt is prefilled any more, none waits.
    assert not waiting.has_queue(prefills.QUEUE_TTL_S + 0.1, 5000)
    balancer = _make_balance()
    decode, prefill = (
        engine_states.make_engines('decode', 9),
        engine_states.make_engines('prefill', 7),
    )
    for step in range(100):
        assert not balancer.changes(
            step * 0.1, _wanted_share(balancer), decode, prefill, has_queue=True
        )


def test_a_crash_orders_no_change() -> None:
    """A prefill worker crashes and restarts under another id 4 s later.

    A decode worker that changed its stage to replace it would be unavailable
    for six seconds, and callers would be refused for lack of memory.
    """
    balancer = _make_balance()
    decode, prefill = (
        engine_states.make_engines('decode', 11),
        engine_states.make_engines('prefill', 3),
    )
    for step in range(100):
        alive = prefill[:2] if 10 <= step < 50 else prefill
        assert not balancer.changes(
            step * 0.1, _wanted_share(balancer), decode, alive
        )


def test_an_engine_that_changes_its_stage_is_not_counted() -> None:
    balancer = _make_balance()
    decode, prefill = (
        engine_states.make_engines('decode', 9),
        engine_states.make_engines('prefill', 7),
    )
    assert not balancer.changes(0.0, _wanted_share(balancer), decode, prefill)
    changes = balancer.changes(1.0, _wanted_share(balancer), decode, prefill)
    assert len(changes) == stage_balance.MIN_CHANGING_LIMIT
    for change in changes:
        balancer.record_order(1.0, change.backend.id)
    assert balancer.changing_engines(1.1) == {c.backend.id for c in changes}
    assert not balancer.changes(2.5, _wanted_share(balancer), decode, prefill)
    assert not balancer.changing_engines(1.0 + stage_balance.CHANGING_S)


def test_an_engine_that_became_a_decode_worker_stays_one() -> None:
    """Prompts and length hints vary, and with them the wanted share.

    An engine that changes to decode and back is unavailable for twelve seconds,
    in bursts in which callers are refused for lack of its memory.
    """
    service = routes.Service(name='s', kv_tokens=33_787, slots=64)
    balancer = stage_balance.StageBalance()
    rng = random.Random(11)
    decode, prefill = (
        engine_states.make_engines('decode', 6),
        engine_states.make_engines('prefill', 3),
    )
    ordered: list[forwarding.Stage] = []
    for step in range(1200):
        now = step * 0.1
        balancer.record_request(
            int(3100 * math.exp(rng.gauss(0.0, 0.5))),
            min(2040, 700 * math.exp(rng.gauss(0.0, 0.6))),
        )
        share = balancer.prefill_share(service, 33_000, 0.004)
        for change in balancer.changes(now, share, decode, prefill):
            ordered.append(change.stage)
            balancer.record_order(now, change.backend.id)
            changed = fleet.ServerState(
                msgspec.structs.replace(change.backend, stage=change.stage)
            )
            by_stage = {'prefill': prefill, 'decode': decode}
            for engines in by_stage.values():
                engines[:] = [
                    t for t in engines if t.backend.id != change.backend.id
                ]
            by_stage[change.stage].append(changed)
    assert ordered == ['decode']


def test_no_change_is_ordered_before_enough_requests() -> None:
    balancer = stage_balance.StageBalance()
    for _ in range(stage_balance.MIN_REQUESTS - 1):
        balancer.record_request(5000, 4000)
    assert _wanted_share(balancer) is None
    assert not balancer.changes(
        9.0,
        None,
        engine_states.make_engines('decode', 2),
        engine_states.make_engines('prefill', 9),
    )


def test_two_lease_holders_never_order_within_one_lease() -> None:
    """Two VMs both act as the coordinator after a network partition.

    Each would reverse the orders of the other, and engines would keep changing
    their stage instead of serving.
    """
    rng = random.Random(7)
    lease_s = 3.0
    for _ in range(200):
        vms = [lease.Lease(f'vm-{n}', lease_s) for n in range(3)]
        offset, holder = None, ''
        orders: list[tuple[float, str]] = []
        for step in range(300):
            now = step * 0.1
            number = rng.randrange(3)
            vm = vms[number]
            if vm.may_claim(now, 0, offset, holder):
                vm.start_claim(now)
                offset, holder = step, f'vm-{number}'
            for n, other in enumerate(vms):
                # A VM that was paused sends its orders late.
                if other.may_order(now) and holder == f'vm-{n}':
                    orders.append((now, holder))
        for (ordered_at, name), (next_at, next_name) in itertools.pairwise(
            orders
        ):
            assert name == next_name or next_at - ordered_at > lease_s


def test_a_lease_holder_orders_nothing_after_a_pause() -> None:
    vm_lease = lease.Lease('vm-1', 3.0)
    assert vm_lease.may_claim(10.0, 0, None, '')
    vm_lease.start_claim(10.0)
    assert vm_lease.may_order(10.1)
    assert not vm_lease.may_order(10.0 + lease.ORDER_WINDOW_S)


def test_a_large_site_changes_idle_prefill_workers_in_seconds() -> None:
    """26 of 56 engines are prefill workers, and twelve would suffice.

    Two at a time, eight seconds each, all changes take a minute, and callers
    are refused for lack of memory in each burst until then.
    """
    balancer = _make_balance()
    decode, prefill = (
        engine_states.make_engines('decode', 30),
        engine_states.make_engines('prefill', 26),
    )
    changed_at = []
    max_changing = 0
    for step in range(300):
        now = step * 0.1
        changes = balancer.changes(
            now, _wanted_share(balancer), decode, prefill
        )
        for change in changes:
            balancer.record_order(now, change.backend.id)
            prefill = [t for t in prefill if t.backend.id != change.backend.id]
            decode.append(fleet.ServerState(change.backend))
            changed_at.append(now)
        max_changing = max(max_changing, len(balancer.changing_engines(now)))
    # All surplus prefill workers change, an eighth of all engines at a time.
    assert max_changing == 7
    assert len(prefill) == 12
    assert max(changed_at) < 20.0


def test_a_large_site_orders_no_change_after_few_requests() -> None:
    """A site of 56 engines saw only twenty requests, most of them long.

    Seven engines would become decode workers at once. If that was wrong,
    prompts wait for most of a burst until the engines have changed back.
    """
    balancer = stage_balance.StageBalance()
    decode, prefill = (
        engine_states.make_engines('decode', 38),
        engine_states.make_engines('prefill', 18),
    )
    for step in range(200):
        balancer.record_request(3000, 9000.0)
        now = step * 0.1
        if balancer.changes(now, _wanted_share(balancer), decode, prefill):
            break
    assert step + 1 >= 2 * 56


def test_a_large_site_replaces_missing_prefill_workers_at_once() -> None:
    """Ten prefill workers of a large site are removed together.

    One change at a time, replacing them would take two minutes.
    """
    balancer = _make_balance()
    decode, prefill = (
        engine_states.make_engines('decode', 50),
        engine_states.make_engines('prefill', 4),
    )
    share = _wanted_share(balancer)
    assert not balancer.changes(0.0, share, decode, prefill)
    changes = balancer.changes(stage_balance.SHORTAGE_S, share, decode, prefill)
    assert len(changes) == 6
    assert {change.stage for change in changes} == {'prefill'}
