"""An entry VM's share of the limit of each client account.

This serves a VM that can reach no other VM to learn what an account has used.
It admits requests within its share of the rate, which depends on the number of
entry VMs. A share may be smaller than the cost of one request, so the first
request is admitted and its deficit is replenished at the share's rate. The sum
over all VMs then exceeds the limit by at most one request for each VM.
"""

from foxtaildale import accounts
from foxtaildale import allowances
from foxtaildale import token_bucket


class Shares:
    """Shares of one entry VM; the time is an argument."""

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        self._buckets: dict[str, token_bucket.Bucket] = {}

    def admit(
        self, now: float, account: accounts.Account, cost: float, entry_vms: int
    ) -> allowances.Decision:
        """Admits a request, or returns how long until it would be admitted.

        Args:
            now: Seconds.
            account: The account of the request.
            cost: Cost of the request, units.
            entry_vms: How many VMs share the limit.
        """
        share = self._bucket(now, account, entry_vms)
        wait_s = share.try_spend(now, cost)
        return allowances.Decision(wait_s, share.level(now))

    def refund(self, now: float, name: str, cost: float) -> None:
        """Refunds the cost of a request that did not run."""
        share = self._buckets.get(name)
        if share is not None:
            share.refund(now, cost)

    def _bucket(
        self, now: float, account: accounts.Account, entry_vms: int
    ) -> token_bucket.Bucket:
        total = account.limit
        limit = accounts.Limit(
            unit=total.unit,
            rate=total.rate / entry_vms,
            burst=total.burst / entry_vms,
        )
        share = self._buckets.get(account.name)
        if share is None:
            share = token_bucket.Bucket(limit, now, limit.burst)
            self._buckets[account.name] = share
        elif share.limit != limit:
            share.set_limit(now, limit)
        return share
