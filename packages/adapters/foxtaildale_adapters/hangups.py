"""Notices callers that hang up, also while nothing is sent to them.

TCP tells a closed connection from a half-closed one only in part. A reset is
plain: the caller is gone. A FIN may mean `close` (nobody listens any more) or
`shutdown` of the sending side alone (the caller still waits for its answer),
and both look the same until something is sent: then a closed caller's system
answers with a reset. So a FIN is followed by a probe, bytes that a listening
caller must skip, and by more probes while it goes on waiting. A closed caller
is thus noticed one round trip after its FIN. One that vanishes without a FIN
is noticed by TCP keepalive.

Without this an engine's slot would stay held for a caller that nobody serves.
"""

from collections.abc import Callable
import select
import socket
import threading
import time
from typing import Final

from foxtaildale import ports
from foxtaildale_adapters import wakes

# Time between probes of a caller that sent a FIN, seconds.
PROBE_S: Final = 1.0
# TCP keepalive: idle time, time between probes (both seconds), and probes.
_KEEPALIVE: Final = (10, 5, 3)


def keep_alive(sock: socket.socket) -> None:
    """Lets the kernel notice a caller that vanished without a FIN."""
    idle_s, between_s, count = _KEEPALIVE
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, idle_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, between_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, count)


def look(sock: socket.socket | int) -> tuple[bool, bool]:
    """Returns whether a socket was reset, and whether a FIN came."""
    poll = select.poll()
    try:
        poll.register(sock, select.POLLRDHUP)
    except ValueError:
        # Closed on this side.
        return True, True
    events = poll.poll(0)
    if not events:
        return False, False
    flags = events[0][1]
    reset = bool(flags & (select.POLLERR | select.POLLHUP | select.POLLNVAL))
    return reset, bool(flags & select.POLLRDHUP)


def writable(sock: socket.socket) -> bool:
    """Whether a few bytes can be sent without waiting."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT)
    return bool(poll.poll(0))


class _Watched:
    """One connection under watch."""

    __slots__ = ('callback', 'fin', 'probe')

    def __init__(
        self, probe: Callable[[], bool], callback: Callable[[], None]
    ) -> None:
        # Sends bytes that a listening caller skips; False if it can't.
        self.probe = probe
        self.callback = callback
        self.fin = False


class Watcher:
    """One thread that watches every connection of a server.

    Args:
        clock: Monotonic seconds.
        on_error: Called with what a callback raised.
    """

    __slots__ = (
        '_clock',
        '_closing',
        '_epoll',
        '_lock',
        '_on_error',
        '_thread',
        '_wake',
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
        # Guards the table against a descriptor that is closed and used anew.
        self._lock = threading.Lock()
        self._watched: dict[int, _Watched] = {}
        self._epoll = select.epoll()
        self._wake = wakes.Wake()
        self._epoll.register(self._wake.fileno(), select.EPOLLIN)
        self._thread = threading.Thread(
            target=self._run, name='hangups', daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Ends the thread; nothing is called back after this."""
        with self._lock:
            # Handlers that outlive the server still call `remove`.
            self._watched.clear()
            self._closing = True
        self._wake.set()
        self._thread.join()
        self._epoll.close()
        self._wake.close()

    def add(
        self,
        fd: int,
        probe: Callable[[], bool],
        callback: Callable[[], None],
    ) -> None:
        """Calls back once when the caller behind `fd` is gone."""
        with self._lock:
            if self._closing:
                return
            self._watched[fd] = _Watched(probe, callback)
            # Edge-triggered: a FIN that stays is reported once.
            self._epoll.register(fd, select.EPOLLRDHUP | select.EPOLLET)

    def remove(self, fd: int) -> None:
        """Ends a watch; call it before the descriptor is closed."""
        with self._lock:
            if self._watched.pop(fd, None) is not None:
                self._epoll.unregister(fd)

    def _run(self) -> None:
        next_probe = self._clock() + PROBE_S
        while not self._closing:
            wait_s = max(0.0, next_probe - self._clock())
            for fd, _ in self._epoll.poll(wait_s):
                if fd == self._wake.fileno():
                    self._wake.clear()
                else:
                    self._notice(fd)
            if self._clock() >= next_probe:
                self._probe_all()
                next_probe = self._clock() + PROBE_S

    def _notice(self, fd: int) -> None:
        with self._lock:
            watched = self._watched.get(fd)
            if watched is None:
                return
            # The event may be of a connection that had the descriptor before.
            reset, fin = look(fd)
        if reset:
            self._end(fd, watched)
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

    def _probe(self, fd: int, watched: _Watched) -> None:
        if not watched.probe():
            self._end(fd, watched)

    def _end(self, fd: int, watched: _Watched) -> None:
        with self._lock:
            if self._watched.get(fd) is not watched:
                return
            del self._watched[fd]
            self._epoll.unregister(fd)
        try:
            watched.callback()
        except Exception as exc:
            # One bad callback must not leave all other callers unwatched.
            self._on_error(exc)
