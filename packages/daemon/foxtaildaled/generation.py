"""Serves requests for model engines: placement, prefill, transfer and stream.

`placement_finder` finds a placement at a decode worker first, since the prefill
of a prompt without a placement would be wasted. `prefill_clients` then has the
prompt prefilled, and the decode worker fetches it and streams the response.
Events are relayed to the caller as soon as they are complete. A broken stream
is resumed at another worker if the route allows that.
"""

from collections.abc import Iterator
import contextlib
import random
from typing import Final

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale import retry_delays
from foxtaildale import routes
from foxtaildale import sse
from foxtaildale_adapters import byte_budget
from foxtaildaled import actors
from foxtaildaled import attempt_state
from foxtaildaled import crash_detection
from foxtaildaled import origin_finder
from foxtaildaled import placement_finder
from foxtaildaled import prefill_clients
from foxtaildaled import routed_request
from foxtaildaled import router_retry_budgets
from foxtaildaled import router_state

# Silence after which the caller of a stream disconnects: the longest of this
# time, seconds, and these multiples of the target of the first event and of the
# longest pause between events that still meets the target.
CALLER_SILENCE_S: Final = 2.0
CALLER_SILENCE_TARGETS: Final = 4.0
CALLER_SILENCE_GAPS: Final = 8.0
# Part of that silence after which another worker is looked for; the rest is for
# the placement, the prefill and the first event there.
STALL_FRACTION: Final = 0.55
# Minimum time until then, seconds. A sound worker may be silent for a second
# or so.
MIN_STALL_S: Final = 1.5
# Maximum number of connections to decode workers that may fail to open before a
# request is refused. Nothing was sent over them, so they don't spend the retry
# budget. All VMs know of a crashed engine a few milliseconds after two VMs have
# failed to connect to it.
MAX_UNOPENED_CONNECTIONS: Final = 4
# Assumed time for which a full service stays full, seconds: some responses end
# in that time.
FULL_SERVICE_S: Final = 0.8


