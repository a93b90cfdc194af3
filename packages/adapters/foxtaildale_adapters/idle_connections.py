"""Idle connections to backend servers, for reuse by later requests.

A new connection briefly occupies a slot of the engine and costs the caller a
round trip; on a small site half of all sends can reuse a connection. Reuse has
two risks, and both are limited. The server closes idle connections, so a
connection is reused only well within the server's idle timeout. Bytes that the
server sends after a response would be taken for the next response, so a
connection is reused only after a minimum idle time, and closed if it received
anything. A connection may still close or stop responding just when it is
reused. This delays a request that may be sent again. A request that must not be
sent twice therefore never reuses a connection. A server may also send a second
response long after the first one. Its attempt id tells it from the response to
another attempt, so that an attempt reuses no connection that carried it.
"""

import contextlib
import math
import select
import threading
from typing import Final

import urllib3.connection

from foxtaildale import ports

# Minimum and maximum idle time of a connection that is reused, seconds. Surplus
# bytes after a response arrive within some milliseconds of it.
MIN_IDLE_S: Final = 0.03
MAX_IDLE_S: Final = 3.0
# Fraction of the idle timeout reported by a server in which a connection is
# reused.
IDLE_TIMEOUT_FRACTION: Final = 0.5
# Maximum number of idle connections to one address. All entry VMs share the
# connections that a server accepts, and a request without an idle connection
# opens a new one.
MAX_CONNECTIONS_PER_ADDRESS: Final = 4
# Maximum number of addresses with idle connections; the least recently used
# address is evicted.
MAX_ADDRESSES: Final = 256


class IdleConnection:
    """A connection that waits for reuse."""

    __slots__ = ('attempts', 'conn', 'idle_since', 'opened_at', 'usable_until')

    def __init__(
        self,
        conn: urllib3.connection.HTTPConnection,
        attempts: frozenset[str],
        opened_at: float,
        idle_since: float,
        usable_until: float,
    ) -> None:
        self.conn = conn
        self.opened_at = opened_at
        # Ids of the attempts that it carried.
        self.attempts = attempts
        self.idle_since = idle_since
        self.usable_until = usable_until


class IdleConnections:
    """Idle connections by address; safe for concurrent use."""

    __slots__ = ('_clock', '_idle', '_lock')

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # By address; each list is sorted by `idle_since`.
        self._idle: dict[str, list[IdleConnection]] = {}

    def pop(
        self,
        address: str,
        attempt: str = '',
        *,
        opened_before: float = math.inf,
    ) -> IdleConnection | None:
        """Removes and returns a reusable connection; None if there is none.

        Args:
            address: Address of the server.
            attempt: Id of the attempt; empty if its response names none.
            opened_before: Latest time at which it was opened, seconds.
        """
        now = self._clock()
        with self._lock:
            entries = self._idle.get(address, [])
            candidates = [
                entry
                for entry in entries
                if now - entry.idle_since >= MIN_IDLE_S
                and attempt not in entry.attempts
                and entry.opened_at <= opened_before
            ]
            self._idle[address] = [
                entry for entry in entries if entry not in candidates
            ]
        reusable = None
        # The connection with the shortest idle time is the least likely to be
        # closed.
        for entry in reversed(candidates):
            if (
                reusable is None
                and now < entry.usable_until
                and is_quiet(entry.conn)
            ):
                reusable = entry
            elif now >= entry.usable_until or reusable is None:
                entry.conn.close()
            else:
                self._add(address, entry)
        return reusable

    def add(
        self,
        address: str,
        conn: urllib3.connection.HTTPConnection,
        server_timeout_s: float | None,
        attempts: frozenset[str] = frozenset(),
        opened_at: float = math.inf,
    ) -> None:
        """Stores an idle connection, or closes it if the address has enough.

        Args:
            address: Address of the server.
            conn: Connection whose last response was read completely.
            server_timeout_s: Idle timeout that the server reported, seconds;
                None if it reported none.
            attempts: Ids of the attempts that the connection carried.
            opened_at: When it was opened, seconds; infinite if not known.
        """
        now = self._clock()
        max_idle_s = (
            MAX_IDLE_S
            if server_timeout_s is None
            else min(MAX_IDLE_S, IDLE_TIMEOUT_FRACTION * server_timeout_s)
        )
        entry = IdleConnection(conn, attempts, opened_at, now, now + max_idle_s)
        self._add(address, entry)

    def put_back(self, address: str, entry: IdleConnection) -> None:
        """Stores an idle connection that was not used after all."""
        self._add(address, entry)

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            evicted = [
                entry for entries in self._idle.values() for entry in entries
            ]
            self._idle.clear()
        for entry in evicted:
            entry.conn.close()

    def _add(self, address: str, entry: IdleConnection) -> None:
        with self._lock:
            entries = self._idle.pop(address, [])
            entries.append(entry)
            entries.sort(key=lambda item: item.idle_since)
            evicted = entries[:-MAX_CONNECTIONS_PER_ADDRESS]
            self._idle[address] = entries[-MAX_CONNECTIONS_PER_ADDRESS:]
            if len(self._idle) > MAX_ADDRESSES:
                evicted += self._idle.pop(next(iter(self._idle)))
        for item in evicted:
            item.conn.close()


def is_quiet(conn: urllib3.connection.HTTPConnection) -> bool:
    """Returns whether the server neither sent data nor closed."""
    if conn.sock is None:
        return False
    poll = select.poll()
    with contextlib.suppress(OSError, ValueError):
        poll.register(conn.sock, select.POLLIN)
        return not poll.poll(0)
    return False
