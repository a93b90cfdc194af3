"""Obtains a placement at a decode worker for a request.

The coordinator of the service plans for all entry VMs. If no coordinator
replies, memory is reserved at the worker itself, which alone knows how much it
has. A request that has used all attempts of its route returns to the workers
that it was sent to.
"""

import itertools
from typing import Final

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import room
from foxtaildale import routes
from foxtaildaled import actors
from foxtaildaled import attempt
from foxtaildaled import beliefs
from foxtaildaled import line
from foxtaildaled import passage
from foxtaildaled import places
from foxtaildaled import sendlimits

# Maximum number of decode workers that one attempt asks for a reservation.
ASKS: Final = 3


class Spots:
    """Requests placements from the coordinator, otherwise from the workers."""

    __slots__ = (
        '_client',
        '_clock',
        '_entry_vm',
        '_local_queue',
        '_owner',
        '_request_numbers',
        '_send_limits',
        '_workers',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        workers: ports.Workers,
        plan: places.Places,
        send_limits: sendlimits.SendLimits,
        entry_vm: str,
        clock: ports.Clock,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._client = plan
        self._send_limits = send_limits
        self._entry_vm = entry_vm
        self._clock = clock
        self._local_queue = line.Line()
        # Numbers the placement requests. The release of a placement may reach
        # the coordinator after the next placement request for the same caller
        # request, and must not release what that one was granted.
        self._request_numbers = itertools.count()

    def find(
        self, req: passage.Passage, sent: list[str], *, started: bool = False
    ) -> attempt.Spot:
        """Waits for a placement.

        Args:
            req: The request.
            sent: Ids of the servers that it was sent to.
            started: Whether its caller has received part of the response.

        Raises:
            attempt.Refused: No placement became available in time.
        """
        if len(sent) < req.route.max_attempts and req.service.kv_tokens:
            spot = self._coordinated_spot(req, sent, started=started)
            if spot is not None:
                return spot
        return attempt.Spot(self._reserve(req, sent))

    def give_back(self, req: passage.Passage, spot: attempt.Spot) -> None:
        """Releases a placement and reports what was measured there."""
        self._local_queue.place_freed()
        if not spot.request:
            return
        self._client.end(
            messages.EndPlace(
                service=req.service.name,
                request=spot.request,
                prefill_ms=int(spot.prefill_s * 1000),
                decode_ms=int(spot.decode_s * 1000),
                tokens=spot.events * req.service.event_tokens,
                whole=spot.whole,
                refused=spot.refused,
            )
        )

    def takes(self, server: forwarding.Backend) -> bool:
        """Whether a chosen server still accepts requests."""
        return self._owner.run(
            lambda state, now: state.fleet.usable(server.id, now) is not None
        )

    def failed(self, req: passage.Passage, server: forwarding.Backend) -> None:
        """Records the failure of a server and reports it to the coordinator."""
        self._owner.run(lambda state, now: state.fleet.failed(server.id, now))
        self._client.report(req.service.name, server.id)

    def replaced(
        self, req: passage.Passage, server: forwarding.Backend
    ) -> None:
        """Reports that another server responded at a server's address.

        The list of servers still contains the removed server. Without the
        report, the coordinator would assign requests of all entry VMs to it
        until the list is updated.
        """
        self._client.report(req.service.name, server.id, replaced=True)

    def check(self, req: passage.Passage, sent: list[str]) -> None:
        """Refuses a request that can no longer be served.

        Raises:
            attempt.Refused: The caller disconnected, the time is used up, or
                all servers are in backoff.
        """
        if req.caller_gone():
            raise attempt.Refused(codes.CANCELLED if sent else codes.GONE)
        attempt.check_held(req.held_s())
        if req.left_s() < passage.MIN_LEFT_S:
            limit_ms = int((req.deadline - req.started_at) * 1000)
            raise attempt.Refused(codes.TIMED_OUT, limit_ms=limit_ms)
        stage = _stage(req.service)
        backoff_s = self._owner.run(
            lambda state, now: state.fleet.backoff_s(
                req.service.name, now, stage
            )
        )
        if backoff_s:
            raise attempt.Refused(
                codes.BACKEND_REFUSED, 'backoff', retry_after_s=backoff_s
            )

    def _coordinated_spot(
        self, req: passage.Passage, sent: list[str], *, started: bool
    ) -> attempt.Spot | None:
        """Waits for a placement by the coordinator; None if none replies."""
        name = f'{req.call.id}/{next(self._request_numbers)}'
        started_at = self._clock()
        avoid = list(sent)
        queued = False
        try:
            while True:
                self.check(req, sent)
                faulty = self._owner.run(
                    lambda state, now: (
                        *state.fleet.faulty(req.service.name, now),
                        *state.fleet.in_backoff(req.service.name, now),
                    )
                )
                avoided = (*avoid, *faulty, *self._send_limits.spent())
                msg = self._placement_request(
                    req, name, avoided, started=started
                )
                reply = self._client.ask(msg)
                if reply is None:
                    return None
                if isinstance(reply, messages.Place):
                    waited_s = self._clock() - started_at
                    spot = self._accept_placement(req, msg, reply, waited_s)
                    if spot is not None:
                        name = ''
                        return spot
                    # This entry VM has newer information: the worker is
                    # leaving, was removed, or has no send tokens left.
                    if reply.worker not in self._send_limits.spent():
                        avoid.append(reply.worker)
                    self._client.end(
                        messages.EndPlace(
                            service=req.service.name, request=name
                        )
                    )
                    name = f'{req.call.id}/{next(self._request_numbers)}'
                    continue
                if isinstance(reply, messages.TooLate):
                    raise attempt.Refused(
                        codes.NO_TIME,
                        needs_ms=reply.needs_ms,
                        left_ms=msg.left_ms,
                    )
                patience_s = room.patience_s(
                    req.route, came_back=reply.came_back
                )
                if not queued:
                    queued = True
                    req.log(
                        'queued',
                        position=reply.position,
                        wait_ms=reply.wait_ms,
                        patience_ms=int(patience_s * 1000),
                        came_back=reply.came_back,
                        short_of=reply.short_of,
                    )
                self._check_wait(reply, patience_s, self._clock() - started_at)
                req.gone.wait(reply.again_in_ms / 1000)
        finally:
            if name:
                self._client.end(
                    messages.EndPlace(service=req.service.name, request=name)
                )

    def _check_wait(
        self, reply: messages.Queued, patience_s: float, waited_s: float
    ) -> None:
        """Checks whether to continue waiting.

        Raises:
            attempt.Refused: The patience is used up, or the estimated wait
                exceeds it.
        """
        patience_ms = int(patience_s * 1000)
        wait_s = reply.wait_ms / 1000
        if waited_s > patience_s:
            raise attempt.Refused(
                codes.PATIENCE_OVER,
                patience_ms=patience_ms,
                wait_ms=reply.wait_ms,
                position=reply.position,
            )
        if waited_s > 0 and room.hopeless(wait_s, patience_s - waited_s):
            raise attempt.Refused(
                codes.LONG_WAIT,
                estimate_ms=reply.wait_ms,
                wait_ms=reply.wait_ms,
                patience_ms=patience_ms,
                position=reply.position,
            )

    def _placement_request(
        self,
        req: passage.Passage,
        name: str,
        avoid: tuple[str, ...],
        *,
        started: bool,
    ) -> messages.AskPlace:
        call = req.call
        # The tokens that a resumed stream has already generated are prefilled
        # with its prompt and are not part of the remaining output. If it were
        # planned as a new request, it would exceed its planned memory and the
        # engine would evict another request, which is then prefilled again.
        generated = (call.after_event or 0) * req.service.event_tokens
        return messages.AskPlace(
            service=req.service.name,
            request=name,
            holder=self._entry_vm,
            prompt=call.prompt_tokens + generated,
            hinted=_remaining_tokens(
                call.hinted_tokens, generated, req.service
            ),
            longest=_remaining_tokens(
                call.output_tokens, generated, req.service
            ),
            waited_ms=int(req.age_s() * 1000),
            target_ms=int(req.route.target_s * 1000),
            priority=req.priority,
            avoid=avoid,
            digest=call.digest,
            started=started,
            gap_ms=int(req.route.gap_s * 1000),
            left_ms=max(1, int(req.left_s() * 1000)),
        )

    def _accept_placement(
        self,
        req: passage.Passage,
        msg: messages.AskPlace,
        placement: messages.Place,
        waited_s: float,
    ) -> attempt.Spot | None:
        """Returns the spot of a placement; None if its worker is not usable."""

        def read_state(
            state: beliefs.Beliefs, now: float
        ) -> tuple[forwarding.Backend | None, forwarding.Backend | None]:
            return (
                state.fleet.usable(placement.worker, now),
                state.fleet.usable(placement.prefiller, now),
            )

        worker, prefiller = self._owner.run(read_state)
        if worker is None or not self._send_limits.take(worker.id):
            return None
        self._client.hold(
            req.service.name,
            messages.KeptPlace(
                request=msg.request,
                worker=placement.worker,
                prompt=msg.prompt,
                hinted=msg.hinted,
                longest=msg.longest,
                born=worker.born,
            ),
        )
        req.log(
            'placed',
            server=worker.id,
            prefill=placement.prefiller,
            reads_itself=placement.reads_itself,
            waited_ms=int(waited_s * 1000),
            prompt=msg.prompt,
            hinted=msg.hinted,
            longest=msg.longest,
        )
        reserved = forwarding.Reserved(worker, '', 0)
        spot = attempt.Spot(reserved, msg.request, prefiller)
        spot.reads_itself = placement.reads_itself
        return spot

    def _reserve(
        self, req: passage.Passage, sent: list[str]
    ) -> forwarding.Reserved:
        """Waits for a reservation at a worker, without the coordinator."""
        tokens = room.tokens(req.call)
        patience_s = room.patience_s(req.route)
        started_at = self._clock()
        self._local_queue.join(req)
        try:
            while True:
                self.check(req, sent)
                if self._local_queue.is_first(req):
                    reserved = self._try_reserve(req, tokens, sent)
                    if reserved is not None:
                        return reserved
                if self._clock() - started_at > patience_s:
                    raise attempt.Refused(
                        codes.PATIENCE_OVER,
                        patience_ms=int(patience_s * 1000),
                    )
                self._local_queue.pause()
        finally:
            self._local_queue.leave(req)

    def _try_reserve(
        self, req: passage.Passage, tokens: int, sent: list[str]
    ) -> forwarding.Reserved | None:
        """Requests a reservation from some workers; None if all are full."""
        candidates = self._decoders(req, sent)
        if not candidates:
            raise attempt.Refused(codes.NO_BACKEND)
        if not req.service.hold_s:
            for server in candidates:
                if self._send_limits.take(server.id):
                    return forwarding.Reserved(server, '', tokens)
            return None
        ttl_s = min(req.service.hold_s, room.HOLD_S)
        for server in candidates[:ASKS]:
            if not self._send_limits.take(server.id):
                continue
            try:
                reply = self._workers.reserve(server, tokens, ttl_s)
            except errors.PortError as exc:
                req.log('reservation failed', server=server.id, error=str(exc))
                self.failed(req, server)
                continue
            if reply.status == forwarding.UNAVAILABLE:
                continue
            if not reply.ok:
                error = f'status {reply.status}'
                req.log('reservation failed', server=server.id, error=error)
                self.failed(req, server)
                continue
            if reply.text:
                req.log(
                    'reserved',
                    server=server.id,
                    tokens=tokens,
                    prompt=req.call.prompt_tokens,
                    longest=req.call.output_tokens,
                    hinted=req.call.hinted_tokens,
                )
                return forwarding.Reserved(server, reply.text, tokens)
        return None

    def _decoders(
        self, req: passage.Passage, sent: list[str]
    ) -> list[forwarding.Backend]:
        service = req.service
        stage = _stage(service)
        # A route's maximum number of attempts limits how many servers a request
        # is sent to.
        attempts_used_up = len(sent) >= req.route.max_attempts

        def read_state(
            state: beliefs.Beliefs, now: float
        ) -> list[forwarding.Backend]:
            server_states = state.fleet.candidates(
                service.name, now, stage, () if attempts_used_up else sent
            )
            return [
                server_state.backend
                for server_state in server_states
                if not attempts_used_up or server_state.backend.id in sent
            ]

        return self._owner.run(read_state)


def _stage(service: routes.Service) -> forwarding.Stage:
    """Returns the stage of the servers that run the requests of a service."""
    return 'decode' if service.kv_tokens else ''


def _remaining_tokens(
    tokens: int, generated: int, service: routes.Service
) -> int:
    """Returns the remaining tokens of a length; 0 if it is not known."""
    return max(service.event_tokens, tokens - generated) if tokens else 0
