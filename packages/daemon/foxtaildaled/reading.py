"""Reads the pieces of one answer: checks each and sends it on.

This loop runs once a token, so it does nothing that can be done once a stream.
"""

import threading

from foxtaildale import backends
from foxtaildale import ports
from foxtaildale import streams
from foxtaildaled import sinks


class Reader:
    """Reads one answer, over as many connections as it takes."""

    __slots__ = ('_checker', '_clock', '_gone', '_sink', '_times')

    # Set when the caller has gone.
    _gone: threading.Event
    _sink: sinks.Sink
    _checker: streams.Checker
    _clock: ports.Clock
    # Receives when each piece was sent on; seconds, monotonic.
    _times: list[float]

    def __init__(
        self,
        *,
        gone: threading.Event,
        sink: sinks.Sink,
        checker: streams.Checker,
        clock: ports.Clock,
        times: list[float],
    ) -> None:
        self._gone = gone
        self._sink = sink
        self._checker = checker
        self._clock = clock
        self._times = times

    def read(self, items: ports.Pieces) -> str:
        """Reads to the end; returns '' for a whole answer, else what is wrong.

        Raises:
            errors.PortError: The connection broke off or went silent.
        """
        for item in items:
            if self._gone.is_set():
                return 'the caller went away'
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
