"""Positions order the records of a store across its epochs.

A store that is restored from a copy assigns some offsets again, to other
records. The epoch counts these restorations. A position contains the epoch in
its high bits and the offset in its low bits, so it is higher than every
position of an earlier epoch. This holds wherever positions are compared: as
the end of what has been read, as a version or as a fencing token. A position
fits into the 53 bits that JSON numbers represent exactly.
"""

from typing import Final

_OFFSET_BITS: Final = 40
# Highest epoch whose positions fit into 53 bits.
MAX_EPOCH: Final = 8191


def make(epoch: int, offset: int) -> int:
    """Returns the position of an offset in an epoch."""
    return epoch << _OFFSET_BITS | offset


def epoch(position: int) -> int:
    """Returns the epoch of a position."""
    return position >> _OFFSET_BITS


def offset(position: int) -> int:
    """Returns the offset of a position within its epoch."""
    return position & ((1 << _OFFSET_BITS) - 1)
