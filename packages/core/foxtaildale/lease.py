"""Decides which entry VM may send orders to the engines of a service.

Two VMs that send orders to the same engines would undo each other's changes,
and each change makes an engine unavailable for seconds. A VM therefore first
writes a claim to the store, on the condition that nothing was written since its
last read. The offset of the claim is its fencing token; it is higher than all
earlier ones, including those of a history that the store lost. The VM sends
orders only for a short time after its claim, and no other VM claims until that
time and the lease are certainly over. A holder that was paused finds on resume
that its time is over; a holder cut off from the store can't claim again.

This module does no I/O; the time is an argument.
"""

import math
from typing import Final

# Time in which orders may follow a claim, seconds, from just before the claim
# is sent. It is enough for ten orders that each wait for their full timeout.
ORDER_WINDOW_S: Final = 1.5
# Time after the orders and the lease before another holder claims, seconds. An
# order that was sent at the last moment may still be in transit.
IN_TRANSIT_MARGIN_S: Final = 1.5


class Lease:
    """The claims of one service, as observed by one entry VM.

    Args:
        holder: Name of this incarnation of this entry VM.
        lease_s: Time between the orders of two holders, seconds.
    """

    __slots__ = (
        '_claimed_at',
        '_claims_lost_at',
        '_epoch',
        '_holder',
        '_lease_s',
        '_newest_at',
        '_newest_offset',
    )

    def __init__(self, holder: str, lease_s: float) -> None:
        self._holder = holder
        self._lease_s = lease_s
        # Offset of the newest claim, and when it was first observed, seconds.
        self._newest_offset: int | None = None
        self._newest_at = 0.0
        self._claimed_at: float | None = None
        # The store's epoch, and when claims were last seen lost, seconds.
        self._epoch: int | None = None
        self._claims_lost_at = -math.inf

    def may_claim(
        self, now: float, epoch: int, offset: int | None, holder: str
    ) -> bool:
        """Applies the newest claim; returns whether to write another now.

        Args:
            now: Seconds.
            epoch: Epoch of the store (see `positions`). After a change, claims
                may be missing.
            offset: Position of the newest claim; None if there was never one.
            holder: Holder that wrote it.
        """
        claim_delay_s = ORDER_WINDOW_S + self._lease_s + IN_TRANSIT_MARGIN_S
        if epoch != self._epoch:
            # A new process can't know how long ago the epoch changed.
            if epoch > 1 or self._epoch is not None:
                self._claims_lost_at = now
            self._epoch = epoch
        if now - self._claims_lost_at < claim_delay_s:
            return False
        if offset is None or holder == self._holder:
            return True
        if offset != self._newest_offset:
            self._newest_offset = offset
            self._newest_at = now
        return now - self._newest_at >= claim_delay_s

    def start_claim(self, now: float) -> None:
        """Records that a claim is about to be sent."""
        self._claimed_at = now

    def may_order(self, now: float) -> bool:
        """Returns whether orders may still follow the claim."""
        return (
            self._claimed_at is not None
            and now - self._claimed_at < ORDER_WINDOW_S
        )
