"""Decides whether a planned request is granted, queued or refused."""

from typing import Final

from foxtaildale import codes
from foxtaildale import grant_queue
from foxtaildale import messages
from foxtaildale import planning
from foxtaildale import values

# Prefills are booked at most this far ahead, seconds. With a longer horizon the
# estimated slot time is less accurate than that of a later request; with a
# shorter one a prefill worker is idle until a queued request polls again.
BOOKING_HORIZON_S: Final = 0.6
# Shortest and longest time until a queued request polls again, seconds.
_MIN_POLL_S: Final = 0.02
_MAX_POLL_S: Final = 1.0
# Share of the target's slack (the target minus the request's own prefill and
# transfer) that a new request may wait. With a share of 1, all responses of an
# overloaded pool would come close to the target and half of them after it; a
# shorter queue keeps the workers equally busy.
_ADMIT_SHARE: Final = 0.45
# Longest time after which a refused caller is asked to retry, seconds.
_MAX_RETRY_S: Final = 30.0


class Admission:
    """Decides on plans; holds the queue and spreads out the retries."""

    __slots__ = ('_last_retry_at', '_planner', 'queue')

    _planner: planning.Planner
    queue: grant_queue.GrantQueue
    # Retry time of the last refused caller, seconds.
    _last_retry_at: float

    def __init__(self, planner: planning.Planner) -> None:
        self._planner = planner
        self.queue = grant_queue.GrantQueue()
        self._last_retry_at = 0.0

    def decide(
        self, now: float, msg: messages.SlotRequest, plan: planning.Plan
    ) -> messages.Queued | messages.Refused | None:
        """Returns the reply to a request, or None if it is to be granted."""
        token_s = self._planner.rates.token_time.at(
            self._planner.slot_limit(plan.decode)
        )
        estimate_ms = msg.waited_ms + 1000 * (plan.decode_at - now + token_s)
        work_ms = 1000 * (plan.work_s + token_s)
        refusal = self._refuse_late(now, msg, estimate_ms, work_ms)
        if refusal is not None:
            return refusal
        wait_s = plan.start_at - now
        if wait_s <= BOOKING_HORIZON_S:
            self.queue.remove(msg.request)
            return None
        return self._refuse_wait(now, msg, wait_s) or self._queue(
            now, msg, wait_s
        )

    def _refuse_late(
        self,
        now: float,
        msg: messages.SlotRequest,
        estimate_ms: float,
        work_ms: float,
    ) -> messages.Refused | None:
        """Refuses a request whose response is estimated to come too late."""
        service = self._planner.service
        is_waiting = msg.request in self.queue
        target_ms = service.first_answer_ms
        share = 1.0 if is_waiting else _ADMIT_SHARE
        bound_ms = work_ms + share * max(0, target_ms - work_ms)
        if target_ms and estimate_ms > min(bound_ms, target_ms):
            return self._refuse(
                now,
                msg,
                codes.NO_CAPACITY,
                (estimate_ms - target_ms) / 1000,
                estimate_ms=round(estimate_ms),
                target_ms=target_ms,
            )
        patience_ms = service.patience_ms
        bounded = patience_ms and not target_ms and not is_waiting
        if bounded and estimate_ms > patience_ms:
            return self._refuse(
                now,
                msg,
                codes.LONG_WAIT,
                (estimate_ms - patience_ms) / 1000,
                estimate_ms=round(estimate_ms),
                patience_ms=patience_ms,
            )
        return None

    def _refuse_wait(
        self, now: float, msg: messages.SlotRequest, wait_s: float
    ) -> messages.Refused | None:
        """Refuses a request that may not wait, or may not wait any longer."""
        patience_ms = self._planner.service.patience_ms
        if patience_ms and msg.waited_ms >= patience_ms:
            return self._refuse(
                now, msg, codes.PATIENCE_OVER, wait_s, patience_ms=patience_ms
            )
        limit = self._planner.service.queue_limit
        if msg.request not in self.queue and len(self.queue) >= limit:
            return self._refuse(
                now,
                msg,
                codes.QUEUE_FULL,
                wait_s,
                queued=len(self.queue),
                limit=limit,
            )
        return None

    def _queue(
        self, now: float, msg: messages.SlotRequest, wait_s: float
    ) -> messages.Queued:
        # A third of a long wait, since requests ahead may leave the queue. The
        # request keeps its position.
        poll_s = max(_MIN_POLL_S, wait_s - BOOKING_HORIZON_S / 2)
        poll_s = min(poll_s, max(_MAX_POLL_S, wait_s / 3))
        arrived_at = now - msg.waited_ms / 1000
        self.queue.put(msg.request, arrived_at, now + poll_s, msg.prompt_tokens)
        position, _ = self.queue.count_ahead(msg.request, arrived_at)
        return messages.Queued(
            retry_in_ms=max(1, round(poll_s * 1000)), position=position
        )

    def _refuse(
        self,
        now: float,
        msg: messages.SlotRequest,
        code: codes.Code,
        excess_s: float,
        **figures: float,
    ) -> messages.Refused:
        """Refuses a request.

        Callers with the same retry time would all retry together and be
        refused together. Each gets a later time, at the rate at which slots
        become free.
        """
        self.queue.remove(msg.request)
        usable = self._planner.slot_workers(now)
        slots = sum(self._planner.slot_limit(w) for w in usable)
        slot_interval_s = self._planner.rates.decode_time.value / max(1, slots)
        earliest = now + max(excess_s, slot_interval_s)
        self._last_retry_at = max(
            self._last_retry_at + slot_interval_s, earliest
        )
        self._last_retry_at = min(self._last_retry_at, now + _MAX_RETRY_S)
        return messages.Refused(
            code=code.name,
            figures=tuple(
                values.Figure(name, value) for name, value in figures.items()
            ),
            retry_after_ms=max(1, round((self._last_retry_at - now) * 1000)),
        )
