"""Backend servers of a pool: list entry, bookings, failures, suspension."""

from typing import Final

from foxtaildale import backends
from foxtaildale import values

# Number of consecutive failures after which a worker is suspended.
_MAX_FAILURES: Final = 2
# First and maximum duration of a suspension, seconds.
_FIRST_SUSPENSION_S: Final = 1.0
_MAX_SUSPENSION_S: Final = 16.0


class Worker:
    """One backend server of the pool."""

    __slots__ = (
        '_failures',
        '_suspended_until',
        '_suspension_s',
        'link_free_at',
        'load',
        'prefills_end_at',
        'server',
    )

    server: values.BackendServer
    # When its booked prefills end, and when its network link becomes free,
    # seconds.
    prefills_end_at: float
    link_free_at: float
    # The last load report; None before the first one.
    load: backends.Load | None
    # Number of consecutive failures; a success resets it.
    _failures: int
    _suspension_s: float
    _suspended_until: float

    def __init__(self, server: values.BackendServer) -> None:
        self.server = server
        self.prefills_end_at = 0.0
        self.link_free_at = 0.0
        self.load = None
        self._failures = 0
        self._suspension_s = _FIRST_SUSPENSION_S
        self._suspended_until = 0.0

    def is_live(self) -> bool:
        """Whether new work may be sent there according to the list."""
        return self.server.state == 'live'

    def is_usable(self, now: float) -> bool:
        """Whether it is live and not suspended."""
        return self.is_live() and self._suspended_until <= now

    def record_success(self) -> None:
        """Records a success."""
        self._failures = 0
        self._suspension_s = _FIRST_SUSPENSION_S

    def record_failure(self, now: float) -> None:
        """Records a failure.

        A dead worker has the fewest bookings, so it would attract all new work
        until it is removed from the list, which lags behind, and callers would
        see one failure after the other. So a worker is suspended after two
        consecutive failures, each time for twice as long. After a suspension,
        one more failure is enough for the next one.
        """
        self._failures += 1
        if self._failures >= _MAX_FAILURES and self._suspended_until <= now:
            self._suspended_until = now + self._suspension_s
            self._suspension_s = min(2 * self._suspension_s, _MAX_SUSPENSION_S)
