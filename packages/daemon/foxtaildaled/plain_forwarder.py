"""Forwards requests of plain services to backend servers.

A request that may have run is sent again only if its route allows it to be
repeated. A request that certainly did not run may be sent to another server, up
to the maximum number of attempts of its route. A response is read completely
before any of it is sent to the caller, so that a request whose response breaks
off can still be retried.
"""

import math
import random
from typing import Final

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale import retry_delays
from foxtaildale_adapters import byte_budget
from foxtaildaled import actors
from foxtaildaled import crash_detection
from foxtaildaled import routed_request
from foxtaildaled import router_retry_budgets
from foxtaildaled import router_state
from foxtaildaled import sendlimits

# Maximum number of servers that may be missing before a request is refused. A
# server is missing if the connection to it does not open, or if another server
# replies that it has the address now. The intended server received nothing, so
# this does not count as an attempt.
MAX_MISSED_SERVERS: Final = 3
# An idempotent request without a response is sent to another server after this
# multiple of its target time, if there is one that may get it. A server that
# hangs would otherwise delay it until its deadline.
STALL_TARGET_FACTOR: Final = 2.0
# Minimum of that time, seconds.
MIN_STALL_S: Final = 0.5
# Maximum size of a response, which is held in memory, bytes.
MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024
# Assumed time for which a full service stays full, seconds. A slot becomes free
# sooner, but a request that is refused in a burst of some seconds can no longer
# meet its target, and a caller that retries at once meets the same burst.
FULL_SERVICE_S: Final = 0.8


class _CompleteResponse:
    """A complete response of a backend server."""

    __slots__ = ('body', 'head', 'held')

    def __init__(
        self,
        head: forwarding.ResponseHead,
        body: bytes,
        held: byte_budget.Reservation,
    ) -> None:
        self.head = head
        self.body = body
        # Memory of the body.
        self.held = held


class _SendHistory:
    """The attempts of one request so far."""

    __slots__ = (
        'attempts',
        'last_response',
        'may_have_run',
        'missed',
        'rate_limited',
        'replacement',
        'requests_sent',
        'reservations',
        'tried_ids',
    )

    def __init__(self) -> None:
        # Ids of the servers that were tried, in order.
        self.tried_ids: list[str] = []
        # Number of requests that were sent, to whatever server.
        self.requests_sent = 0
        # Number of these that count as attempts: all except those that another
        # server received in place of the intended one.
        self.attempts = 0
        # Number of missing servers: connections that did not open, and
        # responses from another server that has the address now.
        self.missed = 0
        # Response to the last request sent; None if there was none.
        self.last_response: _CompleteResponse | None = None
        # Server that gets the next attempt, which the retry budget has counted,
        # in place of one that did not respond; None if there is none.
        self.replacement: forwarding.Backend | None = None
        # Whether the send limits exclude all servers that are left.
        self.rate_limited = False
        # Whether a request without a response may have run.
        self.may_have_run = False
        # Memory of all responses.
        self.reservations: list[byte_budget.Reservation] = []

    def set_response(self, response: _CompleteResponse | None) -> None:
        """Replaces the last response, whose memory is no longer needed."""
        if self.last_response is not None:
            self.last_response.held.release()
        self.last_response = response


