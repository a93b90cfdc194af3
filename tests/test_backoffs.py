"""Backoffs: times for which a backend server asked for no requests."""

import random

from foxtaildale import backoffs
from foxtaildale import fleet
from foxtaildale import forwarding


def _fleet(*names: str) -> fleet.Fleet:
    servers = fleet.Fleet('here', random.Random(1))
    for name in names:
        backend = forwarding.Backend(
            id=name, service='s', address='127.0.0.1:1'
        )
        servers.put(backend)
    return servers


def _order(servers: fleet.Fleet, now: float) -> list[str]:
    return [tally.backend.id for tally in servers.candidates('s', now)]


def test_longest_of_several_backoffs_applies() -> None:
    """Guards against a later response that shortens an earlier backoff."""
    server_backoffs = backoffs.Backoffs()
    assert server_backoffs.record(0.0, 's', 0, 3.0)
    assert not server_backoffs.record(1.0, 's', 0, 0.5)
    assert server_backoffs.local_s(2.0, 's', 0) == 1.0
    assert server_backoffs.local_s(3.0, 's', 0) == 0.0


def test_new_incarnation_has_no_backoff() -> None:
    """Guards against a backoff that outlives its incarnation."""
    server_backoffs = backoffs.Backoffs()
    server_backoffs.record(0.0, 's', 1, 3.0)
    server_backoffs.merge(0.0, {'s': (1, 3.0)})
    assert not server_backoffs.local_s(1.0, 's', 2)
    assert not server_backoffs.remote_s(1.0, 's', 2)
    server_backoffs.record(1.0, 's', 2, 1.0)
    assert not server_backoffs.record(1.0, 's', 1, 9.0)
    assert server_backoffs.local_s(1.0, 's', 2) == 1.0


def test_exchanged_updates_do_not_prolong_backoff() -> None:
    """Guards against a backoff that VMs prolong forever by exchanging it."""
    one, other = backoffs.Backoffs(), backoffs.Backoffs()
    one.record(0.0, 's', 0, 3.0)
    for step in range(40):
        now = step * 0.1
        # The updates arrive after 90 ms and 10 ms.
        update = one.report(now)
        other.merge(now + 0.09, update)
        one.merge(now + 0.1, other.report(now + 0.09))
    assert not one.report(4.1)
    assert not other.report(4.1)


def test_invalid_time_is_bounded() -> None:
    """Guards against a server that never gets a request again."""
    server_backoffs = backoffs.Backoffs()
    server_backoffs.record(0.0, 's', 0, 1e9)
    assert server_backoffs.local_s(0.0, 's', 0) == backoffs.MAX_BACKOFF_S


def test_memory_is_bounded() -> None:
    """Guards against memory that grows with each server that was ever seen."""
    server_backoffs = backoffs.Backoffs()
    for number in range(backoffs.MAX_SERVERS + 10):
        server_backoffs.record(0.0, f's{number}', 0, 10.0 + number)
    assert len(server_backoffs.report(0.0)) == backoffs.MAX_SERVERS


def test_server_in_backoff_at_another_vm_is_last_choice() -> None:
    """Guards against a healthy server left idle by the backoff of one VM."""
    servers = _fleet('a', 'b')
    servers.backoffs.merge(0.0, {'a': (0, 3.0)})
    assert _order(servers, 1.0) == ['b', 'a']
    assert servers.faulty('s', 1.0) == ('a',)
    for _ in range(int(fleet.BACKOFF_WEIGHT) + 2):
        servers.record_sent('b')
    assert _order(servers, 1.0) == ['a', 'b']
    servers.backoffs.merge(0.0, {'b': (0, 3.0)})
    assert servers.faulty('s', 1.0) == ()


def test_no_server_is_left_only_if_all_are_in_backoff() -> None:
    """Guards against refusing callers while a server accepts requests."""
    servers = _fleet('a', 'b')
    servers.backoffs.record(0.0, 'a', 0, 3.0)
    assert _order(servers, 1.0) == ['b']
    assert servers.usable('a', 1.0) is None
    assert servers.backoff_s('s', 1.0) == 0.0
    servers.backoffs.record(0.0, 'b', 0, 2.0)
    assert servers.backoff_s('s', 1.0) == 1.0
    assert _order(servers, 1.0) == []
