"""Queues the items that a keeper appends to a stream of the platform log.

Only one append is in flight at a time, and it contains all items queued so
far, up to a maximum, so the number of appends does not grow with the number
of requests. After a failure the delay between attempts grows, so that the VMs
do not overload a log that is unavailable.
"""

from collections.abc import Hashable
import itertools
from typing import Final
from typing import Generic
from typing import TypeVar

# Delay after the first failure; doubles with each further failure up to the
# maximum.
_MIN_BACKOFF_S: Final = 0.5
_MAX_BACKOFF_S: Final = 8.0
# Maximum number of items in one append.
_MAX_ITEMS: Final = 500

_T = TypeVar('_T', bound=Hashable)


class AppendQueue(Generic[_T]):
    """Queue of items to append; times are monotonic, in seconds."""

    __slots__ = (
        '_backoff_s',
        '_in_flight',
        '_items',
        '_next_at',
        '_retry_at',
        'interval_s',
        'started_count',
    )

    def __init__(self, interval_s: float) -> None:
        # Minimum time between the starts of two appends.
        self.interval_s = interval_s
        # An ordered set, so that no item is queued twice during an outage.
        self._items: dict[_T, None] = {}
        # Items of the append in flight; None if there is none.
        self._in_flight: list[_T] | None = None
        self._next_at = float('-inf')
        self._retry_at = float('-inf')
        self._backoff_s = _MIN_BACKOFF_S
        # Number of appends started, for the metrics.
        self.started_count = 0

    def __len__(self) -> int:
        return len(self._items) + len(self._in_flight or ())

    def add(self, item: _T) -> None:
        """Adds an item at the end of the queue, unless it is queued already."""
        self._items[item] = None

    def is_backing_off(self, now: float) -> bool:
        """Whether the last attempt failed and the next one is not due."""
        return now < self._retry_at

    def wait_s(self, now: float) -> float:
        """Returns how long to wait before the next append, seconds."""
        return max(self._retry_at - now, self.interval_s)

    def start_append(self, now: float) -> list[_T]:
        """Starts an append and returns its items.

        Returns an empty list if an append is in flight, nothing is queued or
        the next append is not due.
        """
        if self._in_flight is not None or not self._items:
            return []
        if now < max(self._next_at, self._retry_at):
            return []
        items = list(itertools.islice(self._items, _MAX_ITEMS))
        for item in items:
            del self._items[item]
        self._in_flight = items
        self._next_at = now + self.interval_s
        self.started_count += 1
        return items

    def on_succeeded(self, now: float) -> None:
        """Handles the success of the append in flight."""
        self._in_flight = None
        self._retry_at = now
        self._backoff_s = _MIN_BACKOFF_S

    def on_failed(self, now: float) -> tuple[list[_T], list[_T]]:
        """Handles a failure of the append in flight or the loss of its reply.

        Returns:
            The items of the append and the items queued behind it. Both are
            removed from the queue: the owner adds those again that are still
            needed.
        """
        items, self._in_flight = self._in_flight or [], None
        queued, self._items = list(self._items), {}
        self._retry_at = now + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, _MAX_BACKOFF_S)
        return items, queued
