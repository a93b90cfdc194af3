"""Streams stay at the software version of the servers that began them."""

from collections.abc import Iterator
from concurrent import futures
import copy
import pathlib
import signal
import threading
import time

import pytest

from foxtaildale import packing
from foxtaildale_adapters import connections
from foxtaildale_adapters import peers
from foxtaildaled import placement_client
from tests import site as sites
from tests import versionsite
from tests.standins import serving

# Number of streams; a free choice between two versions keeps all of them at
# their versions about once in 4,000 runs.
_STREAMS = 12
# Time of a refusal that waits for nothing, seconds.
_PROMPT_S = 0.5


@pytest.fixture
def site() -> Iterator[versionsite.VersionSite]:
    made = versionsite.VersionSite()
    try:
        yield made
    finally:
        made.close()


def _check_resumed(
    site: versionsite.VersionSite, began: dict[str, str], number: int = 0
) -> None:
    """Checks that all streams go on, each at its version."""
    found = {attempt: site.resume(attempt, number=number) for attempt in began}
    assert found == {
        attempt: (200, '', version) for attempt, version in began.items()
    }


def test_a_broken_stream_goes_on_at_its_version(
    site: versionsite.VersionSite,
) -> None:
    """Guards against events of two versions within one response."""
    site.fill(1)
    site.break_streams()
    began = site.begin_each(_STREAMS)
    assert len(began) == _STREAMS


