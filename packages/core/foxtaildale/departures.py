"""Which backend servers have announced that they leave.

A leaving server announces it in its entry in the list and in its responses;
while the store is unavailable, only in its responses. An entry VM reports what
it learns to the other VMs, in any order. Therefore the state of each
incarnation of a server has a revision. It is incremented each time the server
is found to leave (odd) or no longer to leave (even), and the higher revision
wins.

This module does no I/O; the time is an argument.
"""

from collections.abc import Mapping
from typing import Final

# Maximum number of servers remembered; those that changed longest ago are
# removed first.
MAX_SERVERS: Final = 4096
# Number of entries with state ready, written after a server was found to leave,
# that withdraw its departure, and the minimum interval between two that count,
# seconds. One entry is not enough: it may have been in transit to the store,
# and a store that is restored from a copy receives old entries again.
WITHDRAWAL_ENTRIES: Final = 3
MIN_ENTRY_INTERVAL_S: Final = 1.0
# How long a change is reported to other entry VMs, seconds. A VM that was
# disconnected for longer learns of it from the list or from the server.
REPORT_S: Final = 10.0

# When the server started, Unix milliseconds, and the revision.
Departure = tuple[int, int]


class Departures:
    """Departures of servers that one entry VM knows of."""

    __slots__ = ('_changed_at', '_ready_entries', '_states')

    def __init__(self) -> None:
        # By server; the one that changed last is at the end.
        self._states: dict[str, Departure] = {}
        # When the state of each server last changed here, seconds.
        self._changed_at: dict[str, float] = {}
        # For each leaving server, the number of entries with state ready, and
        # when the last one was counted, seconds.
        self._ready_entries: dict[str, tuple[int, float]] = {}

    def is_leaving(self, server: str, started_at: int) -> bool:
        """Whether an incarnation of a server leaves; safe from any thread."""
        return self.revision(server, started_at) % 2 == 1

    def revision(self, server: str, started_at: int) -> int:
        """Returns the revision of an incarnation; 0 if none is known."""
        state = self._states.get(server)
        return state[1] if state is not None and state[0] >= started_at else 0

    def record_leaving(self, now: float, server: str, started_at: int) -> bool:
        """Records that an incarnation of a server leaves.

        Returns:
            Whether that is a change.
        """
        self._ready_entries.pop(server, None)
        state = self._states.get(server)
        if state is not None and state[0] > started_at:
            return False
        if state is None or state[0] < started_at:
            self._put(now, server, (started_at, 1))
            return True
        if state[1] % 2 == 1:
            return False
        self._put(now, server, (started_at, state[1] + 1))
        return True

    def record_withdrawal(
        self, now: float, server: str, started_at: int
    ) -> bool:
        """Records that an incarnation of a server no longer leaves.

        Returns:
            Whether that is a change.
        """
        state = self._states.get(server)
        if state is None or state[0] != started_at or state[1] % 2 == 0:
            return False
        self._put(now, server, (started_at, state[1] + 1))
        return True

    def count_ready_entry(
        self, now: float, server: str, started_at: int
    ) -> bool:
        """Counts an entry with state ready that was read from the store.

        Returns:
            Whether that withdraws the server's departure.
        """
        if not self.is_leaving(server, started_at):
            return False
        count, last_at = self._ready_entries.get(server, (0, now))
        if count and now - last_at < MIN_ENTRY_INTERVAL_S:
            return False
        self._ready_entries[server] = (count + 1, now)
        return count + 1 >= WITHDRAWAL_ENTRIES and self.record_withdrawal(
            now, server, started_at
        )

    def merge(self, now: float, states: Mapping[str, Departure]) -> list[str]:
        """Merges the states that another entry VM reports.

        Returns:
            The servers whose state changed.
        """
        newer = [
            server
            for server, state in states.items()
            if tuple(state) > self._states.get(server, (-1, 0))
        ]
        for server in newer:
            self._put(now, server, (states[server][0], states[server][1]))
        return newer

    def state(self, server: str) -> Departure:
        """Returns the state of a server.

        Raises:
            KeyError: No state of the server is known.
        """
        return self._states[server]

    def all_states(self) -> dict[str, Departure]:
        """Returns the states of all servers, for an entry VM that starts."""
        return dict(self._states)

    def recent_changes(self, now: float) -> dict[str, Departure]:
        """Returns the states that changed in the last `REPORT_S` seconds."""
        recent: dict[str, Departure] = {}
        for server, changed_at in reversed(self._changed_at.items()):
            if now - changed_at >= REPORT_S:
                break
            recent[server] = self._states[server]
        return recent

    def _put(self, now: float, server: str, state: Departure) -> None:
        for table in (self._states, self._changed_at, self._ready_entries):
            table.pop(server, None)
        self._states[server] = state
        self._changed_at[server] = now
        if len(self._states) > MAX_SERVERS:
            oldest = next(iter(self._states))
            del self._states[oldest]
            del self._changed_at[oldest]
            self._ready_entries.pop(oldest, None)
