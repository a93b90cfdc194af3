"""The pool with one mechanism taken out at a time.

Only what lies between pool and engines can be taken out here; what lies inside
the pool was measured when it came in, and stands in the commits' notes.
"""

from collections.abc import Callable
from typing import Final

import msgspec

from bench import entry
from bench import home
from bench import scenario
from bench import workload
from bench import world
from foxtaildale import messages
from foxtaildale import retry_budgets


class NoRecovery(home.HomePlacer):
    """A finished prefill stays bound to the worker granted first."""

    recovers = False


class FixedReturn(home.HomePlacer):
    """Every refused caller is told to come back after one second."""

    def ask(
        self,
        vm: int,
        msg: messages.SlotRequest,
        reply: Callable[[entry.Reply], None],
    ) -> None:
        """Asks, and replaces when to come back."""

        def replaced(answer: entry.Reply) -> None:
            if isinstance(answer, messages.Refused):
                answer = msgspec.structs.replace(answer, retry_after_ms=1_000)
            reply(answer)

        super().ask(vm, msg, replaced)


class Case(msgspec.Struct, frozen=True):
    """One mechanism taken out."""

    name: str
    placer: Callable[[world.World], entry.Placer]
    # Retries for each first try; the pool's own where None.
    ratio: float | None = None


CASES: Final = (
    Case('all', home.HomePlacer),
    Case('no recovery or move', NoRecovery),
    Case('unbounded retries', home.HomePlacer, 1e9),
    Case('no retries', home.HomePlacer, -1e9),
    Case('return after 1 s', FixedReturn),
)


def make_run(
    case: Case, dep: workload.Deployment, scn: scenario.Scenario, seed: int
) -> scenario.Run:
    """Returns a run with a mechanism taken out."""
    run = scenario.Run(dep, scn, case.placer, dep.long_s, seed)
    if case.ratio is not None:
        run.budgets = [
            retry_budgets.RetryBudget(case.ratio, 0) for _ in run.world.vms
        ]
    return run
