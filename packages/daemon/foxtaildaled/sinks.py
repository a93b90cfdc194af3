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

    def end(self, outcome: values.Outcome) -> None:
        """Ends the exchange with the outcome."""


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

    __slots__ = ('_created', '_ex', '_framer', '_model', '_request')

    _ex: incoming.Exchange
    _request: str
    _model: str
    _created: int
    _framer: streams.Framer

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
        self._framer = streams.Framer(
            self._request, worker, stream, self._model, self._created
        )

    def piece(self, piece: backends.Piece) -> None:
        """Sends the next piece."""
        self._start()
        self._ex.send(self._framer.piece(piece.position, piece.text))

    def last(self, last: backends.Last) -> None:
        """Sends the end of a whole answer."""
        self._start()
        self._ex.send(self._framer.last(last))

    def end(self, outcome: values.Outcome) -> None:
        """Ends the exchange."""
        if not self._ex.started:
            _respond(self._ex, outcome)
            return
        if outcome.code != codes.OK.name:
            self._ex.send(b'data: %b\n\n' % outcomes.body(outcome))
        self._ex.finish()

    def _start(self) -> None:
        if not self._ex.started:
            headers = _EVENT_HEADERS | {'Foxtaildale-Request': self._request}
            self._ex.start(200, headers)


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

    def end(self, outcome: values.Outcome) -> None:
        """Answers with the document, or with the error."""
        if outcome.code != codes.OK.name or self._last is None:
            _respond(self._ex, outcome)
            return
        document = Completion(
            id=f'chatcmpl-{self._request}',
            created=int(outcome.at),
            model=self._model,
            choices=(
                Choice(0, Message('assistant', ''.join(self._texts)), 'stop'),
            ),
            foxtaildale=Whole(self._last.count, self._last.digest),
        )
        self._ex.respond(
            200, outcomes.headers(outcome), msgspec.json.encode(document)
        )


def make(
    ex: incoming.Exchange, request: str, model: str, *, stream: bool
) -> Sink:
    """Returns the sink that a caller asked for."""
    if stream:
        return EventSink(ex, request, model)
    return WholeSink(ex, request, model)


def _respond(ex: incoming.Exchange, outcome: values.Outcome) -> None:
    ex.respond(
        codes.ALL[outcome.code].status,
        outcomes.headers(outcome),
        outcomes.body(outcome),
    )
