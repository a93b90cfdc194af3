"""Budget of repeated sends, by service.

All entry VMs share one bound on sends beyond the first of each request. Each
keeps to its part: its own requests' share, plus its part of the fixed slack by
the number of entry VMs that were ever listed. That needs no agreement, and a
VM that is gone and still counted only makes the part smaller.

A process that starts again has forgotten what it spent, and one that is not
listed yet is not counted by the others. Either one would spend a part that is
spent already, and VMs that are replaced one after the other would pass the bound
together. So neither has a part of the slack until a whole window has passed since its start, unless all entry VMs
start for the first time.
"""

import threading
from typing import Final

from foxtaildale import budget
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import beliefs

# Share of the bound that is used. Each VM keeps to its part in every window, so
# the parts add up to the bound; the rest is for sends that are decided in one
# window and arrive in the next.
_USED: Final = 0.9


class Sends:
    """Gives out repeated sends."""

    __slots__ = (
        '_budgets',
        '_burst',
        '_clock',
        '_entry_vm',
        '_lock',
        '_owner',
        '_ratio',
        '_slack_from',
    )

    def __init__(
        self,
        ratio: float,
        burst: float,
        owner: actors.Owner[beliefs.Beliefs],
        clock: ports.Clock,
        entry_vm: str,
        *,
        first_start: bool = False,
    ) -> None:
        self._ratio = ratio * _USED
        self._burst = burst * _USED
        self._owner = owner
        self._clock = clock
        self._entry_vm = entry_vm
        # What an earlier process of this VM spent has left the window then.
        self._slack_from = clock()
        if not first_start:
            self._slack_from += budget.WINDOW_S
        self._lock = threading.Lock()
        self._budgets: dict[str, budget.Budget] = {}

    def first(self, service: str) -> None:
        """Counts a request."""
        with self._lock:
            self._budget(service).first(self._clock())

    def take(self, service: str, deadline: float) -> bool:
        """Takes one repeated send, if there is one before the deadline."""
        entry_vms = self._owner.run(lambda state, _: frozenset(state.entry_vms))
        now = self._clock()
        burst = 0.0
        if self._entry_vm in entry_vms and now >= self._slack_from:
            # Not rounded down: where there are many VMs that would take half of
            # the bound away.
            burst = self._burst / len(entry_vms)
        with self._lock:
            found = self._budget(service)
            found.on_preset(self._ratio, burst)
            return found.allow(now, deadline)

    def _budget(self, service: str) -> budget.Budget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = budget.Budget(self._ratio, 0)
        return found
