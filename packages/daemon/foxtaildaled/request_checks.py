"""Checks of each request: account, preset, service, limit and body size.

A request refused here was not sent to any backend server, so its outcome would
be "not run". A caller that retries a request, however, applies "not run" to its
earlier attempts too, and one of them may be running at another VM. For a
request with a key, `RequestContext.refusal_code` therefore chooses the code of
the refusal. The ticket of a request is voided before the request is refused.
"""

import msgspec

from foxtaildale import codes
from foxtaildale import tickets
from foxtaildale import values
from foxtaildaled import account_limits
from foxtaildaled import request_context
from foxtaildaled import ticket_handler


class Rejection(msgspec.Struct, frozen=True):
    """The reason why a request is not admitted."""

    code: codes.Code
    figures: tuple[values.Figure, ...] = ()
    # Delay before a retry, seconds; 0 if a retry is of no use.
    again_s: float = 0.0


class RequestChecks:
    """Admits requests, or responds with a refusal."""

    __slots__ = ('_handler', '_limits', '_replies', 'stopping')

    _handler: ticket_handler.TicketHandler
    _limits: account_limits.LocalShares
    _replies: request_context.Replies
    # Whether the entry is shutting down.
    stopping: bool

    def __init__(
        self,
        handler: ticket_handler.TicketHandler,
        replies: request_context.Replies,
        account_limits: account_limits.LocalShares,
    ) -> None:
        self._handler = handler
        self._replies = replies
        # Limits each client account to this VM's share of its limit.
        self._limits = account_limits
        self.stopping = False

    def check_account(self, context: request_context.RequestContext) -> bool:
        """Returns whether a client account has the caller's key.

        If no account has the key, the request is refused. Without a preset the
        accounts are unknown; `admit` refuses such a request later.
        """
        in_force = context.snapshot.in_force
        if in_force is None or not in_force.preset.accounts:
            return True
        if context.account is not None:
            return True
        sent = 'authorization' in context.exchange.headers
        reason = 'no client account has its key' if sent else 'it has no key'
        self._replies.refuse(
            context,
            '',
            codes.ACCOUNT_UNKNOWN,
            figures=(values.Figure('reason', reason),),
        )
        return False

    def admit(
        self,
        context: request_context.RequestContext,
        name: str,
        kind: str,
        call: str = '',
        *,
        counts_against_limit: bool = True,
    ) -> values.Service | None:
        """Returns the service, or refuses the request and returns None.

        Args:
            context: The request.
            name: Name of the requested service.
            kind: Required kind of the service, `model` or `plain`.
            call: Name of the call of the service.
            counts_against_limit: Whether the request counts against its
                account's limit.
        """
        service = context.snapshot.service(name)
        rejection = self._check_request(context, service, name, kind)
        if rejection is None and counts_against_limit:
            rejection = self._check_limit(context)
        if rejection is None:
            return service
        if context.ticket and not self._void_ticket(context, call):
            return None
        code = context.refusal_code(rejection.code)
        again_s = (
            request_context.DEFAULT_RETRY_AFTER_S
            if code.status == 503
            else rejection.again_s
        )
        self._replies.refuse(
            context,
            name,
            code,
            figures=rejection.figures,
            retry_after_s=again_s,
        )
        return None

    def _check_request(
        self,
        context: request_context.RequestContext,
        service: values.Service | None,
        name: str,
        kind: str,
    ) -> Rejection | None:
        if self.stopping:
            return Rejection(codes.STOPPING)
        if context.snapshot.in_force is None:
            return Rejection(codes.NO_PRESET)
        if service is None or service.kind != kind:
            return Rejection(
                codes.NO_SERVICE, (values.Figure('service', name),)
            )
        body_bytes, limit = len(context.exchange.body), service.max_body_bytes
        if body_bytes <= limit:
            return None
        return Rejection(
            codes.TOO_LARGE,
            (values.Figure('found', body_bytes), values.Figure('limit', limit)),
        )

    def _check_limit(
        self, context: request_context.RequestContext
    ) -> Rejection | None:
        account = context.account
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
        return Rejection(
            codes.OVER_LIMIT,
            tuple(values.Figure(name, figures[name]) for name in figures),
            verdict.wait_s,
        )

    def _void_ticket(
        self, context: request_context.RequestContext, call: str
    ) -> bool:
        """Voids the ticket of a refused request.

        Returns whether the request is certain never to run. Otherwise the
        known outcome was sent to the caller.
        """
        ticket = tickets.from_text(context.ticket)
        if ticket is None or self._handler.check(ticket, ticket.service):
            # No entry runs a request with an invalid ticket.
            return True
        reply = self._handler.void(
            ticket, call, context.exchange.body, context.request
        )
        if codes.ran(reply.outcome.code) == 'no':
            return True
        self._replies.record(reply.outcome)
        self._replies.respond_outcome(context, reply.outcome)
        return False
