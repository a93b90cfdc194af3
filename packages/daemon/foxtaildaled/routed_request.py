"""One request of a caller while a router serves it.

The object holds the deadline of the request and whether its caller is still
connected. The request that is in flight to a backend server is registered here,
so that it is cancelled as soon as the caller disconnects, whatever its stage.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import math
import threading
from typing import Final

from foxtaildale import accounts
from foxtaildale import codes
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale import quarantine
from foxtaildale import routes
from foxtaildale_adapters import caller_exchange
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics

# Minimum time left for a send, seconds. With less, a backend server can only
# time out.
MIN_SEND_TIME_S: Final = 0.03
# Time after the deadline in which a response that has arrived is still read,
# seconds.
LATE_READ_S: Final = 0.1


# Called with the fingerprint of a request that completed successfully, the
# service that ran it, and the fingerprints of the parts of its prompt.
OnCompleted = Callable[[int, str, Iterable[int]], None]


class RoutedRequest:
    """A request with its route, deadline and connection to the caller."""

    __slots__ = (
        '_clock',
        '_find_quarantine',
        '_flight',
        '_lock',
        '_own_deadline',
        '_process_ends_at',
        'account',
        'caller_disconnected',
        'caller_request',
        'config_version',
        'crashed_stages',
        'entry_vm',
        'exchange',
        'fingerprint',
        'must_finish',
        'on_not_run',
        'prompt_parts',
        'request_metrics',
        'route',
        'service',
        'software_version',
        'started_at',
    )

    def __init__(
        self,
        exchange: caller_exchange.Exchange,
        *,
        caller_request: forwarding.CallerRequest,
        route: routes.Route,
        service: routes.Service,
        config_version: int,
        entry_vm: str,
        request_metrics: metrics.Metrics,
        clock: ports.Clock,
        process_ends_at: Callable[[], float] = lambda: math.inf,
        account: accounts.Account | None = None,
        find_quarantine: Callable[
            [int, Iterable[int]], quarantine.Entry | None
        ] = lambda *_: None,
    ) -> None:
        self.exchange = exchange
        self.caller_request = caller_request
        # The same for every attempt of this request, at all entry VMs.
        self.fingerprint = fingerprint.compute(caller_request)
        # Fingerprints of the parts of the prompt that other requests may share.
        self.prompt_parts = fingerprint.compute_parts(
            service.name, caller_request.shared_parts
        )
        self._find_quarantine = find_quarantine
        # The client account of the caller; None if no accounts are configured.
        self.account = account
        # Called when the request is refused: it has not run and will not run.
        self.on_not_run: Callable[[], None] = _no_op
        self.route = route
        self.service = service
        # Version of the configuration that the request is served with.
        self.config_version = config_version
        self.entry_vm = entry_vm
        self.request_metrics = request_metrics
        self._clock = clock
        self.started_at = clock()
        timeout_s = route.timeout_s
        if caller_request.patience_s is not None:
            timeout_s = min(timeout_s, caller_request.patience_s)
        # Deadline that the route and the caller set.
        self._own_deadline = self.started_at + timeout_s
        # Returns the time at which this process ends at the latest.
        self._process_ends_at = process_ends_at
        # Whether the response has to be complete before this process ends; a
        # request that came before the stop may be cut by it.
        self.must_finish = False
        # Software version of the decode workers at which the stream may go on;
        # empty if any may.
        self.software_version = ''
        # Stages of the servers that crashed while they ran this request.
        self.crashed_stages: set[forwarding.Stage] = set()
        # Set when the caller has disconnected.
        self.caller_disconnected = threading.Event()
        # Guards `_flight`: the caller may disconnect while a flight is set.
        self._lock = threading.Lock()
        self._flight: ports.ServerExchange | None = None

    @property
    def priority(self) -> int:
        """Returns the priority; 0 is the most urgent."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    @property
    def deadline(self) -> float:
        """Returns the deadline of the final response, seconds of the clock.

        It is not later than the end of this process: a request that would be
        cut off then is refused instead, and can run to its end at another VM.
        """
        return min(self._own_deadline, self._process_ends_at())

    def watch_caller(self) -> None:
        """Starts to watch the caller's connection."""
        self.exchange.on_disconnect(self._on_disconnected)

    def time_left_s(self) -> float:
        """Returns the time left until the deadline, seconds."""
        return self.deadline - self._clock()

    def is_overdue(self) -> bool:
        """Whether a response that is still incomplete is given up."""
        return self.time_left_s() < -LATE_READ_S

    def age_s(self) -> float:
        """Returns the time since the request arrived, seconds."""
        return self._clock() - self.started_at

    def find_quarantine(self) -> quarantine.Entry | None:
        """Returns what quarantines the request; None if it may be sent."""
        return self._find_quarantine(self.fingerprint, self.prompt_parts)

    def check_disconnected(self) -> bool:
        """Checks the connection; whether the caller has disconnected."""
        if (
            not self.caller_disconnected.is_set()
            and self.exchange.is_disconnected()
        ):
            self.caller_disconnected.set()
        return self.caller_disconnected.is_set()

    def is_abandoned(self) -> bool:
        """Whether this side ends the request, so no server is to blame.

        The caller has disconnected, or this process is about to end.
        """
        process_left_s = self._process_ends_at() - self._clock()
        return (
            self.caller_disconnected.is_set()
            or process_left_s < MIN_SEND_TIME_S
        )

    def set_flight(self, flight: ports.ServerExchange | None) -> None:
        """Sets the flight to cancel when the caller disconnects, if any."""
        with self._lock:
            self._flight = flight
            disconnected = self.caller_disconnected.is_set()
        if disconnected and flight is not None:
            flight.cancel()

    def refuse(
        self,
        code: codes.Code,
        figures: Mapping[str, float | str] | None = None,
        retry_after_s: float = 0.0,
    ) -> None:
        """Sends the final response if no backend server gave one."""
        figures = figures or {}
        self.log(
            'refused' if code.ran == 'no' else 'failed',
            code=code.name,
            status=code.status,
            retry_after_s=round(retry_after_s, 2),
            **figures,
        )
        self.request_metrics.requests.add(1, self.service.name, code.name)
        if code.ran == 'no':
            self.on_not_run()
        if code.status == codes.CANCELLED.status:
            self.exchange.abort()
            return
        send_error(self.exchange, code, figures, self.entry_vm, retry_after_s)

    def refuse_quarantined(self, entry: quarantine.Entry) -> None:
        """Refuses the request because it is quarantined."""
        self.refuse(codes.QUARANTINED, entry.figures(), entry.left_s)

    def record_response(
        self, status: int, *, complete: bool, **fields: object
    ) -> None:
        """Records that the caller was sent a backend server's response.

        Args:
            status: HTTP status of the response.
            complete: Whether the caller received the complete response.
            **fields: Further fields of the log event.
        """
        self.log('answered', status=status, whole=complete, **fields)
        name = self.service.name
        code = codes.OK if 200 <= status < 300 and complete else codes.FAILED
        self.request_metrics.requests.add(1, name, code.name)
        self.request_metrics.answer_seconds.observe((self.age_s(),), name)

    def log(self, event: str, **fields: object) -> None:
        """Logs an event of this request."""
        logs.event(
            logging.INFO,
            event,
            request=self.caller_request.id,
            route=self.route.name,
            version=self.config_version,
            age_ms=int(self.age_s() * 1000),
            **fields,
        )

    def log_relayed(self, server: str, via: str) -> None:
        """Logs that another entry VM relays the request to a server.

        Args:
            server: Id of the server.
            via: Name of the entry VM; empty if the connection is direct.
        """
        if via:
            self.log('relayed', server=server, via=via)

    def _on_disconnected(self) -> None:
        with self._lock:
            self.caller_disconnected.set()
            flight = self._flight
        if flight is not None:
            flight.cancel()


def _no_op() -> None:
    """Default callback that does nothing."""


def send_error(
    exchange: caller_exchange.Exchange,
    code: codes.Code,
    figures: Mapping[str, float | str],
    entry_vm: str,
    retry_after_s: float = 0.0,
) -> None:
    """Sends an error response, with a retry delay if that is positive."""
    body = caller_exchange.error_body(code, figures, entry_vm, retry_after_s)
    headers = dict(caller_exchange.JSON_HEADERS)
    if code.status == codes.UNAUTHORIZED.status:
        headers['WWW-Authenticate'] = 'Bearer'
    if retry_after_s > 0:
        headers['Retry-After'] = f'{retry_after_s:.2f}'
    exchange.respond(code.status, headers, body)
