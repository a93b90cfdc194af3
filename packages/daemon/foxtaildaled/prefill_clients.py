"""Prefills the prompt of a request at a prefill worker."""

from collections.abc import Callable
import time
from typing import Final

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale_adapters import byte_budget
from foxtaildaled import actors
from foxtaildaled import attempt_state
from foxtaildaled import crash_detection
from foxtaildaled import routed_request
from foxtaildaled import router_retry_budgets
from foxtaildaled import router_state
from foxtaildaled import sendlimits

# Maximum time of a prefill, seconds. A long prompt that is queued behind some
# others takes less; a worker that takes longer is dead or unreachable.
MAX_PREFILL_S: Final = 1.5
# Maximum number of prefill attempts for one attempt of a request. Each attempt
# that fails also spends one retry of the service's budget.
MAX_PREFILL_ATTEMPTS: Final = 3
# Part of the lifetime of a prefilled prompt in which it is offered to a decode
# worker again. The rest covers the network delay to the worker that holds it.
USABLE_TTL_FRACTION: Final = 0.7
# Maximum size of the result of a prefill and of an error response, bytes.
MAX_SMALL_BODY_BYTES: Final = 1024 * 1024


# Called when a server has failed a request, or when another server has its
# address.
ServerCallback = Callable[
    [routed_request.RoutedRequest, forwarding.Backend], None
]


