"""HTTP responses that are limited as a whole, in time and in size of the head.

The timeout of a socket limits each read, so a server that sends a byte now and
then could hold its reader for any time, and one that sends fast could send
headers or interim responses without end. The library also takes a head, a last
chunk or trailers that end with the connection for complete.
"""

from collections.abc import Iterator
import contextlib
import email.errors
import http
import http.client
import io
import re
import socket
import time
from typing import TYPE_CHECKING
from typing import Final
from typing import cast

import urllib3
import urllib3.connection

if TYPE_CHECKING:
    from _typeshed import WriteableBuffer

# Maximum size of a head with its interim responses, bytes.
MAX_HEAD_BYTES: Final = 256 * 1024
# Maximum size of the line with the size of a chunk, and of a trailer, bytes.
MAX_LINE_BYTES: Final = 65536
# Minimum timeout of a read, seconds; a socket with 0 would not wait.
MIN_TIMEOUT_S: Final = 0.001
# Defects of a message whose body is to follow; not of its head.
_BODY_DEFECTS: Final = (
    email.errors.NoBoundaryInMultipartDefect,
    email.errors.StartBoundaryNotFoundDefect,
    email.errors.MultipartInvariantViolationDefect,
    email.errors.InvalidMultipartContentTransferEncodingDefect,
)
_CHUNK_SIZE: Final = re.compile(rb'[0-9A-Fa-f]{1,16}')


class _LimitedReader(io.RawIOBase):
    """Reads from a socket until a deadline."""

    def __init__(self, raw: io.RawIOBase, sock: socket.socket) -> None:
        super().__init__()
        self._raw = raw
        self._sock = sock
        # Deadline of all reads, seconds of the monotonic clock; None if only the
        # timeout of the socket applies.
        self.deadline: float | None = None
        # Whether the response was read to its end or given up.
        self.is_done = False
        # How much of the head may still be read, bytes; None behind the head.
        self.head_left: int | None = None

    def readable(self) -> bool:
        return True

    def fileno(self) -> int:
        return self._raw.fileno()

    def readinto(self, buffer: 'WriteableBuffer', /) -> int | None:
        if self.is_done:
            return None
        if self.deadline is not None:
            left_s = self.deadline - time.monotonic()
            if left_s <= 0:
                raise TimeoutError('timed out')
            self._sock.settimeout(left_s)
        count = self._raw.readinto(buffer)
        if self.head_left is not None and count is not None:
            if not count:
                raise ConnectionResetError('the head of the response broke off')
            self.head_left -= count
            if self.head_left < 0:
                raise http.client.LineTooLong('head of the response')
        return count

    def shut_down(self) -> None:
        """Shuts the connection down, so that it is not reused."""
        self._sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        if not self.closed:
            self._raw.close()
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """A response whose head is limited by the timeout of the socket."""

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self._timeout_s = sock.gettimeout()
        self.reader = _LimitedReader(self.fp.detach(), sock)
        self.fp = io.BufferedReader(self.reader)

    def begin(self) -> None:
        """Reads the head.

        Raises:
            http.client.HTTPException: It is malformed, or the end of the body
                can't be determined.
        """
        reader = self.reader
        if self._timeout_s is not None:
            reader.deadline = time.monotonic() + self._timeout_s
        reader.head_left = MAX_HEAD_BYTES
        super().begin()
        reader.head_left = None
        reader.deadline = None
        self._check_framing()

    def _read_status(self) -> tuple[str, int, str]:
        """Reads a status line; extends a method of the library.

        The library skips interim responses of status 100 only. A server may
        send others (RFC 9110, 15.2); 101 is none, as no upgrade is requested.
        """
        while True:
            found: tuple[str, int, str] = super()._read_status()  # type: ignore[misc]
            status = found[1]
            if not _is_interim(status):
                return found
            while self._read_line() not in (b'\r\n', b'\n'):
                pass  # A header.

    def _check_framing(self) -> None:
        """Rejects framing that the library would interpret differently."""
        if not 200 <= self.status <= 599:
            raise http.client.HTTPException(f'status {self.status}')
        if _is_malformed(self.msg):
            raise http.client.HTTPException('malformed header')
        length = self.msg.get_all('Content-Length')
        coding = self.msg.get_all('Transfer-Encoding')
        if length is not None and not _is_number(', '.join(length)):
            raise http.client.HTTPException('Content-Length is not a number')
        if coding is not None and (len(coding) > 1 or not self.chunked):
            raise http.client.HTTPException('unknown transfer coding')
        if coding is not None and length is not None:
            raise http.client.HTTPException(
                'both Content-Length and Transfer-Encoding'
            )

    def _close_conn(self) -> None:
        """Releases the connection; replaces a method of the library.

        Bytes behind the response may be buffered here. They are lost, and the
        next response would begin within a second one, so that the connection
        is shut down.
        """
        buffered, self.fp = self.fp, cast(io.BufferedReader, None)
        self.reader.is_done = True
        # An error means that another thread closed the connection.
        with contextlib.suppress(OSError, ValueError):
            if buffered.peek(1):
                self.reader.shut_down()
        buffered.close()

    def _get_chunk_left(self) -> int | None:
        """Returns the bytes left of the chunk; None behind the last one.

        Replaces a method of the library.

        Raises:
            http.client.IncompleteRead: The framing is broken or ends early.
        """
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left is not None and self.fp.read(2) != b'\r\n':
            raise http.client.IncompleteRead(b'')
        self.chunk_left = self._read_chunk_size() or None
        if self.chunk_left is None:
            while self._read_line() not in (b'\r\n', b'\n'):
                pass  # A trailer.
            self._close_conn()
        return self.chunk_left

    def _read_chunk_size(self) -> int:
        size = self._read_line().partition(b';')[0].strip()
        if not _CHUNK_SIZE.fullmatch(size):
            raise http.client.IncompleteRead(b'')
        return int(size, 16)

    def _read_line(self) -> bytes:
        """Reads a complete line."""
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if not line.endswith(b'\n'):
            raise http.client.IncompleteRead(b'')
        return line


def _is_malformed(head: http.client.HTTPMessage) -> bool:
    """Whether the library dropped lines of a head, or took some for a body."""
    if any(not isinstance(defect, _BODY_DEFECTS) for defect in head.defects):
        return True
    # Of the types message/*, the body is parsed as another message.
    first, *others = head.walk()
    return any(part.defects or part.keys() for part in others) or any(
        part.get_payload()
        for part in (first, *others)
        if not part.is_multipart()
    )


def _is_interim(status: int) -> bool:
    """Whether another response follows."""
    return (
        status != http.HTTPStatus.SWITCHING_PROTOCOLS
        and http.HTTPStatus.CONTINUE < status < http.HTTPStatus.OK
    )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()


class Connection(urllib3.connection.HTTPConnection):
    """A connection with bounded responses."""

    response_class = BoundedResponse


@contextlib.contextmanager
def limited(resp: urllib3.BaseHTTPResponse, timeout_s: float) -> Iterator[None]:
    """Limits what is read of a body within the block, seconds.

    The library reads the sizes of chunks and trailers in lines.
    """
    found = getattr(resp, '_fp', None)
    reader = found.reader if isinstance(found, BoundedResponse) else None
    if reader is not None:
        reader.deadline = time.monotonic() + max(MIN_TIMEOUT_S, timeout_s)
    try:
        yield
    finally:
        if reader is not None:
            reader.deadline = None
