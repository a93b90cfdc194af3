"""Which request is blamed for crashes of servers."""

from collections.abc import Callable
import heapq
import random

from foxtaildale import crashes
from foxtaildale import messages

_BAD = 1


def _crash(
    server: str,
    fingerprint: int,
    ran_ms: int = 50,
    *,
    age_ms: int = 0,
) -> messages.Crash:
    return messages.Crash(
        server=server,
        started_at=0,
        fingerprint=fingerprint,
        ran_ms=ran_ms,
        age_ms=age_ms,
    )


def _tracker(*reports: messages.Crash) -> crashes.Crashes:
    tracker = crashes.Crashes()
    for crash in reports:
        tracker.record(0.0, crash)
    return tracker


def test_request_present_at_each_crash_is_blamed() -> None:
    tracker = _tracker(*(_crash(name, _BAD) for name in 'abc'))
    assert tracker.newly_blamed(crashes.SETTLE_S, ()) == [_BAD]


def test_two_crashes_blame_no_request() -> None:
    tracker = _tracker(*(_crash(name, _BAD) for name in 'ab'))
    assert tracker.newly_blamed(10.0, ()) == []


def test_crash_reported_repeatedly_counts_once() -> None:
    """Guards against counting each attempt on a server, or each VM's report."""
    tracker = _tracker(*(_crash('a', _BAD) for _ in range(9)))
    assert tracker.newly_blamed(10.0, ()) == []


def test_delayed_copy_of_a_report_does_not_remove_it() -> None:
    """Guards against a report that is taken for a request sent after it."""
    tracker = _tracker(*(_crash(name, _BAD) for name in 'abc'))
    for name in 'abc':
        tracker.record(0.4, _crash(name, _BAD))
    assert len(tracker.reports(0.5)) == 3
    assert tracker.newly_blamed(crashes.SETTLE_S, ()) == [_BAD]


def test_request_lost_beside_the_cause_is_not_blamed() -> None:
    """Guards against blaming a request that was retried beside the cause."""
    beside = [_crash(name, 2, ran_ms=20) for name in 'abc']
    tracker = _tracker(*beside, *(_crash(name, _BAD) for name in 'abcd'))
    assert tracker.newly_blamed(1.0, ()) == [_BAD]


def test_crashes_of_quarantined_request_blame_no_other() -> None:
    """Guards against blaming others while quarantined attempts still run."""
    tracker = _tracker(*(_crash(name, 2) for name in 'abc'))
    for name in 'abc':
        tracker.record(0.1, _crash(name, _BAD, age_ms=100))
    assert tracker.newly_blamed(1.0, (_BAD,)) == []


def test_two_simultaneous_causes_are_both_blamed() -> None:
    reports = [_crash(name, _BAD) for name in 'abcd']
    reports += [_crash(name, 2) for name in 'efg']
    reports += [_crash(name, 3, ran_ms=3000) for name in 'abefg']
    assert sorted(_tracker(*reports).newly_blamed(1.0, ())) == [_BAD, 2]


def test_long_responses_on_crashing_servers_are_not_blamed() -> None:
    """Guards against blaming streams that are resumed on crashing servers."""
    tracker = _tracker(*(_crash(name, 2, ran_ms=1500) for name in 'abcde'))
    assert tracker.newly_blamed(1.0, ()) == []


def test_request_that_crashes_late_is_blamed_after_more_crashes() -> None:
    tracker = _tracker(*(_crash(name, _BAD, ran_ms=4000) for name in 'abcdef'))
    assert tracker.newly_blamed(1.0, ()) == [_BAD]


def test_request_that_waited_is_hardly_suspected() -> None:
    """Guards against blaming requests that were queued on crashing servers."""
    tracker = _tracker(*(_crash(name, 2, ran_ms=700) for name in 'abcde'))
    assert tracker.newly_blamed(1.0, ()) == []


def test_blame_waits_for_reports_of_other_vms() -> None:
    """Guards against blame before the reports about the cause arrive."""
    tracker = _tracker(*(_crash(name, 2) for name in 'abc'))
    assert tracker.newly_blamed(crashes.SETTLE_S / 2, ()) == []
    for name in 'abcd':
        crash = _crash(name, _BAD, ran_ms=10, age_ms=250)
        tracker.record(crashes.SETTLE_S / 2, crash)
    assert tracker.newly_blamed(crashes.SETTLE_S, ()) == [_BAD]


def test_request_sent_after_the_crash_is_not_suspected() -> None:
    """Guards against blame for reuse of a connection that the crash closed."""
    tracker = crashes.Crashes()
    for name in 'abc':
        for request in range(100, 300):
            late = _crash(name, request, ran_ms=2)
            tracker.record(0.25, late)
        tracker.record(0.26, _crash(name, _BAD, ran_ms=90, age_ms=200))
    assert tracker.newly_blamed(1.0, ()) == [_BAD]


