"""Claims: a keeper claims a key in the log before the key's request runs.

The entries of a VM send claim requests to their keeper. The keeper appends many
claims at once, reads them back and replies:

    `request_claim` -> `take_batch` -> `on_appended` -> `on_records` -> won,
    lost, ...

A request runs only if its claim is read back as the first of its key. While the
log doesn't reply, claim requests are refused at once. An append whose reply was
lost may still take effect: its claims are abandoned, and are released as soon
as the log accepts records again, so that the keys become free.

The right to run belongs to the request that won, not to the keeper: an entry
that received "won" may run the request even if its keeper has crashed.
"""

from typing import Final

from foxtaildale import append_queue
from foxtaildale import claimlog
from foxtaildale import codes
from foxtaildale import idempotency_keys
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values

# Shortest interval between two appends of one keeper.
_DEFAULT_INTERVAL_S: Final = 0.05
# Appends per second of all keepers together. The log accepts several hundred
# per second in total; if claims used them all, presets could not be switched.
_MAX_APPENDS_PER_S: Final = 160
# Longest wait for a claim to be read back, in addition to two intervals.
_DEFAULT_TIMEOUT_S: Final = 3.0
# Time without a read from the log after which claim requests are refused at
# once.
_DEFAULT_STALE_S: Final = 3.0
# Maximum number of claim requests that wait at the same time.
_MAX_WAITING: Final = 5_000
# Maximum number of abandoned requests remembered, for claim requests that
# arrive late.
_MAX_ABANDONED: Final = 10_000

_Item = claimlog.Claim | claimlog.Release | claimlog.Done

# A request and the reply to its claim request.
SettledClaim = tuple[str, messages.ClaimReply]


class _PendingClaim:
    """A claim with the entry that requested it."""

    __slots__ = ('claim', 'holder', 'requested_at')

    def __init__(self, now: float, claim: claimlog.Claim, holder: str) -> None:
        self.requested_at = now
        self.claim = claim
        self.holder = holder


def refusal_code(code: codes.Code, first_attempt: bool) -> codes.Code:
    """Returns the code with which an attempt under a key may be refused.

    A caller takes "not run" to cover all attempts that it sent under the key.
    An earlier attempt may still be in transit through another VM and win later,
    so each refusal of a request with a key must use this function.

    Args:
        code: The reason of the refusal.
        first_attempt: Whether the caller states that it has no earlier attempt
            under this key, or that the response to each was "not run".
    """
    if first_attempt or code.ran != 'no' or code is codes.OTHER_BODY:
        # The log binds a key to its first body; another body never runs.
        return code
    return codes.CLAIM_UNSURE


def refusal_of_reply(
    reply: messages.ClaimReply, first_attempt: bool
) -> codes.Code | None:
    """Returns the code of a refusal; None for "won" and "lost"."""
    match reply.status:
        case 'won' | 'lost':
            return None
        case 'other-body':
            return codes.OTHER_BODY
        case 'bad':
            return refusal_code(codes.KEY_BAD, first_attempt)
        case 'old':
            return codes.KEY_OLD
    return refusal_code(codes.LOG_DOWN, first_attempt)


