"""The newest record of each key of a keyed topic, as one process knows it.

Records are ordered by their position in the store (`positions`), which every process
sees alike, so what comes from the store and what comes from a peer merge by taking
the higher one. A mirror never goes back: a stale answer of the store or a peer that
is behind changes nothing.

A store that comes back from a copy has older records at higher positions. Records of
two histories are therefore ordered by what their writers say (`Rank`), where they do.
What the copy lacks, or has an older record of, is carried over and told to peers until
it is written again.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Final

import msgspec

from foxtaildale import positions

# Removed keys that are remembered, so that a peer's older record can't bring
# one back; some minutes of replaced backend servers at the largest size.
MAX_REMOVED: Final = 4096

# Orders the records of one key as their writer wrote them; `UNRANKED` where it does
# not tell.
Rank = tuple[int, int]
UNRANKED: Final[Rank] = (0, 0)


class Entry(msgspec.Struct, frozen=True):
    """The newest record of one key."""

    key: str
    # Its position.
    offset: int
    # Empty if the key was removed.
    value: bytes
    # Of what a removal removed.
    removed: Rank = UNRANKED


def _unranked(_key: str, _value: bytes) -> Rank:
    return UNRANKED


class Mirror:
    """One keyed topic.

    Args:
        rank: Ranks the value of a key.
        keeps: Whether what the copy of a later history lacks is known on until it is
            written again, or given up by `drop_carried`; else it is removed.
    """

    __slots__ = (
        '_before',
        '_carried',
        '_changed_at',
        '_entries',
        '_keeps',
        '_rank',
        '_removed',
        'end',
    )

    # By key, newest only; removed ones among them.
    _entries: dict[str, Entry]
    # By key, the position of the oldest record of its epoch that said what the newest
    # one says, with none in between that said something else.
    _changed_at: dict[str, int]
    # The same for the epoch before, of those that said it then already.
    _before: dict[str, int]
    # Removed keys, oldest removal first.
    _removed: dict[str, None]
    # Keys whose newest record is of an earlier epoch than the end, and whether peers
    # that know what the store holds must be told.
    _carried: dict[str, bool]
    # Position up to which the topic is known; the next read begins here.
    end: int

    def __init__(
        self,
        rank: Callable[[str, bytes], Rank] = _unranked,
        *,
        keeps: bool = False,
    ) -> None:
        self._rank = rank
        self._keeps = keeps
        self._entries = {}
        self._changed_at = {}
        self._before = {}
        self._removed = {}
        self._carried = {}
        self.end = 0

    def apply(self, entries: Iterable[Entry], end: int) -> list[Entry]:
        """Takes records, of the store or of a peer.

        Returns:
            Those that were news here, in order of their positions.
        """
        self.end = max(self.end, end)
        epoch = positions.epoch(self.end)
        news = []
        for found in sorted(entries, key=lambda item: item.offset):
            entry = found
            known = self._entries.get(entry.key)
            if known is None or self._supersedes(entry, known):
                if known is not None and not entry.value:
                    removed = max(entry.removed, self._rank_of(known))
                    entry = msgspec.structs.replace(found, removed=removed)
                self._put(entry)
                news.append(entry)
                known = entry
            if positions.epoch(known.offset) < epoch:
                self._carried[entry.key] = not self._says(entry)
        return news

    def snapshot(self, entries: Iterable[Entry], end: int) -> list[Entry]:
        """Takes all that the store holds; what is missing was removed.

        A snapshot that is older than what is known here only adds.

        Returns:
            What was news here, removals among it.
        """
        listed = list(entries)
        whole = end >= self.end
        is_later = positions.epoch(end) > positions.epoch(self.end)
        news = self.apply(listed, end)
        if not whole:
            return news
        present = {entry.key for entry in listed}
        for key, entry in list(self._entries.items()):
            if not entry.value or key in present:
                continue
            if self._keeps and (is_later or key in self._carried):
                self._carried[key] = True
                continue
            news.append(self._remove(entry, lacking=is_later))
        return news

    def drop_carried(self) -> list[Entry]:
        """Gives up what was not written again since the store came back.

        Returns:
            Its removals, as news.
        """
        found = [self._entries[key] for key in self._carried]
        self._carried.clear()
        return [
            self._remove(entry, lacking=True) for entry in found if entry.value
        ]

    def carries(self) -> bool:
        """Whether anything is known that the store may lack."""
        return bool(self._carried)

    def is_carried(self, key: str) -> bool:
        """Whether a key's record was not written in the store's newest epoch."""
        known = self._entries.get(key)
        return known is not None and (
            positions.epoch(known.offset) < positions.epoch(self.end)
        )

    def since(self, end: int) -> list[Entry]:
        """Returns what a peer lacks that knows the topic up to a position.

        Records that repeat what their key's older one said are no news to it.
        Servers write every second or so and hardly ever something new; passed
        on, that would be most of what goes between VMs.
        """
        changed_at = self._changed_at
        if positions.epoch(end) < positions.epoch(self.end):
            changed_at = changed_at | self._before
        return [
            entry
            for entry in self._entries.values()
            if changed_at[entry.key] >= end or self._carried.get(entry.key)
        ]

    def repeats(self, entry: Entry, before: int) -> None:
        """Notes that a record says what its key's record before it said.

        Args:
            entry: The newest record of its key.
            before: Since which position its key has said so.
        """
        known = self._entries.get(entry.key)
        if known is None or known.offset != entry.offset:
            return
        if positions.epoch(before) == positions.epoch(entry.offset):
            self._changed_at[entry.key] = before
        else:
            # Peers of the newest epoch may know the key from the copy alone.
            self._before[entry.key] = before

    def changed_at(self, key: str) -> int | None:
        """Returns since which position a key has its value; None if none."""
        known = self._entries.get(key)
        return self._changed_at[key] if known and known.value else None

    def values(self) -> dict[str, bytes]:
        """Returns the value of every key that was not removed."""
        return {
            key: entry.value
            for key, entry in self._entries.items()
            if entry.value
        }

    def get(self, key: str) -> Entry | None:
        """Returns the newest record of a key, also a removal."""
        return self._entries.get(key)

    def _supersedes(self, entry: Entry, known: Entry) -> bool:
        same_epoch = positions.epoch(entry.offset) == positions.epoch(
            known.offset
        )
        if not same_epoch and entry.value:
            rank = self._rank(entry.key, entry.value)
            before = self._rank_of(known)
            if rank != before:
                return rank > before
            if rank != UNRANKED and not known.value:
                return False
        return entry.offset > known.offset

    def _says(self, entry: Entry) -> bool:
        """Whether a copy's older record says what its key's newest one says."""
        since = self._changed_at[entry.key]
        if positions.epoch(entry.offset) != positions.epoch(since) + 1:
            return False
        # The copy has the offsets of the history that it was made of.
        return positions.offset(since) <= positions.offset(entry.offset)

    def _rank_of(self, entry: Entry) -> Rank:
        if not entry.value:
            return entry.removed
        return self._rank(entry.key, entry.value)

    def _remove(self, entry: Entry, *, lacking: bool) -> Entry:
        """Removes a key that the store does not hold.

        Args:
            entry: Its newest record.
            lacking: Whether it may come again as it was.
        """
        gone = Entry(
            key=entry.key,
            # Below the end, from which on it may be written again.
            offset=max(entry.offset, self.end - 1),
            value=b'',
            removed=UNRANKED if lacking else self._rank_of(entry),
        )
        self._put(gone)
        return gone

    def _put(self, entry: Entry) -> None:
        self._entries[entry.key] = entry
        self._changed_at[entry.key] = entry.offset
        self._removed.pop(entry.key, None)
        self._before.pop(entry.key, None)
        self._carried.pop(entry.key, None)
        if entry.value:
            return
        self._removed[entry.key] = None
        if len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            del self._removed[oldest]
            del self._entries[oldest]
            del self._changed_at[oldest]
            self._carried.pop(oldest, None)
