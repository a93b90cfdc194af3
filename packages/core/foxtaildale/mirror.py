"""A process's copy of a keyed topic: the newest record of each key.

Records are ordered by their position in the store (`positions`), which is the
same for every process. Records from the store and from peers are therefore
merged by taking the one with the higher position. A mirror never returns to an
older record: a stale reply of the store or a peer that is behind changes
nothing.

A store that is restored from a copy has older records at higher positions.
Records of two epochs are therefore ordered by the rank that their writers gave
them (`Rank`), if they have one. A record that the copy lacks, or of which it
has an older version, is carried over to the new epoch and sent to peers until
it is written again.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

import msgspec

from foxtaildale import positions

# Maximum number of removed keys that are remembered, so that a peer's older
# record does not restore one. Enough for some minutes of replaced backend
# servers in the largest system.
MAX_REMOVED_KEYS: Final = 4096

# Orders the records of one key as they were written; `UNRANKED` if the value
# does not contain the order.
Rank = tuple[int, int]
UNRANKED: Final[Rank] = (0, 0)


class Entry(msgspec.Struct, frozen=True):
    """The newest record of one key."""

    key: str
    # Position of the record.
    offset: int
    # Empty if the key was removed.
    value: bytes
    # Rank of the removed value, if this is a removal.
    removed: Rank = UNRANKED


def _unranked(_key: str, _value: bytes) -> Rank:
    return UNRANKED


class Mirror:
    """One keyed topic.

    Args:
        rank: Returns the rank of a key's value.
        retain_carried: Whether a record that a restored store lacks is kept
            until it is written again or removed by `remove_carried`; otherwise
            it is removed at once.
    """

    __slots__ = (
        '_carried',
        '_changed_position',
        '_changed_position_before_restore',
        '_entries',
        '_rank',
        '_removed',
        '_retain_carried',
        'end',
    )

    # Newest record by key, including removals.
    _entries: dict[str, Entry]
    # By key, the position since which it has had its content: that of the
    # oldest record in the epoch of the newest one that has the same content,
    # with no different record in between.
    _changed_position: dict[str, int]
    # The same position in the previous epoch, for keys that had the same
    # content there already.
    _changed_position_before_restore: dict[str, int]
    # Removed keys, oldest removal first.
    _removed: dict[str, None]
    # Keys whose newest record belongs to an earlier epoch than the end, and
    # whether it must be sent to peers that have read the store.
    _carried: dict[str, bool]
    # Position up to which the topic has been read; the next read starts here.
    end: int

    def __init__(
        self,
        rank: Callable[[str, bytes], Rank] = _unranked,
        *,
        retain_carried: bool = False,
    ) -> None:
        self._rank = rank
        self._retain_carried = retain_carried
        self._entries = {}
        self._changed_position = {}
        self._changed_position_before_restore = {}
        self._removed = {}
        self._carried = {}
        self.end = 0

    def apply(self, entries: Iterable[Entry], end: int) -> list[Entry]:
        """Applies records of the store or of a peer.

        Returns:
            The records that changed the mirror, in order of position.
        """
        self.end = max(self.end, end)
        epoch = positions.epoch(self.end)
        changed = []
        for original in sorted(entries, key=lambda item: item.offset):
            entry = original
            newest = self._entries.get(entry.key)
            if newest is None or self._supersedes(entry, newest):
                if newest is not None and not entry.value:
                    removed = max(entry.removed, self._rank_of(newest))
                    entry = msgspec.structs.replace(original, removed=removed)
                self._put(entry)
                changed.append(entry)
                newest = entry
            if positions.epoch(newest.offset) < epoch:
                self._carried[entry.key] = not self._has_current_content(entry)
        return changed

    def snapshot(self, entries: Iterable[Entry], end: int) -> list[Entry]:
        """Applies the complete content of the store.

        Keys that are missing from it were removed. A snapshot that is older
        than the mirror only adds records.

        Returns:
            The records that changed the mirror, including removals.
        """
        listed = list(entries)
        is_current = end >= self.end
        is_later = positions.epoch(end) > positions.epoch(self.end)
        changed = self.apply(listed, end)
        if not is_current:
            return changed
        listed_keys = {entry.key for entry in listed}
        for key, entry in list(self._entries.items()):
            if not entry.value or key in listed_keys:
                continue
            if self._retain_carried and (is_later or key in self._carried):
                self._carried[key] = True
                continue
            changed.append(self._remove(entry, may_return=is_later))
        return changed

    def remove_carried(self) -> list[Entry]:
        """Removes the keys not written again since the store was restored.

        Returns:
            The removals.
        """
        carried = [self._entries[key] for key in self._carried]
        self._carried.clear()
        return [
            self._remove(entry, may_return=True)
            for entry in carried
            if entry.value
        ]

    def has_carried(self) -> bool:
        """Whether there are records that the store may lack."""
        return bool(self._carried)

    def is_carried(self, key: str) -> bool:
        """Whether a key's record belongs to an earlier epoch of the store."""
        newest = self._entries.get(key)
        return newest is not None and (
            positions.epoch(newest.offset) < positions.epoch(self.end)
        )

    def entries_since(self, end: int) -> list[Entry]:
        """Returns the records that a peer lacks.

        Records with the same content as the previous one of their key are left
        out. Servers write about once a second and rarely change anything;
        these records would be most of the traffic between VMs.

        Args:
            end: Position up to which the peer has read the topic.
        """
        changed_position = self._changed_position
        if positions.epoch(end) < positions.epoch(self.end):
            changed_position = (
                changed_position | self._changed_position_before_restore
            )
        return [
            entry
            for entry in self._entries.values()
            if changed_position[entry.key] >= end
            or self._carried.get(entry.key)
        ]

    def mark_repeated(self, entry: Entry, same_since: int) -> None:
        """Records that an entry has the same content as the previous one.

        Args:
            entry: The newest record of its key.
            same_since: Position since which the key has had this content.
        """
        newest = self._entries.get(entry.key)
        if newest is None or newest.offset != entry.offset:
            return
        if positions.epoch(same_since) == positions.epoch(entry.offset):
            self._changed_position[entry.key] = same_since
        else:
            # Peers in the newest epoch may have this key from the restored
            # copy only.
            self._changed_position_before_restore[entry.key] = same_since

    def changed_position(self, key: str) -> int | None:
        """Returns the position since which a key has had its value.

        Returns None if the key has no value.
        """
        newest = self._entries.get(key)
        return self._changed_position[key] if newest and newest.value else None

    def values(self) -> dict[str, bytes]:
        """Returns the value of every key that has not been removed."""
        return {
            key: entry.value
            for key, entry in self._entries.items()
            if entry.value
        }

    def get(self, key: str) -> Entry | None:
        """Returns the newest record of a key, which may be a removal."""
        return self._entries.get(key)

    def _supersedes(self, entry: Entry, current: Entry) -> bool:
        same_epoch = positions.epoch(entry.offset) == positions.epoch(
            current.offset
        )
        if not same_epoch and entry.value:
            rank = self._rank(entry.key, entry.value)
            current_rank = self._rank_of(current)
            if rank != current_rank:
                return rank > current_rank
            if rank != UNRANKED and not current.value:
                return False
        return entry.offset > current.offset

    def _has_current_content(self, entry: Entry) -> bool:
        """Whether a restored older record has the content of the newest one."""
        changed_position = self._changed_position[entry.key]
        if (
            positions.epoch(entry.offset)
            != positions.epoch(changed_position) + 1
        ):
            return False
        # The copy has the same offsets as the epoch it was made from.
        return positions.offset(changed_position) <= positions.offset(
            entry.offset
        )

    def _rank_of(self, entry: Entry) -> Rank:
        if not entry.value:
            return entry.removed
        return self._rank(entry.key, entry.value)

    def _remove(self, entry: Entry, *, may_return: bool) -> Entry:
        """Removes a key that the store does not contain.

        Args:
            entry: The newest record of the key.
            may_return: Whether the same value may be written again, because a
                restored store lacks it.
        """
        removal = Entry(
            key=entry.key,
            # Below the end, so that any new record of the key is higher.
            offset=max(entry.offset, self.end - 1),
            value=b'',
            removed=UNRANKED if may_return else self._rank_of(entry),
        )
        self._put(removal)
        return removal

    def _put(self, entry: Entry) -> None:
        self._entries[entry.key] = entry
        self._changed_position[entry.key] = entry.offset
        self._removed.pop(entry.key, None)
        self._changed_position_before_restore.pop(entry.key, None)
        self._carried.pop(entry.key, None)
        if entry.value:
            return
        self._removed[entry.key] = None
        if len(self._removed) > MAX_REMOVED_KEYS:
            oldest = next(iter(self._removed))
            del self._removed[oldest]
            del self._entries[oldest]
            del self._changed_position[oldest]
            self._carried.pop(oldest, None)
