"""Runs scenarios and prints their figures as tables."""

from collections.abc import Sequence
import sys

from bench import meter
from bench import scenario
from bench import workload

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


def _row(policy: str, fig: meter.Figures) -> str:
    results = ' '.join(f'{k}={v}' for k, v in fig.results.items())
    return (
        f'{policy:13}{fig.goodput:8.3f}{fig.of_planner:9.2%}'
        f'{fig.of_bound:8.1%}{fig.wasted:9.3%}{fig.wasted_own:9.3%}'
        f'{fig.retries:8}{fig.messages:6.1f}{fig.bytes:7}{fig.unfair:8.3f}'
        f'{fig.first_p50_ms:8}{fig.first_p99_ms:8}  {results}'
    )
