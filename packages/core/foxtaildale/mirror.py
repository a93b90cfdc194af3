"""The newest record of each key of a keyed topic, as one process knows it.

Records are ordered by their offset in the store, which every process sees
alike, so what comes from the store and what comes from a peer merge by taking
the higher offset. A mirror never goes back: a stale answer of the store or a
peer that is behind changes nothing.
"""

from collections.abc import Iterable
from typing import Final

import msgspec

# Removed keys that are remembered, so that a peer's older record can't bring
# one back; some minutes of replaced backend servers at the largest size.
MAX_REMOVED: Final = 4096


class Entry(msgspec.Struct, frozen=True):
    """The newest record of one key."""

    key: str
    offset: int
    # Empty if the key was removed.
    value: bytes


class Mirror:
    """One keyed topic."""

    __slots__ = ('_changed_at', '_entries', '_removed', 'end')

    # By key, newest only; removed ones among them.
    _entries: dict[str, Entry]
    # By key, the offset of the oldest record that said what the newest one
    # says, with none in between that said something else.
    _changed_at: dict[str, int]
    # Removed keys, oldest removal first.
    _removed: dict[str, None]
    # Offset up to which the topic is known; the next read begins here.
    end: int

    def __init__(self) -> None:
        self._entries = {}
        self._changed_at = {}
        self._removed = {}
        self.end = 0

    def apply(self, entries: Iterable[Entry], end: int) -> list[Entry]:
        """Takes records, of the store or of a peer.

        Returns:
            Those that were news here, in order of their offsets.
        """
        news = []
        for entry in sorted(entries, key=lambda item: item.offset):
            known = self._entries.get(entry.key)
            if known is not None and known.offset >= entry.offset:
                continue
            self._put(entry)
            news.append(entry)
        self.end = max(self.end, end)
        return news

    def snapshot(self, entries: Iterable[Entry], end: int) -> list[Entry]:
        """Takes all that the store holds; what is missing was removed.

        A snapshot that is older than what is known here only adds.

        Returns:
            What was news here, removals among it.
        """
        listed = list(entries)
        whole = end >= self.end
        news = self.apply(listed, end)
        if not whole:
            return news
        present = {entry.key for entry in listed}
        for key, entry in list(self._entries.items()):
            if entry.value and key not in present:
                gone = Entry(key=key, offset=entry.offset, value=b'')
                self._put(gone)
                news.append(gone)
        return news

    def since(self, end: int) -> list[Entry]:
        """Returns what a peer lacks that knows the topic up to an offset.

        Records that repeat what their key's older one said are no news to it.
        Servers write every second or so and hardly ever something new; passed
        on, that would be most of what goes between VMs.
        """
        return [
            entry
            for entry in self._entries.values()
            if self._changed_at[entry.key] >= end
        ]

    def repeats(self, entry: Entry, before: int) -> None:
        """Notes that a record says what its key's record before it said.

        Args:
            entry: The newest record of its key.
            before: Since which offset its key has said so.
        """
        known = self._entries.get(entry.key)
        if known is not None and known.offset == entry.offset:
            self._changed_at[entry.key] = before

    def changed_at(self, key: str) -> int | None:
        """Returns since which offset a key has had its value; None if none."""
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

    def _put(self, entry: Entry) -> None:
        self._entries[entry.key] = entry
        self._changed_at[entry.key] = entry.offset
        self._removed.pop(entry.key, None)
        if entry.value:
            return
        self._removed[entry.key] = None
        if len(self._removed) > MAX_REMOVED:
            oldest = next(iter(self._removed))
            del self._removed[oldest]
            del self._entries[oldest]
            del self._changed_at[oldest]
