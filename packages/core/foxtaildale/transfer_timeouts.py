"""Computes the timeout after which a transfer counts as stalled.

A stalled link must be detected before the prefill result is evicted, so that
another decode worker can fetch it; otherwise each stall wastes a prefill. The
transfer of a long prompt over a slow link must not be aborted either, since
that wastes the prefill, too. The timeout is therefore a part of the lifetime of
the result, or several times the recent average for a prompt of this length,
whichever is longer.
"""

from typing import Final

# Part of the result's lifetime after which a transfer is aborted.
_LIFETIME_SHARE: Final = 0.4
# Multiple of the recent average time that a transfer may take.
_AVERAGE_FACTOR: Final = 4.0
# Weight of the newest transfer in the average.
_WEIGHT: Final = 0.2
# Timeout before the first transfer, and the largest timeout, seconds.
_INITIAL_TIMEOUT_S: Final = 2.0
_MAX_TIMEOUT_S: Final = 10.0


class TransferTimeouts:
    """Average transfer time per token over the transfers of one entry."""

    __slots__ = ('_s_per_token',)

    # Seconds per token; None before the first transfer.
    _s_per_token: float | None

    def __init__(self) -> None:
        self._s_per_token = None

    def record(self, tokens: int, seconds: float) -> None:
        """Adds a completed transfer to the average."""
        new_s_per_token = seconds / max(1, tokens)
        if self._s_per_token is None:
            self._s_per_token = new_s_per_token
        else:
            self._s_per_token += _WEIGHT * (new_s_per_token - self._s_per_token)

    def timeout_s(self, tokens: int, lifetime_s: float) -> float:
        """Returns the timeout of a transfer, seconds.

        Args:
            tokens: Length of the prompt in tokens.
            lifetime_s: Lifetime of a prefill result that is not fetched,
                seconds.
        """
        if self._s_per_token is None:
            return _INITIAL_TIMEOUT_S
        scaled_average_s = _AVERAGE_FACTOR * self._s_per_token * tokens
        return min(
            _MAX_TIMEOUT_S, max(_LIFETIME_SHARE * lifetime_s, scaled_average_s)
        )
