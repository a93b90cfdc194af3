"""Callers that use open connections of a process over its whole stop.

Each connection is one that the caller opened, never replaced by another, so
that a test sees what became of a request on it.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import math
import socket
import time
from typing import Final
from typing import Literal

# Longest wait for a byte, seconds; only a broken run gets there.
_WAIT_S: Final = 20.0
# Time before the signal at which connections are opened, seconds.
OPENED_S: Final = 0.5
# Time between the first part of something and what follows on it, seconds.
_STEP_S: Final = 0.03
# Shortest stream that is in progress as the signal comes, seconds.
_STREAM_S: Final = 0.2
# Time from a request until the stream ends that it is pipelined behind, seconds.
_PIPELINED_S: Final = 0.2
# Time between two events of a stream, seconds.
PACE_S: Final = 0.05
_STREAMS: Final = ('chat', 'single')

# The state of a connection as its request is sent.
Way = Literal[
    # Idle, after a response.
    'kept',
    # Open since before the signal, without a byte sent.
    'silent',
    # Just opened.
    'new',
    # Half of a head was sent before the signal.
    'half',
    # Half of a head was sent just before.
    'late half',
    # A stream that began before the signal has just ended.
    'ended',
    # A stream that began before the signal is in progress.
    'pipelined',
]
WAYS: Final[tuple[Way, ...]] = (
    'kept',
    'silent',
    'new',
    'half',
    'late half',
    'ended',
    'pipelined',
)


@dataclasses.dataclass(frozen=True)
class Answer:
    """What came of one request."""

    # 0 if the connection ended before a response.
    status: int = 0
    body: bytes = b''
    # Whether the response came to its proper end.
    is_complete: bool = False
    # Whether the connection stayed open without a response.
    hung: bool = False
    # Whether it announced the close of its connection.
    closes: bool = False


class Connection:
    """One connection to a process."""

    def __init__(self, address: str, wait_s: float = _WAIT_S) -> None:
        host, _, port = address.rpartition(':')
        self._sock = socket.create_connection((host, int(port)), wait_s)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._file = self._sock.makefile('rb')

    def send(self, data: bytes) -> None:
        """Sends, also on a connection that the process has closed."""
        with contextlib.suppress(OSError):
            self._sock.sendall(data)

    def read(self) -> Answer:
        """Reads one response."""
        status, body, closes = 0, b'', False
        try:
            line = self._file.readline()
            if not line:
                return Answer()
            status = int(line.split()[1])
            headers = self._read_headers()
            closes = headers.get(b'connection', b'').lower() == b'close'
            if 'chunked' in headers.get(b'transfer-encoding', b'').decode():
                while size := int(self._read_line(), 16):
                    body += self._read_exactly(size)
                    self._read_line()
                self._read_line()
            else:
                body = self._read_exactly(int(headers[b'content-length']))
        except TimeoutError:
            return Answer(status, body, hung=True)
        except (OSError, EOFError):
            return Answer(status, body)
        return Answer(status, body, is_complete=True, closes=closes)

    def close(self) -> None:
        """Closes the connection."""
        self._file.close()
        self._sock.close()

    def _read_headers(self) -> dict[bytes, bytes]:
        headers = {}
        while line := self._read_line().strip():
            name, _, value = line.partition(b':')
            headers[name.lower()] = value.strip()
        return headers

    def _read_line(self) -> bytes:
        line = self._file.readline()
        if not line.endswith(b'\n'):
            raise EOFError
        return line

    def _read_exactly(self, size: int) -> bytes:
        data = self._file.read(size)
        if len(data) < size:
            raise EOFError
        return data


@dataclasses.dataclass(frozen=True)
class Request:
    """A request, and how to tell what became of it."""

    id: str
    kind: str
    data: bytes
    # What a complete response says.
    expected: Callable[[bytes], bool]


@dataclasses.dataclass
class Seen:
    """A request that was sent, and its answer."""

    request: Request
    way: str
    # Seconds after the signal.
    sent_s: float
    answer: Answer
    # Whether the response before it announced the close of the connection.
    is_on_closing: bool = False

    def name(self) -> str:
        """Describes it."""
        answer = self.answer
        return (
            f'{self.request.id} ({self.request.kind}, {self.way}, sent '
            f'{self.sent_s:.3f} s after the signal): {answer.status}, '
            f'{len(answer.body)} bytes, complete: {answer.is_complete}, '
            f'hung: {answer.hung}, {answer.body[-80:]!r}'
        )

    def outcome(self) -> str:
        """Returns 'whole', 'refused', 'expired', 'closed' or 'cut'."""
        answer = self.answer
        if answer.hung or (answer.status and not answer.is_complete):
            return 'cut'
        if not answer.status:
            return 'closed'
        if answer.status == 200:
            return 'whole' if self.request.expected(answer.body) else 'cut'
        names = {503: 'refused', 504: 'expired'}
        return names.get(answer.status, str(answer.status))


# Makes a request of a kind; a stream lasts so many seconds.
Make = Callable[[str, float], Request]


@dataclasses.dataclass(frozen=True)
class Probe:
    """One request of a sweep."""

    way: Way
    kind: str
    # When it is sent, seconds after the signal.
    at: float
    # How long its response takes if it is a stream, seconds.
    lasts_s: float = 1.2

    def run(self, address: str, make: Make, signal_at: float) -> list[Seen]:
        """Sends the request; returns what was seen on its connection."""
        request = make(self.kind, self.lasts_s)
        opened_s = -OPENED_S
        if self.way in ('new', 'late half'):
            opened_s = self.at - _STEP_S
        _sleep_until(signal_at + opened_s)
        try:
            conn = Connection(address)
        except OSError:
            sent_s = time.monotonic() - signal_at
            return [Seen(request, self.way, sent_s, Answer())]
        with contextlib.closing(conn):
            return self._use(conn, request, make, signal_at)

    def _use(
        self, conn: Connection, request: Request, make: Make, signal_at: float
    ) -> list[Seen]:
        data = request.data
        seen = []
        first = self._first(make)
        if first is not None:
            begin_s = self._stream_begin_s()
            if self.way == 'kept':
                begin_s = -OPENED_S
            _sleep_until(signal_at + begin_s)
            begin_s = time.monotonic() - signal_at
            conn.send(first.data)
            seen.append(Seen(first, f'before {self.way}', begin_s, Answer()))
            if self.way != 'pipelined':
                seen[0].answer = conn.read()
                if seen[0].answer.closes:
                    return seen
        if 'half' in self.way:
            if self.way == 'half':
                _sleep_until(signal_at - _STEP_S)
            half = data.index(b'\r\n\r\n') // 2
            conn.send(data[:half])
            data = data[half:]
        if self.way != 'ended':
            _sleep_until(signal_at + self.at)
        sent_s = time.monotonic() - signal_at
        conn.send(data)
        is_on_closing = False
        if self.way == 'pipelined':
            seen[0].answer = conn.read()
            is_on_closing = seen[0].answer.closes
        seen.append(Seen(request, self.way, sent_s, conn.read(), is_on_closing))
        return seen

    def _first(self, make: Make) -> Request | None:
        """Returns the request that is sent before on the same connection."""
        if self.way == 'kept':
            return make('safe', 0.0)
        if self.way in ('ended', 'pipelined'):
            kind = _STREAMS[int(self.at * 1000) % 2]
            return make(kind, self._stream_s())
        return None

    def _stream_end_s(self) -> float:
        return self.at + (_PIPELINED_S if self.way == 'pipelined' else 0.0)

    def _stream_s(self) -> float:
        lasts_s = max(self._stream_end_s(), 0.0) + _STREAM_S
        return math.ceil(lasts_s / PACE_S) * PACE_S

    def _stream_begin_s(self) -> float:
        return self._stream_end_s() - self._stream_s() - _STEP_S


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))
