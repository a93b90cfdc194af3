"""A request that ends servers, before routers on real sockets.

Each server that begins to run it ends, and is back after a while. Its callers send
it again and again, under new ids, to any entry VM.
"""

from collections.abc import Iterator
import itertools
import json
import threading
import time

import pytest

from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale_adapters import zmq_responder
from foxtaildaled import quarantine_manager
from tests import site as sites
from tests.standins import crasher

_BAD = '/bad'
# Ends after which the request must reach no server any more, and the sends that may
# still be on their way.
_ENDS = 3
_LATE = 3
# Time in which all entry VMs in touch must know, seconds.
_KNOWN_S = 3.0
_BACK_S = 0.4
# Time until entry VMs read of a new start, seconds.
_LISTED_S = 0.7
_KINDS = ['safe', 'once', 'chat', 'single']


class _Site(sites.Site):
    """Servers that the bad request ends, and entry VMs before them."""

    def __init__(self) -> None:
        super().__init__()
        self.crashers: list[crasher.Crasher] = []
        self.ids = (f'a{number}' for number in itertools.count())
        self.store.put('keyed.op', 'config', sites.config(1))
        for name in ('s1', 's2', 's3'):
            self._crasher(name, 'plain')
        self.worker('p1', 'model', 'prefill')
        for name in ('d1', 'd2', 'd3'):
            self._crasher(name, 'model', 'decode')

    def _crasher(self, name: str, service: str, stage: str = '') -> None:
        worker = self.worker(name, service, stage)
        made = crasher.Crasher(worker, self.store, _BAD, _BACK_S)
        self.crashers.append(made)

    def ends_at_prefill(self, name: str) -> None:
        """Lets the bad request end a prefill worker, in place of decoders."""
        made = crasher.Crasher(self.workers[name], self.store, _BAD, _BACK_S)
        self.workers[name].on_prefill = self.workers[name].on_run
        for other in self.workers.values():
            if other.stage == 'decode':
                other.on_run = lambda _: None
        self.crashers.append(made)

    def crashes(self) -> int:
        return sum(made.crashes for made in self.crashers)

    def arrivals(self) -> int:
        """Returns how often the bad request reached a server."""
        return sum(
            _BAD in req.target
            for worker in self.workers.values()
            for req in list(worker.ran)
        )

    def ask(
        self, target: str, number: int, headers: dict[str, str] | None = None
    ) -> int:
        """Sends a request under a new id; returns its status."""
        status, _, body = sites.send(
            self,
            'POST',
            target,
            attempt=next(self.ids),
            number=number,
            headers=headers,
        )
        return 0 if body == b'(cut)' else status

    def end_servers(self, kind: str, numbers: tuple[int, ...]) -> None:
        """Lets the bad request end servers, at some entry VMs in turn."""
        for number in itertools.cycle(numbers):
            self.ask(f'/{kind}{_BAD}', number)
            if self.crashes() >= _ENDS:
                return
            time.sleep(_BACK_S + _LISTED_S)

    def repeats(self, kind: str, numbers: tuple[int, ...]) -> int:
        """Sends it six times; returns how many reach a server."""
        before = self.arrivals()
        for number in itertools.islice(itertools.cycle(numbers), 6):
            time.sleep(_BACK_S + _LISTED_S)
            self.ask(f'/{kind}{_BAD}', number)
        return self.arrivals() - before

    def all_hold(self, request: int) -> bool:
        """Whether all entry VMs hold a request, by its fingerprint."""
        return all(
            request
            in router._state.quarantine_state.quarantine.quarantined(0.0)
            for router in self.routers
        )

    def close(self) -> None:
        for made in self.crashers:
            made.close()
        super().close()


def _report(
    vm: quarantine_manager.QuarantineManager, request: int, *servers: str
) -> None:
    """Has an entry VM report that servers ended under a request."""
    for server in servers:
        ended = forwarding.Backend(
            id=server, service='plain', address='127.0.0.1:1'
        )
        vm.record_crash(ended, request, ran_s=0.01)


@pytest.fixture
def site() -> Iterator[_Site]:
    made = _Site()
    yield made
    made.close()


@pytest.mark.parametrize('kind', _KINDS)
def test_a_request_that_ends_servers_is_stopped_at_all_vms(
    site: _Site, kind: str
) -> None:
    """Guards against repeats under new ids, each a first send at its VM."""
    site.start_routers(3)
    site.end_servers(kind, (0, 1))
    time.sleep(_KNOWN_S)
    assert site.repeats(kind, (2, 1, 0)) <= _LATE


def test_a_vm_that_starts_later_stops_it_too(site: _Site) -> None:
    """Guards against a new VM that knows nothing of what came before it."""
    site.start_routers(2)
    site.end_servers('safe', (0, 1))
    time.sleep(_KNOWN_S)
    site.start_routers(1)
    assert site.repeats('safe', (2,)) <= _LATE


