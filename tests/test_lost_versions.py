"""Versions of streams outlive all entry VMs, and VMs that are out of step."""

from collections.abc import Iterator
from concurrent import futures
import pathlib
import signal
import time

import pytest

from foxtaildale import errors
from foxtaildale import stream_origins
from foxtaildale_adapters import connections
from foxtaildale_adapters import peers
from foxtaildale_platform import store
from foxtaildaled import origin_reports
from foxtaildaled import origin_store
from tests import site as sites
from tests import versionsite
from tests.standins import keyedstore

_STREAMS = 12
# Time in which each VM learns that saves are late, seconds.
_LEARN_S = 24.0


@pytest.fixture
def site() -> Iterator[versionsite.VersionSite]:
    made = versionsite.VersionSite()
    try:
        yield made
    finally:
        made.close()


def _end_all(site: versionsite.VersionSite) -> None:
    for router in site.routers:
        router.close()


def _start_all(site: versionsite.VersionSite) -> None:
    for number in range(len(site.routers)):
        site.restart(number)
    for number in range(len(site.routers)):
        sites.until(lambda n=number: sites.ready(site, n))  # type: ignore[misc]


def _add(site: versionsite.VersionSite, version: str) -> None:
    for number in range(2):
        site.worker(f'{version}-{number}', 'model', 'decode', version)


def _check(
    site: versionsite.VersionSite,
    began: dict[str, str],
    expected: tuple[int, str],
    number: int = 0,
) -> None:
    """Checks status and refusal code of resumed streams, and their version."""
    found = {attempt: site.resume(attempt, number) for attempt in began}
    assert found == {
        attempt: (*expected, version if expected[0] == 200 else '')
        for attempt, version in began.items()
    }


def test_streams_of_a_version_that_left_during_a_loss_of_all_vms_are_refused(
    site: versionsite.VersionSite,
) -> None:
    """Guards against the listed version, taken for the one that began all."""
    site.fill(2, ('v1', 'v1'))
    began = site.begin_each(_STREAMS)
    _end_all(site)
    for name in ('d0', 'd1'):
        site.store.put('keyed.servers', name, None)
    _add(site, 'v2')
    _start_all(site)
    _check(site, began, (503, 'version-gone'))


def test_streams_go_on_as_a_version_joins_during_a_loss_of_all_vms(
    site: versionsite.VersionSite,
) -> None:
    """Guards against refusals for want of what only the lost VMs knew."""
    site.fill(2, ('v1', 'v1'))
    began = site.begin_each(_STREAMS)
    _end_all(site)
    _add(site, 'v2')
    _start_all(site)
    _check(site, began, (200, ''), number=1)


def test_streams_of_a_new_version_go_on_after_a_loss_of_all_vms(
    site: versionsite.VersionSite,
) -> None:
    """Guards against origins that wait to be saved as all VMs end."""
    site.fill(2, ('v1', 'v1'))
    _add(site, 'v2')
    for router in site.routers:
        sites.until(lambda r=router: 'v2-1' in versionsite.listed(r))  # type: ignore[misc]
    began = site.begin_each(_STREAMS)
    _end_all(site)
    _start_all(site)
    _check(site, began, (200, ''), number=1)


def test_streams_go_on_as_one_of_two_versions_left_during_a_loss_of_all_vms(
    site: versionsite.VersionSite,
) -> None:
    """Guards against streams of the version that stays, refused or mixed."""
    site.fill(2, ('v1', 'v1'))
    _add(site, 'v2')
    for router in site.routers:
        sites.until(lambda r=router: 'v2-1' in versionsite.listed(r))  # type: ignore[misc]
    began = site.begin_each(_STREAMS)
    _end_all(site)
    for name in ('d0', 'd1'):
        site.store.put('keyed.servers', name, None)
    _start_all(site)
    first = {key: version for key, version in began.items() if version == 'v1'}
    _check(site, first, (503, 'version-gone'))
    _check(site, dict.fromkeys(began.keys() - first, 'v2'), (200, ''))


def test_streams_are_saved_before_their_first_event_but_for_one_version(
    site: versionsite.VersionSite,
) -> None:
    """Guards against streams of two versions that are saved nowhere."""
    site.fill(2)
    for _ in range(_STREAMS):
        attempt, version = site.begin()
        stream = stream_origins.digest('', attempt)
        # Whoever reads the store after the first event finds the origin there.
        reader = origin_store.OriginStore(
            reader=store.Store(site.store.address),
            writer=store.Store(site.store.address),
            clock=time.monotonic,
            wall=time.time,
        )
        origin = reader.find(stream, epoch=1)
        unsaved = site.resume('never-seen', number=1)
        assert unsaved[0] == 200
        assert (origin.version if origin else unsaved[2]) == version


