"""Selects the peers to which a keeper sends its heartbeats.

In a full mesh each keeper sends as many heartbeats as there are keepers. With
few keepers this is affordable, and every keeper is informed at once when
another one stops. With several hundred it exceeds the budget for control
traffic, so a heartbeat goes to a few peers only. They are taken in turn from a
list that is shuffled again when it is used up. Every peer is contacted once in
a round, which an independent random choice would not ensure. Since the reply
to a heartbeat is a heartbeat too, updates still reach all keepers within a few
heartbeats. docs/design/presets.md has the figures.
"""

from collections.abc import Sequence
import math
import random
from typing import Final

# Up to this number of keepers, a heartbeat goes to all others.
MAX_FULL_MESH_KEEPERS: Final = 9
# Number of peers that receive one heartbeat if there are more keepers.
FANOUT: Final = 2


def fanout_for(keepers: int) -> int:
    """Returns the number of peers that receive one heartbeat."""
    return max(1, keepers - 1) if keepers <= MAX_FULL_MESH_KEEPERS else FANOUT


class PeerSelector:
    """Selects the peers of one keeper's heartbeats."""

    __slots__ = ('_fanout', '_random', '_remaining')

    # Number of peers per heartbeat; None to derive it from the number of
    # keepers.
    _fanout: int | None
    # Addresses of the peers not yet contacted in this round.
    _remaining: list[str]

    def __init__(self, entry_vm: str, fanout: int | None = None) -> None:
        """Seeds the order with the name of the VM to make it reproducible."""
        self._fanout = fanout
        self._remaining = []
        self._random = random.Random(entry_vm)

    def next_targets(self, addresses: Sequence[str]) -> tuple[str, ...]:
        """Returns the addresses to which the next heartbeat goes.

        Args:
            addresses: Addresses of all peers, without this keeper.
        """
        peers = frozenset(addresses)
        self._remaining = [
            address for address in self._remaining if address in peers
        ]
        fanout = self._fanout or fanout_for(len(peers) + 1)
        target_count = min(fanout, len(peers))
        chosen: list[str] = []
        while len(chosen) < target_count:
            if not self._remaining:
                self._remaining = sorted(peers)
                self._random.shuffle(self._remaining)
            address = self._remaining.pop()
            if address not in chosen:
                chosen.append(address)
        return tuple(chosen)


def heartbeats_per_round(keepers: int) -> int:
    """Returns the number of heartbeats that contact every peer once."""
    return max(1, math.ceil((keepers - 1) / fanout_for(keepers)))
