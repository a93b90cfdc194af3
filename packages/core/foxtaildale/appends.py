"""What a keeper has to append to a stream, and when it may try.

One append is in flight at a time and takes along all that has gathered, so the
number of appends doesn't grow with the number of requests. After a failure the
tries back off, so that a log that is down isn't hammered by every VM.
"""

from typing import Final
from typing import Generic
from typing import TypeVar

_FIRST_BACKOFF_S: Final = 0.5
_LAST_BACKOFF_S: Final = 8.0
# Items of one append.
_MAX_ITEMS: Final = 500

_T = TypeVar('_T')


class Appends(Generic[_T]):
    """Items to append, in order; times are seconds, monotonic."""

    __slots__ = (
        '_backoff_s',
        '_in_flight',
        '_interval_s',
        '_items',
        '_next_at',
        '_retry_at',
        'count',
    )

    def __init__(self, interval_s: float) -> None:
        # Shortest time between two appends.
        self._interval_s = interval_s
        self._items: list[_T] = []
        # What the append in flight took along; None if there is none.
        self._in_flight: list[_T] | None = None
        self._next_at = float('-inf')
        self._retry_at = float('-inf')
        self._backoff_s = _FIRST_BACKOFF_S
        # Appends begun, for the metrics.
        self.count = 0

    def __len__(self) -> int:
        return len(self._items) + len(self._in_flight or ())

    def add(self, item: _T) -> None:
        """Adds an item behind the others."""
        self._items.append(item)

    def is_down(self, now: float) -> bool:
        """Whether the last try failed and the next is not due."""
        return now < self._retry_at

    def wait_s(self, now: float) -> float:
        """Returns how long until the next append may begin."""
        return max(self._retry_at - now, self._interval_s)

    def take(self, now: float) -> list[_T]:
        """Begins an append; empty if there is nothing or it is too early."""
        if self._in_flight is not None or not self._items:
            return []
        if now < max(self._next_at, self._retry_at):
            return []
        taken = self._items[:_MAX_ITEMS]
        del self._items[:_MAX_ITEMS]
        self._in_flight = taken
        self._next_at = now + self._interval_s
        self.count += 1
        return taken

    def on_done(self, now: float) -> None:
        """The append in flight took effect."""
        self._in_flight = None
        self._retry_at = now
        self._backoff_s = _FIRST_BACKOFF_S

    def on_failed(self, now: float) -> tuple[list[_T], list[_T]]:
        """The append in flight failed or its answer was lost.

        Returns:
            What it had taken along, and what waited behind it. Nothing of it
            is kept: the owner adds again what is still to be said.
        """
        taken, self._in_flight = self._in_flight or [], None
        waited, self._items = self._items, []
        self._retry_at = now + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, _LAST_BACKOFF_S)
        return taken, waited
