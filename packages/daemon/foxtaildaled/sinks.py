"""Sends a response to the caller, as an event stream or as one document.

A caller that requested a stream receives each chunk when it arrives. Another
caller receives the complete response or an error, never a part of the response.
In both forms an incomplete response ends in an error and never in `[DONE]`.
"""

import time
from typing import Final
from typing import Protocol

import msgspec

from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import outcomes
from foxtaildale import streams
from foxtaildale import values
from foxtaildale_adapters import caller_exchange

_EVENT_HEADERS: Final = {
    'Content-Type': caller_exchange.EVENT_STREAM,
    'Cache-Control': 'no-store',
}


class Sink(Protocol):
    """Receives the chunks of one response."""

    @property
    def started(self) -> bool:
        """Whether a part of the response may have been sent to the caller."""

    def begin_attempt(self, worker: str, stream: str) -> None:
        """Starts the response of a decode worker; may be called again."""

    def write_chunk(self, chunk: backends.Chunk) -> None:
        """Handles the next chunk."""

    def write_end(self, last: backends.StreamEnd) -> None:
        """Handles the end of a complete response."""

    def finish(self, outcome: values.Outcome, earlier: bytes = b'') -> None:
        """Ends the exchange with the outcome.

        Args:
            outcome: Outcome of the request.
            earlier: Complete response of an earlier run of the request, if it
                is stored.
        """

    def complete_response(self) -> bytes:
        """Returns the response as a document; empty if it is incomplete."""


class Message(msgspec.Struct, frozen=True):
    """The text of a complete response."""

    role: str
    content: str


class Choice(msgspec.Struct, frozen=True):
    """The only choice of a complete response."""

    index: int
    message: Message
    finish_reason: str