class PlainForwarder:
    """Serves requests of plain services, with retries where allowed."""

    __slots__ = (
        '_byte_budget',
        '_clock',
        '_crash_probe',
        '_on_completed',
        '_owner',
        '_retry_budgets',
        '_rng',
        '_send_limits',
        '_workers',
    )

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        workers: ports.ServerClient,
        budgets: router_retry_budgets.RouterRetryBudgets,
        send_limits: sendlimits.SendLimits,
        crash_probe: crash_detection.CrashDetector,
        budget: byte_budget.ByteBudget,
        on_completed: routed_request.OnCompleted,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._retry_budgets = budgets
        self._send_limits = send_limits
        self._crash_probe = crash_probe
        # Bytes of the responses that are held.
        self._byte_budget = budget
        # Called with a request that completed successfully.
        self._on_completed = on_completed
        self._clock = clock
        self._rng = rng

    def serve(self, req: routed_request.RoutedRequest) -> None:
        """Serves one request; returns after its final response is sent."""
        self._retry_budgets.record_first_attempt(req.service.name)
        history = _SendHistory()
        try:
            while self._try_server(req, history):
                pass
        finally:
            for held in history.reservations:
                held.release()

    def _try_server(
        self, req: routed_request.RoutedRequest, history: _SendHistory
    ) -> bool:
        """Sends the request to one server; returns whether to try another."""
        if req.check_disconnected():
            req.refuse(codes.CANCELLED if history.attempts else codes.GONE)
            return False
        server = history.replacement or self._next_server(req, history)
        history.replacement = None
        if server is None:
            self._end_without_server(req, history)
            return False
        history.tried_ids.append(server.id)
        outcome = self._send(req, history, server)
        if isinstance(outcome, _CompleteResponse):
            return self._on_response(req, history, outcome)
        return self._on_error(req, history, outcome)

    def _on_response(
        self,
        req: routed_request.RoutedRequest,
        history: _SendHistory,
        response: _CompleteResponse,
    ) -> bool:
        history.requests_sent += 1
        if response.head.replaces(history.tried_ids[-1]):
            history.missed += 1
        else:
            history.attempts += 1
        history.set_response(response)
        if self._should_retry(req, response, history.attempts):
            req.log(
                'answer put aside',
                server=history.tried_ids[-1],
                status=response.head.status,
                ran=response.head.ran,
            )
            return True
        self._send_response(req, response)
        return False

    def _on_error(
        self,
        req: routed_request.RoutedRequest,
        history: _SendHistory,
        exc: errors.PortError,
    ) -> bool:
        if isinstance(exc, errors.UnreachableError):
            history.missed += 1
            return True
        history.requests_sent += 1
        history.attempts += 1
        history.set_response(None)
        history.may_have_run = True
        if req.caller_disconnected.is_set():
            req.refuse(codes.CANCELLED)
            return False
        if not req.route.repeatable:
            self._send_failure(req)
            return False
        return True

    def _next_server(
        self, req: routed_request.RoutedRequest, history: _SendHistory
    ) -> forwarding.Backend | None:
        """Returns the server for the next attempt, or None."""
        if req.find_quarantine():
            return None
        server = self._choose_server(req, history)
        if server is None or not self._may_send(req, history, server):
            return None
        return server

    def _choose_server(
        self, req: routed_request.RoutedRequest, history: _SendHistory
    ) -> forwarding.Backend | None:
        """Returns the best untried server within its send limit, or None."""
        service = req.service.name
        repeatable = req.route.repeatable

        def rank(
            state: router_state.RouterState, now: float
        ) -> list[forwarding.Backend]:
            candidates = state.fleet.candidates(
                service, now, avoid=history.tried_ids, repeatable=repeatable
            )
            return [candidate.backend for candidate in candidates]

        servers = self._owner.run(rank)
        for server in servers:
            if self._send_limits.acquire(server.id):
                return server
        history.rate_limited = bool(servers)
        return None

    def _may_send(
        self,
        req: routed_request.RoutedRequest,
        history: _SendHistory,
        server: forwarding.Backend,
    ) -> bool:
        if (
            history.missed >= MAX_MISSED_SERVERS
            or req.time_left_s() < routed_request.MIN_SEND_TIME_S
        ):
            return False
        if not history.requests_sent:
            return True
        if history.attempts >= req.route.max_attempts:
            return False
        return self._acquire_retry(req, server)

    def _acquire_retry(
        self, req: routed_request.RoutedRequest, server: forwarding.Backend
    ) -> bool:
        allowed = self._retry_budgets.acquire(req.service.name, req.deadline)
        req.log('retry', server=server.id, allowed=allowed)
        if allowed:
            req.request_metrics.retries.add(1, req.service.name)
        return allowed

    def _send(
        self,
        req: routed_request.RoutedRequest,
        history: _SendHistory,
        server: forwarding.Backend,
    ) -> _CompleteResponse | errors.PortError:
        """Sends the request once.

        Returns:
            The complete response, or an error whose class tells whether
            anything was sent.
        """
        left_s = req.time_left_s()
        flight = self._workers.forward(
            req.caller_request, server, left_s, repeatable=req.route.repeatable
        )

        def record_sent(
            state: router_state.RouterState, now: float
        ) -> int | None:
            state.fleet.record_sent(server.id)
            return state.list_age_ms(now)

        req.log(
            'sent',
            server=server.id,
            attempt=history.attempts + 1,
            fingerprint=fingerprint.to_text(req.fingerprint),
            list_age_ms=self._owner.run(record_sent),
        )
        began_at = self._clock()
        sent_at = math.inf
        head: forwarding.ResponseHead | None = None
        is_to_blame = True
        held = self._byte_budget.for_response(flight.cancel)
        history.reservations.append(held)
        try:
            req.set_flight(flight)
            flight.send(left_s)
            sent_at = self._clock()
            req.log_relayed(server.id, flight.via)
            self._await_response(req, history, flight)
            head = flight.read_head(req.time_left_s())
            if not head.matches:
                raise errors.NoReplyError('response to another request')
            body = self._read_body(flight, req, server, held)
            return _CompleteResponse(head, body, held)
        except errors.PortError as exc:
            held.release()
            req.log(
                'send failed',
                server=server.id,
                error=str(exc),
                **(head.log_fields() if head is not None else {}),
            )
            self._crash_probe.handle_send_error(
                req, server, exc, began_at=began_at
            )
            head = None
            is_to_blame = not isinstance(exc, errors.NoPathError)
            return exc
        finally:
            req.set_flight(None)
            flight.close()
            self._record_outcome(
                req,
                server,
                head,
                self._clock() - began_at,
                sent_at=sent_at,
                is_to_blame=is_to_blame,
            )

    def _read_body(
        self,
        flight: ports.ServerExchange,
        req: routed_request.RoutedRequest,
        server: forwarding.Backend,
        held: byte_budget.Reservation,
    ) -> bytes:
        """Reads a complete response body; see the function."""
        try:
            return _read_body(flight, req, held)
        except errors.PortError:
            if held.was_refused():
                budget = self._byte_budget
                req.request_metrics.refused_bodies.add(1, 'response')
                req.log(
                    'response refused',
                    server=server.id,
                    bytes=held.length,
                    held=budget.used,
                    limit=int(budget.limit),
                )
            raise

    def _await_response(
        self,
        req: routed_request.RoutedRequest,
        history: _SendHistory,
        flight: ports.ServerExchange,
    ) -> None:
        """Waits for a response until another server should get the request.

        A server that no other may replace keeps the request: its response may
        still come.

        Raises:
            errors.NoReplyError: No response came, and another server is set as
                the replacement.
        """
        attempts_left = req.route.max_attempts - history.attempts - 1
        if not req.route.repeatable or attempts_left <= 0:
            return
        stall_s = max(MIN_STALL_S, STALL_TARGET_FACTOR * req.route.target_s)
        while req.time_left_s() > stall_s and not flight.await_response(
            stall_s
        ):
            history.replacement = self._choose_replacement(req, history)
            if history.replacement is not None:
                raise errors.NoReplyError('no response in time')

    def _choose_replacement(
        self, req: routed_request.RoutedRequest, history: _SendHistory
    ) -> forwarding.Backend | None:
        """Returns a server to retry at, counted as a retry, or None."""
        if (
            req.find_quarantine()
            or req.caller_disconnected.is_set()
            or req.time_left_s() < routed_request.MIN_SEND_TIME_S
        ):
            return None
        server = self._choose_server(req, history)
        if server is None or not self._acquire_retry(req, server):
            return None
        return server

    def _record_outcome(
        self,
        req: routed_request.RoutedRequest,
        server: forwarding.Backend,
        head: forwarding.ResponseHead | None,
        duration_s: float,
        *,
        sent_at: float,
        is_to_blame: bool,
    ) -> None:
        """Records the outcome of a send.

        Args:
            req: The request.
            server: The server that it was sent to.
            head: Head of the response; None if there was no complete one.
            duration_s: Time of the send, seconds.
            sent_at: When all of it was sent, seconds.
            is_to_blame: Whether the lack of a response counts as a failure of
                the server.
        """

        def update(state: router_state.RouterState, now: float) -> None:
            state.fleet.record_finished(server.id)
            if head is None:
                if is_to_blame and not req.is_abandoned():
                    state.record_plain_failure(server.id, now)
            elif head.ran == 'no':
                return
            elif head.status >= 500:
                state.record_plain_failure(server.id, now)
            else:
                state.failure_rates.record(server.id, failed=False)
                state.fleet.record_success(server.id, now, duration_s)
                state.fleet.uptimes.record(server.id, server.born, sent_at, now)

        self._owner.run(update)

    def _should_retry(
        self,
        req: routed_request.RoutedRequest,
        response: _CompleteResponse,
        attempts: int,
    ) -> bool:
        """Whether another server should be tried after this response."""
        if response.head.ran == 'no':
            return True
        return (
            response.head.status >= 500
            and req.route.repeatable
            and attempts < req.route.max_attempts
        )

    def _end_without_server(
        self, req: routed_request.RoutedRequest, history: _SendHistory
    ) -> None:
        last = history.last_response
        if last is not None and last.head.ran != 'no':
            self._send_response(req, last)
        elif history.may_have_run:
            self._send_failure(req)
        elif (entry := req.find_quarantine()) is not None:
            req.refuse_quarantined(entry)
        else:
            self._refuse(req, history)

    def _refuse(
        self, req: routed_request.RoutedRequest, history: _SendHistory
    ) -> None:
        """Refuses a request that no server accepts, with a retry delay."""
        name = req.service.name
        backoff_s = self._owner.run(
            lambda state, now: state.fleet.backoff_s(name, now)
        )
        code, reason = codes.BACKEND_REFUSED, ''
        if backoff_s:
            reason = 'backoff'
        elif history.rate_limited:
            reason = 'limited'
        elif history.requests_sent:
            reason = 'full'
        else:
            code = codes.NO_BACKEND
        if backoff_s:
            retry_s = retry_delays.retry_after_end_s(backoff_s, self._rng)
        else:
            left_s = req.time_left_s()
            retry_s = retry_delays.retry_after_s(
                FULL_SERVICE_S, left_s, self._rng
            )
        req.refuse(code, {'reason': reason} if reason else {}, retry_s)

    def _send_failure(self, req: routed_request.RoutedRequest) -> None:
        if req.time_left_s() < routed_request.MIN_SEND_TIME_S:
            limit_ms = int((req.deadline - req.started_at) * 1000)
            req.refuse(codes.TIMED_OUT, {'limit_ms': limit_ms})
        else:
            req.refuse(codes.UNKNOWN)

    def _send_response(
        self, req: routed_request.RoutedRequest, response: _CompleteResponse
    ) -> None:
        if response.head.ok:
            self._on_completed(
                req.fingerprint, req.service.name, req.prompt_parts
            )
        complete = req.exchange.respond(
            response.head.status, dict(response.head.headers), response.body
        )
        req.record_response(
            response.head.status,
            complete=complete,
            **response.head.log_fields(),
        )


def _read_body(
    flight: ports.ServerExchange,
    req: routed_request.RoutedRequest,
    held: byte_budget.Reservation,
) -> bytes:
    """Reads a complete response body.

    Raises:
        errors.NoReplyError: The body broke off, is too long, took too long, or
            no memory is left for it.
    """
    chunks = []
    size = 0
    try:
        while chunk := flight.read_chunk(req.time_left_s()):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise errors.NoReplyError(
                    f'response body exceeds {MAX_RESPONSE_BYTES} bytes'
                )
            if not held.grow(size):
                raise errors.NoReplyError(
                    f'no memory for {size} bytes of the response body'
                )
            if req.is_overdue():
                raise errors.NoReplyError('response body not complete in time')
    except errors.PortError:
        # The traceback would keep them.
        chunks.clear()
        raise
    held.keep()
    return b''.join(chunks)
