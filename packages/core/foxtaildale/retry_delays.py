"""When the caller of a refused request should retry.

Callers that are refused together and get the same delay retry together and meet
the same overload, so the delay is drawn from a range. Callers follow a delay of
up to a third of the time that they have left. They ignore a longer one, and
retry at once or not at all.
"""

import random
from typing import Final

# Minimum delay, seconds; a slot of a plain service becomes free about this
# fast.
MIN_DELAY_S: Final = 0.1
# If the end of the cause is known, retries are spread over this part of the
# remaining time beyond it, so that they do not all arrive at its end.
_SPREAD: Final = 0.1
# Maximum delay as a part of the time that the caller has left. It is less than
# a third, to allow for the network delay.
MAX_TIME_LEFT_FRACTION: Final = 0.28


def retry_after_s(wait_s: float, left_s: float, rng: random.Random) -> float:
    """Returns the delay before a retry, seconds.

    Args:
        wait_s: Estimated time for which the cause lasts, seconds.
        left_s: How long the caller still waits, seconds.
        rng: Spreads callers that are refused together.
    """
    spread_s = rng.uniform(0.7, 1.6) * wait_s
    max_s = rng.uniform(0.6, 1.0) * MAX_TIME_LEFT_FRACTION * left_s
    return max(MIN_DELAY_S, min(spread_s, max_s))


def retry_after_end_s(wait_s: float, rng: random.Random) -> float:
    """Returns the delay if the cause is certain to end in `wait_s`, seconds."""
    return max(MIN_DELAY_S, wait_s * (1.0 + rng.uniform(0.0, _SPREAD)))
