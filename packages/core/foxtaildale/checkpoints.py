"""When a checkpoint is written, and where a late reader finds one.

The platform keeps records for a limited time. A checkpoint is a record that
carries the folded state, so that a keeper started later needs only what is
left. Two equal ones are harmless; hundreds at once would crowd the log, so
each keeper waits for a turn of its own and the first one saves the others it.
"""

from collections.abc import Iterator
from typing import Final

import xxhash

from foxtaildale import changes
from foxtaildale import ports

# Records after the last checkpoint that make another one due.
MAX_RECORDS: Final = 128
# Keepers put off a due checkpoint by up to this long for each of them, so
# that one writes it and the others see it before their turn, seconds.
_SPREAD_S: Final = 1.0


class Schedule:
    """Decides when this keeper writes a checkpoint."""

    __slots__ = (
        '_due_at',
        '_entry_vm',
        '_interval_s',
        '_offset',
        '_records',
        '_seen_at',
    )

    # What the newest checkpoint stands for, and when it was seen.
    _offset: int
    _seen_at: float | None
    # Records since.
    _records: int
    # When this keeper's turn comes; None while none is due.
    _due_at: float | None

    def __init__(self, entry_vm: str, interval_s: float) -> None:
        self._entry_vm = entry_vm
        self._interval_s = interval_s
        self._offset = 0
        self._seen_at = None
        self._records = 0
        self._due_at = None

    def on_record(self) -> None:
        """Counts a record that is no checkpoint."""
        self._records += 1

    def on_checkpoint(self, now: float, offset: int) -> None:
        """Notes a checkpoint that stands for `offset`."""
        if offset >= self._offset:
            self._offset = offset
            self._seen_at = now
            self._records = 0

    def due(self, now: float, first_kept: int, keepers: int) -> bool:
        """Tells whether to append one now."""
        if not self._wanted(now, first_kept):
            self._due_at = None
            return False
        spread = _SPREAD_S * keepers
        if self._due_at is None:
            self._due_at = now + spread * self._turn()
        if now < self._due_at:
            return False
        # The append may be lost; another turn comes unless it is seen.
        self._due_at = now + spread
        return True

    def _wanted(self, now: float, first_kept: int) -> bool:
        if first_kept > self._offset:
            # A keeper that starts now finds nothing to start from.
            return True
        if self._records >= MAX_RECORDS:
            return True
        if self._seen_at is None:
            self._seen_at = now
        # Also with no record since: the last checkpoint will lapse as well.
        return now - self._seen_at >= self._interval_s

    def _turn(self) -> float:
        """Returns this keeper's turn in a round of all, from 0 to 1."""
        text = f'{self._entry_vm}/{self._offset}'
        return xxhash.xxh64_intdigest(text.encode()) / 2**64


def candidates(batch: ports.Batch) -> Iterator[list[changes.Checkpoint]]:
    """Yields checkpoints whose following records can be read, newest first.

    Those for one offset come together. More than one means that their writers
    folded the same records to different states.
    """
    found: dict[int, dict[str, changes.Checkpoint]] = {}
    for record in batch.records:
        change = changes.decode(record.data)
        if not isinstance(change, changes.Checkpoint):
            continue
        if batch.first <= change.offset <= record.offset:
            found.setdefault(change.offset, {})[change.digest] = change
    for offset in sorted(found, reverse=True):
        yield list(found[offset].values())
