"""Streams of a VM that does not know the default versions."""

from collections.abc import Iterator
import time

import msgspec
import pytest

from foxtaildale import default_versions
from foxtaildaled import default_version_store
from tests import site as sites
from tests import versionsite

_STREAMS = 12
# Maximum time of a stream that waits for no save, seconds.
_PROMPT_S = 0.5
# Time in which a VM takes servers for gone while its store fails, seconds.
_LEAVE_S = 8.0


@pytest.fixture
def site() -> Iterator[versionsite.VersionSite]:
    made = versionsite.VersionSite()
    try:
        yield made
    finally:
        made.close()


def _put_default(
    site: versionsite.VersionSite, default: default_versions.DefaultVersion
) -> None:
    site.store.put_bytes(
        default_version_store.TOPIC, 'model', msgspec.msgpack.encode(default)
    )


def _restart_all(site: versionsite.VersionSite) -> None:
    for router in site.routers:
        router.close()
    site.store.append_fault = ''
    for number, router in enumerate(site.routers):
        router.cfg = msgspec.structs.replace(
            router.cfg, store=site.store.address
        )
        site.restart(number)
    for number in range(len(site.routers)):
        sites.until(lambda n=number: sites.ready(site, n))  # type: ignore[misc]


def _check_resumed(
    site: versionsite.VersionSite, began: dict[str, str], number: int = 0
) -> None:
    """Checks that no stream goes on at another version than its own."""
    found = {
        attempt: site.resume(attempt, number)[2] or version
        for attempt, version in began.items()
    }
    assert found == began


def _add_turned_away(site: versionsite.VersionSite) -> int:
    """Adds a VM that the store turns away; returns its number."""
    nowhere = f'127.0.0.1:{sites.free_port()}'
    site.router(seeds=tuple(site.peers[:1]), store_address=nowhere)
    number = len(site.routers) - 1
    sites.until(lambda: sites.ready(site, number))
    return number


def _begin(
    site: versionsite.VersionSite, number: int
) -> tuple[dict[str, str], list[float]]:
    """Tries to begin streams; returns those that did, and all times, s."""
    began, times_s = {}, []
    for _ in range(_STREAMS):
        at = time.monotonic()
        attempt, version = site.try_begin(number)
        times_s.append(time.monotonic() - at)
        if version:
            began[attempt] = version
    return began, times_s


def test_a_vm_that_the_store_turned_away_from_its_start_mixes_no_versions(
    site: versionsite.VersionSite,
) -> None:
    """Guards against an unread default version, taken for none."""
    site.fill(2, ('v1', 'v1', 'v1', 'v2', 'v2'))
    number = _add_turned_away(site)
    began, times_s = _begin(site, number)
    _restart_all(site)
    _check_resumed(site, began)
    # The VM learns from others which version needs no save.
    assert list(began.values()).count('v1') >= _STREAMS // 2
    assert sorted(times_s)[_STREAMS // 2] < _PROMPT_S


@pytest.mark.parametrize(
    'at_begin',
    [
        pytest.param(None, id='none'),
        pytest.param(
            default_versions.DefaultVersion('v1', 0, 1, is_settled=False),
            id='unsettled',
        ),
        pytest.param(
            default_versions.DefaultVersion('v1', 0, 0), id='other-epoch'
        ),
    ],
)
def test_a_default_version_that_is_settled_later_mixes_no_versions(
    site: versionsite.VersionSite,
    monkeypatch: pytest.MonkeyPatch,
    at_begin: default_versions.DefaultVersion | None,
) -> None:
    """Guards against "refused now", taken for "refused for good"."""
    monkeypatch.setattr(
        default_version_store.DefaultVersionStore,
        '_write_changes',
        lambda *_: None,
    )
    if at_begin is not None:
        _put_default(site, at_begin)
    site.fill(2)
    site.store.append_fault = 'rejects'
    began, _ = _begin(site, 0)
    settled = default_versions.DefaultVersion('v1', default_versions.ALONE, 1)
    _put_default(site, settled)
    _restart_all(site)
    _check_resumed(site, began)


def test_a_default_version_whose_servers_left_is_not_known_by_an_old_read(
    site: versionsite.VersionSite,
) -> None:
    """Guards against a default version that changed while it had no server."""
    site.fill(2, ('v1', 'v1', 'v2', 'v2'))
    defaults = site.routers[1]._default_versions

    def first_version() -> str:
        return ''.join(
            version
            for version in ('v1', 'v2')
            if defaults.is_default('model', version)
        )

    sites.until(lambda: bool(first_version()))
    first = first_version()
    # It can't read the store any more, and gets lists from the other one.
    site.cut_store(1)
    leaving = [
        name
        for name, worker in site.workers.items()
        if worker.version == first and worker.stage == 'decode'
    ]
    for name in leaving:
        site.store.put('keyed.servers', name, None)
    sites.until(lambda: not defaults.is_default('model', first), _LEAVE_S)
    other = 'v2' if first == 'v1' else 'v1'
    _put_default(site, default_versions.DefaultVersion(other, 0, 1))
    for name in leaving:
        site.store.put('keyed.servers', name, site.workers[name].entry())
    for name in leaving:
        sites.until(
            lambda n=name: n in versionsite.listed(site.routers[1])  # type: ignore[misc]
        )
    assert not defaults.is_default('model', first)
