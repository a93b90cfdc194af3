"""Finds the earliest joint time of prefill, link and decode slot.

A plan reserves nothing; `pool` books it if `admission` grants the request.
"""

from typing import Final

from foxtaildale import estimates
from foxtaildale import hints
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import values
from foxtaildale import workers

# Time for which a new coordinator uses load reports in addition to its ledger,
# seconds. After it, every holder has renewed its grants.
_REBUILD_S: Final = 2.5

# Factors on the expected wait for a slot: if only goodput has weight, and if
# only wasted prefill has weight.
_MIN_WAIT_FACTOR: Final = 0.9
_MAX_WAIT_FACTOR: Final = 1.5
# Plans are compared by the start of decode in steps of this time, seconds.
_TIE_S: Final = 0.05


class Plan:
    """Workers and times for one request."""

    __slots__ = (
        'decode',
        'decode_at',
        'prefill',
        'start_at',
        'transfer_at',
        'work_s',
    )

    # None if the prefill is done already or the service is plain.
    prefill: workers.Worker | None
    decode: workers.Worker
    # Seconds on the coordinator's clock.
    start_at: float
    transfer_at: float
    decode_at: float
    # Time for the request's own prefill and transfer, without waiting, seconds.
    work_s: float

    def __init__(
        self,
        prefill: workers.Worker | None,
        decode: workers.Worker,
        *,
        start_at: float,
        transfer_at: float,
        decode_at: float,
        work_s: float = 0.0,
    ) -> None:
        self.prefill = prefill
        self.decode = decode
        self.start_at = start_at
        self.transfer_at = transfer_at
        self.decode_at = decode_at
        self.work_s = work_s


def _rank(plan: Plan) -> tuple[float, float, float]:
    free_at = plan.prefill.prefills_end_at if plan.prefill else 0.0
    work_s = plan.transfer_at - plan.start_at
    return plan.decode_at // _TIE_S, work_s, free_at


