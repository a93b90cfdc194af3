"""Whether an entry VM reaches the backend servers at all.

An entry VM may be partitioned from all backend servers while callers, the store
and the other VMs reach it. One failed connection says nothing: the server may
be down. If connections to several servers failed since the last one that was
opened, the path of this VM is the more likely cause.

This module does no I/O; the time is an argument.
"""

from typing import Final

# Number of different servers that can't be connected to before the path of this
# VM is taken to be lost.
MIN_FAILED_SERVERS: Final = 2
# Time for which a failed connection counts, seconds.
FAILURE_TTL_S: Final = 5.0


class ServerReach:
    """Outcomes of new connections to backend servers."""

    __slots__ = ('_failed_at', 'lost_at')

    def __init__(self) -> None:
        # When a connection to each server last failed, since one succeeded.
        self._failed_at: dict[str, float] = {}
        # Since when no server has been reached, seconds; None if one is.
        self.lost_at: float | None = None

    @property
    def is_lost(self) -> bool:
        """Whether no backend server is reached."""
        return self.lost_at is not None

    def record_success(self) -> None:
        """Records that a connection to a server was opened."""
        self._failed_at.clear()
        self.lost_at = None

    def record_failure(self, address: str, now: float) -> None:
        """Records that a connection to a server was not opened."""
        self._failed_at = {
            server: at
            for server, at in self._failed_at.items()
            if now - at <= FAILURE_TTL_S
        }
        self._failed_at[address] = now
        is_lost = len(self._failed_at) >= MIN_FAILED_SERVERS
        if is_lost and self.lost_at is None:
            self.lost_at = min(self._failed_at.values())

    def failed_servers(self) -> list[str]:
        """Returns the addresses of the servers that were not reached."""
        return list(self._failed_at)
