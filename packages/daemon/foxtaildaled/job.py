"""One caller's request for a model's answer, while it is worked on."""

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
    """Everything about one request that its steps share."""

    __slots__ = (
        '_cancels',
        '_held',
        '_lock',
        '_pieces',
        '_resume_s',
        'arrived_at',
        'attempt',
        'first_answer_ms',
        'gone',
        'holder',
        'max_tokens',
        'name',
        'prefixes',
        'prompt',
        'prompt_tokens',
        'request',
        'sent',
        'service',
        'snapshot',
        'times',
    )

    # Identifies the request for callers and operators.
    request: str
    # Name of the service, and what the preset says of it.
    name: str
    service: values.Service
    # What was known when the request came; it works by it to its end.
    snapshot: view.Snapshot
    # Incarnation of this entry.
    holder: str
    prompt: str
    prompt_tokens: int
    prefixes: tuple[str, ...]
    max_tokens: int
    # Target for the first answer, milliseconds; 0 means none.
    first_answer_ms: int
    # Seconds, monotonic.
    arrived_at: float
    # Counts tries at backend servers, from 1.
    attempt: int
    # Whether a backend server may have acted on it.
    sent: bool
    # When each piece of the answer was sent on; seconds, monotonic.
    times: list[float]
    # Set when the caller has gone.
    gone: threading.Event
    # Addresses of engines that hold something for this request.
    _held: set[str]
    # The stream that is being read, if any.
    _pieces: ports.Pieces | None
    _cancels: cancels.Cancels
    # How long a gone caller's stream is kept for its return, seconds.
    _resume_s: float
    _lock: threading.Lock

    def __init__(
        self,
        *,
        req: chat.ChatReq,
        request: str,
        service: values.Service,
        snapshot: view.Snapshot,
        holder: str,
        cancel_queue: cancels.Cancels,
        arrived_at: float,
        first_answer_ms: int,
        resume_s: float,
    ) -> None:
        self.request = request
        self.name = req.model
        self.service = service
        self.snapshot = snapshot
        self.holder = holder
        self.prompt = req.prompt
        self.prompt_tokens = chat.count_tokens(self.prompt)
        self.prefixes = chat.prefixes(self.prompt)
        self.max_tokens = req.max_tokens or service.expected_tokens
        self.first_answer_ms = first_answer_ms
        self.arrived_at = arrived_at
        self.attempt = 0
        self.sent = False
        self.times = []
        self.gone = threading.Event()
        self._held = set()
        self._pieces = None
        self._cancels = cancel_queue
        self._resume_s = resume_s
        self._lock = threading.Lock()

    @property
    def stream(self) -> str:
        """Names the stream of this attempt at the engine."""
        return f'{self.request}.{self.attempt}'

    def hold(self, address: str) -> bool:
        """Notes that an engine is about to hold something.

        Returns False when the caller has gone: then nothing may be sent. The
        check and the note are one step, since a caller that leaves between
        them would leave work behind that nobody cancels.
        """
        with self._lock:
            if self.gone.is_set():
                return False
            self._held.add(address)
            return True

    def let_go(self, address: str) -> None:
        """Notes that an engine holds nothing any more."""
        with self._lock:
            self._held.discard(address)

    def on_gone(self) -> None:
        """The caller went away: cancels all that is held for it."""
        with self._lock:
            self.gone.set()
            held = list(self._held)
            pieces = self._pieces
        if pieces is not None:
            pieces.close()
        for address in held:
            self._cancel(address, 0, self._resume_s)

    @contextlib.contextmanager
    def reading(self, pieces: ports.Pieces) -> Iterator[None]:
        """Closes a stream at the end, or at once when the caller goes.

        A thread that waits for the next piece would otherwise learn of the
        caller only with that piece, and hold its slot until then.
        """
        with self._lock:
            self._pieces = pieces
            gone = self.gone.is_set()
        if gone:
            pieces.close()
        try:
            yield
        finally:
            with self._lock:
                self._pieces = None
            pieces.close()

    def abandon(self, kept: str = '') -> None:
        """Cancels this attempt at every engine that holds a part of it.

        Args:
            kept: Address of an engine whose part is still wanted; or ''.
        """
        with self._lock:
            held = [address for address in self._held if address != kept]
            self._held.difference_update(held)
        for address in held:
            self._cancel(address, self.attempt, 0.0)

    def _cancel(self, address: str, attempt: int, after_s: float) -> None:
        req = backends.CancelReq(
            request=self.request, attempt=attempt, holder=self.holder
        )
        self._cancels.add(address, req, after_s)
