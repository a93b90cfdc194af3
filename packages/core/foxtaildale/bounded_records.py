"""A bounded table that knows which records it may have discarded.

A process that confirms that an operation never ran must distinguish a record
that never existed from one that was discarded. Each record has a stamp on the
clock (or in the offsets) of the process that keeps the table. Records are
discarded in the order in which they were added; the highest stamp that was ever
discarded is the floor. A key with a stamp above the floor and without a record
was never added; one with a stamp at or below the floor may have been.
"""

from collections.abc import Iterator
from typing import Generic
from typing import Protocol
from typing import TypeVar


class Stamped(Protocol):
    """A record with a stamp."""

    stamp: float


_T = TypeVar('_T', bound=Stamped)
_K = TypeVar('_K', str, bytes)


class BoundedRecords(Generic[_K, _T]):
    """Records by key, oldest first.

    Attributes:
        floor: Highest stamp of a record that may have been discarded.
    """

    __slots__ = ('_limit', '_records', 'floor')

    def __init__(self, limit: int, floor: float = float('-inf')) -> None:
        self._records: dict[_K, _T] = {}
        self._limit = limit
        self.floor = floor

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[_K, _T]]:
        return iter(self._records.items())

    def get(self, key: _K) -> _T | None:
        """Returns the record of `key`; None if there is none."""
        return self._records.get(key)

    def was_never_added(self, key: _K, stamp: float) -> bool:
        """Whether `key`, with this stamp, was certainly never added."""
        return key not in self._records and stamp > self.floor

    def put(self, key: _K, record: _T) -> list[_T]:
        """Adds a record; returns those that were discarded to make room."""
        self._records[key] = record
        discarded = []
        while len(self._records) > self._limit:
            discarded.append(self._discard_oldest())
        return discarded

    def expire(self, before: float) -> list[_T]:
        """Discards the oldest records while their stamps are below `before`.

        Expired records behind a record with a higher stamp stay a little
        longer. That costs memory for at most one lifetime, and correctness does
        not depend on it.
        """
        discarded = []
        while self._records:
            if next(iter(self._records.values())).stamp >= before:
                break
            discarded.append(self._discard_oldest())
        return discarded

    def _discard_oldest(self) -> _T:
        key = next(iter(self._records))
        record = self._records.pop(key)
        self.floor = max(self.floor, record.stamp)
        return record
