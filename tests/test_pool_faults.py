"""The coordinator and the fallback of entry VMs under faults."""

import msgspec
import pytest

from bench import home as bench_home
from bench import scenario
from bench import workload
from foxtaildale import backends
from foxtaildale import fallback_share
from foxtaildale import messages
from foxtaildale import pool
from foxtaildale import retry_budgets
from foxtaildale import values

NAME = 'patrol-reader'
SERVICE = values.Service(kind='model', patience_ms=10_000, queue_limit=3)
SLOTS = 4


def make_server(name: str, role: values.Role) -> values.BackendServer:
    return values.BackendServer(
        name=name,
        address=f'127.0.0.1:{9000 + sum(name.encode())}',
        data_centre='hall-doi',
        service=NAME,
        role=role,
        slots=SLOTS,
    )


def make_pool(*names: str) -> pool.Pool:
    slot_pool = pool.Pool(NAME)
    slot_pool.on_service(SERVICE, values.Weights())
    decodes = [make_server(name, 'decode') for name in names or ('d0',)]
    slot_pool.on_servers(0, [make_server('p0', 'prefill'), *decodes])
    return slot_pool


def slot_request(
    request: str,
    attempt: int = 1,
    waited_ms: int = 0,
    ready_at: str = '',
    holder: str = 'e1',
) -> messages.SlotRequest:
    return messages.SlotRequest(
        service=NAME,
        request=request,
        attempt=attempt,
        holder=holder,
        prompt_tokens=100,
        output_tokens=100,
        waited_ms=waited_ms,
        prefilled_at=ready_at,
    )


def slot_end(request: str, result: str = 'done') -> messages.SlotRelease:
    return messages.SlotRelease(
        service=NAME, grant=f'{request}/1', result=result
    )


def renewal(holder: str, *requests: str) -> messages.SlotRenewal:
    grants = tuple((f'{request}/1', 'd0') for request in requests)
    return messages.SlotRenewal(service=NAME, holder=holder, grants=grants)


def load_report(running: int, age_ms: int = 500) -> backends.Load:
    return backends.Load(
        name='d0',
        slots=SLOTS,
        running=running,
        queued=0,
        backlog_tokens=0,
        age_ms=age_ms,
    )


def fill_slots(slot_pool: pool.Pool, now: float = 0) -> list[str]:
    names = [f'r{i}' for i in range(SLOTS)]
    for name in names:
        assert isinstance(
            slot_pool.request_slot(now, slot_request(name)), messages.SlotGrant
        )
    return names


def test_a_rebuilt_ledger_holds_grants_of_the_lost_coordinator() -> None:
    """The coordinator's VM crashes while every slot is in use.

    Without the holders' renewals its successor would grant the slots again,
    and finished prefills would be evicted while their worker is full.
    """
    fill_slots(make_pool())
    successor = make_pool()
    successor.renew(2, renewal('e1', 'r0', 'r1'))
    successor.renew(2, renewal('e2', 'r2', 'r3'))
    assert isinstance(
        successor.request_slot(3, slot_request('s')), messages.Queued
    )
    successor.release(3.1, slot_end('r3'))
    assert isinstance(
        successor.request_slot(3.2, slot_request('s')), messages.SlotGrant
    )


def test_grants_of_a_silent_holder_expire() -> None:
    """An entry VM crashes while it holds grants.

    Its slots would stay in use for ever, and the pool would shrink with every
    VM that crashes until it refuses every request.
    """
    slot_pool = make_pool()
    for name, holder in (('a', 'e1'), ('b', 'e1'), ('c', 'e2'), ('d', 'e2')):
        slot_pool.request_slot(0, slot_request(name, holder=holder))
    slot_pool.renew(2, renewal('e1', 'a', 'b'))
    assert sorted(slot_pool.expire(4)) == ['c/1', 'd/1']
    granted = slot_pool.request_slot(4, slot_request('s'))
    assert isinstance(granted, messages.SlotGrant)
    assert granted.start_in_ms == 0


def test_a_grant_missing_from_a_renewal_is_released() -> None:
    """The message that ends a grant is lost.

    The slot would look used until the grant expires, so a heartbeat that omits
    it frees it. A new grant is exempt: the heartbeat may have been sent first.
    """
    slot_pool = make_pool()
    fill_slots(slot_pool)
    slot_pool.renew(0.1, renewal('e1'))
    assert slot_pool.dump()['granted'] == SLOTS
    slot_pool.renew(1.5, renewal('e1', 'r0'))
    assert slot_pool.dump()['granted'] == 1


