"""A request that waits for a placement, and one that has a placement."""

from foxtaildale import memory_growth
from foxtaildale import messages


class Waiter:
    """A request that waits for a placement."""

    __slots__ = (
        'arrived_at',
        'is_retry',
        'missing_resource',
        'msg',
        'placement',
        'polled_at',
        'position',
    )

    def __init__(
        self,
        msg: messages.PlacementRequest,
        arrived_at: float,
        *,
        is_retry: bool,
    ) -> None:
        self.msg = msg
        # When its first attempt arrived, seconds.
        self.arrived_at = arrived_at
        # Whether an earlier attempt of it was not served.
        self.is_retry = is_retry
        # When its entry VM last polled, seconds.
        self.polled_at = 0.0
        # Number of waiters ahead of it at the last scheduling pass.
        self.position = 0
        # Resource that it lacked at the last scheduling pass.
        self.missing_resource = ''
        # Granted already; sent as the reply to the next poll.
        self.placement: messages.PlacementGrant | None = None


class PlacedRequest:
    """A request with a granted placement."""

    __slots__ = (
        'digest',
        'holder',
        'placement',
        'prefilled_alone',
        'renewed_at',
        'running',
    )

    def __init__(
        self,
        holder: str,
        placement: messages.PlacementGrant,
        running: memory_growth.Running,
        now: float,
        digest: int = 0,
    ) -> None:
        self.holder = holder
        # Its prefill worker is empty if it is not known or none was granted.
        self.placement = placement
        # Shared by the attempts of its request; 0 if not known.
        self.digest = digest
        self.running = running
        # When its holder last renewed it, seconds.
        self.renewed_at = now
        # Whether no other prompt was ahead of its own at its prefill worker.
        self.prefilled_alone = False
