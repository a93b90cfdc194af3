"""Where the pieces of an answer go: a stream of events, or one document.

A caller that asked for a stream gets each piece as it comes. One that did not
gets the whole answer or an error, never a part of it. In both forms an answer
that is not whole ends in an error and never in `[DONE]`.
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
from foxtaildale_adapters import incoming

_EVENT_HEADERS: Final = {
    'Content-Type': incoming.EVENT_STREAM,
    'Cache-Control': 'no-store',
}


class Sink(Protocol):
    """Takes the pieces of one answer."""

    @property
    def started(self) -> bool:
        """Whether the caller may have been sent a part of the answer."""

    def begin(self, worker: str, stream: str) -> None:
        """A decode worker begins the answer, perhaps anew."""

    def piece(self, piece: backends.Piece) -> None:
        """Takes the next piece."""

    def last(self, last: backends.Last) -> None:
        """Takes the end of a whole answer."""

    def end(self, outcome: values.Outcome, earlier: bytes = b'') -> None:
        """Ends the exchange with the outcome.

        Args:
            outcome: What came of the request.
            earlier: The whole answer of an earlier run of it, if it is kept.
        """

    def whole(self) -> bytes:
        """Returns the whole answer as a document; empty if it is not whole."""


class Message(msgspec.Struct, frozen=True):
    """The answer's text in a whole completion."""

    role: str
    content: str


class Choice(msgspec.Struct, frozen=True):
    """The one choice of a whole completion."""

    index: int
    message: Message
    finish_reason: str


class Whole(msgspec.Struct, frozen=True):
    """Count of pieces and digest of the text."""

    count: int
    digest: str


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer in one document."""

    id: str
    object: str = 'chat.completion'
    created: int
    model: str
    choices: tuple[Choice, ...]
    foxtaildale: Whole


class EventSink:
    """Sends each piece as an event."""

    __slots__ = ('_created', '_ex', '_model', '_request', 'framer')

    _ex: incoming.Exchange
    _request: str
    _model: str
    _created: int
    # Frames the pieces of the decode worker that answers now.
    framer: streams.Framer

    def __init__(self, ex: incoming.Exchange, request: str, model: str) -> None:
        self._ex = ex
        self._request = request
        self._model = model
        self._created = int(time.time())

    @property
    def started(self) -> bool:
        """Whether the caller may have been sent a part of the answer."""
        return self._ex.started

    def begin(self, worker: str, stream: str) -> None:
        """A decode worker begins the answer."""
        self.framer = streams.Framer(
            self._request, worker, stream, self._model, self._created
        )

    def piece(self, piece: backends.Piece) -> None:
        """Sends the next piece."""
        self._start()
        self._ex.send(self.framer.piece(piece.position, piece.text))

    def last(self, last: backends.Last) -> None:
        """Sends the end of a whole answer."""
        self._start()
        self._ex.send(self.framer.last(last))

    def whole(self) -> bytes:
        """Returns nothing: the pieces were sent on and not kept."""
        return b''

    def end(self, outcome: values.Outcome, earlier: bytes = b'') -> None:
        """Ends the exchange."""
        if not self._ex.started:
            _respond(self._ex, outcome, earlier)
            return
        if outcome.code != codes.OK.name:
            self._ex.send(b'data: %b\n\n' % outcomes.body(outcome))
        self._ex.finish()

    def open(self) -> incoming.Exchange:
        """Starts the answer, unless it was, and returns its exchange."""
        self._start()
        return self._ex

    def _start(self) -> None:
        if not self._ex.started:
            headers = _EVENT_HEADERS | {'Foxtaildale-Request': self._request}
            self._ex.start(200, headers)


class KeptSink:
    """Sends each piece as an event, and keeps the whole for later askers."""

    __slots__ = ('_events', '_whole')

    _events: EventSink
    _whole: 'WholeSink'

    def __init__(self, ex: incoming.Exchange, request: str, model: str) -> None:
        self._events = EventSink(ex, request, model)
        self._whole = WholeSink(ex, request, model)

    @property
    def started(self) -> bool:
        """Whether the caller may have been sent a part of the answer."""
        return self._events.started

    def begin(self, worker: str, stream: str) -> None:
        """A decode worker begins the answer."""
        self._events.begin(worker, stream)
        self._whole.begin(worker, stream)

    def piece(self, piece: backends.Piece) -> None:
        """Sends and keeps the next piece."""
        self._events.piece(piece)
        self._whole.piece(piece)

    def last(self, last: backends.Last) -> None:
        """Sends and keeps the end of a whole answer."""
        self._events.last(last)
        self._whole.last(last)

    def end(self, outcome: values.Outcome, earlier: bytes = b'') -> None:
        """Ends the exchange."""
        self._events.end(outcome, earlier)

    def whole(self) -> bytes:
        """Returns the whole answer as a document; empty if it is not whole."""
        return self._whole.whole()


class WholeSink:
    """Gathers the pieces and answers with one document."""

    __slots__ = ('_ex', '_last', '_model', '_request', '_texts')

    _ex: incoming.Exchange
    _request: str
    _model: str
    _texts: list[str]
    _last: backends.Last | None

    def __init__(self, ex: incoming.Exchange, request: str, model: str) -> None:
        self._ex = ex
        self._request = request
        self._model = model
        self._texts = []
        self._last = None

    @property
    def started(self) -> bool:
        """Nothing is sent before the whole answer is there."""
        return False

    def begin(self, worker: str, stream: str) -> None:
        """A decode worker begins the answer; what another had sent is void."""
        del worker, stream
        self._texts.clear()

    def piece(self, piece: backends.Piece) -> None:
        """Keeps the next piece."""
        self._texts.append(piece.text)

    def last(self, last: backends.Last) -> None:
        """Keeps the end of a whole answer."""
        self._last = last

    def end(self, outcome: values.Outcome, earlier: bytes = b'') -> None:
        """Answers with the document, or with the error."""
        document = self.whole()
        if outcome.code != codes.OK.name or not document:
            _respond(self._ex, outcome, earlier)
            return
        self._ex.respond(200, outcomes.headers(outcome), document)

    def whole(self) -> bytes:
        """Returns the whole answer as a document; empty if it is not whole."""
        if self._last is None:
            return b''
        document = Completion(
            id=f'chatcmpl-{self._request}',
            created=int(time.time()),
            model=self._model,
            choices=(
                Choice(0, Message('assistant', ''.join(self._texts)), 'stop'),
            ),
            foxtaildale=Whole(self._last.count, self._last.digest),
        )
        return msgspec.json.encode(document)


def make(
    ex: incoming.Exchange, request: str, model: str, *, stream: bool, keep: bool
) -> Sink:
    """Returns the sink that a caller asked for.

    Args:
        ex: The caller's exchange.
        request: Identity of the request.
        model: What the caller asked for.
        stream: Whether it wants the answer as a stream.
        keep: Whether the whole answer is wanted later.
    """
    if not stream:
        return WholeSink(ex, request, model)
    if keep:
        return KeptSink(ex, request, model)
    return EventSink(ex, request, model)


def _respond(
    ex: incoming.Exchange, outcome: values.Outcome, earlier: bytes
) -> None:
    if earlier:
        # The text of the one run, to a caller that had lost it.
        ex.respond(200, outcomes.headers(outcome), earlier)
        return
    ex.respond(
        codes.ALL[outcome.code].status,
        outcomes.headers(outcome),
        outcomes.body(outcome),
    )
