"""The state of one request to a model service while it is served."""

from collections.abc import Iterator
import contextlib
import threading

from foxtaildale import backends
from foxtaildale import chat
from foxtaildale import ports
from foxtaildale import values
from foxtaildaled import cancels
from foxtaildaled import view


class Job:
    """The state that all stages and attempts of one request share."""

    __slots__ = (
        '_cancels',
        '_engine_addresses',
        '_lock',
        '_open_stream',
        '_resume_window_s',
        'arrived_at',
        'attempt',
        'caller_disconnected',
        'chunk_times',
        'first_answer_ms',
        'holder',
        'max_output_tokens',
        'may_have_run',
        'prefixes',
        'prompt',
        'prompt_tokens',
        'request',
        'service',
        'service_name',
        'snapshot',
    )

    # Identifies the request for callers and operators.
    request: str
    # Name of the service, and its settings in the preset.
    service_name: str
    service: values.Service
    # Configuration and servers at the arrival of the request. The request uses
    # this snapshot until its end.
    snapshot: view.Snapshot
    # Incarnation of this entry process.
    holder: str
    prompt: str
    prompt_tokens: int
    prefixes: tuple[str, ...]
    max_output_tokens: int
    # Target time to the first token, milliseconds; 0 means none.
    first_answer_ms: int
    # Arrival of the request; seconds, monotonic.
    arrived_at: float
    # Number of the current attempt, from 1; 0 before the first one.
    attempt: int
    # Whether a backend server may have run the request.
    may_have_run: bool
    # When each chunk was sent to the caller; seconds, monotonic.
    chunk_times: list[float]
    # Set when the caller has disconnected.
    caller_disconnected: threading.Event
    # Addresses of engines that may hold resources for this request.
    _engine_addresses: set[str]
    # The open stream, if any.
    _open_stream: ports.EventStream | None
    _cancels: cancels.CancelQueue
    # How long a caller may resume its stream after a disconnect, seconds.
    _resume_window_s: float
    _lock: threading.Lock

    def __init__(
        self,
        *,
        req: chat.ChatReq,
        request: str,
        service: values.Service,
        snapshot: view.Snapshot,
        holder: str,
        cancel_queue: cancels.CancelQueue,
        arrived_at: float,
        first_answer_ms: int,
        resume_window_s: float,
    ) -> None:
        self.request = request
        self.service_name = req.model
        self.service = service
        self.snapshot = snapshot
        self.holder = holder
        self.prompt = req.prompt
        self.prompt_tokens = chat.estimate_tokens(self.prompt)
        self.prefixes = chat.prefixes(self.prompt)
        self.max_output_tokens = req.max_tokens or service.expected_tokens
        self.first_answer_ms = first_answer_ms
        self.arrived_at = arrived_at
        self.attempt = 0
        self.may_have_run = False
        self.chunk_times = []
        self.caller_disconnected = threading.Event()
        self._engine_addresses = set()
        self._open_stream = None
        self._cancels = cancel_queue
        self._resume_window_s = resume_window_s
        self._lock = threading.Lock()

    @property
    def stream_name(self) -> str:
        """The name of the stream of this attempt at the engine."""
        return f'{self.request}.{self.attempt}'

    def try_add_reservation(self, address: str) -> bool:
        """Records that an engine is about to hold resources for the request.

        Returns False if the caller has disconnected; then nothing may be sent.
        The check and the record are atomic: if the caller disconnected between
        them, the work at the engine would never be cancelled.
        """
        with self._lock:
            if self.caller_disconnected.is_set():
                return False
            self._engine_addresses.add(address)
            return True

    def remove_reservation(self, address: str) -> None:
        """Records that an engine no longer holds resources."""
        with self._lock:
            self._engine_addresses.discard(address)

    def on_disconnected(self) -> None:
        """Cancels all work for the caller, which has disconnected."""
        with self._lock:
            self.caller_disconnected.set()
            addresses = list(self._engine_addresses)
            stream = self._open_stream
        if stream is not None:
            stream.close()
        for address in addresses:
            self._cancel(address, 0, self._resume_window_s)

    @contextlib.contextmanager
    def closing_stream(self, stream: ports.EventStream) -> Iterator[None]:
        """Closes a stream at its end, or when the caller disconnects.

        Otherwise a thread that waits for the next chunk would notice the
        disconnect only when that chunk arrives, and keep its slot until then.
        """
        with self._lock:
            self._open_stream = stream
            disconnected = self.caller_disconnected.is_set()
        if disconnected:
            stream.close()
        try:
            yield
        finally:
            with self._lock:
                self._open_stream = None
            stream.close()

    def cancel_attempt(self, excluded_address: str = '') -> None:
        """Cancels this attempt at all engines that hold resources for it.

        Args:
            excluded_address: Address of an engine whose result is still needed;
                or ''.
        """
        with self._lock:
            addresses = [
                address
                for address in self._engine_addresses
                if address != excluded_address
            ]
            self._engine_addresses.difference_update(addresses)
        for address in addresses:
            self._cancel(address, self.attempt, 0.0)

    def _cancel(self, address: str, attempt: int, after_s: float) -> None:
        req = backends.CancelReq(
            request=self.request, attempt=attempt, holder=self.holder
        )
        self._cancels.add(address, req, after_s)
