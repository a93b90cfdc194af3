"""Which backend servers an entry VM reaches, and by which way.

An entry VM may be partitioned from some or all backend servers while callers,
the store and the other entry VMs reach it. One failed connection does not tell
whether the server is down or the path to it is lost. Another VM that reaches
the server tells. If connections to several servers failed since the last one
that was opened, all paths of this VM are taken to be lost, until a probe
reaches a server.

This module does no I/O; the time is an argument.
"""

from collections.abc import Iterable
from typing import Final

# Number of different servers that can't be connected to before all paths of
# this VM are taken to be lost.
MIN_FAILED_SERVERS: Final = 2
# Time for which a failed connection counts, seconds.
FAILURE_TTL_S: Final = 5.0
# Time for which a server counts as down that another VM did not reach either,
# seconds.
DOWN_TTL_S: Final = 2.0


class ServerReach:
    """Outcomes of new connections of one entry VM to backend servers."""

    __slots__ = (
        '_down_at',
        '_failed_at',
        '_relayed',
        'lost_at',
    )

    def __init__(self) -> None:
        # When a connection to each server last failed, since one was opened to
        # any server.
        self._failed_at: dict[str, float] = {}
        # Servers that only another VM reaches.
        self._relayed: set[str] = set()
        # When another VM did not reach a server either, seconds.
        self._down_at: dict[str, float] = {}
        # Since when no server has been reached, seconds; None if one is.
        self.lost_at: float | None = None

    @property
    def is_lost(self) -> bool:
        """Whether no backend server is reached directly."""
        return self.lost_at is not None

    @property
    def needs_probes(self) -> bool:
        """Whether there are servers that are not reached directly."""
        return self.is_lost or bool(self._relayed)

    def is_direct(self, address: str) -> bool:
        """Whether a connection to a server should be tried directly."""
        return not self.is_lost and address not in self._relayed

    def is_down(self, address: str, now: float) -> bool:
        """Whether another VM did not reach a server either, a moment ago."""
        down_at = self._down_at.get(address)
        return down_at is not None and now - down_at <= DOWN_TTL_S

    def record_success(self, address: str) -> None:
        """Records that a connection to a server was opened directly."""
        self._failed_at.clear()
        self._relayed.discard(address)
        self._down_at.pop(address, None)
        self.lost_at = None

    def record_failure(self, address: str, now: float) -> None:
        """Records that no connection to a server was opened directly."""
        if address in self._relayed:
            # It is known not to be reached; that says nothing of others.
            return
        self._failed_at = {
            server: at
            for server, at in self._failed_at.items()
            if now - at <= FAILURE_TTL_S
        }
        self._failed_at[address] = now
        is_lost = len(self._failed_at) >= MIN_FAILED_SERVERS
        if is_lost and self.lost_at is None:
            self.lost_at = min(self._failed_at.values())

    def record_relayed(self, address: str) -> bool:
        """Records that another VM reaches a server; whether that is new."""
        self._down_at.pop(address, None)
        if address in self._relayed:
            return False
        self._relayed.add(address)
        return True

    def record_down(self, address: str, now: float) -> None:
        """Records that another VM does not reach a server either.

        So its failure says nothing of the paths of this VM.
        """
        self._down_at[address] = now
        self._failed_at.pop(address, None)
        if len(self._failed_at) < MIN_FAILED_SERVERS and not self._relayed:
            self.lost_at = None

    def retain(self, addresses: Iterable[str]) -> None:
        """Forgets servers that are no longer listed."""
        listed = set(addresses)
        self._relayed &= listed
        self._down_at = {
            address: at
            for address, at in self._down_at.items()
            if address in listed
        }

    def relayed_servers(self) -> set[str]:
        """Returns the addresses of the servers that only others reach."""
        return set(self._relayed)

    def failed_servers(self) -> list[str]:
        """Returns the servers that were not reached since one was."""
        return list(self._failed_at)
