"""Which engines of a stage are much slower than the others.

An engine may take four times as long as the others, by a fault of its own, and
still respond. Treated as a healthy engine it gets its share of the work:
prompts wait for it past their targets, and its responses occupy their memory
four times as long as the plan expects, so that requests are preempted.

Only the ratio to the other engines counts, since under load all of them slow
down together. Nothing here does I/O.
"""

import math
import statistics
from typing import Final

# Weight of a new measurement in the moving average; three in a row identify a
# slow engine.
_NEW_WEIGHT: Final = 0.3
# Ratio to the median from which on an engine counts as slow. Prompts of uneven
# length that wait for each other spread by less.
SLOW_RATIO: Final = 2.0
# Time in which an engine's excess over the median halves without a measurement,
# seconds. A slow engine gets little work to be measured by, and would otherwise
# stay idle long after it has recovered.
HALF_LIFE_S: Final = 2.0
# Maximum number of remembered engines; those measured longest ago are dropped.
_MAX_ENGINES: Final = 256


class EngineSpeeds:
    """Smoothed time of a token at each engine of a stage."""

    __slots__ = ('_token_times',)

    def __init__(self) -> None:
        # Seconds a token and the time of the last measurement, by id; the
        # engines measured last are at the end.
        self._token_times: dict[str, tuple[float, float]] = {}

    def record(self, now: float, server: str, token_s: float) -> None:
        """Records a measured time of a token, seconds."""
        old_s, _ = self._token_times.pop(server, (token_s, now))
        smoothed_s = old_s + _NEW_WEIGHT * (token_s - old_s)
        self._token_times[server] = (smoothed_s, now)
        if len(self._token_times) > _MAX_ENGINES:
            del self._token_times[next(iter(self._token_times))]

    def forget(self, server: str) -> None:
        """Discards what is known of a server that has restarted."""
        self._token_times.pop(server, None)

    def median_s(self) -> float | None:
        """Returns the median time of a token; None if not known."""
        if not self._token_times:
            return None
        return statistics.median_low(
            token_s for token_s, _ in self._token_times.values()
        )

    def slowness(self, now: float, server: str) -> float:
        """Returns the ratio to the median; 1 if the engine is not slow."""
        measured, median_s = self._token_times.get(server), self.median_s()
        if measured is None or median_s is None:
            return 1.0
        token_s, measured_at = measured
        excess = max(0.0, token_s / median_s - 1.0)
        ratio = 1.0 + excess * math.exp2((measured_at - now) / HALF_LIFE_S)
        return ratio if ratio >= SLOW_RATIO else 1.0
