"""Issues, runs and forwards tickets at an entry.

`tickets.Executor` makes the decisions; this module sends its messages to the
witness and to other entries. A request whose ticket names another incarnation
is forwarded to it. If that incarnation is unreachable, the witness voids the
ticket or reports the outcome of its request.
"""

import logging
from typing import Final
from typing import Protocol

import msgspec

from foxtaildale import codes
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import tickets
from foxtaildale import values
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import plain_services
from foxtaildaled import view

# Attempts to send a message to the witness. Each attempt opens a new connection
# if the previous one stopped responding.
_WITNESS_ATTEMPTS: Final = 2
# Timeout of one reply of the witness, seconds.
_WITNESS_TIMEOUT_S: Final = 1.0
# Maximum number of tickets issued in one request.
MAX_TICKETS: Final = 32
# Delay before a retry that may obtain a definite outcome, seconds.
_RETRY_AFTER_S: Final = 1.0

_reply_decoder: Final = msgspec.msgpack.Decoder(ports.Reply)


class OutcomeFactory(Protocol):
    """A function that makes outcomes that name this entry."""

    def __call__(
        self,
        code: codes.Code,
        request: str,
        service: str,
        snapshot: view.Snapshot,
        *,
        figures: tuple[values.Figure, ...] = (),
        retry_after_s: float = 0.0,
    ) -> values.Outcome:
        """Returns the outcome."""