@pytest.mark.parametrize('fault', keyedstore.APPEND_FAULTS)
@pytest.mark.parametrize('saving_vms', [0, 16])
def test_streams_begun_while_the_store_takes_no_writes_mix_no_versions(
    site: versionsite.VersionSite,
    monkeypatch: pytest.MonkeyPatch,
    saving_vms: int,
    fault: keyedstore.AppendFault,
) -> None:
    """Guards against first events of a stream that could not be saved."""
    monkeypatch.setattr(origin_reports, 'MAX_SAVING_VMS', saving_vms)
    site.fill(2, ('v1', 'v1'))
    _add(site, 'v2')
    for router in site.routers:
        sites.until(lambda r=router: 'v2-1' in versionsite.listed(r))  # type: ignore[misc]
    site.store.append_fault = fault
    with futures.ThreadPoolExecutor(_STREAMS) as pool:
        found = dict(pool.map(site.try_begin, [0, 1] * (_STREAMS // 2)))

    def are_late() -> bool:
        # A VM learns it from a stream of another version than the default one.
        learning = [
            number
            for number, router in enumerate(site.routers)
            if router._origin_reports.saves_in_time()
        ]
        found.update(map(site.try_begin, learning))
        return not learning

    sites.until(are_late, _LEARN_S)
    later = dict(site.try_begin(number % 2) for number in range(_STREAMS))
    assert set(later.values()) == {'v1'}
    began = later | {key: found[key] for key in found if found[key]}
    _end_all(site)
    site.store.append_fault = ''
    _start_all(site)
    _check(site, began, (200, ''))


def test_unsaved_streams_mix_no_versions_as_the_default_one_comes_back(
    site: versionsite.VersionSite,
) -> None:
    """Guards against unsaved streams while the default version has no server."""
    site.fill(2, ('v1', 'v1'))
    _add(site, 'v2')
    for name in ('d0', 'd1'):
        site.remove(name)
    site.store.append_fault = 'rejects'
    tried = dict(site.try_begin() for _ in range(_STREAMS))
    began = {key: version for key, version in tried.items() if version}
    _end_all(site)
    site.store.append_fault = ''
    _add(site, 'v1')
    _start_all(site)
    for attempt, version in began.items():
        assert site.resume(attempt)[2] in ('', version)


@pytest.mark.parametrize('has_store', [True, False])
def test_a_vm_that_is_out_of_step_mixes_no_versions(
    site: versionsite.VersionSite,
    monkeypatch: pytest.MonkeyPatch,
    has_store: bool,
) -> None:
    """Guards against the old list of a VM that is cut off from the others."""
    site.fill(3, ('v1', 'v1'))
    cut = site.routers[0]._peers
    nowhere = f'127.0.0.1:{sites.free_port()}'
    enqueue = peers.Peers._enqueue

    def cut_off(
        self: peers.Peers, address: str, payload: bytes
    ) -> connections.PendingRequest:
        is_cut = self is cut or address == site.peers[0]
        return enqueue(self, nowhere if is_cut else address, payload)

    monkeypatch.setattr(peers.Peers, '_enqueue', cut_off)
    stores = set(map(id, site.routers[0]._stores))
    get = store.Store._get

    def get_old(self: store.Store, path: str, timeout_s: float) -> object:
        if id(self) in stores and (not has_store or 'keyed.servers' in path):
            raise errors.NoReplyError('cut off')
        return get(self, path, timeout_s)

    monkeypatch.setattr(store.Store, '_get', get_old)
    _add(site, 'v2')
    sites.until(lambda: 'v2-1' in versionsite.listed(site.routers[1]))
    began = site.begin_each(2 * _STREAMS, number=1)
    began = {key: version for key, version in began.items() if version == 'v2'}
    assert len(began) > 2
    found = {site.resume(attempt, number=0)[1:] for attempt in began}
    # It lists no server of that version yet.
    assert found <= {('version-gone', ''), ('origin-unknown', '')}
    if has_store:
        assert found == {('version-gone', '')}


def test_a_process_that_stood_still_mixes_no_versions(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against the old list of a process that was suspended."""
    site = versionsite.ProcessSite(tmp_path, 3, ('v1', 'v1'))
    try:
        site.routers[1].send_signal(signal.SIGSTOP)
        for number in range(2):
            site.add(f'n{number}', 'v2')
        sites.until(lambda: 'v2' in set(site.begin_each(1).values()))
        began = site.begin_each(_STREAMS)
        site.routers[1].send_signal(signal.SIGCONT)
        found = {attempt: site.resume(attempt, 1) for attempt in began}
        for attempt, version in began.items():
            status, code, resumed = found[attempt]
            assert resumed in ('', version)
            assert status == 200 or code == 'version-gone'
    finally:
        site.close()
