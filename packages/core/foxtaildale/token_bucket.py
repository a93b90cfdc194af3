"""A token bucket: the units that one client account may still use.

This limits an account that sends many times its usual load. Its units are
replenished at the account's rate up to its burst. A request spends its cost, or
is refused with the time until there are enough units for it. Over any time no
more is admitted than the rate and one burst allow, with two exceptions: what
another VM admitted and reported later, and a request that costs more than the
whole burst. These take the level below zero, and nothing is admitted until the
deficit is replenished.

Where requests differ in size, the level is soon enough for a small one and
seldom enough for a large one. An account over its limit would then have none of
its large requests served. Therefore a request may not overtake a larger one
that was refused a moment before, unless it is so small that it hardly delays
the larger one.

Requests that are refused together with the same wait would retry together, and
only one of them would find enough units. So each is given a wait that lies
behind the waits of those refused before it.
"""

from typing import Final

from foxtaildale import accounts

# Minimum capacity of a bucket, as seconds of its rate: a limit without a burst
# must admit requests that arrive unevenly within a fraction of a second.
MIN_CAPACITY_S: Final = 0.25
# Time for which smaller requests leave units for a larger one that was refused,
# seconds.
HEADROOM_S: Final = 2.0
# Fraction of the larger request's cost up to which a request may overtake it.
SMALL_FRACTION: Final = 0.125
# Maximum time that requests which were refused earlier add to the wait of a
# later one, seconds. Not all of them retry, and callers ignore longer waits.
MAX_DEFERRED_S: Final = 3.0


class Bucket:
    """The bucket of one account; the time is an argument."""

    __slots__ = (
        '_at',
        '_deferred',
        '_deferred_at',
        '_headroom',
        '_headroom_until',
        '_level',
        'limit',
    )

    def __init__(self, limit: accounts.Limit, now: float, level: float) -> None:
        self.limit = limit
        self._at = now
        # The level as of `_at`, units.
        self._level = min(level, self.capacity)
        # Units that are left for a larger request that was refused, and until
        # when, seconds.
        self._headroom = 0.0
        self._headroom_until = now
        # Units of the refused requests that are expected to retry, and the time
        # up to which they are counted, seconds. They decrease at the rate.
        self._deferred = 0.0
        self._deferred_at = now

    @property
    def capacity(self) -> float:
        """Returns the capacity, units."""
        return max(self.limit.burst, MIN_CAPACITY_S * self.limit.rate)

    def level(self, now: float) -> float:
        """Returns the units that are left."""
        gained = self.limit.rate * max(0.0, now - self._at)
        return min(self.capacity, self._level + gained)

    def try_spend(self, now: float, cost: float) -> float:
        """Spends the cost of a request, if there are enough units.

        Returns:
            0 if it was spent; else how long until there are enough, seconds.
        """
        if now >= self._headroom_until:
            self._headroom = 0.0
        bounded_cost = min(cost, self.capacity)
        must_wait = bounded_cost > SMALL_FRACTION * self._headroom
        needed = (
            max(bounded_cost, self._headroom) if must_wait else bounded_cost
        )
        level = self.level(now)
        if level < needed:
            if bounded_cost >= self._headroom:
                self._headroom = bounded_cost
                self._headroom_until = now + HEADROOM_S
            return (
                needed - level + self._defer(now, bounded_cost)
            ) / self.limit.rate
        self._set(now, level - cost)
        return 0.0

    def spend(self, now: float, cost: float) -> None:
        """Spends units admitted elsewhere; the level may go below 0."""
        self._set(now, self.level(now) - cost)

    def refund(self, now: float, cost: float) -> None:
        """Refunds the cost of a request that did not run."""
        self._set(now, self.level(now) + cost)

    def set_limit(self, now: float, limit: accounts.Limit) -> None:
        """Applies a changed limit; added capacity is available at once."""
        level, capacity = self.level(now), self.capacity
        self.limit = limit
        self._set(now, level + max(0.0, self.capacity - capacity))

    def _defer(self, now: float, cost: float) -> float:
        """Places a refused request behind those that were refused before it.

        Returns:
            Units that the earlier requests are expected to spend first.
        """
        rate = self.limit.rate
        replenished = rate * (now - self._deferred_at)
        before = max(0.0, self._deferred - replenished)
        self._deferred = min(before + cost, MAX_DEFERRED_S * rate)
        self._deferred_at = now
        return before

    def _set(self, now: float, level: float) -> None:
        self._at = max(now, self._at)
        self._level = min(self.capacity, level)
