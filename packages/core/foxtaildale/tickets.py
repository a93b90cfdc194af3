"""Tickets, which ensure that a request runs at most once.

A caller fetches tickets in advance. Each ticket names the executor, which is
the only daemon incarnation that may run the request, and a witness on another
VM. Any entry VM may receive the ticket with its request and forwards both to
the executor. The executor sends a start message to the witness, and sends the
first byte of the request only after the witness has recorded the start:

    `admit` -> `SendStart` -> reply of the witness -> `on_start_reply` -> `Run`
    -> `finish`

The right to run never passes to another process: an executor that restarts is
another incarnation and runs no ticket of the former one. An entry VM that can't
reach the executor sends the witness a message that voids the identity, and uses
`verdict_on_void` to choose the response.

Only two sources may report "not run" for a ticket: the executor, for an
identity that it has abandoned, and the witness, by a void. An entry VM that
refuses a request for another reason (it is stopping, it has no preset) voids
the identity first, since an earlier attempt of the same caller may be in
transit through another VM.
"""

import base64
import binascii
from collections.abc import Mapping
import hashlib
import hmac
from typing import Final

import msgspec

from foxtaildale import bounded_records
from foxtaildale import codes
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import values

_DEFAULT_LIMIT: Final = 20_000
_DEFAULT_RESPONSE_BYTES: Final = 4 * 1024 * 1024
# How long an executor remembers an identity, in ticket lifetimes. It can then
# still report "not run" for a ticket that arrives too late.
_REMEMBERED_LIFETIMES: Final = 2
# Maximum number of witnesses whose clock readings are stored.
_MAX_READINGS: Final = 64
# Maximum length of a ticket in text form, characters.
_MAX_TEXT: Final = 2_048

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(messages.Ticket)


class SendStart(msgspec.Struct, frozen=True):
    """Send the start message to the witness.

    The reply goes to `Executor.on_start_reply`.
    """

    note: messages.StartRequest
    address: str


class AlreadyFinished(msgspec.Struct, frozen=True):
    """The identity already has an outcome."""

    outcome: values.Outcome
    # The response; empty if there is none or it is no longer stored.
    answer: bytes = b''


class Refuse(msgspec.Struct, frozen=True):
    """Respond with this code and run nothing."""

    code: codes.Code


class OtherIncarnation(msgspec.Struct, frozen=True):
    """The ticket names another incarnation.

    If that incarnation ran on this VM, it no longer exists.
    """


class Run(msgspec.Struct, frozen=True):
    """Send the request to a backend server once, then call `finish`."""

    identity: str


class Abandon(msgspec.Struct, frozen=True):
    """The request never runs. Make an outcome of the code and call `finish`.

    `finish` returns the message that reports the outcome to the witness.
    """

    identity: str
    code: codes.Code


class Verdict(msgspec.Struct, frozen=True):
    """The response for a ticket whose executor can't be reached."""

    code: codes.Code
    # The executor's own outcome and response, if the witness has them.
    outcome: values.Outcome | None = None
    answer: bytes = b''


Admission = SendStart | AlreadyFinished | Refuse | OtherIncarnation


def verdict_on_void(reply: messages.WitnessReply | None) -> Verdict:
    """Returns the verdict for a witness's reply to a void; None is no reply.

    Only a void by the witness proves "not run". A request with a recorded start
    may be running now. For a ticket of another incarnation and for an old
    ticket, the start may have been recorded and forgotten.
    """
    if reply is None:
        return Verdict(codes.UNKNOWN)
    if reply.status == 'voided':
        return Verdict(codes.TICKET_VOID)
    if reply.status == 'other-body':
        return Verdict(codes.OTHER_BODY)
    if reply.status == 'told' and reply.outcome is not None:
        return Verdict(codes.DONE_BEFORE, reply.outcome, reply.response)
    return Verdict(codes.UNKNOWN)


def digest(call: str, body: bytes) -> str:
    """Returns the digest that binds an identity to a call and its body."""
    # The length separates the call from the body: no other pair of call and
    # body has the same input.
    head = f'{len(call)}:{call}'.encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def void_request(
    ticket: messages.Ticket, call: str, body: bytes
) -> messages.VoidRequest:
    """Returns the message to a ticket's witness that voids the ticket."""
    return messages.VoidRequest(
        identity=ticket.identity,
        witness=ticket.witness,
        body_digest=digest(call, body),
        witness_clock=ticket.witness_clock,
    )


