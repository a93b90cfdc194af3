"""Detects callers that disconnect, also while nothing is sent to them.

TCP distinguishes a closed connection from a half-closed one only in part. A
reset means that the caller disconnected. A FIN may mean `close` (the caller no
longer reads) or `shutdown` of its sending side alone (the caller still waits
for its response). Both look the same until something is sent; the host of a
closed caller then responds with a reset. So after a FIN the watcher sends a
probe, bytes that a reading caller must skip, and further probes while the
caller still waits. A closed caller is thus detected one round trip after its
FIN. A caller that disappears without a FIN is detected by TCP keepalive.

Without this, a slot of an engine would stay occupied for a caller that has
disconnected.
"""

from collections.abc import Callable
import math
import select
import socket
import threading
import time
from typing import Final

from foxtaildale import ports
from foxtaildale_adapters import wakes

# Time between probes of a caller that sent a FIN, seconds.
PROBE_INTERVAL_S: Final = 1.0
# TCP keepalive: idle time and time between probes, both in seconds, and number
# of probes.
_KEEPALIVE: Final = (10, 5, 3)


def enable_keepalive(sock: socket.socket) -> None:
    """Enables TCP keepalive, to detect a caller lost without a FIN."""
    idle_s, between_s, count = _KEEPALIVE
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, between_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, count)


def poll_state(sock: socket.socket | int) -> tuple[bool, bool]:
    """Returns whether a socket was reset, and whether a FIN was received."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
    except ValueError:
        # The socket was closed on this side.
        return True, True
    events = poll.poll(0)
    if not events:
        return False, False
    flags = events[0][1]
    reset = bool(flags & (select.POLLERR | select.POLLHUP | select.POLLNVAL))
    return reset, bool(flags & select.POLLRDHUP)


def has_input(sock: socket.socket, timeout_s: float = 0.0) -> bool:
    """Waits until bytes or a FIN arrive, or the socket is reset.

    Args:
        sock: The socket.
        timeout_s: How long to wait, seconds.

    Returns:
        False if nothing came in time.
    """
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(max(0, math.ceil(timeout_s * 1000))))


def is_writable(sock: socket.socket) -> bool:
    """Returns whether a few bytes can be sent without blocking."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return bool(poll.poll(0))


class _WatchedConnection:
    """One watched connection."""

    __slots__ = ('callback', 'fin', 'probe')

    def __init__(
        self, probe: Callable[[], bool], callback: Callable[[], None]
    ) -> None:
        # Sends bytes that a reading caller skips; returns False if sending
        # failed.
        self.probe = probe
        self.callback = callback
        # Whether a FIN was received.
        self.fin = False


class Watcher:
    """One thread that watches every connection of a server.

    Args:
        clock: Monotonic seconds.
        on_error: Called with an exception raised by a callback.
    """

    __slots__ = (
        '_clock',
        '_closing',
        '_epoll',
        '_lock',
        '_on_error',
        '_thread',
        '_wakeup',
        '_watched',
    )

    def __init__(
        self,
        on_error: Callable[[Exception], None],
        clock: ports.Clock = time.monotonic,
    ) -> None:
        self._clock = clock
        self._on_error = on_error
        self._closing = False
        # Guards `_watched`, since a descriptor may be closed and reused for
        # another connection.
        self._lock = threading.Lock()
        self._watched: dict[int, _WatchedConnection] = {}
        self._epoll = select.epoll()
        self._wakeup = wakes.WakeEvent()
        self._epoll.register(self._wakeup.fileno(), select.EPOLLIN)
        self._thread = threading.Thread(
            target=self._run, name='hangups', daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the thread; no callback is called after this."""
        with self._lock:
            # Handlers that run longer than the server still call `remove`.
            self._watched.clear()
            self._closing = True
        self._wakeup.set()
        self._thread.join()
        self._epoll.close()
        self._wakeup.close()

    def add(
        self,
        fd: int,
        probe: Callable[[], bool],
        callback: Callable[[], None],
    ) -> None:
        """Calls `callback` once when the caller on `fd` has disconnected."""
        with self._lock:
            if self._closing:
                return
            self._watched[fd] = _WatchedConnection(probe, callback)
            # Edge-triggered, so that a FIN is reported only once.
            self._epoll.register(fd, select.EPOLLRDHUP | select.EPOLLET)

    def remove(self, fd: int) -> None:
        """Stops watching `fd`; must be called before `fd` is closed."""
        with self._lock:
            if self._watched.pop(fd, None) is not None:
                self._epoll.unregister(fd)

    def _run(self) -> None:
        next_probe = self._clock() + PROBE_INTERVAL_S
        while not self._closing:
            wait_s = max(0.0, next_probe - self._clock())
            for fd, _ in self._epoll.poll(wait_s):
                if fd == self._wakeup.fileno():
                    self._wakeup.clear()
                else:
                    self._handle_event(fd)
            if self._clock() >= next_probe:
                self._probe_all()
                next_probe = self._clock() + PROBE_INTERVAL_S

    def _handle_event(self, fd: int) -> None:
        with self._lock:
            watched = self._watched.get(fd)
            if watched is None:
                return
            # The event may belong to an earlier connection with the same
            # descriptor, so the state is polled again.
            reset, fin = poll_state(fd)
        if reset:
            self._report_disconnect(fd, watched)
        elif fin:
            watched.fin = True
            self._probe(fd, watched)

    def _probe_all(self) -> None:
        with self._lock:
            half_closed = [
                (fd, watched)
                for fd, watched in self._watched.items()
                if watched.fin
            ]
        for fd, watched in half_closed:
            self._probe(fd, watched)

    def _probe(self, fd: int, watched: _WatchedConnection) -> None:
        if not watched.probe():
            self._report_disconnect(fd, watched)

    def _report_disconnect(self, fd: int, watched: _WatchedConnection) -> None:
        with self._lock:
            if self._watched.get(fd) is not watched:
                return
            del self._watched[fd]
            self._epoll.unregister(fd)
        try:
            watched.callback()
        except Exception as exc:
            # A failing callback must not stop the thread, which watches all
            # other callers.
            self._on_error(exc)
