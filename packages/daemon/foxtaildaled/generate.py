"""Requests for model engines: a place, a prefill, a transfer, a stream.

The place at the decode worker comes first: it is reserved at the worker itself,
which alone knows its memory, so the entry VMs need not agree on anything. Then
the prompt is read by a prefill worker, and the decode worker fetches it and
streams. Whole events are passed on as they come. A stream that breaks goes on
at another worker where its route allows that.
"""

import random
from typing import Final

from foxtaildale import codes
from foxtaildale import comeback
from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import room
from foxtaildale import sse
from foxtaildaled import actors
from foxtaildaled import beliefs
from foxtaildaled import line
from foxtaildaled import passage
from foxtaildaled import places
from foxtaildaled import sends

# Longest wait for a prefill, seconds: 11,000 tokens take 0.2 s; with some
# prompts before it that is still under one. A longer one is dead or dark.
PREFILL_S: Final = 1.5
# Prefills of one request; each that fails counts against the shared budget.
PREFILLS: Final = 3
# Part of the life of a prefilled prompt in which it is offered again; the rest
# is for the way to the worker that holds it.
HANDLE_PART: Final = 0.7
# Decode workers that are asked for a place in one try.
ASKS: Final = 3
# Longest silence of a stream that may go on elsewhere, seconds: five times the
# pause that is still on time.
SILENCE_GAPS: Final = 5.0
SILENCE_S: Final = 1.2
# How long a full service stays full, seconds: some answers end in that time.
FULL_WAIT_S: Final = 0.8


class _Refused(Exception):  # noqa: N818
    """Ends a request with an outcome; never leaves this module."""

    def __init__(
        self, code: codes.Code, reason: str = '', **figures: float | str
    ) -> None:
        super().__init__(code.name)
        if reason:
            figures['reason'] = reason
        self.code = code
        self.figures = figures


class _Answer:
    """What the caller has of its answer."""

    __slots__ = (
        'may_have_run',
        'prefilled',
        'prefilled_at',
        'splitter',
        'started',
    )

    def __init__(self, position: int | None) -> None:
        self.splitter = sse.Splitter(position)
        self.started = False
        # Whether a decode worker may have begun to work on it.
        self.may_have_run = False
        # A prefilled prompt that no decode worker has taken yet, and since
        # when its worker holds it.
        self.prefilled: forwarding.Prefilled | None = None
        self.prefilled_at = 0.0

    def unfinished(self) -> tuple[codes.Code, str]:
        """Returns why it ends without another try, and the reason."""
        if self.may_have_run:
            return codes.BROKEN, ''
        return codes.BACKEND_REFUSED, 'full, and no further try is allowed'


class _Spot:
    """Where a request is to run, and what was measured there."""

    __slots__ = (
        'decode_s',
        'events',
        'prefill_s',
        'prefiller',
        'request',
        'reserved',
        'whole',
    )

    def __init__(
        self,
        reserved: forwarding.Reserved,
        request: str = '',
        prefiller: forwarding.Backend | None = None,
    ) -> None:
        self.reserved = reserved
        # Its name in the home's plan; empty without one.
        self.request = request
        self.prefiller = prefiller
        self.prefill_s = 0.0
        self.decode_s = 0.0
        self.events = 0
        self.whole = False


