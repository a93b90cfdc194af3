"""Outcomes of an entry: kept for a while, logged, counted, and made to last.

`Records` keeps the last outcomes in memory for `GET /v1/outcomes/REQUEST` and
hands them in batches to the `outcomes` stream of the platform's log, where
`foxtaildale explain` finds them. While the log is down they wait in a bounded
queue; the oldest are dropped first, and the number of dropped ones is kept.
"""

import collections
import threading
from typing import Final

from absl import logging as absl_logging
import msgspec

from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics

OUTCOMES_STREAM: Final = 'outcomes'
# Outcomes that wait for the log, at most.
_WAITING_MAX: Final = 10_000
# Outcomes kept for callers that ask again.
_KEPT_MAX: Final = 10_000
# Outcomes in one record of the log.
_BATCH: Final = 500


class Records:
    """Keeps and flushes outcomes."""

    __slots__ = (
        '_kept',
        '_lock',
        '_log',
        '_metrics',
        '_waiting',
        'dropped',
    )

    _log: ports.Log
    _metrics: metrics.Metrics
    _waiting: collections.deque[values.Outcome]
    _kept: collections.OrderedDict[str, values.Outcome]
    _lock: threading.Lock
    # Outcomes that never reached the log.
    dropped: int

    def __init__(self, log: ports.Log, counts: metrics.Metrics) -> None:
        self._log = log
        self._metrics = counts
        self._waiting = collections.deque()
        self._kept = collections.OrderedDict()
        self._lock = threading.Lock()
        self.dropped = 0

    def add(self, outcome: values.Outcome) -> None:
        """Takes the final outcome of a request."""
        logs.event(
            absl_logging.INFO,
            'outcome',
            request=outcome.request,
            service=outcome.service,
            code=outcome.code,
            sentence=outcome.sentence,
            revision=outcome.revision,
        )
        self._metrics.requests.add(1, outcome.service, outcome.code)
        with self._lock:
            self._kept[outcome.request] = outcome
            if len(self._kept) > _KEPT_MAX:
                self._kept.popitem(last=False)
            self._waiting.append(outcome)
            if len(self._waiting) > _WAITING_MAX:
                self._waiting.popleft()
                self.dropped += 1

    def find(self, request: str) -> values.Outcome | None:
        """Returns an outcome that was decided here."""
        with self._lock:
            return self._kept.get(request)

    def flush(self) -> bool:
        """Writes what waits; returns whether nothing is left."""
        while True:
            with self._lock:
                batch = [
                    self._waiting.popleft()
                    for _ in range(min(_BATCH, len(self._waiting)))
                ]
            if not batch:
                return True
            if not self._write(batch):
                return False

    def step(self) -> None:
        """Flushes, as a loop of the entry."""
        self.flush()

    def _write(self, batch: list[values.Outcome]) -> bool:
        try:
            self._log.append(OUTCOMES_STREAM, [msgspec.msgpack.encode(batch)])
        except errors.PortError:
            # An append whose answer was lost may be in the log already; a
            # reader that meets an outcome twice takes the first.
            with self._lock:
                self._waiting.extendleft(reversed(batch))
            return False
        return True

    def dump(self) -> dict[str, int]:
        """Returns counts for the state dump."""
        with self._lock:
            return {
                'kept': len(self._kept),
                'waiting': len(self._waiting),
                'dropped': self.dropped,
            }
