"""HTTP/1.1 on plain sockets, for stand-ins that misbehave on purpose."""

from collections.abc import Callable
import contextlib
import json
import socket
import struct
import threading
from typing import Any

# Closes a connection with a reset.
_ABORT = struct.pack('ii', 1, 0)
_READ_BYTES = 65_536


class Request:
    """One request, with header names in lower case."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.path, _, query = target.partition('?')
        self.query = dict(
            part.split('=', 1) for part in query.split('&') if '=' in part
        )


class Connection:
    """One connection, from either side."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._buffer = b''

    def send(self, data: bytes) -> None:
        """Sends bytes."""
        self.sock.sendall(data)

    def reset(self) -> None:
        """Closes the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
        self.sock.close()

    def close(self) -> None:
        """Closes the connection."""
        self.sock.close()

    def is_closed_by_peer(self) -> bool:
        """Whether the other side has closed or reset the connection."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return not self.sock.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def respond(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> None:
        """Sends a complete response with a length."""
        self.send(
            head(status, {'Content-Length': str(len(body))} | (headers or {}))
            + body
        )

    def respond_json(self, status: int, value: object) -> None:
        """Sends a complete response with a JSON body."""
        self.respond(
            status,
            json.dumps(value).encode(),
            {'Content-Type': 'application/json'},
        )

    def read_until(self, mark: bytes) -> bytes:
        """Returns the bytes up to and with a mark.

        Raises:
            ConnectionError: The connection ended before.
        """
        while mark not in self._buffer:
            self._fill()
        found, _, self._buffer = self._buffer.partition(mark)
        return found + mark

    def read_exactly(self, size: int) -> bytes:
        """Returns a number of bytes.

        Raises:
            ConnectionError: The connection ended before.
        """
        while len(self._buffer) < size:
            self._fill()
        found, self._buffer = self._buffer[:size], self._buffer[size:]
        return found

    def read_head(self) -> tuple[str, dict[str, str]]:
        """Returns the first line and the headers of a message."""
        lines = self.read_until(b'\r\n\r\n').decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def read_chunk(self) -> bytes:
        """Returns a chunk of a body; empty at the regular end."""
        size = int(self.read_until(b'\r\n').split(b';')[0], 16)
        data = self.read_exactly(size)
        self.read_until(b'\r\n')
        return data

    def read_request(self) -> Request | None:
        """Returns the next request; None if the connection ended."""
        try:
            first, headers = self.read_head()
            method, target, _ = first.split(' ')
            body = b''
            if headers.get('transfer-encoding', '').lower() == 'chunked':
                while chunk := self.read_chunk():
                    body += chunk
            else:
                body = self.read_exactly(int(headers.get('content-length', 0)))
        except (OSError, ValueError):
            return None
        return Request(method, target, headers, body)

    def _fill(self) -> None:
        data = self.sock.recv(_READ_BYTES)
        if not data:
            raise ConnectionError('closed')
        self._buffer += data


Handler = Callable[[Connection, Request], None]


class Server:
    """Accepts connections; each is served by a thread of its own."""

    def __init__(self, handler: Handler, host: str = '127.0.0.1') -> None:
        self._handler = handler
        self._listener = socket.create_server((host, 0), backlog=512)
        bound = self._listener.getsockname()
        self.address = f'{bound[0]}:{bound[1]}'
        self._lock = threading.Lock()
        self._open: set[Connection] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stops listening and closes all connections, as a process end does."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            conns = list(self._open)
        for conn in conns:
            with contextlib.suppress(OSError):
                conn.sock.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn = Connection(sock)
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn: Connection) -> None:
        with self._lock:
            self._open.add(conn)
        try:
            while (req := conn.read_request()) is not None:
                self._handler(conn, req)
        except OSError:
            pass  # The other side has gone.
        finally:
            with self._lock:
                self._open.discard(conn)
            conn.close()


def connect(address: str, timeout_s: float) -> Connection:
    """Opens a connection to 'IP:PORT'."""
    host, _, port = address.rpartition(':')
    sock = socket.create_connection((host, int(port)), timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(sock)


def head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of a response."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def encode_request(
    method: str, target: str, headers: dict[str, Any], body: bytes = b''
) -> bytes:
    """Returns a request with a length."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body
