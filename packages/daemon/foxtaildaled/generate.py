"""Serves requests for model engines: placement, prefill, transfer and stream.

`spots` finds a placement at a decode worker first, since the prefill of a
prompt without a placement would be wasted. `prompts` then has the prompt
prefilled, and the decode worker fetches it and streams the response. Events are
relayed to the caller as soon as they are complete. A broken stream is resumed
at another worker if the route allows that.
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

# Maximum silence of a stream that may be resumed at another worker, as a
# multiple of the longest pause between events that still meets the target.
SILENCE_GAPS: Final = 5.0
# Minimum of that silence, seconds.
SILENCE_S: Final = 1.2
# Maximum number of connections to decode workers that may fail to open before a
# request is refused. Nothing was sent over them, so they don't spend the retry
# budget. All VMs know of a crashed engine a few milliseconds after two VMs have
# failed to connect to it.
CONNECTS: Final = 4
# Assumed time for which a full service stays full, seconds: some responses end
# in that time.
FULL_WAIT_S: Final = 0.8


class Generate:
    """Serves requests for model engines; resumes them where allowed."""

    __slots__ = (
        '_cleanup',
        '_clock',
        '_crash_probe',
        '_on_completed',
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
        owner: actors.Owner[beliefs.Beliefs],
        workers: ports.Workers,
        budgets: sends.Sends,
        placements: spots.Spots,
        prefill_client: prompts.Prompts,
        cleanup: ports.Tidy,
        crash_probe: breaks.Breaks,
        on_completed: Callable[[int], None],
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._retry_budgets = budgets
        self._placements = placements
        self._prefill_client = prefill_client
        self._cleanup = cleanup
        self._crash_probe = crash_probe
        # Called with the fingerprint of a request that completed successfully.
        self._on_completed = on_completed
        self._clock = clock
        self._rng = rng

    def serve(self, req: passage.Passage) -> None:
        """Serves one request; returns after its final response is sent."""
        self._retry_budgets.first(req.service.name)
        response = attempt.Answer(req.call.after_event)
        sent_ids: list[str] = []
        try:
            while not self._run_attempt(req, response, sent_ids):
                self._check_retry(req, response)
        except attempt.Refused as exc:
            self._send_failure(req, response, exc)
        finally:
            if response.prefilled is not None:
                self._cleanup.free(response.prefilled)
                req.counts.wasted_prefill_tokens.add(
                    req.call.prompt_tokens, req.service.name
                )

    def _check_retry(
        self, req: passage.Passage, response: attempt.Answer
    ) -> None:
        """Checks that another attempt is allowed; spends the retry budget.

        Raises:
            attempt.Refused: No further attempt is allowed.
        """
        if response.unsent:
            response.unsent = False
            if response.unopened < CONNECTS:
                return
            raise attempt.Refused(*response.unfinished('no connection opened'))
        allowed = self._retry_budgets.take(req.service.name, req.deadline)
        req.log('retry', allowed=allowed)
        if not allowed:
            raise attempt.Refused(*response.unfinished())
        req.counts.retries.add(1, req.service.name)

    def _run_attempt(
        self,
        req: passage.Passage,
        response: attempt.Answer,
        sent_ids: list[str],
    ) -> bool:
        """Makes one attempt; returns False if another one should follow.

        Raises:
            attempt.Refused: The request ends without another attempt.
        """
        req.call.after_event = response.splitter.position
        began_at = self._clock()
        placement = self._placements.find(
            req, sent_ids, started=response.started
        )
        waited_s = self._clock() - began_at
        req.counts.wait_seconds.observe((waited_s,), req.service.name)
        reservation = placement.reserved
        tokens = reservation.tokens
        reservation_used = False
        self._owner.run(
            lambda state, _: state.fleet.sent(reservation.worker.id, tokens)
        )
        try:
            self._prefill_client.read(req, placement, response)
            attempt.check_held(req.held_s())
            if req.caller_gone():
                raise attempt.Refused(
                    codes.CANCELLED if sent_ids else codes.GONE
                )
            if not self._placements.takes(reservation.worker):
                req.log('place given up', server=reservation.worker.id)
                response.unsent = True
                response.unopened += 1
                return False
            reservation_used = True
            if reservation.worker.id not in sent_ids:
                sent_ids.append(reservation.worker.id)
            return self._decode(req, response, placement, sent_ids)
        finally:
            if not reservation_used and reservation.hold:
                self._cleanup.release(reservation)
            self._owner.run(
                lambda state, _: state.fleet.ended(
                    reservation.worker.id, tokens
                )
            )
            self._placements.give_back(req, placement)

    def _decode(
        self,
        req: passage.Passage,
        response: attempt.Answer,
        placement: attempt.Spot,
        sent_ids: list[str],
    ) -> bool:
        reservation = placement.reserved
        prefilled = response.prefilled
        server = reservation.worker
        left_s = req.left_s()
        flight = self._workers.decode(
            req.call,
            reservation,
            prefilled,
            left_s,
            repeatable=req.route.resumable,
        )
        req.log(
            'sent',
            server=server.id,
            attempt=len(sent_ids),
            fingerprint=fingerprint.text(req.fingerprint),
        )
        first_position = response.splitter.position or 0
        began_at = self._clock()
        head_at: float | None = None
        try:
            req.attach(flight)
            flight.send(left_s)
            head = flight.head(self._max_silence_s(req, sent_ids))
            head_at = self._clock()
            if head.ran == 'no':
                placement.refused = not head.misdirected
                req.log('not run', server=server.id, status=head.status)
                if head.replaces(server.id):
                    self._placements.replaced(req, server)
                    # The request never reached the intended server.
                    sent_ids.remove(server.id)
                    return False
                if response.started or len(sent_ids) < req.route.max_attempts:
                    return False
                raise attempt.Refused(codes.BACKEND_REFUSED, reason='full')
            response.prefilled = None
            if not head.matches:
                raise errors.AnswerLostError('response to another request')
            if not head.ok:
                return self._relay_error(req, response, flight, head, sent_ids)
            self._relay(req, response, flight, head, sent_ids)
            placement.whole = True
            if not req.ended_stages - {server.stage}:
                self._on_completed(req.fingerprint)
        except errors.PortError as exc:
            self._crash_probe.note(
                req,
                server,
                exc,
                began_at=began_at if head_at is None else head_at,
                began=head_at is not None,
            )
            return self._on_broken(req, response, server, exc, sent_ids)
        finally:
            req.attach(None)
            flight.close()
            placement.decode_s = self._clock() - began_at
            placement.events = (
                response.splitter.position or 0
            ) - first_position
        self._owner.run(lambda state, now: state.fleet.answered(server.id, now))
        return True

    def _relay(
        self,
        req: passage.Passage,
        response: attempt.Answer,
        flight: ports.Flight,
        head: forwarding.Head,
        sent_ids: list[str],
    ) -> None:
        """Relays complete events to the caller until the end of the stream.

        Raises:
            errors.AnswerLostError: The stream broke off, or the caller has
                disconnected.
        """
        splitter = response.splitter
        splitter.restart()
        event_count = 0
        while chunk := flight.read(self._max_silence_s(req, sent_ids)):
            complete_events = splitter.feed(chunk)
            if not complete_events:
                continue
            if not response.started:
                self._start_response(req, response, head)
            event_count += 1
            if not req.ex.send(complete_events):
                req.gone.set()
                raise errors.AnswerLostError('the caller has disconnected')
        if splitter.partial:
            raise errors.AnswerLostError('the stream ended within an event')
        if not response.started:
            self._start_response(req, response, head)
        complete = req.ex.finish()
        req.answered(
            head.status,
            whole=complete,
            blocks=event_count,
            position=splitter.position,
        )

    def _start_response(
        self,
        req: passage.Passage,
        response: attempt.Answer,
        head: forwarding.Head,
    ) -> None:
        response.started = True
        req.log('first event')
        req.counts.first_answer_seconds.observe(
            (req.age_s(),), req.service.name
        )
        if not req.ex.start(head.status, dict(head.headers)):
            req.gone.set()
            raise errors.AnswerLostError('the caller has disconnected')

    def _relay_error(
        self,
        req: passage.Passage,
        response: attempt.Answer,
        flight: ports.Flight,
        head: forwarding.Head,
        sent_ids: list[str],
    ) -> bool:
        """Handles an error response of the worker.

        Returns:
            True; the error was sent to the caller.

        Raises:
            errors.AnswerLostError: The request should be resumed at another
                worker instead, or a part of the response was sent before.
        """
        body = prompts.read_small(flight, req.left_s())
        if response.started or (
            head.status >= 500 and self._may_resume(req, sent_ids)
        ):
            raise errors.AnswerLostError(f'status {head.status}')
        complete = req.ex.respond(head.status, dict(head.headers), body)
        req.answered(head.status, whole=complete)
        return True

    def _on_broken(
        self,
        req: passage.Passage,
        response: attempt.Answer,
        server: forwarding.Backend,
        exc: errors.PortError,
        sent_ids: list[str],
    ) -> bool:
        req.log('stream broken', server=server.id, error=str(exc))
        if not isinstance(exc, errors.UnreachableError):
            # The worker may have fetched the prompt and started.
            response.prefilled = None
            response.may_have_run = True
        if req.gone.is_set():
            raise attempt.Refused(codes.CANCELLED) from exc
        self._placements.failed(req, server)
        if isinstance(exc, errors.UnreachableError):
            # Nothing was sent, so this does not count as an attempt.
            sent_ids.remove(server.id)
            response.unsent = True
            response.unopened += 1
            return False
        if not self._may_resume(req, sent_ids):
            if req.left_s() < passage.MIN_LEFT_S:
                limit_ms = int((req.deadline - req.started_at) * 1000)
                raise attempt.Refused(
                    codes.TIMED_OUT, limit_ms=limit_ms
                ) from exc
            raise attempt.Refused(codes.BROKEN) from exc
        return False

    def _may_resume(self, req: passage.Passage, sent_ids: list[str]) -> bool:
        return (
            req.route.resumable
            and len(sent_ids) < req.route.max_attempts
            and req.left_s() > passage.MIN_LEFT_S
        )

    def _max_silence_s(
        self, req: passage.Passage, sent_ids: list[str]
    ) -> float:
        """Returns the maximum silence of a worker, seconds."""
        left_s = req.left_s()
        if not self._may_resume(req, sent_ids):
            return left_s
        return min(left_s, max(SILENCE_S, SILENCE_GAPS * req.route.gap_s))

    def _send_failure(
        self,
        req: passage.Passage,
        response: attempt.Answer,
        exc: attempt.Refused,
    ) -> None:
        if response.started:
            # The connection is cut, so that the caller does not take a partial
            # response for a complete one.
            req.log('failed', code=exc.code.name, status=exc.code.status)
            req.counts.requests.add(1, req.service.name, exc.code.name)
            req.ex.cut()
            return
        if response.may_have_run and exc.code.ran == 'no':
            # The last attempt did not run, but the code is reported for the
            # whole request, and an earlier attempt of it may have run.
            exc = attempt.Refused(codes.BROKEN)
        retry_s = 0.0
        if exc.retry_after_s:
            retry_s = comeback.not_before_s(exc.retry_after_s, self._rng)
        elif exc.code.ran == 'no':
            wait_ms = exc.figures.get('wait_ms', 0)
            wait_s = max(FULL_WAIT_S, float(wait_ms) / 1000)
            retry_s = comeback.retry_after_s(wait_s, req.left_s(), self._rng)
        req.refuse(exc.code, exc.figures, retry_s)
