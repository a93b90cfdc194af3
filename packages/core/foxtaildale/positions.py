"""Positions of records over the histories of a store.

A store that comes back from a copy gives out offsets again, to other records. It
counts how often that happened: its epoch. A position is an offset below the epoch that
it is of, so it is higher than every position of the epochs before wherever two are
compared, be it as the end of what is known, as a version or as a fencing token. It
fits into the 53 bits that JSON numbers keep.
"""

from typing import Final

_OFFSET_BITS: Final = 40
# Highest epoch that leaves positions within 53 bits.
MAX_EPOCH: Final = 8191


def make(epoch: int, offset: int) -> int:
    """Returns the position of an offset."""
    return epoch << _OFFSET_BITS | offset


def epoch(position: int) -> int:
    """Returns the epoch that a position is of."""
    return position >> _OFFSET_BITS


def offset(position: int) -> int:
    """Returns the offset within the epoch."""
    return position & ((1 << _OFFSET_BITS) - 1)
