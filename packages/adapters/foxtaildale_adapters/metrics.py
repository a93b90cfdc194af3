"""Metrics of a process, in one aioprometheus registry.

Every metric is declared in `Metrics`. The library's own updates are a read
and a write apart, so all go through one lock here.
"""

from collections.abc import Iterable
import threading
from typing import Final

from aioprometheus import collectors
from aioprometheus.formats import text

# Upper bounds of the histograms' buckets, seconds; close around the targets
# for the first answer (0.34 s) and between tokens (29 ms).
FIRST_ANSWER_S: Final = (
    0.01, 0.02, 0.05, 0.1, 0.2, 0.34, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0, 60.0,
)  # fmt: skip
BETWEEN_TOKENS_S: Final = (
    0.002, 0.005, 0.01, 0.02, 0.029, 0.04, 0.06, 0.1, 0.2, 0.5, 1.0, 5.0,
)  # fmt: skip


class Counter:
    """A sum for each combination of label values."""

    __slots__ = ('_collector', '_labels', '_lock')

    def __init__(
        self,
        registry: collectors.Registry,
        lock: threading.Lock,
        name: str,
        doc: str,
        *labels: str,
    ) -> None:
        self._collector = collectors.Counter(name, doc, registry=registry)
        self._lock = lock
        self._labels = labels

    def add(self, amount: float, *values: str) -> None:
        """Adds to the sum; `values` are in the order of the labels."""
        labels = dict(zip(self._labels, values, strict=True))
        with self._lock:
            self._collector.add(labels, amount)

    def set(self, total: float, *values: str) -> None:
        """Takes over a sum that is kept elsewhere."""
        labels = dict(zip(self._labels, values, strict=True))
        with self._lock:
            self._collector.set(labels, total)


class Histogram:
    """Observed times for each combination of label values."""

    __slots__ = ('_collector', '_labels', '_lock')

    def __init__(
        self,
        registry: collectors.Registry,
        lock: threading.Lock,
        name: str,
        doc: str,
        buckets: tuple[float, ...],
        *labels: str,
    ) -> None:
        self._collector = collectors.Histogram(
            name, doc, registry=registry, buckets=buckets
        )
        self._lock = lock
        self._labels = labels

    def observe(self, seconds: Iterable[float], *values: str) -> None:
        """Adds observations; a stream's are cheapest all at its end."""
        labels = dict(zip(self._labels, values, strict=True))
        with self._lock:
            for value in seconds:
                self._collector.observe(labels, value)


class Metrics:
    """Every metric of a process."""

    __slots__ = (
        '_lock',
        '_registry',
        'answer_seconds',
        'between_tokens_seconds',
        'first_answer_seconds',
        'log_appends',
        'message_bytes',
        'messages',
        'prefill_seconds',
        'prefill_tokens',
        'requests',
        'retries',
        'store_calls',
        'wait_seconds',
        'wasted_prefill_tokens',
    )

    def __init__(self) -> None:
        registry = collectors.Registry()
        lock = threading.Lock()
        self._registry = registry
        self._lock = lock
        self.requests = Counter(
            registry,
            lock,
            'foxtaildale_requests_total',
            'Requests by service and outcome code.',
            'service',
            'code',
        )
        self.first_answer_seconds = Histogram(
            registry,
            lock,
            'foxtaildale_first_answer_seconds',
            'Time from the request to the first piece of its answer.',
            FIRST_ANSWER_S,
            'service',
        )
        self.between_tokens_seconds = Histogram(
            registry,
            lock,
            'foxtaildale_between_tokens_seconds',
            'Time between two pieces of an answer.',
            BETWEEN_TOKENS_S,
            'service',
        )
        self.prefill_tokens = Counter(
            registry,
            lock,
            'foxtaildale_prefill_tokens_total',
            'Prompt tokens prefilled.',
            'service',
        )
        self.wasted_prefill_tokens = Counter(
            registry,
            lock,
            'foxtaildale_wasted_prefill_tokens_total',
            'Prompt tokens prefilled whose result nobody used.',
            'service',
        )
        self.retries = Counter(
            registry,
            lock,
            'foxtaildale_retries_total',
            'Tries of a request after its first.',
            'service',
        )
        self.messages = Counter(
            registry,
            lock,
            'foxtaildale_messages_total',
            'Messages between processes of the system.',
            'direction',
        )
        self.message_bytes = Counter(
            registry,
            lock,
            'foxtaildale_message_bytes_total',
            'Payload bytes between processes of the system.',
            'direction',
        )
        self.answer_seconds = Histogram(
            registry,
            lock,
            'foxtaildale_answer_seconds',
            'Time from the request to the end of its answer.',
            FIRST_ANSWER_S,
            'service',
        )
        self.wait_seconds = Histogram(
            registry,
            lock,
            'foxtaildale_wait_seconds',
            'Time that a request waited for a place at an engine.',
            FIRST_ANSWER_S,
            'service',
        )
        self.prefill_seconds = Histogram(
            registry,
            lock,
            'foxtaildale_prefill_seconds',
            'Time from sending a prompt to the end of its prefill.',
            FIRST_ANSWER_S,
            'service',
        )
        self.store_calls = Counter(
            registry,
            lock,
            'foxtaildale_store_calls_total',
            'Reads of the platform store by topic and result.',
            'topic',
            'result',
        )
        self.log_appends = Counter(
            registry,
            lock,
            'foxtaildale_log_appends_total',
            'Appends to the platform log by stream and result.',
            'stream',
            'result',
        )

    def render(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        with self._lock:
            data: bytes = text.TextFormatter().marshall(self._registry)
        return data
