"""Servers that leave, or ask for rest, in their answers, before routers."""

from collections.abc import Iterator
import contextlib
import time

import pytest

from foxtaildale import forwarding
from foxtaildaled import plain_forwarder
from tests import loads
from tests import site as sites
from tests.standins import wireworker

_VMS = 3
# Callers of each router.
_CALLERS = 3
# Time from an answer that says that its server leaves until its VM must send
# nothing there, seconds.
_LEAVES_S = 2.0
# The same for a server that asks for rest, and the sends that are excused.
_RESTS_S = 0.5
_EXCUSED = 2
_REST_S = 2.5
# The other server of each kind.
_OTHER = {'s1': 's2', 'p1': 'p2', 'd1': 'd2'}
_CASES = [
    ('/safe', 's1'),
    ('/once', 's1'),
    ('/chat', 'p1'),
    ('/chat', 'd1'),
    ('/single', 'd1'),
]


def _load(site: sites.Site, target: str) -> loads.Load:
    return loads.Load(site, target, 0.03, callers=_CALLERS)


@pytest.fixture
def site() -> Iterator[sites.Site]:
    with contextlib.closing(sites.Site()) as made:
        made.store.put('keyed.op', 'config', sites.config(1))
        for name in ('s1', 's2'):
            made.worker(name, 'plain').work_s = 0.05
        for name in ('p1', 'p2'):
            made.worker(name, 'model', 'prefill').work_s = 0.02
        for name in ('d1', 'd2'):
            made.worker(name, 'model', 'decode')
        made.start_routers(_VMS, seeded=False)
        yield made


def _first(site: sites.Site, name: str, number: int, since: float) -> float:
    """Returns when a server first got a request of a router."""
    times = [
        arrival.at
        for arrival in list(site.workers[name].came)
        if arrival.at >= since and arrival.attempt.startswith(f'{number}-')
    ]
    return min(times, default=float('inf'))


def _first_refused(site: sites.Site, name: str, number: int) -> float:
    """Returns when a server first told a router for how long it wants rest.

    A router that others have told may send its first request after that time.
    """
    times = [
        arrival.at
        for arrival in list(site.workers[name].came)
        if arrival.rest_s is not None
        and arrival.attempt.startswith(f'{number}-')
    ]
    return min(times, default=float('inf'))


def _count(
    site: sites.Site, name: str, number: int, begin: float, end: float
) -> int:
    """Returns how many requests of a router a server got in a time."""
    return sum(
        begin <= arrival.at < end and arrival.attempt.startswith(f'{number}-')
        for arrival in list(site.workers[name].came)
    )


def _any(site: sites.Site, name: str, since: float) -> int:
    return sum(at >= since for at in site.workers[name].came_at)


def _first_sends(site: sites.Site, name: str, since: float) -> list[str]:
    """Returns the requests that a server got, but for replacements."""
    # A request that waits too long at the other server may go to one that asked
    # another router for rest.
    other = list(site.workers[_OTHER[name]].came)
    return [
        arrival.attempt
        for arrival in list(site.workers[name].came)
        if arrival.at >= since
        and not any(
            first.attempt == arrival.attempt
            and first.at <= arrival.at - plain_forwarder.MIN_STALL_S
            for first in other
        )
    ]


def _is_used(site: sites.Site, name: str) -> bool:
    """Whether every router sends to a server whose like has no room."""
    site.workers[_OTHER[name]].refuse = True
    began = time.monotonic()
    time.sleep(1.0)
    return all(
        _count(site, name, number, began, 1e18) for number in range(_VMS)
    )


@pytest.mark.parametrize(('target', 'name'), _CASES)
def test_nothing_new_goes_to_a_server_that_says_it_leaves(
    site: sites.Site, target: str, name: str
) -> None:
    """Guards against a leave that is heeded only once the list tells it."""
    site.store.down = True
    site.workers[name].leaving = True
    began = time.monotonic()
    load = _load(site, target)
    time.sleep(_LEAVES_S + 2.0)
    load.end()
    for number in range(_VMS):
        first = _first(site, name, number, began)
        assert not _count(site, name, number, first + _LEAVES_S, 1e18)
    assert set(load.statuses) == {200}


def test_a_vm_that_did_not_hear_a_leave_is_told(site: sites.Site) -> None:
    """Guards against each VM sending a request to find out for itself."""
    site.store.down = True
    site.workers['s1'].leaving = True
    sites.until(
        lambda: (
            sites.send(site, 'POST', '/safe/x', attempt='0-1')[0] == 200
            and _any(site, 's1', 0.0) > 0
        )
    )
    time.sleep(1.5)
    began = time.monotonic()
    load = _load(site, '/safe')
    time.sleep(1.0)
    load.end()
    assert not _any(site, 's1', began)


