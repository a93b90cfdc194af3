"""What every request passes first: is there a preset, a service, room for it.

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
from foxtaildaled import visit as visits


class Fault(msgspec.Struct, frozen=True):
    """Why a request is not let in."""

    code: codes.Code
    figures: tuple[values.Figure, ...] = ()


class Gate:
    """Lets requests in or answers why not."""

    __slots__ = ('_desk', '_replies', 'stopping')

    _desk: desk.Desk
    _replies: visits.Replies
    # Whether the entry is being stopped.
    stopping: bool

    def __init__(self, ticket_desk: desk.Desk, replies: visits.Replies) -> None:
        self._desk = ticket_desk
        self._replies = replies
        self.stopping = False

    def admit(
        self, visit: visits.Visit, name: str, kind: str, call: str = ''
    ) -> values.Service | None:
        """Returns the service, or answers why there is none."""
        service = visit.snapshot.service(name)
        fault = self._fault(visit, service, name, kind)
        if fault is None:
            return service
        if visit.ticket and not self._void(visit, call):
            return None
        code = visit.covering(fault.code)
        again_s = visits.AGAIN_S if code.status == 503 else 0.0
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
