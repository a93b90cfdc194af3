"""How long an engine takes to read a prompt, as measured.

A prompt costs a time that does not depend on its length, which passes beside
the reading of others, and a time for each token, which does not. Taken for one
rate, an engine seems to read much more slowly than it does; the plan then keeps
decode memory empty while requests wait, because it thinks that nobody could read
for it. The two are told apart by a line through prompts that had an engine to
themselves.
"""

import collections
import statistics
from typing import Final

# Prompt tokens that an engine reads in a second until some were measured.
PER_S: Final = 50_000.0
# Time of a prompt beside its reading until some were measured, seconds: the way
# to the worker and back with what is done on it.
WAY_S: Final = 0.02
# Prompts that the line is drawn through, and how many there must be.
_KEPT: Final = 64
_ENOUGH: Final = 12
# Spread of their lengths, in parts of the mean, under which a line says nothing
# about the two.
_SPREAD: Final = 0.1
# Until there are enough, the fastest that was seen counts, and is forgotten by
# this part with each further one. That is slower than the truth, as it holds
# the time beside the reading; believed faster than it is, a prefill worker
# would get more than it can read in a burst at the start.
_FORGET: Final = 0.01


class Reading:
    """Learns the two times from prompts that did not wait."""

    __slots__ = ('_alone', '_fastest', 'per_s', 'way_s')

    def __init__(self) -> None:
        # Tokens and seconds of the last prompts that had an engine alone.
        self._alone: collections.deque[tuple[int, float]] = collections.deque(
            maxlen=_KEPT
        )
        # Tokens in a second of the fastest prompt, all of its time counted.
        self._fastest = 0.0
        # Prompt tokens that an engine reads in a second.
        self.per_s = PER_S
        # Time of a prompt beside that, seconds.
        self.way_s = WAY_S

    def note(self, prompt: int, took_s: float, *, alone: bool) -> None:
        """Takes a measured prefill of a sound engine.

        Args:
            prompt: Tokens.
            took_s: Time from the place on, seconds.
            alone: Whether nothing was before it at its engine.
        """
        if alone:
            self._alone.append((prompt, took_s))
        if len(self._alone) < _ENOUGH:
            self._fastest = max(self._fastest * (1 - _FORGET), prompt / took_s)
            self.per_s = self._fastest
        elif alone:
            self._draw()

    def _draw(self) -> None:
        prompts = [prompt for prompt, _ in self._alone]
        if statistics.stdev(prompts) < _SPREAD * statistics.mean(prompts):
            return
        line = statistics.linear_regression(
            prompts, [took_s for _, took_s in self._alone]
        )
        if line.slope <= 0.0:
            return
        self.per_s = 1 / line.slope
        self.way_s = max(0.0, line.intercept)