def test_frozen_load_reports_do_not_block_admission() -> None:
    """The engines' load reports stop changing at a moment of full load.

    A coordinator that trusted them would refuse every caller although the
    workers are idle.
    """
    slot_pool = make_pool()
    for second in range(1, 20):
        slot_pool.on_load(second, 'd0', load_report(running=SLOTS))
    assert isinstance(
        slot_pool.request_slot(20, slot_request('s')), messages.SlotGrant
    )


def test_queued_requests_of_a_crashed_entry_vm_are_removed() -> None:
    """An entry VM crashes while its requests are queued.

    They would stay at the front and fill the queue, and callers would be
    refused in favour of requests without a caller.
    """
    slot_pool = make_pool()
    fill_slots(slot_pool)
    for name in ('a', 'b', 'c'):
        assert isinstance(
            slot_pool.request_slot(0.1, slot_request(name)), messages.Queued
        )
    full = slot_pool.request_slot(0.2, slot_request('d'))
    assert isinstance(full, messages.Refused)
    assert (full.code, full.figures) == (
        'queue-full',
        (values.Figure('queued', 3), values.Figure('limit', 3)),
    )
    slot_pool.renew(2.9, renewal('e1', 'r0', 'r1', 'r2', 'r3'))
    later = slot_pool.request_slot(4, slot_request('d'))
    assert isinstance(later, messages.Queued)
    assert later.position == 0


def test_a_finished_prefill_moves_to_the_worker_with_a_free_slot() -> None:
    """A prefill is finished and its decode worker is still full.

    The result is evicted within a second. If the request waited, the prefill
    would be wasted while another worker has a free slot.
    """
    slot_pool = make_pool('d0', 'd1')
    slot_pool.on_service(
        msgspec.structs.replace(SERVICE, expected_tokens=64), values.Weights()
    )
    granted = [
        slot_pool.request_slot(0, slot_request(f'r{i}'))
        for i in range(2 * SLOTS + 1)
    ]
    last = granted[-1]
    assert isinstance(last, messages.SlotGrant)
    assert last.decode_worker == 'd0'
    ended = next(
        reply.grant
        for reply in granted
        if isinstance(reply, messages.SlotGrant) and reply.decode_worker == 'd1'
    )
    slot_pool.release(0.9, slot_end(ended.rpartition('/')[0]))
    replaced = slot_pool.request_slot(1, slot_request('r8', ready_at='p0'))
    assert isinstance(replaced, messages.SlotGrant)
    assert (replaced.decode_worker, replaced.grant) == ('d1', last.grant)


def test_a_stalled_transfer_is_recovered_without_a_new_prefill() -> None:
    """A transfer stalls for good while the prefill's result still exists.

    A complete new attempt would repeat a prefill whose result is available.
    """
    slot_pool = make_pool('d0', 'd1')
    assert isinstance(
        slot_pool.request_slot(0, slot_request('r')), messages.SlotGrant
    )
    slot_pool.release(0.5, slot_end('r', 'transfer-failed'))
    again = slot_pool.request_slot(
        0.5, slot_request('r', attempt=2, ready_at='p0')
    )
    assert isinstance(again, messages.SlotGrant)
    assert (again.prefill_worker, again.start_in_ms) == ('p0', 0)
    other = slot_pool.request_slot(0.5, slot_request('s'))
    assert isinstance(other, messages.SlotGrant)
    assert other.start_in_ms == 0


def test_a_crashed_worker_is_avoided_while_still_listed() -> None:
    """A decode worker crashes but stays listed for some seconds.

    Each failure frees a slot, so it would look the least loaded and receive
    all new requests, which would fail one after the other.
    """
    slot_pool = make_pool('d0', 'd1')
    for name in ('a', 'b', 'c', 'd'):
        granted = slot_pool.request_slot(0, slot_request(name))
        assert isinstance(granted, messages.SlotGrant)
        if granted.decode_worker == 'd0':
            slot_pool.release(0.1, slot_end(name, 'decode-failed'))
    for name in ('e', 'f'):
        granted = slot_pool.request_slot(0.2, slot_request(name))
        assert isinstance(granted, messages.SlotGrant)
        assert granted.decode_worker == 'd1'


def test_failing_transfers_cause_no_false_no_backend() -> None:
    """A link is so slow that every transfer fails.

    Callers would be refused with the reason that no backend server is listed,
    although the listing of that time contains all of them.
    """
    slot_pool = make_pool()
    for name in ('a', 'b', 'c', 'd'):
        slot_pool.request_slot(0, slot_request(name))
        slot_pool.release(0.1, slot_end(name, 'transfer-failed'))
    assert isinstance(
        slot_pool.request_slot(0.2, slot_request('e')), messages.SlotGrant
    )