class TicketHandler:
    """Issues tickets and runs requests that have one."""

    __slots__ = (
        '_cfg',
        '_incarnation',
        '_make_outcome',
        '_owner',
        '_peers',
        '_plain',
        '_view',
    )

    _cfg: options.Options
    _incarnation: str
    _owner: actors.StateOwner[tickets.Executor]
    _peers: ports.Peers
    _plain: plain_services.PlainServices
    _view: view.View
    _make_outcome: OutcomeFactory

    def __init__(
        self,
        *,
        cfg: options.Options,
        incarnation: str,
        owner: actors.StateOwner[tickets.Executor],
        peers: ports.Peers,
        service_client: plain_services.PlainServices,
        current_view: view.View,
        make_outcome: OutcomeFactory,
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._owner = owner
        self._peers = peers
        self._plain = service_client
        self._view = current_view
        self._make_outcome = make_outcome

    def issue_tickets(self, service: str, count: int) -> tuple[str, ...]:
        """Returns new tickets; fewer or none while no witness is available."""
        witness = self._view.snapshot.choose_witness(self._cfg)
        if witness is None:
            return ()
        issued = []
        for _ in range(min(count, MAX_TICKETS)):
            ticket = self._issue_ticket(service, witness)
            if ticket is None:
                break
            issued.append(tickets.to_text(ticket))
        return tuple(issued)

    def run(
        self, ticket: messages.Ticket, call: str, body: bytes, request: str
    ) -> messages.RunReply:
        """Runs a valid ticket here, or at the incarnation that it names."""
        if ticket.executor == self._incarnation:
            return self._execute(ticket, call, body, request)
        msg = messages.RunRequest(
            ticket=ticket, call=call, body=body, request=request
        )
        timeout_s = self._call_timeout_s(ticket.service)
        try:
            reply = self._peers.request(ticket.executor_address, msg, timeout_s)
        except errors.PortError:
            reply = None
        if isinstance(reply, messages.RunReply):
            return reply
        return self.void(ticket, call, body, request)

    def handle_forwarded(self, msg: messages.RunRequest) -> messages.Message:
        """Runs a ticket that another entry forwarded."""
        if self.check(msg.ticket, msg.ticket.service) is not None:
            return messages.ErrorReply(code='ticket-bad')
        if msg.ticket.executor != self._incarnation:
            return messages.ErrorReply(code='stranger')
        return self._execute(msg.ticket, msg.call, msg.body, msg.request)

    def check(self, ticket: messages.Ticket, service: str) -> codes.Code | None:
        """Returns the code for an invalid ticket; None if it is valid."""
        return self._owner.run(
            lambda state, _now: state.verify(ticket, service)
        )

    def refresh_clock(self) -> None:
        """Updates the witness's clock reading and expires old tickets.

        Runs periodically.
        """
        witness = self._view.snapshot.choose_witness(self._cfg)
        if witness is not None:
            self._read_clock(witness)
        self._owner.run(lambda state, now: state.expire(now))

    def dump(self) -> object:
        """Returns the state for operators."""
        return self._owner.run(lambda state, _now: state.dump())

    def _issue_ticket(
        self, service: str, witness: values.Keeper
    ) -> messages.Ticket | None:
        for _ in range(_WITNESS_ATTEMPTS):
            ticket = self._owner.run(
                lambda state, now: state.issue(
                    now, service, witness.incarnation, witness.address
                )
            )
            if ticket is not None:
                return ticket
            self._read_clock(witness)
        return None

    def _read_clock(self, witness: values.Keeper) -> None:
        msg = messages.ClockRequest(witness=witness.incarnation)
        reply = self._request_witness(witness.address, msg)
        if reply is not None:
            self._owner.run(
                lambda state, now: state.on_witness_clock(
                    now, witness.incarnation, reply
                )
            )

    def _execute(
        self, ticket: messages.Ticket, call: str, body: bytes, request: str
    ) -> messages.RunReply:
        admission = self._owner.run(
            lambda state, now: state.admit(now, ticket, call, body)
        )
        if isinstance(admission, tickets.AlreadyFinished):
            return messages.RunReply(
                outcome=admission.outcome, response=admission.answer
            )
        if isinstance(admission, tickets.Refuse):
            return self._make_reply(admission.code, ticket, request)
        if isinstance(admission, tickets.OtherIncarnation):
            return self.void(ticket, call, body, request)
        reply = self._request_witness(admission.address, admission.note)
        decision = self._owner.run(
            lambda state, now: state.on_start_reply(now, ticket.identity, reply)
        )
        if isinstance(decision, tickets.Abandon):
            result = self._make_reply(decision.code, ticket, request)
            if decision.code is codes.UNKNOWN:
                # Another thread may be running the request and will record its
                # outcome.
                return result
        else:
            result = self._call_service(ticket, call, body, request)
        self._record_result(ticket, result)
        return result

    def _call_service(
        self, ticket: messages.Ticket, call: str, body: bytes, request: str
    ) -> messages.RunReply:
        result = self._plain.call(
            self._view.snapshot, ticket.service, call, body, request
        )
        outcome = self._make_outcome(
            result.code,
            request,
            ticket.service,
            self._view.snapshot,
            figures=result.figures,
            retry_after_s=result.retry_after_s,
        )
        return messages.RunReply(
            outcome=outcome, response=encode_reply(result.reply)
        )

    def _record_result(
        self, ticket: messages.Ticket, result: messages.RunReply
    ) -> None:
        report = self._owner.run(
            lambda state, now: state.finish(
                now, ticket.identity, result.outcome, result.response
            )
        )
        if report is not None:
            self._request_witness(ticket.witness_address, report)

    def void(
        self, ticket: messages.Ticket, call: str, body: bytes, request: str
    ) -> messages.RunReply:
        """Voids a ticket, or returns the known outcome of its request."""
        msg = tickets.void_request(ticket, call, body)
        verdict = tickets.verdict_on_void(
            self._request_witness(ticket.witness_address, msg)
        )
        if verdict.outcome is not None:
            return messages.RunReply(
                outcome=verdict.outcome, response=verdict.answer
            )
        return self._make_reply(verdict.code, ticket, request)

    def _make_reply(
        self, code: codes.Code, ticket: messages.Ticket, request: str
    ) -> messages.RunReply:
        outcome = self._make_outcome(
            code,
            request,
            ticket.service,
            self._view.snapshot,
            retry_after_s=_RETRY_AFTER_S,
        )
        return messages.RunReply(outcome=outcome)

    def _request_witness(
        self, address: str, msg: messages.Message
    ) -> messages.WitnessReply | None:
        for _ in range(_WITNESS_ATTEMPTS):
            try:
                reply = self._peers.request(address, msg, _WITNESS_TIMEOUT_S)
            except errors.PortError:
                continue
            if isinstance(reply, messages.WitnessReply):
                return reply
        return None

    def _call_timeout_s(self, service: str) -> float:
        cfg = self._view.snapshot.service(service)
        timeout_ms = 5_000 if cfg is None else cfg.call_timeout_ms
        # The executor may need every attempt to reach its witness before it calls
        # the service.
        return timeout_ms / 1000 + _WITNESS_ATTEMPTS * _WITNESS_TIMEOUT_S


def encode_reply(reply: ports.Reply | None) -> bytes:
    """Encodes a service's reply for storage at a witness."""
    return b'' if reply is None else msgspec.msgpack.encode(reply)


def decode_reply(data: bytes) -> ports.Reply | None:
    """Decodes a service's reply that a witness stored.

    Returns None if it is empty or not readable.
    """
    if not data:
        return None
    try:
        return decoding.decode(_reply_decoder.decode, data)
    except errors.DecodeError as exc:
        logs.event(logging.WARNING, 'saved reply not readable', error=str(exc))
        return None
