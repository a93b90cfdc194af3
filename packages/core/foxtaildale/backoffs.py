"""Backend servers that requested backoff.

A server that refuses a request may state for how long it wants no requests from
the entry VM that sent it. That VM sends it nothing during this time. The other
VMs are notified and prefer other servers, but may still send to it, because the
server may have refused only the one VM.

This module does no I/O; the time is an argument.
"""

from collections.abc import Mapping
from typing import Final

# Maximum number of servers remembered; those whose backoff ends first are
# removed first.
MAX_SERVERS: Final = 4096
# Maximum backoff that one response can request, seconds. After that, one
# request shows whether the server still wants backoff.
MAX_BACKOFF_S: Final = 300.0
# An update of another VM is ignored if it extends the known end of a backoff by
# less than this, seconds: otherwise the network delay between two VMs would
# extend the backoff with each update.
_SLACK_S: Final = 0.5

# When the server started, Unix milliseconds, and the remaining backoff,
# seconds.
Backoff = tuple[int, float]


class Backoffs:
    """Backoffs that one entry VM knows of."""

    __slots__ = ('_local', '_remote')

    def __init__(self) -> None:
        # By server: when it started, Unix milliseconds, and when the backoff
        # ends, seconds. `_local` was requested from this VM, `_remote` from
        # other VMs.
        self._local: dict[str, tuple[int, float]] = {}
        self._remote: dict[str, tuple[int, float]] = {}

    def record(
        self, now: float, server: str, started_at: int, backoff_s: float
    ) -> bool:
        """Records a backoff that a server requested from this VM.

        Returns:
            Whether this VM was not already backing off from the server.
        """
        new = not self.local_s(now, server, started_at)
        _put(
            self._local,
            now,
            server,
            started_at,
            now + min(backoff_s, MAX_BACKOFF_S),
        )
        return new

    def local_s(self, now: float, server: str, started_at: int) -> float:
        """Returns the remaining backoff of this VM from a server, seconds."""
        return _left_s(self._local, now, server, started_at)

    def remote_s(self, now: float, server: str, started_at: int) -> float:
        """Returns the remaining backoff of other VMs from a server, seconds."""
        return _left_s(self._remote, now, server, started_at)

    def merge(self, now: float, updates: Mapping[str, Backoff]) -> None:
        """Records the backoffs that another entry VM reports."""
        for server, (started_at, left_s) in updates.items():
            until = now + min(left_s, MAX_BACKOFF_S)
            latest = self._remote.get(server, (-1, 0.0))
            if started_at > latest[0] or until > latest[1] + _SLACK_S:
                _put(self._remote, now, server, started_at, until)

    def report(self, now: float) -> dict[str, Backoff]:
        """Returns all backoffs known here, to report to another entry VM."""
        latest: dict[str, Backoff] = {}
        for table in (self._remote, self._local):
            for server, (started_at, until) in list(table.items()):
                backoff = (started_at, until - now)
                if until <= now:
                    del table[server]
                elif backoff > latest.get(server, (-1, 0.0)):
                    latest[server] = backoff
        return latest


def _put(
    table: dict[str, tuple[int, float]],
    now: float,
    server: str,
    started_at: int,
    until: float,
) -> None:
    latest = table.get(server, (-1, 0.0))
    if latest[0] > started_at:
        return
    if latest[0] == started_at:
        until = max(until, latest[1])
    table[server] = (started_at, until)
    if len(table) > MAX_SERVERS:
        expired = [name for name, (_, at) in table.items() if at <= now]
        first = min(table, key=lambda name: table[name][1])
        for name in expired or [first]:
            del table[name]


def _left_s(
    table: Mapping[str, tuple[int, float]],
    now: float,
    server: str,
    started_at: int,
) -> float:
    latest = table.get(server)
    if latest is None or latest[0] < started_at:
        return 0.0
    return max(0.0, latest[1] - now)
