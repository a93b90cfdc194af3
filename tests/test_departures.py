"""Word of servers that leave, whatever order it comes in."""

import itertools

from foxtaildale import departures


def _entries(
    known: departures.Departures, count: int, pause_s: float
) -> list[bool]:
    return [
        known.listed(10.0 + number * pause_s, 's', 0) for number in range(count)
    ]


def test_word_holds_for_its_start_alone() -> None:
    """Guards against a server that gets nothing for what its last start said."""
    known = departures.Departures()
    assert known.said(1.0, 's', 5)
    assert known.leaving('s', 5)
    assert not known.leaving('s', 6)
    assert not known.said(1.0, 's', 4)
    assert known.said(1.0, 's', 6)
    assert known.leaving('s', 6)


def test_entries_written_again_withdraw_nothing() -> None:
    """Guards against old entries of a store that came back from a copy."""
    known = departures.Departures()
    known.said(1.0, 's', 0)
    assert not any(_entries(known, 10, 0.01))
    assert known.leaving('s', 0)


def test_heartbeats_of_a_ready_server_withdraw_its_leave() -> None:
    """Guards against a healthy server that stays idle for old word."""
    known = departures.Departures()
    known.said(1.0, 's', 0)
    assert _entries(known, 3, 1.2) == [False, False, True]
    assert not known.leaving('s', 0)


def test_a_leave_that_is_heard_again_is_counted_anew() -> None:
    """Guards against entries that are older than the newest answer."""
    known = departures.Departures()
    known.said(1.0, 's', 0)
    _entries(known, 2, 1.2)
    known.said(13.0, 's', 0)
    assert not known.listed(14.0, 's', 0)


def test_vms_end_alike_whatever_order_word_comes_in() -> None:
    """Guards against old word that a VM brings back to the others."""
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


def test_what_is_remembered_is_bounded() -> None:
    """Guards against memory that grows with each server there ever was."""
    known = departures.Departures()
    for number in range(departures.MOST + 10):
        known.said(float(number), f's{number}', 0)
    assert len(known.words()) == departures.MOST
    assert known.leaving(f's{departures.MOST + 9}', 0)


def test_news_is_told_for_a_while_only() -> None:
    """Guards against questions that grow with each server that ever left."""
    known = departures.Departures()
    known.said(1.0, 's', 0)
    assert known.news(2.0) == {'s': (0, 1)}
    assert known.news(1.0 + departures.NEWS_S) == {}
