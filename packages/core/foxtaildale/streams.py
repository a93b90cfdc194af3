"""Checks the chunks of one response and frames them for the caller.

`Checker` accepts a chunk from a backend server only if it belongs to this
attempt and is the next one. `Framer` turns accepted chunks into server-sent
events in the form of chat completion chunks. Each event's id names worker,
stream and position, so that a caller which lost its connection can request the
rest of the same stream from any entry VM.

This code runs once per token. It therefore formats bytes around the text
instead of building objects, and encodes only the text itself.
"""

import enum
from typing import Final

import msgspec
import xxhash

from foxtaildale import backends
from foxtaildale import errors

DONE: Final = b'data: [DONE]\n\n'
_MAX_PART_CHARS: Final = 200
_MAX_POSITION_DIGITS: Final = 18

_encoder: Final = msgspec.json.Encoder()


class Verdict(enum.Enum):
    """Result of checking an event."""

    # The next chunk of this response; it is sent to the caller.
    ACCEPTED = 'accepted'
    # A chunk that was accepted before; it is discarded.
    DUPLICATE = 'duplicate'
    # The event belongs to another request, attempt or stream; the attempt
    # failed.
    FOREIGN = 'foreign'
    # A chunk before this one is missing; the stream is resumed from
    # `Checker.position`, or the attempt failed.
    GAP = 'gap'
    # The response ended, and all its chunks were accepted.
    COMPLETE = 'whole'
    # The response ended, but the accepted chunks differ from those sent.
    BROKEN = 'broken'


class Checker:
    """Accepts the chunks of one attempt, each once and in order.

    Without this check, mixed-up responses would reach the wrong caller, and a
    resumed stream would repeat or lose text: a display would, for example, show
    the same aircraft twice.

    Args:
        request: Identity of the request.
        attempt: Number of the attempt.
        stream: Name of the engine's stream.
        position: First position that this checker gets. If it is above 0, for
            a resumed stream, the digest can't be checked here. The caller can
            check it, since it has all texts and the last event has the digest.
    """

    __slots__ = (
        '_attempt',
        '_digest',
        '_request',
        '_start_position',
        '_stream',
        'position',
    )

    def __init__(
        self, request: str, attempt: int, stream: str, position: int = 0
    ) -> None:
        self._request = request
        self._attempt = attempt
        self._stream = stream
        self._start_position = position
        self._digest = xxhash.xxh64()
        # Position of the next expected chunk.
        self.position = position

    def check_chunk(self, chunk: backends.Chunk) -> Verdict:
        """Checks a chunk; advances the position if it is accepted."""
        if (
            chunk.request != self._request
            or chunk.attempt != self._attempt
            or chunk.stream != self._stream
        ):
            return Verdict.FOREIGN
        if chunk.position != self.position:
            if 0 <= chunk.position < self.position:
                return Verdict.DUPLICATE
            return Verdict.GAP
        self.position += 1
        self._digest.update(chunk.text.encode())
        return Verdict.ACCEPTED

    def check_end(self, last: backends.StreamEnd) -> Verdict:
        """Checks the end of the response."""
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
        if (
            self._start_position == 0
            and last.digest != self._digest.hexdigest()
        ):
            return Verdict.BROKEN
        return Verdict.COMPLETE


class EventId(msgspec.Struct, frozen=True):
    """Origin of an event; a caller sends it as Last-Event-ID."""

    worker: str
    stream: str
    # Counts from 0; that of the last event is the number of chunks.
    position: int

    def text(self) -> str:
        """Returns the text form that `parse_event_id` parses."""
        return f'{self.worker}/{self.stream}/{self.position}'


def parse_event_id(text: str) -> EventId:
    """Parses an event id in the form of `EventId.text`.

    Raises:
        errors.DecodeError: The text is not an event id.
    """
    parts = text.split('/')
    if len(parts) != 3 or not all(_is_valid_part(part) for part in parts):
        raise errors.DecodeError('an event id is WORKER/STREAM/POSITION')
    worker, stream, position = parts
    if not position.isdigit() or len(position) > _MAX_POSITION_DIGITS:
        raise errors.DecodeError('the position of an event id is a number')
    return EventId(worker, stream, int(position))


def _is_valid_part(text: str) -> bool:
    # Only visible ASCII, since ids are used in headers, paths and logs.
    return (
        0 < len(text) <= _MAX_PART_CHARS
        and text.isascii()
        and text.isprintable()
        and ' ' not in text
    )


class Framer:
    """Frames one response as events for its caller.

    Args:
        request: Identity of the request; part of the completion's id.
        worker: Name of the decode worker.
        stream: Name of the engine's stream.
        model: Name of the model that the caller requested.
        created: Seconds since the epoch.
    """

    __slots__ = ('_first_head', '_head', '_id_prefix', '_next_head')

    def __init__(
        self, request: str, worker: str, stream: str, model: str, created: int
    ) -> None:
        self._id_prefix = f'id: {worker}/{stream}/'.encode()
        head = msgspec.json.encode(
            {
                'id': f'chatcmpl-{request}',
                'object': 'chat.completion.chunk',
                'created': created,
                'model': model,
            }
        )
        # The closing brace is left out, since `choices` follows.
        self._head = b'\ndata: ' + head[:-1] + b',"choices":[{"index":0,'
        self._first_head = (
            self._head + b'"delta":{"role":"assistant","content":'
        )
        self._next_head = self._head + b'"delta":{"content":'

    def frame_chunk(self, position: int, text: str) -> bytes:
        """Returns the event of one accepted chunk."""
        return b'%b%d%b%b},"finish_reason":null}]}\n\n' % (
            self._id_prefix,
            position,
            self._next_head if position else self._first_head,
            _encoder.encode(text),
        )

    def frame_end(
        self, last: backends.StreamEnd, finish_reason: str = 'stop'
    ) -> bytes:
        """Returns the events that end a complete response."""
        summary = {'count': last.count, 'digest': last.digest}
        return (
            b'%b%d%b"delta":{},"finish_reason":%b}],"foxtaildale":%b}\n\n%b'
            % (
                self._id_prefix,
                last.count,
                self._head,
                _encoder.encode(finish_reason),
                _encoder.encode(summary),
                DONE,
            )
        )
