"""Connections to backend servers that served a request and may serve another.

Connecting costs an engine a slot for a moment and the caller a round trip; on a
small site half of all sends can do without. What a kept connection may bring is
kept small: the other side closes idle ones, so a connection rests for less than
its timeout; bytes that follow an answer would pass for the next one, so it rests
for a moment first and is dropped if anything came. What remains, one that falls
silent or closes just then, costs a request that may be sent again a moment, and
no other may use one.
"""

import contextlib
import select
import threading
from typing import Final

import urllib3.connection

from foxtaildale import ports

# Time for which a connection must have rested, and may at most, seconds. Late
# bytes behind an answer come within some milliseconds of it.
REST_S: Final = 0.03
MOST_S: Final = 3.0
# Part of the idle timeout that a server tells in which a connection is used.
TOLD_PART: Final = 0.5
# Connections kept for one address: what a server accepts is shared by all entry
# VMs, and a request that finds none opens one.
MOST_EACH: Final = 4
# Addresses remembered; those used last.
MOST_ADDRESSES: Final = 256


class _Kept:
    __slots__ = ('conn', 'since', 'until')

    def __init__(
        self,
        conn: urllib3.connection.HTTPConnection,
        since: float,
        until: float,
    ) -> None:
        self.conn = conn
        self.since = since
        self.until = until


class Idle:
    """Idle connections by address; safe for concurrent use."""

    __slots__ = ('_clock', '_kept', '_lock')

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # Those that rested least at the end.
        self._kept: dict[str, list[_Kept]] = {}

    def take(self, address: str) -> urllib3.connection.HTTPConnection | None:
        """Returns a connection that may serve a request; None if none may."""
        now = self._clock()
        with self._lock:
            known = self._kept.get(address, [])
            rested = [kept for kept in known if now - kept.since >= REST_S]
            fresh = [kept for kept in known if now - kept.since < REST_S]
            self._kept[address] = fresh
        found = None
        # The one that rested least was last seen alive.
        for kept in reversed(rested):
            if found is None and now < kept.until and _is_quiet(kept.conn):
                found = kept
            elif now >= kept.until or found is None:
                kept.conn.close()
            else:
                self._put_back(address, kept)
        return found.conn if found is not None else None

    def put(
        self,
        address: str,
        conn: urllib3.connection.HTTPConnection,
        told_s: float | None,
    ) -> None:
        """Keeps a connection, or closes it if there are enough.

        Args:
            address: Of the server.
            conn: A connection on which an answer was read to its end.
            told_s: For how long the server keeps it, seconds; None if that
                is not known.
        """
        now = self._clock()
        span_s = MOST_S if told_s is None else min(MOST_S, TOLD_PART * told_s)
        self._put_back(address, _Kept(conn, now, now + span_s))

    def close(self) -> None:
        """Closes all."""
        with self._lock:
            dropped = [kept for known in self._kept.values() for kept in known]
            self._kept.clear()
        for kept in dropped:
            kept.conn.close()

    def _put_back(self, address: str, kept: _Kept) -> None:
        with self._lock:
            known = self._kept.pop(address, [])
            known.append(kept)
            known.sort(key=lambda item: item.since)
            dropped = known[:-MOST_EACH]
            self._kept[address] = known[-MOST_EACH:]
            if len(self._kept) > MOST_ADDRESSES:
                dropped += self._kept.pop(next(iter(self._kept)))
        for item in dropped:
            item.conn.close()


def _is_quiet(conn: urllib3.connection.HTTPConnection) -> bool:
    """Whether the other side neither sent anything nor closed."""
    if conn.sock is None:
        return False
    poll = select.poll()
    with contextlib.suppress(OSError, ValueError):
        poll.register(conn.sock, select.POLLIN)
        return not poll.poll(0)
    return False
