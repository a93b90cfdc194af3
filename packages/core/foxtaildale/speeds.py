"""Which engines of a stage are much slower than the others.

Load answered: an engine that takes four times as long as the others, by a fault
of its own, and yet answers. Counted as a sound one it gets its share of the
work: prompts wait for it past their targets, and its answers hold their memory
four times as long as the plan foresees, so that requests are preempted.

Only the proportion to the others counts: under load all of them slow down
together. Nothing here does I/O.
"""

import statistics
from typing import Final

# How much a new measurement counts; three in a row show a slow engine.
_LEARN: Final = 0.3
# Times slower than the median from which on an engine counts as slow; prompts
# of uneven length that wait for each other spread by less.
SLOW: Final = 2.0
# Engines remembered; those that are gone drop out as new ones come.
_MOST: Final = 256


class Speeds:
    """Smoothed time of a token at each engine of a stage."""

    __slots__ = ('_token_s',)

    def __init__(self) -> None:
        # By id, the ones measured last at the end; seconds.
        self._token_s: dict[str, float] = {}

    def note(self, server: str, token_s: float) -> None:
        """Takes a measured time of a token, seconds."""
        before = self._token_s.pop(server, token_s)
        self._token_s[server] = before + _LEARN * (token_s - before)
        if len(self._token_s) > _MOST:
            del self._token_s[next(iter(self._token_s))]

    def usual_s(self) -> float | None:
        """Returns the time of a token at most engines; None if not known."""
        if not self._token_s:
            return None
        return statistics.median_low(self._token_s.values())

    def slowness(self, server: str) -> float:
        """Returns how many times slower than the others; 1 if not much."""
        own, usual_s = self._token_s.get(server), self.usual_s()
        if own is None or usual_s is None:
            return 1.0
        found = own / usual_s
        return found if found >= SLOW else 1.0
