"""Runs scenarios and prints their figures as tables."""

from collections.abc import Sequence
import statistics
import sys
from typing import Final

from bench import entry
from bench import home
from bench import meter
from bench import scenario
from bench import without
from bench import workload
from bench import world

_SEEDS: Final = (1, 2, 3, 4)
# Scenarios in which the mechanisms of `without` are at work.
_TELLING: Final = (
    'peak-1.5',
    'peak-1.5-returns',
    'transfer-stalls',
    'worker-dies',
    'link-slows',
)

_HEAD = (
    f'{"policy":13}{"good/s":>8}{"planner":>9}{"bound":>8}{"wasted":>9}'
    f'{"own":>9}{"retries":>8}{"msgs":>6}{"bytes":>7}{"unfair":>8}'
    f'{"p50 ms":>8}{"p99 ms":>8}  results'
)


def measure(
    dep: workload.Deployment, scn: scenario.Scenario, policy: str, short: bool
) -> meter.Figures:
    """Returns the figures of one run."""
    length = dep.short_s if short else dep.long_s
    return scenario.Run(dep, scn, scenario.POLICIES[policy], length).figures()


def run(words: Sequence[str]) -> None:
    """Prints what the words pick; all scenarios and policies without any."""
    picked = set(words)
    short = 'short' in picked
    policies = [p for p in scenario.POLICIES if p in picked]
    scenarios = [s for s in scenario.SCENARIOS if s.name in picked]
    deps = [d for d in workload.ALL if d.name in picked]
    for dep in deps or workload.ALL:
        print(f'\n# {dep.name}: {workload.capacity(dep):.2f} requests/s')
        for scn in scenarios or scenario.SCENARIOS:
            print(f'\n{scn.name} (load {scn.load})\n{_HEAD}')
            for policy in policies or scenario.POLICIES:
                if (policy, scn.fault) not in scenario.NOT_RUN:
                    print(_row(policy, measure(dep, scn, policy, short)))
                    sys.stdout.flush()


def seeds(words: Sequence[str]) -> None:
    """Prints the pool's means over four seeds, long form."""
    for dep in workload.ALL:
        for scn in scenario.SCENARIOS:
            if not words or scn.name in words:
                make = scenario.POLICIES['pool']
                print(_mean(f'{dep.name:11}{scn.name:17}', dep, scn, make))


def weights() -> None:
    """Prints both deployments under each other's weights, side by side."""
    for dep in workload.ALL:
        for scn in scenario.SCENARIOS[1:3]:
            for other in workload.ALL:
                name = f'{dep.name:11}{scn.name:9}weights of {other.name:11}'

                def make(
                    wld: world.World, other: workload.Deployment = other
                ) -> entry.Placer:
                    return home.HomePlacer(wld, other.weights)

                print(_mean(name, dep, scn, make))


def mechanisms(words: Sequence[str]) -> None:
    """Prints the pool with one mechanism taken out at a time."""
    for dep in workload.ALL:
        for scn in scenario.SCENARIOS:
            if scn.name in (words or _TELLING):
                for case in without.CASES:
                    name = f'{dep.name:11}{scn.name:17}{case.name:20}'
                    figs = [
                        without.make_run(case, dep, scn, seed).figures()
                        for seed in _SEEDS
                    ]
                    print(_means(name, figs))


def _mean(
    name: str,
    dep: workload.Deployment,
    scn: scenario.Scenario,
    make: scenario.MakePlacer,
) -> str:
    figs = [
        scenario.Run(dep, scn, make, dep.long_s, seed).figures()
        for seed in _SEEDS
    ]
    return _means(name, figs)


def _means(name: str, figs: Sequence[meter.Figures]) -> str:
    """Returns a line with the means of several runs."""

    def mean(field: str) -> float:
        return statistics.mean(float(getattr(fig, field)) for fig in figs)

    return (
        f'{name} good/s {mean("goodput"):.3f}'
        f' of planner {mean("of_planner"):.2%} of bound {mean("of_bound"):.1%}'
        f' wasted {mean("wasted"):.3%} own {mean("wasted_own"):.3%}'
        f' reused {mean("reused"):.2%} whole {mean("whole"):.0f}'
        f' retries {mean("retries"):.1f} messages {mean("messages"):.1f}'
        f' bytes {mean("bytes"):.0f} unfair {mean("unfair"):.3f}'
    )


def _row(policy: str, fig: meter.Figures) -> str:
    results = ' '.join(f'{k}={v}' for k, v in fig.results.items())
    return (
        f'{policy:13}{fig.goodput:8.3f}{fig.of_planner:9.2%}'
        f'{fig.of_bound:8.1%}{fig.wasted:9.3%}{fig.wasted_own:9.3%}'
        f'{fig.retries:8}{fig.messages:6.1f}{fig.bytes:7}{fig.unfair:8.3f}'
        f'{fig.first_p50_ms:8}{fig.first_p99_ms:8}  {results}'
    )
