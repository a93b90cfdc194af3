"""Schedules the writing of checkpoints and finds them in the log.

The platform keeps records for a limited time. A checkpoint is a record that
contains the whole configuration state, so that a keeper that starts later
needs only the records that are left. Two equal checkpoints are harmless, but
hundreds at once would load the log. Each keeper therefore delays its
checkpoint by a different time, and skips it if another keeper has written one.
"""

from collections.abc import Iterator
from typing import Final

import xxhash

from foxtaildale import changes
from foxtaildale import ports

# Number of records since the last checkpoint that makes another one due.
MAX_RECORDS: Final = 128
# Maximum delay of a due checkpoint, seconds per keeper. One keeper writes it,
# and the others read it before their own delay has passed.
_DELAY_PER_KEEPER_S: Final = 1.0


class Schedule:
    """Decides when this keeper writes a checkpoint."""

    __slots__ = (
        '_covered_offset',
        '_due_at',
        '_entry_vm',
        '_interval_s',
        '_read_at',
        '_record_count',
    )

    # Offset that the newest checkpoint covers, and when it was read.
    _covered_offset: int
    _read_at: float | None
    # Number of records since the newest checkpoint.
    _record_count: int
    # When this keeper writes a checkpoint; None while none is due.
    _due_at: float | None

    def __init__(self, entry_vm: str, interval_s: float) -> None:
        self._entry_vm = entry_vm
        self._interval_s = interval_s
        self._covered_offset = 0
        self._read_at = None
        self._record_count = 0
        self._due_at = None

    def on_record(self) -> None:
        """Counts a record that is not a checkpoint."""
        self._record_count += 1

    def on_checkpoint(self, now: float, offset: int) -> None:
        """Records a checkpoint that covers the records below `offset`."""
        if offset >= self._covered_offset:
            self._covered_offset = offset
            self._read_at = now
            self._record_count = 0

    def is_due(self, now: float, oldest_offset: int, keepers: int) -> bool:
        """Whether to append a checkpoint now."""
        if not self._is_needed(now, oldest_offset):
            self._due_at = None
            return False
        max_delay_s = _DELAY_PER_KEEPER_S * keepers
        if self._due_at is None:
            self._due_at = now + max_delay_s * self._delay_fraction()
        if now < self._due_at:
            return False
        # The append may be lost; it is repeated unless its record is read.
        self._due_at = now + max_delay_s
        return True

    def _is_needed(self, now: float, oldest_offset: int) -> bool:
        if oldest_offset > self._covered_offset:
            # A keeper that starts now has no checkpoint to start from.
            return True
        if self._record_count >= MAX_RECORDS:
            return True
        if self._read_at is None:
            self._read_at = now
        # Needed even without new records: the last checkpoint expires too.
        return now - self._read_at >= self._interval_s

    def _delay_fraction(self) -> float:
        """Returns this keeper's share of the maximum delay, from 0 to 1."""
        text = f'{self._entry_vm}/{self._covered_offset}'
        return xxhash.xxh64_intdigest(text.encode()) / 2**64


def candidates(batch: ports.Batch) -> Iterator[list[changes.Checkpoint]]:
    """Yields the checkpoints whose following records are available.

    The newest offset comes first. Different checkpoints of one offset are
    yielded together: their writers computed different states from the same
    records.
    """
    by_offset: dict[int, dict[str, changes.Checkpoint]] = {}
    for record in batch.records:
        change = changes.decode(record.data)
        if not isinstance(change, changes.Checkpoint):
            continue
        if batch.first <= change.offset <= record.offset:
            by_offset.setdefault(change.offset, {})[change.digest] = change
    for offset in sorted(by_offset, reverse=True):
        yield list(by_offset[offset].values())