def test_a_young_vm_knows_who_leaves(site: sites.Site) -> None:
    """Guards against a process that starts with the list alone."""
    site.workers['s1'].leaving = True
    load = _load(site, '/safe')
    time.sleep(1.5)
    load.end()
    site.router(seeds=(site.peers[0],))
    sites.until(lambda: sites.ready(site, _VMS))
    began = time.monotonic()
    for number in range(8):
        sites.send(site, 'GET', '/safe/x', attempt=f'n{number}', number=_VMS)
    assert not _any(site, 's1', began)


def _load_while_leaving(
    site: sites.Site, worker: wireworker.WireWorker
) -> loads.Load:
    """Starts a load, and has a worker say for a second that it leaves."""
    worker.leaving = True
    load = _load(site, '/safe')
    time.sleep(1.0)
    worker.leaving = False
    return load


def test_a_leave_that_is_withdrawn_holds_no_more(site: sites.Site) -> None:
    """Guards against a healthy server that gets nothing for old word."""
    worker = site.workers['s1']
    load = _load_while_leaving(site, worker)
    for _ in range(5):
        site.store.put('keyed.servers', 's1', worker.entry())
        time.sleep(1.2)
    assert _is_used(site, 's1')
    load.end()


def test_a_new_start_of_a_server_is_none_that_leaves(site: sites.Site) -> None:
    """Guards against word of one start that is held against the next."""
    worker = site.workers['s1']
    load = _load_while_leaving(site, worker)
    worker.born = 1
    site.store.put('keyed.servers', 's1', worker.entry())
    time.sleep(1.0)
    assert _is_used(site, 's1')
    load.end()


@pytest.mark.parametrize(('target', 'name'), _CASES)
def test_a_server_that_asks_for_rest_gets_it(
    site: sites.Site, target: str, name: str
) -> None:
    """Guards against sends to a server that wants none for some seconds."""
    worker = site.workers[name]
    worker.refuse = True
    worker.rest_s = _REST_S
    load = _load(site, target)
    # Before the rest is over: the first request behind it must not be refused.
    time.sleep(_REST_S - _RESTS_S)
    worker.refuse = False
    time.sleep(_RESTS_S + 1.0)
    # It is asked again when the time is over.
    assert _is_used(site, name)
    load.end()
    for number in range(_VMS):
        first = _first_refused(site, name, number)
        end = first + _REST_S
        got = _count(site, name, number, first + _RESTS_S, end)
        assert got <= _EXCUSED


@pytest.mark.parametrize(
    ('target', 'names'),
    [('/once', ('s1', 's2')), ('/chat', ('d1', 'd2'))],
)
def test_who_only_resting_servers_could_serve_is_told_when(
    site: sites.Site, target: str, names: tuple[str, ...]
) -> None:
    """Guards against callers who wait, or come back, while all rest."""
    for name in names:
        site.workers[name].refuse = True
        site.workers[name].rest_s = _REST_S
    load = _load(site, target)
    time.sleep(1.0)
    load.end()
    began = time.monotonic()
    status, headers, _ = sites.send(site, 'POST', f'{target}/x')
    took_s = time.monotonic() - began
    assert status == 503
    assert took_s < 0.2
    assert 0.1 <= float(headers['retry-after']) <= _REST_S * 1.2
    assert not any(_any(site, name, began) for name in names)


def test_word_that_comes_while_a_request_waits_is_heeded(
    site: sites.Site,
) -> None:
    """Guards against a place that was granted before the word came."""
    answer = forwarding.ControlResponse(
        status=503, report=forwarding.SelfReport(backoff_s=_REST_S)
    )
    router = site.routers[0]

    def hear(_: object) -> None:
        for name in ('d1', 'd2'):
            entry = router._state.fleet.server_state(name)
            assert entry is not None
            router._self_reports.apply_response(entry.backend, answer)

    for name in ('p1', 'p2'):
        site.workers[name].on_prefill = hear
    status, headers, _ = sites.send(site, 'POST', '/single/x')
    assert status == 503
    assert float(headers['retry-after']) > 0.5
    assert not site.workers['d1'].came
    assert not site.workers['d2'].came


def test_rest_that_one_vm_heard_of_is_spared_by_all(site: sites.Site) -> None:
    """Guards against as many requests in vain as there are VMs."""
    worker = site.workers['s1']
    worker.refuse = True
    worker.rest_s = 5.0
    sites.until(
        lambda: (
            sites.send(site, 'POST', '/safe/x', attempt='0-1')[0] == 200
            and bool(worker.came)
        )
    )
    time.sleep(1.5)
    began = time.monotonic()
    load = _load(site, '/safe')
    time.sleep(1.0)
    load.end()
    assert not _first_sends(site, 's1', began)


def test_what_a_server_asks_of_a_vm_is_not_told_to_its_callers(
    site: sites.Site,
) -> None:
    """Guards against callers who take a server's time for the router's."""
    for name in ('s1', 's2'):
        site.workers[name].leaving = True
    status, headers, _ = sites.send(site, 'POST', '/safe/x')
    assert status == 200
    assert 'server-leaving' not in headers
