"""What a home expects of its workers: rates learned from what holders measured.

Every ended grant brings what its prefill, transfer and decode took. The rates
start from cautious figures and follow the measurements, so no operator sets
the speed of an engine. Times are in seconds, rates in seconds a token.
"""

import math
from typing import Final

# Rates assumed until the first measurement, seconds a token.
PREFILL_S: Final = 1 / 10_000
TRANSFER_S: Final = 1 / 40_000
TOKEN_S: Final = 0.025
# Weight of a new measurement in an average.
_WEIGHT: Final = 0.1
# The same for decode times, which differ widely from answer to answer; and how
# many measurements the assumption counts for, since short answers end first.
_DECODE_WEIGHT: Final = 0.02
_DECODE_PRIOR: Final = 20
# Measurements of the token time that count, as a decay of the older ones.
_DECAY: Final = 0.98
# Measurements before the line through token times is trusted.
_ENOUGH: Final = 20.0
# Spread of batch sizes, as a variance, below which a slope means nothing.
_SPREAD: Final = 2.0


class Average:
    """An exponentially weighted average that starts from an assumption."""

    __slots__ = ('_seen', '_weight', 'value')

    value: float
    # Least weight of a measurement.
    _weight: float
    # Measurements so far, and those that the assumption counts for.
    _seen: int

    def __init__(
        self, assumed: float, weight: float = _WEIGHT, prior: int = 1
    ) -> None:
        self.value = assumed
        self._weight = weight
        self._seen = prior

    def add(self, value: float) -> None:
        """Takes a measurement; the first ones weigh more."""
        self._seen += 1
        weight = max(self._weight, 1 / self._seen)
        self.value += weight * (value - self.value)


class TokenTime:
    """Time between tokens as a line over the batch size.

    Decode slows as the batch grows. The line is a least squares fit whose
    older points fade, and it answers the largest batch under a target.
    """

    __slots__ = ('_n', '_x', '_xx', '_xy', '_y')

    # Faded sums over points of batch size x and token time y.
    _n: float
    _x: float
    _y: float
    _xx: float
    _xy: float

    def __init__(self) -> None:
        self._n = self._x = self._y = self._xx = self._xy = 0.0

    def add(self, batch: float, token_s: float) -> None:
        """Takes a measurement at a batch size."""
        self._n = self._n * _DECAY + 1
        self._x = self._x * _DECAY + batch
        self._y = self._y * _DECAY + token_s
        self._xx = self._xx * _DECAY + batch * batch
        self._xy = self._xy * _DECAY + batch * token_s

    def at(self, batch: float) -> float:
        """Returns the expected token time at a batch size, seconds."""
        if self._n == 0:
            return TOKEN_S
        mean_x = self._x / self._n
        mean_y = self._y / self._n
        return max(mean_y / 4, mean_y + self._slope() * (batch - mean_x))

    def largest_batch(self, slots: int, target_s: float) -> int:
        """Returns the largest batch that keeps a target; at least 1."""
        slope = self._slope()
        if target_s <= 0 or slope <= 0 or self.at(slots) <= target_s:
            return slots
        spare = (target_s - self.at(slots)) / slope
        return max(1, min(slots, math.floor(slots + spare)))

    def _slope(self) -> float:
        if self._n < _ENOUGH:
            return 0.0
        mean_x = self._x / self._n
        variance = self._xx / self._n - mean_x * mean_x
        if variance < _SPREAD:
            return 0.0
        covariance = self._xy / self._n - mean_x * self._y / self._n
        return max(0.0, covariance / variance)


class Estimates:
    """The rates of one pool."""

    __slots__ = ('_prefill', '_transfer', 'decode', 'token')

    # By prefill worker: prefill and transfer, seconds a token.
    _prefill: dict[str, Average]
    _transfer: dict[str, Average]
    # Time from first to last token, seconds.
    decode: Average
    token: TokenTime

    def __init__(self, expected_tokens: int) -> None:
        self._prefill = {}
        self._transfer = {}
        self.decode = Average(
            expected_tokens * TOKEN_S, _DECODE_WEIGHT, _DECODE_PRIOR
        )
        self.token = TokenTime()

    def prefill_s(self, worker: str, tokens: int) -> float:
        """Returns how long a worker takes to prefill a prompt, seconds."""
        rate = self._prefill.get(worker)
        return tokens * (rate.value if rate else PREFILL_S)

    def transfer_s(self, worker: str, tokens: int) -> float:
        """Returns how long the link from a worker is taken, seconds."""
        rate = self._transfer.get(worker)
        return tokens * (rate.value if rate else TRANSFER_S)

    def measured_prefill(self, worker: str, tokens: int, took_s: float) -> None:
        """Takes the measured time of a prefill."""
        rate = self._prefill.setdefault(worker, Average(PREFILL_S))
        rate.add(took_s / max(1, tokens))

    def measured_transfer(
        self, worker: str, tokens: int, took_s: float
    ) -> None:
        """Takes the measured time of a transfer."""
        rate = self._transfer.setdefault(worker, Average(TRANSFER_S))
        rate.add(took_s / max(1, tokens))

    def measured_decode(self, batch: int, tokens: int, took_s: float) -> None:
        """Takes the measured time of a whole stream."""
        self.decode.add(took_s)
        if tokens > 1:
            self.token.add(batch, took_s / (tokens - 1))
