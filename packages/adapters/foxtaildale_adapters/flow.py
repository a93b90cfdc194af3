"""The way of one answer's pieces from an engine's bytes to a caller's."""

from collections.abc import Iterable
import socket
from typing import Final
from typing import Protocol

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import streams
from foxtaildale_adapters import body
from foxtaildale_adapters import events
from foxtaildale_adapters import pump

_END: Final = b'\n\n'


class Taken:
    """What an engine's stream had read ahead, and where to read on."""

    __slots__ = ('items', 'rest', 'sock')

    def __init__(
        self,
        items: list[backends.Chunk | backends.StreamEnd],
        rest: bytes,
        sock: socket.socket | None,
    ) -> None:
        # Read and understood, but not handed on yet.
        self.items = items
        # Start of an event whose end has not come.
        self.rest = rest
        # A handle of the connection for `Flow.run`, to be closed by who took
        # it; None if the stream must be read through its iterator.
        self.sock = sock


def take_over(stream: events.Stream) -> Taken:
    """Takes a stream from its iterator, after the first event.

    The stream still owns the connection: closing it ends `Flow.run`.

    Raises:
        errors.AnswerLostError: The stream was closed.
    """
    # Private fields of neighbours: this belongs there as a method.
    items = list(reversed(stream._ready))
    stream._ready.clear()
    return Taken(items, stream._rest, _handle(stream._body))


def _handle(source: events.Body) -> socket.socket | None:
    if not isinstance(source, body.Body) or source._sock is None:
        return None
    # Under the lock of `close`: the number of a closed handle may already
    # be another stream's.
    with source._lock:
        try:
            return source._sock.dup()
        except OSError as exc:
            raise errors.NoReplyError('closed') from exc


class Caller(Protocol):
    """Where the framed pieces go; `incoming.Exchange` is one."""

    def offer(self, data: bytes) -> bool:
        """Sends without waiting; False if `flush` must follow."""

    def flush(self) -> bool:
        """Waits until all is sent; False if the caller is gone."""


class Flow:
    """Checks, frames and sends the pieces of one answer.

    All pieces of a block leave in one send. `run` reads through the pump, and
    takes over itself for as long as the caller reads slower than the engine
    writes.

    Args:
        exchange: The caller's exchange; its answer has been started.
        checker: Knows which pieces belong to the answer.
        framer: Frames them.
        clock: Monotonic seconds.
        times: Receives when each piece was sent on.
        rest: Start of an event that was read already.
    """

    __slots__ = (
        '_checker',
        '_clock',
        '_exchange',
        '_framer',
        '_rest',
        '_times',
        'fault',
        'last',
    )

    def __init__(
        self,
        *,
        exchange: Caller,
        checker: streams.Checker,
        framer: streams.Framer,
        clock: ports.Clock,
        times: list[float],
        rest: bytes = b'',
    ) -> None:
        self._exchange = exchange
        self._checker = checker
        self._framer = framer
        self._clock = clock
        self._times = times
        self._rest = rest
        # What is wrong with the stream, a value of `streams.Verdict`.
        self.fault = ''
        # The end of the whole answer.
        self.last: backends.StreamEnd | None = None

    def run(
        self, carrier: pump.Pump, sock: socket.socket, silence_s: float
    ) -> None:
        """Reads until the answer is whole, at fault, or the caller is gone.

        Raises:
            errors.AnswerLostError: The engine's stream broke or was silent.
        """
        while not self.ended:
            carrier.carry(sock, self, silence_s)
            # Waits here, in the stream's own thread, for a slow caller.
            if not self._exchange.flush():
                return

    @property
    def ended(self) -> bool:
        """Whether nothing more is wanted of the stream."""
        return self.last is not None or bool(self.fault)

    def feed(self, block: bytes) -> bool:
        """Takes bytes of the engine; see `pump.Feed`."""
        found = (self._rest + block).split(_END)
        self._rest = found.pop()
        if len(self._rest) > events.MAX_EVENT:
            raise errors.NoReplyError('event without an end')
        return self.take(
            item for item in map(events.parse, found) if item is not None
        )

    def take(
        self, items: Iterable[backends.Chunk | backends.StreamEnd]
    ) -> bool:
        """Takes pieces; False if the flow ended or the caller lags behind."""
        framed: list[bytes] = []
        for item in items:
            if isinstance(item, backends.StreamEnd):
                self._end(item, framed)
                break
            verdict = self._checker.check_chunk(item)
            if verdict is streams.Verdict.ACCEPTED:
                framed.append(
                    self._framer.frame_chunk(item.position, item.text)
                )
            elif verdict is not streams.Verdict.DUPLICATE:
                self.fault = verdict.value
                break
        sent = self._exchange.offer(b''.join(framed))
        now = self._clock()
        pieces = len(framed) - (self.last is not None)
        self._times.extend([now] * pieces)
        return sent and not self.ended

    def _end(self, last: backends.StreamEnd, framed: list[bytes]) -> None:
        verdict = self._checker.check_end(last)
        if verdict is streams.Verdict.COMPLETE:
            self.last = last
            framed.append(self._framer.frame_end(last))
        else:
            self.fault = verdict.value
