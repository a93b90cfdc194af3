"""Which backend servers have said that they leave.

A server that leaves says so in its entry of the list and in its answers; while the
store is away, in its answers only. What one entry VM hears it tells the others, so
word of one start of a server has a revision: it counts up each time that the server
is found to leave (odd) or not to leave any more (even), and the higher one holds,
whatever order it comes in.

Nothing here does I/O; the time is an argument.
"""

from collections.abc import Mapping
from typing import Final

# Servers that are remembered; those that changed longest ago go first.
MOST: Final = 4096
# Entries that call a server ready, written after it was found to leave, that
# withdraw its leave, and the least time between two that count, seconds. One may
# have been on its way to the store, and a store that comes back from a copy has old
# ones written again.
READY_ENTRIES: Final = 3
ENTRY_S: Final = 1.0
# How long word that is new here is told to other entry VMs, seconds. One that was
# cut off for longer hears of it from the list, or from the server.
NEWS_S: Final = 10.0

# When the server started, Unix milliseconds, and the revision.
Word = tuple[int, int]


class Departures:
    """What one entry VM knows of them."""

    __slots__ = ('_ready', '_taken_at', '_words')

    def __init__(self) -> None:
        # By server, the one that changed last at the end.
        self._words: dict[str, Word] = {}
        # When each word was taken, seconds.
        self._taken_at: dict[str, float] = {}
        # Entries that call a leaving server ready, and when the last one came.
        self._ready: dict[str, tuple[int, float]] = {}

    def leaving(self, server: str, born: int) -> bool:
        """Whether a start of a server leaves; any thread may ask."""
        return self.revision(server, born) % 2 == 1

    def revision(self, server: str, born: int) -> int:
        """Returns the revision of the word on a start; 0 if there is none."""
        known = self._words.get(server)
        return known[1] if known is not None and known[0] >= born else 0

    def said(self, now: float, server: str, born: int) -> bool:
        """Takes that a start of a server leaves; returns whether it is new."""
        self._ready.pop(server, None)
        known = self._words.get(server)
        if known is not None and known[0] > born:
            return False
        if known is None or known[0] < born:
            self._put(now, server, (born, 1))
            return True
        if known[1] % 2 == 1:
            return False
        self._put(now, server, (born, known[1] + 1))
        return True

    def withdrawn(self, now: float, server: str, born: int) -> bool:
        """Takes that it does not leave any more; returns whether that is new."""
        known = self._words.get(server)
        if known is None or known[0] != born or known[1] % 2 == 0:
            return False
        self._put(now, server, (born, known[1] + 1))
        return True

    def listed(self, now: float, server: str, born: int) -> bool:
        """Takes an entry that calls it ready, read from the store.

        Returns:
            Whether that withdraws its leave.
        """
        if not self.leaving(server, born):
            return False
        count, last_at = self._ready.get(server, (0, now))
        if count and now - last_at < ENTRY_S:
            return False
        self._ready[server] = (count + 1, now)
        return count + 1 >= READY_ENTRIES and self.withdrawn(now, server, born)

    def take(self, now: float, words: Mapping[str, Word]) -> list[str]:
        """Takes what another entry VM knows; returns the servers it changes."""
        newer = [
            server
            for server, word in words.items()
            if tuple(word) > self._words.get(server, (-1, 0))
        ]
        for server in newer:
            self._put(now, server, (words[server][0], words[server][1]))
        return newer

    def word(self, server: str) -> Word:
        """Returns the word on a server.

        Raises:
            KeyError: There is none.
        """
        return self._words[server]

    def words(self) -> dict[str, Word]:
        """Returns all that is known, for an entry VM that starts."""
        return dict(self._words)

    def news(self, now: float) -> dict[str, Word]:
        """Returns what was learned lately."""
        found: dict[str, Word] = {}
        for server, taken_at in reversed(self._taken_at.items()):
            if now - taken_at >= NEWS_S:
                break
            found[server] = self._words[server]
        return found

    def _put(self, now: float, server: str, word: Word) -> None:
        for known in (self._words, self._taken_at, self._ready):
            known.pop(server, None)
        self._words[server] = word
        self._taken_at[server] = now
        if len(self._words) > MOST:
            oldest = next(iter(self._words))
            del self._words[oldest]
            del self._taken_at[oldest]
            self._ready.pop(oldest, None)
