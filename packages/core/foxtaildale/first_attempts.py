"""When the first attempts of unserved requests arrived.

A caller that retries a refused request uses another id; a digest of the content
identifies the request. If its age counted from the retry, it would be served
before requests that can still be served in time, and be refused again as often
as others. The time is an argument.
"""

from typing import Final

# How long an unserved request is remembered, seconds; callers give up after
# about fourteen.
ATTEMPT_TTL_S: Final = 20.0


class FirstAttempts:
    """First attempts of the requests of one service."""

    __slots__ = ('_first_at',)

    def __init__(self) -> None:
        # Seconds, by digest; the requests that arrived last are at the end.
        self._first_at: dict[int, float] = {}

    def first_arrived_at(
        self, now: float, digest: int, arrived_at: float
    ) -> float:
        """Returns when the first attempt of a request arrived, seconds.

        Args:
            now: Seconds.
            digest: Shared by its attempts; 0 if not known.
            arrived_at: When this attempt arrived, seconds.
        """
        if not digest:
            return arrived_at
        for old_digest, first_at in list(self._first_at.items()):
            if now - first_at <= ATTEMPT_TTL_S:
                break
            del self._first_at[old_digest]
        return self._first_at.setdefault(digest, arrived_at)

    def remove(self, digest: int) -> None:
        """Removes a request that got its complete response."""
        self._first_at.pop(digest, None)
