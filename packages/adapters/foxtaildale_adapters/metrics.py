"""Metrics of a process: recorded here, aggregated by aioprometheus.

Every metric is declared in `Metrics`. Observations are only appended to a list;
they are passed to the collectors of the library when the metrics are rendered,
or when the list is long. So a request costs one append to a list, and a process
imports the library, which imports asyncio, when it first needs it and not
before its first response. One lock guards all metrics, since an update in the
library is a read followed by a write, and not atomic.
"""

from __future__ import annotations

from collections.abc import Iterable
import threading
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from aioprometheus import collectors

# Upper bounds of the histograms' buckets, seconds. The buckets are narrow near
# the targets for the first token (0.34 s) and between tokens (29 ms).
LATENCY_BUCKETS_S: Final = (
    0.01, 0.02, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip
TOKEN_GAP_BUCKETS_S: Final = (
    0.002, 0.005, 0.01, 0.02, 0.029, 0.04, 0.06, 0.1, 0.2, 0.5, 1.0, 5.0,
)  # fmt: skip
# Maximum number of series of one counter. The names of client accounts change
# with the configuration, and a series is kept until the process ends.
MAX_SERIES: Final = 2000
# First label value of what is counted beyond that limit.
OVERFLOW_LABEL: Final = 'other'
# Maximum number of observations that a histogram buffers before it passes them
# to the library; bounds the buffer to 64 KB of memory.
MAX_PENDING: Final = 2000


class Counter:
    """A sum for each combination of label values."""

    __slots__ = ('_doc', '_labels', '_lock', '_name', '_sums')

    def __init__(
        self, lock: threading.Lock, name: str, doc: str, *labels: str
    ) -> None:
        self._lock = lock
        self._name = name
        self._doc = doc
        self._labels = labels
        # Sums by label values, in the order of the labels.
        self._sums: dict[tuple[str, ...], float] = {}

    def add(self, amount: float, *values: str) -> None:
        """Adds to the sum; `values` are in the order of the labels."""
        with self._lock:
            if values not in self._sums and len(self._sums) >= MAX_SERIES:
                values = (OVERFLOW_LABEL, *values[1:])
            self._sums[values] = self._sums.get(values, 0) + amount

    def set(self, total: float, *values: str) -> None:
        """Replaces the sum by a total that is counted elsewhere."""
        with self._lock:
            self._sums[values] = total

    def collect(self, registry: collectors.Registry) -> None:
        """Adds the sums to a registry; the caller holds the lock."""
        from aioprometheus import collectors

        collector = collectors.Counter(self._name, self._doc, registry=registry)
        for values, total in self._sums.items():
            collector.set(dict(zip(self._labels, values, strict=True)), total)


class Histogram:
    """Observed times for each combination of label values."""

    __slots__ = (
        '_buckets',
        '_collector',
        '_doc',
        '_labels',
        '_lock',
        '_name',
        '_pending',
    )

    def __init__(
        self,
        lock: threading.Lock,
        name: str,
        doc: str,
        buckets: tuple[float, ...],
        *labels: str,
    ) -> None:
        self._lock = lock
        self._name = name
        self._doc = doc
        self._buckets = buckets
        self._labels = labels
        # The collector of the library; None until it is needed.
        self._collector: collectors.Histogram | None = None
        # Observations that were not passed to the collector yet.
        self._pending: list[tuple[tuple[str, ...], float]] = []

    def observe(self, seconds: Iterable[float], *values: str) -> None:
        """Records durations.

        For a stream, one call with all values at its end costs least.
        """
        with self._lock:
            self._pending.extend((values, value) for value in seconds)
            if len(self._pending) > MAX_PENDING:
                self._flush()

    def collect(self, registry: collectors.Registry) -> None:
        """Adds all observations to a registry; the caller holds the lock."""
        registry.register(self._flush())

    def _flush(self) -> collectors.Histogram:
        from aioprometheus import collectors

        collector = self._collector
        if collector is None:
            collector = self._collector = collectors.Histogram(
                self._name,
                self._doc,
                registry=collectors.Registry(),
                buckets=self._buckets,
            )
        for values, value in self._pending:
            collector.observe(
                dict(zip(self._labels, values, strict=True)), value
            )
        self._pending.clear()
        return collector


class Metrics:
    """Every metric of a process."""

    __slots__ = (
        '_lock',
        'accounts',
        'answer_seconds',
        'between_tokens_seconds',
        'broken',
        'first_answer_seconds',
        'log_appends',
        'message_bytes',
        'messages',
        'prefill_seconds',
        'prefill_tokens',
        'refused_bodies',
        'requests',
        'retries',
        'store_calls',
        'wait_seconds',
        'wasted_prefill_tokens',
    )

    def __init__(self) -> None:
        lock = threading.Lock()
        self._lock = lock
        self.requests = Counter(
            lock,
            'foxtaildale_requests_total',
            'Requests by service and outcome code.',
            'service',
            'code',
        )
        self.accounts = Counter(
            lock,
            'foxtaildale_account_requests_total',
            'Requests by client account and whether they were let in.',
            'account',
            'code',
        )
        self.first_answer_seconds = Histogram(
            lock,
            'foxtaildale_first_answer_seconds',
            'Time from the request to the first piece of its answer.',
            LATENCY_BUCKETS_S,
            'service',
        )
        self.between_tokens_seconds = Histogram(
            lock,
            'foxtaildale_between_tokens_seconds',
            'Time between two pieces of an answer.',
            TOKEN_GAP_BUCKETS_S,
            'service',
        )
        self.prefill_tokens = Counter(
            lock,
            'foxtaildale_prefill_tokens_total',
            'Prompt tokens prefilled.',
            'service',
        )
        self.wasted_prefill_tokens = Counter(
            lock,
            'foxtaildale_wasted_prefill_tokens_total',
            'Prompt tokens prefilled whose result nobody used.',
            'service',
        )
        self.broken = Counter(
            lock,
            'foxtaildale_broken_total',
            'Connections to backend servers that broke under a request, and'
            ' what became of the server.',
            'service',
            'reach',
        )
        self.retries = Counter(
            lock,
            'foxtaildale_retries_total',
            'Tries of a request after its first.',
            'service',
        )
        self.refused_bodies = Counter(
            lock,
            'foxtaildale_refused_bodies_total',
            'Bodies of requests that were refused, and of responses that were'
            ' broken off, for lack of memory.',
            'kind',
        )
        self.messages = Counter(
            lock,
            'foxtaildale_messages_total',
            'Messages between processes of the system.',
            'direction',
        )
        self.message_bytes = Counter(
            lock,
            'foxtaildale_message_bytes_total',
            'Payload bytes between processes of the system.',
            'direction',
        )
        self.answer_seconds = Histogram(
            lock,
            'foxtaildale_answer_seconds',
            'Time from the request to the end of its answer.',
            LATENCY_BUCKETS_S,
            'service',
        )
        self.wait_seconds = Histogram(
            lock,
            'foxtaildale_wait_seconds',
            'Time that a request waited for a place at an engine.',
            LATENCY_BUCKETS_S,
            'service',
        )
        self.prefill_seconds = Histogram(
            lock,
            'foxtaildale_prefill_seconds',
            'Time from sending a prompt to the end of its prefill.',
            LATENCY_BUCKETS_S,
            'service',
        )
        self.store_calls = Counter(
            lock,
            'foxtaildale_store_calls_total',
            'Reads of the platform store by topic and result.',
            'topic',
            'result',
        )
        self.log_appends = Counter(
            lock,
            'foxtaildale_log_appends_total',
            'Appends to the platform log by stream and result.',
            'stream',
            'result',
        )

    def render(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        from aioprometheus import collectors
        from aioprometheus.formats import text

        registry = collectors.Registry()
        with self._lock:
            for name in self.__slots__:
                metric = getattr(self, name)
                if isinstance(metric, Counter | Histogram):
                    metric.collect(registry)
            data: bytes = text.TextFormatter().marshall(registry)
        return data
