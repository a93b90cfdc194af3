"""Entry VMs that failed as a home, until they answer a probe.

Load answered: entry VMs that are replaced one after the other while a burst
lasts. All VMs must choose the same home, or two plans give the same memory
away and prompts are read for nothing. A VM that passed its home over for a
fixed time, and longer with each failure, went on with another one up to a
minute after all others were back. So a suspect is probed, by nobody's request,
and is a home again as soon as it says that it is fit.

The time is an argument.
"""

import math
from typing import Final

# Answers that may fail to come in a row. One is lost with a broken connection
# or a busy moment; giving the home up at once would have two homes give the
# same memory.
MISSES: Final = 2
# Time until a suspect is probed, seconds; doubled with each time that its
# answers were lost, up to the longest, so that a home that is overrun is not
# taken back again and again. One that refused says when it is fit by itself.
PROBE_S: Final = 0.4
PROBE_MOST_S: Final = 6.4
# Time without a lost answer after which the first span holds again, seconds.
CALM_S: Final = 30.0


class _Suspect:
    __slots__ = ('lost_at', 'misses', 'passed', 'probe_at', 'span_s')

    def __init__(self) -> None:
        self.misses = 0
        # Whether it is passed over now.
        self.passed = False
        self.span_s = PROBE_S
        self.probe_at = 0.0
        # When it was last passed over for a lost answer, seconds.
        self.lost_at = -math.inf


class Suspects:
    """What one entry VM knows of failing homes."""

    __slots__ = ('_known',)

    def __init__(self) -> None:
        # By name.
        self._known: dict[str, _Suspect] = {}

    def passed(self) -> frozenset[str]:
        """Returns those that must not be asked now."""
        return frozenset(
            name for name, found in self._known.items() if found.passed
        )

    def failed(self, now: float, name: str, *, lost: bool) -> bool:
        """Takes a failed ask; returns whether it is passed over from now on.

        Args:
            now: Seconds.
            name: The entry VM that was asked.
            lost: Whether its answer did not come; else it refused, or could
                not be reached at all.
        """
        found = self._known.setdefault(name, _Suspect())
        found.misses += 1
        if found.passed or (lost and found.misses < MISSES):
            return False
        found.passed = True
        if not lost or now - found.lost_at > CALM_S:
            found.span_s = PROBE_S
        else:
            found.span_s = min(2 * found.span_s, PROBE_MOST_S)
        if lost:
            found.lost_at = now
        found.probe_at = now + found.span_s
        return True

    def answered(self, name: str) -> None:
        """Takes a good answer."""
        found = self._known.get(name)
        if found is not None:
            found.misses = 0

    def due(self, now: float) -> list[str]:
        """Returns those to probe now."""
        return [
            name
            for name, found in self._known.items()
            if found.passed and found.probe_at <= now
        ]

    def probed(self, now: float, name: str, *, fit: bool) -> None:
        """Takes the answer to a probe, or that none came."""
        found = self._known[name]
        found.probe_at = now + PROBE_S
        if fit:
            found.passed = False
            found.misses = 0
