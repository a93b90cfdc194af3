"""Retry budget by service.

All entry VMs share one limit on the attempts beyond the first of each request.
Each VM stays within its part: a ratio of its own requests, plus the fixed burst
divided by the number of entry VMs that were ever listed. This needs no
agreement between the VMs; a removed VM that is still counted only makes the
part smaller.

A restarted process does not know what it spent before, and the other VMs do not
count a process that is not listed yet. Either process would spend a part that
is already spent, and VMs that are replaced one after the other would exceed the
limit together. A process therefore gets no part of the burst until it is listed
and a full window has passed since its start. If all entry VMs start for the
first time, it does not wait for the window.
"""

import threading
from typing import Final

from foxtaildale import ports
from foxtaildale import retry_budgets
from foxtaildaled import actors
from foxtaildaled import router_state

# Fraction of the limit that is used. Each VM stays within its part in every
# window, so the parts add up to this fraction. The remainder covers retries
# that are decided in one window and arrive in the next.
_USED_PART: Final = 0.9


class RouterRetryBudgets:
    """Decides whether a request may be sent again."""

    __slots__ = (
        '_budgets',
        '_burst',
        '_burst_from',
        '_clock',
        '_entry_vm',
        '_lock',
        '_owner',
        '_ratio',
    )

    def __init__(
        self,
        ratio: float,
        burst: float,
        owner: actors.StateOwner[router_state.RouterState],
        clock: ports.Clock,
        entry_vm: str,
        *,
        first_start: bool = False,
    ) -> None:
        self._ratio = ratio * _USED_PART
        self._burst = burst * _USED_PART
        self._owner = owner
        self._clock = clock
        self._entry_vm = entry_vm
        # From this time on, the window contains nothing that an earlier process
        # of this VM spent.
        self._burst_from = clock()
        if not first_start:
            self._burst_from += retry_budgets.WINDOW_S
        self._lock = threading.Lock()
        self._budgets: dict[str, retry_budgets.RetryBudget] = {}

    def record_first_attempt(self, service: str) -> None:
        """Counts the first attempt of a request."""
        with self._lock:
            self._budget(service).record_first_attempt(self._clock())

    def acquire(self, service: str, deadline: float) -> bool:
        """Counts one retry, if the budget allows it before the deadline."""
        entry_vms = self._owner.run(lambda state, _: frozenset(state.entry_vms))
        now = self._clock()
        burst = 0.0
        if self._entry_vm in entry_vms and now >= self._burst_from:
            # The part is not rounded down: with many VMs, rounding would remove
            # up to half of the limit.
            burst = self._burst / len(entry_vms)
        with self._lock:
            service_budget = self._budget(service)
            service_budget.on_preset(self._ratio, burst)
            return service_budget.acquire(now, deadline)

    def _budget(self, service: str) -> retry_budgets.RetryBudget:
        service_budget = self._budgets.get(service)
        if service_budget is None:
            service_budget = self._budgets[service] = retry_budgets.RetryBudget(
                self._ratio, 0
            )
        return service_budget
