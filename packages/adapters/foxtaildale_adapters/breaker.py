"""A circuit breaker for calls to a system that may hang.

A hung system does not respond, so every call to it takes the full timeout. If
each caller's request waited that long, one slow store would block every thread
of an entry VM. After one timeout the breaker rejects calls immediately for the
hold-off time, then admits a single trial call.
"""


class Breaker:
    """Decides whether a call may be made.

    The caller passes the current time as `now`, in seconds.
    """

    __slots__ = ('_hold_off_s', '_open_until', '_trial_in_flight')

    def __init__(self, retry_delay_s: float) -> None:
        self._hold_off_s = retry_delay_s
        # Time until which calls are rejected, seconds; None while closed.
        self._open_until: float | None = None
        # Whether the trial call is in flight.
        self._trial_in_flight = False

    def try_admit(self, now: float) -> bool:
        """Returns whether a call may be made; a trial call counts as made."""
        if self._open_until is None:
            return True
        if now < self._open_until or self._trial_in_flight:
            return False
        self._trial_in_flight = True
        return True

    def record_response(self) -> None:
        """Records that the system responded, whatever the result."""
        self._open_until = None
        self._trial_in_flight = False

    def record_timeout(self, now: float) -> None:
        """Records that a call timed out."""
        self._open_until = now + self._hold_off_s
        self._trial_in_flight = False
