"""Input and output files of a caller's connection, for cheroot.

The library's own are slower and know no deadline over several reads.
"""

import io
import select
import socket
import struct
import time
from typing import Any
from typing import Final

# Longest line of a request, and longest request line with all headers, bytes.
HEAD_BYTES: Final = 64 * 1024


def bound_sends(sock: socket.socket, timeout_s: float) -> None:
    """Lets the kernel bound each send, seconds.

    A socket object with a timeout waits in one system call and sends in
    another, and gives up the interpreter lock for both.
    """
    whole, part = divmod(timeout_s, 1.0)
    limit = struct.pack('ll', int(whole), max(1, int(part * 1e6)))
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)


class _Input(io.RawIOBase):
    """Reads a socket under one deadline for the whole request."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        # Monotonic seconds; 0 reads only what is there already.
        self.deadline = 0.0

    def readable(self) -> bool:
        """Says that this is an input file."""
        return True

    def readinto(self, buffer: Any) -> int | None:  # noqa: ANN401
        """Reads what there is, waiting no longer than the deadline."""
        # Polled here, since a socket object with a timeout waits by itself
        # even when it is told not to.
        wait_s = max(0.0, self.deadline - time.monotonic())
        if not self._poll.poll(wait_s * 1000):
            if self.deadline:
                raise TimeoutError('timed out')
            return None
        return self._sock.recv_into(buffer)


class Reader(io.BufferedReader):
    """The library's input file, with bounded lines."""

    def __init__(self, raw: _Input) -> None:
        super().__init__(raw)
        self._input = raw

    def begin(self, timeout_s: float) -> None:
        """Starts the deadline of one request."""
        self._input.deadline = time.monotonic() + timeout_s

    def has_data(self) -> bool:
        """Whether more input came behind the last request."""
        return bool(self.head())

    def head(self) -> bytes:
        """Returns the beginning of what has come and was not read."""
        self._input.deadline = 0.0
        try:
            return self.peek(1)
        except OSError:
            return b''

    def readline(self, size: int | None = -1, /) -> bytes:
        """Reads a line or the start of one that is too long."""
        # The library reads chunk sizes without a limit; a line that never
        # ends would fill the memory.
        if size is None or size < 0 or size > HEAD_BYTES:
            size = HEAD_BYTES
        return super().readline(size)


class _Writer:
    """The library's output file, without its buffer."""

    __slots__ = ('_sock', 'bytes_written')

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> None:
        """Sends at once."""
        self._sock.sendall(data)
        self.bytes_written += len(data)


def make(sock: socket.socket, mode: str, _size: int) -> Reader | _Writer:
    """Stands for the library's `MakeFile`."""
    return Reader(_Input(sock)) if 'r' in mode else _Writer(sock)
