"""A TCP relay in a thread, with switches for what networks do.

`cut` closes every connection and accepts no new ones. `reset` resets the open
ones towards those who opened them. `silence` forgets the
connections that are open: they stay open, and what comes on them is thrown
away, while new ones work. `delay_s` holds up each block of bytes. `stop` ends it
as the end of a process does, `start` listens at the same address again.
"""

import contextlib
import socket
import struct
import threading
import time
from typing import Final

_BLOCK: Final = 65536
# Value of SO_LINGER with which a close sends a reset.
_RESET: Final = struct.pack('ii', 1, 0)


class Relay:
    """Passes connections on to a target address; a context manager."""

    __slots__ = (
        '_closed',
        '_conns',
        '_listener',
        '_lock',
        '_reset',
        '_silent',
        'accepted',
        'address',
        'cut_off',
        'delay_s',
        'target',
    )

    def __init__(self, target: str) -> None:
        # 'IP:PORT' to which new connections are passed on.
        self.target = target
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self._lock = threading.Lock()
        self._closed = False
        # Both sockets of each connection.
        self._conns: list[tuple[socket.socket, socket.socket]] = []
        self._silent: set[socket.socket] = set()
        # Near ends that are closed with a reset.
        self._reset: set[socket.socket] = set()
        self.accepted = 0
        self.cut_off = False
        self.delay_s = 0.0
        self._accept_from(self._listener)

    def __enter__(self) -> 'Relay':
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def cut(self) -> None:
        """Closes every connection, and new ones as they come."""
        self.cut_off = True
        self._drop_all()

    def mend(self) -> None:
        """Lets new connections through again, and undoes the delay."""
        self.cut_off = False
        self.delay_s = 0.0

    def reset(self) -> None:
        """Resets every connection that is open."""
        with self._lock:
            pairs, self._conns = self._conns, []
        for near, far in pairs:
            # The threads that pass bytes hold the sockets open until they end;
            # only the far end is told with a close.
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._reset.add(near)
            with contextlib.suppress(OSError):
                far.shutdown(socket.SHUT_RDWR)

    def silence(self) -> None:
        """Forgets the open connections without closing them."""
        with self._lock:
            for pair in self._conns:
                self._silent.update(pair)

    def stop(self) -> None:
        """Closes every connection and the port; new ones are refused."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._drop_all()

    def restart(self) -> None:
        """Closes all; it listens again before its clients see the end."""
        # Another thread may have stopped it, or restart it too.
        with self._lock:
            if self._listener.fileno() < 0:
                return
            pairs, self._conns = self._conns, []
            for pair in pairs:
                # Nothing passes any more, in whatever order they are closed.
                self._silent.update(pair)
            with contextlib.suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            self._listener = listen_again(self.address)
        self._accept_from(self._listener)
        for pair in pairs:
            _shut(pair)

    def start(self) -> None:
        """Listens again."""
        if self._closed or self._listener.fileno() >= 0:
            return
        host, _, port = self.address.rpartition(':')
        self._listener = socket.create_server((host, int(port)))
        self._accept_from(self._listener)

    def close(self) -> None:
        """Ends the relay."""
        self._closed = True
        self.stop()

    def _accept_from(self, listener: socket.socket) -> None:
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def _drop_all(self) -> None:
        with self._lock:
            pairs, self._conns = self._conns, []
            self._silent.clear()
        for pair in pairs:
            _shut(pair)

    def _accept(self, listener: socket.socket) -> None:
        while not self._closed:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            self.accepted += 1
            if self.cut_off:
                near.close()
                continue
            try:
                host, _, port = self.target.rpartition(':')
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                continue
            with self._lock:
                self._conns.append((near, far))
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass, args=(source, sink), daemon=True
                ).start()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(_BLOCK):
                if self.delay_s:
                    time.sleep(self.delay_s)
                if source not in self._silent:
                    sink.sendall(data)
        if sink in self._reset:
            # The other thread may still read from it.
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_RD)
            sink.close()
        elif source not in self._silent and source not in self._reset:
            _shut((source, sink))


def listen_again(address: str) -> socket.socket:
    """Listens at an address whose listener was just closed."""
    host, _, port = address.rpartition(':')
    end = time.monotonic() + 1.0
    while True:
        try:
            return socket.create_server((host, int(port)))
        except OSError:
            # The thread that accepted has not returned yet.
            if time.monotonic() > end:
                raise
            time.sleep(0.001)


def _shut(pair: tuple[socket.socket, socket.socket]) -> None:
    for conn in pair:
        with contextlib.suppress(OSError):
            conn.shutdown(socket.SHUT_RDWR)
