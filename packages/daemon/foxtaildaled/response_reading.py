"""Reads the chunks of one response, checks each and forwards it.

A response that is streamed to its caller is handled by the stream reader, one
thread for all streams. A response that is collected before it is sent, or that
does not come from a connection, is read by the thread of its request. Both run
once per token, so work that can be done once per stream is done outside of
them.
"""

from collections.abc import Iterable
import itertools
import threading
from typing import Final

from foxtaildale import backends
from foxtaildale import ports
from foxtaildale import streams
from foxtaildale_adapters import events
from foxtaildale_adapters import response_relay
from foxtaildale_adapters import stream_reader
from foxtaildaled import sinks

_DISCONNECTED: Final = 'the caller went away'


class ResponseReader:
    """Reads one response, which may arrive over several connections."""

    __slots__ = (
        '_caller_disconnected',
        '_checker',
        '_clock',
        '_max_silence_s',
        '_pump',
        '_sent_times',
        '_sink',
    )

    # Set when the caller has disconnected.
    _caller_disconnected: threading.Event
    _sink: sinks.Sink
    _checker: streams.Checker
    _clock: ports.Clock
    # Gets the time at which each chunk was forwarded, seconds, monotonic.
    _sent_times: list[float]
    _pump: stream_reader.StreamReader
    # Time without data after which the engine's connection is closed, seconds.
    _max_silence_s: float

    def __init__(
        self,
        *,
        caller_disconnected: threading.Event,
        sink: sinks.Sink,
        checker: streams.Checker,
        clock: ports.Clock,
        sent_times: list[float],
        stream_pump: stream_reader.StreamReader,
        max_silence_s: float,
    ) -> None:
        self._caller_disconnected = caller_disconnected
        self._sink = sink
        self._checker = checker
        self._clock = clock
        self._sent_times = sent_times
        self._pump = stream_pump
        self._max_silence_s = max_silence_s

    def read(self, items: ports.EventStream) -> str:
        """Reads to the end.

        Returns:
            An empty string for a complete response, otherwise the fault.

        Raises:
            errors.PortError: The connection broke off or went silent.
        """
        is_streamed = isinstance(self._sink, sinks.EventSink)
        if not is_streamed or not isinstance(items, events.Stream):
            return self._iterate(items)
        first = next(items)
        if isinstance(first, backends.StreamEnd):
            # The stream was read beyond its last chunk and has closed itself
            # with this event, so there is no connection to take over.
            return self._iterate([first])
        taken = response_relay.detach(items)
        if taken.sock is None:
            return self._iterate(
                itertools.chain([first], taken.buffered_events, items)
            )
        with taken.sock:
            return self._pump_stream(
                taken, [first, *taken.buffered_events], self._sink
            )

    def _pump_stream(
        self,
        taken: response_relay.DetachedStream,
        chunks_read: list[backends.Chunk | backends.StreamEnd],
        sink: sinks.Sink,
    ) -> str:
        assert isinstance(sink, sinks.EventSink)
        assert taken.sock is not None
        flow_state = response_relay.Flow(
            exchange=sink.ensure_started(),
            checker=self._checker,
            framer=sink.framer,
            clock=self._clock,
            sent_times=self._sent_times,
            partial_event=taken.partial_event,
        )
        if flow_state.relay(chunks_read) or sink.ensure_started().flush():
            flow_state.run(self._pump, taken.sock, self._max_silence_s)
        if flow_state.stream_end is not None:
            return ''
        return flow_state.fault or _DISCONNECTED

    def _iterate(
        self, items: Iterable[backends.Chunk | backends.StreamEnd]
    ) -> str:
        for item in items:
            if self._caller_disconnected.is_set():
                return _DISCONNECTED
            if isinstance(item, backends.StreamEnd):
                return self._finish(item)
            verdict = self._checker.check_chunk(item)
            if verdict is streams.Verdict.ACCEPTED:
                self._sink.write_chunk(item)
                self._sent_times.append(self._clock())
            elif verdict is not streams.Verdict.DUPLICATE:
                return str(verdict.value)
        return 'the stream ended early'

    def _finish(self, last: backends.StreamEnd) -> str:
        verdict = self._checker.check_end(last)
        if verdict is not streams.Verdict.COMPLETE:
            return str(verdict.value)
        self._sink.write_end(last)
        return ''
