"""Which engines of a stage are much slower than the others.

Load answered: an engine that takes four times as long as the others, by a fault
of its own, and yet answers. Counted as a sound one it gets its share of the
work: prompts wait for it past their targets, and its answers hold their memory
four times as long as the plan foresees, so that requests are preempted.

Only the proportion to the others counts: under load all of them slow down
together. Nothing here does I/O.
"""

import math
import statistics
from typing import Final

# How much a new measurement counts; three in a row show a slow engine.
_LEARN: Final = 0.3
# Times slower than the median from which on an engine counts as slow; prompts
# of uneven length that wait for each other spread by less.
SLOW: Final = 2.0
# What an engine takes longer than the others halves in this time without a
# measurement, seconds: a slow one gets little to be measured by, and would
# stand idle long after it has recovered.
HALF_S: Final = 2.0
# Engines remembered; those that are gone drop out as new ones come.
_MOST: Final = 256


class Speeds:
    """Smoothed time of a token at each engine of a stage."""

    __slots__ = ('_noted',)

    def __init__(self) -> None:
        # Seconds of a token, and when that was noted, by id; the ones measured
        # last at the end.
        self._noted: dict[str, tuple[float, float]] = {}

    def note(self, now: float, server: str, token_s: float) -> None:
        """Takes a measured time of a token, seconds."""
        before, _ = self._noted.pop(server, (token_s, now))
        learned = before + _LEARN * (token_s - before)
        self._noted[server] = (learned, now)
        if len(self._noted) > _MOST:
            del self._noted[next(iter(self._noted))]

    def forget(self, server: str) -> None:
        """Forgets a server that started again."""
        self._noted.pop(server, None)

    def usual_s(self) -> float | None:
        """Returns the time of a token at most engines; None if not known."""
        if not self._noted:
            return None
        return statistics.median_low(own for own, _ in self._noted.values())

    def slowness(self, now: float, server: str) -> float:
        """Returns how many times slower than the others; 1 if not much."""
        noted, usual_s = self._noted.get(server), self.usual_s()
        if noted is None or usual_s is None:
            return 1.0
        own, at = noted
        beyond = max(0.0, own / usual_s - 1.0)
        found = 1.0 + beyond * math.exp2((at - now) / HALF_S)
        return found if found >= SLOW else 1.0
