"""How many retries an entry may start.

A retry costs what a first try costs. Unbounded, retries multiply the load just
when there is too much of it, and the system stays down after the cause is gone
(one would see more attempts than requests at falling goodput). The budget
grows with first tries by a ratio and holds a small burst for quiet times.
"""

import collections
from typing import Final

# Length of the sliding window, seconds.
WINDOW_S: Final = 10.0


class Budget:
    """Counts first tries and retries of one service at one entry."""

    __slots__ = ('_burst', '_firsts', '_ratio', '_retries')

    # Retries allowed for each first try in the window.
    _ratio: float
    # Retries allowed beyond the ratio.
    _burst: float
    # Times of the first tries and of the retries in the window.
    _firsts: collections.deque[float]
    _retries: collections.deque[float]

    def __init__(self, ratio: float, burst: float) -> None:
        self._ratio = ratio
        self._burst = burst
        self._firsts = collections.deque()
        self._retries = collections.deque()

    def on_preset(self, ratio: float, burst: float) -> None:
        """Takes the figures of a new preset; what was counted stays."""
        self._ratio = ratio
        self._burst = burst

    def first(self, now: float) -> None:
        """Counts a first try."""
        self._forget(now)
        self._firsts.append(now)

    def allow(self, now: float, deadline: float | None) -> bool:
        """Takes one retry from the budget, if there is one.

        Args:
            now: Seconds, monotonic.
            deadline: When the answer is worth nothing any more; None for
                never. No retry starts at or after it.
        """
        self._forget(now)
        if deadline is not None and now >= deadline:
            return False
        allowed = self._burst + self._ratio * len(self._firsts)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._firsts, self._retries):
            while times and times[0] <= now - WINDOW_S:
                times.popleft()
