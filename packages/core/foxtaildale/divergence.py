"""Reports of two different states at one offset.

Folds of one stream can't differ, so one process is broken: its memory, its
version, or the log gave it other records. Which one can't be told from here.
It is reported for people to settle; nothing is repaired by guessing.
"""

from typing import Final

import msgspec

# Reports remembered for the state dump.
_MAX: Final = 8


class Divergence(msgspec.Struct, frozen=True):
    """Two different states at one offset."""

    # Name of the peer's VM, or what else the other state came from.
    source: str
    offset: int
    own: str
    other: str


class Reports:
    """The divergences that one follower has met."""

    __slots__ = ('_open', 'all')

    # Newest last; settled ones are among them.
    all: tuple[Divergence, ...]
    # Sources that differ still, as far as is known.
    _open: set[str]

    def __init__(self) -> None:
        self.all = ()
        self._open = set()

    def __bool__(self) -> bool:
        """Tells whether any source differs still."""
        return bool(self._open)

    def __contains__(self, source: str) -> bool:
        """Tells whether a source differs still."""
        return source in self._open

    def report(self, found: Divergence) -> None:
        """Notes a divergence."""
        self._open.add(found.source)
        if found not in self.all:
            self.all = (*self.all, found)[-_MAX:]

    def settle(self, source: str) -> None:
        """Notes that a source agrees, say after it was replaced."""
        self._open.discard(source)
