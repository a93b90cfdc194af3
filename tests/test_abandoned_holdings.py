"""Tests which holdings of an engine count as abandoned."""

import msgspec
import pytest

from foxtaildale import abandoned_holdings
from foxtaildale import backends

_HOLDER = 'entry@vm-1#a'
_GRACE_S = 5.0


class Case(msgspec.Struct, frozen=True):
    """A holding, what a keeper knows of its holder, and the expected result."""

    alive: bool
    # Whether the keeper of the holder's VM sends heartbeats.
    heard: bool
    attached: bool
    # Age of the holding, and time since its holder was first missing, seconds.
    age_s: float
    missing_s: float
    abandoned: bool


_CASES = (
    Case(True, True, False, 100.0, 100.0, False),
    Case(False, True, True, 100.0, 6.0, True),
    Case(False, True, True, 100.0, 4.0, False),
    # The VM sends no heartbeats: only a holding without a connection is
    # abandoned.
    Case(False, False, True, 100.0, 100.0, False),
    Case(False, False, False, 6.0, 6.0, True),
    Case(False, False, False, 4.0, 6.0, False),
)


@pytest.mark.parametrize('case', _CASES)
def test_a_holding_is_abandoned_only_on_evidence(case: Case) -> None:
    """A holder crashed, or only the heartbeats of its VM are missing.

    If missing heartbeats alone counted, streams that a live holder still
    serves would be ended.
    """
    holding_reaper = abandoned_holdings.AbandonedHoldings(_GRACE_S)
    holding = backends.Holding(
        request='r',
        attempt=1,
        holder=_HOLDER,
        kind='stream',
        attached=case.attached,
        age_ms=round(case.age_s * 1000),
    )

    def is_abandoned(at: float) -> bool:
        census = abandoned_holdings.LivenessSnapshot(
            alive=frozenset({_HOLDER} if case.alive else ()),
            heard=frozenset({'vm-1'} if case.heard else ()),
            at=at,
        )
        return holding_reaper.is_abandoned(holding, census)

    assert not is_abandoned(0.0)
    assert is_abandoned(case.missing_s) is case.abandoned


def test_a_holder_that_reappears_restarts_the_grace_period() -> None:
    """A keeper was cut off for a moment and then learns of the entry again.

    The grace period must start anew when the holder is missing again.
    """
    holding_reaper = abandoned_holdings.AbandonedHoldings(_GRACE_S)
    holding = backends.Holding(
        request='r', attempt=1, holder=_HOLDER, kind='stream', age_ms=99_000
    )
    heard = frozenset({'vm-1'})
    missing = abandoned_holdings.LivenessSnapshot(
        alive=frozenset(), heard=heard, at=0.0
    )
    present = abandoned_holdings.LivenessSnapshot(
        alive=frozenset({_HOLDER}), heard=heard, at=4.0
    )
    missing_again = abandoned_holdings.LivenessSnapshot(
        alive=frozenset(), heard=heard, at=8.0
    )
    for census in (missing, present, missing_again):
        assert not holding_reaper.is_abandoned(holding, census)
