"""A part of prompts that crashes servers, before routers on real sockets.

Each decode server that begins to run a prompt with that part crashes. No two
requests with it are alike, and healthy requests have all their other parts.
"""

from collections.abc import Iterator
from concurrent import futures
import itertools
import json
import threading
import time

import pytest

from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildaled import quarantine_manager
from tests import site as sites
from tests.standins import crasher

# Id of the part at fault, and of the part that all prompts begin with.
_BAD = 'bad0'
_FIRST = 'f1'
# Crashes after which the part must be known, the time in which all entry VMs
# must know it, seconds, and the requests that may still reach servers then.
_CRASHES = 5
_KNOWN_S = 3.0
_LATE = 3
_BACK_S = 0.4
# Time for which servers are full while requests wait, seconds.
_QUEUED_S = 4.0
# Orders of parts in prompts with the part at fault; the last part, which each
# request has for itself, follows.
_PROMPTS = {
    'first': (_BAD, 'm1', 'n1'),
    'middle': (_FIRST, _BAD, 'm1'),
    'late': (_FIRST, 'm1', _BAD),
    'only': (_BAD,),
}


class _Site(sites.Site):
    """Servers that the part crashes, and entry VMs before them."""

    def __init__(self) -> None:
        super().__init__()
        self.numbers = itertools.count()
        self.crashers: list[crasher.Crasher] = []
        self.store.put('keyed.op', 'config', sites.config(1))
        for name in ('p1', 'p2'):
            self.worker(name, 'model', 'prefill')
        for name in ('d1', 'd2', 'd3', 'd4'):
            worker = self.worker(name, 'model', 'decode')
            made = crasher.Crasher(worker, self.store, _BAD, _BACK_S)
            self.crashers.append(made)

    def crashes(self) -> int:
        return sum(made.crashes for made in self.crashers)

    def arrivals(self) -> int:
        """Returns how often the part reached a server, prefills as well."""
        return sum(
            crasher.has_part(req, _BAD)
            for worker in self.workers.values()
            for req in list(worker.ran)
        )

    def ask(
        self,
        parts: tuple[str, ...],
        router: int,
        kind: str = 'chat',
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Sends a request that no other one is like."""
        number = next(self.numbers)
        prompt = ','.join(f'{part}:100' for part in (*parts, f'own{number}'))
        status, _, body = sites.send(
            self,
            'POST',
            f'/{kind}/{number}',
            attempt=f'a{number}',
            number=router,
            headers={'Foxtaildale-Prompt-Prefix': prompt} | (headers or {}),
        )
        return (0 if body == b'(cut)' else status), body

    def serve_healthy(self, parts: tuple[str, ...], count: int = 2) -> None:
        """Has healthy requests with these parts served at each entry VM."""
        for router in range(len(self.routers)):
            for _ in range(count):
                assert self.ask(parts, router)[0] == 200

    def crash_servers(
        self, parts: tuple[str, ...], kind: str, count: int = _CRASHES
    ) -> None:
        """Sends requests with the part until so many servers crashed."""
        before = self.crashes()
        routers = itertools.cycle(range(len(self.routers)))
        for router in itertools.islice(routers, 40):
            if self.crashes() - before >= count:
                return
            self.ask(parts, router, kind)

    def late_arrivals(self, parts: tuple[str, ...], kind: str = 'chat') -> int:
        """Returns how many of nine more requests reach servers."""
        before = self.arrivals()
        routers = itertools.cycle(range(len(self.routers)))
        for router in itertools.islice(routers, 9):
            self.ask(parts, router, kind)
            time.sleep(0.1)
        return self.arrivals() - before

    def streams(self) -> int:
        """Returns how many requests began at decode servers."""
        return sum(
            len(worker.ran)
            for worker in self.workers.values()
            if worker.stage == 'decode'
        )

    def quarantined(self, router: int) -> set[int]:
        quarantine = self.routers[router]._state.quarantine_state.quarantine
        return set(quarantine.quarantined(0.0))

    def coordinator(self) -> int:
        """Returns the number of the router that decides."""
        at_home = [
            r._coordinators.is_coordinator(
                quarantine_manager.COORDINATOR_SUBJECT
            )
            for r in self.routers
        ]
        return at_home.index(True)

    def close(self) -> None:
        for made in self.crashers:
            made.close()
        super().close()


@pytest.fixture
def site() -> Iterator[_Site]:
    made = _Site()
    try:
        yield made
    finally:
        made.close()


def _healthy(parts: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(part for part in parts if part != _BAD)


@pytest.mark.parametrize('kind', ['chat', 'single'])
@pytest.mark.parametrize('place', _PROMPTS)
def test_part_that_crashes_servers_is_stopped_at_all_vms(
    site: _Site, place: str, kind: str
) -> None:
    """Guards against a part that is sent on since no two requests are alike."""
    parts = _PROMPTS[place]
    site.start_routers(3)
    site.serve_healthy(_healthy(parts))
    site.crash_servers(parts, kind)
    time.sleep(_KNOWN_S)
    assert site.late_arrivals(parts, kind) <= _LATE


def test_part_is_stopped_whatever_else_prompts_hold(site: _Site) -> None:
    """Guards against a quarantine of other parts that the first prompts had."""
    site.start_routers(3)
    site.serve_healthy((_FIRST,))
    numbers = iter(range(100))
    for router in itertools.islice(itertools.cycle(range(3)), 30):
        if site.crashes() >= _CRASHES:
            break
        site.ask((_FIRST, f'x{next(numbers)}', _BAD), router)
    time.sleep(_KNOWN_S)
    assert site.late_arrivals((_FIRST, 'y', _BAD)) <= _LATE
    assert site.late_arrivals((_BAD, 'z')) <= _LATE


def test_healthy_requests_with_the_other_parts_are_served(site: _Site) -> None:
    """Guards against a quarantine of parts that healthy requests have too."""
    parts = (_FIRST, 'm1', _BAD)
    site.start_routers(3)
    site.serve_healthy((_FIRST, 'm1'))
    site.crash_servers(parts, 'chat')
    time.sleep(_KNOWN_S)
    statuses = [
        site.ask(healthy, number % 3)[0]
        for number in range(12)
        for healthy in ((_FIRST,), (_FIRST, 'm1'), (_FIRST, 'm1', f'q{number}'))
    ]
    assert statuses.count(200) >= 34
    assert site.ask(parts, 0)[0] == 503


def test_healthy_requests_that_first_come_later_are_served(site: _Site) -> None:
    """Guards against a quarantine of parts that no healthy request had yet."""
    site.start_routers(3)
    site.serve_healthy(('other',))
    site.crash_servers((_FIRST, 'm1', _BAD), 'chat')
    time.sleep(_KNOWN_S)
    statuses = [
        site.ask(healthy, number % 3)[0]
        for number in range(6)
        for healthy in ((_FIRST,), (_FIRST, 'm1'))
    ]
    assert statuses == [200] * 12


def test_part_is_stopped_beside_bystanders(site: _Site) -> None:
    """Guards against blame of requests that ran beside the ones at fault."""
    site.start_routers(3)
    site.serve_healthy((_FIRST,))
    over = threading.Event()
    found: list[tuple[int, bytes]] = []

    def keep_asking(router: int) -> None:
        while not over.is_set():
            found.append(site.ask((_FIRST, f's{router}'), router))

    for worker in site.workers.values():
        worker.pace_s = 0.02
    threads = [
        threading.Thread(target=keep_asking, args=(number % 3,))
        for number in range(6)
    ]
    for thread in threads:
        thread.start()
    site.crash_servers((_FIRST, _BAD), 'chat')
    time.sleep(_KNOWN_S)
    late = site.late_arrivals((_FIRST, _BAD))
    over.set()
    for thread in threads:
        thread.join()
    assert late <= _LATE
    assert not any(b'quarantined' in body for _, body in found)


def test_crashes_of_all_servers_quarantine_no_part(site: _Site) -> None:
    """Guards against blame of a popular part where servers crash by themselves."""
    site.start_routers(3)
    over = threading.Event()

    def keep_asking(router: int) -> None:
        while not over.is_set():
            site.ask((_FIRST, 'm1'), router)

    for worker in site.workers.values():
        worker.pace_s = 0.03
    threads = [
        threading.Thread(target=keep_asking, args=(number % 3,))
        for number in range(6)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    for _ in range(3):
        for made in site.crashers:
            made.crash()
        time.sleep(1.0)
    time.sleep(1.0)
    over.set()
    for thread in threads:
        thread.join()
    assert [site.quarantined(number) for number in range(3)] == [set()] * 3


def test_vms_that_restart_stop_the_part_too(site: _Site) -> None:
    """Guards against a quarantine that ends with the processes."""
    parts = (_FIRST, _BAD)
    site.start_routers(3)
    site.serve_healthy((_FIRST,))
    site.crash_servers(parts, 'chat')
    time.sleep(_KNOWN_S)
    for number in range(3):
        site.restart(number)
    sites.until(lambda: all(sites.ready(site, n) for n in range(3)))
    assert site.late_arrivals(parts) <= _LATE
    assert site.ask((_FIRST,), 0)[0] == 200


def test_part_is_stopped_though_all_vms_restart_before_the_decision(
    site: _Site,
) -> None:
    """Guards against a decision that needs what was completed before a restart."""
    parts = (_FIRST, _BAD)
    site.start_routers(3)
    site.serve_healthy((_FIRST,))
    site.crash_servers(parts, 'chat', 2)
    for number in range(3):
        site.restart(number)
    sites.until(lambda: all(sites.ready(site, n) for n in range(3)))
    sites.until(lambda: site.ask((_FIRST,), 0)[0] == 200)
    site.crash_servers(parts, 'chat')
    time.sleep(_KNOWN_S)
    assert site.late_arrivals(parts) <= _LATE
    assert site.ask((_FIRST,), 1)[0] == 200


def test_part_is_stopped_though_the_coordinator_ends(site: _Site) -> None:
    """Guards against a decision that ends with the VM that makes it."""
    parts = (_FIRST, _BAD)
    site.start_routers(3)
    site.serve_healthy((_FIRST,))
    site.crash_servers(parts, 'chat', 3)
    site.routers.pop(site.coordinator()).close()
    site.crash_servers(parts, 'chat', 2)
    time.sleep(_KNOWN_S)
    assert site.late_arrivals(parts) <= _LATE


def test_vm_without_the_store_stops_the_part(site: _Site) -> None:
    """Guards against a quarantine that only the store passes on."""
    parts = (_FIRST, _BAD)
    site.start_routers(3)
    site.serve_healthy((_FIRST,))
    site.cut_store(2)
    site.crash_servers(parts, 'chat')
    time.sleep(_KNOWN_S)
    assert site.late_arrivals(parts) <= _LATE


def test_queued_request_with_the_part_reaches_no_server(site: _Site) -> None:
    """Guards against requests that wait as their part is quarantined."""
    parts = (_FIRST, _BAD)
    cfg = sites.config(1)
    # Requests wait for longer than the time in which the part must be known.
    limits = {'target_latency_ms': 1500, 'timeout_ms': 9000}
    cfg['routes'] = [route | limits for route in cfg['routes']]
    site.store.put('keyed.op', 'config', cfg)
    site.start_routers(2)
    site.serve_healthy((_FIRST,))
    begun = site.streams()
    large = {
        'Foxtaildale-Token-Count': '20000,5000',
        'Foxtaildale-Deadline-Ms': '9000',
    }
    for worker in site.workers.values():
        worker.pace_s = _QUEUED_S / worker.events
    with futures.ThreadPoolExecutor(12) as pool:
        running = [
            pool.submit(site.ask, (_FIRST,), number % 2, headers=large)
            for number in range(8)
        ]
        sites.until(lambda: site.streams() - begun >= len(running))
        waiting = [
            pool.submit(site.ask, parts, number % 2, headers=large)
            for number in range(4)
        ]
        time.sleep(_QUEUED_S / 8)
        before = site.arrivals()
        for number in range(5):
            crashed = forwarding.Backend(
                id=f'x{number}', service='model', address='127.0.0.1:1'
            )
            site.routers[0]._quarantining.record_crash(
                crashed,
                number,
                ran_s=0.01,
                parts=fingerprint.compute_parts('model', parts),
            )
        answers = [one.result() for one in waiting]
    assert (before, site.arrivals()) == (0, 0)
    assert all(b'quarantined' in body for _, body in answers), answers


def test_resumed_request_with_the_part_is_refused(site: _Site) -> None:
    """Guards against a caller that resumes what a crash broke off."""
    parts = (_FIRST, _BAD)
    site.start_routers(2)
    site.serve_healthy((_FIRST,))
    site.crash_servers(parts, 'chat')
    time.sleep(_KNOWN_S)
    before = site.arrivals()
    status, body = site.ask(parts, 1, headers={'Last-Event-Id': '2'})
    assert (status, site.arrivals()) == (503, before)
    found = json.loads(body)['error']
    assert (found['code'], found['ran']) == ('quarantined', 'no')


@pytest.mark.parametrize(
    'prompt',
    [
        '',
        ',',
        'zz',
        ':::',
        'é:1,zz:5',
        ','.join(f'{number:x}:1' for number in range(500)),
        'f' * 3000 + ':1,own:2',
        'f1:1,f1:1,f1:1,own:2',
    ],
)
def test_hostile_prompt_headers_quarantine_nothing(
    site: _Site, prompt: str
) -> None:
    """Guards against a header that fails a request or fills the memory."""
    site.start_routers(1)
    headers = {'Foxtaildale-Prompt-Prefix': prompt.encode().decode('latin-1')}
    for number in range(3):
        status, _, _ = sites.send(
            site,
            'POST',
            f'/chat/{number}',
            attempt=f'h{number}',
            headers=headers,
        )
        assert status in (200, 400)
    assert site.quarantined(0) == set()


def test_coordinator_of_an_earlier_build_does_not_keep_the_part(
    site: _Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reports to a coordinator that knows no parts."""
    parts = (_FIRST, _BAD)
    site.start_routers(3)
    site.serve_healthy((_FIRST,))
    old = site.routers[site.coordinator()]._quarantining
    apply_reports = old.apply_reports

    def apply_as_before(
        msg: messages.CrashReports,
    ) -> messages.QuarantineUpdate:
        known = messages.CrashReports(
            crashes=tuple(_without_parts(crash) for crash in msg.crashes),
            cleared=msg.cleared,
            to_successor=msg.to_successor,
        )
        reply = apply_reports(known)
        return messages.QuarantineUpdate(
            coordinator_id=reply.coordinator_id,
            quarantined=reply.quarantined,
            cleared=reply.cleared,
        )

    handlers = site.routers[site.coordinator()]._handlers
    monkeypatch.setitem(handlers, messages.CrashReports, apply_as_before)
    site.crash_servers(parts, 'chat')
    time.sleep(_KNOWN_S)
    new_vms = [n for n in range(3) if n != site.coordinator()]
    before = site.arrivals()
    for number in new_vms * 3:
        site.ask(parts, number)
    assert site.arrivals() - before <= _LATE


def _without_parts(crash: messages.Crash) -> messages.Crash:
    return messages.Crash(
        server=crash.server,
        started_at=crash.started_at,
        fingerprint=crash.fingerprint,
        ran_ms=crash.ran_ms,
        age_ms=crash.age_ms,
    )


def test_part_is_refused_at_once_with_its_reason(site: _Site) -> None:
    parts = (_FIRST, _BAD)
    site.start_routers(2)
    site.serve_healthy((_FIRST,))
    site.crash_servers(parts, 'chat')
    time.sleep(_KNOWN_S)
    started_at = time.monotonic()
    status, body = site.ask(parts, 0)
    assert time.monotonic() - started_at < 0.3
    found = json.loads(body)['error']
    assert (status, found['code'], found['ran']) == (503, 'quarantined', 'no')
    (key,) = site.quarantined(0)
    assert found['figures']['fingerprint'] == fingerprint.to_text(key)


def test_cut_from_servers_quarantines_nothing(site: _Site) -> None:
    """Guards against a refused connection that is taken for a crash."""
    parts = (_FIRST, 'm1')
    site.start_routers(3)
    coordinator = site.coordinator()
    cut, other = (n for n in range(3) if n != coordinator)
    site.serve_healthy(('g1',))
    servers = [
        site.routers[cut]._state.fleet.usable(name, 0.0)
        for name in ('d1', 'd2', 'd3', 'd4')
    ]
    # The VM behind the cut reports what other VMs are served by.
    for number, server in enumerate(servers * 2):
        assert server is not None
        site.routers[cut]._quarantining.record_crash(
            server,
            100 + number,
            ran_s=0.01,
            parts=fingerprint.compute_parts('model', ('m2',)),
        )
        site.routers[cut]._quarantining.record_crash(server, 7, ran_s=0.01)
    end = time.monotonic() + 2.0
    statuses = []
    while time.monotonic() < end:
        statuses.append(site.ask(parts, other)[0])
        statuses.append(site.ask(parts, coordinator)[0])
    assert set(statuses) == {200}
    assert [site.quarantined(number) for number in range(3)] == [set()] * 3
