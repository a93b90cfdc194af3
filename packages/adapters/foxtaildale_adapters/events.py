"""Reads the pieces of one stream of server-sent events.

A stream has a connection of its own. Closing the stream closes that, which is
how the engine notices that its reader has gone.
"""

import socket
import time
from typing import Final
from typing import Protocol

import msgspec

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import ports

# Longest event, bytes; an engine that sends more without an end is broken.
MAX_EVENT: Final = 1024 * 1024

_END: Final = b'\n\n'
_DATA: Final = b'data: '

_piece: Final = msgspec.json.Decoder(backends.Chunk)
_last: Final = msgspec.json.Decoder(backends.StreamEnd)


class Body(Protocol):
    """Blocks of bytes from an engine."""

    def read(self) -> bytes:
        """Waits for a block; empty at the end.

        Raises:
            errors.AnswerLostError: The connection broke or was silent.
        """

    def lend(self) -> socket.socket | None:
        """Lends the socket, or None if blocks must come from `read`."""

    def give_back(self) -> None:
        """Ends the loan."""

    def close(self) -> None:
        """Closes the connection; may be called from any thread."""


def parse(event: bytes) -> backends.Chunk | backends.StreamEnd | None:
    """Returns what one event holds; None if it has no data, as a comment.

    Raises:
        errors.AnswerLostError: It is neither a piece nor the end.
    """
    start = event.find(_DATA)
    if start < 0:
        return None
    data = event[start + len(_DATA) :]
    try:
        return _piece.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        pass
    try:
        return _last.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.NoReplyError(f'not an event: {exc}') from exc


class Stream:
    """Iterates over the events of a stream up to its `Last`.

    Iteration raises `errors.AnswerLostError` when the engine is silent too
    long, when the connection ends before `Last`, or when an event can't be
    understood. Pieces are passed on as they came: whether they belong to the
    request is judged by who knows the request.
    """

    __slots__ = ('_body', '_clock', '_ready', '_rest', 'ended', 'silence_s')

    def __init__(
        self,
        body: Body,
        silence_s: float,
        clock: ports.Clock = time.monotonic,
    ) -> None:
        self._body = body
        self._clock = clock
        # Longest time without an event, seconds.
        self.silence_s = silence_s
        # Events that have come and were not handed on, latest first.
        self._ready: list[backends.Chunk | backends.StreamEnd] = []
        # Start of an event whose end has not come.
        self._rest = b''
        # Whether no more events will come.
        self.ended = False

    def __iter__(self) -> 'Stream':
        return self

    def __next__(self) -> backends.Chunk | backends.StreamEnd:
        if not self._ready:
            if self.ended:
                raise StopIteration
            self._fill()
        event = self._ready.pop()
        if type(event) is backends.StreamEnd:
            self.ended = True
            self._ready.clear()
            self.close()
        return event

    @property
    def pending(self) -> bool:
        """Whether an event can be had without waiting."""
        return bool(self._ready)

    def feed(self, block: bytes) -> None:
        """Takes a block that was read elsewhere; empty at the end.

        Raises:
            errors.AnswerLostError: It can't be understood, or the stream ends
                before its last event.
        """
        if not block:
            raise errors.NoReplyError('stream ended before its last')
        found = (self._rest + block).split(_END)
        self._rest = found.pop()
        if len(self._rest) > MAX_EVENT:
            raise errors.NoReplyError(f'event above {MAX_EVENT} bytes')
        fresh = [event for event in map(parse, found) if event is not None]
        if fresh:
            fresh.reverse()
            self._ready[:0] = fresh

    def lend(self) -> socket.socket | None:
        """Lends the socket to whoever will `feed`, until `give_back`.

        None while events are pending or bytes may be held by the library.
        """
        if self._ready or self.ended:
            return None
        return self._body.lend()

    def give_back(self) -> None:
        """Ends the loan."""
        self._body.give_back()

    def close(self) -> None:
        """Closes the connection; may be called from any thread."""
        self._body.close()

    def _fill(self) -> None:
        deadline = self._clock() + self.silence_s
        try:
            while not self._ready:
                self.feed(self._body.read())
                # Bytes that make no event keep the socket's timeout quiet.
                if not self._ready and self._clock() > deadline:
                    raise errors.NoReplyError('no event in time')
        except BaseException:
            self.ended = True
            self.close()
            raise
