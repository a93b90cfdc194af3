"""Usage of each client account, as counted by its coordinator.

This limits an account that sends many times its usual load, over all entry VMs
at once. One VM, the coordinator of the account, admits its requests or returns
how long until it would admit them. So only requests beyond the limit are
refused, and none below it.

A new coordinator does not know what was admitted before it took over. If each
new one began with a full burst, the account would exceed its limit where
coordinators change often, for example when VMs are replaced one after the other
or all lose power. So coordinators notify each other of what they admit. A
coordinator that may have missed such updates begins with only a part of what
may exceed the limit.
"""

import msgspec

from foxtaildale import accounts
from foxtaildale import token_bucket

# Number of changes of the coordinator in one window that the tolerance covers,
# if no new coordinator was notified of earlier usage.
MAX_COORDINATOR_CHANGES = 4.0


class Tolerance(msgspec.Struct, frozen=True, kw_only=True):
    """How far the usage of an account may exceed its limit."""

    # Length of the window in which usage is counted, seconds.
    window_s: float = 8.0
    # Permitted excess: a fraction of the limit, and a fixed number of units.
    overage: float = 0.0
    slack: float = 0.0

    def allowed_excess(self, limit: accounts.Limit) -> float:
        """Returns the permitted excess over a limit in one window, units."""
        allowed = limit.rate * self.window_s + limit.burst
        return self.overage * allowed + self.slack


class Decision(msgspec.Struct, frozen=True):
    """The decision of a coordinator on one request."""

    # 0 if the request is admitted; else how long until it would be, seconds.
    wait_s: float
    # Units left after the decision.
    level: float


class Allowances:
    """Usage of the accounts that this VM counts; the time is an argument."""

    __slots__ = ('_admitted', '_buckets', '_known_since', '_tolerance')

    def __init__(
        self, tolerance: Tolerance, now: float, *, first_start: bool
    ) -> None:
        """Begins to count usage.

        Args:
            tolerance: How far usage may exceed a limit.
            now: Seconds.
            first_start: Whether no usage is possible before `now`.
        """
        self._tolerance = tolerance
        # The time from which usage is known, seconds: what others admitted
        # before is unknown. None if others admitted nothing before.
        self._known_since = None if first_start else now
        self._buckets: dict[str, token_bucket.Bucket] = {}
        # Units admitted here and not yet announced, by account.
        self._admitted: dict[str, float] = {}

    def admit(
        self, now: float, account: accounts.Account, cost: float
    ) -> Decision:
        """Admits a request, or returns how long until it would be admitted."""
        account_bucket = self._bucket(now, account)
        wait_s = account_bucket.try_spend(now, cost)
        if not wait_s:
            self._count(account.name, cost)
        return Decision(wait_s, account_bucket.level(now))

    def refund(
        self, now: float, account: accounts.Account, cost: float
    ) -> None:
        """Refunds the cost of a request that did not run."""
        self._bucket(now, account).refund(now, cost)
        self._count(account.name, -cost)

    def count_remote(
        self, now: float, account: accounts.Account, cost: float
    ) -> None:
        """Counts units that another coordinator admitted."""
        self._bucket(now, account).spend(now, cost)

    def drain_admitted(self) -> dict[str, float]:
        """Returns the units admitted since the last call, by account."""
        admitted, self._admitted = self._admitted, {}
        return admitted

    def levels(self, now: float) -> dict[str, dict[str, float]]:
        """Returns the state of each counted account, for diagnostics."""
        return {
            name: {
                'level': round(account_bucket.level(now)),
                'rate': account_bucket.limit.rate,
                'burst': account_bucket.limit.burst,
            }
            for name, account_bucket in sorted(self._buckets.items())
        }

    def retain(self, names: frozenset[str]) -> None:
        """Removes all accounts whose names are not given."""
        for name in [name for name in self._buckets if name not in names]:
            del self._buckets[name]

    def _count(self, name: str, cost: float) -> None:
        self._admitted[name] = self._admitted.get(name, 0.0) + cost

    def _bucket(
        self, now: float, account: accounts.Account
    ) -> token_bucket.Bucket:
        account_bucket = self._buckets.get(account.name)
        if account_bucket is None:
            level = self._initial_level(now, account.limit)
            account_bucket = token_bucket.Bucket(account.limit, now, level)
            self._buckets[account.name] = account_bucket
        elif account_bucket.limit != account.limit:
            account_bucket.set_limit(now, account.limit)
        return account_bucket

    def _initial_level(self, now: float, limit: accounts.Limit) -> float:
        if self._known_since is None:
            return limit.burst
        permitted = (
            self._tolerance.allowed_excess(limit) / MAX_COORDINATOR_CHANGES
        )
        return permitted + limit.rate * (now - self._known_since)
