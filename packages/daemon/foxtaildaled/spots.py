"""Finds a place at a decode worker for a request.

The home of the service plans for all entry VMs. Where no home answers, a place
is reserved at the worker itself, which alone knows its memory; a route whose
attempts are used up goes back to the worker that it was sent to.
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

# Decode workers that are asked for a place in one try.
ASKS: Final = 3


class Spots:
    """Asks the home, else the workers."""

    __slots__ = (
        '_clock',
        '_entry_vm',
        '_line',
        '_names',
        '_owner',
        '_plan',
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
        self._plan = plan
        self._send_limits = send_limits
        self._entry_vm = entry_vm
        self._clock = clock
        self._line = line.Line()
        # Numbers the asks: the end of a place is told behind the next ask of
        # the same request, and must not end what that one was granted.
        self._names = itertools.count()

    def find(
        self, req: passage.Passage, sent: list[str], *, started: bool = False
    ) -> attempt.Spot:
        """Waits for a place.

        Args:
            req: The request.
            sent: Servers that it was sent to, by id.
            started: Whether its caller has a part of the answer.

        Raises:
            attempt.Refused: There is none in time.
        """
        if len(sent) < req.route.max_attempts and req.service.kv_tokens:
            spot = self._planned_spot(req, sent, started=started)
            if spot is not None:
                return spot
        return attempt.Spot(self._reserve(req, sent))

    def give_back(self, req: passage.Passage, spot: attempt.Spot) -> None:
        """Gives a place back, with what was measured there."""
        self._line.place_freed()
        if not spot.request:
            return
        self._plan.end(
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
        """Whether a server that was chosen still takes requests."""
        return self._owner.run(
            lambda state, now: state.fleet.usable(server.id, now) is not None
        )

    def failed(self, req: passage.Passage, server: forwarding.Backend) -> None:
        """Takes the failure of a server, for this VM and for the home."""
        self._owner.run(lambda state, now: state.fleet.failed(server.id, now))
        self._plan.report(req.service.name, server.id)

    def replaced(
        self, req: passage.Passage, server: forwarding.Backend
    ) -> None:
        """Takes that another server answered at a server's address.

        The list still names one that is gone; the home would send it everybody's
        next request until the list is right.
        """
        self._plan.report(req.service.name, server.id, replaced=True)

    def check(self, req: passage.Passage, sent: list[str]) -> None:
        """Ends a request whose caller or time is gone, or that nothing takes.

        Raises:
            attempt.Refused: It is.
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

    def _planned_spot(
        self, req: passage.Passage, sent: list[str], *, started: bool
    ) -> attempt.Spot | None:
        """Waits for a place in the home's plan; None if no home answers."""
        name = f'{req.call.id}/{next(self._names)}'
        began = self._clock()
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
                msg = self._question(req, name, avoided, started=started)
                reply = self._plan.ask(msg)
                if reply is None:
                    return None
                if isinstance(reply, messages.Place):
                    waited_s = self._clock() - began
                    spot = self._take_place(req, msg, reply, waited_s)
                    if spot is not None:
                        name = ''
                        return spot
                    # This entry VM knows better: it leaves, is gone, or takes
                    # no more now.
                    if reply.worker not in self._send_limits.spent():
                        avoid.append(reply.worker)
                    self._plan.end(
                        messages.EndPlace(
                            service=req.service.name, request=name
                        )
                    )
                    name = f'{req.call.id}/{next(self._names)}'
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
                self._bear(reply, patience_s, self._clock() - began)
                req.gone.wait(reply.again_in_ms / 1000)
        finally:
            if name:
                self._plan.end(
                    messages.EndPlace(service=req.service.name, request=name)
                )

    def _bear(
        self, reply: messages.Queued, patience_s: float, waited_s: float
    ) -> None:
        """Goes on waiting, or gives up.

        Raises:
            attempt.Refused: The wait is over, or will be too long.
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

    def _question(
        self,
        req: passage.Passage,
        name: str,
        avoid: tuple[str, ...],
        *,
        started: bool,
    ) -> messages.AskPlace:
        call = req.call
        # What a resumed stream has made so far is read with its prompt, and is
        # no part of what is still to come. Planned as a new request, it outgrew
        # its share, and the engine had another one read again.
        made = (call.after_event or 0) * req.service.event_tokens
        return messages.AskPlace(
            service=req.service.name,
            request=name,
            holder=self._entry_vm,
            prompt=call.prompt_tokens + made,
            hinted=_rest(call.hinted_tokens, made, req.service),
            longest=_rest(call.output_tokens, made, req.service),
            waited_ms=int(req.age_s() * 1000),
            target_ms=int(req.route.target_s * 1000),
            priority=req.priority,
            avoid=avoid,
            digest=call.digest,
            started=started,
            gap_ms=int(req.route.gap_s * 1000),
            left_ms=max(1, int(req.left_s() * 1000)),
        )

    def _take_place(
        self,
        req: passage.Passage,
        msg: messages.AskPlace,
        place: messages.Place,
        waited_s: float,
    ) -> attempt.Spot | None:
        """Returns the spot of a granted place, if its worker may be used."""

        def turn(
            state: beliefs.Beliefs, now: float
        ) -> tuple[forwarding.Backend | None, forwarding.Backend | None]:
            return (
                state.fleet.usable(place.worker, now),
                state.fleet.usable(place.prefiller, now),
            )

        worker, prefiller = self._owner.run(turn)
        if worker is None or not self._send_limits.take(worker.id):
            return None
        self._plan.hold(
            req.service.name,
            messages.KeptPlace(
                request=msg.request,
                worker=place.worker,
                prompt=msg.prompt,
                hinted=msg.hinted,
                longest=msg.longest,
                born=worker.born,
            ),
        )
        req.log(
            'placed',
            server=worker.id,
            prefill=place.prefiller,
            reads_itself=place.reads_itself,
            waited_ms=int(waited_s * 1000),
            prompt=msg.prompt,
            hinted=msg.hinted,
            longest=msg.longest,
        )
        reserved = forwarding.Reserved(worker, '', 0)
        spot = attempt.Spot(reserved, msg.request, prefiller)
        spot.reads_itself = place.reads_itself
        return spot

    def _reserve(
        self, req: passage.Passage, sent: list[str]
    ) -> forwarding.Reserved:
        """Waits for a place at the workers themselves, without a plan."""
        tokens = room.tokens(req.call)
        patience_s = room.patience_s(req.route)
        began = self._clock()
        self._line.join(req)
        try:
            while True:
                self.check(req, sent)
                if self._line.is_first(req):
                    reserved = self._try_reserve(req, tokens, sent)
                    if reserved is not None:
                        return reserved
                if self._clock() - began > patience_s:
                    raise attempt.Refused(
                        codes.PATIENCE_OVER,
                        patience_ms=int(patience_s * 1000),
                    )
                self._line.pause()
        finally:
            self._line.leave(req)

    def _try_reserve(
        self, req: passage.Passage, tokens: int, sent: list[str]
    ) -> forwarding.Reserved | None:
        """Asks some decode workers for a place; None if all are full."""
        found = self._decoders(req, sent)
        if not found:
            raise attempt.Refused(codes.NO_BACKEND)
        if not req.service.hold_s:
            for server in found:
                if self._send_limits.take(server.id):
                    return forwarding.Reserved(server, '', tokens)
            return None
        ttl_s = min(req.service.hold_s, room.HOLD_S)
        for server in found[:ASKS]:
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
        # A route's attempts bound the servers that see a request.
        closed = len(sent) >= req.route.max_attempts

        def turn(
            state: beliefs.Beliefs, now: float
        ) -> list[forwarding.Backend]:
            found = state.fleet.candidates(
                service.name, now, stage, () if closed else sent
            )
            return [
                tally.backend
                for tally in found
                if not closed or tally.backend.id in sent
            ]

        return self._owner.run(turn)


def _stage(service: routes.Service) -> forwarding.Stage:
    """Returns what the servers do that requests of a service run on."""
    return 'decode' if service.kv_tokens else ''


def _rest(tokens: int, made: int, service: routes.Service) -> int:
    """Returns what is left of a length, tokens; 0 if it is not known."""
    return max(service.event_tokens, tokens - made) if tokens else 0
