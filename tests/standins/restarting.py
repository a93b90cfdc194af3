"""A backend server without framing that ends and is back at its address.

Its responses have neither a length nor chunks. An ending server closes its
listener and all its connections, without a reset, as a killed process does.
"""

import contextlib
import socket
import threading
from typing import Final

from tests.standins import relay

_HEAD: Final = (
    b'HTTP/1.1 200 OK\r\nFoxtaildale-Attempt-Id: %b\r\n'
    b'Foxtaildale-Response-Stamp: s.%b\r\n%b\r\n'
)
_EVENT_STREAM: Final = b'Content-Type: text/event-stream\r\n'
_HOLD: Final = b'{"hold":"h1"}'
_CONTROL: Final = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
_ATTEMPT: Final = b'foxtaildale-attempt-id: '


class RestartingServer:
    """Sends the parts of each body; restarts behind a part if that is set."""

    def __init__(
        self, parts: tuple[bytes, ...], *, is_stream: bool = False
    ) -> None:
        self._parts = parts
        self._is_stream = is_stream
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        # Number of parts of the next response behind which the server restarts;
        # None if it goes on.
        self.restart_after: int | None = None
        self.restarts = 0
        # Number of connections, control calls and other requests that came.
        self.accepted = 0
        self.control_calls = 0
        self.requests = 0
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._threads: list[threading.Thread] = []
        self._start(self._accept, self._listener)

    def close(self) -> None:
        """Ends the server for good."""
        self._close_listener()
        with self._lock:
            ended, self._open = self._open, set()
        _close_all(ended)
        for thread in list(self._threads):
            thread.join()

    def restart(self) -> None:
        """Ends the server; it is back before its clients see the end."""
        with self._lock:
            ended, self._open = self._open, set()
        self._close_listener()
        self.restarts += 1
        self._listener = relay.listen_again(self.address)
        self._start(self._accept, self._listener)
        _close_all(ended)

    def _close_listener(self) -> None:
        # Wakes the thread that waits for a connection.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _start(self, target: object, *args: object) -> None:
        assert callable(target)
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            with self._lock:
                self._open.add(sock)
                self.accepted += 1
            self._start(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            while (head := _read_head(sock)) is not None:
                if sock not in self._open:
                    # The process that it belonged to has ended.
                    break
                if b' /api/' in head.partition(b'\r\n')[0]:
                    self.control_calls += 1
                    sock.sendall(_CONTROL % (len(_HOLD), _HOLD))
                    continue
                self.requests += 1
                self._respond(sock, head)
                break
        with self._lock:
            self._open.discard(sock)

    def _respond(self, sock: socket.socket, head: bytes) -> None:
        attempts = [
            line.partition(b': ')[2]
            for line in head.split(b'\r\n')
            if line.lower().startswith(_ATTEMPT)
        ]
        attempt = attempts[0] if attempts else b'-'
        kind = _EVENT_STREAM if self._is_stream else b''
        sock.sendall(_HEAD % (attempt, attempt, kind))
        restart_after, self.restart_after = self.restart_after, None
        for number, part in enumerate(self._parts):
            if number == restart_after:
                self.restart()
                return
            sock.sendall(part)


def _close_all(socks: set[socket.socket]) -> None:
    for sock in socks:
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


def _read_head(sock: socket.socket) -> bytes | None:
    """Reads a request without a body; None if the connection ended."""
    head = b''
    while b'\r\n\r\n' not in head:
        data = sock.recv(65536)
        if not data:
            return None
        head += data
    return head
