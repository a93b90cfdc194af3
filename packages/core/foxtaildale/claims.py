"""Claims: how a keeper wins a key in the log before the key's request runs.

The entries of a VM ask their keeper; the keeper appends many claims at once,
reads them back and answers:

    ask -> batch -> on_appended -> on_records -> won, lost, ...

A claim that is not read back as the first of its key is never run. When the
log doesn't answer, the asker is refused at once. An append without an answer
may still take effect: its claims are given up for good and released as soon as
the log takes records again, so that the key doesn't stay taken.

The right to run belongs to the request that won, not to the keeper: an entry
that has "won" in its hands may run although its keeper died.
"""

from typing import Final

from foxtaildale import appends
from foxtaildale import claimlog
from foxtaildale import codes
from foxtaildale import keys
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values

# One keeper appends at most this often, so that all of them together stay
# under the few hundred appends a second that the log takes.
_DEFAULT_INTERVAL_S: Final = 0.05
# Longest wait for a claim to be read back.
_DEFAULT_PATIENCE_S: Final = 3.0
# Silence of the log's reader after which asks are refused at once.
_DEFAULT_STALE_S: Final = 3.0
# Asks that wait at once.
_MAX_WAITING: Final = 5_000
# Given-up requests remembered, for asks that arrive after their end.
_MAX_GIVEN_UP: Final = 10_000

_Item = claimlog.Claim | claimlog.Release | claimlog.Done

# A request and what it is to be told now.
Settled = tuple[str, messages.ClaimReply]


class _Ask:
    """A claim that is not settled yet."""

    __slots__ = ('asked_at', 'claim', 'holder')

    def __init__(self, now: float, claim: claimlog.Claim, holder: str) -> None:
        self.asked_at = now
        self.claim = claim
        self.holder = holder


def refusal(reply: messages.ClaimReply, first_try: bool) -> codes.Code | None:
    """Returns the code to refuse with; None for "won" and "lost".

    Args:
        reply: What the keeper said.
        first_try: Whether the caller says that it never sent this key before.
            An earlier try may run at another VM, whose claim can't be read
            while the log is down, so only then "log-down" means "not run".
    """
    match reply.status:
        case 'won' | 'lost':
            return None
        case 'other-body':
            return codes.OTHER_BODY
        case 'bad':
            return codes.KEY_BAD
        case 'old':
            return codes.KEY_OLD
    return codes.LOG_DOWN if first_try else codes.CLAIM_UNSURE


