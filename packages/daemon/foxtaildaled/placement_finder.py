"""Obtains a placement at a decode worker for a request.

The coordinator of the service plans for all entry VMs. If no coordinator
replies, memory is reserved at the worker itself, which alone knows how much it
has. A request that has used all attempts of its route returns to the workers
that it was sent to.
"""

import itertools
import math
from typing import Final

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import routes
from foxtaildale import wait_limits
from foxtaildaled import actors
from foxtaildaled import attempt_state
from foxtaildaled import local_queue
from foxtaildaled import placement_client
from foxtaildaled import routed_request
from foxtaildaled import router_state
from foxtaildaled import sendlimits
from foxtaildaled import token_times

# Maximum number of decode workers that one attempt asks for a reservation.
MAX_RESERVATION_REQUESTS: Final = 3


class PlacementFinder:
    """Requests placements from the coordinator, otherwise from the workers."""

    __slots__ = (
        '_client',
        '_clock',
        '_entry_vm',
        '_local_queue',
        '_owner',
        '_request_numbers',
        '_send_limits',
        '_token_times',
        '_workers',
    )

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        workers: ports.ServerClient,
        client: placement_client.PlacementClient,
        send_limits: sendlimits.SendLimits,
        times: token_times.TokenTimes,
        entry_vm: str,
        clock: ports.Clock,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._client = client
        self._send_limits = send_limits
        self._token_times = times
        self._entry_vm = entry_vm
        self._clock = clock
        self._local_queue = local_queue.LocalQueue()
        # Numbers the placement requests. The release of a placement may reach
        # the coordinator after the next placement request for the same caller
        # request, and must not release what that one was granted.
        self._request_numbers = itertools.count()

    def wait_for_placement(
        self,
        req: routed_request.RoutedRequest,
        sent: list[str],
        *,
        response_started: bool = False,
    ) -> attempt_state.AttemptPlacement:
        """Waits for a placement.

        Args:
            req: The request.
            sent: Ids of the servers that it was sent to.
            response_started: Whether its caller has received part of the
                response.

        Raises:
            attempt_state.RequestRefused: No placement became available in time,
                or the response may be cut by the end of this process.
        """
        if len(sent) < req.route.max_attempts and req.service.kv_tokens:
            spot = self._coordinated_spot(req, sent, started=response_started)
            if spot is not None:
                return spot
        if req.must_finish and not response_started and self._may_be_cut(req):
            raise attempt_state.RequestRefused(codes.STOPPING)
        return attempt_state.AttemptPlacement(self._reserve(req, sent))

    def try_placement(
        self, req: routed_request.RoutedRequest, sent: list[str]
    ) -> attempt_state.AttemptPlacement | None:
        """Returns a placement for a response that has started, without waiting.

        Args:
            req: The request.
            sent: Ids of the servers that it was sent to, which are excluded.

        Returns:
            None if the coordinator grants none at once.
        """
        name = f'{req.caller_request.id}/{next(self._request_numbers)}'
        faulty = self._owner.run(
            lambda state, now: state.fleet.faulty(
                req.service.name, now, req.software_version
            )
        )
        avoided = (*sent, *faulty, *self._send_limits.exhausted_servers())
        started_at = self._clock()
        msg = self._placement_request(req, name, avoided, started=True)
        reply = self._client.request(msg)
        spot = None
        if isinstance(reply, messages.PlacementGrant):
            waited_s = self._clock() - started_at
            spot = self._accept_placement(req, msg, reply, waited_s)
        if spot is None and reply is not None:
            self._client.release(
                messages.PlacementRelease(
                    service=req.service.name, request=name
                )
            )
        return spot

    def release(
        self,
        req: routed_request.RoutedRequest,
        spot: attempt_state.AttemptPlacement,
    ) -> None:
        """Releases a placement and reports what was measured there."""
        self._local_queue.notify_released()
        output_tokens = spot.event_count * req.service.event_tokens
        if spot.complete and output_tokens and spot.decode_s:
            self._token_times.record(
                req.service.name,
                spot.reserved.worker.id,
                spot.decode_s / output_tokens,
            )
        if not spot.plan_request:
            return
        self._client.release(
            messages.PlacementRelease(
                service=req.service.name,
                request=spot.plan_request,
                prefill_ms=int(spot.prefill_s * 1000),
                decode_ms=int(spot.decode_s * 1000),
                output_tokens=output_tokens,
                complete=spot.complete,
                prefill_rejected=spot.prefill_refused,
            )
        )

    def is_accepting(self, server: forwarding.Backend) -> bool:
        """Whether a chosen server still accepts requests, at its version."""
        usable = self._owner.run(
            lambda state, now: state.fleet.usable(server.id, now)
        )
        return usable is not None and usable.version == server.version

    def record_failure(
        self, req: routed_request.RoutedRequest, server: forwarding.Backend
    ) -> None:
        """Records the failure of a server and reports it to the coordinator."""
        self._owner.run(
            lambda state, now: state.fleet.record_failure(server.id, now)
        )
        self._client.report_failure(req.service.name, server.id)

    def report_replaced(
        self, req: routed_request.RoutedRequest, server: forwarding.Backend
    ) -> None:
        """Reports that another server responded at a server's address.

        The list of servers still contains the removed server. Without the
        report, the coordinator would assign requests of all entry VMs to it
        until the list is updated.
        """
        self._client.report_failure(req.service.name, server.id, replaced=True)

    def check_servable(
        self, req: routed_request.RoutedRequest, sent: list[str]
    ) -> None:
        """Refuses a request that can no longer be served.

        Raises:
            attempt_state.RequestRefused: The caller disconnected, the time is
                used up, no server of the stream's software version is left, or
                all servers are in backoff.
        """
        if req.check_disconnected():
            raise attempt_state.RequestRefused(
                codes.CANCELLED if sent else codes.GONE
            )
        attempt_state.check_quarantined(req.find_quarantine())
        if req.time_left_s() < routed_request.MIN_SEND_TIME_S:
            limit_ms = int((req.deadline - req.started_at) * 1000)
            raise attempt_state.RequestRefused(
                codes.TIMED_OUT, limit_ms=limit_ms
            )
        stage = _stage(req.service)
        version = req.software_version

        def read_state(
            state: router_state.RouterState, now: float
        ) -> tuple[frozenset[str], float]:
            name = req.service.name
            return (
                state.fleet.servers_of_version(name, now, stage, version),
                state.fleet.backoff_s(name, now, stage, version),
            )

        servers, backoff_s = self._owner.run(read_state)
        if version and not servers:
            raise attempt_state.RequestRefused(
                codes.VERSION_GONE, software=version
            )
        has_attempts_left = len(sent) < req.route.max_attempts
        if version and has_attempts_left and servers.issubset(sent):
            raise attempt_state.RequestRefused(
                codes.BACKEND_REFUSED, 'no other server of its software version'
            )
        if backoff_s:
            raise attempt_state.RequestRefused(
                codes.BACKEND_REFUSED, 'backoff', retry_after_s=backoff_s
            )

    def _coordinated_spot(
        self,
        req: routed_request.RoutedRequest,
        sent: list[str],
        *,
        started: bool,
    ) -> attempt_state.AttemptPlacement | None:
        """Waits for a placement by the coordinator; None if none replies."""
        name = f'{req.caller_request.id}/{next(self._request_numbers)}'
        started_at = self._clock()
        avoid = list(sent)
        queued = False
        try:
            while True:
                self.check_servable(req, sent)
                faulty = self._owner.run(
                    lambda state, now: (
                        *state.fleet.faulty(
                            req.service.name, now, req.software_version
                        ),
                        *state.fleet.in_backoff(req.service.name, now),
                    )
                )
                avoided = (
                    *avoid,
                    *faulty,
                    *self._send_limits.exhausted_servers(),
                )
                msg = self._placement_request(
                    req, name, avoided, started=started
                )
                reply = self._client.request(msg)
                if reply is None:
                    return None
                if isinstance(reply, messages.PlacementGrant):
                    waited_s = self._clock() - started_at
                    spot = self._accept_placement(req, msg, reply, waited_s)
                    if spot is not None:
                        name = ''
                        return spot
                    # This entry VM has newer information: the worker is
                    # leaving, was removed, or has no send tokens left.
                    if (
                        reply.decode_worker
                        not in self._send_limits.exhausted_servers()
                    ):
                        avoid.append(reply.decode_worker)
                    self._client.release(
                        messages.PlacementRelease(
                            service=req.service.name, request=name
                        )
                    )
                    name = (
                        f'{req.caller_request.id}/{next(self._request_numbers)}'
                    )
                    continue
                if isinstance(reply, messages.DeadlineUnreachable):
                    raise attempt_state.RequestRefused(
                        codes.STOPPING if req.must_finish else codes.NO_TIME,
                        needs_ms=reply.required_ms,
                        left_ms=msg.remaining_ms,
                    )
                patience_s = wait_limits.patience_s(
                    req.route, is_retry=reply.is_retry
                )
                if not queued:
                    queued = True
                    req.log(
                        'queued',
                        position=reply.position,
                        wait_ms=reply.wait_ms,
                        patience_ms=int(patience_s * 1000),
                        came_back=reply.is_retry,
                        short_of=reply.missing_resource,
                    )
                self._check_wait(reply, patience_s, self._clock() - started_at)
                req.caller_disconnected.wait(reply.retry_in_ms / 1000)
        finally:
            if name:
                self._client.release(
                    messages.PlacementRelease(
                        service=req.service.name, request=name
                    )
                )

    def _check_wait(
        self, reply: messages.Queued, patience_s: float, waited_s: float
    ) -> None:
        """Checks whether to continue waiting.

        Raises:
            attempt_state.RequestRefused: The patience is used up, or the
                estimated wait exceeds it.
        """
        patience_ms = int(patience_s * 1000)
        wait_s = reply.wait_ms / 1000
        if waited_s > patience_s:
            raise attempt_state.RequestRefused(
                codes.PATIENCE_OVER,
                patience_ms=patience_ms,
                wait_ms=reply.wait_ms,
                position=reply.position,
            )
        if waited_s > 0 and wait_limits.exceeds_patience(
            wait_s, patience_s - waited_s
        ):
            raise attempt_state.RequestRefused(
                codes.LONG_WAIT,
                estimate_ms=reply.wait_ms,
                wait_ms=reply.wait_ms,
                patience_ms=patience_ms,
                position=reply.position,
            )

    def _placement_request(
        self,
        req: routed_request.RoutedRequest,
        name: str,
        avoid: tuple[str, ...],
        *,
        started: bool,
    ) -> messages.PlacementRequest:
        call = req.caller_request
        # The tokens that a resumed stream has already generated are prefilled
        # with its prompt and are not part of the remaining output. If it were
        # planned as a new request, it would exceed its planned memory and the
        # engine would evict another request, which is then prefilled again.
        generated = (call.after_event or 0) * req.service.event_tokens
        return messages.PlacementRequest(
            service=req.service.name,
            request=name,
            holder=self._entry_vm,
            prompt_tokens=call.prompt_tokens + generated,
            hinted_tokens=_remaining_tokens(
                call.hinted_tokens, generated, req.service
            ),
            max_output_tokens=_remaining_tokens(
                call.output_tokens, generated, req.service
            ),
            waited_ms=int(req.age_s() * 1000),
            target_ms=int(req.route.target_s * 1000),
            priority=req.priority,
            excluded_servers=avoid,
            request_digest=call.digest,
            response_started=started,
            max_gap_ms=int(req.route.gap_s * 1000),
            remaining_ms=max(1, int(req.time_left_s() * 1000)),
            must_finish=req.must_finish,
            version=req.software_version,
            resumed=bool(call.after_event) and req.route.resumable,
            token_s=self._token_times.median_s(req.service.name) or 0.0,
        )

    def _accept_placement(
        self,
        req: routed_request.RoutedRequest,
        msg: messages.PlacementRequest,
        placement: messages.PlacementGrant,
        waited_s: float,
    ) -> attempt_state.AttemptPlacement | None:
        """Returns the spot of a placement; None if its worker is not usable."""

        def read_state(
            state: router_state.RouterState, now: float
        ) -> tuple[forwarding.Backend | None, forwarding.Backend | None]:
            return (
                state.fleet.usable(placement.decode_worker, now),
                state.fleet.usable(placement.prefill_worker, now),
            )

        worker, prefiller = self._owner.run(read_state)
        if worker is None or not _is_version_allowed(req, worker):
            return None
        if not self._send_limits.acquire(worker.id):
            return None
        self._client.record(
            req.service.name,
            messages.ActivePlacement(
                request=msg.request,
                decode_worker=placement.decode_worker,
                prompt_tokens=msg.prompt_tokens,
                hinted_tokens=msg.hinted_tokens,
                max_output_tokens=msg.max_output_tokens,
                started_at=worker.born,
            ),
        )
        req.log(
            'placed',
            server=worker.id,
            prefill=placement.prefill_worker,
            reads_itself=placement.local_prefill,
            waited_ms=int(waited_s * 1000),
            prompt=msg.prompt_tokens,
            hinted=msg.hinted_tokens,
            longest=msg.max_output_tokens,
        )
        reserved = forwarding.Reserved(worker, '', 0)
        spot = attempt_state.AttemptPlacement(reserved, msg.request, prefiller)
        spot.local_prefill = placement.local_prefill
        return spot

    def _reserve(
        self, req: routed_request.RoutedRequest, sent: list[str]
    ) -> forwarding.Reserved:
        """Waits for a reservation at a worker, without the coordinator."""
        tokens = wait_limits.reserved_tokens(req.caller_request)
        patience_s = wait_limits.patience_s(req.route)
        started_at = self._clock()
        self._local_queue.join(req)
        try:
            while True:
                self.check_servable(req, sent)
                if self._local_queue.is_first(req):
                    reserved = self._try_reserve(req, tokens, sent)
                    if reserved is not None:
                        return reserved
                if self._clock() - started_at > patience_s:
                    raise attempt_state.RequestRefused(
                        codes.PATIENCE_OVER,
                        patience_ms=int(patience_s * 1000),
                    )
                self._local_queue.wait_for_change()
        finally:
            self._local_queue.leave(req)

    def _try_reserve(
        self, req: routed_request.RoutedRequest, tokens: int, sent: list[str]
    ) -> forwarding.Reserved | None:
        """Requests a reservation from some workers; None if all are full."""
        candidates = self._decoders(req, sent)
        if not candidates:
            raise attempt_state.RequestRefused(codes.NO_BACKEND)
        if not req.service.hold_s:
            for server in candidates:
                if self._send_limits.acquire(server.id):
                    return forwarding.Reserved(server, '', tokens)
            return None
        ttl_s = min(req.service.hold_s, wait_limits.MAX_RESERVATION_S)
        for server in candidates[:MAX_RESERVATION_REQUESTS]:
            if not self._send_limits.acquire(server.id):
                continue
            try:
                reply = self._workers.reserve(server, tokens, ttl_s)
            except errors.PortError as exc:
                req.log('reservation failed', server=server.id, error=str(exc))
                self.record_failure(req, server)
                continue
            if reply.status == forwarding.UNAVAILABLE:
                continue
            if not reply.ok:
                error = f'status {reply.status}'
                req.log('reservation failed', server=server.id, error=error)
                self.record_failure(req, server)
                continue
            if reply.text:
                req.log(
                    'reserved',
                    server=server.id,
                    tokens=tokens,
                    prompt=req.caller_request.prompt_tokens,
                    longest=req.caller_request.output_tokens,
                    hinted=req.caller_request.hinted_tokens,
                )
                return forwarding.Reserved(server, reply.text, tokens)
        return None

    def _may_be_cut(self, req: routed_request.RoutedRequest) -> bool:
        """Whether this process may end before the response does.

        The prefill is assumed to meet the target, as its speed is not known
        without the coordinator.
        """
        token_s = self._token_times.median_s(req.service.name)
        if not token_s:
            return True
        call, target_s = req.caller_request, req.route.target_s
        longest_tokens = call.output_tokens or math.inf
        expected_tokens = call.hinted_tokens or longest_tokens
        return wait_limits.may_outlast(
            target_s + expected_tokens * token_s,
            target_s + longest_tokens * token_s,
            req.time_left_s(),
        )

    def _decoders(
        self, req: routed_request.RoutedRequest, sent: list[str]
    ) -> list[forwarding.Backend]:
        service = req.service
        stage = _stage(service)
        # A route's maximum number of attempts limits how many servers a request
        # is sent to.
        attempts_used_up = len(sent) >= req.route.max_attempts

        def read_state(
            state: router_state.RouterState, now: float
        ) -> list[forwarding.Backend]:
            server_states = state.fleet.candidates(
                service.name,
                now,
                stage,
                () if attempts_used_up else sent,
                version=req.software_version,
            )
            return [
                server_state.backend
                for server_state in server_states
                if not attempts_used_up or server_state.backend.id in sent
            ]

        return self._owner.run(read_state)


def _is_version_allowed(
    req: routed_request.RoutedRequest, worker: forwarding.Backend
) -> bool:
    """Whether a stream may go on at a worker.

    A coordinator may have an older list of servers, or run a build that does
    not know versions.
    """
    return req.software_version in ('', worker.version)


def _stage(service: routes.Service) -> forwarding.Stage:
    """Returns the stage of the servers that run the requests of a service."""
    return 'decode' if service.kv_tokens else ''


def _remaining_tokens(
    tokens: int, generated: int, service: routes.Service
) -> int:
    """Returns the remaining tokens of a length; 0 if it is not known."""
    return max(service.event_tokens, tokens - generated) if tokens else 0
