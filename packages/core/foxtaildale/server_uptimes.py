"""When the incarnations of backend servers are known to have run.

A complete response shows that one incarnation of its server ran from the time at
which the request was sent until the end of the response. Which one that was is known
by the list of servers only, and late: a server that restarts may respond before its
new entry is read. So times at which one incarnation ran are kept apart unless they
overlap.

This module does no I/O; the time is an argument.
"""

import math
from typing import Final

# How long a time is remembered, seconds.
UPTIME_TTL_S: Final = 300.0
# Time in which no server can end and be back, seconds.
MIN_RESTART_S: Final = 0.4
# Maximum number of incarnations, and of times of each, that are remembered.
_MAX_INCARNATIONS: Final = 4096
_MAX_TIMES: Final = 32

# The id of a server, and when it started, Unix milliseconds.
_Incarnation = tuple[str, int]


class ServerUptimes:
    """Times at which servers ran, by what this entry VM received."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        # Begin and end of each time in which one incarnation ran, seconds, in
        # order. Those that responded last are at the end.
        self._times: dict[_Incarnation, list[tuple[float, float]]] = {}

    def record(
        self, server: str, started_at: int, sent_at: float, now: float
    ) -> None:
        """Records a complete response.

        Args:
            server: The server's id.
            started_at: When it started by the list, Unix milliseconds.
            sent_at: When the request had been sent, seconds.
            now: Seconds.
        """
        key = server, started_at
        times = self._times.pop(key, [])
        began_at, ended_at = min(sent_at, now), now
        while times and began_at <= times[-1][1] + MIN_RESTART_S:
            began_at = min(began_at, times.pop()[0])
        times.append((began_at, ended_at))
        while len(times) > _MAX_TIMES or now - times[0][1] > UPTIME_TTL_S:
            del times[0]
        self._times[key] = times
        if len(self._times) > _MAX_INCARNATIONS:
            del self._times[next(iter(self._times))]

    def ran_since(self, server: str, started_at: int, at: float) -> float:
        """Returns since when an incarnation ran that ran later than a time.

        Args:
            server: The server's id.
            started_at: When it started by the list, Unix milliseconds.
            at: Seconds.

        Returns:
            Seconds; infinity if none is known.
        """
        return min(
            (
                began_at
                for began_at, ended_at in self._times.get(
                    (server, started_at), ()
                )
                if ended_at > at
            ),
            default=math.inf,
        )
