"""The body of a streamed response, read block by block.

The first block is read through `urllib3`, which may have buffered bytes that
arrived with the headers. If the body ends when its connection closes, all
further blocks are received from the socket directly, with one system call
each: the layers of the library and its separate wait for the timeout cost more
than all other work for a token.
"""

import os
import socket
import struct
import threading
from typing import Final

import urllib3

from foxtaildale import errors
from foxtaildale_adapters import http_client

# Maximum size of a block received from the socket, bytes.
_BLOCK_BYTES: Final = 65536
# Headers of a body whose end is not marked by the end of its connection.
_FRAMING_HEADERS: Final = (
    'transfer-encoding',
    'content-length',
    'content-encoding',
)


class Body:
    """Blocks of one response body; `close` may be called from any thread."""

    __slots__ = (
        '_closed',
        '_framed',
        '_lock',
        '_reading',
        '_resp',
        '_silence_s',
        '_sock',
    )

    def __init__(
        self, resp: urllib3.BaseHTTPResponse, silence_s: float
    ) -> None:
        self._resp = resp
        self._silence_s = silence_s
        self._framed = any(name in resp.headers for name in _FRAMING_HEADERS)
        # A duplicate descriptor of the connection; set after the first block.
        self._sock: socket.socket | None = None
        # A descriptor that is closed while another thread receives on it may
        # be reused for another stream, and that thread would read the other
        # stream's response. So while a read is in progress, the reading thread
        # closes the descriptor itself.
        self._lock = threading.Lock()
        self._reading = False
        self._closed = False

    def read(self) -> bytes:
        """Waits for a block; empty at the end of the body.

        Raises:
            errors.NoReplyError: The connection broke, was closed by `close`,
                or was silent for too long.
        """
        with self._lock:
            if self._closed:
                raise errors.NoReplyError('closed')
            self._reading = True
        try:
            if self._sock is not None:
                return self._receive(self._sock)
            block = http_client.read_chunk(self._resp)
            if block and not self._framed:
                self._sock = self._duplicate_socket()
            return block
        finally:
            self.release_socket()

    def acquire_socket(self) -> socket.socket | None:
        """Passes the socket to an external reader, until `release_socket`.

        Returns None if the library may hold buffered bytes, or if the body is
        closed.
        """
        with self._lock:
            if self._sock is None or self._closed:
                return None
            self._reading = True
            return self._sock

    def release_socket(self) -> None:
        """Ends a read of the socket, and closes it if `close` was called."""
        with self._lock:
            self._reading = False
            if self._closed:
                self._release()

    def close(self) -> None:
        """Closes the connection and wakes a thread that reads from it."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
            try:
                if self._sock is not None:
                    self._sock.shutdown(socket.SHUT_RDWR)
                else:
                    self._resp.shutdown()
            except (OSError, RuntimeError, ValueError):
                pass  # The peer closed the connection first.
            if not self._reading:
                self._release()

    def _receive(self, sock: socket.socket) -> bytes:
        try:
            return sock.recv(_BLOCK_BYTES)
        except BlockingIOError as exc:
            raise http_client.ResponseTimeoutError('no data in time') from exc
        except OSError as exc:
            raise errors.NoReplyError(str(exc)) from exc

    def _duplicate_socket(self) -> socket.socket | None:
        try:
            sock = socket.socket(fileno=os.dup(self._resp.fileno()))
        except OSError:
            return None
        sock.settimeout(None)
        seconds, fraction = divmod(self._silence_s, 1.0)
        timeout = struct.pack('ll', int(seconds), max(1, int(fraction * 1e6)))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeout)
        return sock

    def _release(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._resp.close()
