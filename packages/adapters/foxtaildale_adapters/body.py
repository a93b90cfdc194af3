"""The body of a long answer, read block by block as it comes.

The first block is read through `urllib3`, which may hold bytes that came with
the head. Where the body ends with its connection, all further ones are received
from the socket itself, in one system call each: the library's layers and its
separate wait for the timeout cost more than all the rest of a token.
"""

import os
import socket
import struct
import threading
from typing import Final

import urllib3

from foxtaildale import errors
from foxtaildale_adapters import exchange

_BLOCK: Final = 65536
# Headers of a body that does not simply end with its connection.
_FRAMED: Final = ('transfer-encoding', 'content-length', 'content-encoding')


class Body:
    """Blocks of one body; `close` may be called from any thread."""

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
        self._framed = any(name in resp.headers for name in _FRAMED)
        # A second handle of the connection, once the first block was read.
        self._sock: socket.socket | None = None
        # A handle that is closed while another thread receives on it may
        # become another stream's in between, and that thread would read the
        # other stream's answer. So the reader itself closes it then.
        self._lock = threading.Lock()
        self._reading = False
        self._closed = False

    def read(self) -> bytes:
        """Waits for a block; empty at the end.

        Raises:
            errors.AnswerLostError: The connection broke, was closed by
                `close`, or was silent for too long.
        """
        with self._lock:
            if self._closed:
                raise errors.NoReplyError('closed')
            self._reading = True
        try:
            if self._sock is not None:
                return self._receive(self._sock)
            block = exchange.read(self._resp)
            if block and not self._framed:
                self._sock = self._take_socket()
            return block
        finally:
            self.give_back()

    def lend(self) -> socket.socket | None:
        """Lends the socket to a reader of its own, until `give_back`.

        None if bytes may be held back by the library, or it is closed.
        """
        with self._lock:
            if self._sock is None or self._closed:
                return None
            self._reading = True
            return self._sock

    def give_back(self) -> None:
        """Ends the loan; the socket is closed if `close` was called."""
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
                pass  # The other side closed it first.
            if not self._reading:
                self._release()

    def _receive(self, sock: socket.socket) -> bytes:
        try:
            return sock.recv(_BLOCK)
        except BlockingIOError as exc:
            raise exchange.TimeoutLostError('silent') from exc
        except OSError as exc:
            raise errors.NoReplyError(str(exc)) from exc

    def _take_socket(self) -> socket.socket | None:
        try:
            sock = socket.socket(fileno=os.dup(self._resp.fileno()))
        except OSError:
            return None
        sock.settimeout(None)
        whole, part = divmod(self._silence_s, 1.0)
        limit = struct.pack('ll', int(whole), max(1, int(part * 1e6)))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, limit)
        return sock

    def _release(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._resp.close()