class Generation:
    """Serves requests for model engines; resumes them where allowed."""

    __slots__ = (
        '_byte_budget',
        '_cleanup',
        '_clock',
        '_crash_probe',
        '_on_completed',
        '_origins',
        '_owner',
        '_placements',
        '_prefill_client',
        '_retry_budgets',
        '_rng',
        '_workers',
    )

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        workers: ports.ServerClient,
        budgets: router_retry_budgets.RouterRetryBudgets,
        placements: placement_finder.PlacementFinder,
        origins: origin_finder.OriginFinder,
        prefill_client: prefill_clients.PrefillClient,
        cleanup: ports.ResourceReleaser,
        crash_probe: crash_detection.CrashDetector,
        budget: byte_budget.ByteBudget,
        on_completed: routed_request.OnCompleted,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._retry_budgets = budgets
        self._placements = placements
        self._origins = origins
        self._prefill_client = prefill_client
        self._cleanup = cleanup
        self._crash_probe = crash_probe
        # Bytes of the error responses that are read.
        self._byte_budget = budget
        # Called with a request that completed successfully.
        self._on_completed = on_completed
        self._clock = clock
        self._rng = rng

    def serve(self, req: routed_request.RoutedRequest) -> None:
        """Serves one request; returns after its final response is sent."""
        response = attempt_state.ResponseState(req.caller_request.after_event)
        sent_ids: list[str] = []
        try:
            self._origins.bind(req)
            self._retry_budgets.record_first_attempt(req.service.name)
            while not self._run_attempt(req, response, sent_ids):
                self._check_retry(req, response)
        except attempt_state.RequestRefused as exc:
            self._send_failure(req, response, exc)
        finally:
            if response.replacement is not None:
                self._placements.release(req, response.replacement)
            if response.prefilled is not None:
                self._cleanup.release_prefill(response.prefilled)
                req.request_metrics.wasted_prefill_tokens.add(
                    req.caller_request.prompt_tokens, req.service.name
                )

    def _check_retry(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
    ) -> None:
        """Checks that another attempt is allowed; spends the retry budget.

        Raises:
            attempt_state.RequestRefused: No further attempt is allowed.
        """
        if response.replacement is not None:
            # It was counted when it was found.
            return
        if response.unsent:
            response.unsent = False
            if response.unopened_connections < MAX_UNOPENED_CONNECTIONS:
                return
            raise attempt_state.RequestRefused(
                *response.unfinished_code('no connection opened')
            )
        allowed = self._retry_budgets.acquire(req.service.name, req.deadline)
        req.log('retry', allowed=allowed)
        if not allowed:
            raise attempt_state.RequestRefused(*response.unfinished_code())
        req.request_metrics.retries.add(1, req.service.name)

    def _run_attempt(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        sent_ids: list[str],
    ) -> bool:
        """Makes one attempt; returns False if another one should follow.

        Raises:
            attempt_state.RequestRefused: The request ends without another
                attempt.
        """
        req.caller_request.after_event = response.splitter.position
        began_at = self._clock()
        placement, response.replacement = response.replacement, None
        if placement is None:
            placement = self._placements.wait_for_placement(
                req, sent_ids, response_started=response.started
            )
        waited_s = self._clock() - began_at
        req.request_metrics.wait_seconds.observe((waited_s,), req.service.name)
        reservation = placement.reserved
        tokens = reservation.tokens
        reservation_used = False
        self._owner.run(
            lambda state, _: state.fleet.record_sent(
                reservation.worker.id, tokens
            )
        )
        try:
            self._prefill_client.ensure_prefilled(req, placement, response)
            attempt_state.check_quarantined(req.find_quarantine())
            if req.check_disconnected():
                raise attempt_state.RequestRefused(
                    codes.CANCELLED if sent_ids else codes.GONE
                )
            if not self._placements.is_accepting(reservation.worker):
                req.log('place given up', server=reservation.worker.id)
                response.unsent = True
                response.unopened_connections += 1
                return False
            reservation_used = True
            if reservation.worker.id not in sent_ids:
                sent_ids.append(reservation.worker.id)
            return self._decode(req, response, placement, sent_ids)
        finally:
            if not reservation_used and reservation.hold:
                self._cleanup.release_reservation(reservation)
            self._owner.run(
                lambda state, _: state.fleet.record_finished(
                    reservation.worker.id, tokens
                )
            )
            self._placements.release(req, placement)

    def _decode(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        placement: attempt_state.AttemptPlacement,
        sent_ids: list[str],
    ) -> bool:
        reservation = placement.reserved
        prefilled = response.prefilled
        server = reservation.worker
        left_s = req.time_left_s()
        flight = self._workers.decode(
            req.caller_request,
            reservation,
            prefilled,
            left_s,
            repeatable=req.route.resumable,
        )
        req.log(
            'sent',
            server=server.id,
            software=server.version,
            attempt=len(sent_ids),
            fingerprint=fingerprint.to_text(req.fingerprint),
            parts=fingerprint.to_texts(req.prompt_parts),
            list_age_ms=self._owner.run(
                lambda state, now: state.list_age_ms(now)
            ),
        )
        first_position = response.splitter.position or 0
        began_at = self._clock()
        head: forwarding.ResponseHead | None = None
        head_at: float | None = None
        try:
            req.set_flight(flight)
            flight.send(left_s)
            sent_at = self._clock()
            req.log_relayed(server.id, flight.via)
            limit_s = self._await_data(req, response, flight, sent_ids)
            head = flight.read_head(limit_s)
            head_at = self._clock()
            if head.ran == 'no':
                placement.prefill_refused = not head.misdirected
                req.log('not run', server=server.id, status=head.status)
                if head.replaces(server.id):
                    self._placements.report_replaced(req, server)
                    # The request never reached the intended server.
                    sent_ids.remove(server.id)
                    return False
                if response.started or len(sent_ids) < req.route.max_attempts:
                    return False
                raise attempt_state.RequestRefused(
                    codes.BACKEND_REFUSED, reason='full'
                )
            response.prefilled = None
            if not head.matches:
                raise errors.NoReplyError('response to another request')
            if not head.ok:
                return self._relay_error(req, response, flight, head, sent_ids)
            response.server_version = server.version
            self._relay(req, response, flight, head, sent_ids)
            placement.complete = True
            if not req.crashed_stages - {server.stage}:
                self._on_completed(
                    req.fingerprint, req.service.name, req.prompt_parts
                )
        except errors.PortError as exc:
            self._crash_probe.handle_send_error(
                req,
                server,
                exc,
                began_at=began_at if head_at is None else head_at,
                may_have_begun=head_at is not None,
            )
            req.log(
                'stream broken',
                server=server.id,
                error=str(exc),
                **(head.log_fields() if head is not None else {}),
            )
            return self._on_broken(req, response, server, exc, sent_ids)
        finally:
            req.set_flight(None)
            flight.close()
            placement.decode_s = self._clock() - began_at
            placement.event_count = (
                response.splitter.position or 0
            ) - first_position

        def record(state: router_state.RouterState, now: float) -> None:
            state.fleet.record_success(server.id, now)
            state.fleet.uptimes.record(server.id, server.born, sent_at, now)

        self._owner.run(record)
        return True

    def _relay(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        flight: ports.ServerExchange,
        head: forwarding.ResponseHead,
        sent_ids: list[str],
    ) -> None:
        """Relays complete events to the caller until the end of the stream.

        Raises:
            errors.NoReplyError: The stream broke off, or the caller has
                disconnected.
            attempt_state.RequestRefused: The stream may not begin.
        """
        splitter = response.splitter
        splitter.discard_incomplete_event()
        block_count = 0
        with self._event_memory(req, splitter, flight, sent_ids[-1]) as held:
            while True:
                limit_s = self._await_data(req, response, flight, sent_ids)
                chunk = flight.read_chunk(limit_s)
                if not chunk:
                    break
                # Each read may return buffered bytes at once, whatever its limit.
                if req.is_overdue():
                    raise errors.NoReplyError(
                        'the stream outlasts its deadline'
                    )
                complete_events = splitter.feed(chunk)
                size = len(complete_events) + splitter.incomplete_bytes
                if not held.grow(size):
                    raise errors.NoReplyError(
                        f'no memory for {size} bytes of events'
                    )
                if not complete_events:
                    continue
                if not response.started:
                    self._start_response(req, response, head)
                block_count += 1
                if not req.exchange.send(complete_events):
                    req.caller_disconnected.set()
                    raise errors.NoReplyError('the caller has disconnected')
                if splitter.incomplete_bytes <= byte_budget.SMALL_BYTES:
                    held.release()
        if splitter.has_incomplete_event:
            raise errors.NoReplyError('the stream ended within an event')
        if not response.started:
            self._start_response(req, response, head)
        complete = req.exchange.finish()
        req.record_response(
            head.status,
            complete=complete,
            blocks=block_count,
            position=splitter.position,
            **head.log_fields(),
        )

    @contextlib.contextmanager
    def _event_memory(
        self,
        req: routed_request.RoutedRequest,
        splitter: sse.Splitter,
        flight: ports.ServerExchange,
        server: str,
    ) -> Iterator[byte_budget.Reservation]:
        """Counts the memory of what was read of a stream and not sent yet.

        Other responses may take it, which breaks the stream off.
        """
        with self._byte_budget.for_response(flight.cancel) as held:
            try:
                yield held
            except errors.PortError:
                if held.was_refused():
                    splitter.discard_incomplete_event()
                    req.request_metrics.refused_bodies.add(1, 'response')
                    req.log(
                        'response refused',
                        server=server,
                        bytes=held.length,
                        held=self._byte_budget.used,
                        limit=int(self._byte_budget.limit),
                    )
                raise

    def _start_response(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        head: forwarding.ResponseHead,
    ) -> None:
        self._origins.record_first_event(req, response.server_version)
        response.started = True
        req.log('first event', software=response.server_version)
        req.request_metrics.first_answer_seconds.observe(
            (req.age_s(),), req.service.name
        )
        if not req.exchange.start(head.status, dict(head.headers)):
            req.caller_disconnected.set()
            raise errors.NoReplyError('the caller has disconnected')

    def _relay_error(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        flight: ports.ServerExchange,
        head: forwarding.ResponseHead,
        sent_ids: list[str],
    ) -> bool:
        """Handles an error response of the worker.

        Returns:
            True; the error was sent to the caller.

        Raises:
            errors.NoReplyError: The request should be resumed at another
                worker instead, or a part of the response was sent before.
        """
        with self._byte_budget.for_response(flight.cancel) as held:
            body = prefill_clients.read_body(
                flight, req.time_left_s(), self._clock, held
            )
            if response.started or (
                head.status >= 500 and self._may_resume(req, sent_ids)
            ):
                raise errors.NoReplyError(f'status {head.status}')
            complete = req.exchange.respond(
                head.status, dict(head.headers), body
            )
        req.record_response(head.status, complete=complete, **head.log_fields())
        return True

    def _on_broken(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        server: forwarding.Backend,
        exc: errors.PortError,
        sent_ids: list[str],
    ) -> bool:
        if not isinstance(exc, errors.UnreachableError):
            # The worker may have fetched the prompt and started.
            response.prefilled = None
            response.may_have_run = True
        if req.caller_disconnected.is_set():
            raise attempt_state.RequestRefused(codes.CANCELLED) from exc
        if not isinstance(exc, errors.NoPathError) and not req.is_abandoned():
            self._placements.record_failure(req, server)
        if isinstance(exc, errors.UnreachableError):
            # Nothing was sent, so this does not count as an attempt.
            sent_ids.remove(server.id)
            response.unsent = True
            response.unopened_connections += 1
            return False
        if not self._may_resume(req, sent_ids):
            if req.time_left_s() < routed_request.MIN_SEND_TIME_S:
                limit_ms = int((req.deadline - req.started_at) * 1000)
                raise attempt_state.RequestRefused(
                    codes.TIMED_OUT, limit_ms=limit_ms
                ) from exc
            raise attempt_state.RequestRefused(codes.BROKEN) from exc
        return False

    def _may_resume(
        self, req: routed_request.RoutedRequest, sent_ids: list[str]
    ) -> bool:
        return (
            req.route.resumable
            and len(sent_ids) < req.route.max_attempts
            and req.time_left_s() > routed_request.MIN_SEND_TIME_S
        )

    def _await_data(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        flight: ports.ServerExchange,
        sent_ids: list[str],
    ) -> float:
        """Waits for data until another worker should resume the stream.

        A silent worker that no other may replace keeps the stream: its data may
        still come.

        Returns:
            The time limit for the rest of what has begun to arrive, seconds.

        Raises:
            errors.NoReplyError: No data came, and another placement is set as
                the replacement.
        """
        stall_s = _stall_s(req.route)
        while self._may_resume(req, sent_ids) and req.time_left_s() > stall_s:
            if flight.await_response(stall_s):
                return stall_s
            if self._find_replacement(req, response, sent_ids):
                raise errors.NoReplyError('no data in time')
        return req.time_left_s()

    def _find_replacement(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        sent_ids: list[str],
    ) -> bool:
        """Looks for another placement; returns whether one is set."""
        if req.caller_disconnected.is_set() or req.find_quarantine():
            return False
        req.caller_request.after_event = response.splitter.position
        placement = self._placements.try_placement(req, sent_ids)
        if placement is None:
            return False
        allowed = self._retry_budgets.acquire(req.service.name, req.deadline)
        req.log('retry', allowed=allowed)
        if not allowed:
            self._placements.release(req, placement)
            return False
        req.request_metrics.retries.add(1, req.service.name)
        response.replacement = placement
        return True

    def _send_failure(
        self,
        req: routed_request.RoutedRequest,
        response: attempt_state.ResponseState,
        exc: attempt_state.RequestRefused,
    ) -> None:
        if response.started:
            # The connection is cut, so that the caller does not take a partial
            # response for a complete one.
            req.log('failed', code=exc.code.name, status=exc.code.status)
            req.request_metrics.requests.add(1, req.service.name, exc.code.name)
            req.exchange.abort()
            return
        if response.may_have_run and exc.code.ran == 'no':
            # The last attempt did not run, but the code is reported for the
            # whole request, and an earlier attempt of it may have run.
            exc = attempt_state.RequestRefused(codes.BROKEN)
        retry_s = 0.0
        if exc.retry_after_s:
            retry_s = retry_delays.retry_after_end_s(
                exc.retry_after_s, self._rng
            )
        elif exc.code.ran == 'no' and exc.code is not codes.STOPPING:
            wait_ms = exc.figures.get('wait_ms', 0)
            wait_s = max(FULL_SERVICE_S, float(wait_ms) / 1000)
            retry_s = retry_delays.retry_after_s(
                wait_s, req.time_left_s(), self._rng
            )
        req.refuse(exc.code, exc.figures, retry_s)


def _stall_s(route: routes.Route) -> float:
    """Returns the silence after which another worker is looked for, seconds."""
    caller_silence_s = max(
        CALLER_SILENCE_S,
        CALLER_SILENCE_TARGETS * route.target_s,
        CALLER_SILENCE_GAPS * route.gap_s,
    )
    return max(MIN_STALL_S, STALL_FRACTION * caller_silence_s)
