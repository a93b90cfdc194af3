"""Several requests that crash servers, and entry VMs that come and go beside them.

The cases that need one such request alone are in `test_quarantine_path`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import threading
import time

import pytest

from foxtaildale import crashes
from foxtaildale import messages
from foxtaildaled import quarantine_manager
from foxtaildaled import router_daemon
from tests import site as sites
from tests.standins import crasher
from tests.standins import serving

_DEADLY = '/deadly'
# Crashes after which a request must not reach a server any more, and the sends
# that may still be on their way.
_CRASHES = 3
_LATE = 3
# Sends after which a request must have been refused.
_MAX_SENDS = 20
# Time in which all entry VMs must know, seconds.
_KNOWN_S = 3.0
_RESTART_S = 0.4
# Time until entry VMs read of a restarted server, seconds.
_LISTED_S = 0.7
# Time from the start of a run until the server crashes where the entry VM has to
# begin its drain in between, seconds.
_RUN_S = 0.3
_COORDINATOR = quarantine_manager.COORDINATOR_SUBJECT


class _Site(sites.Site):
    """Servers that deadly requests crash, and entry VMs before them."""

    def __init__(self) -> None:
        super().__init__()
        self.crashers: list[crasher.Crasher] = []
        self._ids = (f'a{number}' for number in itertools.count())
        self.store.put('keyed.op', 'config', sites.config(1))
        for name in ('s1', 's2', 's3'):
            self._crasher(name, 'plain')
        self.worker('p1', 'model', 'prefill')
        for name in ('d1', 'd2', 'd3'):
            self._crasher(name, 'model', 'decode')

    def _crasher(self, name: str, service: str, stage: str = '') -> None:
        worker = self.worker(name, service, stage)
        made = crasher.Crasher(worker, self.store, _DEADLY, _RESTART_S)
        self.crashers.append(made)

    def arrivals(self, target: str) -> int:
        """Returns how often a request reached a server that can crash."""
        return sum(made.arrivals(target) for made in self.crashers)

    def ask(self, target: str, number: int) -> int:
        """Sends a request under a new id; returns its status, or 0 if cut."""
        status, _, body = sites.send(
            self, 'POST', target, attempt=next(self._ids), number=number
        )
        return 0 if body == b'(cut)' else status

    def crash_servers(self, target: str, numbers: tuple[int, ...]) -> None:
        """Sends a request to some entry VMs in turn until it is refused."""
        for number in itertools.islice(itertools.cycle(numbers), _MAX_SENDS):
            if self.is_quarantined(target, number):
                return
            time.sleep(_RESTART_S + _LISTED_S)
        pytest.fail(f'{target} is still sent to servers')

    def is_quarantined(self, target: str, number: int) -> bool:
        """Sends a request; returns whether it is refused as quarantined."""
        status, _, body = sites.send(
            self, 'POST', target, attempt=next(self._ids), number=number
        )
        return status == 503 and b'quarantined' in body

    def repeats(self, target: str, numbers: tuple[int, ...]) -> int:
        """Sends a request six times; returns how often it reaches a server.

        Each time it must be refused as quarantined, and not because the servers
        are down.
        """
        before = self.arrivals(target)
        for number in itertools.islice(itertools.cycle(numbers), 6):
            assert self.is_quarantined(target, number)
        return self.arrivals(target) - before

    def quarantined_counts(self) -> list[int]:
        """Returns the number of quarantined requests at each entry VM."""
        return [
            len(router._state.quarantine_state.quarantine.quarantined(0.0))
            for router in self.routers
        ]

    def coordinator(self) -> int:
        """Returns the number of the entry VM that coordinates the reports.

        After a replacement, this waits until one of them takes over.
        """
        found: list[int] = []

        def is_found() -> bool:
            found[:] = [
                number
                for number, router in enumerate(self.routers)
                if router._coordinators.is_coordinator(_COORDINATOR)
            ]
            return bool(found)

        sites.until(is_found, 10.0)
        return found[0]

    def replace(self, number: int) -> None:
        """Removes an entry VM and starts another one at other addresses."""
        self.routers.pop(number).close()
        self.router(seeds=(self.routers[0].cfg.peer_address,))
        last = len(self.routers) - 1
        sites.until(lambda: sites.ready(self, last))

    def close(self) -> None:
        for made in self.crashers:
            made.close()
        super().close()


@pytest.fixture
def site() -> Iterator[_Site]:
    made = _Site()
    yield made
    made.close()


def _in_threads(calls: list[Callable[[], None]]) -> None:
    threads = [threading.Thread(target=call) for call in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _delayed(
    run: Callable[[serving.Request], None],
) -> Callable[[serving.Request], None]:
    def run_later(req: serving.Request) -> None:
        time.sleep(_RUN_S)
        run(req)

    return run_later


@pytest.mark.parametrize('kind', ['once', 'chat'])
def test_several_deadly_requests_are_all_stopped(
    site: _Site, kind: str
) -> None:
    """Guards against a deadly request that goes on in the shadow of another."""
    site.start_routers(3)
    targets = [f'/{kind}{_DEADLY}/{number}' for number in range(3)]

    _in_threads(
        [
            lambda target=target, first=first: site.crash_servers(  # type: ignore[misc]
                target, (first, (first + 1) % 3, (first + 2) % 3)
            )
            for first, target in enumerate(targets)
        ]
    )
    time.sleep(_KNOWN_S)
    assert [site.repeats(target, (0, 1, 2)) for target in targets] == [0] * 3
    # Each request may be hidden until all others are quarantined.
    assert max(site.arrivals(target) for target in targets) <= (
        len(targets) * _CRASHES + _LATE
    )
    assert site.ask(f'/{kind}/good', 0) == 200


def test_streams_and_plain_requests_are_stopped_side_by_side(
    site: _Site,
) -> None:
    """Guards against crashes of one service that explain those of another."""
    site.start_routers(2)
    targets = [f'/{kind}{_DEADLY}' for kind in ('safe', 'chat')]
    _in_threads(
        [
            lambda target=target: site.crash_servers(target, (0, 1))  # type: ignore[misc]
            for target in targets
        ]
    )
    time.sleep(_KNOWN_S)
    assert site.quarantined_counts() == [2, 2]
    assert [site.repeats(target, (1, 0)) for target in targets] == [0, 0]


def test_crashes_around_a_stop_in_turn_add_up(site: _Site) -> None:
    """Guards against reports that are lost as each VM stops after its own."""
    site.start_routers(3)
    target = f'/once{_DEADLY}'
    for number in range(3):
        site.ask(target, number)
        site.routers[number].stop()
        site.routers[number].close()
        site.restart(number)
        sites.until(lambda n=number: sites.ready(site, n))  # type: ignore[misc]
    assert site.arrivals(target) == _CRASHES
    time.sleep(_KNOWN_S)
    assert site.repeats(target, (0, 1, 2)) == 0


def test_crashes_at_the_end_of_a_drain_add_up(site: _Site) -> None:
    """Guards against a report that is dropped as its VM has nothing to drain."""
    site.start_routers(4)
    target = f'/once{_DEADLY}'
    for made in site.crashers:
        made.worker.on_run = _delayed(made.worker.on_run)
    for number in range(_CRASHES):
        stopped = threading.Thread(target=site.routers[number].stop)
        stopped.start()
        # The VM takes its last request and drains until the server crashes.
        time.sleep(router_daemon.LAME_DUCK_S - _RUN_S / 2)
        site.ask(target, number)
        stopped.join()
        time.sleep(_LISTED_S)
    assert site.arrivals(target) == _CRASHES
    time.sleep(_KNOWN_S)
    assert site.repeats(target, (3,)) == 0


def test_replaced_coordinator_does_not_release_a_request(site: _Site) -> None:
    """Guards against a quarantine that ends with the coordinator that decided."""
    site.start_routers(3)
    target = f'/chat{_DEADLY}'
    site.crash_servers(target, (0, 1))
    time.sleep(_KNOWN_S)
    for _ in range(3):
        site.replace(site.coordinator())
        assert site.repeats(target, (2, 0, 1)) == 0
    assert site.quarantined_counts() == [1, 1, 1]


def test_replaced_coordinator_between_crashes_knows_them(site: _Site) -> None:
    """Guards against a count of crashes that starts anew at each coordinator."""
    site.start_routers(3)
    target = f'/once{_DEADLY}'
    for _ in range(_CRASHES):
        site.ask(target, site.coordinator())
        time.sleep(_RESTART_S + _LISTED_S)
        site.replace(site.coordinator())
        # The successors of the new list get their copies.
        time.sleep(_KNOWN_S)
    assert site.arrivals(target) == _CRASHES
    assert site.repeats(target, (0, 1, 2)) == 0


def _record(
    tracker: crashes.Crashes, now: float, server: str, *requests: int
) -> None:
    for request in requests:
        crash = messages.Crash(
            server=server,
            started_at=int(now * 1000),
            fingerprint=request,
            ran_ms=50,
            age_ms=0,
        )
        tracker.record(now, crash)


def test_request_that_always_crashed_beside_another_is_blamed_later() -> None:
    """Guards against a deadly request that the quarantine of another hides."""
    tracker = crashes.Crashes()
    for number in range(_CRASHES):
        _record(tracker, float(number), 'a', 1, 2)
    (first,) = tracker.newly_blamed(4.0, ())
    other = 3 - first
    for number in range(_CRASHES):
        assert tracker.newly_blamed(5.0 + number, (first,)) == []
        _record(tracker, 5.0 + number, 'a', other)
    assert tracker.newly_blamed(9.0, (first,)) == [other]


def test_many_deadly_requests_are_all_blamed_and_no_bystander() -> None:
    """Guards against bystanders blamed for what several requests caused."""
    tracker = crashes.Crashes()
    deadly = range(20)
    bystander = 100
    for cause in deadly:
        for number in range(_CRASHES):
            now = cause * 3.0 + number
            # Each bystander is lost twice, beside different causes.
            lost = bystander + (cause * _CRASHES + number) // 2
            _record(tracker, now, f's{number}', cause, lost)
    assert sorted(tracker.newly_blamed(70.0, ())) == list(deadly)
