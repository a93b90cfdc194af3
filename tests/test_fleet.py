"""Selection of the backend server of a request."""

import random

import pytest

from foxtaildale import fleet
from foxtaildale import forwarding


def _backend(
    name: str, stage: forwarding.Stage = '', *, leaving: bool = False
) -> forwarding.Backend:
    return forwarding.Backend(
        id=name,
        service='s',
        address='127.0.0.1:1',
        data_centre='here',
        slots=6,
        leaving=leaving,
        stage=stage,
    )


def _fleet(*names: str) -> fleet.Fleet:
    servers = fleet.Fleet('here', random.Random(1))
    for name in names:
        servers.put(_backend(name))
    return servers


def _order(servers: fleet.Fleet, now: float = 0.0) -> list[str]:
    return [tally.backend.id for tally in servers.candidates('s', now)]


def test_least_loaded_server_is_first() -> None:
    servers = _fleet('a', 'b', 'c')
    for name in ('a', 'a', 'b'):
        servers.record_sent(name)
    assert _order(servers) == ['c', 'b', 'a']


def test_fresh_report_counts_requests_of_other_vms() -> None:
    servers = _fleet('a', 'b')
    servers.record_load(
        'a', 0.0, forwarding.Load(running=5, waiting=0, slots=6)
    )
    assert _order(servers, 0.1) == ['b', 'a']


def test_old_report_is_ignored() -> None:
    """A server was busy for a moment, half a second ago.

    Skipping it for longer would put needless load on the others.
    """
    servers = _fleet('a', 'b')
    servers.record_load(
        'a', 0.0, forwarding.Load(running=5, waiting=0, slots=6)
    )
    servers.record_sent('b')
    assert _order(servers, fleet.LOAD_FRESH_S + 0.1) == ['a', 'b']


def test_failing_server_is_skipped_and_tried_again() -> None:
    """A server fails some of its requests while its health check succeeds.

    Callers receive errors for as long as it gets its full share.
    """
    servers = _fleet('a', 'b')
    servers.record_failure('a', 0.0)
    for _ in range(3):
        servers.record_sent('b')
    assert _order(servers, 0.1) == ['b', 'a']
    assert _order(servers, 4 * fleet.FAILURE_HALF_LIFE_S) == ['a', 'b']


def test_slow_server_gets_fewer_requests() -> None:
    servers = _fleet('a', 'b', 'c')
    for name, took_s in (('a', 0.5), ('b', 0.06), ('c', 0.06)):
        for _ in range(20):
            servers.record_success(name, 0.0, took_s)
    for name in ('b', 'c'):
        for _ in range(3):
            servers.record_sent(name)
    assert _order(servers)[-1] == 'a'


def test_leaving_server_gets_no_requests() -> None:
    servers = _fleet('a', 'b')
    servers.put(_backend('a', leaving=True))
    assert _order(servers) == ['b']
    assert servers.usable('a', 0.0) is None


@pytest.mark.parametrize(('well', 'left'), [(True, []), (False, ['a'])])
def test_entry_that_expired_during_store_outage(
    well: bool, left: list[str]
) -> None:
    """The store was down for longer than the lifetime of entries and lost all.

    The servers still run and register again within 2 s; if they counted as
    removed, every caller would be refused meanwhile. If the store was
    available, an expired entry means that the server crashed.
    """
    servers = _fleet('a')
    servers.remove('a', 10.0, store_healthy=well)
    assert _order(servers, 10.5) == left
    assert _order(servers, 10.0 + fleet.VANISHED_GRACE_S + 0.1) == []


def test_entry_that_was_registered_again_stays() -> None:
    servers = _fleet('a')
    servers.remove('a', 10.0, store_healthy=False)
    servers.put(_backend('a'))
    assert _order(servers, 20.0) == ['a']


def test_announced_departure_removes_server_at_once() -> None:
    servers = _fleet('a')
    servers.put(_backend('a', leaving=True))
    servers.remove('a', 10.0, store_healthy=False)
    assert servers.server_state('a') is None


def test_stage_never_loses_all_workers() -> None:
    """A fault that all workers of a stage share makes each of them fail.

    If all were removed, the service would refuse every request.
    """
    servers = fleet.Fleet('here', random.Random(1))
    for name in ('d1', 'd2'):
        servers.put(_backend(name, 'decode'))
        servers.record_failure(name, 0.0)
    for name in ('p1', 'p2'):
        servers.put(_backend(name, 'prefill'))
    servers.record_failure('p1', 0.0)
    assert servers.faulty('s', 0.1) == ('p1',)
    assert servers.faulty('s', 10 * fleet.FAILURE_HALF_LIFE_S) == ()


def test_counts_of_unknown_servers_are_ignored() -> None:
    servers = _fleet('a')
    for call in (servers.record_sent, servers.record_finished):
        call('x')
    servers.record_failure('x', 0.0)
    servers.record_full('x', 0.0)
    servers.record_success('x', 0.0)
    assert _order(servers) == ['a']


@pytest.mark.parametrize(('status', 'left'), [(421, ['b']), (503, ['b', 'a'])])
def test_server_that_reported_request_as_not_run(
    status: int, left: list[str]
) -> None:
    """Another server has its address, or it had no capacity for a moment."""
    servers = _fleet('a', 'b')
    head = forwarding.ResponseHead(status=status, headers=(), ran='no')
    servers.record_not_run('a', 0.0, misdirected=head.misdirected)
    assert _order(servers, 0.01) == left
