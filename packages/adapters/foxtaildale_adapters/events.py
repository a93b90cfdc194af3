"""Reads the chunks of one stream of server-sent events.

Each stream has its own connection. Closing the stream closes the connection, by
which the engine detects that its reader has disconnected.
"""

import socket
import time
from typing import Final
from typing import Protocol

import msgspec

from foxtaildale import backends
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import ports

# Maximum size of an event, bytes; an engine that sends more without a separator
# is faulty.
MAX_EVENT_BYTES: Final = 1024 * 1024

_EVENT_SEPARATOR: Final = b'\n\n'
_DATA_PREFIX: Final = b'data: '

_chunk_decoder: Final = msgspec.json.Decoder(backends.Chunk)
_end_decoder: Final = msgspec.json.Decoder(backends.StreamEnd)


class Body(Protocol):
    """A response body from an engine, read in blocks of bytes."""

    def read(self) -> bytes:
        """Waits for a block; empty at the end of the body.

        Raises:
            errors.NoReplyError: The connection broke or was silent.
        """

    def acquire_socket(self) -> socket.socket | None:
        """Passes the socket to an external reader, until `release_socket`.

        Returns None if blocks must be read through `read`.
        """

    def release_socket(self) -> None:
        """Ends the external read of the socket."""

    def close(self) -> None:
        """Closes the connection; may be called from any thread."""


def decode_event(event: bytes) -> backends.Chunk | backends.StreamEnd | None:
    """Decodes one event; returns None for one without data, as a comment.

    Raises:
        errors.NoReplyError: The event is neither a chunk nor the end of the
            stream.
    """
    start = event.find(_DATA_PREFIX)
    if start < 0:
        return None
    data = event[start + len(_DATA_PREFIX) :]
    try:
        return decoding.decode(_chunk_decoder.decode, data)
    except errors.DecodeError:
        pass
    try:
        return decoding.decode(_end_decoder.decode, data)
    except errors.DecodeError as exc:
        raise errors.NoReplyError(f'event cannot be decoded: {exc}') from exc


class Stream:
    """Iterates over the events of a stream up to its `StreamEnd`.

    Iteration raises `errors.NoReplyError` when the engine is silent for too
    long, when the connection closes before `StreamEnd`, or when an event can't
    be decoded. Chunks are returned as received: the caller, which knows the
    request, checks whether they belong to it.
    """

    __slots__ = (
        '_body',
        '_clock',
        '_partial_event',
        '_ready',
        'ended',
        'silence_s',
    )

    def __init__(
        self,
        body: Body,
        silence_s: float,
        clock: ports.Clock = time.monotonic,
    ) -> None:
        self._body = body
        self._clock = clock
        # Maximum time without an event, seconds.
        self.silence_s = silence_s
        # Events that were decoded and not returned yet, latest first.
        self._ready: list[backends.Chunk | backends.StreamEnd] = []
        # Start of an event that was received in part.
        self._partial_event = b''
        # Whether the stream has no more events.
        self.ended = False

    def __iter__(self) -> 'Stream':
        return self

    def __next__(self) -> backends.Chunk | backends.StreamEnd:
        if not self._ready:
            if self.ended:
                raise StopIteration
            self._read_events()
        event = self._ready.pop()
        if type(event) is backends.StreamEnd:
            self.ended = True
            self._ready.clear()
            self.close()
        return event

    @property
    def pending(self) -> bool:
        """Whether an event is available without waiting."""
        return bool(self._ready)

    def feed(self, block: bytes) -> None:
        """Decodes a block read elsewhere; empty at the end of the body.

        Raises:
            errors.NoReplyError: The block can't be decoded, or the body ends
                before the `StreamEnd`.
        """
        if not block:
            raise errors.NoReplyError('stream ended before its last event')
        parts = (self._partial_event + block).split(_EVENT_SEPARATOR)
        self._partial_event = parts.pop()
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise errors.NoReplyError(f'event above {MAX_EVENT_BYTES} bytes')
        new_events = [
            event for event in map(decode_event, parts) if event is not None
        ]
        if new_events:
            new_events.reverse()
            self._ready[:0] = new_events

    def acquire_socket(self) -> socket.socket | None:
        """Passes the socket to a caller of `feed`, until `release_socket`.

        Returns None while events are pending, after the end of the stream, and
        while the HTTP library may hold buffered bytes.
        """
        if self._ready or self.ended:
            return None
        return self._body.acquire_socket()

    def release_socket(self) -> None:
        """Ends the external read of the socket."""
        self._body.release_socket()

    def close(self) -> None:
        """Closes the connection; may be called from any thread."""
        self._body.close()

    def _read_events(self) -> None:
        deadline = self._clock() + self.silence_s
        try:
            while not self._ready:
                self.feed(self._body.read())
                # Bytes that complete no event reset the timeout of the socket,
                # so the deadline is checked here.
                if not self._ready and self._clock() > deadline:
                    raise errors.NoReplyError('no event in time')
        except BaseException:
            self.ended = True
            self.close()
            raise
