"""How long an engine takes to prefill a prompt, as measured.

A prefill has a fixed overhead, which overlaps with the prefills of other
prompts, and a time for each token, which does not. If the overhead were counted
in the rate, an engine would seem much slower than it is. The plan would then
leave decode memory unused while requests wait, because it sees no free prefill
worker. A linear fit over prompts that had an engine to themselves separates the
two.
"""

import collections
import statistics
from typing import Final

# Initial speed of an engine before the first measurement, prompt tokens a
# second.
INITIAL_TOKENS_PER_S: Final = 50_000.0
# Initial fixed overhead of a prefill, seconds: the network delay to the worker
# and back, and the processing at either end.
INITIAL_OVERHEAD_S: Final = 0.02
# Maximum and minimum number of prompts in the linear fit.
_MAX_POINTS: Final = 64
_MIN_POINTS: Final = 12
# Minimum standard deviation of their lengths, as a part of the mean; below it
# the fit can't separate the overhead from the speed.
_MIN_SPREAD: Final = 0.1
# Until there are enough prompts for the fit, the speed of the fastest prefill
# is used, reduced by this part with each further prompt. It is less than the
# actual speed, since it includes the overhead. With a speed that is too high, a
# prefill worker would get more prompts than it can prefill in a burst at the
# start.
_FASTEST_DECAY: Final = 0.01


class PrefillSpeed:
    """Learns the overhead and the speed from prompts that did not wait."""

    __slots__ = ('_max_per_s', '_samples', 'overhead_s', 'tokens_per_s')

    def __init__(self) -> None:
        # Tokens and seconds of the last prompts that had an engine to
        # themselves.
        self._samples: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_MAX_POINTS
        )
        # Speed of the fastest prefill including its overhead, tokens a second.
        self._max_per_s = 0.0
        # Speed of an engine, prompt tokens a second.
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        # Fixed overhead of a prefill, seconds.
        self.overhead_s = INITIAL_OVERHEAD_S

    @property
    def is_measured(self) -> bool:
        """Whether any prefill was measured."""
        return self._max_per_s > 0.0

    def record(self, prompt_tokens: int, took_s: float, *, alone: bool) -> None:
        """Records a measured prefill of an engine that is not slow.

        Args:
            prompt_tokens: Tokens.
            took_s: Time since the placement, seconds.
            alone: Whether no other prompt was ahead of it at its engine.
        """
        if alone:
            self._samples.append((prompt_tokens, took_s))
        if len(self._samples) < _MIN_POINTS:
            self._max_per_s = max(
                self._max_per_s * (1 - _FASTEST_DECAY), prompt_tokens / took_s
            )
            self.tokens_per_s = self._max_per_s
        elif alone:
            self._fit()

    def _fit(self) -> None:
        lengths = [prompt for prompt, _ in self._samples]
        if statistics.stdev(lengths) < _MIN_SPREAD * statistics.mean(lengths):
            return
        line = statistics.linear_regression(
            lengths, [took_s for _, took_s in self._samples]
        )
        if line.slope <= 0.0:
            return
        self.tokens_per_s = 1 / line.slope
        self.overhead_s = max(0.0, line.intercept)
