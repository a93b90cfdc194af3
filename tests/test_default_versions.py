"""The default version of a service: when it changes, and what is saved."""

from collections.abc import Iterator
import time

import pytest

from foxtaildale import default_versions
from foxtaildale_platform import store
from foxtaildaled import default_version_store
from foxtaildaled import origin_reports
from tests import site as sites
from tests import versionsite

_WINDOW_S = 28.0
_END = 500


class _Choice:
    """The default version of one service, over time."""

    def __init__(self, *, first_start: bool = True) -> None:
        self._choice = default_versions.DefaultChoice()
        self._first_start = first_start
        self._now = 0.0
        self.current: default_versions.DefaultVersion | None = None

    def lists(
        self,
        *listed: str,
        for_s: float = 0.0,
        recent: str = '',
        epoch: int = 1,
        step_s: float = 1.0,
    ) -> str:
        """Lists servers of versions for a time.

        Returns:
            The default version at the end, with '+' unless it is alone, '?'
            unless it is settled, and '-' if it is retired.
        """
        end = self._now + for_s
        while True:
            changed = self._choice.next_default(
                self._now,
                self.current,
                {version: listed.count(version) for version in listed},
                frozenset(recent.split()),
                window_s=_WINDOW_S,
                epoch=epoch,
                saved_end=lambda: _END,
                first_start=self._first_start,
            )
            self.current = changed or self.current
            self._now += step_s
            if self._now > end:
                break
        assert self.current is not None
        is_alone = self.current.others_from == default_versions.ALONE
        return (
            self.current.version
            + ('' if is_alone else '+')
            + ('' if self.current.is_settled else '?')
            + ('-' if self.current.is_retired else '')
        )


def test_the_first_default_version_is_that_of_most_servers() -> None:
    assert _Choice().lists('v1') == 'v1'
    assert _Choice().lists('v1', 'v2', 'v1') == 'v1+'
    assert _Choice().lists('v1', recent='v0') == 'v1+'


def test_streams_before_the_first_default_version_are_not_of_it() -> None:
    """Guards against streams that began before anything was saved."""
    choice = _Choice(first_start=False)
    assert choice.lists('v1', for_s=_WINDOW_S - 2.0) == 'v1+?'
    assert choice.lists('v1', for_s=3.0) == 'v1'


def test_a_restored_store_vouches_for_no_stream() -> None:
    """Guards against saved origins that a copy of the store lacks."""
    choice = _Choice(first_start=False)
    choice.lists('v1', 'v2', 'v2', for_s=3 * _WINDOW_S)
    assert choice.lists('v1', 'v1', 'v2', epoch=2) == 'v2+?'


def test_a_version_that_joins_does_not_become_the_default() -> None:
    """Guards against unsaved streams that are taken for the newest version."""
    choice = _Choice()
    choice.lists('v1')
    assert choice.lists('v1', 'v2', 'v2') == 'v1+'
    assert choice.current is not None
    assert choice.current.others_from == _END
    assert choice.lists('v1', 'v2', 'v2', for_s=2 * _WINDOW_S) == 'v1+'


def test_the_default_changes_when_no_stream_of_it_may_be_resumed() -> None:
    """Guards against streams of a version that has just left."""
    choice = _Choice()
    choice.lists('v1')
    assert choice.lists('v2', recent='v1 v2') == 'v1+'
    # All streams are saved from now on.
    assert choice.lists('v2', recent='v1', for_s=4.0) == 'v1+-'
    assert choice.lists('v2', recent='v1', for_s=_WINDOW_S - 8.0) == 'v1+-'
    # A server of it came back: the time begins anew.
    assert choice.lists('v1', 'v2') == 'v1+'
    assert choice.lists('v2', recent='v1', for_s=_WINDOW_S - 2.0) == 'v1+-'
    assert choice.lists('v2', recent='v1', for_s=8.0) == 'v2+'


def test_a_decision_after_a_pause_of_the_process_begins_anew() -> None:
    """Guards against a default changed by what was seen before a pause."""
    choice = _Choice()
    choice.lists('v1')
    assert choice.lists('v2', recent='v1', for_s=8.0) == 'v1+-'
    later = 3 * _WINDOW_S
    assert choice.lists('v2', recent='v1', step_s=later) == 'v1+-'
    assert choice.lists('v2', recent='v1') == 'v1+-'


def test_other_versions_are_over_when_none_of_their_streams_is_left() -> None:
    choice = _Choice()
    # Of equally many servers the greater name.
    assert choice.lists('v1', 'v2') == 'v2+'
    assert choice.lists('v2', for_s=_WINDOW_S - 2.0) == 'v2+'
    assert choice.lists('v2', for_s=4.0) == 'v2'


def test_without_servers_nothing_changes() -> None:
    """Guards against a default version chosen from an empty list."""
    choice = default_versions.DefaultChoice()
    assert (
        choice.next_default(
            9e9,
            None,
            {},
            frozenset(),
            window_s=1.0,
            epoch=1,
            saved_end=lambda: 0,
        )
        is None
    )


@pytest.fixture
def site() -> Iterator[versionsite.VersionSite]:
    made = versionsite.VersionSite()
    try:
        yield made
    finally:
        made.close()


@pytest.mark.parametrize('saving_vms', [0, 16])
def test_first_events_wait_for_the_store_and_no_longer(
    site: versionsite.VersionSite,
    monkeypatch: pytest.MonkeyPatch,
    saving_vms: int,
) -> None:
    """Guards against confirmations that never come, or events without them."""
    monkeypatch.setattr(origin_reports, 'MAX_SAVING_VMS', saving_vms)
    late: list[str] = []
    monkeypatch.setattr(
        origin_reports,
        'logs',
        _Events(late),
    )
    site.fill(3)
    began_at = time.monotonic()
    began = site.begin_each(24)
    took_s = (time.monotonic() - began_at) / len(began)
    assert set(began.values()) == {'v1', 'v2'}
    assert 'origin not saved in time' not in late
    assert took_s < 0.1
    site.store.down = True
    times_s = []
    for _ in range(12):
        began_at = time.monotonic()
        _, version = site.try_begin()
        assert version != 'v1'
        if version:
            times_s.append(time.monotonic() - began_at)
    # One may fail before the router knows that nothing is saved.
    assert len(times_s) >= 11
    assert sum(times_s) / len(times_s) < 0.1


def test_at_rest_the_default_versions_cost_no_calls_to_the_store(
    site: versionsite.VersionSite, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against VMs that read the topics in a loop."""
    site.fill(2)
    for router in site.routers:
        defaults = router._default_versions
        sites.until(
            lambda found=defaults: any(  # type: ignore[misc]
                found.is_default('model', version) for version in ('v1', 'v2')
            )
        )
    time.sleep(2 * default_version_store.POLL_INTERVAL_S)
    paths: list[str] = []
    get = store.Store._get

    def record(self: store.Store, path: str, timeout_s: float) -> object:
        paths.append(path)
        return get(self, path, timeout_s)

    monkeypatch.setattr(store.Store, '_get', record)
    time.sleep(6 * default_version_store.POLL_INTERVAL_S)
    assert not [path for path in paths if 'stream' in path]


class _Events:
    """Takes the place of the log."""

    def __init__(self, names: list[str]) -> None:
        self._names = names

    def event(self, _level: int, name: str, **_: object) -> None:
        self._names.append(name)
