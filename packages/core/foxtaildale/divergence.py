"""Records differences between two states computed at one offset.

All readers of one stream must compute the same state. A difference means that
one process is faulty: its memory or its version is wrong, or the log returned
other records to it. The keeper cannot determine which state is wrong, so it
reports the difference to the operators and repairs nothing.
"""

from typing import Final

import msgspec

# Maximum number of divergences shown in the state dump.
_MAX_DIVERGENCES: Final = 8


class Divergence(msgspec.Struct, frozen=True):
    """Two different states at one offset."""

    # Where the other state came from: the name of the peer's VM, 'pull' or
    # 'checkpoint'.
    source: str
    offset: int
    # Digests of the two states.
    own: str
    other: str


class Divergences:
    """The divergences that one follower has detected."""

    __slots__ = ('_unresolved', 'recent')

    # Newest last; includes resolved ones.
    recent: tuple[Divergence, ...]
    # Sources whose last known state differs.
    _unresolved: set[str]

    def __init__(self) -> None:
        self.recent = ()
        self._unresolved = set()

    def __bool__(self) -> bool:
        """Whether there is an unresolved divergence."""
        return bool(self._unresolved)

    def __contains__(self, source: str) -> bool:
        """Whether a source has an unresolved divergence."""
        return source in self._unresolved

    def add(self, divergence: Divergence) -> None:
        """Records a divergence and marks its source as unresolved."""
        self._unresolved.add(divergence.source)
        if divergence not in self.recent:
            self.recent = (*self.recent, divergence)[-_MAX_DIVERGENCES:]

    def resolve(self, source: str) -> None:
        """Records that a source agrees, for example after its replacement."""
        self._unresolved.discard(source)