def to_text(ticket: messages.Ticket) -> str:
    """Returns the text form of a ticket, which fits in an HTTP header."""
    return (
        base64.urlsafe_b64encode(_encoder.encode(ticket)).decode().rstrip('=')
    )


def from_text(text: str) -> messages.Ticket | None:
    """Returns the ticket in `text`, not verified; None if there is none."""
    if len(text) > _MAX_TEXT:
        return None
    try:
        data = base64.urlsafe_b64decode(text + '=' * (-len(text) % 4))
        return decoding.decode(_decoder.decode, data)
    except (binascii.Error, ValueError, errors.DecodeError):
        return None


class _Entry:
    """The state of one identity at this executor."""

    __slots__ = (
        'body',
        'outcome',
        'response',
        'stamp',
        'status',
        'witness',
        'witness_at',
    )

    def __init__(self, ticket: messages.Ticket, body: str) -> None:
        # noting, running, given-up (without an outcome yet) or done
        self.status = 'noting'
        self.body = body
        # Time of issue of the ticket, on this process's clock.
        self.stamp = ticket.issued_at
        self.witness = ticket.witness
        self.witness_at = ticket.witness_clock
        self.outcome: values.Outcome | None = None
        self.response = b''


class Executor:
    """Issues tickets that name this incarnation, and runs them at most once.

    Times are seconds on this process's monotonic clock.
    """

    __slots__ = (
        '_address',
        '_entries',
        '_incarnation',
        '_issued',
        '_lifetime_s',
        '_max_response_bytes',
        '_readings',
        '_secret',
        '_unused_response_bytes',
    )

    def __init__(
        self,
        incarnation: str,
        address: str,
        secret: bytes,
        lifetime_s: float,
        *,
        limit: int = _DEFAULT_LIMIT,
        max_response_bytes: int = _DEFAULT_RESPONSE_BYTES,
    ) -> None:
        self._incarnation = incarnation
        self._address = address
        self._secret = secret
        # How long after its issue a ticket may be run.
        self._lifetime_s = lifetime_s
        # Number of tickets issued so far.
        self._issued = 0
        # Latest clock reading of each witness, and its time of arrival here.
        self._readings: dict[str, tuple[float, float]] = {}
        self._entries: bounded_records.BoundedRecords[str, _Entry] = (
            bounded_records.BoundedRecords(limit)
        )
        # Bytes of responses that may be stored, and how many are still free.
        self._max_response_bytes = max_response_bytes
        self._unused_response_bytes = max_response_bytes

    def on_witness_clock(
        self, now: float, witness: str, reply: messages.WitnessReply
    ) -> None:
        """Records a witness's clock from any of its replies.

        A reply that arrives out of order only makes new tickets slightly older.
        """
        if reply.status == 'stranger':
            self._readings.pop(witness, None)
            return
        self._readings[witness] = (reply.clock, now)
        if len(self._readings) > _MAX_READINGS:
            oldest = min(
                self._readings, key=lambda name: self._readings[name][1]
            )
            del self._readings[oldest]

    def issue(
        self, now: float, service: str, witness: str, witness_address: str
    ) -> messages.Ticket | None:
        """Returns a new ticket.

        Returns None if the witness's clock is not known, or if its reading is
        too old for a ticket to be valid for its full lifetime. The caller then
        sends `messages.ClockRequest` to the witness, passes the reply to
        `on_witness_clock` and calls this again.
        """
        at, received_at = self._readings.get(witness, (0.0, float('-inf')))
        if now - received_at > self._lifetime_s / 2:
            return None
        self._issued += 1
        ticket = messages.Ticket(
            identity=f'{self._incarnation}.{self._issued}',
            service=service,
            executor=self._incarnation,
            executor_address=self._address,
            witness=witness,
            witness_address=witness_address,
            issued_at=now,
            witness_clock=at,
        )
        return msgspec.structs.replace(ticket, mac=self._sign(ticket))

    def verify(
        self, ticket: messages.Ticket, service: str
    ) -> codes.Code | None:
        """Verifies a ticket, on any VM; returns the error code, or None."""
        signed = self._sign(ticket).encode()
        if not hmac.compare_digest(signed, ticket.mac.encode()):
            return codes.TICKET_BAD
        if ticket.service != service:
            return codes.TICKET_BAD
        return None

    def admit(
        self, now: float, ticket: messages.Ticket, call: str, body: bytes
    ) -> Admission:
        """Decides on a verified ticket that arrived with its request."""
        if ticket.executor != self._incarnation:
            return OtherIncarnation()
        self.expire(now)
        body_digest = digest(call, body)
        entry = self._entries.get(ticket.identity)
        if entry is not None:
            return self._admit_again(entry, body_digest)
        if not self._entries.was_never_added(ticket.identity, ticket.issued_at):
            return Refuse(codes.UNKNOWN)
        if now - ticket.issued_at > self._lifetime_s:
            return Refuse(codes.TICKET_OLD)
        entry = _Entry(ticket, body_digest)
        self._reclaim(self._entries.put(ticket.identity, entry))
        note = messages.StartRequest(
            identity=ticket.identity,
            witness=ticket.witness,
            body_digest=body_digest,
            witness_clock=ticket.witness_clock,
        )
        return SendStart(note, ticket.witness_address)

    def on_start_reply(
        self, now: float, identity: str, reply: messages.WitnessReply | None
    ) -> Run | Abandon:
        """Decides on the witness's reply to a start; None means no reply.

        The start message may be sent again before this call, but not after it.
        The code is `codes.UNKNOWN` if there was an earlier decision (a
        duplicate reply) or the identity was evicted meanwhile. Callers that
        still wait get that code, and `finish` is not called for it.
        """
        entry = self._entries.get(identity)
        if entry is None or entry.status != 'noting':
            return Abandon(identity, codes.UNKNOWN)
        if reply is not None:
            self.on_witness_clock(now, entry.witness, reply)
        if now - entry.stamp > self._lifetime_s:
            # This happens after a pause of the process; the caller has already
            # turned to another VM.
            entry.status = 'given-up'
            return Abandon(identity, codes.TICKET_OLD)
        if reply is None or reply.status != 'noted':
            entry.status = 'given-up'
            return Abandon(identity, codes.TICKET_VOID)
        entry.status = 'running'
        return Run(identity)

    def finish(
        self,
        now: float,
        identity: str,
        outcome: values.Outcome,
        response: bytes = b'',
    ) -> messages.OutcomeReport | None:
        """Records the outcome of a run or of an abandoned request, once.

        Returns the message for the witness, which is best sent before the
        response to the caller. Returns None if the identity is no longer known
        or already has an outcome.
        """
        self.expire(now)
        entry = self._entries.get(identity)
        if entry is None or entry.status not in ('running', 'given-up'):
            return None
        entry.status = 'done'
        entry.outcome = outcome
        if len(response) <= self._unused_response_bytes:
            entry.response = response
            self._unused_response_bytes -= len(response)
        return messages.OutcomeReport(
            identity=identity,
            witness=entry.witness,
            body_digest=entry.body,
            witness_clock=entry.witness_at,
            outcome=outcome,
            response=response,
        )

    def expire(self, now: float) -> None:
        """Evicts identities whose tickets expired long ago."""
        self._reclaim(
            self._entries.expire(now - _REMEMBERED_LIFETIMES * self._lifetime_s)
        )

    def dump(self) -> Mapping[str, object]:
        """Returns the state for operators."""
        counts = {'noting': 0, 'running': 0, 'given-up': 0, 'done': 0}
        for _, entry in self._entries:
            counts[entry.status] += 1
        return {
            'incarnation': self._incarnation,
            'minted': self._issued,
            'identities': counts,
            'answer_bytes': self._max_response_bytes
            - self._unused_response_bytes,
            'witnesses': sorted(self._readings),
        }

    def _admit_again(
        self, entry: _Entry, body_digest: str
    ) -> AlreadyFinished | Refuse:
        """Returns the decision for an identity that was admitted before."""
        if entry.body != body_digest:
            return Refuse(codes.OTHER_BODY)
        if entry.outcome is not None:
            return AlreadyFinished(entry.outcome, entry.response)
        if entry.status == 'given-up':
            return Refuse(codes.TICKET_VOID)
        return Refuse(codes.IN_PROGRESS)

    def _sign(self, ticket: messages.Ticket) -> str:
        unsigned = msgspec.structs.replace(ticket, mac='')
        data = _encoder.encode(unsigned)
        return hmac.new(self._secret, data, hashlib.sha256).hexdigest()

    def _reclaim(self, evicted: list[_Entry]) -> None:
        for entry in evicted:
            self._unused_response_bytes += len(entry.response)
