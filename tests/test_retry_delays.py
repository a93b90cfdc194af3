"""When refused callers are asked to retry."""

import random

from foxtaildale import retry_delays


def test_retries_of_callers_refused_together_are_spread() -> None:
    """A hundred callers are refused at the same moment in a burst.

    With equal retry retry_times_s they would arrive as the same burst again.
    """
    rng = random.Random(1)
    retry_times_s = [
        retry_delays.retry_after_s(1.0, 14.0, rng) for _ in range(100)
    ]
    assert max(retry_times_s) - min(retry_times_s) > 0.5


def test_the_retry_time_is_within_the_time_left_to_the_caller() -> None:
    rng = random.Random(1)
    for left_s in (0.5, 1.5, 14.0):
        retry_s = retry_delays.retry_after_s(60.0, left_s, rng)
        assert retry_s <= max(retry_delays.MIN_DELAY_S, left_s / 3)
