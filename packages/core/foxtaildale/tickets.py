"""Tickets: who alone may run a request, and the one that does.

A caller fetches tickets beforehand. Each names the incarnation of the daemon
that may run it, the executor, and a witness on another VM. Any entry VM hands
a ticket with its request to the executor, which asks the witness to note the
start and only then sends the first byte:

    admit -> SendNote -> the witness's reply -> on_witness -> Run -> finish

Authority never moves: an executor that restarts is another incarnation and
runs none of the former's tickets. An entry VM that can't reach the executor
asks the witness to void the identity and answers by `verdict`.

"Not run" about a ticket is said by the executor for an identity that it has
given up, or by the witness's void, and by nobody else. An entry VM that wants
to refuse for another reason (it is stopping, it has no preset) voids first: an
earlier try of the same caller may be on its way through another VM.
"""

import base64
import binascii
from collections.abc import Mapping
import hashlib
import hmac
from typing import Final

import msgspec

from foxtaildale import codes
from foxtaildale import memory
from foxtaildale import messages
from foxtaildale import values

_DEFAULT_LIMIT: Final = 100_000
_DEFAULT_ANSWER_BYTES: Final = 4 * 1024 * 1024
# An executor remembers an identity for this many lives of its ticket, so that
# it can still say "not run" of a ticket that came too late.
_LIVES_REMEMBERED: Final = 2
# Witnesses whose clocks are kept.
_MAX_READINGS: Final = 64
# Longest ticket in its text form, characters.
_MAX_TEXT: Final = 2_048

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(messages.Ticket)


class SendNote(msgspec.Struct, frozen=True):
    """Ask the witness; the reply goes to `Executor.on_witness`."""

    note: messages.Note
    address: str


class Known(msgspec.Struct, frozen=True):
    """The identity came to its end before."""

    outcome: values.Outcome
    # Empty if there is none or it is no longer kept.
    answer: bytes = b''


class Refuse(msgspec.Struct, frozen=True):
    """Answer with this code; nothing is to be run."""

    code: codes.Code


class Stranger(msgspec.Struct, frozen=True):
    """The ticket names another incarnation, which is gone if it lived here."""


class Run(msgspec.Struct, frozen=True):
    """Send the request to a backend server, once; then call `finish`."""

    identity: str


class GiveUp(msgspec.Struct, frozen=True):
    """It will never run. Make an outcome of the code and call `finish`.

    `finish` gives the message that tells the witness.
    """

    identity: str
    code: codes.Code


class Verdict(msgspec.Struct, frozen=True):
    """What an entry VM may say of a ticket whose executor can't be reached."""

    code: codes.Code
    # The executor's own outcome and answer, if the witness has them.
    outcome: values.Outcome | None = None
    answer: bytes = b''


Admission = SendNote | Known | Refuse | Stranger


def verdict(reply: messages.WitnessReply | None) -> Verdict:
    """Judges a witness's reply to a void; None stands for no reply.

    Only a void of the witness itself is "not run". A noted start may be
    running now; a stranger or an old ticket may have been noted and forgotten.
    """
    if reply is None:
        return Verdict(codes.UNKNOWN)
    if reply.status == 'voided':
        return Verdict(codes.TICKET_VOID)
    if reply.status == 'other-body':
        return Verdict(codes.OTHER_BODY)
    if reply.status == 'told' and reply.outcome is not None:
        return Verdict(codes.DONE_BEFORE, reply.outcome, reply.answer)
    return Verdict(codes.UNKNOWN)


def digest(call: str, body: bytes) -> str:
    """Returns the digest that binds an identity to a call and its body."""
    # The length keeps a call's end from passing for the body's beginning.
    head = f'{len(call)}:{call}'.encode()
    return hashlib.blake2b(head + body, digest_size=16).hexdigest()


def void(ticket: messages.Ticket, call: str, body: bytes) -> messages.Void:
    """Returns the message that asks a ticket's witness to void it."""
    return messages.Void(
        identity=ticket.identity,
        witness=ticket.witness,
        body=digest(call, body),
        witness_at=ticket.witness_at,
    )


