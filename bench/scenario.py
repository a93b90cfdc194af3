"""Scenarios: a load, a preset, and a fault or none."""

from collections.abc import Callable
import functools
import random
from typing import Final

import msgspec

from bench import baselines
from bench import entry
from bench import home
from bench import limit
from bench import meter
from bench import workload
from bench import world
from foxtaildale import messages
from foxtaildale import retry_budgets
from foxtaildale import values


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One run's circumstances."""

    name: str
    # Share of capacity that arrives.
    load: float
    # A name from `FAULTS`, or ''.
    fault: str = ''
    # How often a refused caller comes back.
    returns: int = 0
    # Whether one decode worker is leaving from the start.
    maintenance: bool = False


SCENARIOS: Final = (
    Scenario(name='ordinary', load=0.5),
    Scenario(name='peak', load=1.0),
    Scenario(name='peak-1.5', load=1.5),
    Scenario(name='peak-1.5-returns', load=1.5, returns=2),
    Scenario(name='maintenance', load=0.6, maintenance=True),
    Scenario(name='worker-dies', load=0.8, fault='worker-dies'),
    Scenario(name='prefill-dies', load=0.4, fault='prefill-dies'),
    Scenario(name='vm-dies', load=1.0, fault='vm-dies'),
    Scenario(name='transfer-stalls', load=1.0, fault='transfer-stalls'),
    Scenario(name='link-slows', load=0.8, fault='link-slows'),
    Scenario(name='reports-freeze', load=1.0, fault='reports-freeze'),
    Scenario(name='keeper-cut', load=1.0, fault='keeper-cut'),
)

MakePlacer = Callable[[world.World], entry.Placer]

POLICIES: Final[dict[str, MakePlacer]] = {
    'pool': home.HomePlacer,
    'worker-homes': baselines.WorkerHomes,
    'round-robin': baselines.RoundRobin,
    'least-load': baselines.LeastLoad,
    'two-choices': baselines.TwoChoices,
}

# The baseline whose grants don't lapse is not run where a holder dies.
NOT_RUN: Final = frozenset({('worker-homes', 'vm-dies')})


class Run:
    """One scenario under one policy."""

    def __init__(
        self,
        dep: workload.Deployment,
        scenario: Scenario,
        make: MakePlacer,
        length_s: float,
        seed: int = 1,
    ) -> None:
        self._dep = dep
        self._scenario = scenario
        self._length_s = length_s
        self.arrivals = workload.arrivals(dep, scenario.load, length_s, seed)
        self.world = world.World(dep)
        self.placer = make(self.world)
        self.budgets = [
            retry_budgets.RetryBudget(
                values.Preset(name='', services={}).retry_ratio,
                values.Preset(name='', services={}).retry_burst,
            )
            for _ in self.world.vms
        ]
        self._calls: dict[str, entry.Call] = {}
        self._tries: dict[str, int] = {}

    def figures(self) -> meter.Figures:
        """Runs it and returns the figures."""
        if self._scenario.maintenance:
            self.world.drop('d2')
        for arrival in self.arrivals:
            self.world.clock.at(
                arrival.at, functools.partial(self._arrive, arrival)
            )
        if self._scenario.fault:
            at = self._length_s / 3
            fault = FAULTS[self._scenario.fault]
            self.world.clock.at(at, lambda: fault(self))
        self.world.clock.run(self._length_s + 3 * self._dep.first_answer_s + 60)
        computed = sum(p.computed for p in self.world.prefills.values())
        cached = sum(p.cached for p in self.world.prefills.values())
        found = self.world.meter.figures(
            len(self.arrivals), self._length_s, computed
        )
        good = found.results.get(meter.GOOD, 0)
        planner = limit.planner(self._dep, self.arrivals, self._loss())
        bound = limit.bound(self._dep, self.arrivals, self._length_s)
        return msgspec.structs.replace(
            found,
            reused=round(cached / max(1, cached + computed), 4),
            of_planner=round(good / max(1, planner), 4),
            of_bound=round(good / max(1, bound), 4),
        )

    def _loss(self) -> limit.Loss:
        if self._scenario.maintenance:
            return limit.Loss(0.0)
        if self._scenario.fault in ('worker-dies', 'prefill-dies'):
            decode = self._scenario.fault == 'worker-dies'
            return limit.Loss(self._length_s / 3, decode)
        return limit.Loss()

    def kill_vm(self, vm: int) -> None:
        """An entry VM dies with every request it works on."""
        self.world.dead_vms.add(vm)
        for call in list(self._calls.values()):
            if call.vm == vm:
                call.vanish()

    def _arrive(self, arrival: workload.Arrival) -> None:
        tries = self._tries.get(arrival.request, 0)
        self._tries[arrival.request] = tries + 1
        vm = (arrival.vm + tries) % len(self.world.vms)
        while vm in self.world.dead_vms:
            vm = (vm + 1) % len(self.world.vms)
        # Each try of a caller is a request of its own.
        again = msgspec.structs.replace(
            arrival, request=f'{arrival.request}.{tries}'
        )
        call = entry.Call(
            self.world,
            self.placer,
            self.budgets[vm],
            arrival if tries == 0 else again,
            vm=vm,
            over=lambda call, reply: self._over(arrival, call, reply),
        )
        self._calls[call.arrival.request] = call

    def _over(
        self,
        arrival: workload.Arrival,
        call: entry.Call,
        reply: entry.Reply | None,
    ) -> None:
        self._calls.pop(call.arrival.request, None)
        if (
            isinstance(reply, messages.Refused)
            and self._tries[arrival.request] <= self._scenario.returns
        ):
            self.world.clock.after(
                reply.retry_after_ms / 1000, lambda: self._arrive(arrival)
            )


def _worker_dies(run: Run) -> None:
    run.world.kill_worker('d1')


def _prefill_dies(run: Run) -> None:
    run.world.kill_worker('p1')


def _vm_dies(run: Run) -> None:
    """The VM whose keeper is home, which is the worst one."""
    vm = 0
    if isinstance(run.placer, home.HomePlacer):
        vm = run.placer.home()
        run.placer.lose(vm)
    run.kill_vm(vm)


def _transfer_stalls(run: Run) -> None:
    """Every two seconds the transfers in progress on a link go silent."""
    rng = random.Random('stalls')

    def stall() -> None:
        name = rng.choice(sorted(run.world.prefills))
        run.world.prefills[name].link.stall()

    for number in range(10):
        run.world.clock.after(2.0 * number, stall)


def _link_slows(run: Run) -> None:
    link = run.world.prefills['p0'].link
    link.slow(0.2)
    run.world.clock.after(20, lambda: link.slow(1.0))


def _reports_freeze(run: Run) -> None:
    run.world.frozen = True


def _keeper_cut(run: Run) -> None:
    """The home is cut off from every other VM, and comes back."""
    vm = 0
    if isinstance(run.placer, home.HomePlacer):
        vm = run.placer.home()
        run.placer.lose(vm)
    run.world.cut_vms.add(vm)

    def over() -> None:
        run.world.cut_vms.discard(vm)
        if isinstance(run.placer, home.HomePlacer):
            run.placer.regain(vm)

    run.world.clock.after(15, over)


FAULTS: Final[dict[str, Callable[[Run], None]]] = {
    'worker-dies': _worker_dies,
    'prefill-dies': _prefill_dies,
    'vm-dies': _vm_dies,
    'transfer-stalls': _transfer_stalls,
    'link-slows': _link_slows,
    'reports-freeze': _reports_freeze,
    'keeper-cut': _keeper_cut,
}
