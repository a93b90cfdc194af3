"""Expected rates of a coordinator's workers, learned from measurements.

The holder of a grant reports at its end the times of its prefill, transfer and
decode. The rates start from cautious values and follow the measurements, so
that operators need not set the speed of an engine. Times are in seconds, rates
in seconds a token.
"""

import math
from typing import Final

# Initial rates before the first measurement, seconds a token.
INITIAL_PREFILL_S: Final = 1 / 10_000
INITIAL_TRANSFER_S: Final = 1 / 40_000
INITIAL_TOKEN_S: Final = 0.025
# Minimum weight of a new measurement in an average.
_WEIGHT: Final = 0.1
# The same for decode times, which differ widely between responses. The initial
# value counts as this many measurements, since short responses end first.
_DECODE_WEIGHT: Final = 0.02
_DECODE_PRIOR: Final = 20
# Factor by which each new measurement of the token time reduces the weight of
# the older ones.
_DECAY: Final = 0.98
# Minimum weight of the measurements before the slope of the line is used.
_MIN_POINTS: Final = 20.0
# Minimum variance of the batch sizes; below it a slope has no meaning.
_MIN_VARIANCE: Final = 2.0


class Average:
    """An exponentially weighted average with an initial value."""

    __slots__ = ('_count', '_min_weight', 'value')

    value: float
    _min_weight: float
    # Number of measurements, including those that the initial value counts as.
    _count: int

    def __init__(
        self, initial: float, weight: float = _WEIGHT, prior_count: int = 1
    ) -> None:
        self.value = initial
        self._min_weight = weight
        self._count = prior_count

    def add(self, value: float) -> None:
        """Adds a measurement; the first ones have more weight."""
        self._count += 1
        weight = max(self._min_weight, 1 / self._count)
        self.value += weight * (value - self.value)


class TokenTimeFit:
    """Time between tokens as a linear function of the batch size.

    Decode slows down as the batch grows. The line is a least squares fit in
    which older points lose weight; it yields the largest batch that meets a
    target.
    """

    __slots__ = ('_largest_batches', '_n', '_x', '_xx', '_xy', '_y')

    # Weighted sums over points of batch size x and token time y.
    _n: float
    _x: float
    _y: float
    _xx: float
    _xy: float
    # Cached results of `largest_batch` since the last measurement, by slots and
    # target; each grant request needs one for every worker of the pool.
    _largest_batches: dict[tuple[int, float], int]

    def __init__(self) -> None:
        self._largest_batches = {}
        self._n = self._x = self._y = self._xx = self._xy = 0.0

    def add(self, batch: float, token_s: float) -> None:
        """Adds a measurement at a batch size."""
        self._largest_batches.clear()
        self._n = self._n * _DECAY + 1
        self._x = self._x * _DECAY + batch
        self._y = self._y * _DECAY + token_s
        self._xx = self._xx * _DECAY + batch * batch
        self._xy = self._xy * _DECAY + batch * token_s

    def at(self, batch: float) -> float:
        """Returns the expected token time at a batch size, seconds."""
        if self._n == 0:
            return INITIAL_TOKEN_S
        mean_x = self._x / self._n
        mean_y = self._y / self._n
        return max(mean_y / 4, mean_y + self._slope() * (batch - mean_x))

    def largest_batch(self, slots: int, target_s: float) -> int:
        """Returns the largest batch that meets a target; at least 1."""
        batch = self._largest_batches.get((slots, target_s))
        if batch is None:
            batch = self._compute_largest(slots, target_s)
            self._largest_batches[slots, target_s] = batch
        return batch

    def _compute_largest(self, slots: int, target_s: float) -> int:
        slope = self._slope()
        if target_s <= 0 or slope <= 0 or self.at(slots) <= target_s:
            return slots
        # Negative: the number of slots to leave unused.
        difference = (target_s - self.at(slots)) / slope
        return max(1, min(slots, math.floor(slots + difference)))

    def _slope(self) -> float:
        if self._n < _MIN_POINTS:
            return 0.0
        mean_x = self._x / self._n
        variance = self._xx / self._n - mean_x * mean_x
        if variance < _MIN_VARIANCE:
            return 0.0
        covariance = self._xy / self._n - mean_x * self._y / self._n
        return max(0.0, covariance / variance)


class Estimates:
    """The rates of one pool."""

    __slots__ = (
        '_prefill_rates',
        '_transfer_rates',
        'decode_time',
        'token_time',
    )

    # Seconds a token, by prefill worker.
    _prefill_rates: dict[str, Average]
    _transfer_rates: dict[str, Average]
    # Time from the first to the last token, seconds.
    decode_time: Average
    token_time: TokenTimeFit

    def __init__(self, expected_tokens: int) -> None:
        self._prefill_rates = {}
        self._transfer_rates = {}
        self.decode_time = Average(
            expected_tokens * INITIAL_TOKEN_S, _DECODE_WEIGHT, _DECODE_PRIOR
        )
        self.token_time = TokenTimeFit()

    def prefill_s(self, worker: str, tokens: float) -> float:
        """Returns how long a worker takes to prefill a prompt, seconds."""
        rate = self._prefill_rates.get(worker)
        return tokens * (rate.value if rate else INITIAL_PREFILL_S)

    def transfer_s(self, worker: str, tokens: int) -> float:
        """Returns how long a transfer occupies a worker's link, seconds."""
        rate = self._transfer_rates.get(worker)
        return tokens * (rate.value if rate else INITIAL_TRANSFER_S)

    def record_prefill(self, worker: str, tokens: int, took_s: float) -> None:
        """Records the measured time of a prefill."""
        rate = self._prefill_rates.setdefault(
            worker, Average(INITIAL_PREFILL_S)
        )
        rate.add(took_s / max(1, tokens))

    def record_transfer(self, worker: str, tokens: int, took_s: float) -> None:
        """Records the measured time of a transfer."""
        rate = self._transfer_rates.setdefault(
            worker, Average(INITIAL_TRANSFER_S)
        )
        rate.add(took_s / max(1, tokens))

    def record_decode(self, batch: int, tokens: int, took_s: float) -> None:
        """Records the measured time of a complete stream."""
        self.decode_time.add(took_s)
        if tokens > 1:
            self.token_time.add(batch, took_s / (tokens - 1))
