"""Input and output files of a caller's connection, for cheroot.

The files of the library are slower and have no deadline across several reads.
"""

import io
import select
import socket
import struct
import time
from typing import Any
from typing import Final

# Maximum length of a line, and of the request line with all headers, bytes.
MAX_HEAD_BYTES: Final = 64 * 1024
# Size of the receive buffer of a connection, of which the kernel offers the
# sender the half or more, bytes. It would grow to some megabytes otherwise, and
# received bytes count as memory of the process.
RECEIVE_BUFFER_BYTES: Final = 128 * 1024


def limit_receive_buffer(sock: socket.socket) -> None:
    """Limits the bytes that a connection may hold unread."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def set_send_timeout(sock: socket.socket, timeout_s: float) -> None:
    """Makes the kernel limit the time of each send, seconds.

    A socket object with a timeout waits in one system call and sends in
    another, and releases the interpreter lock for both.
    """
    seconds, fraction = divmod(timeout_s, 1.0)
    limit = struct.pack('ll', int(seconds), max(1, int(fraction * 1e6)))
    sock.settimeout(None)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, limit)


class _Input(io.RawIOBase):
    """Reads a socket with one deadline for the complete request."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._sock = sock
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)
        # Monotonic seconds; 0 reads available data only.
        self.deadline = 0.0

    def readable(self) -> bool:
        """Returns True, as this is an input file."""
        return True

    def readinto(self, buffer: Any) -> int | None:  # noqa: ANN401
        """Reads available data; waits for it until the deadline at most."""
        # The socket is polled here because a socket object with a timeout
        # waits even if MSG_DONTWAIT is set.
        wait_s = max(0.0, self.deadline - time.monotonic())
        if not self._poll.poll(wait_s * 1000):
            if self.deadline:
                raise TimeoutError('timed out')
            return None
        return self._sock.recv_into(buffer)


class Reader(io.BufferedReader):
    """Input file for the library, with limited line length."""

    def __init__(self, raw: _Input) -> None:
        super().__init__(raw)
        self._input = raw

    def set_deadline(self, timeout_s: float) -> None:
        """Sets the deadline of one request."""
        self._input.deadline = time.monotonic() + timeout_s

    def has_data(self) -> bool:
        """Whether more input arrived after the last request."""
        return bool(self.peek_unread())

    def peek_unread(self) -> bytes:
        """Returns the first unread bytes without consuming them."""
        self._input.deadline = 0.0
        try:
            return self.peek(1)
        except OSError:
            return b''

    def readline(self, size: int | None = -1, /) -> bytes:
        """Reads a line, or the start of a line that is too long."""
        # The library reads chunk size lines without a limit; an endless line
        # would exhaust the memory.
        if size is None or size < 0 or size > MAX_HEAD_BYTES:
            size = MAX_HEAD_BYTES
        return super().readline(size)


class _Writer:
    """Output file for the library, without a buffer."""

    __slots__ = ('_sock', 'bytes_written')

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.bytes_written = 0

    def write(self, data: bytes) -> None:
        """Sends the data immediately."""
        self._sock.sendall(data)
        self.bytes_written += len(data)


def make_file(sock: socket.socket, mode: str, _size: int) -> Reader | _Writer:
    """Replaces `MakeFile` of the library."""
    return Reader(_Input(sock)) if 'r' in mode else _Writer(sock)
