"""The pieces of one answer: checked, named and framed for the caller.

`Checker` takes what a backend server sends and lets through only what belongs
to this attempt and comes next. `Framer` turns accepted pieces into server-sent
events in the form of chat completion chunks. Each event's id names worker,
stream and position, so that a caller which lost its connection asks any entry
VM for the rest of the same stream.

This code runs once a token, so it formats bytes around the text instead of
building objects, and encodes nothing but the text itself.
"""

import enum
from typing import Final

import msgspec
import xxhash

from foxtaildale import backends
from foxtaildale import errors

DONE: Final = b'data: [DONE]\n\n'
_PART_LIMIT: Final = 200
_POSITION_DIGITS: Final = 18

_encoder: Final = msgspec.json.Encoder()


class Verdict(enum.Enum):
    """What a checker says of an event."""

    # The next piece of this answer; it goes to the caller.
    ACCEPTED = 'accepted'
    # A piece that was accepted before; it is dropped.
    DUPLICATE = 'duplicate'
    # It belongs to another request, attempt or stream: the attempt failed.
    FOREIGN = 'foreign'
    # A piece before this one is missing: the attempt is read on from
    # `Checker.position`, or failed.
    GAP = 'gap'
    # The answer ended, and every piece of it was accepted.
    WHOLE = 'whole'
    # The answer ended, but what was accepted is not what was sent.
    BROKEN = 'broken'


class Checker:
    """Lets through the pieces of one attempt, each once and in order.

    Crossed answers would otherwise reach the wrong caller, and a resumed
    stream would repeat or lose text: a screen shows the same aircraft twice.

    Args:
        request: Identity of the request.
        attempt: Number of the attempt.
        stream: Name of the engine's stream.
        position: First position that this checker sees. Above 0, for a
            resume, the digest can't be checked here; the caller can, since
            it has all texts and the last event carries the digest.
    """

    __slots__ = (
        '_attempt',
        '_digest',
        '_first',
        '_request',
        '_stream',
        'position',
    )

    def __init__(
        self, request: str, attempt: int, stream: str, position: int = 0
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._stream = stream
        self._first = position
        self._digest = xxhash.xxh64()
        # Position of the piece that comes next.
        self.position = position

    def piece(self, piece: backends.Piece) -> Verdict:
        """Judges a piece; an accepted one counts as handed on."""
        if (
            piece.request != self._request
            or piece.attempt != self._attempt
            or piece.stream != self._stream
        ):
            return Verdict.FOREIGN
        if piece.position != self.position:
            if 0 <= piece.position < self.position:
                return Verdict.DUPLICATE
            return Verdict.GAP
        self.position += 1
        self._digest.update(piece.text.encode())
        return Verdict.ACCEPTED

    def last(self, last: backends.Last) -> Verdict:
        """Judges the end of the answer."""
        if (
            last.request != self._request
            or last.attempt != self._attempt
            or last.stream != self._stream
        ):
            return Verdict.FOREIGN
        if last.count > self.position:
            return Verdict.GAP
        if last.count < self.position:
            return Verdict.BROKEN
        if self._first == 0 and last.digest != self._digest.hexdigest():
            return Verdict.BROKEN
        return Verdict.WHOLE


class EventId(msgspec.Struct, frozen=True):
    """Where an event comes from; what a caller sends as Last-Event-ID."""

    worker: str
    stream: str
    # Counts from 0; the last event's is the number of pieces.
    position: int

    def text(self) -> str:
        """Returns the form that `parse_id` reads."""
        return f'{self.worker}/{self.stream}/{self.position}'


def parse_id(text: str) -> EventId:
    """Returns the event id that `EventId.text` wrote.

    Raises:
        errors.DecodeError: It is not one.
    """
    parts = text.split('/')
    if len(parts) != 3 or not all(_is_part(part) for part in parts):
        raise errors.DecodeError('an event id is WORKER/STREAM/POSITION')
    worker, stream, position = parts
    if not position.isdigit() or len(position) > _POSITION_DIGITS:
        raise errors.DecodeError('the position of an event id is a number')
    return EventId(worker, stream, int(position))


def _is_part(text: str) -> bool:
    # Visible ASCII alone: an id ends up in headers, paths and logs.
    return (
        0 < len(text) <= _PART_LIMIT
        and text.isascii()
        and text.isprintable()
        and ' ' not in text
    )


class Framer:
    """Frames one answer as events for its caller.

    Args:
        request: Identity of the request; part of the completion's id.
        worker: Name of the decode worker.
        stream: Name of the engine's stream.
        model: What the caller asked for.
        created: Seconds since the epoch.
    """

    __slots__ = ('_first', '_head', '_id', '_next')

    def __init__(
        self, request: str, worker: str, stream: str, model: str, created: int
    ) -> None:
        self._id = f'id: {worker}/{stream}/'.encode()
        head = msgspec.json.encode(
            {
                'id': f'chatcmpl-{request}',
                'object': 'chat.completion.chunk',
                'created': created,
                'model': model,
            }
        )
        # Without the closing brace: `choices` follows.
        self._head = b'\ndata: ' + head[:-1] + b',"choices":[{"index":0,'
        self._first = self._head + b'"delta":{"role":"assistant","content":'
        self._next = self._head + b'"delta":{"content":'

    def piece(self, position: int, text: str) -> bytes:
        """Returns the event of one accepted piece."""
        return b'%b%d%b%b},"finish_reason":null}]}\n\n' % (
            self._id,
            position,
            self._next if position else self._first,
            _encoder.encode(text),
        )

    def last(self, last: backends.Last, finish_reason: str = 'stop') -> bytes:
        """Returns the events that end a whole answer."""
        whole = {'count': last.count, 'digest': last.digest}
        return (
            b'%b%d%b"delta":{},"finish_reason":%b}],"foxtaildale":%b}\n\n%b'
            % (
                self._id,
                last.count,
                self._head,
                _encoder.encode(finish_reason),
                _encoder.encode(whole),
                DONE,
            )
        )
