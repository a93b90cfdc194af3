"""The witness of tickets: notes starts and voids identities.

An executor sends the first byte of a ticket's request only after the witness
has noted the start. Anyone who can't reach the executor may ask the witness to
void the identity. Whichever reaches the witness first stands, so a void proves
that the request did not run and never will.

A void must outlive every note that may still come, however long that note was
on its way and however the clocks drift or stop. So nobody compares clocks of
two machines: a ticket carries a reading of the witness's own clock, taken
before the ticket was minted. A void is remembered until the clock has passed
that reading by `remember_s`, and a note that comes later is refused as old by
the very same sum. A witness that restarts is another incarnation, which notes
nothing for tickets of the former one.
"""

from typing import Final

from foxtaildale import memory
from foxtaildale import messages
from foxtaildale import values

_DEFAULT_LIMIT: Final = 100_000
_DEFAULT_REMEMBER_S: Final = 1_200.0
_DEFAULT_ANSWER_BYTES: Final = 4 * 1024 * 1024


class _Start:
    """What became of one identity."""

    __slots__ = ('answer', 'body', 'outcome', 'stamp', 'status')

    def __init__(self, status: str, body: str, stamp: float) -> None:
        # noted, voided or told
        self.status = status
        # Digest of the body that it is bound to.
        self.body = body
        # The ticket's reading of this witness's clock.
        self.stamp = stamp
        self.outcome: values.Outcome | None = None
        self.answer = b''


class Witness:
    """Remembers starts and voids for one keeper incarnation.

    Times are seconds on this process's monotonic clock.
    """

    __slots__ = (
        '_answer_bytes',
        '_incarnation',
        '_remember_s',
        '_room',
        '_starts',
    )

    def __init__(
        self,
        incarnation: str,
        remember_s: float = _DEFAULT_REMEMBER_S,
        limit: int = _DEFAULT_LIMIT,
        answer_bytes: int = _DEFAULT_ANSWER_BYTES,
    ) -> None:
        self._incarnation = incarnation
        # How long an identity is remembered after its ticket's reading.
        self._remember_s = remember_s
        self._starts: memory.Memory[str, _Start] = memory.Memory(limit)
        # Bytes of answers that may be kept, and those still free.
        self._answer_bytes = answer_bytes
        self._room = answer_bytes

    def read(
        self, now: float, msg: messages.AskReading
    ) -> messages.WitnessReply:
        """Tells an executor this witness's clock, for tickets to come."""
        if msg.witness != self._incarnation:
            return self._reply(now, 'stranger')
        return self._reply(now, 'reading')

    def note(self, now: float, msg: messages.Note) -> messages.WitnessReply:
        """Notes a start, unless the identity was voided.

        The same note may come twice: its sender is the only one that may start
        the identity and does so once.
        """
        return self._first(now, msg, 'noted')

    def void(self, now: float, msg: messages.Void) -> messages.WitnessReply:
        """Voids an identity, unless its start was noted."""
        return self._first(now, msg, 'voided')

    def tell(self, now: float, msg: messages.Tell) -> messages.WitnessReply:
        """Keeps what came of an identity, for those who ask later.

        An executor that gave up tells that too; its note may still be on the
        way, or may never have come. A void stands whatever is told.
        """
        reply = self._first(now, msg, 'noted')
        start = self._starts.get(msg.identity)
        if reply.status != 'noted' or start is None:
            return reply
        start.status = 'told'
        start.outcome = msg.outcome
        if len(msg.answer) <= self._room:
            start.answer = msg.answer
            self._room -= len(msg.answer)
        return self._reply(now, 'told')

    def expire(self, now: float) -> None:
        """Forgets what no note or void can ask for any more."""
        self._free(self._starts.expire(now - self._remember_s))

    def dump(self) -> dict[str, object]:
        """Returns the state for people."""
        counts = {'noted': 0, 'voided': 0, 'told': 0}
        for _, start in self._starts:
            counts[start.status] += 1
        return {
            'incarnation': self._incarnation,
            'identities': counts,
            'answer_bytes': self._answer_bytes - self._room,
            'floor': max(self._starts.floor, 0.0),
        }

    def _first(
        self,
        now: float,
        msg: messages.Note | messages.Void | messages.Tell,
        status: str,
    ) -> messages.WitnessReply:
        """Records `status` if nothing is recorded; returns what stands."""
        if msg.witness != self._incarnation:
            return self._reply(now, 'stranger')
        self.expire(now)
        start = self._starts.get(msg.identity)
        if start is None:
            if not self._is_judgeable(now, msg.identity, msg.witness_at):
                return self._reply(now, 'old')
            start = _Start(status, msg.body, msg.witness_at)
            self._free(self._starts.put(msg.identity, start))
        if start.status != 'voided' and start.body != msg.body:
            return self._reply(now, 'other-body')
        return self._reply(now, start.status, start)

    def _is_judgeable(self, now: float, identity: str, stamp: float) -> bool:
        # A reading from the future is no reading of this clock.
        if not now - self._remember_s <= stamp <= now:
            return False
        return self._starts.never_knew(identity, stamp)

    def _reply(
        self, now: float, status: str, start: _Start | None = None
    ) -> messages.WitnessReply:
        if start is None:
            return messages.WitnessReply(status=status, at=now)
        return messages.WitnessReply(
            status=status, at=now, outcome=start.outcome, answer=start.answer
        )

    def _free(self, gone: list[_Start]) -> None:
        for start in gone:
            self._room += len(start.answer)
