"""When requests that were not served yet came first.

A caller that was refused comes back with another id; what tells its request is
a digest of what it asks. Counted from its second try it would take the place of
those that can still be served in time, and be refused again as often as others.
The time is an argument.
"""

from typing import Final

# How long a request that was not served is remembered, seconds: callers give up
# after some fourteen.
REMEMBERED_S: Final = 20.0


class FirstTries:
    """First tries of the requests of one service."""

    __slots__ = ('_first_at',)

    def __init__(self) -> None:
        # Seconds, by digest; those that came last at the end.
        self._first_at: dict[int, float] = {}

    def came_first(self, now: float, digest: int, came_at: float) -> float:
        """Returns when the first try of a request came, seconds.

        Args:
            now: Seconds.
            digest: Shared by its tries; 0 if that is not known.
            came_at: When this try came.
        """
        if not digest:
            return came_at
        for known, first_at in list(self._first_at.items()):
            if now - first_at <= REMEMBERED_S:
                break
            del self._first_at[known]
        return self._first_at.setdefault(digest, came_at)

    def served(self, digest: int) -> None:
        """Forgets a request that got its whole answer."""
        self._first_at.pop(digest, None)
