"""At most once over random schedules of VMs, callers and failures."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from tests import history
from tests import oncebench
from tests import oncenet
from tests import test_claimsearch
from tests import test_ticketsearch


def _verdicts(rules: oncebench.Rules, seed: int) -> list[history.Verdict]:
    bench, _ = oncenet.run(rules, random.Random(seed))
    assert bench.history.responses
    return history.check(bench.history)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    loss=strategies.sampled_from([0.0, 0.03, 0.2]),
    fault_every_s=strategies.sampled_from([0.5, 2.0, 10.0]),
    bad_appends=strategies.sampled_from([0.0, 0.2, 0.6]),
)
def test_every_schedule_is_truthful(
    seed: int, loss: float, fault_every_s: float, bad_appends: float
) -> None:
    """Processes die, freeze and are cut off while callers try again.

    A user would see a check-in in the roster twice, a summary on the bill
    twice, or repeat a request that was called "not run" and had run.
    """
    rules = oncebench.Rules(
        loss=loss, fault_every_s=fault_every_s, bad_appends=bad_appends
    )
    assert [str(verdict) for verdict in _verdicts(rules, seed)] == []


def test_a_quiet_day_runs_nearly_everything() -> None:
    """Without failures each request is answered for certain."""
    rules = oncebench.Rules(
        loss=0.0, double=0.0, fault_every_s=0.0, bad_appends=0.0
    )
    _, callers = oncenet.run(rules, random.Random(1))
    assert {caller.ran for caller in callers} <= {'yes', 'no'}


@pytest.mark.parametrize(
    ('rules', 'seed', 'rule'),
    [
        (
            oncebench.Rules(executor_type=test_ticketsearch.StartWithoutNote),
            24,
            'true-refusal',
        ),
        (
            oncebench.Rules(claims_type=test_claimsearch.RunAfterLostAppend),
            53,
            'at-most-once',
        ),
    ],
)
def test_a_missing_mechanism_makes_a_history_red(
    rules: oncebench.Rules, seed: int, rule: str
) -> None:
    """A start without the note, or a run after a lost append, is found."""
    assert rule in {verdict.rule for verdict in _verdicts(rules, seed)}
