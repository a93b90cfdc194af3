"""Requests of plain services, forwarded whole.

A request that may have run is sent again only if its route says that it may be
repeated; one that surely did not run may be sent on within the attempts of its
route. An answer is read whole before the caller gets any of it, so that one
which breaks off can still be replaced.
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
from foxtaildaled import beliefs
from foxtaildaled import breaks
from foxtaildaled import passage
from foxtaildaled import sendlimits
from foxtaildaled import sends

# Servers that may turn out not to be there before a request is given up. Their
# connections don't open, or another server says that it has their address; the
# one that was meant got nothing, so they are no attempts.
CONNECTS: Final = 3
# An idempotent request without an answer is sent elsewhere after this many
# times its target, and no sooner than the least, seconds: a server that hangs
# would keep it until its deadline.
STALLED_TARGETS: Final = 2.0
STALLED_S: Final = 0.5
# Longest answer held in memory, bytes.
MAX_BODY: Final = 16 * 1024 * 1024
# How long a full service stays full, seconds. A slot comes free sooner, but who
# is refused in a burst of some seconds can't be in time any more, and who comes
# back at once meets the same burst.
FULL_WAIT_S: Final = 0.8


class _Whole:
    """A whole answer of a backend server."""

    __slots__ = ('body', 'head')

    def __init__(self, head: forwarding.Head, body: bytes) -> None:
        self.head = head
        self.body = body


class _Tries:
    """What was tried for one request."""

    __slots__ = (
        'arrived',
        'last',
        'limited',
        'may_have_run',
        'missed',
        'sent',
        'servers',
    )

    def __init__(self) -> None:
        # Ids of the servers, in order.
        self.servers: list[str] = []
        # Requests that left, and those that reached the server that they were
        # sent to.
        self.arrived = 0
        self.sent = 0
        # Servers that were not there: connections that did not open, and other
        # servers that answered in their place.
        self.missed = 0
        # The last answer; None if the last send got none.
        self.last: _Whole | None = None
        # Whether servers are left, none of which takes a request now.
        self.limited = False
        # Whether a send may have run without an answer that says so.
        self.may_have_run = False


class Forward:
    """Serves requests of plain services."""

    __slots__ = (
        '_breaks',
        '_clock',
        '_on_completed',
        '_owner',
        '_rng',
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
        on_completed: Callable[[int], None],
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._workers = workers
        self._sends = budget
        self._send_limits = send_limits
        self._breaks = broken
        # Takes the fingerprint of a request that ran to its good end.
        self._on_completed = on_completed
        self._clock = clock
        self._rng = rng

    def serve(self, req: passage.Passage) -> None:
        """Answers one request before it returns."""
        self._sends.first(req.service.name)
        tries = _Tries()
        while self._step(req, tries):
            pass

    def _step(self, req: passage.Passage, tries: _Tries) -> bool:
        """Tries one server; returns whether to go on with another."""
        if req.caller_gone():
            req.refuse(codes.CANCELLED if tries.sent else codes.GONE)
            return False
        server = None if req.held_s() else self._choose(req, tries)
        if server is None or not self._may_send(req, tries, server):
            self._give_up(req, tries)
            return False
        tries.servers.append(server.id)
        req.log(
            'sent',
            server=server.id,
            attempt=tries.sent + 1,
            fingerprint=fingerprint.text(req.fingerprint),
        )
        outcome = self._send(req, server, tries.sent)
        if isinstance(outcome, _Whole):
            return self._on_answer(req, tries, outcome)
        return self._on_error(req, tries, outcome)

    def _on_answer(
        self, req: passage.Passage, tries: _Tries, got: _Whole
    ) -> bool:
        tries.arrived += 1
        if got.head.replaces(tries.servers[-1]):
            tries.missed += 1
        else:
            tries.sent += 1
        tries.last = got
        if self._again(req, got, tries.sent):
            req.log(
                'answer put aside',
                server=tries.servers[-1],
                status=got.head.status,
                ran=got.head.ran,
            )
            return True
        self._deliver(req, got)
        return False

    def _on_error(
        self, req: passage.Passage, tries: _Tries, exc: errors.PortError
    ) -> bool:
        if isinstance(exc, errors.UnreachableError):
            tries.missed += 1
            return True
        tries.arrived += 1
        tries.sent += 1
        tries.last = None
        tries.may_have_run = True
        if req.gone.is_set():
            req.refuse(codes.CANCELLED)
            return False
        if not req.route.repeatable:
            self._fail(req)
            return False
        return True

    def _choose(
        self, req: passage.Passage, tries: _Tries
    ) -> forwarding.Backend | None:
        """Returns the best server that was not tried and takes a request."""
        service = req.service.name
        repeatable = req.route.repeatable

        def turn(
            state: beliefs.Beliefs, now: float
        ) -> list[forwarding.Backend]:
            found = state.fleet.candidates(
                service, now, avoid=tries.servers, repeatable=repeatable
            )
            return [tally.backend for tally in found]

        found = self._owner.run(turn)
        for server in found:
            if self._send_limits.take(server.id):
                return server
        tries.limited = bool(found)
        return None

    def _may_send(
        self, req: passage.Passage, tries: _Tries, server: forwarding.Backend
    ) -> bool:
        if tries.missed >= CONNECTS or req.left_s() < passage.MIN_LEFT_S:
            return False
        if not tries.arrived:
            return True
        if tries.sent >= req.route.max_attempts:
            return False
        allowed = self._sends.take(req.service.name, req.deadline)
        req.log('retry', server=server.id, allowed=allowed)
        if allowed:
            req.counts.retries.add(1, req.service.name)
        return allowed

    def _send(
        self, req: passage.Passage, server: forwarding.Backend, sent: int
    ) -> _Whole | errors.PortError:
        """Sends once; an error says whether anything was sent."""
        left_s = req.left_s()
        flight = self._workers.plain(
            req.call, server, left_s, repeatable=req.route.repeatable
        )
        self._owner.run(lambda state, _: state.fleet.sent(server.id))
        began = self._clock()
        head: forwarding.Head | None = None
        try:
            req.attach(flight)
            flight.send(left_s)
            head = flight.head(self._patience(req, sent))
            if not head.matches:
                raise errors.AnswerLostError('answer to another request')
            return _Whole(head, _read(flight, req))
        except errors.PortError as exc:
            req.log('send failed', server=server.id, error=str(exc))
            self._breaks.note(req, server, exc, began_at=began)
            head = None
            return exc
        finally:
            req.attach(None)
            flight.close()
            self._note(req, server, head, self._clock() - began)

    def _patience(self, req: passage.Passage, sent: int) -> float:
        left_s = req.left_s()
        if not req.route.repeatable or sent + 1 >= req.route.max_attempts:
            return left_s
        return min(left_s, max(STALLED_S, STALLED_TARGETS * req.route.target_s))

    def _note(
        self,
        req: passage.Passage,
        server: forwarding.Backend,
        head: forwarding.Head | None,
        took_s: float,
    ) -> None:
        """Notes the end of a send; the head is None if no whole answer came."""

        def turn(state: beliefs.Beliefs, now: float) -> None:
            state.fleet.ended(server.id)
            if head is None:
                if not req.gone.is_set():
                    state.plain_failed(server.id, now)
            elif head.ran == 'no':
                return
            elif head.status >= 500:
                state.plain_failed(server.id, now)
            else:
                state.experience.note(server.id, failed=False)
                state.fleet.answered(server.id, now, took_s)

        self._owner.run(turn)

    def _again(self, req: passage.Passage, got: _Whole, sent: int) -> bool:
        """Whether another server should be tried after this answer."""
        if got.head.ran == 'no':
            return True
        return (
            got.head.status >= 500
            and req.route.repeatable
            and sent < req.route.max_attempts
        )

    def _give_up(self, req: passage.Passage, tries: _Tries) -> None:
        last = tries.last
        if last is not None and last.head.ran != 'no':
            self._deliver(req, last)
        elif tries.may_have_run:
            self._fail(req)
        elif req.held_s():
            req.refuse_held()
        else:
            self._refuse(req, tries)

    def _refuse(self, req: passage.Passage, tries: _Tries) -> None:
        """Refuses what no server takes, and says for how long."""
        name = req.service.name
        backoff_s = self._owner.run(
            lambda state, now: state.fleet.backoff_s(name, now)
        )
        code, reason = codes.BACKEND_REFUSED, ''
        if backoff_s:
            reason = 'backoff'
        elif tries.limited:
            reason = 'limited'
        elif tries.arrived:
            reason = 'full'
        else:
            code = codes.NO_BACKEND
        if backoff_s:
            retry_s = comeback.not_before_s(backoff_s, self._rng)
        else:
            left_s = req.left_s()
            retry_s = comeback.retry_after_s(FULL_WAIT_S, left_s, self._rng)
        req.refuse(code, {'reason': reason} if reason else {}, retry_s)

    def _fail(self, req: passage.Passage) -> None:
        if req.left_s() < passage.MIN_LEFT_S:
            limit_ms = int((req.deadline - req.started_at) * 1000)
            req.refuse(codes.TIMED_OUT, {'limit_ms': limit_ms})
        else:
            req.refuse(codes.UNKNOWN)

    def _deliver(self, req: passage.Passage, got: _Whole) -> None:
        if got.head.ok:
            self._on_completed(req.fingerprint)
        whole = req.ex.respond(
            got.head.status, dict(got.head.headers), got.body
        )
        req.answered(got.head.status, whole=whole)


def _read(flight: ports.Flight, req: passage.Passage) -> bytes:
    """Reads a whole body.

    Raises:
        errors.AnswerLostError: It broke off, or is too long.
    """
    parts = []
    size = 0
    while part := flight.read(req.left_s()):
        parts.append(part)
        size += len(part)
        if size > MAX_BODY:
            raise errors.AnswerLostError(f'answer above {MAX_BODY} bytes')
    return b''.join(parts)
