"""The home and the entries' fallback under faults."""

import msgspec
import pytest

from bench import home as bench_home
from bench import scenario
from bench import workload
from foxtaildale import backends
from foxtaildale import budget
from foxtaildale import messages
from foxtaildale import pool
from foxtaildale import share
from foxtaildale import values

NAME = 'patrol-reader'
SERVICE = values.Service(kind='model', patience_ms=10_000, queue_limit=3)
SLOTS = 4


def server(name: str, role: values.Role) -> values.BackendServer:
    return values.BackendServer(
        name=name,
        address=f'127.0.0.1:{9000 + sum(name.encode())}',
        data_centre='hall-doi',
        service=NAME,
        role=role,
        slots=SLOTS,
    )


def make(*names: str) -> pool.Pool:
    made = pool.Pool(NAME)
    made.on_service(SERVICE, values.Weights())
    decodes = [server(name, 'decode') for name in names or ('d0',)]
    made.on_servers(0, [server('p0', 'prefill'), *decodes])
    return made


def ask(
    request: str,
    attempt: int = 1,
    waited_ms: int = 0,
    ready_at: str = '',
    holder: str = 'e1',
) -> messages.AskSlot:
    return messages.AskSlot(
        service=NAME,
        request=request,
        attempt=attempt,
        holder=holder,
        prompt_tokens=100,
        output_tokens=100,
        waited_ms=waited_ms,
        ready_at=ready_at,
    )


def end(request: str, result: str = 'done') -> messages.EndSlot:
    return messages.EndSlot(service=NAME, grant=f'{request}/1', result=result)


def keep(holder: str, *requests: str) -> messages.KeepSlots:
    grants = tuple((f'{request}/1', 'd0') for request in requests)
    return messages.KeepSlots(service=NAME, holder=holder, grants=grants)


def load(running: int, age_ms: int = 500) -> backends.Load:
    return backends.Load(
        name='d0',
        slots=SLOTS,
        running=running,
        queued=0,
        backlog_tokens=0,
        age_ms=age_ms,
    )


def fill(made: pool.Pool, now: float = 0) -> list[str]:
    names = [f'r{i}' for i in range(SLOTS)]
    for name in names:
        assert isinstance(made.ask(now, ask(name)), messages.Granted)
    return names


def test_a_rebuilt_ledger_holds_what_the_lost_home_granted() -> None:
    """The home's VM dies while every slot is taken; another becomes home.

    Without the holders' repeats it would grant the slots a second time, and
    callers' finished prefills would be evicted before a full worker.
    """
    fill(make())
    new = make()
    new.keep(2, keep('e1', 'r0', 'r1'))
    new.keep(2, keep('e2', 'r2', 'r3'))
    assert isinstance(new.ask(3, ask('s')), messages.Queued)
    new.end(3.1, end('r3'))
    assert isinstance(new.ask(3.2, ask('s')), messages.Granted)


def test_grants_of_a_silent_holder_lapse() -> None:
    """An entry VM dies with grants in its hands.

    Its slots would stay taken for ever, and the pool would shrink with every
    VM that dies until it refuses everybody.
    """
    made = make()
    for name, holder in (('a', 'e1'), ('b', 'e1'), ('c', 'e2'), ('d', 'e2')):
        made.ask(0, ask(name, holder=holder))
    made.keep(2, keep('e1', 'a', 'b'))
    assert sorted(made.expire(4)) == ['c/1', 'd/1']
    granted = made.ask(4, ask('s'))
    assert isinstance(granted, messages.Granted)
    assert granted.start_in_ms == 0


def test_a_grant_that_its_holder_no_longer_names_is_free() -> None:
    """The message that ends a grant is lost.

    The slot would look taken until it lapses; named again by nobody, it is
    free at the next beat. A grant just given may have crossed the beat.
    """
    made = make()
    fill(made)
    made.keep(0.1, keep('e1'))
    assert made.dump()['granted'] == SLOTS
    made.keep(1.5, keep('e1', 'r0'))
    assert made.dump()['granted'] == 1