class ResponseDigest(msgspec.Struct, frozen=True):
    """Number of chunks and digest of the text of a complete response."""

    count: int
    digest: str


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response as one document."""

    id: str
    object: str = 'chat.completion'
    created: int
    model: str
    choices: tuple[Choice, ...]
    foxtaildale: ResponseDigest


class EventSink:
    """Sends each chunk as an event."""

    __slots__ = ('_created', '_ex', '_model', '_request', 'framer')

    _ex: caller_exchange.Exchange
    _request: str
    _model: str
    _created: int
    # Frames the chunks of the current decode worker.
    framer: streams.Framer

    def __init__(
        self, ex: caller_exchange.Exchange, request: str, model: str
    ) -> None:
        self._ex = ex
        self._request = request
        self._model = model
        self._created = int(time.time())

    @property
    def started(self) -> bool:
        """Whether a part of the response may have been sent to the caller."""
        return self._ex.started

    def begin_attempt(self, worker: str, stream: str) -> None:
        """Starts the response of a decode worker."""
        self.framer = streams.Framer(
            self._request, worker, stream, self._model, self._created
        )

    def write_chunk(self, chunk: backends.Chunk) -> None:
        """Sends the next chunk."""
        self._start()
        self._ex.send(self.framer.frame_chunk(chunk.position, chunk.text))

    def write_end(self, last: backends.StreamEnd) -> None:
        """Sends the end of a complete response."""
        self._start()
        self._ex.send(self.framer.frame_end(last))

    def complete_response(self) -> bytes:
        """Returns nothing, since this sink does not store the chunks."""
        return b''

    def finish(self, outcome: values.Outcome, earlier: bytes = b'') -> None:
        """Ends the exchange with the outcome."""
        if not self._ex.started:
            _respond_outcome(self._ex, outcome, earlier)
            return
        if outcome.code != codes.OK.name:
            self._ex.send(b'data: %b\n\n' % outcomes.body(outcome))
        self._ex.finish()

    def ensure_started(self) -> caller_exchange.Exchange:
        """Starts the response if necessary, and returns its exchange."""
        self._start()
        return self._ex

    def _start(self) -> None:
        if not self._ex.started:
            headers = _EVENT_HEADERS | {'Foxtaildale-Request': self._request}
            self._ex.start(200, headers)


class RecordingEventSink:
    """Sends each chunk as an event, and stores the response for retries."""

    __slots__ = ('_document', '_events')

    _events: EventSink
    _document: 'DocumentSink'

    def __init__(
        self, ex: caller_exchange.Exchange, request: str, model: str
    ) -> None:
        self._events = EventSink(ex, request, model)
        self._document = DocumentSink(ex, request, model)

    @property
    def started(self) -> bool:
        """Whether a part of the response may have been sent to the caller."""
        return self._events.started

    def begin_attempt(self, worker: str, stream: str) -> None:
        """Starts the response of a decode worker."""
        self._events.begin_attempt(worker, stream)
        self._document.begin_attempt(worker, stream)

    def write_chunk(self, chunk: backends.Chunk) -> None:
        """Sends and stores the next chunk."""
        self._events.write_chunk(chunk)
        self._document.write_chunk(chunk)

    def write_end(self, last: backends.StreamEnd) -> None:
        """Sends and stores the end of a complete response."""
        self._events.write_end(last)
        self._document.write_end(last)

    def finish(self, outcome: values.Outcome, earlier: bytes = b'') -> None:
        """Ends the exchange with the outcome."""
        self._events.finish(outcome, earlier)

    def complete_response(self) -> bytes:
        """Returns the response as a document; empty if it is incomplete."""
        return self._document.complete_response()


class DocumentSink:
    """Collects the chunks and responds with one document."""

    __slots__ = ('_ex', '_last', '_model', '_request', '_texts')

    _ex: caller_exchange.Exchange
    _request: str
    _model: str
    _texts: list[str]
    _last: backends.StreamEnd | None

    def __init__(
        self, ex: caller_exchange.Exchange, request: str, model: str
    ) -> None:
        self._ex = ex
        self._request = request
        self._model = model
        self._texts = []
        self._last = None

    @property
    def started(self) -> bool:
        """False, since nothing is sent before the response is complete."""
        return False

    def begin_attempt(self, worker: str, stream: str) -> None:
        """Starts a response; discards the chunks of earlier workers."""
        del worker, stream
        self._texts.clear()

    def write_chunk(self, chunk: backends.Chunk) -> None:
        """Stores the next chunk."""
        self._texts.append(chunk.text)

    def write_end(self, last: backends.StreamEnd) -> None:
        """Stores the end of a complete response."""
        self._last = last

    def finish(self, outcome: values.Outcome, earlier: bytes = b'') -> None:
        """Responds with the document or with the error."""
        document = self.complete_response()
        if outcome.code != codes.OK.name or not document:
            _respond_outcome(self._ex, outcome, earlier)
            return
        self._ex.respond(200, outcomes.headers(outcome), document)

    def complete_response(self) -> bytes:
        """Returns the response as a document; empty if it is incomplete."""
        if self._last is None:
            return b''
        document = Completion(
            id=f'chatcmpl-{self._request}',
            created=int(time.time()),
            model=self._model,
            choices=(
                Choice(0, Message('assistant', ''.join(self._texts)), 'stop'),
            ),
            foxtaildale=ResponseDigest(self._last.count, self._last.digest),
        )
        return msgspec.json.encode(document)


def make_sink(
    ex: caller_exchange.Exchange,
    request: str,
    model: str,
    *,
    stream: bool,
    keep_response: bool,
) -> Sink:
    """Returns the sink for the form of response that a caller requested.

    Args:
        ex: The caller's exchange.
        request: Identity of the request.
        model: Model that the caller requested.
        stream: Whether the caller requested a stream.
        keep_response: Whether the complete response is needed after it was
            sent.
    """
    if not stream:
        return DocumentSink(ex, request, model)
    if keep_response:
        return RecordingEventSink(ex, request, model)
    return EventSink(ex, request, model)


def _respond_outcome(
    ex: caller_exchange.Exchange, outcome: values.Outcome, earlier: bytes
) -> None:
    if earlier:
        # The caller did not receive the response of the only run, so it is
        # sent again.
        ex.respond(200, outcomes.headers(outcome), earlier)
        return
    ex.respond(
        codes.ALL[outcome.code].status,
        outcomes.headers(outcome),
        outcomes.body(outcome),
    )
