"""An entry VM's own part of what each client account may use.

Load answered: a VM that can ask no other one what an account has used. It lets
in its part of the rate, by the number of entry VMs. A part is less than what one
request may count as, so the first one is let in and paid back at the part's
rate; the sum over all VMs then passes the limit by one request each at most.
"""

from foxtaildale import accounts
from foxtaildale import allowances
from foxtaildale import bucket


class Shares:
    """Parts of one entry VM; the time is an argument."""

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        self._buckets: dict[str, bucket.Bucket] = {}

    def ask(
        self, now: float, account: accounts.Account, cost: float, entry_vms: int
    ) -> allowances.Answer:
        """Lets a request in, or says when it would be.

        Args:
            now: Seconds.
            account: Whose request it is.
            cost: What it counts as, units.
            entry_vms: How many VMs share the limit.
        """
        found = self._bucket(now, account, entry_vms)
        wait_s = found.take(now, cost)
        return allowances.Answer(wait_s, found.level(now))

    def give_back(self, now: float, name: str, cost: float) -> None:
        """Takes back what a request counted as that did not run."""
        found = self._buckets.get(name)
        if found is not None:
            found.give_back(now, cost)

    def _bucket(
        self, now: float, account: accounts.Account, entry_vms: int
    ) -> bucket.Bucket:
        whole = account.limit
        limit = accounts.Limit(
            unit=whole.unit,
            rate=whole.rate / entry_vms,
            burst=whole.burst / entry_vms,
        )
        found = self._buckets.get(account.name)
        if found is None:
            found = bucket.Bucket(limit, now, limit.burst)
            self._buckets[account.name] = found
        elif found.limit != limit:
            found.on_limit(now, limit)
        return found
