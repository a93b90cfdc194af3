"""Reads the pieces of one answer: checks each and sends it on.

An answer that is streamed to its caller is carried by the pump, one thread for
all streams; one that is gathered for its caller, or comes from something else
than a connection, is read by the request's own thread. Both run once a token,
so they do nothing that can be done once a stream.
"""

from collections.abc import Iterable
import itertools
import threading
from typing import Final

from foxtaildale import backends
from foxtaildale import ports
from foxtaildale import streams
from foxtaildale_adapters import events
from foxtaildale_adapters import flow
from foxtaildale_adapters import pump
from foxtaildaled import sinks

_GONE: Final = 'the caller went away'


class Reader:
    """Reads one answer, over as many connections as it takes."""

    __slots__ = (
        '_checker',
        '_clock',
        '_gone',
        '_pump',
        '_silence_s',
        '_sink',
        '_times',
    )

    # Set when the caller has gone.
    _gone: threading.Event
    _sink: sinks.Sink
    _checker: streams.Checker
    _clock: ports.Clock
    # Receives when each piece was sent on; seconds, monotonic.
    _times: list[float]
    _pump: pump.Pump
    # Silence of the engine after which its connection is given up, seconds.
    _silence_s: float

    def __init__(
        self,
        *,
        gone: threading.Event,
        sink: sinks.Sink,
        checker: streams.Checker,
        clock: ports.Clock,
        times: list[float],
        carrier: pump.Pump,
        silence_s: float,
    ) -> None:
        self._gone = gone
        self._sink = sink
        self._checker = checker
        self._clock = clock
        self._times = times
        self._pump = carrier
        self._silence_s = silence_s

    def read(self, items: ports.Pieces) -> str:
        """Reads to the end; returns '' for a whole answer, else what is wrong.

        Raises:
            errors.PortError: The connection broke off or went silent.
        """
        direct = isinstance(self._sink, sinks.EventSink)
        if not direct or not isinstance(items, events.Stream):
            return self._iterate(items)
        first = next(items)
        if isinstance(first, backends.Last):
            # A stream that was read on behind its last piece: it closed itself
            # with this event, so there is no connection to take over.
            return self._iterate([first])
        taken = flow.take_over(items)
        if taken.sock is None:
            return self._iterate(itertools.chain([first], taken.items, items))
        with taken.sock:
            return self._carry(taken, [first, *taken.items], self._sink)

    def _carry(
        self,
        taken: flow.Taken,
        ahead: list[backends.Piece | backends.Last],
        sink: sinks.Sink,
    ) -> str:
        assert isinstance(sink, sinks.EventSink)
        assert taken.sock is not None
        carried = flow.Flow(
            exchange=sink.open(),
            checker=self._checker,
            framer=sink.framer,
            clock=self._clock,
            times=self._times,
            rest=taken.rest,
        )
        if carried.take(ahead) or sink.open().flush():
            carried.run(self._pump, taken.sock, self._silence_s)
        if carried.last is not None:
            return ''
        return carried.fault or _GONE

    def _iterate(self, items: Iterable[backends.Piece | backends.Last]) -> str:
        for item in items:
            if self._gone.is_set():
                return _GONE
            if isinstance(item, backends.Last):
                return self._end(item)
            verdict = self._checker.piece(item)
            if verdict is streams.Verdict.ACCEPTED:
                self._sink.piece(item)
                self._times.append(self._clock())
            elif verdict is not streams.Verdict.DUPLICATE:
                return str(verdict.value)
        return 'the stream ended early'

    def _end(self, last: backends.Last) -> str:
        verdict = self._checker.last(last)
        if verdict is not streams.Verdict.WHOLE:
            return str(verdict.value)
        self._sink.last(last)
        return ''
