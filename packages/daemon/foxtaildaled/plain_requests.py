"""Requests to plain services, and the tickets that some of them require."""

from typing import Annotated
from typing import Final

import msgspec

from foxtaildale import codes
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildaled import claim_client
from foxtaildaled import plain_services
from foxtaildaled import request_checks
from foxtaildaled import request_context
from foxtaildaled import ticket_handler

PREFIX: Final = '/v1/services/'


class TicketsReq(msgspec.Struct, frozen=True):
    """Request for tickets of a service."""

    service: str
    count: Annotated[int, msgspec.Meta(ge=1, le=ticket_handler.MAX_TICKETS)] = 1


_tickets_req: Final = msgspec.json.Decoder(TicketsReq)


class TicketsReply(msgspec.Struct, frozen=True):
    """New tickets of a service."""

    service: str
    tickets: tuple[str, ...]


class PlainRequests:
    """Serves requests to plain services."""

    __slots__ = ('_claiming', '_desk', '_gate', '_plain', '_replies')

    _gate: request_checks.RequestChecks
    _replies: request_context.Replies
    _plain: plain_services.PlainServices
    _desk: ticket_handler.TicketHandler
    _claiming: claim_client.ClaimClient

    def __init__(
        self,
        *,
        admission: request_checks.RequestChecks,
        replies: request_context.Replies,
        services: plain_services.PlainServices,
        ticket_desk: ticket_handler.TicketHandler,
        claim_desk: claim_client.ClaimClient,
    ) -> None:
        self._gate = admission
        self._replies = replies
        self._plain = services
        self._desk = ticket_desk
        self._claiming = claim_desk

    def serve_call(self, visit: request_context.RequestContext) -> None:
        """Serves one request to a plain service.

        A service may require a ticket or a claim for each request.
        """
        path = visit.exchange.path.removeprefix(PREFIX)
        name, _slash, call = path.partition('/')
        if not call:
            self._replies.reject(visit, name, 'the path names no call')
            return
        service = self._gate.admit(visit, name, 'plain', call)
        if service is None:
            return
        if service.once == 'ticket':
            self._call_with_ticket(visit, name, call)
        elif service.once == 'claim':
            self._call_with_claim(visit, name, call)
        else:
            self._send_result(
                visit, name, self._call_service(visit, name, call)
            )

    def issue_tickets(self, visit: request_context.RequestContext) -> None:
        """Issues tickets."""
        try:
            req = decoding.decode(_tickets_req.decode, visit.exchange.body)
        except errors.DecodeError as exc:
            self._replies.reject(visit, '', str(exc))
            return
        service = self._gate.admit(
            visit, req.service, 'plain', counts_against_limit=False
        )
        if service is None:
            return
        if service.once != 'ticket':
            self._replies.reject(
                visit, req.service, 'the service does not use tickets'
            )
            return
        issued = self._desk.issue_tickets(req.service, req.count)
        if issued:
            self._replies.respond_document(
                visit, TicketsReply(req.service, issued)
            )
            return
        self._replies.refuse(
            visit,
            req.service,
            codes.NO_WITNESS,
            retry_after_s=request_context.DEFAULT_RETRY_AFTER_S,
        )

    def _call_with_ticket(
        self, visit: request_context.RequestContext, name: str, call: str
    ) -> None:
        if not visit.ticket:
            self._refuse_ticket(visit, name, codes.TICKET_NEEDED)
            return
        ticket = tickets.from_text(visit.ticket)
        if ticket is None or self._desk.check(ticket, name) is not None:
            self._refuse_ticket(visit, name, codes.TICKET_BAD)
            return
        reply = self._desk.run(ticket, call, visit.exchange.body, visit.request)
        self._send_ticket_reply(visit, name, reply)

    def _send_ticket_reply(
        self,
        visit: request_context.RequestContext,
        name: str,
        reply: messages.RunReply,
    ) -> None:
        if reply.outcome.request == visit.request:
            self._replies.record(reply.outcome)
        response = ticket_handler.decode_reply(reply.response)
        if reply.outcome.code == codes.OK.name and response is not None:
            self._replies.respond_service_reply(visit, reply.outcome, response)
            return
        not_run = codes.ran(reply.outcome.code) == 'no'
        new_tickets = self._desk.issue_tickets(name, 1) if not_run else ()
        self._replies.respond_outcome(visit, reply.outcome, new_tickets)

    def _refuse_ticket(
        self, visit: request_context.RequestContext, name: str, code: codes.Code
    ) -> None:
        self._replies.refuse(
            visit, name, code, fresh_tickets=self._desk.issue_tickets(name, 1)
        )

    def _call_with_claim(
        self, visit: request_context.RequestContext, name: str, call: str
    ) -> None:
        refusal = self._claiming.claim(visit, name, call)
        if refusal is not None:
            self._replies.refuse(
                visit,
                name,
                refusal.code,
                figures=refusal.figures,
                retry_after_s=refusal.retry_after_s,
            )
            return
        result = self._call_service(visit, name, call)
        outcome = self._replies.make_outcome(
            result.code, visit.request, name, visit.snapshot
        )
        self._claiming.report_outcome(name, visit.key, outcome)
        code = visit.refusal_code(result.code)
        self._send_result(
            visit, name, msgspec.structs.replace(result, code=code)
        )

    def _call_service(
        self, visit: request_context.RequestContext, name: str, call: str
    ) -> plain_services.Result:
        return self._plain.call(
            visit.snapshot, name, call, visit.exchange.body, visit.request
        )

    def _send_result(
        self,
        visit: request_context.RequestContext,
        name: str,
        result: plain_services.Result,
    ) -> None:
        outcome = self._replies.make_recorded_outcome(
            visit,
            name,
            result.code,
            figures=result.figures,
            retry_after_s=result.retry_after_s,
        )
        if result.reply is None:
            self._replies.respond_outcome(visit, outcome)
        else:
            self._replies.respond_service_reply(visit, outcome, result.reply)
