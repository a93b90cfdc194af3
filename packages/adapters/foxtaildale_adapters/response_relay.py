"""Relays the chunks of one streamed response from an engine to a caller."""

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
from foxtaildale_adapters import stream_reader

_EVENT_SEPARATOR: Final = b'\n\n'


class DetachedStream:
    """The buffered input of an engine's stream, and its socket."""

    __slots__ = ('buffered_events', 'partial_event', 'sock')

    def __init__(
        self,
        buffered_events: list[backends.Chunk | backends.StreamEnd],
        partial_event: bytes,
        sock: socket.socket | None,
    ) -> None:
        # Events that were decoded and not returned yet.
        self.buffered_events = buffered_events
        # Start of an event that was received in part.
        self.partial_event = partial_event
        # A duplicate descriptor of the connection for `Flow.run`, which the
        # caller of `detach` closes; None if the stream must be read through its
        # iterator.
        self.sock = sock


def detach(stream: events.Stream) -> DetachedStream:
    """Detaches a stream from its iterator, after the first event.

    The stream still owns the connection: closing it ends `Flow.run`.

    Raises:
        errors.NoReplyError: The stream was closed.
    """
    # This reads private fields of `events.Stream`; it should be a method there.
    items = list(reversed(stream._ready))
    stream._ready.clear()
    return DetachedStream(
        items, stream._partial_event, _duplicate_socket(stream._body)
    )


def _duplicate_socket(source: events.Body) -> socket.socket | None:
    if not isinstance(source, body.Body) or source._sock is None:
        return None
    # `close` takes the same lock. Without it, the descriptor could be closed
    # and reused for another stream before it is duplicated.
    with source._lock:
        try:
            return source._sock.dup()
        except OSError as exc:
            raise errors.NoReplyError('closed') from exc


class Caller(Protocol):
    """Receives the framed chunks; `caller_exchange.Exchange` implements it."""

    def send_nonblocking(self, data: bytes) -> bool:
        """Sends without blocking; returns False if `flush` must follow."""

    def flush(self) -> bool:
        """Waits until all is sent.

        Returns False if the caller disconnected.
        """


class Flow:
    """Checks, frames and sends the chunks of one response.

    All chunks of a block are sent in one call. `run` reads through the stream
    reader. While the caller reads more slowly than the engine writes, `run`
    itself sends the rest, in the stream's own thread.

    Args:
        exchange: The caller's exchange, on which the response was started.
        checker: Checks which chunks belong to the response.
        framer: Frames chunks for the caller.
        clock: Monotonic seconds.
        sent_times: List to which the time of sending of each chunk is appended,
            seconds of `clock`.
        partial_event: Start of an event that was already received in part.
    """

    __slots__ = (
        '_checker',
        '_clock',
        '_exchange',
        '_framer',
        '_partial_event',
        '_times',
        'fault',
        'stream_end',
    )

    def __init__(
        self,
        *,
        exchange: Caller,
        checker: streams.Checker,
        framer: streams.Framer,
        clock: ports.Clock,
        sent_times: list[float],
        partial_event: bytes = b'',
    ) -> None:
        self._exchange = exchange
        self._checker = checker
        self._framer = framer
        self._clock = clock
        self._times = sent_times
        self._partial_event = partial_event
        # The fault of the stream, a value of `streams.Verdict`; empty if none.
        self.fault = ''
        # The end of a complete response.
        self.stream_end: backends.StreamEnd | None = None

    def run(
        self,
        reader: stream_reader.StreamReader,
        sock: socket.socket,
        silence_s: float,
    ) -> None:
        """Reads until the response ends or fails or the caller disconnects.

        Raises:
            errors.NoReplyError: The stream of the engine broke or was silent.
        """
        while not self.ended:
            reader.read_stream(sock, self, silence_s)
            # Waits for a slow caller in the stream's own thread.
            if not self._exchange.flush():
                return

    @property
    def ended(self) -> bool:
        """Whether the response is complete or faulty."""
        return self.stream_end is not None or bool(self.fault)

    def feed(self, block: bytes) -> bool:
        """Processes bytes of the engine; see `stream_reader.StreamConsumer`."""
        parts = (self._partial_event + block).split(_EVENT_SEPARATOR)
        self._partial_event = parts.pop()
        if len(self._partial_event) > events.MAX_EVENT_BYTES:
            raise errors.NoReplyError('event without a separator')
        return self.relay(
            item for item in map(events.decode_event, parts) if item is not None
        )

    def relay(
        self, items: Iterable[backends.Chunk | backends.StreamEnd]
    ) -> bool:
        """Relays chunks.

        Returns False if the flow ended or the caller must be flushed.
        """
        framed: list[bytes] = []
        for item in items:
            if isinstance(item, backends.StreamEnd):
                self._handle_end(item, framed)
                break
            verdict = self._checker.check_chunk(item)
            if verdict is streams.Verdict.ACCEPTED:
                framed.append(
                    self._framer.frame_chunk(item.position, item.text)
                )
            elif verdict is not streams.Verdict.DUPLICATE:
                self.fault = verdict.value
                break
        sent = self._exchange.send_nonblocking(b''.join(framed))
        now = self._clock()
        chunk_count = len(framed) - (self.stream_end is not None)
        self._times.extend([now] * chunk_count)
        return sent and not self.ended

    def _handle_end(
        self, last: backends.StreamEnd, framed: list[bytes]
    ) -> None:
        verdict = self._checker.check_end(last)
        if verdict is streams.Verdict.COMPLETE:
            self.stream_end = last
            framed.append(self._framer.frame_end(last))
        else:
            self.fault = verdict.value