class Claims:
    """The claims of one keeper incarnation.

    Times are seconds on this process's monotonic clock.
    """

    __slots__ = (
        '_abandoned',
        '_address',
        '_appends',
        '_caught_up',
        '_fold',
        '_incarnation',
        '_interval_s',
        '_last_read_at',
        '_next_offset',
        '_stale_s',
        '_timeout_s',
        '_unlogged',
        '_waiting',
        '_won',
    )

    def __init__(
        self,
        incarnation: str,
        address: str,
        *,
        interval_s: float = _DEFAULT_INTERVAL_S,
        timeout_s: float = _DEFAULT_TIMEOUT_S,
        stale_s: float = _DEFAULT_STALE_S,
    ) -> None:
        self._incarnation = incarnation
        self._address = address
        self._interval_s = interval_s
        self._appends: append_queue.AppendQueue[_Item] = (
            append_queue.AppendQueue(interval_s)
        )
        self._timeout_s = timeout_s
        self._stale_s = stale_s
        # Offset of the next read; None before the first read.
        self._next_offset: int | None = None
        self._fold = claimlog.ClaimFold(0)
        # Whether the stream has been read to its end at least once.
        self._caught_up = False
        self._last_read_at = float('-inf')
        # Claims that are not read back yet, by request.
        self._waiting: dict[str, _PendingClaim] = {}
        # Claims that were won and have no outcome yet, by request.
        self._won: dict[str, _PendingClaim] = {}
        # Abandoned requests, which must not win any more, oldest first.
        self._abandoned: dict[str, None] = {}
        # Outcomes that are not read back yet, by key identity.
        self._unlogged: dict[bytes, values.Outcome] = {}

    def set_keeper_count(self, keepers: int) -> None:
        """Sets the number of keepers, which share the rate of appends."""
        shared_s = keepers / _MAX_APPENDS_PER_S
        self._appends.interval_s = max(self._interval_s, shared_s)

    def key_prefix(self) -> str | None:
        """Returns the prefix of new keys; None until it is known."""
        if self._next_offset is None or not self._caught_up:
            return None
        return idempotency_keys.key_prefix(self._next_offset)

    def next_offset(self) -> int:
        """Returns the offset to read the stream from."""
        return self._next_offset or 0

    def request_claim(
        self, now: float, msg: messages.ClaimRequest
    ) -> messages.ClaimReply | None:
        """Handles a claim request; returns None if the reply comes later."""
        stamp = idempotency_keys.key_offset(msg.key)
        if stamp is None:
            return messages.ClaimReply(status='bad')
        identity = idempotency_keys.key_digest(msg.service, msg.key)
        if reply := self._known_reply(
            identity, stamp, msg.body_digest, msg.request
        ):
            return reply
        if msg.request in self._waiting:
            return None
        if msg.request in self._abandoned or not self._accepts_claims(now):
            return self._log_down(now)
        claim = claimlog.Claim(
            identity=identity,
            stamp=stamp,
            request=msg.request,
            body=msg.body_digest,
        )
        self._waiting[msg.request] = _PendingClaim(now, claim, msg.holder)
        self._appends.add(claim)
        return None

    def take_batch(self, now: float) -> list[bytes]:
        """Returns the records to append now; empty if there are none.

        One append is in flight at a time. The caller reports its result with
        `on_appended` or `on_append_failed`.
        """
        in_flight = self._appends.start_append(now)
        if not in_flight:
            return []
        items = tuple(item for item in in_flight if self._is_wanted(item))
        record = claimlog.Record(
            owner=self._incarnation, address=self._address, items=items
        )
        return [claimlog.encode(record)]

    def on_appended(self, now: float) -> None:
        """Handles the success of the append; its claims are read back next."""
        self._appends.on_succeeded(now)

    def on_append_failed(self, now: float, sent: bool) -> list[SettledClaim]:
        """Handles a failed append, or (if `sent`) an append with a lost reply.

        All claims that wait for an append are refused now. Claims that were
        read back in the meantime are already settled and don't change.
        """
        in_flight, queued = self._appends.on_failed(now)
        settled: list[SettledClaim] = []
        for item in in_flight + queued:
            if not isinstance(item, claimlog.Claim):
                self._appends.add(item)
            elif self._waiting.pop(item.request, None):
                settled.append((item.request, self._log_down(now)))
                self._forbid(item.request)
                if sent and item in in_flight:
                    self._release(item.identity, item.stamp, item.request)
        return settled

    def on_records(self, now: float, batch: ports.Batch) -> list[SettledClaim]:
        """Applies the records that were read from `next_offset` on."""
        settled: list[SettledClaim] = []
        self._last_read_at = now
        if self._next_offset is None:
            self._start(batch.first)
        if batch.first > self.next_offset():
            settled += self.on_lapsed(now, batch.first)
        for record in batch.records:
            if record.offset > self.next_offset():
                settled += self.on_lapsed(now, record.offset)
            if record.offset == self.next_offset():
                self._next_offset = record.offset + 1
                settled += self._apply(record)
        self._fold.expire(batch.first)
        if self.next_offset() >= batch.end:
            self._caught_up = True
        return settled

    def on_lapsed(self, now: float, first: int) -> list[SettledClaim]:
        """Handles the loss of the records from `next_offset` to `first`.

        Their content is not known: own claims among them are abandoned, and no
        key from before `first` can be won by this keeper.
        """
        self._start(first)
        return self._abandon(now, [*self._waiting])

    def expire(self, now: float) -> list[SettledClaim]:
        """Refuses claims that have waited too long."""
        timeout_s = self._timeout_s + 2 * self._appends.interval_s
        late = [
            request
            for request, pending in self._waiting.items()
            if now - pending.requested_at >= timeout_s
        ]
        return self._abandon(now, late)

    def record_outcome(self, now: float, msg: messages.ClaimReport) -> None:
        """Records the outcome of a request; frees the key if it did not run.

        The request may have won with a former incarnation of this keeper.
        """
        request = msg.outcome.request
        stamp = idempotency_keys.key_offset(msg.key)
        if stamp is None:
            return
        identity = idempotency_keys.key_digest(msg.service, msg.key)
        self._won.pop(request, None)
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

    def outcome(
        self, msg: messages.OutcomeRequest
    ) -> values.Outcome | codes.Code:
        """Returns the outcome of a claim of this keeper, for another VM."""
        identity = idempotency_keys.key_digest(msg.service, msg.key)
        if unlogged := self._unlogged.get(identity):
            return unlogged
        holding = self._fold.get(identity)
        if holding is None or not holding.request:
            return codes.CLAIM_UNSURE
        if holding.outcome is not None:
            return holding.outcome
        if holding.request in self._won:
            return codes.IN_PROGRESS
        return codes.UNKNOWN

    def won_by(self, holder: str) -> list[str]:
        """Returns the requests of an entry that won and have no outcome."""
        return [
            request
            for request, pending in self._won.items()
            if pending.holder == holder
        ]

    def remove_holder(self, holder: str) -> None:
        """Removes the claims of a crashed entry; their outcomes are unknown.

        Otherwise every later request for one of their outcomes would get "in
        progress" as its reply.
        """
        for request in self.won_by(holder):
            del self._won[request]

    def pending_count(self) -> int:
        """Returns how many items are not appended yet, for a planned stop."""
        return len(self._appends)

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            'incarnation': self._incarnation,
            'next_offset': self._next_offset,
            'caught_up': self._caught_up,
            'keys': len(self._fold),
            'waiting': len(self._waiting),
            'held': sorted(self._won),
            'unwritten': self.pending_count(),
            'appends': self._appends.started_count,
        }

    def _start(self, first: int) -> None:
        self._next_offset = first
        self._fold = claimlog.ClaimFold(first)

    def _is_wanted(self, item: _Item) -> bool:
        """Whether an item still has to be appended.

        A claim that was abandoned while it was queued does not.
        """
        if isinstance(item, claimlog.Claim):
            return item.request in self._waiting
        return True

    def _accepts_claims(self, now: float) -> bool:
        recently_read = now - self._last_read_at <= self._stale_s
        has_room = len(self._waiting) < _MAX_WAITING
        down = self._appends.is_backing_off(now)
        return self._caught_up and recently_read and has_room and not down

    def _known_reply(
        self, identity: bytes, stamp: int, body: str, request: str
    ) -> messages.ClaimReply | None:
        """Returns the reply that the folded log already determines, or None."""
        holding = self._fold.get(identity)
        if holding is not None:
            if holding.body not in ('', body):
                return messages.ClaimReply(status='other-body')
            if holding.request == request and request in self._won:
                # The entry repeats its request because the reply was lost.
                return messages.ClaimReply(status='won', request=request)
            if holding.request:
                return self._lost(holding)
        if self._caught_up and self._fold.is_old(identity, stamp):
            return messages.ClaimReply(status='old')
        return None

    def _apply(self, record: ports.Record) -> list[SettledClaim]:
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
        self, claim: claimlog.Claim, result: claimlog.ClaimResult
    ) -> list[SettledClaim]:
        pending = self._waiting.pop(claim.request, None)
        if pending is None:
            if result in ('won', 'old') and claim.request not in self._won:
                # The append of an abandoned claim took effect after all.
                self._release(claim.identity, claim.stamp, claim.request)
            return []
        if result == 'won':
            self._won[claim.request] = pending
            won = messages.ClaimReply(status='won', request=claim.request)
            return [(claim.request, won)]
        if result == 'old':
            self._release(claim.identity, claim.stamp, claim.request)
        holding = self._fold.get(claim.identity)
        if result == 'lost' and holding is not None:
            return [(claim.request, self._lost(holding))]
        status = 'log-down' if result == 'void' else result
        return [(claim.request, messages.ClaimReply(status=status))]

    def _lost(self, holding: claimlog.KeyState) -> messages.ClaimReply:
        return messages.ClaimReply(
            status='lost',
            owner=holding.owner,
            owner_address=holding.address,
            request=holding.request,
            outcome=holding.outcome,
        )

    def _abandon(self, now: float, requests: list[str]) -> list[SettledClaim]:
        """Refuses requests; releases their claims, which may be in the log."""
        for request in requests:
            claim = self._waiting[request].claim
            self._release(claim.identity, claim.stamp, request)
        return [(request, self._log_down(now)) for request in requests]

    def _release(self, identity: bytes, stamp: int, request: str) -> None:
        """Appends that a request never runs, and forbids it to win."""
        self._waiting.pop(request, None)
        self._forbid(request)
        self._appends.add(
            claimlog.Release(identity=identity, stamp=stamp, request=request)
        )

    def _forbid(self, request: str) -> None:
        self._abandoned[request] = None
        while len(self._abandoned) > _MAX_ABANDONED:
            del self._abandoned[next(iter(self._abandoned))]

    def _log_down(self, now: float) -> messages.ClaimReply:
        wait_ms = round(self._appends.wait_s(now) * 1000)
        return messages.ClaimReply(
            status='log-down', retry_after_ms=max(1, wait_ms)
        )
