"""Mirrors of keyed topics, fed by the store and by peers."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import mirror
from foxtaildale import positions


def _entry(key: str, offset: int, value: bytes = b'v') -> mirror.Entry:
    return mirror.Entry(key=key, offset=offset, value=value)


def test_a_stale_record_changes_nothing() -> None:
    """A store that is seconds behind, or a peer, shows an older record.

    Taken for news, an accepted configuration would revert.
    """
    known = mirror.Mirror()
    known.apply([_entry('config', 7, b'new')], 8)
    assert not known.apply([_entry('config', 4, b'old')], 5)
    assert known.values() == {'config': b'new'}
    assert known.end == 8


def test_what_a_whole_snapshot_lacks_is_gone() -> None:
    """Records were dropped unread, the removal of a server among them.

    Only the snapshot can show that the server is gone; a caller would else be
    sent to a dead address until the VM is restarted.
    """
    known = mirror.Mirror()
    known.apply([_entry('a', 1), _entry('b', 2)], 3)
    news = known.snapshot([_entry('b', 2)], 9)
    assert [(entry.key, entry.value) for entry in news] == [('a', b'')]
    assert set(known.values()) == {'b'}


def test_a_stale_snapshot_removes_nothing() -> None:
    """After its history was dropped the store answers some seconds behind.

    A server that registered since is not in the answer and must stay.
    """
    known = mirror.Mirror()
    known.apply([_entry('a', 1), _entry('new', 8)], 9)
    assert not known.snapshot([_entry('a', 1)], 4)
    assert set(known.values()) == {'a', 'new'}


def test_a_removed_key_does_not_come_back_by_a_peer() -> None:
    """A peer that missed the removal of a server tells of it.

    One would see requests go to a server that left.
    """
    known = mirror.Mirror()
    known.apply([_entry('a', 1), _entry('a', 5, b'')], 6)
    assert not known.apply([_entry('a', 3)], 4)
    assert not known.values()


def test_removed_keys_are_forgotten_beyond_the_limit() -> None:
    known = mirror.Mirror()
    count = mirror.MAX_REMOVED + 10
    known.apply([_entry(f'k{n}', n, b'') for n in range(count)], count)
    assert len(known.since(0)) == mirror.MAX_REMOVED


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from('abc'), strategies.binary(max_size=1)
        ),
        max_size=12,
    ),
    strategies.randoms(use_true_random=False),
)
def test_any_order_of_arrival_gives_the_same(
    written: list[tuple[str, bytes]], order: random.Random
) -> None:
    entries = [_entry(key, n, value) for n, (key, value) in enumerate(written)]
    straight, mixed = mirror.Mirror(), mirror.Mirror()
    straight.apply(entries, len(entries))
    shuffled = list(entries)
    order.shuffle(shuffled)
    for entry in shuffled:
        mixed.apply([entry], entry.offset + 1)
    assert mixed.values() == straight.values()


def test_a_peer_gets_what_it_lacks() -> None:
    ahead, behind = mirror.Mirror(), mirror.Mirror()
    ahead.apply([_entry('a', 1), _entry('b', 2), _entry('a', 6, b'')], 7)
    behind.apply([_entry('a', 1), _entry('b', 2)], 3)
    behind.apply(ahead.since(behind.end), ahead.end)
    assert behind.values() == ahead.values()
    assert behind.end == ahead.end


def _ranked(offset: int, count: int, epoch: int = 1) -> mirror.Entry:
    """Returns a server's record that tells how often it has written."""
    position = positions.make(epoch, offset)
    return mirror.Entry(key='s', offset=position, value=b'%d' % count)


def _rank(_key: str, value: bytes) -> mirror.Rank:
    return (0, int(value))


def _later(keeps: bool = False) -> mirror.Mirror:
    """Returns a mirror whose store came back from a copy, with an older record."""
    known = mirror.Mirror(_rank, keeps=keeps)
    known.apply([_ranked(95, 7)], positions.make(1, 100))
    known.snapshot([_ranked(40, 4, epoch=2)], positions.make(2, 90))
    return known


def test_an_older_record_of_a_copy_changes_nothing() -> None:
    """Guards against a copy that is taken for newer, since its position is."""
    known = _later()
    assert known.values() == {'s': b'7'}
    assert known.end == positions.make(2, 90)
    assert known.is_carried('s')