def test_frozen_reports_do_not_take_slots_away() -> None:
    """The engines' load reports stop changing at a moment of full load.

    A home that believed them would refuse every caller beside empty workers.
    """
    made = make()
    for second in range(1, 20):
        made.on_load(second, 'd0', load(running=SLOTS))
    assert isinstance(made.ask(20, ask('s')), messages.Granted)


def test_waiters_of_a_dead_entry_leave_the_queue() -> None:
    """An entry VM dies while its requests wait.

    They would stand before everybody else and fill the queue, and callers
    would be refused for requests that nobody waits for.
    """
    made = make()
    fill(made)
    for name in ('a', 'b', 'c'):
        assert isinstance(made.ask(0.1, ask(name)), messages.Queued)
    full = made.ask(0.2, ask('d'))
    assert isinstance(full, messages.Refused)
    assert (full.code, full.figures) == (
        'queue-full',
        (values.Figure('queued', 3), values.Figure('limit', 3)),
    )
    made.keep(2.9, keep('e1', 'r0', 'r1', 'r2', 'r3'))
    later = made.ask(4, ask('d'))
    assert isinstance(later, messages.Queued)
    assert later.position == 0


def test_a_finished_prefill_moves_to_the_worker_with_a_free_slot() -> None:
    """A prefill is done and its decode worker is still full.

    The result is evicted within a second; left to wait, its work would be
    for nobody while a slot stands empty at another worker.
    """
    made = make('d0', 'd1')
    made.on_service(
        msgspec.structs.replace(SERVICE, expected_tokens=64), values.Weights()
    )
    granted = [made.ask(0, ask(f'r{i}')) for i in range(2 * SLOTS + 1)]
    last = granted[-1]
    assert isinstance(last, messages.Granted)
    assert last.decode == 'd0'
    ended = next(
        reply.grant
        for reply in granted
        if isinstance(reply, messages.Granted) and reply.decode == 'd1'
    )
    made.end(0.9, end(ended.rpartition('/')[0]))
    moved = made.ask(1, ask('r8', ready_at='p0'))
    assert isinstance(moved, messages.Granted)
    assert (moved.decode, moved.grant) == ('d1', last.grant)


def test_a_stalled_transfer_is_recovered_without_a_new_prefill() -> None:
    """A transfer goes silent for good while the prefill's result lives.

    A whole new attempt would prefill again what is there already.
    """
    made = make('d0', 'd1')
    assert isinstance(made.ask(0, ask('r')), messages.Granted)
    made.end(0.5, end('r', 'transfer-failed'))
    again = made.ask(0.5, ask('r', attempt=2, ready_at='p0'))
    assert isinstance(again, messages.Granted)
    assert (again.prefill, again.start_in_ms) == ('p0', 0)
    other = made.ask(0.5, ask('s'))
    assert isinstance(other, messages.Granted)
    assert other.start_in_ms == 0


def test_a_dead_worker_rests_before_the_list_drops_it() -> None:
    """A decode worker dies; the platform's list shows it for seconds yet.

    Its slots come back with every failure, so it would look the emptiest and
    draw all new requests, which would fail one after the other.
    """
    made = make('d0', 'd1')
    for name in ('a', 'b', 'c', 'd'):
        granted = made.ask(0, ask(name))
        assert isinstance(granted, messages.Granted)
        if granted.decode == 'd0':
            made.end(0.1, end(name, 'decode-failed'))
    for name in ('e', 'f'):
        granted = made.ask(0.2, ask(name))
        assert isinstance(granted, messages.Granted)
        assert granted.decode == 'd1'


def test_failing_transfers_never_leave_a_false_no_backend() -> None:
    """A link is so slow that every transfer fails.

    Callers would be told that no backend server is listed, and an auditor who
    reads the list of that minute would find all of them in it.
    """
    made = make()
    for name in ('a', 'b', 'c', 'd'):
        made.ask(0, ask(name))
        made.end(0.1, end(name, 'transfer-failed'))
    assert isinstance(made.ask(0.2, ask('e')), messages.Granted)


