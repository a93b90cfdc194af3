"""A request that waits for a place in a plan, and one that has it."""

from foxtaildale import growth
from foxtaildale import messages


class Waiter:
    """A request that waits for a place."""

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
        # When its first try came, seconds.
        self.arrived_at = arrived_at
        # Whether an earlier try of it was not served.
        self.came_back = came_back
        self.asked_at = 0.0
        # Waiters before it at the last look.
        self.position = 0
        # What there was too little of for it at the last look.
        self.short_of = ''
        # Granted already, to be told at the next ask.
        self.place: messages.Place | None = None


class Held:
    """A granted place."""

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
        # Without a prefill worker where that is not known or none was given.
        self.place = place
        # Shared by the tries of its request; 0 if that is not known.
        self.digest = digest
        self.running = running
        self.kept_at = now
        # Whether no prompt was before its own at its prefill worker.
        self.read_alone = False