def to_text(ticket: messages.Ticket) -> str:
    """Returns a ticket as callers carry it, fit for an HTTP header."""
    return (
        base64.urlsafe_b64encode(_encoder.encode(ticket)).decode().rstrip('=')
    )


def from_text(text: str) -> messages.Ticket | None:
    """Returns the ticket in `text`, unchecked; None if there is none."""
    if len(text) > _MAX_TEXT:
        return None
    try:
        data = base64.urlsafe_b64decode(text + '=' * (-len(text) % 4))
        return _decoder.decode(data)
    except (binascii.Error, ValueError):
        return None


class _Entry:
    """What became of one identity here."""

    __slots__ = (
        'answer',
        'body',
        'outcome',
        'stamp',
        'status',
        'witness',
        'witness_at',
    )

    def __init__(self, ticket: messages.Ticket, body: str) -> None:
        # noting, running, given-up (outcome not made yet) or done
        self.status = 'noting'
        self.body = body
        # When the ticket was minted, on this process's clock.
        self.stamp = ticket.minted_at
        self.witness = ticket.witness
        self.witness_at = ticket.witness_at
        self.outcome: values.Outcome | None = None
        self.answer = b''


class Executor:
    """Mints tickets that name this incarnation, and runs them at most once.

    Times are seconds on this process's monotonic clock.
    """

    __slots__ = (
        '_address',
        '_answer_bytes',
        '_count',
        '_entries',
        '_incarnation',
        '_life_s',
        '_readings',
        '_room',
        '_secret',
    )

    def __init__(
        self,
        incarnation: str,
        address: str,
        secret: bytes,
        life_s: float,
        *,
        limit: int = _DEFAULT_LIMIT,
        answer_bytes: int = _DEFAULT_ANSWER_BYTES,
    ) -> None:
        self._incarnation = incarnation
        self._address = address
        self._secret = secret
        # How long after its minting a ticket may be run.
        self._life_s = life_s
        # Tickets minted so far.
        self._count = 0
        # Witness by its latest reading, and when that came here.
        self._readings: dict[str, tuple[float, float]] = {}
        self._entries: memory.Memory[str, _Entry] = memory.Memory(limit)
        # Bytes of answers that may be kept, and those still free.
        self._answer_bytes = answer_bytes
        self._room = answer_bytes

    def on_reading(
        self, now: float, witness: str, reply: messages.WitnessReply
    ) -> None:
        """Takes a witness's clock from any of its replies.

        A reply that overtook another only makes tickets a little older.
        """
        if reply.status == 'stranger':
            self._readings.pop(witness, None)
            return
        self._readings[witness] = (reply.at, now)
        if len(self._readings) > _MAX_READINGS:
            oldest = min(
                self._readings, key=lambda name: self._readings[name][1]
            )
            del self._readings[oldest]

    def mint(
        self, now: float, service: str, witness: str, witness_address: str
    ) -> messages.Ticket | None:
        """Returns a new ticket.

        None: the witness's clock is not known or its reading is too old for
        the ticket to live its full life; send `messages.AskReading` to the
        witness, give the reply to `on_reading` and ask again.
        """
        at, came = self._readings.get(witness, (0.0, float('-inf')))
        if now - came > self._life_s / 2:
            return None
        self._count += 1
        ticket = messages.Ticket(
            identity=f'{self._incarnation}.{self._count}',
            service=service,
            executor=self._incarnation,
            executor_address=self._address,
            witness=witness,
            witness_address=witness_address,
            minted_at=now,
            witness_at=at,
        )
        return msgspec.structs.replace(ticket, mac=self._sign(ticket))

    def check(self, ticket: messages.Ticket, service: str) -> codes.Code | None:
        """Returns what is wrong with a ticket, at any VM; None if nothing."""
        signed = self._sign(ticket).encode()
        if not hmac.compare_digest(signed, ticket.mac.encode()):
            return codes.TICKET_BAD
        if ticket.service != service:
            return codes.TICKET_BAD
        return None

    def admit(
        self, now: float, ticket: messages.Ticket, call: str, body: bytes
    ) -> Admission:
        """Decides on a checked ticket that came with its request."""
        if ticket.executor != self._incarnation:
            return Stranger()
        self.expire(now)
        body_digest = digest(call, body)
        entry = self._entries.get(ticket.identity)
        if entry is not None:
            return self._again(entry, body_digest)
        if not self._entries.never_knew(ticket.identity, ticket.minted_at):
            return Refuse(codes.UNKNOWN)
        if now - ticket.minted_at > self._life_s:
            return Refuse(codes.TICKET_OLD)
        entry = _Entry(ticket, body_digest)
        self._free(self._entries.put(ticket.identity, entry))
        note = messages.Note(
            identity=ticket.identity,
            witness=ticket.witness,
            body=body_digest,
            witness_at=ticket.witness_at,
        )
        return SendNote(note, ticket.witness_address)

    def on_witness(
        self, now: float, identity: str, reply: messages.WitnessReply | None
    ) -> Run | GiveUp | None:
        """Decides on the witness's reply to a note; None: no reply came.

        The note may be sent again before this is called, not afterwards.

        Returns:
            None if it was decided before, as when a reply comes twice, or the
            identity was forgotten: there is nothing to do, and a caller that
            still waits is told that the outcome is unknown.
        """
        entry = self._entries.get(identity)
        if entry is None or entry.status != 'noting':
            return None
        if reply is not None:
            self.on_reading(now, entry.witness, reply)
        if now - entry.stamp > self._life_s:
            # A paused process wakes here; its caller has long gone elsewhere.
            entry.status = 'given-up'
            return GiveUp(identity, codes.TICKET_OLD)
        if reply is None or reply.status != 'noted':
            entry.status = 'given-up'
            return GiveUp(identity, codes.TICKET_VOID)
        entry.status = 'running'
        return Run(identity)

    def finish(
        self,
        now: float,
        identity: str,
        outcome: values.Outcome,
        answer: bytes = b'',
    ) -> messages.Tell | None:
        """Takes the outcome of a run or of a giving up, once.

        Returns what the witness is to be told, best before the caller is
        answered. None: nothing is known of the identity any more, or it had
        its outcome already.
        """
        self.expire(now)
        entry = self._entries.get(identity)
        if entry is None or entry.status not in ('running', 'given-up'):
            return None
        entry.status = 'done'
        entry.outcome = outcome
        if len(answer) <= self._room:
            entry.answer = answer
            self._room -= len(answer)
        return messages.Tell(
            identity=identity,
            witness=entry.witness,
            body=entry.body,
            witness_at=entry.witness_at,
            outcome=outcome,
            answer=answer,
        )

    def expire(self, now: float) -> None:
        """Forgets identities whose tickets are long too old to run."""
        self._free(self._entries.expire(now - _LIVES_REMEMBERED * self._life_s))

    def dump(self) -> Mapping[str, object]:
        """Returns the state for people."""
        counts = {'noting': 0, 'running': 0, 'given-up': 0, 'done': 0}
        for _, entry in self._entries:
            counts[entry.status] += 1
        return {
            'incarnation': self._incarnation,
            'minted': self._count,
            'identities': counts,
            'answer_bytes': self._answer_bytes - self._room,
            'witnesses': sorted(self._readings),
        }

    def _again(self, entry: _Entry, body_digest: str) -> Known | Refuse:
        """Answers for an identity that was admitted before."""
        if entry.body != body_digest:
            return Refuse(codes.OTHER_BODY)
        if entry.outcome is not None:
            return Known(entry.outcome, entry.answer)
        if entry.status == 'given-up':
            return Refuse(codes.TICKET_VOID)
        return Refuse(codes.IN_PROGRESS)

    def _sign(self, ticket: messages.Ticket) -> str:
        unsigned = msgspec.structs.replace(ticket, mac='')
        data = _encoder.encode(unsigned)
        return hmac.new(self._secret, data, hashlib.sha256).hexdigest()

    def _free(self, gone: list[_Entry]) -> None:
        for entry in gone:
            self._room += len(entry.answer)
