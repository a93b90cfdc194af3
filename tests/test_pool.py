"""The coordinator of a service plans, admits and rebuilds its ledger."""

from foxtaildale import backends
from foxtaildale import coordinator_choice
from foxtaildale import messages
from foxtaildale import pool
from foxtaildale import values

SERVICE = values.Service(
    kind='model', first_answer_ms=1000, between_tokens_ms=50
)
BATCH = values.Service(kind='model', patience_ms=10_000, queue_limit=2)


def make_server(
    name: str, role: values.Role, slots: int = 2
) -> values.BackendServer:
    return values.BackendServer(
        name=name,
        address=f'127.0.0.1:{sum(name.encode())}',
        data_centre='halle-nord',
        service='enteis-llm',
        role=role,
        slots=slots,
    )


def make_pool(service: values.Service = SERVICE, decodes: int = 1) -> pool.Pool:
    slot_pool = pool.Pool('enteis-llm')
    slot_pool.on_service(service, values.Weights())
    decode_servers = [make_server(f'd{i}', 'decode') for i in range(decodes)]
    slot_pool.on_servers(0, [make_server('p0', 'prefill'), *decode_servers])
    return slot_pool


def slot_request(request: str, waited_ms: int = 0) -> messages.SlotRequest:
    return messages.SlotRequest(
        service='enteis-llm',
        request=request,
        attempt=1,
        holder='e1',
        prompt_tokens=1000,
        output_tokens=100,
        waited_ms=waited_ms,
    )


def slot_end(request: str, result: str = 'done') -> messages.SlotRelease:
    return messages.SlotRelease(
        service='enteis-llm', grant=f'{request}/1', result=result
    )


def test_a_request_repeated_after_a_lost_reply_reserves_once() -> None:
    """The reply to a slot request is lost and the entry VM sends it repeated.

    A second slot reserved for the same request would stay empty until it
    expires, and callers would be refused although a slot is idle.
    """
    slot_pool = make_pool()
    first = slot_pool.request_slot(0, slot_request('r'))
    repeated = slot_pool.request_slot(0.05, slot_request('r'))
    assert isinstance(first, messages.SlotGrant)
    assert isinstance(repeated, messages.SlotGrant)
    assert repeated.grant == first.grant
    assert slot_pool.dump()['granted'] == 1
    other_pool = make_pool()
    other_pool.request_slot(0, slot_request('r'))
    assert slot_pool.request_slot(
        0.05, slot_request('s')
    ) == other_pool.request_slot(0.05, slot_request('s'))


def test_a_full_pool_refuses_at_once_and_spreads_retries() -> None:
    """More callers send requests than the workers can serve in time.

    A caller that is not refused at once waits for a response that comes too
    late, and callers given the same retry time all retry together.
    """
    slot_pool = make_pool()
    replies = [
        slot_pool.request_slot(0, slot_request(f'r{i}')) for i in range(12)
    ]
    refused = [r for r in replies if isinstance(r, messages.Refused)]
    assert len(refused) >= 8
    assert {r.code for r in refused} == {'no-capacity'}
    times = [r.retry_after_ms for r in refused]
    assert times == sorted(set(times))


def test_a_batch_request_keeps_its_position_in_a_bounded_queue() -> None:
    """Batch requests arrive while every slot is in use.

    They may be delayed, but a request that later ones always overtake would
    never be served.
    """
    slot_pool = make_pool(BATCH)
    for i in range(2):
        assert isinstance(
            slot_pool.request_slot(0, slot_request(f'r{i}')), messages.SlotGrant
        )
    assert isinstance(
        slot_pool.request_slot(0.1, slot_request('a')), messages.Queued
    )
    second = slot_pool.request_slot(0.2, slot_request('b'))
    assert isinstance(second, messages.Queued)
    assert second.position == 1
    full = slot_pool.request_slot(0.2, slot_request('c'))
    assert isinstance(full, messages.Refused)
    assert full.code == 'queue-full'
    slot_pool.release(0.3, slot_end('r0'))
    assert isinstance(
        slot_pool.request_slot(0.3, slot_request('b', 100)), messages.Queued
    )
    assert isinstance(
        slot_pool.request_slot(0.3, slot_request('a', 200)), messages.SlotGrant
    )


def test_a_leaving_worker_gets_no_new_work() -> None:
    """A worker is drained for maintenance.

    Requests placed there after that would be aborted when it stops.
    """
    slot_pool = make_pool(decodes=2)
    leaving = values.BackendServer(
        name='d0',
        address='127.0.0.1:9',
        data_centre='halle-nord',
        service='enteis-llm',
        role='decode',
        state='leaving',
    )
    slot_pool.on_servers(
        1, [make_server('p0', 'prefill'), leaving, make_server('d1', 'decode')]
    )
    for i in range(2):
        granted = slot_pool.request_slot(1, slot_request(f'r{i}'))
        assert isinstance(granted, messages.SlotGrant)
        assert granted.decode_worker == 'd1'


def test_the_coordinator_changes_only_when_it_is_removed() -> None:
    keepers = [f'vm{i}' for i in range(8)]
    services = [f's{i}' for i in range(200)]
    before = {
        s: coordinator_choice.choose_coordinator(s, keepers) for s in services
    }
    after = {
        s: coordinator_choice.choose_coordinator(s, keepers[1:])
        for s in services
    }
    reassigned = [s for s in services if before[s] != after[s]]
    assert {before[s] for s in reassigned} == {'vm0'}
    assert coordinator_choice.choose_coordinator('s', []) == ''


def test_a_plain_service_gets_a_worker_and_no_prefill() -> None:
    slot_pool = pool.Pool('queue-app')
    slot_pool.on_service(values.Service(kind='plain'), values.Weights())
    worker = values.BackendServer(
        name='q0',
        address='127.0.0.1:9',
        data_centre='halle-nord',
        service='queue-app',
        role='plain',
    )
    slot_pool.on_servers(0, [worker])
    granted = slot_pool.request_slot(0, slot_request('r'))
    assert isinstance(granted, messages.SlotGrant)
    assert (granted.prefill_worker, granted.decode_worker) == ('', 'q0')


def test_a_new_coordinator_does_not_overfill_before_renewals() -> None:
    """The coordinator crashes; another keeper starts with an empty ledger.

    It would grant slots that are in use, and callers' finished prefills would
    find full decode workers.
    """
    slot_pool = make_pool(BATCH)
    load = backends.Load(
        name='d0', slots=2, running=2, queued=0, backlog_tokens=0, age_ms=500
    )
    slot_pool.on_load(0.1, 'd0', load)
    assert isinstance(
        slot_pool.request_slot(0.1, slot_request('r')), messages.Queued
    )
    slot_pool.renew(
        1,
        messages.SlotRenewal(
            service='enteis-llm', holder='e2', grants=(('x/1', 'd0'),)
        ),
    )
    assert isinstance(
        slot_pool.request_slot(3, slot_request('r', 2900)), messages.SlotGrant
    )
    assert isinstance(
        slot_pool.request_slot(3, slot_request('s')), messages.Queued
    )
