"""Departure announcements of servers, in any order of arrival."""

import itertools

from foxtaildale import departures


def _entries(
    server_departures: departures.Departures, count: int, pause_s: float
) -> list[bool]:
    return [
        server_departures.count_ready_entry(10.0 + number * pause_s, 's', 0)
        for number in range(count)
    ]


def test_departure_applies_to_its_incarnation_only() -> None:
    """Guards against applying a departure to the server's next incarnation."""
    server_departures = departures.Departures()
    assert server_departures.record_leaving(1.0, 's', 5)
    assert server_departures.is_leaving('s', 5)
    assert not server_departures.is_leaving('s', 6)
    assert not server_departures.record_leaving(1.0, 's', 4)
    assert server_departures.record_leaving(1.0, 's', 6)
    assert server_departures.is_leaving('s', 6)


def test_rewritten_entries_withdraw_no_departure() -> None:
    """Guards against old entries of a store that was restored from a copy."""
    server_departures = departures.Departures()
    server_departures.record_leaving(1.0, 's', 0)
    assert not any(_entries(server_departures, 10, 0.01))
    assert server_departures.is_leaving('s', 0)


def test_heartbeats_of_ready_server_withdraw_its_departure() -> None:
    """Guards against an old announcement that keeps a healthy server idle."""
    server_departures = departures.Departures()
    server_departures.record_leaving(1.0, 's', 0)
    assert _entries(server_departures, 3, 1.2) == [False, False, True]
    assert not server_departures.is_leaving('s', 0)


def test_repeated_departure_restarts_the_count() -> None:
    """Guards against entries that are older than the newest announcement."""
    server_departures = departures.Departures()
    server_departures.record_leaving(1.0, 's', 0)
    _entries(server_departures, 2, 1.2)
    server_departures.record_leaving(13.0, 's', 0)
    assert not server_departures.count_ready_entry(14.0, 's', 0)


def test_vms_converge_for_any_order_of_updates() -> None:
    """Guards against old announcements that a VM sends to the others again."""
    sender = departures.Departures()
    updates = []
    for step in range(4):
        if step % 2:
            sender.record_withdrawal(float(step), 's', 0)
        else:
            sender.record_leaving(float(step), 's', 0)
        updates.append(sender.all_states())
    for order in itertools.permutations(updates):
        receiver = departures.Departures()
        for update in order:
            receiver.merge(5.0, update)
        assert receiver.all_states() == sender.all_states()


def test_memory_is_bounded() -> None:
    """Guards against memory that grows with each server that was ever seen."""
    server_departures = departures.Departures()
    for number in range(departures.MAX_SERVERS + 10):
        server_departures.record_leaving(float(number), f's{number}', 0)
    assert len(server_departures.all_states()) == departures.MAX_SERVERS
    assert server_departures.is_leaving(f's{departures.MAX_SERVERS + 9}', 0)


def test_updates_are_sent_for_a_limited_time() -> None:
    """Guards against messages that grow with each server that ever left."""
    server_departures = departures.Departures()
    server_departures.record_leaving(1.0, 's', 0)
    assert server_departures.recent_changes(2.0) == {'s': (0, 1)}
    assert server_departures.recent_changes(1.0 + departures.REPORT_S) == {}
