"""How long a transfer may take before it counts as stalled.

A link that stalls must be noticed while the prefill's result still lives, so
that another decode worker can fetch it; one would otherwise see a prefill
wasted for each stall. But a long prompt over a slow link takes its time, and
giving that up would waste the prefill just the same. So the bound is a part of
the result's life, or several times what a transfer of this length has taken
lately, whichever is longer.
"""

from typing import Final

# Part of the result's life after which a transfer is given up.
_LIFE_PART: Final = 0.4
# Times as long as lately that a transfer may take.
_SLACK: Final = 4.0
# Weight of the newest transfer in the average.
_WEIGHT: Final = 0.2
# Bounds before anything is known and at the most, seconds.
_UNKNOWN_S: Final = 2.0
_MAX_S: Final = 10.0


class Pace:
    """Average time of a transferred token, over one entry's transfers."""

    __slots__ = ('_token_s',)

    # Seconds; None before the first transfer.
    _token_s: float | None

    def __init__(self) -> None:
        self._token_s = None

    def learn(self, tokens: int, seconds: float) -> None:
        """Takes a transfer that came to its end."""
        found = seconds / max(1, tokens)
        if self._token_s is None:
            self._token_s = found
        else:
            self._token_s += _WEIGHT * (found - self._token_s)

    def bound_s(self, tokens: int, life_s: float) -> float:
        """Returns how long a transfer may take, seconds.

        Args:
            tokens: Length of the prompt.
            life_s: How long the prefill's result lives unless fetched.
        """
        if self._token_s is None:
            return _UNKNOWN_S
        usual = _SLACK * self._token_s * tokens
        return min(_MAX_S, max(_LIFE_PART * life_s, usual))
