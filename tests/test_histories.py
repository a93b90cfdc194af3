"""Histories of concurrent callers over real processes that fail.

Three entry VMs. VMs and entries are killed and started anew, entries and
keepers stand still past every bound and wake, the log is down or its answers
are lost, services execute and their answers are lost; in two seeded rows that
go on side by side. Whatever happens, no identity is executed twice, and
whoever was told "not run" was told the truth.
"""

import pathlib

import pytest

from tests import deployment
from tests import scenario

_SEEDS = (1, 2, 3)


@pytest.mark.parametrize('seed', _SEEDS)
def test_nothing_runs_twice_and_refusals_are_true(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Crews and patrols keep trying while VMs come and go.

    A check-in logged twice corrupts the roster, a summary run twice is billed
    twice, and one that was "not run" and did run is both.
    """
    with deployment.Deployment(tmp_path) as dep:
        dep.start(scenario.WORKERS, scenario.VMS)
        dep.publish(scenario.PRESET)
        dep.wait_in_force(scenario.PRESET.name)
        run = scenario.Scenario(dep, seed)
        verdicts = run.run(crews=6, patrols=3, faults=8)
        assert not verdicts, '\n'.join(map(str, verdicts))
