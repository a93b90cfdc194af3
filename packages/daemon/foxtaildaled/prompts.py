"""Has the prompt of a request read by a prefill worker."""

from collections.abc import Callable
from typing import Final

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import attempt
from foxtaildaled import beliefs
from foxtaildaled import breaks
from foxtaildaled import passage
from foxtaildaled import sendlimits
from foxtaildaled import sends

# Longest wait for a prefill, seconds; a long prompt behind some others takes less.
# A worker that takes longer is dead or dark.
PREFILL_S: Final = 1.5
# Prefills of one request; each that fails counts against the shared budget.
PREFILLS: Final = 3
# Part of the life of a prefilled prompt in which it is offered again; the rest
# is for the way to the worker that holds it.
HANDLE_PART: Final = 0.7


# Takes the failure of a server under a request, or that another one has its
# address.
OnServer = Callable[[passage.Passage, forwarding.Backend], None]


class Prompts:
    """Sends prompts to prefill workers."""

    __slots__ = (
        '_breaks',
        '_clock',
        '_failed',
        '_owner',
        '_replaced',
        '_send_limits',
        '_sends',
        '_workers',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        workers: ports.Workers,
        budget: sends.Sends,
        send_limits: sendlimits.SendLimits,
        broken: breaks.Breaks,
        clock: ports.Clock,
        failed: OnServer,
        replaced: OnServer,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._sends = budget
        self._send_limits = send_limits
        self._breaks = broken
        self._clock = clock
        self._failed = failed
        self._replaced = replaced

    def read(
        self, req: passage.Passage, spot: attempt.Spot, answer: attempt.Answer
    ) -> None:
        """Has the prompt read, unless it was and is still there.

        A decode worker that could not be reached, or had no room, took
        nothing; reading the prompt again would be work for nobody.

        Raises:
            attempt.Refused: It would be read once more than is allowed.
        """
        prefilled = answer.prefilled
        if prefilled is not None and self._is_lost(prefilled.worker):
            answer.prefilled = None
        age_s = self._clock() - answer.prefilled_at
        life_s = req.service.handle_s * HANDLE_PART
        if answer.prefilled is not None and age_s < life_s:
            req.log('prompt kept', held_ms=int(age_s * 1000))
            return
        if spot.reads_itself:
            answer.prefilled = None
            return
        if answer.prefills and not self._sends.take(
            req.service.name, req.deadline
        ):
            raise attempt.Refused(*answer.unfinished())
        answer.prefilled = self._prefill(req, spot, answer)
        answer.prefilled_at = self._clock()
        answer.prefills += answer.prefilled is not None

    def _is_lost(self, worker: forwarding.Backend) -> bool:
        """Whether a worker started again, and holds nothing of before."""
        return self._owner.run(
            lambda state, _: state.fleet.born(worker.id) > worker.born
        )

    def _prefill(
        self, req: passage.Passage, spot: attempt.Spot, answer: attempt.Answer
    ) -> forwarding.Prefilled | None:
        """Has the prompt read; None if the decode worker must read it.

        Raises:
            attempt.Refused: No send beyond one that failed is allowed, or it
                is held.
        """
        tried: list[str] = []
        while len(tried) < PREFILLS:
            first = None if tried else spot.prefiller
            server = self._prefiller(req, tried, first)
            if server is None:
                return None
            attempt.check_held(req.held_s())
            tried.append(server.id)
            began = self._clock()
            prefilled = self._prefill_at(req, server)
            spot.prefill_s = self._clock() - began if prefilled else 0.0
            if prefilled is not None or req.gone.is_set():
                return prefilled
            # Whatever follows, another prefill or the decode worker, is one
            # more send of this request.
            if not self._sends.take(req.service.name, req.deadline):
                raise attempt.Refused(*answer.unfinished())
        return None

    def _prefiller(
        self,
        req: passage.Passage,
        tried: list[str],
        first: forwarding.Backend | None,
    ) -> forwarding.Backend | None:
        """Returns the first that takes a request now, the given one if it does."""
        if not req.service.kv_tokens:
            return None

        def turn(
            state: beliefs.Beliefs, now: float
        ) -> list[forwarding.Backend]:
            found = [
                tally.backend
                for tally in state.fleet.candidates(
                    req.service.name, now, 'prefill', tried
                )
            ]
            if first is not None:
                found.sort(key=lambda server: server.id != first.id)
            return found

        for server in self._owner.run(turn):
            if self._send_limits.take(server.id):
                return server
        return None

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
            body = read_small(flight, left_s)
            if head.ran == 'no':
                if head.replaces(server.id):
                    self._replaced(req, server)
                req.log('prefill refused', server=server.id, status=head.status)
                return None
            if not (head.ok and head.matches):
                raise errors.AnswerLostError(f'status {head.status}')
            handle = self._workers.handle(body)
        except (errors.PortError, errors.DecodeError) as exc:
            req.log('prefill failed', server=server.id, error=str(exc))
            if isinstance(exc, errors.PortError):
                self._breaks.note(req, server, exc, began_at=began)
            if not req.gone.is_set():
                self._failed(req, server)
            return None
        finally:
            req.attach(None)
            flight.close()
            self._owner.run(lambda state, _: state.fleet.ended(server.id))
        took_s = self._clock() - began
        self._owner.run(
            lambda state, now: state.fleet.answered(server.id, now, took_s)
        )
        req.log('prefilled', server=server.id, took_ms=int(took_s * 1000))
        name = req.service.name
        req.counts.prefill_seconds.observe((took_s,), name)
        req.counts.prefill_tokens.add(req.call.prompt_tokens, name)
        return forwarding.Prefilled(server, handle)


def read_small(flight: ports.Flight, timeout_s: float) -> bytes:
    """Reads a whole body that is known to be small.

    Raises:
        errors.AnswerLostError: It broke off.
    """
    parts = []
    while part := flight.read(timeout_s):
        parts.append(part)
    return b''.join(parts)
