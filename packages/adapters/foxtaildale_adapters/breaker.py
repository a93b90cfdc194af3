"""A breaker for calls to a system that may hang.

A hung system answers nothing, so every call to it costs the whole timeout. If
each request of a caller paid that, one slow store would hold every thread of
an entry VM. After one timeout the breaker fails calls at once for a hold-off,
then lets a single call through to try.
"""


class Breaker:
    """Decides whether a call may be made; takes the time as `now` seconds."""

    __slots__ = ('_hold_off_s', '_open_until', '_trying')

    def __init__(self, hold_off_s: float) -> None:
        self._hold_off_s = hold_off_s
        # None while closed.
        self._open_until: float | None = None
        # Whether the one trial call is out.
        self._trying = False

    def admits(self, now: float) -> bool:
        """Says whether a call may go; a trial call counts as gone."""
        if self._open_until is None:
            return True
        if now < self._open_until or self._trying:
            return False
        self._trying = True
        return True

    def answered(self) -> None:
        """Notes that the system answered, whatever it said."""
        self._open_until = None
        self._trying = False

    def timed_out(self, now: float) -> None:
        """Notes a call that got no answer in time."""
        self._open_until = now + self._hold_off_s
        self._trying = False
