"""Retry budgets of an entry server, one for each service."""

import threading

from foxtaildale import ports
from foxtaildale import retry_budgets
from foxtaildaled import view


class RetryBudgets:
    """Limits retries by the ratio and burst of the preset in force."""

    __slots__ = ('_budgets', '_clock', '_lock')

    _clock: ports.Clock
    _budgets: dict[str, retry_budgets.RetryBudget]
    _lock: threading.Lock

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self._budgets = {}
        self._lock = threading.Lock()

    def record_first_attempt(
        self, service: str, snapshot: view.Snapshot
    ) -> None:
        """Counts the first attempt of a request."""
        with self._lock:
            self._budget(service, snapshot).record_first_attempt(self._clock())

    def acquire(
        self, service: str, snapshot: view.Snapshot, deadline: float | None
    ) -> bool:
        """Spends one retry if the budget allows one before the deadline.

        Returns:
            Whether the retry is allowed.
        """
        with self._lock:
            return self._budget(service, snapshot).acquire(
                self._clock(), deadline
            )

    def _budget(
        self, service: str, snapshot: view.Snapshot
    ) -> retry_budgets.RetryBudget:
        ratio, burst = 0.0, 0
        if snapshot.in_force is not None:
            preset = snapshot.in_force.preset
            ratio, burst = preset.retry_ratio, preset.retry_burst
        service_budget = self._budgets.get(service)
        if service_budget is None:
            service_budget = self._budgets[service] = retry_budgets.RetryBudget(
                ratio, burst
            )
        service_budget.on_preset(ratio, burst)
        return service_budget