def test_engines_end_the_streams_of_a_crashed_entry_vm() -> None:
    """An entry VM crashes and leaves streams that nobody reads.

    They would occupy slots until their last token. For a long summary, that
    is half a minute of a worker's memory for disconnected callers.
    """
    fault_scenario = scenario.Scenario(name='', load=1.0, fault='vm-dies')
    run = scenario.Run(
        workload.LANNA, fault_scenario, bench_home.HomePlacer, 60
    )
    run.world.clock.at(
        19.9, lambda: streams_before.extend(_streams_of(run, crashed_vm))
    )
    run.world.clock.at(
        27.5, lambda: streams_after.extend(_streams_of(run, crashed_vm))
    )
    placer = run.placer
    assert isinstance(placer, bench_home.HomePlacer)
    crashed_vm = placer.home()
    streams_before: list[str] = []
    streams_after: list[str] = []
    run.figures()
    assert streams_before
    assert not set(streams_before) & set(streams_after)


def _streams_of(run: scenario.Run, vm: int) -> list[str]:
    streams = [k for d in run.world.decodes.values() for k in d.streams()]
    requests = {
        a.request
        for a in run.arrivals
        if a.vm == vm and a.at < run.world.clock.now
    }
    return [key for key in streams if key.rpartition('/')[0] in requests]


def test_retries_stay_within_their_budget_and_deadline() -> None:
    """Every attempt fails, for example because a rack has failed.

    Retries without a budget would multiply the load during the outage, and
    keep the workers busy for callers that have disconnected.
    """
    retry_budget = retry_budgets.RetryBudget(ratio=0.1, burst=3)
    for _ in range(100):
        retry_budget.record_first_attempt(1.0)
    assert (
        sum(retry_budget.acquire(1.0, deadline=2.0) for _ in range(100)) == 13
    )
    fresh_budget = retry_budgets.RetryBudget(ratio=1.0, burst=3)
    assert not fresh_budget.acquire(2.0, deadline=2.0)


@pytest.mark.parametrize('count', [1, 3, 6, 7, 8])
def test_shares_add_up_to_the_slots(count: int) -> None:
    """Every entry VM loses its connection to the coordinator at once.

    Shares that add up to more than the slots would overfill the workers, and
    shares that add up to less would leave slots idle.
    """
    vms = [f'vm{i}' for i in range(count)]
    worker = make_server('d0', 'decode')
    share_sizes = []
    for vm in vms:
        vm_share = fallback_share.FallbackShare(NAME, vm)
        vm_share.on_listing(_listing(vms))
        share_sizes.append(vm_share.slot_share(worker))
    assert sum(share_sizes) == SLOTS


def test_a_share_refuses_what_the_workers_report_as_full() -> None:
    """Other entry VMs still reach the coordinator and fill the workers.

    The disconnected entry VM would send its share in addition, and the full
    workers would reject it.
    """
    vm_share = fallback_share.FallbackShare(NAME, 'vm0')
    vm_share.on_service(SERVICE)
    vm_share.on_listing(_listing(['vm0']))
    vm_share.on_load('d0', load_report(running=SLOTS))
    assert isinstance(
        vm_share.request_slot(0, slot_request('r')), messages.Queued
    )
    expired = vm_share.request_slot(0, slot_request('r', waited_ms=10_000))
    assert isinstance(expired, messages.Refused)
    assert expired.code == 'patience-over'
    vm_share.on_load('d0', load_report(running=SLOTS, age_ms=60_000))
    assert isinstance(
        vm_share.request_slot(0, slot_request('r')), messages.SlotGrant
    )


def _listing(vms: list[str]) -> values.Listing:
    return values.Listing(
        version=1,
        entry_vms=tuple(
            values.EntryVm(name=vm, data_centre='a', keeper='127.0.0.1:1')
            for vm in vms
        ),
        backend_servers=(
            make_server('p0', 'prefill'),
            make_server('d0', 'decode'),
        ),
    )


@pytest.mark.parametrize('fault', ['', 'vm-dies', 'keeper-cut', 'worker-dies'])
def test_no_slot_stays_reserved_after_all_callers_disconnect(
    fault: str,
) -> None:
    """Callers disconnect, entry VMs and workers crash, a keeper is cut off.

    Slots that the engines still reserved afterwards would be lost, and the
    engines would look full without a request to serve.
    """
    fault_scenario = scenario.Scenario(name='', load=1.0, fault=fault)
    run = scenario.Run(
        workload.EISBRECHER, fault_scenario, bench_home.HomePlacer, 20
    )
    run.figures()
    decodes = run.world.decodes.values()
    assert [worker.running() for worker in decodes] == [0, 0, 0]
    placer = run.placer
    assert isinstance(placer, bench_home.HomePlacer)
    assert placer.dump()['granted'] == 0