def test_a_vm_without_the_store_stops_it_too(site: _Site) -> None:
    """Guards against knowledge that only the store passes on."""
    site.start_routers(3)
    site.cut_store(2)
    site.end_servers('chat', (0, 1))
    time.sleep(_KNOWN_S)
    assert site.repeats('chat', (2,)) <= _LATE


def test_it_is_stopped_after_all_vms_ended(site: _Site) -> None:
    """Guards against knowledge that ends with the processes that have it."""
    site.start_routers(2)
    site.end_servers('safe', (0, 1))
    time.sleep(_KNOWN_S)
    for router in site.routers:
        router.close()
    site.routers.clear()
    site.start_routers(2)
    time.sleep(1.0)
    assert site.repeats('safe', (0, 1)) <= _LATE


def test_other_requests_of_its_route_are_served(site: _Site) -> None:
    """Guards against a route or a server that is closed for one request."""
    site.start_routers(2)
    site.end_servers('chat', (0, 1))
    time.sleep(_KNOWN_S)
    assert site.ask(f'/chat{_BAD}', 0) == 503
    for number in (0, 1):
        assert site.ask('/chat/good', number) == 200
        assert site.ask('/safe/good', number) == 200
        assert site.ask(f'/safe{_BAD}/other', number) != 503


def test_a_refusal_says_why_and_for_how_long(site: _Site) -> None:
    site.start_routers(2)
    site.end_servers('safe', (0, 1))
    time.sleep(_KNOWN_S)
    status, headers, body = sites.send(site, 'POST', f'/safe{_BAD}', number=1)
    assert status == 503
    assert 800 < float(headers['retry-after']) <= 900
    found = json.loads(body)['error']
    assert (found['code'], found['ran']) == ('quarantined', 'no')


def test_a_poll_that_many_send_is_not_held(site: _Site) -> None:
    """Guards against holding what all callers send alike, where servers crash."""
    site.start_routers(2)
    over = threading.Event()

    def poll(number: int) -> None:
        while not over.is_set():
            site.ask('/safe/poll', number)

    polls = [
        threading.Thread(target=poll, args=(number % 2,)) for number in range(4)
    ]
    for worker in site.workers.values():
        worker.work_s = 0.02
    for thread in polls:
        thread.start()
    for made in site.crashers[:3] * 2:
        time.sleep(_BACK_S + _LISTED_S)
        made.crash()
    time.sleep(_BACK_S + _LISTED_S)
    over.set()
    for thread in polls:
        thread.join()
    assert [site.ask('/safe/poll', number) for number in (0, 1)] == [200, 200]


def test_reports_of_one_vm_alone_hold_nothing(site: _Site) -> None:
    """Guards against a VM that blames what the reports of others explain."""
    site.start_routers(3)
    at_home = [
        r._coordinators.is_coordinator(quarantine_manager.COORDINATOR_SUBJECT)
        for r in site.routers
    ]
    home = at_home.index(True)
    one, other = (
        site.routers[number]._quarantining
        for number in range(3)
        if number != home
    )
    _report(other, 8, 'x1', 'x2', 'x3', 'x4')
    _report(one, 7, 'x1', 'x2', 'x3')

    def held(number: int) -> set[int]:
        state = site.routers[number]._state
        return set(state.quarantine_state.quarantine.quarantined(0.0))

    sites.until(lambda: all(held(number) == {8} for number in range(3)))
    time.sleep(1.5)
    assert all(held(number) == {8} for number in range(3))


def test_a_home_that_started_again_hears_all_of_it(site: _Site) -> None:
    """Guards against reports that end with the VM that had them."""
    site.start_routers(3)
    reporter = site.routers[0]._quarantining
    _report(reporter, 7, 'x1', 'x2')
    time.sleep(1.0)
    for router in site.routers[1:]:
        router.close()
    del site.routers[1:]
    site.start_routers(1)
    # One more, reported by another VM: the home must add up all three.
    other = site.routers[1]._quarantining
    _report(other, 7, 'x3')

    sites.until(lambda: site.all_hold(7), 6.0)


def test_reports_outlive_a_home_that_made_them(site: _Site) -> None:
    """Guards against reports that end with a VM that is their home as well."""
    site.start_routers(3)
    at_home = [
        r._coordinators.is_coordinator(quarantine_manager.COORDINATOR_SUBJECT)
        for r in site.routers
    ]
    home = site.routers.pop(at_home.index(True))
    _report(home._quarantining, 7, 'x1', 'x2')
    time.sleep(1.0)
    home.close()
    _report(site.routers[0]._quarantining, 7, 'x3')

    sites.until(lambda: site.all_hold(7), 6.0)


