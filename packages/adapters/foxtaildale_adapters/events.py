"""Reads the pieces of one stream of server-sent events.

A stream has a connection of its own. Closing the stream closes that, which is
how the engine notices that its reader has gone.
"""

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

_piece: Final = msgspec.json.Decoder(backends.Piece)
_last: Final = msgspec.json.Decoder(backends.Last)


class Body(Protocol):
    """Blocks of bytes from an engine."""

    def read(self) -> bytes:
        """Waits for a block; empty at the end.

        Raises:
            errors.AnswerLostError: The connection broke or was silent.
        """

    def close(self) -> None:
        """Closes the connection; may be called from any thread."""


def parse(event: bytes) -> backends.Piece | backends.Last | None:
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
        raise errors.AnswerLostError(f'not an event: {exc}') from exc


class Stream:
    """Iterates over the events of a stream up to its `Last`.

    Iteration raises `errors.AnswerLostError` when the engine is silent too
    long, when the connection ends before `Last`, or when an event can't be
    understood. Pieces are passed on as they came: whether they belong to the
    request is judged by who knows the request.
    """

    __slots__ = ('_body', '_clock', '_done', '_ready', '_rest', '_silence_s')

    def __init__(
        self,
        body: Body,
        silence_s: float,
        clock: ports.Clock = time.monotonic,
    ) -> None:
        self._body = body
        self._silence_s = silence_s
        self._clock = clock
        # Events that have come and were not handed on, latest first.
        self._ready: list[backends.Piece | backends.Last] = []
        # Start of an event whose end has not come.
        self._rest = b''
        self._done = False

    def __iter__(self) -> 'Stream':
        return self

    def __next__(self) -> backends.Piece | backends.Last:
        if not self._ready:
            if self._done:
                raise StopIteration
            self._fill()
        event = self._ready.pop()
        if type(event) is backends.Last:
            self._done = True
            self._ready.clear()
            self.close()
        return event

    def close(self) -> None:
        """Closes the connection; may be called from another thread."""
        self._body.close()

    def _fill(self) -> None:
        deadline = self._clock() + self._silence_s
        try:
            while not self._ready:
                chunk = self._body.read()
                if not chunk:
                    raise errors.AnswerLostError('stream ended before its last')
                self._take(chunk)
                # Bytes that make no event keep the socket's timeout quiet.
                if not self._ready and self._clock() > deadline:
                    raise errors.AnswerLostError('no event in time')
        except BaseException:
            self._done = True
            self.close()
            raise
        self._ready.reverse()

    def _take(self, chunk: bytes) -> None:
        events = (self._rest + chunk).split(_END)
        self._rest = events.pop()
        if len(self._rest) > MAX_EVENT:
            raise errors.AnswerLostError(f'event above {MAX_EVENT} bytes')
        for event in events:
            parsed = parse(event)
            if parsed is not None:
                self._ready.append(parsed)
