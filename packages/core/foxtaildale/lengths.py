"""How long answers of a service are thought to get."""

import math
from typing import Final

from foxtaildale import growth

# How much a new measurement counts.
_LEARN: Final = 0.1


class Lengths:
    """Lengths of whole answers, on a log scale, as they spread there evenly."""

    __slots__ = ('_typical_log',)

    def __init__(self) -> None:
        # Mean logarithm of the tokens of an answer; 0 before the first.
        self._typical_log = 0.0

    def note(self, tokens: int) -> None:
        """Takes the length of a whole answer, tokens."""
        log = math.log(tokens)
        before = self._typical_log or log
        self._typical_log = before + _LEARN * (log - before)

    def expected(self, hinted: int, longest: int) -> float:
        """Returns how long an answer is thought to get, tokens.

        Args:
            hinted: The caller's guess; 0 for none.
            longest: The bound that the caller gave.
        """
        typical = math.exp(self._typical_log) if self._typical_log else 0.0
        return growth.expected_tokens(hinted, longest, typical)
