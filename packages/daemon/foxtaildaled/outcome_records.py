"""Outcomes of an entry: cached, logged, counted and written to the log.

`OutcomeRecords` caches the last outcomes in memory for
`GET /v1/outcomes/REQUEST` and appends them in batches to the `outcomes` stream
of the platform's log, where `foxtaildale explain` reads them. While the log is
down, outcomes wait in a bounded queue. The oldest are dropped first, and the
dropped ones are counted.
"""

import collections
import logging
import threading
from typing import Final

import msgspec

from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics

OUTCOMES_STREAM: Final = 'outcomes'
# Maximum number of outcomes that wait to be written to the log.
_MAX_WAITING: Final = 10_000
# Maximum number of outcomes cached for callers that request them again.
_MAX_CACHED: Final = 10_000
# Maximum number of outcomes in one record of the log.
_MAX_BATCH: Final = 500


class OutcomeRecords:
    """Caches outcomes and writes them to the log."""

    __slots__ = (
        '_cached',
        '_lock',
        '_log',
        '_metrics',
        '_waiting',
        'dropped_count',
    )

    _log: ports.Log
    _metrics: metrics.Metrics
    _waiting: collections.deque[values.Outcome]
    _cached: collections.OrderedDict[str, values.Outcome]
    _lock: threading.Lock
    # Number of outcomes that were dropped before they reached the log.
    dropped_count: int

    def __init__(self, log: ports.Log, counts: metrics.Metrics) -> None:
        self._log = log
        self._metrics = counts
        self._waiting = collections.deque()
        self._cached = collections.OrderedDict()
        self._lock = threading.Lock()
        self.dropped_count = 0

    def add(self, outcome: values.Outcome) -> None:
        """Records the final outcome of a request."""
        logs.event(
            logging.INFO,
            'outcome',
            request=outcome.request,
            service=outcome.service,
            code=outcome.code,
            sentence=outcome.sentence,
            revision=outcome.revision,
        )
        self._metrics.requests.add(1, outcome.service, outcome.code)
        with self._lock:
            self._cached[outcome.request] = outcome
            if len(self._cached) > _MAX_CACHED:
                self._cached.popitem(last=False)
            self._waiting.append(outcome)
            if len(self._waiting) > _MAX_WAITING:
                self._waiting.popleft()
                self.dropped_count += 1

    def find(self, request: str) -> values.Outcome | None:
        """Returns a cached outcome of this entry; None if there is none."""
        with self._lock:
            return self._cached.get(request)

    def flush(self) -> bool:
        """Writes the waiting outcomes; returns whether all were written."""
        while True:
            with self._lock:
                batch = [
                    self._waiting.popleft()
                    for _ in range(min(_MAX_BATCH, len(self._waiting)))
                ]
            if not batch:
                return True
            if not self._write(batch):
                return False

    def flush_once(self) -> None:
        """Flushes once, as a loop of the entry."""
        self.flush()

    def _write(self, batch: list[values.Outcome]) -> bool:
        try:
            self._log.append(OUTCOMES_STREAM, [msgspec.msgpack.encode(batch)])
        except errors.PortError:
            # An append whose reply was lost may be in the log already. A
            # reader that finds an outcome twice uses the first.
            with self._lock:
                self._waiting.extendleft(reversed(batch))
            return False
        return True

    def dump(self) -> dict[str, int]:
        """Returns counts for the state dump."""
        with self._lock:
            return {
                'kept': len(self._cached),
                'waiting': len(self._waiting),
                'dropped': self.dropped_count,
            }