class Generate:
    """Serves requests for model engines."""

    __slots__ = (
        '_clock',
        '_entry_vm',
        '_line',
        '_owner',
        '_plan',
        '_rng',
        '_sends',
        '_tidy',
        '_workers',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        workers: ports.Workers,
        budget: sends.Sends,
        plan: places.Places,
        entry_vm: str,
        tidy: ports.Tidy,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._sends = budget
        self._plan = plan
        self._entry_vm = entry_vm
        self._tidy = tidy
        self._clock = clock
        self._rng = rng
        self._line = line.Line()

    def serve(self, req: passage.Passage) -> None:
        """Answers one request before it returns."""
        self._sends.first(req.service.name)
        answer = _Answer(req.call.after_event)
        sent: list[str] = []
        try:
            while not self._attempt(req, answer, sent):
                if not self._sends.take(req.service.name, req.deadline):
                    raise _Refused(*answer.unfinished())
                req.counts.retries.add(1, req.service.name)
        except _Refused as exc:
            self._end(req, answer, exc)
        finally:
            if answer.prefilled is not None:
                self._tidy.free(answer.prefilled)
                req.counts.wasted_prefill_tokens.add(
                    req.call.prompt_tokens, req.service.name
                )

    def _attempt(
        self, req: passage.Passage, answer: _Answer, sent: list[str]
    ) -> bool:
        """Runs it once; False if it should go on elsewhere.

        Raises:
            _Refused: It ends here.
        """
        began = self._clock()
        spot = self._find_spot(req, sent)
        waited_s = self._clock() - began
        req.counts.wait_seconds.observe((waited_s,), req.service.name)
        reserved = spot.reserved
        tokens = reserved.tokens
        used = False
        self._owner.run(
            lambda state, _: state.fleet.sent(reserved.worker.id, tokens)
        )
        try:
            self._read_prompt(req, spot, answer)
            if req.caller_gone():
                raise _Refused(codes.CANCELLED if sent else codes.GONE)
            used = True
            if reserved.worker.id not in sent:
                sent.append(reserved.worker.id)
            return self._decode(req, answer, spot, sent)
        finally:
            if not used and reserved.hold:
                self._tidy.release(reserved)
            self._owner.run(
                lambda state, _: state.fleet.ended(reserved.worker.id, tokens)
            )
            self._give_back(req, spot)
            self._line.place_freed()

    # A place at a decode worker.

    def _find_spot(self, req: passage.Passage, sent: list[str]) -> _Spot:
        """Waits for a place.

        Raises:
            _Refused: There is none in time.
        """
        if len(sent) < req.route.max_attempts and req.service.kv_tokens:
            spot = self._planned_spot(req, sent)
            if spot is not None:
                return spot
        return _Spot(self._reserve(req, sent))

    def _planned_spot(
        self, req: passage.Passage, sent: list[str]
    ) -> _Spot | None:
        """Waits for a place in the home's plan; None if no home answers."""
        name = f'{req.call.id}/{len(sent)}'
        patience_s = room.patience_s(req.route)
        began = self._clock()
        avoid = list(sent)
        try:
            while True:
                self._check(req, sent)
                faulty = self._owner.run(
                    lambda state, now: state.fleet.faulty(req.service.name, now)
                )
                msg = self._question(req, name, (*avoid, *faulty))
                reply = self._plan.ask(msg)
                if reply is None:
                    return None
                if isinstance(reply, messages.Place):
                    spot = self._take_place(req, msg, reply)
                    if spot is not None:
                        name = ''
                        return spot
                    # This entry VM knows better: it leaves, or is gone.
                    avoid.append(reply.worker)
                    self._plan.end(
                        messages.EndPlace(
                            service=req.service.name, request=name
                        )
                    )
                    name += '+'
                    continue
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
            _Refused: The wait is over, or will be too long.
        """
        patience_ms = int(patience_s * 1000)
        wait_s = reply.wait_ms / 1000
        if waited_s > patience_s:
            raise _Refused(
                codes.PATIENCE_OVER,
                patience_ms=patience_ms,
                wait_ms=reply.wait_ms,
                position=reply.position,
            )
        if waited_s > 0 and room.hopeless(wait_s, patience_s - waited_s):
            raise _Refused(
                codes.LONG_WAIT,
                estimate_ms=reply.wait_ms,
                wait_ms=reply.wait_ms,
                patience_ms=patience_ms,
                position=reply.position,
            )

    def _question(
        self, req: passage.Passage, name: str, avoid: tuple[str, ...]
    ) -> messages.AskPlace:
        call = req.call
        return messages.AskPlace(
            service=req.service.name,
            request=name,
            holder=self._entry_vm,
            prompt=call.prompt_tokens,
            hinted=call.hinted_tokens,
            longest=call.output_tokens,
            waited_ms=int(req.age_s() * 1000),
            target_ms=int(req.route.target_s * 1000),
            priority=req.route.priority,
            avoid=avoid,
        )

    def _take_place(
        self,
        req: passage.Passage,
        msg: messages.AskPlace,
        place: messages.Place,
    ) -> _Spot | None:
        """Returns the spot of a granted place, if its worker may be used."""

        def turn(
            state: beliefs.Beliefs, _: float
        ) -> tuple[forwarding.Backend | None, forwarding.Backend | None]:
            return (
                state.fleet.usable(place.worker),
                state.fleet.usable(place.prefiller),
            )

        worker, prefiller = self._owner.run(turn)
        if worker is None:
            return None
        self._plan.hold(
            req.service.name,
            messages.KeptPlace(
                request=msg.request,
                worker=place.worker,
                prompt=msg.prompt,
                hinted=msg.hinted,
                longest=msg.longest,
            ),
        )
        req.log('placed', server=worker.id, prefill=place.prefiller)
        reserved = forwarding.Reserved(worker, '', 0)
        return _Spot(reserved, msg.request, prefiller)

    def _give_back(self, req: passage.Passage, spot: _Spot) -> None:
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
            )
        )

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
                self._check(req, sent)
                if self._line.is_first(req):
                    reserved = self._try_reserve(req, tokens, sent)
                    if reserved is not None:
                        return reserved
                if self._clock() - began > patience_s:
                    raise _Refused(
                        codes.PATIENCE_OVER,
                        patience_ms=int(patience_s * 1000),
                    )
                self._line.pause()
        finally:
            self._line.leave(req)

    def _check(self, req: passage.Passage, sent: list[str]) -> None:
        if req.caller_gone():
            raise _Refused(codes.CANCELLED if sent else codes.GONE)
        if req.left_s() < passage.MIN_LEFT_S:
            limit_ms = int((req.deadline - req.started_at) * 1000)
            raise _Refused(codes.TIMED_OUT, limit_ms=limit_ms)

    def _try_reserve(
        self, req: passage.Passage, tokens: int, sent: list[str]
    ) -> forwarding.Reserved | None:
        """Asks some decode workers for a place; None if all are full."""
        found = self._decoders(req, sent)
        if not found:
            raise _Refused(codes.NO_BACKEND)
        if not req.service.hold_s:
            return forwarding.Reserved(found[0], '', tokens)
        ttl_s = min(req.service.hold_s, room.HOLD_S)
        for server in found[:ASKS]:
            try:
                hold = self._workers.reserve(server, tokens, ttl_s)
            except errors.PortError as exc:
                req.log('reservation failed', server=server.id, error=str(exc))
                self._failed(server)
                continue
            if hold:
                req.log(
                    'reserved',
                    server=server.id,
                    tokens=tokens,
                    prompt=req.call.prompt_tokens,
                    longest=req.call.output_tokens,
                    hinted=req.call.hinted_tokens,
                )
                return forwarding.Reserved(server, hold, tokens)
            self._full(server)
        return None

    def _decoders(
        self, req: passage.Passage, sent: list[str]
    ) -> list[forwarding.Backend]:
        service = req.service
        stage: forwarding.Stage = 'decode' if service.kv_tokens else ''
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

    # The prompt.

    def _read_prompt(
        self, req: passage.Passage, spot: _Spot, answer: _Answer
    ) -> None:
        """Has the prompt read, unless it was and is still there.

        A decode worker that could not be reached, or had no room, took
        nothing; reading the prompt again would be work for nobody.
        """
        age_s = self._clock() - answer.prefilled_at
        life_s = req.service.handle_s * HANDLE_PART
        if answer.prefilled is not None and age_s < life_s:
            req.log('prompt kept', held_ms=int(age_s * 1000))
            return
        answer.prefilled = self._prefill(req, spot)
        answer.prefilled_at = self._clock()

    def _prefill(
        self, req: passage.Passage, spot: _Spot
    ) -> forwarding.Prefilled | None:
        """Has the prompt read; None if the decode worker must read it."""
        tried: list[str] = []
        while len(tried) < PREFILLS:
            server = None if tried else spot.prefiller
            server = server or self._prefiller(req, tried)
            if server is None:
                return None
            if tried and not self._sends.take(req.service.name, req.deadline):
                return None
            tried.append(server.id)
            began = self._clock()
            prefilled = self._prefill_at(req, server)
            spot.prefill_s = self._clock() - began if prefilled else 0.0
            if prefilled is not None or req.gone.is_set():
                return prefilled
        return None

    def _prefiller(
        self, req: passage.Passage, tried: list[str]
    ) -> forwarding.Backend | None:
        if not req.service.kv_tokens:
            return None

        def turn(
            state: beliefs.Beliefs, now: float
        ) -> forwarding.Backend | None:
            found = state.fleet.candidates(
                req.service.name, now, 'prefill', tried
            )
            return found[0].backend if found else None

        return self._owner.run(turn)

    def _prefill_at(
        self, req: passage.Passage, server: forwarding.Backend
    ) -> forwarding.Prefilled | None:
        left_s = min(req.left_s(), PREFILL_S)
        flight = self._workers.prefill(req.call, server, left_s)
        self._owner.run(lambda state, _: state.fleet.sent(server.id))
        began = self._clock()
        try:
            req.attach(flight)
            flight.send(left_s)
            head = flight.head(left_s)
            body = _read_small(flight, left_s)
            if head.ran == 'no':
                self._not_run(server, head)
                req.log('prefill refused', server=server.id, status=head.status)
                return None
            if not (head.ok and head.matches):
                raise errors.AnswerLostError(f'status {head.status}')
            handle = self._workers.handle(body)
        except (errors.PortError, errors.DecodeError) as exc:
            req.log('prefill failed', server=server.id, error=str(exc))
            if not req.gone.is_set():
                self._failed(server)
            return None
        finally:
            req.attach(None)
            flight.close()
            self._owner.run(lambda state, _: state.fleet.ended(server.id))
        took_s = self._clock() - began
        self._owner.run(
            lambda state, now: state.fleet.answered(
                server.id, now, head.load, took_s
            )
        )
        req.log('prefilled', server=server.id, took_ms=int(took_s * 1000))
        name = req.service.name
        req.counts.prefill_seconds.observe((took_s,), name)
        req.counts.prefill_tokens.add(req.call.prompt_tokens, name)
        return forwarding.Prefilled(server, handle)

    # The stream.

    def _decode(
        self,
        req: passage.Passage,
        answer: _Answer,
        spot: _Spot,
        sent: list[str],
    ) -> bool:
        reserved = spot.reserved
        prefilled = answer.prefilled
        server = reserved.worker
        left_s = req.left_s()
        req.call.after_event = answer.splitter.position
        flight = self._workers.decode(req.call, reserved, prefilled, left_s)
        req.log('sent', server=server.id, attempt=len(sent))
        before = answer.splitter.position or 0
        began = self._clock()
        try:
            req.attach(flight)
            flight.send(left_s)
            head = flight.head(self._patience(req, sent))
            if head.ran == 'no':
                self._not_run(server, head)
                req.log('not run', server=server.id, status=head.status)
                if answer.started or len(sent) < req.route.max_attempts:
                    return False
                raise _Refused(codes.BACKEND_REFUSED, reason='full')
            answer.prefilled = None
            if not head.matches:
                raise errors.AnswerLostError('answer to another request')
            if not head.ok:
                return self._pass_on(req, answer, flight, head, sent)
            self._relay(req, answer, flight, head, sent)
            spot.whole = True
        except errors.PortError as exc:
            return self._broken(req, answer, server, exc, sent)
        finally:
            req.attach(None)
            flight.close()
            spot.decode_s = self._clock() - began
            spot.events = (answer.splitter.position or 0) - before
        self._owner.run(
            lambda state, now: state.fleet.answered(server.id, now, head.load)
        )
        return True

    def _relay(
        self,
        req: passage.Passage,
        answer: _Answer,
        flight: ports.Flight,
        head: forwarding.Head,
        sent: list[str],
    ) -> None:
        """Passes whole events on until the stream's proper end.

        Raises:
            errors.AnswerLostError: It broke off.
        """
        splitter = answer.splitter
        splitter.restart()
        events = 0
        while block := flight.read(self._patience(req, sent)):
            whole = splitter.feed(block)
            if not whole:
                continue
            if not answer.started:
                self._first(req, answer, head)
            events += 1
            if not req.ex.send(whole):
                req.gone.set()
                raise errors.AnswerLostError('the caller is gone')
        if splitter.partial:
            raise errors.AnswerLostError('it ended within an event')
        if not answer.started:
            self._first(req, answer, head)
        whole_answer = req.ex.finish()
        req.answered(
            head.status,
            whole=whole_answer,
            blocks=events,
            position=splitter.position,
        )

    def _first(
        self, req: passage.Passage, answer: _Answer, head: forwarding.Head
    ) -> None:
        answer.started = True
        req.log('first event')
        req.counts.first_answer_seconds.observe(
            (req.age_s(),), req.service.name
        )
        if not req.ex.start(head.status, dict(head.headers)):
            req.gone.set()
            raise errors.AnswerLostError('the caller is gone')

    def _pass_on(
        self,
        req: passage.Passage,
        answer: _Answer,
        flight: ports.Flight,
        head: forwarding.Head,
        sent: list[str],
    ) -> bool:
        """Handles an error that the worker gave as its answer."""
        body = _read_small(flight, req.left_s())
        if answer.started or (
            head.status >= 500 and self._may_go_on(req, sent)
        ):
            raise errors.AnswerLostError(f'status {head.status}')
        whole = req.ex.respond(head.status, dict(head.headers), body)
        req.answered(head.status, whole=whole)
        return True

    def _broken(
        self,
        req: passage.Passage,
        answer: _Answer,
        server: forwarding.Backend,
        exc: errors.PortError,
        sent: list[str],
    ) -> bool:
        req.log('stream broken', server=server.id, error=str(exc))
        if not isinstance(exc, errors.UnreachableError):
            # The worker may have taken it, and begun.
            answer.prefilled = None
            answer.may_have_run = True
        if req.gone.is_set():
            raise _Refused(codes.CANCELLED) from exc
        self._failed(server)
        if isinstance(exc, errors.UnreachableError):
            # Nothing was sent, so this was no attempt.
            sent.remove(server.id)
            return False
        if not self._may_go_on(req, sent):
            if req.left_s() < passage.MIN_LEFT_S:
                limit_ms = int((req.deadline - req.started_at) * 1000)
                raise _Refused(codes.TIMED_OUT, limit_ms=limit_ms) from exc
            raise _Refused(codes.BROKEN) from exc
        return False

    def _may_go_on(self, req: passage.Passage, sent: list[str]) -> bool:
        return (
            req.route.resumable
            and len(sent) < req.route.max_attempts
            and req.left_s() > passage.MIN_LEFT_S
        )

    def _patience(self, req: passage.Passage, sent: list[str]) -> float:
        """Returns the longest silence of a worker that is borne, seconds."""
        left_s = req.left_s()
        if not self._may_go_on(req, sent):
            return left_s
        return min(left_s, max(SILENCE_S, SILENCE_GAPS * req.route.gap_s))

    def _not_run(
        self, server: forwarding.Backend, head: forwarding.Head
    ) -> None:
        def turn(state: beliefs.Beliefs, now: float) -> None:
            if head.status == 421:
                state.fleet.replaced(server.id)
            else:
                state.fleet.full(server.id, now)

        self._owner.run(turn)

    def _full(self, server: forwarding.Backend) -> None:
        self._owner.run(lambda state, now: state.fleet.full(server.id, now))

    def _failed(self, server: forwarding.Backend) -> None:
        self._owner.run(lambda state, now: state.fleet.failed(server.id, now))

    def _end(
        self, req: passage.Passage, answer: _Answer, exc: _Refused
    ) -> None:
        if answer.started:
            # A part must not pass for the whole.
            req.log('failed', code=exc.code.name, status=exc.code.status)
            req.counts.requests.add(1, req.service.name, exc.code.name)
            req.ex.cut()
            return
        if answer.may_have_run and exc.code.ran == 'no':
            # Said of this try alone it would be true; the caller hears it of
            # the request, an earlier send of which may have run.
            exc = _Refused(codes.BROKEN)
        retry_s = 0.0
        if exc.code.ran == 'no':
            wait_ms = exc.figures.get('wait_ms', 0)
            wait_s = max(FULL_WAIT_S, float(wait_ms) / 1000)
            retry_s = comeback.retry_after_s(wait_s, req.left_s(), self._rng)
        req.refuse(exc.code, exc.figures, retry_s)


def _read_small(flight: ports.Flight, timeout_s: float) -> bytes:
    parts = []
    while part := flight.read(timeout_s):
        parts.append(part)
    return b''.join(parts)
