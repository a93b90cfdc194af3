"""Expected lengths of a service's responses."""

import math
from typing import Final

from foxtaildale import memory_growth

# Weight of a new measurement in the moving average.
_NEW_WEIGHT: Final = 0.1


class ResponseLengths:
    """Mean length of complete responses.

    The mean is taken on a log scale, since lengths spread evenly there.
    """

    __slots__ = ('_mean_log',)

    def __init__(self) -> None:
        # Mean logarithm of the tokens of a response; 0 before the first.
        self._mean_log = 0.0

    def record(self, tokens: int) -> None:
        """Records the length of a complete response, tokens."""
        log = math.log(tokens)
        old_mean = self._mean_log or log
        self._mean_log = old_mean + _NEW_WEIGHT * (log - old_mean)

    def expected_tokens(
        self, hinted_tokens: int, max_output_tokens: int
    ) -> float:
        """Returns the expected length of a response, tokens.

        Args:
            hinted_tokens: The caller's hint; 0 for none.
            max_output_tokens: The maximum that the caller set; 0 for none.
        """
        typical = math.exp(self._mean_log) if self._mean_log else 0.0
        return memory_growth.expected_tokens(
            hinted_tokens, max_output_tokens, typical
        )
