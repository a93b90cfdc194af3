"""What each client account has used, as its home knows it.

Load answered: an account that sends many times its usual, over all entry VMs at
once. One VM, the home of the account, lets its requests in or says how long
until it would; so what is refused lies beyond the limit, and nothing below it is.

A home that takes over does not know what was let in before it. A full burst
from each would pass the limit where homes move often, as when VMs are replaced
one after the other or all lose power. So homes tell each other what they let in,
and what a home was told nothing of it begins with a part of what may pass in
error only.
"""

import msgspec

from foxtaildale import accounts
from foxtaildale import bucket

# Times in one window that a home may move and begin anew, none being told.
MOVES = 4.0


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """How far the use of an account may be above its limit."""

    # Length of the span in which it is counted, seconds.
    window_s: float = 8.0
    # Part of the limit, and units.
    overage: float = 0.0
    slack: float = 0.0

    def units(self, limit: accounts.Limit) -> float:
        """Returns what may pass above a limit in one window, units."""
        allowed = limit.rate * self.window_s + limit.burst
        return self.overage * allowed + self.slack


class Answer(msgspec.Struct, frozen=True):
    """What a home says of one request."""

    # 0 if it is let in; else how long until it would be, seconds.
    wait_s: float
    # What is left then, units.
    level: float


class Allowances:
    """The accounts that this entry VM counts; the time is an argument."""

    __slots__ = ('_buckets', '_full_from', '_let_in', '_tolerance')

    def __init__(
        self, tolerance: Tolerance, now: float, *, first_start: bool
    ) -> None:
        """Begins to count.

        Args:
            tolerance: How far a limit may be passed.
            now: Seconds.
            first_start: Whether nothing can have been used before.
        """
        self._tolerance = tolerance
        # Since when nothing is known of what others let in; None if that is
        # nothing.
        self._full_from = None if first_start else now
        self._buckets: dict[str, bucket.Bucket] = {}
        # What was let in here and not told yet, by account.
        self._let_in: dict[str, float] = {}

    def ask(self, now: float, account: accounts.Account, cost: float) -> Answer:
        """Lets a request in, or says when it would be."""
        found = self._bucket(now, account)
        wait_s = found.take(now, cost)
        if not wait_s:
            self._note(account.name, cost)
        return Answer(wait_s, found.level(now))

    def give_back(
        self, now: float, account: accounts.Account, cost: float
    ) -> None:
        """Takes back what a request counted as that did not run."""
        self._bucket(now, account).give_back(now, cost)
        self._note(account.name, -cost)

    def told(self, now: float, account: accounts.Account, cost: float) -> None:
        """Takes what another home let in."""
        self._bucket(now, account).spend(now, cost)

    def news(self) -> dict[str, float]:
        """Returns what was let in since the last call, by account."""
        found, self._let_in = self._let_in, {}
        return found

    def levels(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the accounts that are counted, for a person to read."""
        return {
            name: {
                'level': round(found.level(now)),
                'rate': found.limit.rate,
                'burst': found.limit.burst,
            }
            for name, found in sorted(self._buckets.items())
        }

    def keep(self, names: frozenset[str]) -> None:
        """Forgets the accounts that are not among some."""
        for name in [name for name in self._buckets if name not in names]:
            del self._buckets[name]

    def _note(self, name: str, cost: float) -> None:
        self._let_in[name] = self._let_in.get(name, 0.0) + cost

    def _bucket(self, now: float, account: accounts.Account) -> bucket.Bucket:
        found = self._buckets.get(account.name)
        if found is None:
            level = self._first_level(now, account.limit)
            found = bucket.Bucket(account.limit, now, level)
            self._buckets[account.name] = found
        elif found.limit != account.limit:
            found.on_limit(now, account.limit)
        return found

    def _first_level(self, now: float, limit: accounts.Limit) -> float:
        if self._full_from is None:
            return limit.burst
        known = self._tolerance.units(limit) / MOVES
        return known + limit.rate * (now - self._full_from)
