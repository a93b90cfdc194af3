"""Mirrors of keyed topics, updated from the store and from peers."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import mirror
from foxtaildale import positions


def _entry(key: str, offset: int, value: bytes = b'v') -> mirror.Entry:
    return mirror.Entry(key=key, offset=offset, value=value)


def test_a_stale_record_changes_nothing() -> None:
    """Guards against reverting an accepted configuration.

    A peer, or a store that is seconds behind, returns an older record.
    """
    topic_mirror = mirror.Mirror()
    topic_mirror.apply([_entry('config', 7, b'new')], 8)
    assert not topic_mirror.apply([_entry('config', 4, b'old')], 5)
    assert topic_mirror.values() == {'config': b'new'}
    assert topic_mirror.end == 8


def test_keys_missing_from_a_complete_snapshot_are_removed() -> None:
    """Guards against sending callers to a removed server until a VM restart.

    The record of the server's removal expired unread, so only the snapshot
    shows that the server was removed.
    """
    topic_mirror = mirror.Mirror()
    topic_mirror.apply([_entry('a', 1), _entry('b', 2)], 3)
    changed = topic_mirror.snapshot([_entry('b', 2)], 9)
    assert [(entry.key, entry.value) for entry in changed] == [('a', b'')]
    assert set(topic_mirror.values()) == {'b'}


def test_a_stale_snapshot_removes_nothing() -> None:
    """Guards against removing a server that has registered recently.

    After its history has expired, the store's reply is seconds old and lacks
    the server.
    """
    topic_mirror = mirror.Mirror()
    topic_mirror.apply([_entry('a', 1), _entry('new', 8)], 9)
    assert not topic_mirror.snapshot([_entry('a', 1)], 4)
    assert set(topic_mirror.values()) == {'a', 'new'}


def test_a_peer_does_not_restore_a_removed_key() -> None:
    """Guards against requests to a removed server.

    A peer that missed the removal sends the server's older record.
    """
    topic_mirror = mirror.Mirror()
    topic_mirror.apply([_entry('a', 1), _entry('a', 5, b'')], 6)
    assert not topic_mirror.apply([_entry('a', 3)], 4)
    assert not topic_mirror.values()


def test_the_number_of_remembered_removals_is_limited() -> None:
    topic_mirror = mirror.Mirror()
    count = mirror.MAX_REMOVED_KEYS + 10
    topic_mirror.apply([_entry(f'k{n}', n, b'') for n in range(count)], count)
    assert len(topic_mirror.entries_since(0)) == mirror.MAX_REMOVED_KEYS


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from('abc'), strategies.binary(max_size=1)
        ),
        max_size=12,
    ),
    strategies.randoms(use_true_random=False),
)
def test_the_order_of_arrival_does_not_matter(
    writes: list[tuple[str, bytes]], rng: random.Random
) -> None:
    entries = [_entry(key, n, value) for n, (key, value) in enumerate(writes)]
    in_order, out_of_order = mirror.Mirror(), mirror.Mirror()
    in_order.apply(entries, len(entries))
    shuffled_entries = list(entries)
    rng.shuffle(shuffled_entries)
    for entry in shuffled_entries:
        out_of_order.apply([entry], entry.offset + 1)
    assert out_of_order.values() == in_order.values()


def test_a_peer_receives_the_records_it_lacks() -> None:
    ahead, behind = mirror.Mirror(), mirror.Mirror()
    ahead.apply([_entry('a', 1), _entry('b', 2), _entry('a', 6, b'')], 7)
    behind.apply([_entry('a', 1), _entry('b', 2)], 3)
    behind.apply(ahead.entries_since(behind.end), ahead.end)
    assert behind.values() == ahead.values()
    assert behind.end == ahead.end


def _ranked_entry(offset: int, count: int, epoch: int = 1) -> mirror.Entry:
    """Returns a server's record with the number of its writes as the value."""
    position = positions.make(epoch, offset)
    return mirror.Entry(key='s', offset=position, value=b'%d' % count)


def _rank(_key: str, value: bytes) -> mirror.Rank:
    return (0, int(value))


def _restored_mirror(retain_carried: bool = False) -> mirror.Mirror:
    """Returns a mirror whose store was restored from an older copy."""
    topic_mirror = mirror.Mirror(_rank, retain_carried=retain_carried)
    topic_mirror.apply([_ranked_entry(95, 7)], positions.make(1, 100))
    topic_mirror.snapshot(
        [_ranked_entry(40, 4, epoch=2)], positions.make(2, 90)
    )
    return topic_mirror


def test_an_older_record_of_a_copy_changes_nothing() -> None:
    """Guards against preferring a restored record for its higher position."""
    topic_mirror = _restored_mirror()
    assert topic_mirror.values() == {'s': b'7'}
    assert topic_mirror.end == positions.make(2, 90)
    assert topic_mirror.is_carried('s')


