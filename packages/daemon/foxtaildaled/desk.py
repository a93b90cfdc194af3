"""Tickets at an entry: handing them out, running them, passing them on.

The decisions are in `tickets.Executor`; this module carries its messages to
the witness and to other entries. A request whose ticket names another
incarnation is passed on to it; when that can't be reached, the witness voids
the ticket or tells what came of it.
"""

from typing import Final
from typing import Protocol

import msgspec

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import tickets
from foxtaildale import values
from foxtaildaled import actors
from foxtaildaled import plain
from foxtaildaled import view

# Tries of a message to the witness; each opens a new connection if the former
# one went silent.
_TRIES: Final = 2
# Longest wait for one answer of the witness, seconds.
_WITNESS_S: Final = 1.0
# Tickets given out at once, at most.
MAX_COUNT: Final = 32
# When to come back after an outcome that another try may settle, seconds.
_AGAIN_S: Final = 1.0


class Stamp(Protocol):
    """Makes outcomes that name this entry."""

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


class Desk:
    """Hands out tickets and runs requests that come with one."""

    __slots__ = (
        '_cfg',
        '_incarnation',
        '_owner',
        '_peers',
        '_plain',
        '_stamp',
        '_view',
    )

    _cfg: options.Options
    _incarnation: str
    _owner: actors.Owner[tickets.Executor]
    _peers: ports.Peers
    _plain: plain.Plain
    _view: view.View
    _stamp: Stamp

    def __init__(
        self,
        *,
        cfg: options.Options,
        incarnation: str,
        owner: actors.Owner[tickets.Executor],
        peers: ports.Peers,
        calls: plain.Plain,
        seen: view.View,
        stamp: Stamp,
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._owner = owner
        self._peers = peers
        self._plain = calls
        self._view = seen
        self._stamp = stamp

    def mint(self, service: str, count: int) -> tuple[str, ...]:
        """Returns fresh tickets; fewer, or none, while no witness is there."""
        witness = self._view.now.witness(self._cfg)
        if witness is None:
            return ()
        minted = []
        for _ in range(min(count, MAX_COUNT)):
            ticket = self._mint_one(service, witness)
            if ticket is None:
                break
            minted.append(tickets.to_text(ticket))
        return tuple(minted)

    def run(
        self, ticket: messages.Ticket, call: str, body: bytes, request: str
    ) -> messages.RunReply:
        """Runs a checked ticket here or where it belongs."""
        if ticket.executor == self._incarnation:
            return self._execute(ticket, call, body, request)
        msg = messages.RunTicket(
            ticket=ticket, call=call, body=body, request=request
        )
        timeout_s = self._call_timeout_s(ticket.service)
        try:
            reply = self._peers.ask(ticket.executor_address, msg, timeout_s)
        except errors.PortError:
            reply = None
        if isinstance(reply, messages.RunReply):
            return reply
        return self.void(ticket, call, body, request)

    def serve(self, msg: messages.RunTicket) -> messages.Any:
        """Runs a ticket that another entry passed on."""
        if self.check(msg.ticket, msg.ticket.service) is not None:
            return messages.Fail(code='ticket-bad')
        if msg.ticket.executor != self._incarnation:
            return messages.Fail(code='stranger')
        return self._execute(msg.ticket, msg.call, msg.body, msg.request)

    def check(self, ticket: messages.Ticket, service: str) -> codes.Code | None:
        """Returns what is wrong with a ticket; None if nothing."""
        return self._owner.run(lambda state, _now: state.check(ticket, service))

    def step(self) -> None:
        """Keeps the witness's clock reading fresh, as a loop of the entry."""
        witness = self._view.now.witness(self._cfg)
        if witness is not None:
            self._read_clock(witness)
        self._owner.run(lambda state, now: state.expire(now))

    def dump(self) -> object:
        """Returns the state for people."""
        return self._owner.run(lambda state, _now: state.dump())

    def _mint_one(
        self, service: str, witness: values.Keeper
    ) -> messages.Ticket | None:
        for _ in range(_TRIES):
            ticket = self._owner.run(
                lambda state, now: state.mint(
                    now, service, witness.incarnation, witness.address
                )
            )
            if ticket is not None:
                return ticket
            self._read_clock(witness)
        return None

    def _read_clock(self, witness: values.Keeper) -> None:
        msg = messages.AskReading(witness=witness.incarnation)
        reply = self._ask_witness(witness.address, msg)
        if reply is not None:
            self._owner.run(
                lambda state, now: state.on_reading(
                    now, witness.incarnation, reply
                )
            )

    def _execute(
        self, ticket: messages.Ticket, call: str, body: bytes, request: str
    ) -> messages.RunReply:
        admission = self._owner.run(
            lambda state, now: state.admit(now, ticket, call, body)
        )
        if isinstance(admission, tickets.Known):
            return messages.RunReply(
                outcome=admission.outcome, answer=admission.answer
            )
        if isinstance(admission, tickets.Refuse):
            return self._reply(admission.code, ticket, request)
        if isinstance(admission, tickets.Stranger):
            return self.void(ticket, call, body, request)
        reply = self._ask_witness(admission.address, admission.note)
        decision = self._owner.run(
            lambda state, now: state.on_witness(now, ticket.identity, reply)
        )
        if isinstance(decision, tickets.GiveUp):
            result = self._reply(decision.code, ticket, request)
            if decision.code is codes.UNKNOWN:
                # Another thread may be running it and knows its outcome.
                return result
        else:
            result = self._call(ticket, call, body, request)
        self._finish(ticket, result)
        return result

    def _call(
        self, ticket: messages.Ticket, call: str, body: bytes, request: str
    ) -> messages.RunReply:
        result = self._plain.call(
            self._view.now, ticket.service, call, body, request
        )
        outcome = self._stamp(
            result.code,
            request,
            ticket.service,
            self._view.now,
            figures=result.figures,
            retry_after_s=result.retry_after_s,
        )
        return messages.RunReply(outcome=outcome, answer=pack(result.reply))

    def _finish(
        self, ticket: messages.Ticket, result: messages.RunReply
    ) -> None:
        tell = self._owner.run(
            lambda state, now: state.finish(
                now, ticket.identity, result.outcome, result.answer
            )
        )
        if tell is not None:
            self._ask_witness(ticket.witness_address, tell)

    def void(
        self, ticket: messages.Ticket, call: str, body: bytes, request: str
    ) -> messages.RunReply:
        """Voids a ticket, or returns what is known of it."""
        msg = tickets.void(ticket, call, body)
        verdict = tickets.verdict(
            self._ask_witness(ticket.witness_address, msg)
        )
        if verdict.outcome is not None:
            return messages.RunReply(
                outcome=verdict.outcome, answer=verdict.answer
            )
        return self._reply(verdict.code, ticket, request)

    def _reply(
        self, code: codes.Code, ticket: messages.Ticket, request: str
    ) -> messages.RunReply:
        outcome = self._stamp(
            code,
            request,
            ticket.service,
            self._view.now,
            retry_after_s=_AGAIN_S,
        )
        return messages.RunReply(outcome=outcome)

    def _ask_witness(
        self, address: str, msg: messages.Any
    ) -> messages.WitnessReply | None:
        for _ in range(_TRIES):
            try:
                reply = self._peers.ask(address, msg, _WITNESS_S)
            except errors.PortError:
                continue
            if isinstance(reply, messages.WitnessReply):
                return reply
        return None

    def _call_timeout_s(self, service: str) -> float:
        cfg = self._view.now.service(service)
        timeout_ms = 5_000 if cfg is None else cfg.call_timeout_ms
        # The executor may have to ask its witness twice before it calls.
        return timeout_ms / 1000 + _TRIES * _WITNESS_S


def pack(reply: ports.Reply | None) -> bytes:
    """Returns a service's answer in the form that a witness keeps."""
    return b'' if reply is None else msgspec.msgpack.encode(reply)


def unpack(data: bytes) -> ports.Reply | None:
    """Returns the service's answer that a witness kept; None if there is none."""
    if not data:
        return None
    return msgspec.msgpack.decode(data, type=ports.Reply)
