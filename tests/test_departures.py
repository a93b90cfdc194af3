"""Departure announcements of servers, in any order of arrival."""

import itertools

from foxtaildale import departures


def _entries(
    known: departures.Departures, count: int, pause_s: float
) -> list[bool]:
    return [
        known.listed(10.0 + number * pause_s, 's', 0) for number in range(count)
    ]


def test_departure_applies_to_its_incarnation_only() -> None:
    """Guards against applying a departure to the server's next incarnation."""
    known = departures.Departures()
    assert known.said(1.0, 's', 5)
    assert known.leaving('s', 5)
    assert not known.leaving('s', 6)
    assert not known.said(1.0, 's', 4)
    assert known.said(1.0, 's', 6)
    assert known.leaving('s', 6)


def test_rewritten_entries_withdraw_no_departure() -> None:
    """Guards against old entries of a store that was restored from a copy."""
    known = departures.Departures()
    known.said(1.0, 's', 0)
    assert not any(_entries(known, 10, 0.01))
    assert known.leaving('s', 0)


def test_heartbeats_of_ready_server_withdraw_its_departure() -> None:
    """Guards against an old announcement that keeps a healthy server idle."""
    known = departures.Departures()
    known.said(1.0, 's', 0)
    assert _entries(known, 3, 1.2) == [False, False, True]
    assert not known.leaving('s', 0)


def test_repeated_departure_restarts_the_count() -> None:
    """Guards against entries that are older than the newest announcement."""
    known = departures.Departures()
    known.said(1.0, 's', 0)
    _entries(known, 2, 1.2)
    known.said(13.0, 's', 0)
    assert not known.listed(14.0, 's', 0)


def test_vms_converge_for_any_order_of_updates() -> None:
    """Guards against old announcements that a VM sends to the others again."""
    teller = departures.Departures()
    said = []
    for step in range(4):
        if step % 2:
            teller.withdrawn(float(step), 's', 0)
        else:
            teller.said(float(step), 's', 0)
        said.append(teller.words())
    for order in itertools.permutations(said):
        hearer = departures.Departures()
        for words in order:
            hearer.take(5.0, words)
        assert hearer.words() == teller.words()


def test_memory_is_bounded() -> None:
    """Guards against memory that grows with each server that was ever seen."""
    known = departures.Departures()
    for number in range(departures.MOST + 10):
        known.said(float(number), f's{number}', 0)
    assert len(known.words()) == departures.MOST
    assert known.leaving(f's{departures.MOST + 9}', 0)


def test_updates_are_sent_for_a_limited_time() -> None:
    """Guards against messages that grow with each server that ever left."""
    known = departures.Departures()
    known.said(1.0, 's', 0)
    assert known.news(2.0) == {'s': (0, 1)}
    assert known.news(1.0 + departures.NEWS_S) == {}