def test_records_missing_from_a_copy_are_sent_to_peers_that_read_it() -> None:
    """Guards against VMs of one epoch that have different versions."""
    topic_mirror = _restored_mirror()
    peer = mirror.Mirror(_rank)
    peer.snapshot([_ranked_entry(40, 4, epoch=2)], positions.make(2, 90))
    peer.apply(topic_mirror.entries_since(peer.end), topic_mirror.end)
    assert peer.values() == {'s': b'7'}
    changed = topic_mirror.apply(
        [_ranked_entry(91, 8, epoch=2)], positions.make(2, 92)
    )
    assert [entry.value for entry in changed] == [b'8']
    assert not topic_mirror.entries_since(positions.make(2, 92))


def test_a_mirror_of_the_old_epoch_does_not_revert_a_newer_one() -> None:
    """Guards against a VM of the old epoch that reverts VMs of the new one."""
    behind = mirror.Mirror(_rank)
    behind.apply([_ranked_entry(95, 7)], positions.make(1, 100))
    ahead = mirror.Mirror(_rank)
    ahead.apply([_ranked_entry(93, 9, epoch=2)], positions.make(2, 94))
    assert not behind.entries_since(ahead.end)
    ahead.apply(behind.entries_since(0), behind.end)
    assert ahead.values() == {'s': b'9'}
    behind.apply(ahead.entries_since(behind.end), ahead.end)
    assert behind.values() == {'s': b'9'}
    assert behind.end == ahead.end


def test_records_that_the_copy_contains_are_not_sent_to_peers() -> None:
    """Guards against replies that list all servers after a restore."""
    topic_mirror = mirror.Mirror(_rank)
    newest = _ranked_entry(95, 7)
    topic_mirror.apply([newest], positions.make(1, 100))
    topic_mirror.mark_repeated(newest, positions.make(1, 30))
    topic_mirror.snapshot(
        [_ranked_entry(40, 4, epoch=2)], positions.make(2, 90)
    )
    assert topic_mirror.values() == {'s': b'7'}
    assert not topic_mirror.entries_since(topic_mirror.end)


@pytest.mark.parametrize('retain_carried', [True, False])
def test_carried_records_that_are_not_rewritten_are_removed(
    retain_carried: bool,
) -> None:
    """Guards against records that stay forever since nobody removes them."""
    topic_mirror = mirror.Mirror(_rank, retain_carried=retain_carried)
    topic_mirror.apply([_ranked_entry(95, 7)], positions.make(1, 100))
    topic_mirror.snapshot([], positions.make(2, 90))
    assert bool(topic_mirror.values()) == retain_carried
    topic_mirror.remove_carried()
    assert not topic_mirror.values()
    assert topic_mirror.apply(
        [_ranked_entry(91, 7, epoch=2)], positions.make(2, 92)
    )


def test_a_removal_stays_in_effect_after_a_restore() -> None:
    """Guards against restoring a removed server that the copy contains."""
    topic_mirror = mirror.Mirror(_rank)
    topic_mirror.apply([_ranked_entry(95, 7)], positions.make(1, 96))
    removal = mirror.Entry('s', positions.make(1, 97), b'')
    topic_mirror.apply([removal], positions.make(1, 98))
    topic_mirror.snapshot(
        [_ranked_entry(40, 4, epoch=2)], positions.make(2, 90)
    )
    assert not topic_mirror.values()
    assert not topic_mirror.apply(
        [_ranked_entry(91, 7, epoch=2)], positions.make(2, 92)
    )
    assert topic_mirror.apply(
        [_ranked_entry(92, 8, epoch=2)], positions.make(2, 93)
    )


def test_unchanged_records_after_a_restore_are_not_sent_again() -> None:
    """Guards against sending the whole list to every VM at each restore."""
    topic_mirror = _restored_mirror()
    previous_position = positions.make(1, 20)
    rewritten = _ranked_entry(91, 8, epoch=2)
    topic_mirror.apply([rewritten], positions.make(2, 92))
    topic_mirror.mark_repeated(rewritten, previous_position)
    assert not topic_mirror.entries_since(positions.make(1, 100))
    assert topic_mirror.entries_since(positions.make(2, 90))


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
def test_merged_histories_contain_the_newest_written_record(
    writes: list[tuple[int, int, int]], rng: random.Random
) -> None:
    """Guards against an order of arrival that leaves a VM on an older state."""
    # Within one epoch the write count increases with the offset.
    counts = {
        (epoch, offset): sum(
            other[2]
            for other in writes
            if other[0] == epoch and other[1] <= offset
        )
        for epoch, offset, _ in writes
    }
    records = [
        _ranked_entry(offset, count, epoch)
        for (epoch, offset), count in counts.items()
    ]
    rng.shuffle(records)
    topic_mirror = mirror.Mirror(_rank)
    for record in records:
        topic_mirror.apply([record], record.offset + 1)
    newest = max(counts.values(), default=0)
    assert topic_mirror.values() == ({'s': b'%d' % newest} if newest else {})
