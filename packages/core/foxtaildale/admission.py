"""Whether a planned request is granted now, waits, or is refused at once."""

from typing import Final

from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import planning
from foxtaildale import values
from foxtaildale import waiting

# Prefills are booked at most this far ahead, seconds. Farther, the estimate of
# the slot is worth less than asking again; nearer, a prefill worker stands
# idle until a waiting request asks.
HORIZON_S: Final = 0.6
# Shortest and longest time until a queued request asks again, seconds.
_AGAIN_S: Final = 0.02
_AGAIN_MOST_S: Final = 1.0
# Share of the target's spare time (what the request's own prefill and transfer
# leave of it) that a new request may wait. With all of it every answer of an
# overloaded pool would come at the edge of the target, and half of them behind
# it; a shorter queue keeps the workers as busy.
_ADMIT_SHARE: Final = 0.45
# Longest time that a refusal tells a caller to stay away, seconds.
_RETRY_MOST_S: Final = 30.0


class Admission:
    """Decides over plans; keeps the queue and the order of coming back."""

    __slots__ = ('_planner', '_retry_at', 'waiting')

    _planner: planning.Planner
    waiting: waiting.Waiting
    # When the next refused caller is told to come back.
    _retry_at: float

    def __init__(self, planner: planning.Planner) -> None:
        self._planner = planner
        self.waiting = waiting.Waiting()
        self._retry_at = 0.0

    def decide(
        self, now: float, msg: messages.AskSlot, plan: planning.Plan
    ) -> messages.Queued | messages.Refused | None:
        """Returns the answer to an ask, or None where it is to be granted."""
        token_s = self._planner.rates.token.at(self._planner.limit(plan.decode))
        estimate_ms = msg.waited_ms + 1000 * (plan.decode_at - now + token_s)
        own_ms = 1000 * (plan.own_s + token_s)
        refused = self._hopeless(now, msg, estimate_ms, own_ms)
        if refused is not None:
            return refused
        wait_s = plan.start_at - now
        if wait_s <= HORIZON_S:
            self.waiting.drop(msg.request)
            return None
        return self._full(now, msg, wait_s) or self._queue(now, msg, wait_s)

    def _hopeless(
        self,
        now: float,
        msg: messages.AskSlot,
        estimate_ms: float,
        own_ms: float,
    ) -> messages.Refused | None:
        """Refuses what the estimate says would come too late."""
        service = self._planner.service
        waits = msg.request in self.waiting
        target_ms = service.first_answer_ms
        share = 1.0 if waits else _ADMIT_SHARE
        bound_ms = own_ms + share * max(0, target_ms - own_ms)
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
        bounded = patience_ms and not target_ms and not waits
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

    def _full(
        self, now: float, msg: messages.AskSlot, wait_s: float
    ) -> messages.Refused | None:
        """Refuses what may not wait, or not any longer."""
        patience_ms = self._planner.service.patience_ms
        if patience_ms and msg.waited_ms >= patience_ms:
            return self._refuse(
                now, msg, codes.PATIENCE_OVER, wait_s, patience_ms=patience_ms
            )
        limit = self._planner.service.queue_limit
        if msg.request not in self.waiting and len(self.waiting) >= limit:
            return self._refuse(
                now,
                msg,
                codes.QUEUE_FULL,
                wait_s,
                queued=len(self.waiting),
                limit=limit,
            )
        return None

    def _queue(
        self, now: float, msg: messages.AskSlot, wait_s: float
    ) -> messages.Queued:
        # A third of a long wait: those ahead may leave, and the rank is kept.
        again_s = max(_AGAIN_S, wait_s - HORIZON_S / 2)
        again_s = min(again_s, max(_AGAIN_MOST_S, wait_s / 3))
        arrived_at = now - msg.waited_ms / 1000
        self.waiting.put(
            msg.request, arrived_at, now + again_s, msg.prompt_tokens
        )
        position, _ = self.waiting.ahead(msg.request, arrived_at)
        return messages.Queued(
            again_in_ms=max(1, round(again_s * 1000)), position=position
        )

    def _refuse(
        self,
        now: float,
        msg: messages.AskSlot,
        code: codes.Code,
        over_s: float,
        **figures: float,
    ) -> messages.Refused:
        """Refuses at once.

        Callers told the same time would all come back together and be refused
        together. Each is told a later one, as slots come free.
        """
        self.waiting.drop(msg.request)
        usable = self._planner.slot_workers(now)
        slots = sum(self._planner.limit(w) for w in usable)
        every_s = self._planner.rates.decode.value / max(1, slots)
        earliest = now + max(over_s, every_s)
        self._retry_at = max(self._retry_at + every_s, earliest)
        self._retry_at = min(self._retry_at, now + _RETRY_MOST_S)
        return messages.Refused(
            code=code.name,
            figures=tuple(
                values.Figure(name, value) for name, value in figures.items()
            ),
            retry_after_ms=max(1, round((self._retry_at - now) * 1000)),
        )
