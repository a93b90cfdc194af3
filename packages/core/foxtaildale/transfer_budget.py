"""Limits the bytes of large values that a VM sends to others over its link.

A VM that sends one large value to every other VM fills its link for seconds,
and all other messages wait behind it. This module does no I/O; the time is an
argument.
"""

from typing import Final

# Part of the link that large values may use on average, and for how long they
# may use the whole link at once, seconds. Other messages wait that long at
# most; coordinators are asked with a timeout of 0.25 s.
LINK_FRACTION: Final = 0.5
BURST_S: Final = 0.1


class TransferBudget:
    """Bytes that may be sent now; replenished at a part of the link's rate."""

    __slots__ = ('_at', '_capacity', '_level', '_rate')

    def __init__(self, link_bytes_per_s: float) -> None:
        self._rate = LINK_FRACTION * link_bytes_per_s
        self._capacity = BURST_S * link_bytes_per_s
        # The level as of `_at`, bytes; negative after a value that is larger
        # than the capacity.
        self._level = self._capacity
        self._at = 0.0

    def try_spend(self, now: float, size: int) -> bool:
        """Spends the bytes of a value, if it may be sent now.

        A value that is larger than the capacity may be sent when nothing was
        spent for a while.
        """
        gained = self._rate * max(0.0, now - self._at)
        level = min(self._capacity, self._level + gained)
        self._at = max(self._at, now)
        self._level = level
        if level < min(size, self._capacity):
            return False
        self._level = level - size
        return True
