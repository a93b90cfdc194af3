"""The earliest joint time of prefill, link and decode slot for one request.

A plan reserves nothing; `pool` books it if admission agrees.
"""

from typing import Final

from foxtaildale import estimates
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import values
from foxtaildale import workers

# A new home trusts load reports beside its ledger for so long, seconds: by
# then every holder has repeated its grants.
_REBUILD_S: Final = 2.5


class Plan:
    """Workers and times for one request."""

    __slots__ = ('decode', 'decode_at', 'prefill', 'start_at', 'transfer_at')

    # None where the prefill is done, or for a plain service.
    prefill: workers.Worker | None
    decode: workers.Worker
    # Seconds on the home's clock.
    start_at: float
    transfer_at: float
    decode_at: float

    def __init__(
        self,
        prefill: workers.Worker | None,
        decode: workers.Worker,
        start_at: float,
        transfer_at: float,
        decode_at: float,
    ) -> None:
        self.prefill = prefill
        self.decode = decode
        self.start_at = start_at
        self.transfer_at = transfer_at
        self.decode_at = decode_at


class Planner:
    """Knows the workers of one pool and plans over them."""

    __slots__ = ('born_at', 'grants', 'listed', 'rates', 'service')

    service: values.Service
    listed: dict[str, workers.Worker]
    grants: ledger.Ledger
    rates: estimates.Estimates
    # When this home learned of its first worker; None before.
    born_at: float | None

    def __init__(self, service: values.Service) -> None:
        self.service = service
        self.listed = {}
        self.grants = ledger.Ledger()
        self.rates = estimates.Estimates(service.expected_tokens)
        self.born_at = None

    def plan(
        self, now: float, msg: messages.AskSlot, count: int, tokens: int
    ) -> Plan | None:
        """Returns the plan for a request; None if no worker is listed.

        Args:
            now: Seconds, monotonic.
            msg: The request.
            count: Requests that wait and stand before it.
            tokens: Prompt tokens of those.
        """
        found = self._slot(now, count, msg.avoid)
        if found is None:
            return None
        decode, slot_at = found
        if self.service.kind == 'plain':
            return Plan(None, decode, slot_at, slot_at, slot_at)
        if msg.ready_at:
            return self._plan_link(now, msg, decode, slot_at)
        plans = [
            self._plan_at(
                now,
                msg,
                prefill,
                decode=decode,
                slot_at=slot_at,
                tokens=tokens,
            )
            for prefill in self.usable(now, 'prefill')
        ]
        # Where all wait for the slot alone, the less booked one is taken.
        return min(
            plans,
            key=lambda p: (p.decode_at, p.prefill.free_at if p.prefill else 0),
            default=None,
        )

    def _plan_at(
        self,
        now: float,
        msg: messages.AskSlot,
        prefill: workers.Worker,
        *,
        decode: workers.Worker,
        slot_at: float,
        tokens: int,
    ) -> Plan:
        """Plans with one prefill worker."""
        name = prefill.server.name
        ahead_s = self.rates.prefill_s(name, tokens) / len(
            self.usable(now, 'prefill')
        )
        prefill_s = self.rates.prefill_s(name, msg.prompt_tokens)
        transfer_s = self.rates.transfer_s(name, msg.prompt_tokens)
        ready_at = max(now, prefill.free_at) + ahead_s + prefill_s
        transfer_at = max(ready_at, slot_at, prefill.link_at)
        return Plan(
            prefill,
            decode,
            transfer_at - prefill_s,
            transfer_at,
            transfer_at + transfer_s,
        )

    def usable(self, now: float, role: values.Role) -> list[workers.Worker]:
        """Returns the workers of a role that new work may go to.

        Where all are suspended they count as usable again: what looks like
        all of them failing is rather something that they share, and a refusal
        that no backend server is listed would not be true.
        """
        live = [
            worker
            for worker in self.listed.values()
            if worker.server.role == role and worker.server.state == 'live'
        ]
        return [worker for worker in live if worker.usable(now)] or live

    def slot_workers(self, now: float) -> list[workers.Worker]:
        """Returns the usable workers whose slots are granted."""
        plain = self.service.kind == 'plain'
        return self.usable(now, 'plain' if plain else 'decode')

    def limit(self, worker: workers.Worker) -> int:
        """Returns the slots that keep the target between tokens."""
        target_s = self.service.between_tokens_ms / 1000
        return self.rates.token.largest_batch(worker.server.slots, target_s)

    def free_now(self, now: float) -> workers.Worker | None:
        """Returns a worker with a slot that is not in use, if there is one."""
        worker = min(
            self.slot_workers(now),
            key=lambda w: (
                self.grants.occupied(w.server.name, now) / self.limit(w)
            ),
            default=None,
        )
        if worker is None:
            return None
        occupied = self.grants.occupied(worker.server.name, now)
        return worker if occupied < self.limit(worker) else None

    def _plan_link(
        self,
        now: float,
        msg: messages.AskSlot,
        decode: workers.Worker,
        slot_at: float,
    ) -> Plan:
        """Plans for a prefill that is done: link time and a slot only."""
        source = self.listed.get(msg.ready_at)
        link_at = source.link_at if source else now
        transfer_at = max(now, slot_at, link_at)
        took_s = self.rates.transfer_s(msg.ready_at, msg.prompt_tokens)
        return Plan(
            None, decode, transfer_at, transfer_at, transfer_at + took_s
        )

    def _slot(
        self, now: float, ahead: int, avoid: str
    ) -> tuple[workers.Worker, float] | None:
        """Returns the decode worker with the earliest slot, and its time."""
        usable = self.slot_workers(now)
        usable = [w for w in usable if w.server.name != avoid] or usable
        if not usable:
            return None
        worker = min(usable, key=lambda w: self._used(now, w) / self.limit(w))
        limit = self.limit(worker)
        short = self._used(now, worker) + ahead / len(usable) + 1 - limit
        if short <= 0:
            return worker, now
        # A full worker frees its slots one decode time after the other.
        return worker, now + short * self.rates.decode.value / limit

    def _used(self, now: float, worker: workers.Worker) -> int:
        """Returns the slots taken, known or only reported."""
        held = self.grants.held(worker.server.name)
        rebuilding = (
            self.born_at is not None and now < self.born_at + _REBUILD_S
        )
        if rebuilding and worker.load is not None:
            return max(held, worker.load.running)
        return held
