"""Origins of streams in the platform's store.

They outlive the entry VMs: after a loss of power on all VMs, callers resume
streams whose versions no VM remembers. Origins are written in batches, and only
those of streams that are not of the default version of their service
(`default_versions`).
"""

from collections.abc import Iterator
import contextlib
import logging
import math
import threading
from typing import Final

import msgspec

from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import positions
from foxtaildale import stream_origins
from foxtaildale_adapters import logs

# Topic of the store. It is a plain log, so that old batches expire.
TOPIC: Final = 'streamorigins'
# Time after a failed read in which the store is not read again, and maximum wait
# for the read of another request, seconds.
FAILURE_INTERVAL_S: Final = 0.4
MAX_WAIT_S: Final = 0.6
# Maximum number of reads of one look-up, each of up to a megabyte.
_MAX_READS: Final = 200


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """Origins that an entry VM saved together."""

    # Seconds since the Unix epoch, as of which the ages of the origins are.
    saved_at: float
    origins: tuple[messages.StreamOrigin, ...]


_batch: Final = msgspec.msgpack.Decoder(Batch)
# Latest valid time of a batch, seconds since the Unix epoch, and largest valid
# age of an origin, milliseconds.
_MAX_SAVED_AT_S: Final = 1e11
_MAX_AGE_MS: Final = 10**9
# Maximum age at which a batch proves that the batches before it are old, seconds.
# An older one more likely has a wrong time.
_MAX_BATCH_AGE_S: Final = 30 * 86_400.0


def _decode_batch(value: bytes) -> Batch:
    batch = _batch.decode(value)
    if not 0 <= batch.saved_at <= _MAX_SAVED_AT_S or not all(
        0 <= origin.age_ms <= _MAX_AGE_MS for origin in batch.origins
    ):
        raise ValueError('time out of range')
    return batch


class OriginStore:
    """Saves and looks up origins in the store; safe for concurrent use."""

    __slots__ = (
        '_clock',
        '_failed_until',
        '_gap_end',
        '_lock',
        '_next',
        '_oldest_at',
        '_origins',
        '_reached_end',
        '_read_began_at',
        '_reader',
        '_wall',
        '_writer',
    )

    def __init__(
        self,
        *,
        reader: ports.KeyedTopics,
        writer: ports.KeyedTopics,
        clock: ports.Clock,
        wall: ports.Clock,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._clock = clock
        # Returns seconds since the Unix epoch.
        self._wall = wall
        # Guards the fields below.
        self._lock = threading.Lock()
        self._origins = stream_origins.StreamOrigins()
        # Position of the next record to read.
        self._next = 0
        # Position behind the last records that could not be read since the
        # store had dropped them, and when the batch there was saved, seconds;
        # None if there is none.
        self._gap_end = 0
        self._oldest_at: float | None = None
        # When the last successful read began, seconds, and whether it came to the
        # end of the topic.
        self._read_began_at = -math.inf
        self._reached_end = False
        # Until when the store is not read after a failure, seconds.
        self._failed_until = -math.inf

    def save(
        self, entry_vm: str, origins: tuple[messages.StreamOrigin, ...]
    ) -> bool:
        """Saves origins, with their present ages; returns whether it worked."""
        batch = msgspec.msgpack.encode(Batch(self._wall(), origins))
        try:
            self._writer.put(TOPIC, entry_vm, batch)
        except errors.PortError as exc:
            logs.event(
                logging.WARNING,
                'origins not saved',
                count=len(origins),
                error=str(exc),
            )
            return False
        return True

    def find(self, stream: int, epoch: int) -> messages.StreamOrigin | None:
        """Looks up the origin of a stream; None if it is not saved.

        Args:
            stream: Key of the stream.
            epoch: The present epoch of the store.

        Raises:
            errors.PortError: The store could not be read.
            errors.DecodeError: Its response is invalid.
        """
        with self._current(epoch):
            return self._origins.find(self._clock(), stream)

    def has_all(self, position: int, age_s: float) -> bool:
        """Whether the last read had all origins of recent streams.

        The store drops old batches, and may drop recent ones.

        Args:
            position: Position from which on origins were saved.
            age_s: Maximum age of the streams, seconds.
        """
        if not self._lock.acquire(timeout=MAX_WAIT_S):
            return False
        try:
            now = self._clock()
            if positions.epoch(position) != positions.epoch(self._next):
                return False
            if not (self._reached_end and self._origins.has_all(now, age_s)):
                return False
            if self._gap_end <= position:
                return True
            oldest_at = self._oldest_at
            return oldest_at is not None and now - oldest_at >= age_s
        finally:
            self._lock.release()

    def read_end(self, epoch: int) -> int:
        """Returns the position behind all origins that are saved.

        Args:
            epoch: The present epoch of the store.

        Raises:
            errors.PortError: The store could not be read.
            errors.DecodeError: Its response is invalid.
        """
        with self._current(epoch):
            return self._next

    @contextlib.contextmanager
    def _current(self, epoch: int) -> Iterator[None]:
        """Holds the lock after a read that began since the call."""
        called_at = self._clock()
        if not self._lock.acquire(timeout=MAX_WAIT_S):
            raise errors.NoReplyError('another read takes too long')
        try:
            now = self._clock()
            if now < self._failed_until:
                raise errors.NoReplyError('a recent read failed')
            if self._read_began_at <= called_at:
                self._failed_until = now + FAILURE_INTERVAL_S
                self._read(epoch)
                self._failed_until = -math.inf
                self._read_began_at = now
            yield
        finally:
            self._lock.release()

    def _read(self, epoch: int) -> None:
        if positions.epoch(self._next) != epoch:
            self._next = positions.make(epoch, 0)
            self._gap_end = 0
        self._reached_end = False
        for _ in range(_MAX_READS):
            try:
                found = self._reader.wait_for_records(TOPIC, self._next, 0.0)
            except errors.RecordsExpiredError as exc:
                first = positions.make(epoch, exc.first)
                if first <= self._next:
                    raise
                self._next = self._gap_end = first
                self._oldest_at = None
                continue
            self._next = found.end
            for entry in found.entries:
                self._apply(entry.value)
            if not found.entries:
                self._reached_end = True
                return

    def _apply(self, value: bytes) -> None:
        try:
            batch = decoding.decode(_decode_batch, value)
        except errors.DecodeError as exc:
            logs.event(logging.WARNING, 'origins not readable', error=str(exc))
            return
        now = self._clock()
        age_s = max(0.0, self._wall() - batch.saved_at)
        if self._oldest_at is None and age_s <= _MAX_BATCH_AGE_S:
            self._oldest_at = now - age_s
        for origin in batch.origins:
            self._origins.record(
                now,
                stream_origins.with_age(origin, origin.age_ms / 1000 + age_s),
            )