def test_without_a_coordinator_a_stream_goes_on_at_its_version(
    site: versionsite.VersionSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a reservation at a server of another version."""
    site.fill(1)
    site.break_streams()
    monkeypatch.setattr(
        placement_client.PlacementClient, 'request', lambda *_: None
    )
    began = site.begin_each(_STREAMS)
    assert len(began) == _STREAMS


def test_a_silent_server_is_replaced_by_one_of_its_version(
    site: versionsite.VersionSite,
) -> None:
    """Guards against a replacement of another version."""
    site.fill(1)
    hung: set[str] = set()
    ends = threading.Event()

    def hang(number: int, attempt: str) -> None:
        if number > 1 and attempt not in hung:
            hung.add(attempt)
            ends.wait(4.0)

    for worker in site.workers.values():
        worker.on_event = hang
    with futures.ThreadPoolExecutor(6) as pool:
        found = [pool.submit(site.begin) for _ in range(6)]
        futures.wait(found)
        ends.set()
    # Each stream ran at one version.
    assert len({done.result()[0] for done in found}) == len(found)
    assert len(hung) == len(found)


def test_a_response_ends_at_once_as_its_version_is_gone(
    site: versionsite.VersionSite,
) -> None:
    """Guards against a stream that waits, or goes on elsewhere."""
    site.fill(1, ('v1', 'v2', 'v2'))
    cut_at: list[float] = []

    def remove(number: int, attempt: str) -> None:
        if number == 3 and not cut_at:
            site.remove('d0')
            cut_at.append(time.monotonic())
            raise serving.Cut

    site.workers['d0'].on_event = remove
    took_s = 0.0
    while not cut_at:
        _, _, body = sites.send(site, 'POST', '/chat/x', attempt='cut')
        took_s = time.monotonic() - cut_at[0] if cut_at else 0.0
    assert body == b'(cut)'
    assert took_s < _PROMPT_S


def test_a_caller_resumes_at_the_version_of_its_stream(
    site: versionsite.VersionSite,
) -> None:
    """Guards against events of two versions over a caller's attempts."""
    site.fill(1)
    _check_resumed(site, site.begin_each(_STREAMS))


def test_a_caller_resumes_at_another_vm(
    site: versionsite.VersionSite,
) -> None:
    """Guards against a version that only the serving VM knows."""
    site.fill(3)
    began = site.begin_each(_STREAMS)
    for number in (1, 2):
        _check_resumed(site, began, number)


def test_a_caller_resumes_after_the_serving_vm_ended(
    site: versionsite.VersionSite,
) -> None:
    """Guards against a version that is lost with the serving VM."""
    site.fill(3)
    began = site.begin_each(_STREAMS)
    site.restart(0)
    _check_resumed(site, began, 1)
    sites.until(lambda: sites.ready(site, 0))
    _check_resumed(site, began, 0)


def test_a_caller_resumes_after_the_serving_vm_was_cut_off(
    site: versionsite.VersionSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reports that are lost as no other VM is reached."""
    site.fill(3)

    cut = site.routers[0]._peers
    nowhere = f'127.0.0.1:{sites.free_port()}'
    enqueue = peers.Peers._enqueue

    def cut_off(
        self: peers.Peers, address: str, payload: bytes
    ) -> connections.PendingRequest:
        return enqueue(self, nowhere if self is cut else address, payload)

    monkeypatch.setattr(peers.Peers, '_enqueue', cut_off)
    began = site.begin_each(_STREAMS)
    time.sleep(1.5)
    site.routers[0].close()
    _check_resumed(site, began, 1)


def test_a_caller_resumes_where_the_store_is_away(
    site: versionsite.VersionSite,
) -> None:
    """Guards against origins that only the store tells."""
    site.fill(3)
    began = site.begin_each(_STREAMS)
    assert set(began.values()) == {'v1', 'v2'}
    site.store.down = True
    tried = dict(site.try_begin() for _ in range(_STREAMS))
    later = {key: version for key, version in tried.items() if version}
    # One may fail before the router knows that nothing is saved.
    assert len(later) >= _STREAMS - 1
    assert set(later.values()) == {'v2'}
    began |= later
    site.routers[0].close()
    _check_resumed(site, began, 1)


def test_a_caller_resumes_after_all_vms_ended(
    site: versionsite.VersionSite,
) -> None:
    """Guards against versions that are lost with all VMs."""
    site.fill(3)
    began = site.begin_each(_STREAMS)
    time.sleep(1.5)
    for router in site.routers:
        router.close()
    for number in range(3):
        site.restart(number)
    for number in range(3):
        sites.until(lambda n=number: sites.ready(site, n))  # type: ignore[misc]
    _check_resumed(site, began, 1)


def test_a_caller_is_refused_at_once_as_its_version_is_gone(
    site: versionsite.VersionSite,
) -> None:
    """Guards against a resumed stream that waits for a version that left."""
    site.fill(2, ('v1', 'v2', 'v2'))
    began: dict[str, str] = {}
    while 'v1' not in began.values():
        began |= site.begin_each(1)
    site.remove('d0')
    for attempt, version in began.items():
        if version == 'v1':
            began_at = time.monotonic()
            found = site.resume(attempt, number=1)
            assert found == (503, 'version-gone', '')
            assert time.monotonic() - began_at < _PROMPT_S


def test_a_version_whose_server_is_full_is_not_gone(
    site: versionsite.VersionSite,
) -> None:
    """Guards against callers who are told to start anew for want of room."""
    site.fill(1, ('v1', 'v2', 'v2'))
    began: dict[str, str] = {}
    while 'v1' not in began.values():
        began |= site.begin_each(1)
    site.workers['d0'].refuse = True
    attempt = next(key for key, version in began.items() if version == 'v1')
    assert site.resume(attempt) == (503, 'backend-refused', '')


def test_a_placement_at_another_version_is_not_used(
    site: versionsite.VersionSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a coordinator of a build that does not know versions."""
    monkeypatch.setattr(
        packing.Packing, '_workers', lambda self, _: self._open_workers
    )
    site.fill(1)
    site.break_streams()
    began = site.begin_each(_STREAMS)
    _check_resumed(site, began)


def test_a_stream_of_unknown_origin_is_refused_with_two_versions(
    site: versionsite.VersionSite,
) -> None:
    """Guards against a guess between two versions."""
    site.fill(2)
    site.begin_each(_STREAMS)
    refused = (503, 'origin-unknown', '')
    assert site.resume('') == refused
    # The store drops recent origins, and is away.
    site.store.forget('streamorigins')
    assert site.resume('never-seen', number=1) == refused
    site.store.down = True
    assert site.resume('never-seen', number=1) == refused


def test_a_caller_resumes_as_a_second_version_comes(
    site: versionsite.VersionSite,
) -> None:
    """Guards against streams whose version was not worth a record."""
    site.fill(3, ('v1', 'v1'))
    began = site.begin_each(_STREAMS)
    for name in ('d2', 'd3', 'd4', 'd5'):
        site.worker(name, 'model', 'decode', 'v2')
    for router in site.routers:
        sites.until(lambda r=router: 'd5' in versionsite.listed(r))  # type: ignore[misc]
    _check_resumed(site, began, 1)


def test_a_server_that_restarts_with_another_version_is_of_that_version(
    site: versionsite.VersionSite,
) -> None:
    """Guards against the version of an earlier incarnation."""
    site.fill(1, ('v1', 'v2'))
    began: dict[str, str] = {}
    while set(began.values()) != {'v1', 'v2'}:
        began |= site.begin_each(1)
    worker = site.workers['d0']
    worker.version, worker.born = 'v2', worker.born + 1000
    site.store.put('keyed.servers', 'd0', worker.entry())
    sites.until(lambda: versionsite.listed(site.routers[0])['d0'] == 'v2')
    for attempt, version in began.items():
        expected = (200, '', 'v2')
        if version == 'v1':
            expected = (503, 'version-gone', '')
        assert site.resume(attempt) == expected


def test_a_split_route_keeps_the_service_of_a_stream(
    site: versionsite.VersionSite,
) -> None:
    """Guards against a service that is drawn anew for each attempt."""
    cfg = copy.deepcopy(sites.config(1))
    chat = next(route for route in cfg['routes'] if route['name'] == 'chat')
    del chat['service']
    chat['weighted_split'] = [
        {'service': 'model', 'weight': 1},
        {'service': 'other', 'weight': 1},
    ]
    cfg['services'].append(cfg['services'][1] | {'name': 'other'})
    site.store.put('keyed.op', 'config', cfg)
    for service in ('model', 'other'):
        site.worker(f'p-{service}', service, 'prefill')
        site.worker(f'd-{service}', service, 'decode')
    site.start_routers(2)
    began = [site.begin()[0] for _ in range(_STREAMS)]
    services = [_service(site, attempt) for attempt in began]
    # The weights move between the attempts.
    moved = cfg | {'version': 2}
    chat['weighted_split'][0]['weight'] = 100
    site.store.put('keyed.op', 'config', moved)
    for router in site.routers:
        sites.until(lambda r=router: r.config_version() == 2)  # type: ignore[misc]
    for attempt in began:
        assert site.resume(attempt, number=1) == (200, '', 'v1')
    resumed = [_service(site, f'r{n}') for n in range(_STREAMS, 2 * _STREAMS)]
    assert resumed == services


def _service(site: versionsite.VersionSite, attempt: str) -> str:
    (service,) = {
        worker.service
        for worker in site.workers.values()
        if worker.stage == 'decode' and attempt in worker.ids()
    }
    return service


@pytest.mark.parametrize(
    ('trouble', 'all_vms'),
    [
        (signal.SIGTERM, False),
        (signal.SIGKILL, False),
        (signal.SIGSTOP, False),
        (signal.SIGKILL, True),
    ],
)
def test_processes_keep_the_versions_of_streams(
    tmp_path: pathlib.Path, trouble: signal.Signals, all_vms: bool
) -> None:
    """Guards against versions lost as router processes stop or are killed."""
    site = versionsite.ProcessSite(tmp_path, 3)
    try:
        began = site.begin_each(_STREAMS)
        if all_vms:
            time.sleep(1.5)
        for router in site.routers if all_vms else site.routers[:1]:
            router.send_signal(trouble)
        if all_vms:
            site.start()
        found = {attempt: site.resume(attempt, 1) for attempt in began}
        assert found == {
            attempt: (200, '', version) for attempt, version in began.items()
        }
    finally:
        site.close()
