"""Servers that name a limit for all entry VMs together, before routers."""

from collections.abc import Iterator
import contextlib
import time

import pytest

from foxtaildale_platform import server_client as platform_workers
from tests import loads
from tests import site as sites

_VMS = 4
# Span in which requests are counted, seconds, and what may come in it.
_SPAN_S = 4.0
_RATIO = 1.5
_EXTRA = 5.0
# Time until a limit that was named must be kept, seconds.
_KEPT_S = 3.0
_PLAY_S = 9.0
_LIMIT = 2.5


@pytest.fixture
def site() -> Iterator[sites.Site]:
    with contextlib.closing(sites.Site()) as made:
        made.store.put('keyed.op', 'config', sites.config(1))
        for name in ('s1', 's2', 's3'):
            made.worker(name, 'plain')
        for name in ('p1', 'p2'):
            made.worker(name, 'model', 'prefill')
        for name in ('d1', 'd2'):
            made.worker(name, 'model', 'decode')
        made.start_routers(_VMS, seeded=False)
        yield made


def _most(site: sites.Site, name: str, since: float) -> int:
    """Returns the most requests that a server got in one span."""
    times = [at for at in site.workers[name].came_at if at >= since]
    return max(
        (sum(first <= at < first + _SPAN_S for at in times) for first in times),
        default=0,
    )


def _allowed(limit: float) -> float:
    return _RATIO * _SPAN_S * limit + _EXTRA


@pytest.mark.parametrize('target', ['/safe', '/once'])
def test_all_vms_together_keep_the_limit_of_each_server(
    site: sites.Site, target: str
) -> None:
    """Guards against a limit that each VM keeps to by itself, or none does."""
    for name in ('s1', 's2', 's3'):
        site.workers[name].limit = _LIMIT
    began = time.monotonic()
    load = loads.Load(site, target, 0.05)
    time.sleep(_PLAY_S)
    load.end()
    for name in ('s1', 's2', 's3'):
        assert _most(site, name, began + _KEPT_S) <= _allowed(_LIMIT)
    served = load.statuses.count(200)
    # What they take is used, and the rest is told when to come back.
    assert served >= 0.7 * 3 * _LIMIT * (_PLAY_S - _KEPT_S)
    assert set(load.statuses) <= {200, 503}


def test_engines_are_sent_no_more_than_they_take(site: sites.Site) -> None:
    """Guards against a plan of memory that knows of no limit."""
    for name in ('p1', 'p2', 'd1', 'd2'):
        site.workers[name].limit = _LIMIT
    began = time.monotonic()
    load = loads.Load(site, '/chat', 0.05)
    time.sleep(_PLAY_S)
    load.end()
    for name in ('p1', 'p2', 'd1', 'd2'):
        assert _most(site, name, began + _KEPT_S) <= _allowed(_LIMIT)
    assert load.statuses.count(200) >= 2 * _LIMIT


def test_other_servers_take_what_one_does_not(site: sites.Site) -> None:
    """Guards against callers refused while servers without a limit have room."""
    site.workers['s1'].limit = 0.5
    began = time.monotonic()
    load = loads.Load(site, '/once', 0.05)
    time.sleep(_PLAY_S)
    load.end()
    assert _most(site, 's1', began + _KEPT_S) <= _allowed(0.5)
    assert set(load.statuses) == {200}


def test_a_limit_that_is_named_no_more_holds_no_more(site: sites.Site) -> None:
    """Guards against a server that is spared for good after its need."""
    for name in ('s1', 's2', 's3'):
        site.workers[name].limit = 1.0
    load = loads.Load(site, '/once', 0.05)
    time.sleep(_KEPT_S)
    for name in ('s1', 's2', 's3'):
        site.workers[name].limit = None
    time.sleep(_KEPT_S)
    before = len(load.statuses)
    time.sleep(2.0)
    load.end()
    late = load.statuses[before:]
    assert late.count(200) == len(late)


@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        (None, None),
        ('3.4', 3.4),
        (' 12 ', 12.0),
        ('0', 0.0),
        ('-1', None),
        ('1e9', None),
        ('nan', None),
        ('', None),
        ('\u0663', None),
    ],
)
def test_a_limit_is_a_decimal_number(
    text: str | None, limit: float | None
) -> None:
    """Guards against a server spared, or flooded, for a header of garbage."""
    headers = {} if text is None else {'server-limit': text}
    said = platform_workers._decode_self_report(200, headers)
    assert said.limit == limit
