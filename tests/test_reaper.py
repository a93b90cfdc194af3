"""Which holdings count as abandoned: the cases, one a line."""

import msgspec
import pytest

from foxtaildale import backends
from foxtaildale import reaper

_HOLDER = 'entry@vm-1#a'
_GRACE_S = 5.0


class Case(msgspec.Struct, frozen=True):
    """One holding as a keeper sees it."""

    alive: bool
    # Whether the keeper of the holder's VM is heard.
    heard: bool
    attached: bool
    # Age of the holding, and time since its holder was missed.
    age_s: float
    missing_s: float
    abandoned: bool


_CASES = (
    Case(True, True, False, 100.0, 100.0, False),
    Case(False, True, True, 100.0, 6.0, True),
    Case(False, True, True, 100.0, 4.0, False),
    # The VM is silent: only what no connection works on is given up.
    Case(False, False, True, 100.0, 100.0, False),
    Case(False, False, False, 6.0, 6.0, True),
    Case(False, False, False, 4.0, 6.0, False),
)


@pytest.mark.parametrize('case', _CASES)
def test_a_holding_is_abandoned_on_evidence_alone(case: Case) -> None:
    """A holder died, or its VM is merely not heard."""
    judge = reaper.Reaper(_GRACE_S)
    holding = backends.Holding(
        request='r',
        attempt=1,
        holder=_HOLDER,
        kind='stream',
        attached=case.attached,
        age_ms=round(case.age_s * 1000),
    )

    def look(at: float) -> bool:
        census = reaper.Census(
            alive=frozenset({_HOLDER} if case.alive else ()),
            heard=frozenset({'vm-1'} if case.heard else ()),
            at=at,
        )
        return judge.abandoned(holding, census)

    assert not look(0.0)
    assert look(case.missing_s) is case.abandoned


def test_a_holder_that_comes_back_is_not_missed_any_more() -> None:
    """A keeper was cut off for a moment and hears of the entry again."""
    judge = reaper.Reaper(_GRACE_S)
    holding = backends.Holding(
        request='r', attempt=1, holder=_HOLDER, kind='stream', age_ms=99_000
    )
    heard = frozenset({'vm-1'})
    gone = reaper.Census(alive=frozenset(), heard=heard, at=0.0)
    back = reaper.Census(alive=frozenset({_HOLDER}), heard=heard, at=4.0)
    late = reaper.Census(alive=frozenset(), heard=heard, at=8.0)
    for census in (gone, back, late):
        assert not judge.abandoned(holding, census)
