"""Which entry VM may order the engines of a service to change.

Two VMs that order the same engines undo each other's changes, and each change
takes an engine away for seconds. So a VM first writes a claim to the store,
under the condition that nothing was written since it looked; the claim's offset
is its fencing token, higher than all before it, also those of a history that the
store lost. It gives orders only for a
short while after, and nobody else claims before that while and the lease are
surely over. A holder that was paused finds its while over when it wakes; one
that is cut off from the store can't claim again.

Nothing here does I/O; the time is an argument.
"""

import math
from typing import Final

# How long orders may follow a claim, seconds, counted from before the claim was
# sent: ten orders with the longest wait for an answer of each.
ORDERS_S: Final = 1.5
# Beyond orders and lease before somebody else claims, seconds: an order that
# was sent at the last moment is still on its way.
MARGIN_S: Final = 1.5


class Lease:
    """One service's claims, as one entry VM sees them.

    Args:
        holder: Names this start of this entry VM.
        lease_s: Time between the orders of two holders, seconds.
    """

    __slots__ = (
        '_claimed_at',
        '_epoch',
        '_holder',
        '_lease_s',
        '_lost_at',
        '_seen',
        '_seen_at',
    )

    def __init__(self, holder: str, lease_s: float) -> None:
        self._holder = holder
        self._lease_s = lease_s
        # Offset of the newest claim, and since when it is known, seconds.
        self._seen: int | None = None
        self._seen_at = 0.0
        self._claimed_at: float | None = None
        # The store's epoch, and when it was seen to have lost claims, seconds.
        self._epoch: int | None = None
        self._lost_at = -math.inf

    def may_claim(
        self, now: float, epoch: int, offset: int | None, holder: str
    ) -> bool:
        """Takes the newest claim; returns whether to write another now.

        Args:
            now: Seconds.
            epoch: The store's (`positions`); a later one may lack claims.
            offset: Position of the newest claim; None if there was never one.
            holder: Who wrote it.
        """
        over_s = ORDERS_S + self._lease_s + MARGIN_S
        if epoch != self._epoch:
            # A process that starts can't tell how long ago it was.
            if epoch > 1 or self._epoch is not None:
                self._lost_at = now
            self._epoch = epoch
        if now - self._lost_at < over_s:
            return False
        if offset is None or holder == self._holder:
            return True
        if offset != self._seen:
            self._seen = offset
            self._seen_at = now
        return now - self._seen_at >= over_s

    def claiming(self, now: float) -> None:
        """Notes that a claim is about to be sent."""
        self._claimed_at = now

    def may_order(self, now: float) -> bool:
        """Whether orders may still follow the claim."""
        return (
            self._claimed_at is not None and now - self._claimed_at < ORDERS_S
        )
