"""Limits the retries that an entry may start.

A retry costs as much as a first attempt. Without a limit, retries multiply the
load of an overloaded system and keep it overloaded after the cause is gone; the
symptom is more attempts than requests while goodput falls. The budget allows a
ratio of the first attempts, plus a small burst for times of low load.
"""

import collections
from typing import Final

# Length of the sliding window, seconds.
WINDOW_S: Final = 10.0


class RetryBudget:
    """Counts first attempts and retries of one service at one entry."""

    __slots__ = ('_burst', '_first_attempts', '_ratio', '_retries')

    # Retries allowed per first attempt in the window.
    _ratio: float
    # Retries allowed in the window in addition to the ratio.
    _burst: float
    # Times of the first attempts and of the retries in the window, seconds.
    _first_attempts: collections.deque[float]
    _retries: collections.deque[float]

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._first_attempts = collections.deque()
        self._retries = collections.deque()

    def on_preset(self, ratio: float, burst: float) -> None:
        """Applies the figures of a new preset; the counts are kept."""
        self._ratio = ratio
        self._burst = burst

    def record_first_attempt(self, now: float) -> None:
        """Counts a first attempt."""
        self._prune(now)
        self._first_attempts.append(now)

    def acquire(self, now: float, deadline: float | None) -> bool:
        """Returns whether a retry may start, and counts it if so.

        Args:
            now: Seconds, monotonic.
            deadline: Time from which the response is useless; None for never.
                No retry starts at or after it.
        """
        self._prune(now)
        if deadline is not None and now >= deadline:
            return False
        allowed = self._burst + self._ratio * len(self._first_attempts)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _prune(self, now: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= now - WINDOW_S:
                times.popleft()
