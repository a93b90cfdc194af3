"""The home of a service plans, admits and recovers its ledger."""

from foxtaildale import backends
from foxtaildale import homes
from foxtaildale import messages
from foxtaildale import pool
from foxtaildale import values

SERVICE = values.Service(
    kind='model', first_answer_ms=1000, between_tokens_ms=50
)
BATCH = values.Service(kind='model', patience_ms=10_000, queue_limit=2)


def server(
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


def make(service: values.Service = SERVICE, decodes: int = 1) -> pool.Pool:
    home = pool.Pool('enteis-llm')
    home.on_service(service, values.Weights())
    names = [server(f'd{i}', 'decode') for i in range(decodes)]
    home.on_servers(0, [server('p0', 'prefill'), *names])
    return home


def ask(request: str, waited_ms: int = 0) -> messages.AskSlot:
    return messages.AskSlot(
        service='enteis-llm',
        request=request,
        attempt=1,
        holder='e1',
        prompt_tokens=1000,
        output_tokens=100,
        waited_ms=waited_ms,
    )


def end(request: str, result: str = 'done') -> messages.EndSlot:
    return messages.EndSlot(
        service='enteis-llm', grant=f'{request}/1', result=result
    )


def test_a_lost_reply_asked_for_again_reserves_once() -> None:
    """The reply to an ask is lost and the entry asks again.

    A second slot held for the same request would stay empty until it lapses,
    and callers would be refused beside an idle slot.
    """
    home = make()
    first = home.ask(0, ask('r'))
    again = home.ask(0.05, ask('r'))
    assert isinstance(first, messages.Granted)
    assert isinstance(again, messages.Granted)
    assert again.grant == first.grant
    assert home.dump()['granted'] == 1


def test_a_full_pool_refuses_at_once_and_spreads_the_return() -> None:
    """More callers come than the workers can serve in time.

    A caller that is not told at once waits for an answer that comes too late,
    and callers told the same time all come back together.
    """
    home = make()
    replies = [home.ask(0, ask(f'r{i}')) for i in range(12)]
    refused = [r for r in replies if isinstance(r, messages.Refused)]
    assert len(refused) >= 8
    assert {r.code for r in refused} == {'no-capacity'}
    times = [r.retry_after_ms for r in refused]
    assert times == sorted(set(times))


def test_a_summary_waits_in_a_bounded_queue_and_keeps_its_rank() -> None:
    """Summaries arrive while every slot is taken.

    They may be late; one that is overtaken for ever would be lost.
    """
    home = make(BATCH)
    for i in range(2):
        assert isinstance(home.ask(0, ask(f'r{i}')), messages.Granted)
    assert isinstance(home.ask(0.1, ask('a')), messages.Queued)
    second = home.ask(0.2, ask('b'))
    assert isinstance(second, messages.Queued)
    assert second.position == 1
    full = home.ask(0.2, ask('c'))
    assert isinstance(full, messages.Refused)
    assert full.code == 'queue-full'
    home.end(0.3, end('r0'))
    assert isinstance(home.ask(0.3, ask('b', 100)), messages.Queued)
    assert isinstance(home.ask(0.3, ask('a', 200)), messages.Granted)


def test_a_leaving_worker_gets_no_new_work() -> None:
    """A worker is drained for maintenance.

    Requests placed there after that would be cut when it stops.
    """
    home = make(decodes=2)
    leaving = values.BackendServer(
        name='d0',
        address='127.0.0.1:9',
        data_centre='halle-nord',
        service='enteis-llm',
        role='decode',
        state='leaving',
    )
    home.on_servers(
        1, [server('p0', 'prefill'), leaving, server('d1', 'decode')]
    )
    for i in range(2):
        granted = home.ask(1, ask(f'r{i}'))
        assert isinstance(granted, messages.Granted)
        assert granted.decode == 'd1'


def test_the_home_moves_only_when_it_goes() -> None:
    keepers = [f'vm{i}' for i in range(8)]
    services = [f's{i}' for i in range(200)]
    before = {s: homes.home(s, keepers) for s in services}
    after = {s: homes.home(s, keepers[1:]) for s in services}
    moved = [s for s in services if before[s] != after[s]]
    assert {before[s] for s in moved} == {'vm0'}
    assert homes.home('s', []) == ''


def test_a_plain_service_gets_a_worker_and_no_prefill() -> None:
    home = pool.Pool('queue-app')
    home.on_service(values.Service(kind='plain'), values.Weights())
    listed = values.BackendServer(
        name='q0',
        address='127.0.0.1:9',
        data_centre='halle-nord',
        service='queue-app',
        role='plain',
    )
    home.on_servers(0, [listed])
    granted = home.ask(0, ask('r'))
    assert isinstance(granted, messages.Granted)
    assert (granted.prefill, granted.decode) == ('', 'q0')


def test_a_new_home_does_not_overfill_before_holders_repeat() -> None:
    """The home dies and another keeper takes over with an empty ledger.

    It would grant slots that are taken, and callers' prefills would end at
    workers that are full.
    """
    home = make(BATCH)
    load = backends.Load(
        name='d0', slots=2, running=2, queued=0, backlog_tokens=0, age_ms=500
    )
    home.on_load(0.1, 'd0', load)
    assert isinstance(home.ask(0.1, ask('r')), messages.Queued)
    home.keep(
        1,
        messages.KeepSlots(
            service='enteis-llm', holder='e2', grants=(('x/1', 'd0'),)
        ),
    )
    assert isinstance(home.ask(3, ask('r', 2900)), messages.Granted)
    assert isinstance(home.ask(3, ask('s')), messages.Queued)