def test_what_a_copy_lacks_is_told_to_peers_that_read_it() -> None:
    """Guards against VMs of one epoch that know different versions."""
    known = _later()
    peer = mirror.Mirror(_rank)
    peer.snapshot([_ranked(40, 4, epoch=2)], positions.make(2, 90))
    peer.apply(known.since(peer.end), known.end)
    assert peer.values() == {'s': b'7'}
    news = known.apply([_ranked(91, 8, epoch=2)], positions.make(2, 92))
    assert [entry.value for entry in news] == [b'8']
    assert not known.since(positions.make(2, 92))


def test_a_mirror_that_is_behind_does_not_hold_others_back() -> None:
    """Guards against one VM of the old epoch that infects those of the new."""
    behind = mirror.Mirror(_rank)
    behind.apply([_ranked(95, 7)], positions.make(1, 100))
    ahead = mirror.Mirror(_rank)
    ahead.apply([_ranked(93, 9, epoch=2)], positions.make(2, 94))
    assert not behind.since(ahead.end)
    ahead.apply(behind.since(0), behind.end)
    assert ahead.values() == {'s': b'9'}
    behind.apply(ahead.since(behind.end), ahead.end)
    assert behind.values() == {'s': b'9'}
    assert behind.end == ahead.end


def test_peers_are_not_told_what_the_copy_says_as_well() -> None:
    """Guards against a list of all servers in each reply after a return."""
    known = mirror.Mirror(_rank)
    newest = _ranked(95, 7)
    known.apply([newest], positions.make(1, 100))
    known.repeats(newest, positions.make(1, 30))
    known.snapshot([_ranked(40, 4, epoch=2)], positions.make(2, 90))
    assert known.values() == {'s': b'7'}
    assert not known.since(known.end)


@pytest.mark.parametrize('keeps', [True, False])
def test_what_is_not_written_again_is_given_up(keeps: bool) -> None:
    """Guards against what is known on for good, since nobody removes it."""
    known = mirror.Mirror(_rank, keeps=keeps)
    known.apply([_ranked(95, 7)], positions.make(1, 100))
    known.snapshot([], positions.make(2, 90))
    assert bool(known.values()) == keeps
    known.drop_carried()
    assert not known.values()
    assert known.apply([_ranked(91, 7, epoch=2)], positions.make(2, 92))


def test_a_removal_outlives_the_copy() -> None:
    """Guards against a server that left, and is in the copy still."""
    known = mirror.Mirror(_rank)
    known.apply([_ranked(95, 7)], positions.make(1, 96))
    gone = mirror.Entry('s', positions.make(1, 97), b'')
    known.apply([gone], positions.make(1, 98))
    known.snapshot([_ranked(40, 4, epoch=2)], positions.make(2, 90))
    assert not known.values()
    assert not known.apply([_ranked(91, 7, epoch=2)], positions.make(2, 92))
    assert known.apply([_ranked(92, 8, epoch=2)], positions.make(2, 93))


def test_heartbeats_after_a_return_are_not_all_told_again() -> None:
    """Guards against the whole list being sent to every VM at each return."""
    known = _later()
    before = positions.make(1, 20)
    again = _ranked(91, 8, epoch=2)
    known.apply([again], positions.make(2, 92))
    known.repeats(again, before)
    assert not known.since(positions.make(1, 100))
    assert known.since(positions.make(2, 90))


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(1, 3),
            strategies.integers(0, 9),
            strategies.integers(1, 9),
        ),
        unique_by=lambda item: item[:2],
        max_size=8,
    ),
    strategies.randoms(use_true_random=False),
)
def test_histories_merge_to_no_older_record_than_the_newest_written(
    written: list[tuple[int, int, int]], order: random.Random
) -> None:
    """Guards against an order of arrival that leaves a VM on an older state."""
    # Within one epoch the writer counts up with the offsets.
    counted = {
        (epoch, offset): sum(
            other[2]
            for other in written
            if other[0] == epoch and other[1] <= offset
        )
        for epoch, offset, _ in written
    }
    records = [
        _ranked(offset, count, epoch)
        for (epoch, offset), count in counted.items()
    ]
    order.shuffle(records)
    known = mirror.Mirror(_rank)
    for record in records:
        known.apply([record], record.offset + 1)
    newest = max(counted.values(), default=0)
    assert known.values() == ({'s': b'%d' % newest} if newest else {})
