"""A request that waits for a placement, and one that has a placement."""

from foxtaildale import growth
from foxtaildale import messages


class Waiter:
    """A request that waits for a placement."""

    __slots__ = (
        'arrived_at',
        'asked_at',
        'came_back',
        'msg',
        'place',
        'position',
        'short_of',
    )

    def __init__(
        self, msg: messages.AskPlace, arrived_at: float, *, came_back: bool
    ) -> None:
        self.msg = msg
        # When its first attempt arrived, seconds.
        self.arrived_at = arrived_at
        # Whether an earlier attempt of it was not served.
        self.came_back = came_back
        # When its entry VM last polled, seconds.
        self.asked_at = 0.0
        # Number of waiters ahead of it at the last scheduling pass.
        self.position = 0
        # Resource that it lacked at the last scheduling pass.
        self.short_of = ''
        # Granted already; sent as the reply to the next poll.
        self.place: messages.Place | None = None


class Held:
    """A request with a granted placement."""

    __slots__ = (
        'digest',
        'holder',
        'kept_at',
        'place',
        'read_alone',
        'running',
    )

    def __init__(
        self,
        holder: str,
        place: messages.Place,
        running: growth.Running,
        now: float,
        digest: int = 0,
    ) -> None:
        self.holder = holder
        # Its prefill worker is empty if it is not known or none was granted.
        self.place = place
        # Shared by the attempts of its request; 0 if not known.
        self.digest = digest
        self.running = running
        # When its holder last renewed it, seconds.
        self.kept_at = now
        # Whether no other prompt was ahead of its own at its prefill worker.
        self.read_alone = False