def test_old_crashes_expire() -> None:
    tracker = _tracker(*(_crash(name, _BAD) for name in 'ab'))
    later = crashes.CRASH_TTL_S + 1.0
    tracker.record(later, _crash('c', _BAD))
    assert tracker.newly_blamed(later + 1.0, ()) == []


def test_completed_request_is_acquitted() -> None:
    tracker = _tracker(*(_crash(name, _BAD) for name in 'abc'))
    tracker.remove_request(_BAD)
    assert tracker.newly_blamed(1.0, ()) == []


def test_memory_is_bounded() -> None:
    tracker = crashes.Crashes()
    for number in range(2 * crashes.MAX_CRASHES):
        for request in range(2 * crashes.MAX_REQUESTS):
            tracker.record(0.0, _crash(f's{number}', request))
    assert len(tracker._crashes) == crashes.MAX_CRASHES
    sizes = {len(crash.requests) for crash in tracker._crashes.values()}
    assert sizes == {crashes.MAX_REQUESTS}


def test_latest_requests_of_busy_server_are_remembered() -> None:
    tracker = crashes.Crashes()
    for name in 'abc':
        tracker.record(0.0, _crash(name, _BAD, ran_ms=40))
        for request in range(2, 200):
            tracker.record(0.0, _crash(name, request, ran_ms=100 + request))
    assert tracker.newly_blamed(1.0, ())[0] == _BAD


class _CrashingServers:
    """Servers that crash on their own and restart, under a steady load.

    A request that is lost in a crash is retried on another server at once, at
    most three times.
    """

    _SERVERS = 5
    _RATE = 8.0
    _RESPONSE_S = 1.5
    _DOWN_S = 2.0
    _RETRIES = 3

    def __init__(self, seed: int, up_s: float) -> None:
        self.rng = random.Random(seed)
        self.up_s = up_s
        self.tracker = crashes.Crashes()
        self.request_count = 0
        self.blamed: list[int] = []
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.scheduled = 0
        # By server: running requests with start time and remaining retries.
        self.running: list[dict[int, tuple[float, int]] | None] = []
        for server in range(self._SERVERS):
            self.running.append(None)
            self.start_server(0.0, server)
        self.arrive(0.0)

    def schedule(self, at: float, event: Callable[[float], None]) -> None:
        self.scheduled += 1
        heapq.heappush(self.events, (at, self.scheduled, event))

    def play(self, end_s: float) -> None:
        while self.events[0][0] < end_s:
            now, _, event = heapq.heappop(self.events)
            event(now)
            self.blamed += self.tracker.newly_blamed(now, self.blamed)

    def arrive(self, now: float) -> None:
        self.request_count += 1
        self.send(now, self.request_count, self._RETRIES)
        self.schedule(now + self.rng.expovariate(self._RATE), self.arrive)

    def send(self, now: float, request: int, retries: int) -> None:
        up = [running for running in self.running if running is not None]
        if not up or request in self.blamed:
            return
        running = self.rng.choice(up)
        running[request] = now, retries

        def finish(_: float) -> None:
            # A crashed server has no running requests.
            if running.pop(request, None) is not None:
                self.tracker.remove_request(request)

        self.schedule(now + self.rng.expovariate(1 / self._RESPONSE_S), finish)

    def start_server(self, now: float, server: int) -> None:
        self.running[server] = {}
        self.schedule(
            now + self.rng.expovariate(1 / self.up_s),
            lambda at: self.crash_server(at, server),
        )

    def crash_server(self, now: float, server: int) -> None:
        lost = dict(self.running[server] or {})
        (self.running[server] or {}).clear()
        self.running[server] = None
        for request, (began, _) in lost.items():
            ran_ms = int((now - began) * 1000)
            self.tracker.record(now, _crash(f'{server}/{now}', request, ran_ms))
        for request, (_, retries) in lost.items():
            if retries:
                self.send(now, request, retries - 1)
        self.schedule(
            now + self._DOWN_S, lambda at: self.start_server(at, server)
        )


def test_occasional_crashes_blame_no_request() -> None:
    """Guards against quarantining healthy requests after ordinary crashes."""
    for seed in range(10):
        site = _CrashingServers(seed, up_s=30.0)
        site.play(120.0)
        assert site.blamed == []


def test_frequent_crashes_blame_almost_no_request() -> None:
    """Guards against quarantining requests lost three times by chance."""
    sites = [_CrashingServers(seed, up_s=8.0) for seed in range(10)]
    for site in sites:
        site.play(120.0)
    blamed = sum(len(site.blamed) for site in sites)
    assert blamed <= sum(site.request_count for site in sites) / 1000
