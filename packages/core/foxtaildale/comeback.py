"""When a refused caller should come back.

Callers that are refused together and told the same time come back together
and meet the same overload, so the time is drawn from a range. Callers heed it
up to a third of the time that they have left; a longer one is not heeded, and
they would come back at once or not at all.
"""

import random
from typing import Final

# Least time, seconds: a slot of a plain service comes free about this fast.
MIN_S: Final = 0.1
# Callers who are told when something ends come back within this much more of the
# time until then, not all at its end.
_SPREAD: Final = 0.1
# Part of the time left that is used at most; under a third, for the way.
PART: Final = 0.28


def retry_after_s(wait_s: float, left_s: float, rng: random.Random) -> float:
    """Returns when to come back, seconds.

    Args:
        wait_s: How long the cause is thought to last.
        left_s: How long the caller still waits.
        rng: Spreads callers that are refused together.
    """
    spread = rng.uniform(0.7, 1.6) * wait_s
    most = rng.uniform(0.6, 1.0) * PART * left_s
    return max(MIN_S, min(spread, most))


def not_before_s(wait_s: float, rng: random.Random) -> float:
    """Returns when to come back to what is sure to end then, seconds."""
    return max(MIN_S, wait_s * (1.0 + rng.uniform(0.0, _SPREAD)))
