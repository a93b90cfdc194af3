"""Which peers a keeper exchanges beats with.

A full mesh costs each keeper as many beats as there are keepers. That pays
while there are few: each hears of each other's end at once. At several hundred
it is more than control may spend, so a beat goes to a few peers only, taken
in turn from a list that is shuffled anew when it is used up. Every peer is met
once in a round, which a free choice at random would not ensure, and since a
beat is answered by a beat, news spreads in a few beats all the same.
docs/design/presets.md has the figures.
"""

from collections.abc import Sequence
import math
import random
from typing import Final

# With no more keepers than this, a beat goes to all others.
FULL_MESH: Final = 9
# Peers that one beat goes to where there are more.
FANOUT: Final = 2


def fanout_of(keepers: int) -> int:
    """Returns how many peers one beat goes to."""
    return max(1, keepers - 1) if keepers <= FULL_MESH else FANOUT


class Gossip:
    """Chooses the peers of one keeper's beats."""

    __slots__ = ('_fanout', '_left', '_random')

    # Peers of one beat; None for as many as their number asks for.
    _fanout: int | None
    # Peers still to meet in this round.
    _left: list[str]

    def __init__(self, entry_vm: str, fanout: int | None = None) -> None:
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
        fanout = self._fanout or fanout_of(len(known) + 1)
        wanted = min(fanout, len(known))
        chosen: list[str] = []
        while len(chosen) < wanted:
            if not self._left:
                self._left = sorted(known)
                self._random.shuffle(self._left)
            address = self._left.pop()
            if address not in chosen:
                chosen.append(address)
        return tuple(chosen)


def round_beats(keepers: int) -> int:
    """Returns the beats in which a keeper meets every other once."""
    return max(1, math.ceil((keepers - 1) / fanout_of(keepers)))
