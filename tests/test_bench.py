"""The policy bench gives the same figures each time, within its bounds."""

import pytest

from bench import bounds
from bench import limit
from bench import report
from bench import scenario
from bench import workload

BOUNDS = bounds.read()


@pytest.mark.parametrize(
    'bound', BOUNDS, ids=[f'{b.deployment}-{b.scenario}' for b in BOUNDS]
)
def test_the_short_form_keeps_its_bounds(bound: bounds.Bound) -> None:
    """A change of the policy costs goodput, or wastes prefill.

    Users would notice at the next peak, when nobody can tell which of the
    changes since the last one it was.
    """
    assert bounds.passed(bound) == []


def test_every_scenario_has_a_bound() -> None:
    wanted = {
        (d.name, s.name) for d in workload.ALL for s in scenario.SCENARIOS
    }
    assert {(b.deployment, b.scenario) for b in BOUNDS} == wanted


def test_figures_are_the_same_on_every_run() -> None:
    dep = workload.EISBRECHER
    scn = scenario.SCENARIOS[1]
    assert report.measure(dep, scn, 'pool', short=True) == report.measure(
        dep, scn, 'pool', short=True
    )


@pytest.mark.parametrize('dep', workload.ALL, ids=lambda dep: str(dep.name))
def test_overload_does_not_collapse(dep: workload.Deployment) -> None:
    """Half again as many callers come as the workers can serve.

    Where answers then come late or prefills are wasted, fewer callers get
    theirs than at capacity, just when most of them need one.
    """
    at, above = (
        report.measure(dep, scn, 'pool', short=True)
        for scn in scenario.SCENARIOS[1:3]
    )
    assert above.goodput >= at.goodput


def test_no_planner_passes_the_bound_on_paper() -> None:
    for dep in workload.ALL:
        for load in (0.5, 1.0, 1.5):
            arrivals = workload.arrivals(dep, load, dep.short_s)
            paper = limit.bound(dep, arrivals, dep.short_s)
            assert limit.planner(dep, arrivals) <= paper
