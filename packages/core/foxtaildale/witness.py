"""The witness of tickets: records starts and voids identities.

An executor sends the first byte of a ticket's request only after the witness
has recorded the start. A process that can't reach the executor may send the
witness a message that voids the identity. The first of the two messages to
reach the witness takes effect, so a void proves that the request did not run
and never will.

A void must be remembered longer than any start message may be delayed, even if
clocks drift or stop. Clocks of two machines are therefore never compared: a
ticket has a reading of the witness's own clock, taken before the ticket was
issued. A void is remembered until the clock has passed that reading by
`remember_s`, and a start message that arrives later is refused as old by the
same calculation. A witness that restarts is another incarnation, which records
nothing for tickets of the former one.
"""

from typing import Final

from foxtaildale import bounded_records
from foxtaildale import messages
from foxtaildale import values

_DEFAULT_LIMIT: Final = 20_000
_DEFAULT_REMEMBER_S: Final = 1_200.0
_DEFAULT_RESPONSE_BYTES: Final = 4 * 1024 * 1024


class _Identity:
    """The state of one identity."""

    __slots__ = ('body', 'outcome', 'response', 'stamp', 'status')

    def __init__(self, status: str, body: str, stamp: float) -> None:
        # noted, voided or told
        self.status = status
        # Digest of the body that the identity is bound to.
        self.body = body
        # The ticket's reading of this witness's clock.
        self.stamp = stamp
        self.outcome: values.Outcome | None = None
        self.response = b''


class Witness:
    """Starts and voids recorded by one keeper incarnation.

    Times are seconds on this process's monotonic clock.
    """

    __slots__ = (
        '_identities',
        '_incarnation',
        '_max_response_bytes',
        '_remember_s',
        '_unused_response_bytes',
    )

    def __init__(
        self,
        incarnation: str,
        remember_s: float = _DEFAULT_REMEMBER_S,
        limit: int = _DEFAULT_LIMIT,
        max_response_bytes: int = _DEFAULT_RESPONSE_BYTES,
    ) -> None:
        self._incarnation = incarnation
        # How long an identity is remembered after the clock reading of its
        # ticket.
        self._remember_s = remember_s
        self._identities: bounded_records.BoundedRecords[str, _Identity] = (
            bounded_records.BoundedRecords(limit)
        )
        # Bytes of responses that may be stored, and how many are still free.
        self._max_response_bytes = max_response_bytes
        self._unused_response_bytes = max_response_bytes

    def read_clock(
        self, now: float, msg: messages.ClockRequest
    ) -> messages.WitnessReply:
        """Returns this witness's clock, which an executor needs for tickets."""
        if msg.witness != self._incarnation:
            return self._reply(now, 'stranger')
        return self._reply(now, 'reading')

    def record_start(
        self, now: float, msg: messages.StartRequest
    ) -> messages.WitnessReply:
        """Records a start, unless the identity was voided.

        The same message may arrive twice. That is safe: only its sender may
        start the identity, and it does so once.
        """
        return self._record(now, msg, 'noted')

    def void(
        self, now: float, msg: messages.VoidRequest
    ) -> messages.WitnessReply:
        """Voids an identity, unless its start was recorded."""
        return self._record(now, msg, 'voided')

    def record_outcome(
        self, now: float, msg: messages.OutcomeReport
    ) -> messages.WitnessReply:
        """Stores the outcome of an identity for later requests.

        An executor also reports that it abandoned a request; its start message
        may be delayed or lost. A void is final: no report replaces it.
        """
        reply = self._record(now, msg, 'noted')
        entry = self._identities.get(msg.identity)
        if reply.status != 'noted' or entry is None:
            return reply
        entry.status = 'told'
        entry.outcome = values.intern_strings(msg.outcome)
        if len(msg.response) <= self._unused_response_bytes:
            entry.response = msg.response
            self._unused_response_bytes -= len(msg.response)
        return self._reply(now, 'told')

    def expire(self, now: float) -> None:
        """Evicts identities that no valid start or void message can name."""
        self._reclaim(self._identities.expire(now - self._remember_s))

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        counts = {'noted': 0, 'voided': 0, 'told': 0}
        for _, entry in self._identities:
            counts[entry.status] += 1
        return {
            'incarnation': self._incarnation,
            'identities': counts,
            'answer_bytes': self._max_response_bytes
            - self._unused_response_bytes,
            'floor': max(self._identities.floor, 0.0),
        }

    def _record(
        self,
        now: float,
        msg: messages.StartRequest
        | messages.VoidRequest
        | messages.OutcomeReport,
        status: str,
    ) -> messages.WitnessReply:
        """Records `status` if none is recorded; returns the recorded one."""
        if msg.witness != self._incarnation:
            return self._reply(now, 'stranger')
        self.expire(now)
        entry = self._identities.get(msg.identity)
        if entry is None:
            if not self._is_decidable(now, msg.identity, msg.witness_clock):
                return self._reply(now, 'old')
            entry = _Identity(status, msg.body_digest, msg.witness_clock)
            self._reclaim(self._identities.put(msg.identity, entry))
        if entry.status != 'voided' and entry.body != msg.body_digest:
            return self._reply(now, 'other-body')
        return self._reply(now, entry.status, entry)

    def _is_decidable(self, now: float, identity: str, stamp: float) -> bool:
        # A reading later than now was not taken from this clock.
        if not now - self._remember_s <= stamp <= now:
            return False
        return self._identities.was_never_added(identity, stamp)

    def _reply(
        self, now: float, status: str, entry: _Identity | None = None
    ) -> messages.WitnessReply:
        if entry is None:
            return messages.WitnessReply(status=status, clock=now)
        return messages.WitnessReply(
            status=status,
            clock=now,
            outcome=entry.outcome,
            response=entry.response,
        )

    def _reclaim(self, evicted: list[_Identity]) -> None:
        for entry in evicted:
            self._unused_response_bytes += len(entry.response)
