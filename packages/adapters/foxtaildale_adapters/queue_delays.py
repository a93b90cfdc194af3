"""How long requests wait between their arrival and the thread that reads them.

Threads are started as requests need them, so a request waits only for the
processor. A short delay is normal, as requests arrive in clusters. If even the
shortest delay of an interval is long, requests arrive faster than they are
processed.

The time is an argument.
"""

import math
import threading
from typing import Final

# Delay that is too long if no request of an interval waited for less, seconds,
# and the interval, seconds.
MAX_DELAY_S: Final = 0.1
INTERVAL_S: Final = 0.3
# Shortest interval between two reports of a count, seconds.
REPORT_INTERVAL_S: Final = 1.0


class QueueDelays:
    """Delays of the requests of one server; safe for concurrent use."""

    __slots__ = ('_exceeded_at', '_lock', '_recorded_at', 'last_s')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Since when no delay was short, seconds; infinity if the last one was.
        self._exceeded_at = math.inf
        self._recorded_at = -math.inf
        # The last delay, seconds.
        self.last_s = 0.0

    def record(self, queued_at: float, now: float) -> None:
        """Records the end of a delay."""
        with self._lock:
            self.last_s = now - queued_at
            if self.last_s < MAX_DELAY_S:
                self._exceeded_at = math.inf
            elif now - self._recorded_at > INTERVAL_S:
                # Nothing is known of the time between.
                self._exceeded_at = now
            else:
                self._exceeded_at = min(self._exceeded_at, now)
            self._recorded_at = now

    def has_standing_queue(self, now: float) -> bool:
        """Whether all delays of the last interval were too long."""
        with self._lock:
            return (
                now - self._recorded_at <= INTERVAL_S
                and now - self._exceeded_at >= INTERVAL_S
            )


class LoggedCount:
    """Counts events that are reported together, once an interval."""

    __slots__ = ('_count', '_reported_at')

    def __init__(self) -> None:
        self._count = 0
        self._reported_at = -math.inf

    def record(self, now: float) -> int:
        """Counts an event; returns the count to report, 0 for none yet."""
        self._count += 1
        if now - self._reported_at < REPORT_INTERVAL_S:
            return 0
        count, self._count = self._count, 0
        self._reported_at = now
        return count
