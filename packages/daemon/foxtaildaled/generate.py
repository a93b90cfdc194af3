"""Requests for model engines: a place, a prefill, a transfer, a stream.

`spots` finds a place at a decode worker first, since a prompt that is read and
finds none is work for nobody. `prompts` has the prompt read, and the decode
worker fetches it and streams. Whole events are passed on as they come. A stream
that breaks goes on at another worker where its route allows that.
"""

from collections.abc import Callable
import random
from typing import Final

from foxtaildale import codes
from foxtaildale import comeback
from foxtaildale import errors
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import attempt
from foxtaildaled import beliefs
from foxtaildaled import breaks
from foxtaildaled import passage
from foxtaildaled import prompts
from foxtaildaled import sends
from foxtaildaled import spots

# Longest silence of a stream that may go on elsewhere, seconds: five times the
# pause that is still on time.
SILENCE_GAPS: Final = 5.0
SILENCE_S: Final = 1.2
# Connections to decode workers that may fail to open before a request is given
# up. Nothing was sent by those, so they draw on no budget; a crashed engine is
# known to all a few milliseconds after two VMs have met it.
CONNECTS: Final = 4
# How long a full service stays full, seconds: some answers end in that time.
FULL_WAIT_S: Final = 0.8


class Generate:
    """Serves requests for model engines."""

    __slots__ = (
        '_breaks',
        '_clock',
        '_on_completed',
        '_owner',
        '_prompts',
        '_rng',
        '_sends',
        '_spots',
        '_tidy',
        '_workers',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        workers: ports.Workers,
        budget: sends.Sends,
        finder: spots.Spots,
        reader: prompts.Prompts,
        tidy: ports.Tidy,
        broken: breaks.Breaks,
        on_completed: Callable[[int], None],
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._sends = budget
        self._spots = finder
        self._prompts = reader
        self._tidy = tidy
        self._breaks = broken
        # Takes the fingerprint of a request that ran to its good end.
        self._on_completed = on_completed
        self._clock = clock
        self._rng = rng

    def serve(self, req: passage.Passage) -> None:
        """Answers one request before it returns."""
        self._sends.first(req.service.name)
        answer = attempt.Answer(req.call.after_event)
        sent: list[str] = []
        try:
            while not self._attempt(req, answer, sent):
                self._allow_another(req, answer)
        except attempt.Refused as exc:
            self._end(req, answer, exc)
        finally:
            if answer.prefilled is not None:
                self._tidy.free(answer.prefilled)
                req.counts.wasted_prefill_tokens.add(
                    req.call.prompt_tokens, req.service.name
                )

    def _allow_another(
        self, req: passage.Passage, answer: attempt.Answer
    ) -> None:
        """Lets it be tried again.

        Raises:
            attempt.Refused: It ends here.
        """
        if answer.unsent:
            answer.unsent = False
            if answer.unopened < CONNECTS:
                return
            raise attempt.Refused(*answer.unfinished('no connection opened'))
        allowed = self._sends.take(req.service.name, req.deadline)
        req.log('retry', allowed=allowed)
        if not allowed:
            raise attempt.Refused(*answer.unfinished())
        req.counts.retries.add(1, req.service.name)

    def _attempt(
        self, req: passage.Passage, answer: attempt.Answer, sent: list[str]
    ) -> bool:
        """Runs it once; False if it should go on elsewhere.

        Raises:
            attempt.Refused: It ends here.
        """
        req.call.after_event = answer.splitter.position
        began = self._clock()
        spot = self._spots.find(req, sent, started=answer.started)
        waited_s = self._clock() - began
        req.counts.wait_seconds.observe((waited_s,), req.service.name)
        reserved = spot.reserved
        tokens = reserved.tokens
        used = False
        self._owner.run(
            lambda state, _: state.fleet.sent(reserved.worker.id, tokens)
        )
        try:
            self._prompts.read(req, spot, answer)
            attempt.check_held(req.held_s())
            if req.caller_gone():
                raise attempt.Refused(codes.CANCELLED if sent else codes.GONE)
            if not self._spots.takes(reserved.worker):
                req.log('place given up', server=reserved.worker.id)
                answer.unsent = True
                answer.unopened += 1
                return False
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
            self._spots.give_back(req, spot)

    def _decode(
        self,
        req: passage.Passage,
        answer: attempt.Answer,
        spot: attempt.Spot,
        sent: list[str],
    ) -> bool:
        reserved = spot.reserved
        prefilled = answer.prefilled
        server = reserved.worker
        left_s = req.left_s()
        flight = self._workers.decode(
            req.call,
            reserved,
            prefilled,
            left_s,
            repeatable=req.route.resumable,
        )
        req.log(
            'sent',
            server=server.id,
            attempt=len(sent),
            fingerprint=fingerprint.text(req.fingerprint),
        )
        before = answer.splitter.position or 0
        began = self._clock()
        head_at: float | None = None
        try:
            req.attach(flight)
            flight.send(left_s)
            head = flight.head(self._patience(req, sent))
            head_at = self._clock()
            if head.ran == 'no':
                spot.refused = not head.misdirected
                req.log('not run', server=server.id, status=head.status)
                if head.replaces(server.id):
                    self._spots.replaced(req, server)
                    # It never reached the server that it was sent to.
                    sent.remove(server.id)
                    return False
                if answer.started or len(sent) < req.route.max_attempts:
                    return False
                raise attempt.Refused(codes.BACKEND_REFUSED, reason='full')
            answer.prefilled = None
            if not head.matches:
                raise errors.AnswerLostError('answer to another request')
            if not head.ok:
                return self._pass_on(req, answer, flight, head, sent)
            self._relay(req, answer, flight, head, sent)
            spot.whole = True
            if not req.ended_stages - {server.stage}:
                self._on_completed(req.fingerprint)
        except errors.PortError as exc:
            self._breaks.note(
                req,
                server,
                exc,
                began_at=began if head_at is None else head_at,
                began=head_at is not None,
            )
            return self._broken(req, answer, server, exc, sent)
        finally:
            req.attach(None)
            flight.close()
            spot.decode_s = self._clock() - began
            spot.events = (answer.splitter.position or 0) - before
        self._owner.run(lambda state, now: state.fleet.answered(server.id, now))
        return True

    def _relay(
        self,
        req: passage.Passage,
        answer: attempt.Answer,
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
        self,
        req: passage.Passage,
        answer: attempt.Answer,
        head: forwarding.Head,
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
        answer: attempt.Answer,
        flight: ports.Flight,
        head: forwarding.Head,
        sent: list[str],
    ) -> bool:
        """Handles an error that the worker gave as its answer."""
        body = prompts.read_small(flight, req.left_s())
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
        answer: attempt.Answer,
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
            raise attempt.Refused(codes.CANCELLED) from exc
        self._spots.failed(req, server)
        if isinstance(exc, errors.UnreachableError):
            # Nothing was sent, so this was no attempt.
            sent.remove(server.id)
            answer.unsent = True
            answer.unopened += 1
            return False
        if not self._may_go_on(req, sent):
            if req.left_s() < passage.MIN_LEFT_S:
                limit_ms = int((req.deadline - req.started_at) * 1000)
                raise attempt.Refused(
                    codes.TIMED_OUT, limit_ms=limit_ms
                ) from exc
            raise attempt.Refused(codes.BROKEN) from exc
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

    def _end(
        self, req: passage.Passage, answer: attempt.Answer, exc: attempt.Refused
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
            exc = attempt.Refused(codes.BROKEN)
        retry_s = 0.0
        if exc.retry_after_s:
            retry_s = comeback.not_before_s(exc.retry_after_s, self._rng)
        elif exc.code.ran == 'no':
            wait_ms = exc.figures.get('wait_ms', 0)
            wait_s = max(FULL_WAIT_S, float(wait_ms) / 1000)
            retry_s = comeback.retry_after_s(wait_s, req.left_s(), self._rng)
        req.refuse(exc.code, exc.figures, retry_s)
