"""Servers that asked for a time without requests."""

import random

from foxtaildale import backoffs
from foxtaildale import fleet
from foxtaildale import forwarding


def _fleet(*names: str) -> fleet.Fleet:
    found = fleet.Fleet('here', random.Random(1))
    for name in names:
        backend = forwarding.Backend(
            id=name, service='s', address='127.0.0.1:1'
        )
        found.put(backend)
    return found


def _order(found: fleet.Fleet, now: float) -> list[str]:
    return [tally.backend.id for tally in found.candidates('s', now)]


def test_the_longest_of_several_times_holds() -> None:
    """Guards against a shorter time of a later answer that ends the first."""
    known = backoffs.Backoffs()
    assert known.asked(0.0, 's', 0, 3.0)
    assert not known.asked(1.0, 's', 0, 0.5)
    assert known.own_s(2.0, 's', 0) == 1.0
    assert known.own_s(3.0, 's', 0) == 0.0


def test_a_new_start_has_asked_for_nothing() -> None:
    """Guards against a server left idle for what its last start asked."""
    known = backoffs.Backoffs()
    known.asked(0.0, 's', 1, 3.0)
    known.take(0.0, {'s': (1, 3.0)})
    assert not known.own_s(1.0, 's', 2)
    assert not known.told_s(1.0, 's', 2)
    known.asked(1.0, 's', 2, 1.0)
    assert not known.asked(1.0, 's', 1, 9.0)
    assert known.own_s(1.0, 's', 2) == 1.0


def test_word_that_goes_round_does_not_last_longer() -> None:
    """Guards against VMs that tell each other of a rest for good."""
    one, other = backoffs.Backoffs(), backoffs.Backoffs()
    one.asked(0.0, 's', 0, 3.0)
    for step in range(40):
        now = step * 0.1
        # On its way for as long as nobody looks.
        words = one.words(now)
        other.take(now + 0.09, words)
        one.take(now + 0.1, other.words(now + 0.09))
    assert not one.words(4.1)
    assert not other.words(4.1)


def test_a_garbled_time_is_bounded() -> None:
    """Guards against a server that is never asked again."""
    known = backoffs.Backoffs()
    known.asked(0.0, 's', 0, 1e9)
    assert known.own_s(0.0, 's', 0) == backoffs.MOST_S


def test_what_is_remembered_is_bounded() -> None:
    """Guards against memory that grows with each server there ever was."""
    known = backoffs.Backoffs()
    for number in range(backoffs.MOST + 10):
        known.asked(0.0, f's{number}', 0, 10.0 + number)
    assert len(known.words(0.0)) == backoffs.MOST


def test_a_server_in_backoff_elsewhere_goes_last_and_is_still_used() -> None:
    """Guards against a healthy server idle for what one VM was told."""
    found = _fleet('a', 'b')
    found.backoffs.take(0.0, {'a': (0, 3.0)})
    assert _order(found, 1.0) == ['b', 'a']
    assert found.faulty('s', 1.0) == ('a',)
    for _ in range(int(fleet.BACKOFF_WEIGHT) + 2):
        found.sent('b')
    assert _order(found, 1.0) == ['a', 'b']
    found.backoffs.take(0.0, {'b': (0, 3.0)})
    assert found.faulty('s', 1.0) == ()


def test_only_if_all_rest_is_nobody_left() -> None:
    """Guards against callers refused while a server takes requests."""
    found = _fleet('a', 'b')
    found.backoffs.asked(0.0, 'a', 0, 3.0)
    assert _order(found, 1.0) == ['b']
    assert found.usable('a', 1.0) is None
    assert found.backoff_s('s', 1.0) == 0.0
    found.backoffs.asked(0.0, 'b', 0, 2.0)
    assert found.backoff_s('s', 1.0) == 1.0
    assert _order(found, 1.0) == []
