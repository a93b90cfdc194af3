"""Histories of concurrent callers over real processes that fail.

Three entry VMs. VMs and entries are killed and started anew, entries and
keepers stand still past every bound and wake, the log is down or its answers
are lost, services execute and their answers are lost; in two seeded rows that
go on side by side. Whatever happens, no identity is executed twice, and
whoever was told "not run" was told the truth.
"""

import json
import pathlib
import types
from typing import Any
from typing import cast

import pytest

from tests import deployment
from tests import history
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


def test_a_summary_that_ran_again_is_known_by_its_prompt() -> None:
    """Guards against a prompt in the prefix cache taken for another summary."""
    prefill = {'kind': 'prefill', 'phase': 'begun', 'request': 'r', 'at': 1.0}
    records: dict[str, list[dict[str, Any]]] = {
        'reader-p1': [prefill | {'tokens': 15, 'cached': 128}],
        'reader-d1': [prefill | {'kind': 'decode'}],
    }
    dep = types.SimpleNamespace(
        workers={
            worker.name: types.SimpleNamespace(address=worker.name)
            for worker in scenario.WORKERS
        },
        get=lambda address, _: types.SimpleNamespace(
            data=json.dumps(records.get(address, []))
        ),
    )
    run = scenario.Scenario(cast('deployment.Deployment', dep), 1)
    for number in (13, 41):
        run.history.add(
            history.Invocation(
                request=f'{number}/1',
                caller='patrol-1',
                service='reader',
                at=0.0,
                identity=f'summary-{number}',
            )
        )
    run._collect_executions()
    assert [e.identity for e in run.history.executions] == ['summary-41']
