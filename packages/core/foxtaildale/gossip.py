"""Which peers a keeper exchanges beats with.

A full mesh costs each keeper as many beats as there are keepers: at several
hundred that is more than control may spend. So each beat goes to a few peers
only, taken in turn from a list that is shuffled anew when it is used up. Every
peer is met once in a round, which a free choice at random would not ensure,
and news spreads as fast as by one. With no more keepers than `FANOUT` allows
the same rule is a full mesh.
"""

from collections.abc import Sequence
import math
import random
from typing import Final

# Peers that one beat goes to.
FANOUT: Final = 8


class Gossip:
    """Chooses the peers of one keeper's beats."""

    __slots__ = ('_fanout', '_left', '_random')

    # Peers still to meet in this round.
    _left: list[str]

    def __init__(self, entry_vm: str, fanout: int = FANOUT) -> None:
        """Seeds the order by the VM's name, so that tests can repeat it."""
        self._fanout = fanout
        self._left = []
        self._random = random.Random(entry_vm)

    def targets(self, addresses: Sequence[str]) -> tuple[str, ...]:
        """Returns where this beat goes.

        Args:
            addresses: All peers, without this keeper.
        """
        known = frozenset(addresses)
        self._left = [address for address in self._left if address in known]
        wanted = min(self._fanout, len(known))
        chosen: list[str] = []
        while len(chosen) < wanted:
            if not self._left:
                self._left = sorted(known)
                self._random.shuffle(self._left)
            address = self._left.pop()
            if address not in chosen:
                chosen.append(address)
        return tuple(chosen)


def round_beats(keepers: int, fanout: int = FANOUT) -> int:
    """Returns the beats in which a keeper meets every other once."""
    return max(1, math.ceil((keepers - 1) / fanout))
