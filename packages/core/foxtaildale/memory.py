"""A bounded memory that knows what it may have forgotten.

Whoever promises "this never ran" must not confuse what it never knew with what
it forgot. Each record has a stamp on the clock (or in the offsets) of the one
that remembers. Records leave in the order in which they came; the highest
stamp that ever left is the floor. A stamp above the floor with no record was
never here; one at or below the floor may have been.
"""

from collections.abc import Iterator
from typing import Generic
from typing import Protocol
from typing import TypeVar


class Stamped(Protocol):
    """What a record must have."""

    stamp: float


_T = TypeVar('_T', bound=Stamped)
_K = TypeVar('_K', str, bytes)


class Memory(Generic[_K, _T]):
    """Records by key, oldest first.

    Attributes:
        floor: Highest stamp that may have been forgotten.
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
        """Returns the record of `key`, if it is still known."""
        return self._records.get(key)

    def never_knew(self, key: _K, stamp: float) -> bool:
        """Whether there never was a record of `key`, which has this stamp."""
        return key not in self._records and stamp > self.floor

    def put(self, key: _K, record: _T) -> list[_T]:
        """Adds a record; returns those that had to go for it."""
        self._records[key] = record
        gone = []
        while len(self._records) > self._limit:
            gone.append(self._drop_oldest())
        return gone

    def expire(self, before: float) -> list[_T]:
        """Forgets the oldest records while their stamps are below `before`.

        A young record at the head keeps older ones behind it a little longer;
        that costs memory for at most one life and is never wrong.
        """
        gone = []
        while self._records:
            if next(iter(self._records.values())).stamp >= before:
                break
            gone.append(self._drop_oldest())
        return gone

    def _drop_oldest(self) -> _T:
        key = next(iter(self._records))
        record = self._records.pop(key)
        self.floor = max(self.floor, record.stamp)
        return record