class PrefillClient:
    """Sends the prompts of requests to prefill workers."""

    __slots__ = (
        '_byte_budget',
        '_clock',
        '_crash_probe',
        '_on_failed',
        '_on_replaced',
        '_owner',
        '_retry_budgets',
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
        clock: ports.Clock,
        on_failed: ServerCallback,
        on_replaced: ServerCallback,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._retry_budgets = budgets
        self._send_limits = send_limits
        self._crash_probe = crash_probe
        # Bytes of the results that are read.
        self._byte_budget = budget
        self._clock = clock
        self._on_failed = on_failed
        self._on_replaced = on_replaced

    def ensure_prefilled(
        self,
        req: routed_request.RoutedRequest,
        placement: attempt_state.AttemptPlacement,
        response: attempt_state.ResponseState,
    ) -> None:
        """Prefills the prompt, unless a prefill worker still holds it.

        A decode worker that was unreachable, or had no free memory, has not
        fetched the prefilled prompt; a second prefill would be wasted.

        Raises:
            attempt_state.RequestRefused: The retry budget allows no further
                prefill.
        """
        prefilled = response.prefilled
        if prefilled is not None and self._has_restarted(prefilled.worker):
            response.prefilled = None
        age_s = self._clock() - response.prefilled_at
        ttl_s = req.service.handle_s * USABLE_TTL_FRACTION
        if response.prefilled is not None and age_s < ttl_s:
            req.log('prompt kept', held_ms=int(age_s * 1000))
            return
        if placement.local_prefill:
            response.prefilled = None
            return
        if response.prefill_count and not self._retry_budgets.acquire(
            req.service.name, req.deadline
        ):
            raise attempt_state.RequestRefused(*response.unfinished_code())
        response.prefilled = self._prefill(req, placement, response)
        response.prefilled_at = self._clock()
        response.prefill_count += response.prefilled is not None

    def _has_restarted(self, worker: forwarding.Backend) -> bool:
        """Whether a worker has restarted, and so has lost its prompts."""
        return self._owner.run(
            lambda state, _: state.fleet.started_at(worker.id) > worker.born
        )

    def _prefill(
        self,
        req: routed_request.RoutedRequest,
        placement: attempt_state.AttemptPlacement,
        response: attempt_state.ResponseState,
    ) -> forwarding.Prefilled | None:
        """Prefills the prompt at a prefill worker.

        Returns:
            The prefilled prompt; None if the decode worker must prefill it.

        Raises:
            attempt_state.RequestRefused: The retry budget allows no attempt
                after one that failed, or the request is quarantined.
        """
        tried: list[str] = []
        while len(tried) < MAX_PREFILL_ATTEMPTS:
            preferred = None if tried else placement.prefill_worker
            server = self._choose_worker(req, tried, preferred)
            if server is None:
                return None
            attempt_state.check_quarantined(req.find_quarantine())
            tried.append(server.id)
            began_at = self._clock()
            prefilled, was_sent = self._prefill_at(req, server)
            placement.prefill_s = self._clock() - began_at if prefilled else 0.0
            if prefilled is not None or req.caller_disconnected.is_set():
                return prefilled
            # The next send, another prefill or a local prefill of the decode
            # worker, is a retry of this request.
            if was_sent and not self._retry_budgets.acquire(
                req.service.name, req.deadline
            ):
                raise attempt_state.RequestRefused(*response.unfinished_code())
        return None

    def _choose_worker(
        self,
        req: routed_request.RoutedRequest,
        tried: list[str],
        preferred: forwarding.Backend | None,
    ) -> forwarding.Backend | None:
        """Returns a prefill worker that may be sent a request now.

        Args:
            req: The request.
            tried: Ids of the workers that have been tried.
            preferred: The preferred worker; None for no preference.

        Returns:
            The first one that the send limits allow, with the preferred worker
            before all others; None if there is none.
        """
        if not req.service.kv_tokens:
            return None

        def candidates(
            state: router_state.RouterState, now: float
        ) -> list[forwarding.Backend]:
            servers = [
                candidate.backend
                for candidate in state.fleet.candidates(
                    req.service.name, now, 'prefill', tried
                )
            ]
            if preferred is not None:
                servers.sort(key=lambda server: server.id != preferred.id)
            return servers

        for server in self._owner.run(candidates):
            if self._send_limits.acquire(server.id):
                return server
        return None

    def _prefill_at(
        self, req: routed_request.RoutedRequest, server: forwarding.Backend
    ) -> tuple[forwarding.Prefilled | None, bool]:
        """Returns the prefilled prompt, if any, and whether it was sent."""
        left_s = min(req.time_left_s(), MAX_PREFILL_S)
        flight = self._workers.prefill(req.caller_request, server, left_s)
        self._owner.run(lambda state, _: state.fleet.record_sent(server.id))
        began_at = self._clock()
        held = self._byte_budget.for_response(flight.cancel)
        try:
            req.set_flight(flight)
            flight.send(left_s)
            sent_at = self._clock()
            req.log_relayed(server.id, flight.via)
            head = flight.read_head(left_s)
            body = read_body(flight, left_s, self._clock, held)
            if head.ran == 'no':
                if head.replaces(server.id):
                    self._on_replaced(req, server)
                req.log('prefill refused', server=server.id, status=head.status)
                return None, True
            if not (head.ok and head.matches):
                raise errors.NoReplyError(f'status {head.status}')
            handle = self._workers.decode_handle(body)
        except (errors.PortError, errors.DecodeError) as exc:
            req.log('prefill failed', server=server.id, error=str(exc))
            if isinstance(exc, errors.PortError):
                self._crash_probe.handle_send_error(
                    req, server, exc, began_at=began_at
                )
            if (
                not isinstance(exc, errors.NoPathError)
                and not req.is_abandoned()
            ):
                self._on_failed(req, server)
            return None, not isinstance(exc, errors.UnreachableError)
        finally:
            req.set_flight(None)
            flight.close()
            held.release()
            self._owner.run(
                lambda state, _: state.fleet.record_finished(server.id)
            )
        duration_s = self._clock() - began_at

        def record(state: router_state.RouterState, now: float) -> None:
            state.fleet.record_success(server.id, now, duration_s)
            state.fleet.uptimes.record(server.id, server.born, sent_at, now)

        self._owner.run(record)
        req.log('prefilled', server=server.id, took_ms=int(duration_s * 1000))
        name = req.service.name
        req.request_metrics.prefill_seconds.observe((duration_s,), name)
        req.request_metrics.prefill_tokens.add(
            req.caller_request.prompt_tokens, name
        )
        return forwarding.Prefilled(server, handle), True


def read_body(
    flight: ports.ServerExchange,
    timeout_s: float,
    clock: ports.Clock = time.monotonic,
    held: byte_budget.Reservation | None = None,
) -> bytes:
    """Reads a complete body that is known to be small.

    Args:
        flight: The exchange, behind the head of its response.
        timeout_s: Time for the complete body, seconds.
        clock: Returns the time, seconds.
        held: Gets the memory of the body; None if it is not counted.

    Raises:
        errors.NoReplyError: The body broke off, is too long, took too long, or
            no memory is left for it.
    """
    deadline = clock() + timeout_s
    chunks = []
    size = 0
    try:
        while chunk := flight.read_chunk(deadline - clock()):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_SMALL_BODY_BYTES:
                raise errors.NoReplyError(
                    f'response body exceeds {MAX_SMALL_BODY_BYTES} bytes'
                )
            if held is not None and not held.grow(size):
                raise errors.NoReplyError(
                    f'no memory for a response body of {size} bytes'
                )
            if clock() > deadline:
                raise errors.NoReplyError('response body not complete in time')
    except errors.PortError:
        # The traceback would keep them.
        chunks.clear()
        raise
    if held is not None:
        held.keep()
    return b''.join(chunks)
