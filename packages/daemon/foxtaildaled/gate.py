"""What every request passes first: account, preset, service, limit, size.

A refusal here is made before anything was sent, so it would be "not run". But
a caller that sends its request again takes "not run" for an answer to its
earlier try too, which may be running at another VM. So a refused request with
a key is answered by `Visit.covering`, and the ticket of one that has a ticket
is voided first.
"""

import msgspec

from foxtaildale import codes
from foxtaildale import tickets
from foxtaildale import values
from foxtaildaled import desk
from foxtaildaled import limits
from foxtaildaled import visit as visits


class Fault(msgspec.Struct, frozen=True):
    """Why a request is not let in."""

    code: codes.Code
    figures: tuple[values.Figure, ...] = ()
    # When to come back, seconds; 0 where that makes no sense.
    again_s: float = 0.0


class Gate:
    """Lets requests in or answers why not."""

    __slots__ = ('_desk', '_limits', '_replies', 'stopping')

    _desk: desk.Desk
    _limits: limits.Shares
    _replies: visits.Replies
    # Whether the entry is being stopped.
    stopping: bool

    def __init__(
        self,
        ticket_desk: desk.Desk,
        replies: visits.Replies,
        parts: limits.Shares,
    ) -> None:
        self._desk = ticket_desk
        self._replies = replies
        # Keeps client accounts to this VM's part of their limits.
        self._limits = parts
        self.stopping = False

    def knows(self, visit: visits.Visit) -> bool:
        """Whether a client account has the caller's key; answers if none has.

        Without a preset nobody can say so; such a request is refused later.
        """
        in_force = visit.snapshot.in_force
        if in_force is None or not in_force.preset.accounts:
            return True
        if visit.account is not None:
            return True
        sent = 'authorization' in visit.ex.headers
        reason = 'no client account has its key' if sent else 'it has no key'
        self._replies.refuse(
            visit,
            '',
            codes.ACCOUNT_UNKNOWN,
            figures=(values.Figure('reason', reason),),
        )
        return False

    def admit(
        self,
        visit: visits.Visit,
        name: str,
        kind: str,
        call: str = '',
        *,
        counts: bool = True,
    ) -> values.Service | None:
        """Returns the service, or answers why there is none.

        Args:
            visit: The request.
            name: The service that it names.
            kind: What that must be, `model` or `plain`.
            call: What it calls there.
            counts: Whether it counts against its account's limit.
        """
        service = visit.snapshot.service(name)
        fault = self._fault(visit, service, name, kind)
        if fault is None and counts:
            fault = self._beyond_limit(visit)
        if fault is None:
            return service
        if visit.ticket and not self._void(visit, call):
            return None
        code = visit.covering(fault.code)
        again_s = visits.AGAIN_S if code.status == 503 else fault.again_s
        self._replies.refuse(
            visit, name, code, figures=fault.figures, retry_after_s=again_s
        )
        return None

    def _fault(
        self,
        visit: visits.Visit,
        service: values.Service | None,
        name: str,
        kind: str,
    ) -> Fault | None:
        if self.stopping:
            return Fault(codes.STOPPING)
        if visit.snapshot.in_force is None:
            return Fault(codes.NO_PRESET)
        if service is None or service.kind != kind:
            return Fault(codes.NO_SERVICE, (values.Figure('service', name),))
        found, limit = len(visit.ex.body), service.max_body_bytes
        if found <= limit:
            return None
        return Fault(
            codes.TOO_LARGE,
            (values.Figure('found', found), values.Figure('limit', limit)),
        )

    def _beyond_limit(self, visit: visits.Visit) -> Fault | None:
        account = visit.account
        if account is None or not account.limit.rate:
            return None
        verdict = self._limits.admit(account, 1)
        if not verdict.wait_s:
            return None
        limit = account.limit
        figures: dict[str, float | str] = {
            'account': account.name,
            'cost': 1,
            'remaining': int(verdict.level),
            'rate': limit.rate,
            'burst': limit.burst,
            'unit': limit.unit,
        }
        return Fault(
            codes.OVER_LIMIT,
            tuple(values.Figure(name, figures[name]) for name in figures),
            verdict.wait_s,
        )

    def _void(self, visit: visits.Visit, call: str) -> bool:
        """Voids the ticket of a request that is refused.

        Returns whether it will surely never run; otherwise the request has
        been answered with what is known of it.
        """
        ticket = tickets.from_text(visit.ticket)
        if ticket is None or self._desk.check(ticket, ticket.service):
            # Not one of ours: nobody runs it.
            return True
        reply = self._desk.void(ticket, call, visit.ex.body, visit.request)
        if codes.ran(reply.outcome.code) == 'no':
            return True
        self._replies.record(reply.outcome)
        self._replies.end(visit, reply.outcome)
        return False