class Claims:
    """The claims of one keeper incarnation.

    Times are seconds on this process's monotonic clock.
    """

    __slots__ = (
        '_address',
        '_appends',
        '_caught_up',
        '_fold',
        '_given_up',
        '_held',
        '_incarnation',
        '_next',
        '_patience_s',
        '_read_at',
        '_stale_s',
        '_unlogged',
        '_waiting',
    )

    def __init__(
        self,
        incarnation: str,
        address: str,
        *,
        interval_s: float = _DEFAULT_INTERVAL_S,
        patience_s: float = _DEFAULT_PATIENCE_S,
        stale_s: float = _DEFAULT_STALE_S,
    ) -> None:
        self._incarnation = incarnation
        self._address = address
        self._appends: appends.Appends[_Item] = appends.Appends(interval_s)
        self._patience_s = patience_s
        self._stale_s = stale_s
        # Offset to read next; None until the first read.
        self._next: int | None = None
        self._fold = claimlog.Fold(0)
        # Whether the stream was once read to its end.
        self._caught_up = False
        self._read_at = float('-inf')
        # Asks that are not read back yet, by request.
        self._waiting: dict[str, _Ask] = {}
        # Claims that were won and not ended, by request.
        self._held: dict[str, _Ask] = {}
        # Requests that must not win any more, oldest first.
        self._given_up: dict[str, None] = {}
        # Outcomes that are not read back yet, by identity.
        self._unlogged: dict[bytes, values.Outcome] = {}

    def key_prefix(self) -> str | None:
        """Returns the beginning of new keys; None while it is not known."""
        if self._next is None or not self._caught_up:
            return None
        return keys.prefix(self._next)

    def next_offset(self) -> int:
        """Returns the offset to read the stream from."""
        return self._next or 0

    def ask(
        self, now: float, msg: messages.AskClaim
    ) -> messages.ClaimReply | None:
        """Asks whether a request may run its key; None: settled later."""
        stamp = keys.stamp(msg.key)
        if stamp is None:
            return messages.ClaimReply(status='bad')
        identity = keys.identity(msg.service, msg.key)
        if known := self._judge(identity, stamp, msg.body, msg.request):
            return known
        if msg.request in self._waiting:
            return None
        if msg.request in self._given_up or not self._is_up(now):
            return self._log_down(now)
        claim = claimlog.Claim(
            identity=identity, stamp=stamp, request=msg.request, body=msg.body
        )
        self._waiting[msg.request] = _Ask(now, claim, msg.holder)
        self._appends.add(claim)
        return None

    def batch(self, now: float) -> list[bytes]:
        """Returns the records to append now; empty if there are none.

        One append is in flight at a time. Its end is told by `on_appended` or
        `on_append_failed`.
        """
        taken = self._appends.take(now)
        if not taken:
            return []
        items = tuple(item for item in taken if self._is_wanted(item))
        record = claimlog.Record(
            owner=self._incarnation, address=self._address, items=items
        )
        return [claimlog.encode(record)]

    def on_appended(self, now: float) -> None:
        """The append in flight took effect; its claims are read back next."""
        self._appends.on_done(now)

    def on_append_failed(self, now: float, sent: bool) -> list[Settled]:
        """The append in flight failed, or (`sent`) its answer was lost.

        Everybody who waits for an append is refused now. Claims that were
        read back in the meantime are settled already and stay so.
        """
        taken, waited = self._appends.on_failed(now)
        settled: list[Settled] = []
        for item in taken + waited:
            if not isinstance(item, claimlog.Claim):
                self._appends.add(item)
            elif self._waiting.pop(item.request, None):
                settled.append((item.request, self._log_down(now)))
                self._forbid(item.request)
                if sent and item in taken:
                    self._release(item.identity, item.stamp, item.request)
        return settled

    def on_records(self, now: float, batch: ports.Batch) -> list[Settled]:
        """Takes what was read from `next_offset` on."""
        settled: list[Settled] = []
        self._read_at = now
        if self._next is None:
            self._start(batch.first)
        if batch.first > self.next_offset():
            settled += self.on_lapsed(now, batch.first)
        for record in batch.records:
            if record.offset > self.next_offset():
                settled += self.on_lapsed(now, record.offset)
            if record.offset == self.next_offset():
                self._next = record.offset + 1
                settled += self._apply(record)
        self._fold.expire(batch.first)
        if self.next_offset() >= batch.end:
            self._caught_up = True
        return settled

    def on_lapsed(self, now: float, first: int) -> list[Settled]:
        """The records from `next_offset` to `first` can't be read any more.

        What they said is lost: own claims among them are given up, and no key
        from before `first` can be won here.
        """
        self._start(first)
        return self._give_up(now, [*self._waiting])

    def expire(self, now: float) -> list[Settled]:
        """Refuses those that waited too long."""
        late = [
            request
            for request, asked in self._waiting.items()
            if now - asked.asked_at >= self._patience_s
        ]
        return self._give_up(now, late)

    def end(self, now: float, msg: messages.EndClaim) -> None:
        """A request is over; one that did not run gives its key free.

        It may be a request of a former incarnation of this keeper.
        """
        request = msg.outcome.request
        stamp = keys.stamp(msg.key)
        if stamp is None:
            return
        identity = keys.identity(msg.service, msg.key)
        self._held.pop(request, None)
        if codes.ran(msg.outcome.code) == 'no':
            self._release(identity, stamp, request)
            return
        self._unlogged[identity] = msg.outcome
        done = claimlog.Done(
            identity=identity,
            stamp=stamp,
            request=request,
            outcome=msg.outcome,
        )
        self._appends.add(done)

    def outcome(self, msg: messages.AskOutcome) -> values.Outcome | codes.Code:
        """Answers another VM that found a claim of this keeper."""
        identity = keys.identity(msg.service, msg.key)
        if found := self._unlogged.get(identity):
            return found
        holding = self._fold.get(identity)
        if holding is None or not holding.request:
            return codes.CLAIM_UNSURE
        if holding.outcome is not None:
            return holding.outcome
        if holding.request in self._held:
            return codes.IN_PROGRESS
        return codes.UNKNOWN

    def held_by(self, holder: str) -> list[str]:
        """Returns the requests that an entry has won and not ended."""
        return [
            request
            for request, asked in self._held.items()
            if asked.holder == holder
        ]

    def holder_gone(self, holder: str) -> None:
        """An entry died: nobody knows what came of the claims it had won.

        Without this, whoever asks for one of them would be told for ever that
        it is in progress.
        """
        for request in self.held_by(holder):
            del self._held[request]

    def unwritten(self) -> int:
        """Returns how many items wait to be appended, for a planned stop."""
        return len(self._appends)

    def dump(self) -> dict[str, object]:
        """Returns the state for people."""
        return {
            'incarnation': self._incarnation,
            'next_offset': self._next,
            'caught_up': self._caught_up,
            'keys': len(self._fold),
            'waiting': len(self._waiting),
            'held': sorted(self._held),
            'unwritten': self.unwritten(),
            'appends': self._appends.count,
        }

    def _start(self, first: int) -> None:
        self._next = first
        self._fold = claimlog.Fold(first)

    def _is_wanted(self, item: _Item) -> bool:
        """Whether an item is not a claim that was given up in the queue."""
        if isinstance(item, claimlog.Claim):
            return item.request in self._waiting
        return True

    def _is_up(self, now: float) -> bool:
        fresh = now - self._read_at <= self._stale_s
        room = len(self._waiting) < _MAX_WAITING
        down = self._appends.is_down(now)
        return self._caught_up and fresh and room and not down

    def _judge(
        self, identity: bytes, stamp: int, body: str, request: str
    ) -> messages.ClaimReply | None:
        """Returns what the log says of a key already, if that decides."""
        holding = self._fold.get(identity)
        if holding is not None:
            if holding.body not in ('', body):
                return messages.ClaimReply(status='other-body')
            if holding.request == request and request in self._held:
                # The entry asks again because the first reply was lost.
                return messages.ClaimReply(status='won', request=request)
            if holding.request:
                return self._lost(holding)
        if self._caught_up and self._fold.is_old(identity, stamp):
            return messages.ClaimReply(status='old')
        return None

    def _apply(self, record: ports.Record) -> list[Settled]:
        data = claimlog.decode(record.data)
        if data is None:
            return []
        settled = []
        for item in data.items:
            result = self._fold.apply(record.offset, data, item)
            if isinstance(item, claimlog.Done):
                self._unlogged.pop(item.identity, None)
            own = data.owner == self._incarnation
            if own and isinstance(item, claimlog.Claim):
                settled += self._read_back(item, result)
        return settled

    def _read_back(
        self, claim: claimlog.Claim, result: claimlog.Result
    ) -> list[Settled]:
        asked = self._waiting.pop(claim.request, None)
        if asked is None:
            if result in ('won', 'old') and claim.request not in self._held:
                # An append that was given up took effect after all.
                self._release(claim.identity, claim.stamp, claim.request)
            return []
        if result == 'won':
            self._held[claim.request] = asked
            won = messages.ClaimReply(status='won', request=claim.request)
            return [(claim.request, won)]
        if result == 'old':
            self._release(claim.identity, claim.stamp, claim.request)
        holding = self._fold.get(claim.identity)
        if result == 'lost' and holding is not None:
            return [(claim.request, self._lost(holding))]
        status = 'log-down' if result == 'void' else result
        return [(claim.request, messages.ClaimReply(status=status))]

    def _lost(self, holding: claimlog.Holding) -> messages.ClaimReply:
        return messages.ClaimReply(
            status='lost',
            owner=holding.owner,
            owner_address=holding.address,
            request=holding.request,
            outcome=holding.outcome,
        )

    def _give_up(self, now: float, requests: list[str]) -> list[Settled]:
        """Refuses asks for good; what may get into the log is released."""
        for request in requests:
            claim = self._waiting[request].claim
            self._release(claim.identity, claim.stamp, request)
        return [(request, self._log_down(now)) for request in requests]

    def _release(self, identity: bytes, stamp: int, request: str) -> None:
        """Says that a request never runs, whatever of it is in the log."""
        self._waiting.pop(request, None)
        self._forbid(request)
        self._appends.add(
            claimlog.Release(identity=identity, stamp=stamp, request=request)
        )

    def _forbid(self, request: str) -> None:
        self._given_up[request] = None
        while len(self._given_up) > _MAX_GIVEN_UP:
            del self._given_up[next(iter(self._given_up))]

    def _log_down(self, now: float) -> messages.ClaimReply:
        wait_ms = round(self._appends.wait_s(now) * 1000)
        return messages.ClaimReply(
            status='log-down', retry_after_ms=max(1, wait_ms)
        )
