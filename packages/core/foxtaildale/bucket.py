"""A token bucket: what one client account may still ask for.

Load answered: an account that sends many times its usual. What it may have
comes back at its rate up to its burst; a request takes what it counts as, or
learns how long until there is enough for it. Over any time no more passes than
the rate and one burst, save what was let in elsewhere and told later, and a
request that counts as more than the whole burst: the level goes below zero by
those, and nothing passes until that is paid back.

Where requests differ in size, what is left is soon enough for a smaller one and
seldom for a large one, so an account that is over its limit would have none of
its large ones served. One therefore passes no larger one that was turned away a
moment before, unless it is so small that the other hardly waits for it.

Those that are turned away together and told the same time come back together,
and one of them finds enough. So each is told a time behind those before it.
"""

from typing import Final

from foxtaildale import accounts

# Least that a bucket holds, as seconds of its rate: a limit without a burst
# must let requests in that come unevenly within a part of a second.
LEAST_S: Final = 0.25
# How long smaller requests leave room for one that was turned away, seconds.
ROOM_S: Final = 2.0
# Part of a larger one's cost up to which a request passes it.
SMALL_PART: Final = 0.125
# Longest time by which those that were told to come back put others off,
# seconds. Not all of them do, and callers heed no longer times.
PROMISED_S: Final = 3.0


class Bucket:
    """One account's; the time is an argument."""

    __slots__ = (
        '_at',
        '_level',
        '_promised',
        '_promised_at',
        '_room',
        '_room_until',
        'limit',
    )

    def __init__(self, limit: accounts.Limit, now: float, level: float) -> None:
        self.limit = limit
        self._at = now
        # As of `_at`, units.
        self._level = min(level, self.most)
        # What is left for a larger request that was turned away, and until
        # when, seconds.
        self._room = 0.0
        self._room_until = now
        # What was turned away and told to come back, as of a time; it is worked
        # off at the rate.
        self._promised = 0.0
        self._promised_at = now

    @property
    def most(self) -> float:
        """Returns what it holds when it is full, units."""
        return max(self.limit.burst, LEAST_S * self.limit.rate)

    def level(self, now: float) -> float:
        """Returns what is left, units."""
        gained = self.limit.rate * max(0.0, now - self._at)
        return min(self.most, self._level + gained)

    def take(self, now: float, cost: float) -> float:
        """Takes what a request counts as, if there is enough.

        Returns:
            0 if it was taken; else how long until there is enough, seconds.
        """
        if now >= self._room_until:
            self._room = 0.0
        own = min(cost, self.most)
        waits = own > SMALL_PART * self._room
        needed = max(own, self._room) if waits else own
        level = self.level(now)
        if level < needed:
            if own >= self._room:
                self._room = own
                self._room_until = now + ROOM_S
            return (needed - level + self._promise(now, own)) / self.limit.rate
        self._set(now, level - cost)
        return 0.0

    def spend(self, now: float, cost: float) -> None:
        """Takes what was let in without asking here."""
        self._set(now, self.level(now) - cost)

    def give_back(self, now: float, cost: float) -> None:
        """Takes back what a request counted as that did not run."""
        self._set(now, self.level(now) + cost)

    def on_limit(self, now: float, limit: accounts.Limit) -> None:
        """Takes a changed limit; one that was raised helps at once."""
        level, most = self.level(now), self.most
        self.limit = limit
        self._set(now, level + max(0.0, self.most - most))

    def _promise(self, now: float, cost: float) -> float:
        """Puts a request behind those that were turned away before it.

        Returns:
            What those are to take first, units.
        """
        rate = self.limit.rate
        worked_off = rate * (now - self._promised_at)
        before = max(0.0, self._promised - worked_off)
        self._promised = min(before + cost, PROMISED_S * rate)
        self._promised_at = now
        return before

    def _set(self, now: float, level: float) -> None:
        self._at = max(now, self._at)
        self._level = min(self.most, level)