def test_reports_outlive_both_their_vm_and_their_home(site: _Site) -> None:
    """Guards against reports that a VM was told of and passes on to no home."""
    site.start_routers(3)
    at_home = [
        r._coordinators.is_coordinator(quarantine_manager.COORDINATOR_SUBJECT)
        for r in site.routers
    ]
    home = site.routers.pop(at_home.index(True))
    reporter, heir = site.routers
    _report(reporter._quarantining, 7, 'x1', 'x2')
    time.sleep(1.0)
    reporter.close()
    home.close()
    site.routers[:] = [heir]
    # Another start may leave the VM that was told as the home itself.
    sites.until(
        lambda: heir._coordinators.is_coordinator(
            quarantine_manager.COORDINATOR_SUBJECT
        ),
        6.0,
    )
    while heir._coordinators.is_coordinator(
        quarantine_manager.COORDINATOR_SUBJECT
    ):
        site.start_routers(1)
    time.sleep(1.5)
    newest = site.routers[-1]._quarantining
    _report(newest, 7, 'x3')

    sites.until(lambda: site.all_hold(7), 6.0)


def test_a_stop_sends_the_reports_that_its_loop_has_not(site: _Site) -> None:
    """Guards against a crash that is seen as the last request of a VM ends."""
    site.start_routers(3)
    ending = site.routers.pop(0)
    ending._quarantining.on_report = lambda: None
    _report(ending._quarantining, 7, 'x1', 'x2', 'x3')
    ending.close()

    sites.until(lambda: site.all_hold(7), 6.0)


def test_reports_reach_a_vm_that_joins_after_them(site: _Site) -> None:
    """Guards against reports whose only copies end with the first VMs."""
    site.start_routers(2)
    _report(site.routers[0]._quarantining, 7, 'x1', 'x2')
    time.sleep(1.0)
    site.start_routers(1)
    time.sleep(_KNOWN_S)
    for router in site.routers[:2]:
        router.close()
    del site.routers[:2]
    _report(site.routers[0]._quarantining, 7, 'x3')

    sites.until(lambda: site.all_hold(7), 6.0)


def test_reports_reach_a_successor_that_started_again(site: _Site) -> None:
    """Guards against a copy that is lost as a successor restarts."""
    site.start_routers(3)
    at_home = [
        r._coordinators.is_coordinator(quarantine_manager.COORDINATOR_SUBJECT)
        for r in site.routers
    ]
    home = at_home.index(True)
    _report(site.routers[home]._quarantining, 7, 'x1', 'x2')
    time.sleep(1.0)
    for number in range(3):
        if number != home:
            site.restart(number)
    time.sleep(_KNOWN_S)
    site.routers.pop(home).close()
    _report(site.routers[0]._quarantining, 7, 'x3')

    sites.until(lambda: site.all_hold(7), 8.0)


def test_reports_reach_a_seed_that_is_not_listed(site: _Site) -> None:
    """Guards against reports without a copy while the list of VMs is short."""
    received: list[messages.Message] = []

    def take(msg: messages.Message) -> messages.Message:
        received.append(msg)
        return messages.QuarantineUpdate(coordinator_id=1)

    seed = zmq_responder.Responder('127.0.0.1:0', take)
    router = site.router(seeds=(seed.start(),))
    sites.until(lambda: 'vm-1' in router.entry_vms())
    _report(router._quarantining, 7, 'x1', 'x2')
    sites.until(
        lambda: any(
            isinstance(msg, messages.CrashReports) and len(msg.crashes) == 2
            for msg in received
        )
    )
    seed.close()


def test_who_judges_for_a_home_that_is_gone_saves_too(site: _Site) -> None:
    """Guards against a verdict that ends with the VMs, since no home saved it."""
    site.start_routers(3)
    at_home = [
        r._coordinators.is_coordinator(quarantine_manager.COORDINATOR_SUBJECT)
        for r in site.routers
    ]
    site.routers.pop(at_home.index(True)).close()
    _report(site.routers[0]._quarantining, 7, 'x1', 'x2', 'x3')
    key = f'held/{fingerprint.to_text(7)}'
    sites.until(lambda: key in site.store.keys('keyed.entryvms'), 6.0)


def test_a_request_that_ends_prefill_workers_is_stopped_too(
    site: _Site,
) -> None:
    """Guards against prompts that are read on as they end prefill workers."""
    for name in ('p2', 'p3'):
        site.worker(name, 'model', 'prefill')
    for name in ('p1', 'p2', 'p3'):
        site.ends_at_prefill(name)
    site.start_routers(3)
    site.end_servers('chat', (0, 1))
    time.sleep(_KNOWN_S)
    assert site.repeats('chat', (2, 0)) <= _LATE
