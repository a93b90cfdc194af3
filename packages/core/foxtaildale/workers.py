"""Backend servers as a pool sees them: listed, booked, trusted or suspended."""

from typing import Final

from foxtaildale import backends
from foxtaildale import values

# Failures in a row after which a worker gets no work for a while.
_FAILURES: Final = 2
# First and longest suspension, seconds.
_SUSPEND_S: Final = 1.0
_SUSPEND_MOST_S: Final = 16.0


class Worker:
    """One backend server of the pool."""

    __slots__ = (
        '_failures',
        '_suspend_s',
        '_suspended_until',
        'free_at',
        'link_at',
        'load',
        'server',
    )

    server: values.BackendServer
    # When the booked prefills end, and when its link is free; seconds.
    free_at: float
    link_at: float
    # Last report, None before the first.
    load: backends.Load | None
    # Failures in a row; a success clears them.
    _failures: int
    _suspend_s: float
    _suspended_until: float

    def __init__(self, server: values.BackendServer) -> None:
        self.server = server
        self.free_at = 0.0
        self.link_at = 0.0
        self.load = None
        self._failures = 0
        self._suspend_s = _SUSPEND_S
        self._suspended_until = 0.0

    def usable(self, now: float) -> bool:
        """Whether new work may go there."""
        return self.server.state == 'live' and self._suspended_until <= now

    def worked(self) -> None:
        """Takes a success."""
        self._failures = 0
        self._suspend_s = _SUSPEND_S

    def failed(self, now: float) -> None:
        """Takes a failure.

        A dead worker has the emptiest ledger, so it would draw all new work
        until the lagging list drops it; callers would see one failure after
        the other. After two in a row it rests, each time twice as long, and
        one more failure after a rest is enough for the next.
        """
        self._failures += 1
        if self._failures >= _FAILURES and self._suspended_until <= now:
            self._suspended_until = now + self._suspend_s
            self._suspend_s = min(2 * self._suspend_s, _SUSPEND_MOST_S)
