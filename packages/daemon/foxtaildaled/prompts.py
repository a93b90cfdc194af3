"""Prefills the prompt of a request at a prefill worker."""

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

# Maximum time of a prefill, seconds. A long prompt that is queued behind some
# others takes less; a worker that takes longer is dead or unreachable.
PREFILL_S: Final = 1.5
# Maximum number of prefill attempts for one attempt of a request. Each attempt
# that fails also spends one retry of the service's budget.
PREFILLS: Final = 3
# Part of the lifetime of a prefilled prompt in which it is offered to a decode
# worker again. The rest covers the network delay to the worker that holds it.
HANDLE_PART: Final = 0.7


# Called when a server has failed a request, or when another server has its
# address.
OnServer = Callable[[passage.Passage, forwarding.Backend], None]


class Prompts:
    """Sends the prompts of requests to prefill workers."""

    __slots__ = (
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
        owner: actors.Owner[beliefs.Beliefs],
        workers: ports.Workers,
        budgets: sends.Sends,
        send_limits: sendlimits.SendLimits,
        crash_probe: breaks.Breaks,
        clock: ports.Clock,
        on_failed: OnServer,
        on_replaced: OnServer,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._retry_budgets = budgets
        self._send_limits = send_limits
        self._crash_probe = crash_probe
        self._clock = clock
        self._on_failed = on_failed
        self._on_replaced = on_replaced

    def read(
        self,
        req: passage.Passage,
        placement: attempt.Spot,
        response: attempt.Answer,
    ) -> None:
        """Prefills the prompt, unless a prefill worker still holds it.

        A decode worker that was unreachable, or had no free memory, has not
        fetched the prefilled prompt; a second prefill would be wasted.

        Raises:
            attempt.Refused: The retry budget allows no further prefill.
        """
        prefilled = response.prefilled
        if prefilled is not None and self._has_restarted(prefilled.worker):
            response.prefilled = None
        age_s = self._clock() - response.prefilled_at
        ttl_s = req.service.handle_s * HANDLE_PART
        if response.prefilled is not None and age_s < ttl_s:
            req.log('prompt kept', held_ms=int(age_s * 1000))
            return
        if placement.reads_itself:
            response.prefilled = None
            return
        if response.prefills and not self._retry_budgets.take(
            req.service.name, req.deadline
        ):
            raise attempt.Refused(*response.unfinished())
        response.prefilled = self._prefill(req, placement, response)
        response.prefilled_at = self._clock()
        response.prefills += response.prefilled is not None

    def _has_restarted(self, worker: forwarding.Backend) -> bool:
        """Whether a worker has restarted, and so has lost its prompts."""
        return self._owner.run(
            lambda state, _: state.fleet.born(worker.id) > worker.born
        )

    def _prefill(
        self,
        req: passage.Passage,
        placement: attempt.Spot,
        response: attempt.Answer,
    ) -> forwarding.Prefilled | None:
        """Prefills the prompt at a prefill worker.

        Returns:
            The prefilled prompt; None if the decode worker must prefill it.

        Raises:
            attempt.Refused: The retry budget allows no attempt after one that
                failed, or the request is quarantined.
        """
        tried: list[str] = []
        while len(tried) < PREFILLS:
            preferred = None if tried else placement.prefiller
            server = self._choose_worker(req, tried, preferred)
            if server is None:
                return None
            attempt.check_held(req.held_s())
            tried.append(server.id)
            began_at = self._clock()
            prefilled = self._prefill_at(req, server)
            placement.prefill_s = self._clock() - began_at if prefilled else 0.0
            if prefilled is not None or req.gone.is_set():
                return prefilled
            # The next send, another prefill or a local prefill of the decode
            # worker, is a retry of this request.
            if not self._retry_budgets.take(req.service.name, req.deadline):
                raise attempt.Refused(*response.unfinished())
        return None

    def _choose_worker(
        self,
        req: passage.Passage,
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
            state: beliefs.Beliefs, now: float
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
            if self._send_limits.take(server.id):
                return server
        return None

    def _prefill_at(
        self, req: passage.Passage, server: forwarding.Backend
    ) -> forwarding.Prefilled | None:
        left_s = min(req.left_s(), PREFILL_S)
        flight = self._workers.prefill(req.call, server, left_s)
        self._owner.run(lambda state, _: state.fleet.sent(server.id))
        began_at = self._clock()
        try:
            req.attach(flight)
            flight.send(left_s)
            head = flight.head(left_s)
            body = read_small(flight, left_s)
            if head.ran == 'no':
                if head.replaces(server.id):
                    self._on_replaced(req, server)
                req.log('prefill refused', server=server.id, status=head.status)
                return None
            if not (head.ok and head.matches):
                raise errors.AnswerLostError(f'status {head.status}')
            handle = self._workers.handle(body)
        except (errors.PortError, errors.DecodeError) as exc:
            req.log('prefill failed', server=server.id, error=str(exc))
            if isinstance(exc, errors.PortError):
                self._crash_probe.note(req, server, exc, began_at=began_at)
            if not req.gone.is_set():
                self._on_failed(req, server)
            return None
        finally:
            req.attach(None)
            flight.close()
            self._owner.run(lambda state, _: state.fleet.ended(server.id))
        duration_s = self._clock() - began_at
        self._owner.run(
            lambda state, now: state.fleet.answered(server.id, now, duration_s)
        )
        req.log('prefilled', server=server.id, took_ms=int(duration_s * 1000))
        name = req.service.name
        req.counts.prefill_seconds.observe((duration_s,), name)
        req.counts.prefill_tokens.add(req.call.prompt_tokens, name)
        return forwarding.Prefilled(server, handle)


def read_small(flight: ports.Flight, timeout_s: float) -> bytes:
    """Reads a complete body that is known to be small.

    Raises:
        errors.AnswerLostError: The body broke off.
    """
    chunks = []
    while chunk := flight.read(timeout_s):
        chunks.append(chunk)
    return b''.join(chunks)