class Planner:
    """Plans requests over the workers of one pool."""

    __slots__ = (
        'first_worker_at',
        'grants',
        'hints',
        'rates',
        'service',
        'weights',
        'workers_by_name',
    )

    service: values.Service
    weights: values.Weights
    workers_by_name: dict[str, workers.Worker]
    grants: ledger.Ledger
    rates: estimates.Estimates
    hints: hints.Hints
    # When this coordinator was notified of its first worker, seconds; None
    # before.
    first_worker_at: float | None

    def __init__(self, service: values.Service) -> None:
        self.service = service
        self.weights = values.Weights()
        self.workers_by_name = {}
        self.grants = ledger.Ledger()
        self.rates = estimates.Estimates(service.expected_tokens)
        self.hints = hints.Hints()
        self.first_worker_at = None

    def plan(
        self,
        now: float,
        msg: messages.SlotRequest,
        ahead_count: int,
        ahead_tokens: int,
    ) -> Plan | None:
        """Returns the plan for a request; None if no worker is listed.

        Args:
            now: Seconds, monotonic.
            msg: The request.
            ahead_count: Number of requests ahead of it in the queue.
            ahead_tokens: Sum of their prompt tokens.
        """
        earliest = self._earliest_slot(now, ahead_count, msg.excluded_worker)
        if earliest is None:
            return None
        decode, slot_at = earliest
        if self.service.kind == 'plain':
            return Plan(
                None,
                decode,
                start_at=slot_at,
                transfer_at=slot_at,
                decode_at=slot_at,
            )
        if msg.prefilled_at:
            return self._plan_transfer(now, msg, decode, slot_at)
        usable = self.usable_workers(now, 'prefill')
        plans = [
            self._plan_with_prefill(
                now,
                msg,
                prefill,
                decode=decode,
                slot_at=slot_at,
                ahead_tokens=ahead_tokens / len(usable),
            )
            for prefill in usable
        ]
        # If the slot alone limits all plans, the plan with the least prefill
        # work after cache hits is preferred, then the least booked worker.
        return min(plans, key=_rank, default=None)

    def _plan_with_prefill(
        self,
        now: float,
        msg: messages.SlotRequest,
        prefill: workers.Worker,
        *,
        decode: workers.Worker,
        slot_at: float,
        ahead_tokens: float,
    ) -> Plan:
        """Plans with one prefill worker and its part of the queued tokens."""
        name = prefill.server.name
        ahead_s = self.rates.prefill_s(name, ahead_tokens)
        cached_tokens = min(
            self.hints.expected_tokens(name, msg.prefix_digests),
            msg.prompt_tokens,
        )
        prefill_s = self.rates.prefill_s(
            name, msg.prompt_tokens - cached_tokens
        )
        transfer_s = self.rates.transfer_s(name, msg.prompt_tokens)
        ready_at = max(now, prefill.prefills_end_at) + ahead_s + prefill_s
        transfer_at = max(ready_at, slot_at, prefill.link_free_at)
        return Plan(
            prefill,
            decode,
            start_at=transfer_at - prefill_s,
            transfer_at=transfer_at,
            decode_at=transfer_at + transfer_s,
            work_s=prefill_s + transfer_s,
        )

    def usable_workers(
        self, now: float, role: values.Role
    ) -> list[workers.Worker]:
        """Returns the workers of a role that may get new work.

        If all live workers are suspended, all count as usable: a failure of
        all of them more likely has a common cause, and a refusal because no
        backend server is listed would be wrong.
        """
        live = [
            worker
            for worker in self.workers_by_name.values()
            if worker.server.role == role and worker.is_live()
        ]
        return [worker for worker in live if worker.is_usable(now)] or live

    def slot_workers(self, now: float) -> list[workers.Worker]:
        """Returns the usable workers whose slots are granted."""
        plain = self.service.kind == 'plain'
        return self.usable_workers(now, 'plain' if plain else 'decode')

    def slot_limit(self, worker: workers.Worker) -> int:
        """Returns the most slots that meet the target between tokens."""
        target_s = self.service.between_tokens_ms / 1000
        return self.rates.token_time.largest_batch(
            worker.server.slots, target_s
        )

    def worker_with_free_slot(self, now: float) -> workers.Worker | None:
        """Returns a worker with a free slot, or None."""
        worker = min(
            self.slot_workers(now),
            key=lambda w: (
                self.grants.slots_in_use(w.server.name, now)
                / self.slot_limit(w)
            ),
            default=None,
        )
        if worker is None:
            return None
        occupied = self.grants.slots_in_use(worker.server.name, now)
        return worker if occupied < self.slot_limit(worker) else None

    def _plan_transfer(
        self,
        now: float,
        msg: messages.SlotRequest,
        decode: workers.Worker,
        slot_at: float,
    ) -> Plan:
        """Plans link time and a slot for a prefill that is done."""
        source = self.workers_by_name.get(msg.prefilled_at)
        link_at = source.link_free_at if source else now
        transfer_at = max(now, slot_at, link_at)
        duration_s = self.rates.transfer_s(msg.prefilled_at, msg.prompt_tokens)
        return Plan(
            None,
            decode,
            start_at=transfer_at,
            transfer_at=transfer_at,
            decode_at=transfer_at + duration_s,
            work_s=duration_s,
        )

    def _earliest_slot(
        self, now: float, ahead_count: int, avoid: str
    ) -> tuple[workers.Worker, float] | None:
        """Returns the worker with the earliest slot, and the slot's time."""
        usable = self.slot_workers(now)
        usable = [w for w in usable if w.server.name != avoid] or usable
        if not usable:
            return None
        worker = min(
            usable, key=lambda w: self._slots_used(now, w) / self.slot_limit(w)
        )
        limit = self.slot_limit(worker)
        missing_slots = (
            self._slots_used(now, worker)
            + ahead_count / len(usable)
            + 1
            - limit
        )
        if missing_slots <= 0:
            return worker, now
        # A full worker frees one slot per decode time / limit on average.
        wait_s = missing_slots * self.rates.decode_time.value / limit
        return worker, now + self._wait_factor() * wait_s

    def _wait_factor(self) -> float:
        """Returns the factor by which expected waits for slots are multiplied.

        Low factors keep every slot busy, but some prefill results are evicted.
        High factors leave some slots idle, but waste no prefill.
        """
        total = self.weights.goodput + self.weights.wasted_prefill
        if total <= 0:
            return _MIN_WAIT_FACTOR
        share = self.weights.wasted_prefill / total
        return _MIN_WAIT_FACTOR + (_MAX_WAIT_FACTOR - _MIN_WAIT_FACTOR) * share

    def _slots_used(self, now: float, worker: workers.Worker) -> int:
        """Returns the slots in use, by the ledger or by the load report."""
        granted_slots = self.grants.granted_slots(worker.server.name)
        rebuilding = (
            self.first_worker_at is not None
            and now < self.first_worker_at + _REBUILD_S
        )
        if rebuilding and worker.load is not None:
            return max(granted_slots, worker.load.running)
        return granted_slots
