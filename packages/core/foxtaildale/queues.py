"""Who waits for a placement at a service's engines, and in which order.

The queue is made for bursts in which requests need more than the engines have.
A request that can still meet its target is served before one that can't: in
order of arrival, an overload of some seconds would make every request late. A
refused request that is retried counts from its first attempt. Its target is
already missed, so it delays no other request, and it comes first among the late
requests. A broken stream goes before all others, whether this side or its caller
resumes it: its caller has a part of the response, the rest is shorter than a new
response, and the caller hardly notices the pause if the stream resumes at once.

The time is an argument.
"""

from typing import Final

from foxtaildale import first_attempts
from foxtaildale import messages
from foxtaildale import plan_entries
from foxtaildale import wait_limits

# A waiter that has not polled for this long is removed, seconds: twice the
# longest poll interval.
WAITER_TTL_S: Final = 0.5
# Shortest time between two attempts of one request, seconds. A smaller
# difference is one attempt as seen by the clocks of two VMs.
MIN_RETRY_INTERVAL_S: Final = 0.05
# Poll interval of a waiter, milliseconds: of the first waiter, the increment
# for each waiter before it, and the maximum.
BASE_POLL_MS: Final = 40
POLL_INCREMENT_MS: Final = 12
MAX_POLL_MS: Final = 250
# Longest time between two placements that enters the average, seconds; a longer
# one means that no request was waiting.
MAX_GRANT_INTERVAL_S: Final = 1.0
# Weight of a new measurement in the moving average.
_NEW_WEIGHT: Final = 0.1


class Queue:
    """The waiters of one service."""

    __slots__ = (
        '_first_attempts',
        '_last_granted_at',
        '_mean_interval_s',
        '_waiters',
    )

    def __init__(self) -> None:
        # By request.
        self._waiters: dict[str, plan_entries.Waiter] = {}
        self._first_attempts = first_attempts.FirstAttempts()
        # Smoothed time between placements, and when the last one was granted,
        # seconds.
        self._mean_interval_s = 0.0
        self._last_granted_at = 0.0

    def __len__(self) -> int:
        return len(self._waiters)

    def get(self, request: str) -> plan_entries.Waiter | None:
        """Returns a waiter; None if it is not known."""
        return self._waiters.get(request)

    def join(
        self, now: float, msg: messages.PlacementRequest
    ) -> plan_entries.Waiter:
        """Adds a request behind those that go before it."""
        arrived_at = now - msg.waited_ms / 1000
        first_at = self._first_attempts.first_arrived_at(
            now, msg.request_digest, arrived_at
        )
        is_retry = first_at < arrived_at - MIN_RETRY_INTERVAL_S
        waiter = plan_entries.Waiter(msg, first_at, is_retry=is_retry)
        waiter.position = (
            self._resumed_count() if _has_part(msg) else self.unplaced_count()
        )
        self._waiters[msg.request] = waiter
        return waiter

    def leave(self, request: str) -> None:
        """Removes a waiter; does nothing if it is not known."""
        self._waiters.pop(request, None)

    def record_served(self, digest: int) -> None:
        """Records that a request got its complete response."""
        self._first_attempts.remove(digest)

    def unplaced_count(self) -> int:
        """Returns how many requests wait for a placement.

        Waiters that have one and have not polled for it yet are not counted.
        The poll interval grows with the number of waiters ahead. If placed
        waiters counted, a burst that is over would go on delaying every new
        request, since there are always some that have just been placed.
        """
        return sum(
            waiter.placement is None for waiter in self._waiters.values()
        )

    def _resumed_count(self) -> int:
        return sum(
            waiter.placement is None and _has_part(waiter.msg)
            for waiter in self._waiters.values()
        )

    def ranked(
        self, now: float, mean_prefill_s: float
    ) -> list[plan_entries.Waiter]:
        """Returns the waiters without a placement, the next one first.

        Args:
            now: Seconds.
            mean_prefill_s: Mean time from a placement to the end of its
                prefill, seconds.
        """
        waiters = [w for w in self._waiters.values() if w.placement is None]
        waiters.sort(key=lambda waiter: _rank(now, waiter, mean_prefill_s))
        return waiters

    def record_grant(self, now: float) -> None:
        """Records a granted placement, to learn the rate of placements."""
        interval_s = min(now - self._last_granted_at, MAX_GRANT_INTERVAL_S)
        self._last_granted_at = now
        self._mean_interval_s += _NEW_WEIGHT * (
            interval_s - self._mean_interval_s
        )

    def reply_for(self, waiter: plan_entries.Waiter) -> messages.Queued:
        """Returns the reply to a request that has to wait."""
        poll_ms = BASE_POLL_MS + POLL_INCREMENT_MS * waiter.position
        return messages.Queued(
            retry_in_ms=min(poll_ms, MAX_POLL_MS),
            position=waiter.position,
            wait_ms=int(waiter.position * self._mean_interval_s * 1000),
            is_retry=waiter.is_retry,
            missing_resource=waiter.missing_resource,
        )

    def expire(self, now: float) -> list[plan_entries.Waiter]:
        """Removes and returns the waiters that stopped polling."""
        expired = [
            waiter
            for waiter in self._waiters.values()
            if now - waiter.polled_at > WAITER_TTL_S
        ]
        for waiter in expired:
            del self._waiters[waiter.msg.request]
        return expired


def _rank(
    now: float, waiter: plan_entries.Waiter, prefill_s: float
) -> tuple[bool, bool, int, float, str]:
    msg = waiter.msg
    age_s = now - waiter.arrived_at
    is_late = wait_limits.misses_target(age_s, msg.target_ms / 1000, prefill_s)
    tie_break = msg.priority, waiter.arrived_at, msg.request
    return not _has_part(msg), is_late, *tie_break


def _has_part(msg: messages.PlacementRequest) -> bool:
    """Whether the caller already has a part of the response."""
    return msg.response_started or msg.resumed