def test_a_dead_entry_vm_leaves_nothing_at_the_engines() -> None:
    """An entry VM dies with streams that nobody reads any more.

    They would hold slots until their last token, which for a long summary is
    half a minute of a worker's memory for callers who are gone.
    """
    scn = scenario.Scenario(name='', load=1.0, fault='vm-dies')
    run = scenario.Run(workload.LANNA, scn, bench_home.HomePlacer, 60)
    run.world.clock.at(19.9, lambda: doomed.extend(_held(run, dead)))
    run.world.clock.at(27.5, lambda: left.extend(_held(run, dead)))
    placer = run.placer
    assert isinstance(placer, bench_home.HomePlacer)
    dead = placer.home()
    doomed: list[str] = []
    left: list[str] = []
    run.figures()
    assert doomed
    assert not set(doomed) & set(left)


def _held(run: scenario.Run, vm: int) -> list[str]:
    streams = [k for d in run.world.decodes.values() for k in d.streams()]
    requests = {
        a.request
        for a in run.arrivals
        if a.vm == vm and a.at < run.world.clock.now
    }
    return [key for key in streams if key.rpartition('/')[0] in requests]


def test_retries_stay_within_their_budget_and_deadline() -> None:
    """Every attempt fails, as when a rack is gone.

    Retries without a budget would multiply the load just then, and keep the
    workers busy for callers who gave up.
    """
    bud = budget.Budget(ratio=0.1, burst=3)
    for _ in range(100):
        bud.first(1.0)
    assert sum(bud.allow(1.0, deadline=2.0) for _ in range(100)) == 13
    late = budget.Budget(ratio=1.0, burst=3)
    assert not late.allow(2.0, deadline=2.0)


@pytest.mark.parametrize('count', [1, 3, 6, 7, 8])
def test_shares_add_up_to_the_slots(count: int) -> None:
    """Every entry VM loses the home at once.

    Shares that add up to more than the slots would overfill the workers, and
    less would leave slots empty.
    """
    vms = [f'vm{i}' for i in range(count)]
    worker = server('d0', 'decode')
    parts = []
    for vm in vms:
        part = share.Share(NAME, vm)
        part.on_listing(_listing(vms))
        parts.append(part.part(worker))
    assert sum(parts) == SLOTS


def test_a_share_refuses_what_the_workers_report_as_full() -> None:
    """Other entry VMs still reach the home and fill the workers.

    The cut off one would send its share on top, to be turned away there.
    """
    part = share.Share(NAME, 'vm0')
    part.on_service(SERVICE)
    part.on_listing(_listing(['vm0']))
    part.on_load('d0', load(running=SLOTS))
    assert isinstance(part.ask(0, ask('r')), messages.Queued)
    over = part.ask(0, ask('r', waited_ms=10_000))
    assert isinstance(over, messages.Refused)
    assert over.code == 'patience-over'
    part.on_load('d0', load(running=SLOTS, age_ms=60_000))
    assert isinstance(part.ask(0, ask('r')), messages.Granted)


def _listing(vms: list[str]) -> values.Listing:
    return values.Listing(
        version=1,
        entry_vms=tuple(
            values.EntryVm(name=vm, data_centre='a', keeper='127.0.0.1:1')
            for vm in vms
        ),
        backend_servers=(server('p0', 'prefill'), server('d0', 'decode')),
    )


@pytest.mark.parametrize('fault', ['', 'vm-dies', 'keeper-cut', 'worker-dies'])
def test_nothing_stays_held_when_all_callers_are_gone(fault: str) -> None:
    """Callers leave, entry VMs and workers die, a keeper is cut off.

    Whatever the engines still held afterwards would be lost to everybody, and
    they would look full with nobody to answer.
    """
    scn = scenario.Scenario(name='', load=1.0, fault=fault)
    run = scenario.Run(workload.EISBRECHER, scn, bench_home.HomePlacer, 20)
    run.figures()
    decodes = run.world.decodes.values()
    assert [worker.running() for worker in decodes] == [0, 0, 0]
    placer = run.placer
    assert isinstance(placer, bench_home.HomePlacer)
    assert placer.dump()['granted'] == 0
