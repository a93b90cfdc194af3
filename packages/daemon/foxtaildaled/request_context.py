"""The context of one HTTP request of a caller, and its final responses."""

import time
from typing import Final

import msgspec

from foxtaildale import accounts
from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import outcomes
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_adapters import caller_exchange
from foxtaildaled import outcome_records
from foxtaildaled import view

KEY_HEADER: Final = 'idempotency-key'
TICKET_HEADER: Final = 'foxtaildale-ticket'
# Header that states that no earlier attempt with this key is open.
FIRST_ATTEMPT_HEADER: Final = 'foxtaildale-first-try'
_TRUE: Final = 'true'
# Default delay before a retry, seconds.
DEFAULT_RETRY_AFTER_S: Final = 1.0


class RequestContext:
    """The state that all handlers of one request share."""

    __slots__ = ('exchange', 'request', 'snapshot')

    exchange: caller_exchange.Exchange
    # Identifies the request for callers and operators.
    request: str
    # Configuration and servers at the arrival of the request. The request uses
    # this snapshot until its end.
    snapshot: view.Snapshot

    def __init__(
        self,
        ex: caller_exchange.Exchange,
        request: str,
        snapshot: view.Snapshot,
    ) -> None:
        self.exchange = ex
        self.request = request
        self.snapshot = snapshot

    @property
    def account(self) -> accounts.Account | None:
        """The client account that has the caller's key; None if none has."""
        header = self.exchange.headers.get('authorization', '')
        return self.snapshot.holders.by_key(accounts.from_header(header))

    @property
    def key(self) -> str:
        """The caller's idempotency key; empty if there is none."""
        return self.exchange.headers.get(KEY_HEADER, '')

    @property
    def ticket(self) -> str:
        """The caller's ticket as text; empty if there is none."""
        return self.exchange.headers.get(TICKET_HEADER, '')

    @property
    def is_first_attempt(self) -> bool:
        """Whether the caller states that no earlier attempt is open."""
        return (
            self.exchange.headers.get(FIRST_ATTEMPT_HEADER, '').lower() == _TRUE
        )

    def refusal_code(self, code: codes.Code) -> codes.Code:
        """Returns the code with which the request may be refused.

        A caller applies "not run" to all attempts that it sent with a key, and
        an earlier attempt may still be running at another VM.
        """
        return (
            claims.refusal_code(code, self.is_first_attempt)
            if self.key
            else code
        )


class Replies:
    """Makes and records outcomes, and sends them as responses."""

    __slots__ = ('_entry_vm', '_records')

    _entry_vm: str
    _records: outcome_records.OutcomeRecords

    def __init__(
        self, entry_vm: str, outcome_records: outcome_records.OutcomeRecords
    ) -> None:
        self._entry_vm = entry_vm
        self._records = outcome_records

    def make_outcome(
        self,
        code: codes.Code,
        request: str,
        service: str,
        snapshot: view.Snapshot,
        *,
        figures: tuple[values.Figure, ...] = (),
        retry_after_s: float = 0.0,
    ) -> values.Outcome:
        """Returns an outcome that names this entry VM."""
        source = outcomes.Source(
            request=request,
            service=service,
            revision=snapshot.revision,
            entry_vm=self._entry_vm,
            at=time.time(),
        )
        return outcomes.make(code, source, figures, retry_after_s)

    def make_recorded_outcome(
        self,
        context: RequestContext,
        service: str,
        code: codes.Code,
        *,
        figures: tuple[values.Figure, ...] = (),
        retry_after_s: float = 0.0,
    ) -> values.Outcome:
        """Records and returns the final outcome of a request."""
        outcome = self.make_outcome(
            code,
            context.request,
            service,
            context.snapshot,
            figures=figures,
            retry_after_s=retry_after_s,
        )
        self._records.add(outcome)
        return outcome

    def refuse(
        self,
        context: RequestContext,
        service: str,
        code: codes.Code,
        *,
        figures: tuple[values.Figure, ...] = (),
        retry_after_s: float = 0.0,
        fresh_tickets: tuple[str, ...] = (),
    ) -> None:
        """Ends a request with a code and, if given, new tickets."""
        outcome = self.make_recorded_outcome(
            context,
            service,
            code,
            figures=figures,
            retry_after_s=retry_after_s,
        )
        self.respond_outcome(context, outcome, fresh_tickets)

    def reject(
        self, context: RequestContext, service: str, reason: str
    ) -> None:
        """Refuses a malformed request."""
        figures = (values.Figure('reason', reason),)
        code = context.refusal_code(codes.BAD_REQUEST)
        self.refuse(context, service, code, figures=figures)

    def respond_outcome(
        self,
        context: RequestContext,
        outcome: values.Outcome,
        fresh_tickets: tuple[str, ...] = (),
    ) -> None:
        """Responds with an outcome other than a plain success."""
        context.exchange.respond(
            codes.ALL[outcome.code].status,
            outcomes.headers(outcome),
            outcomes.body(outcome, fresh_tickets),
        )

    def record(self, outcome: values.Outcome) -> None:
        """Records an outcome that another process made."""
        self._records.add(outcome)

    def respond_service_reply(
        self,
        context: RequestContext,
        outcome: values.Outcome,
        reply: ports.Reply,
    ) -> None:
        """Responds with the reply of a plain service."""
        context.exchange.respond(
            reply.status, outcomes.headers(outcome), reply.body
        )

    def respond_document(
        self, context: RequestContext, document: msgspec.Struct
    ) -> None:
        """Responds with a document of the entry itself."""
        context.exchange.respond(
            200, {'Content-Type': outcomes.JSON}, msgspec.json.encode(document)
        )
