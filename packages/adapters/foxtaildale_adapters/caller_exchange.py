"""An HTTP request of a caller and the response to it."""

from collections.abc import Callable
from collections.abc import Mapping
import http
import socket
import threading
from typing import Any
from typing import Final
from typing import Protocol

from cheroot import server
import msgspec

from foxtaildale import codes
from foxtaildale_adapters import disconnects

JSON_HEADERS: Final = {'Content-Type': 'application/json'}
EVENT_STREAM: Final = 'text/event-stream'
_LAST_CHUNK: Final = b'0\r\n\r\n'
# Probes that detect whether a caller still reads: an interim response before
# the final one, or a comment line within an event stream. HTTP and event stream
# clients must ignore both.
_INTERIM_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_COMMENT_CHUNK: Final = b'3\r\n:\n\n\r\n'

# Added to the error message for a caller whose earlier attempt may be running
# at another VM.
EARLIER_ATTEMPT_NOTE: Final = (
    'This applies to this attempt only; an earlier attempt may have run.'
)
_IDENTITIES: Final = (b'idempotency-key:', b'foxtaildale-ticket:')

Figures = Mapping[str, float | str]


def has_key_or_ticket(head: bytes) -> bool:
    """Whether the received part of a request head names a key or a ticket."""
    lowered = head.partition(b'\r\n\r\n')[0].lower()
    return any(name in lowered for name in _IDENTITIES)


def error_body(
    code: codes.Code,
    figures: Figures,
    entry_vm: str,
    retry_after_s: float = 0,
    *,
    certain: bool = True,
) -> bytes:
    """Returns the JSON body of an error that has no request id.

    Args:
        code: Error code.
        figures: Values for the placeholders of the message.
        entry_vm: Entry VM that detected the error.
        retry_after_s: Time after which the caller may retry, seconds.
        certain: Whether the body may report "not run". A caller that sent a key
            or ticket applies the report to its earlier attempts too, and one
            of them may be running at another VM.
    """
    ran, message = code.ran, code.sentence.format(**figures)
    if not certain and ran == 'no':
        ran, message = 'unknown', f'{message} {EARLIER_ATTEMPT_NOTE}'
    error = {
        'code': code.name,
        'message': message,
        'ran': ran,
        'figures': dict(figures),
        'entry_vm': entry_vm,
        'retry_after_s': retry_after_s,
    }
    return msgspec.json.encode({'error': error})


class Handler(Protocol):
    """Handles the requests of callers."""

    def handle(self, exchange: 'Exchange') -> None:
        """Sends the response to one request before returning."""


class Exchange:
    """A completely received request and its response.

    One thread sends the response, either with `respond` alone or with `start`,
    `send` and `finish`. The connection of an exchange that was started but not
    finished is closed, so that no caller mistakes a partial response for a
    complete one.
    """

    __slots__ = (
        '_chunked',
        '_disconnected',
        '_ends_with_connection',
        '_events',
        '_lock',
        '_req',
        '_sock',
        '_state',
        '_unsent',
        '_watcher',
        'body',
        'headers',
        'method',
        'path',
        'query',
        'target',
    )

    def __init__(
        self,
        req: server.HTTPRequest,
        body: bytes,
        watcher: disconnects.Watcher,
    ) -> None:
        self.method: str = req.method.decode('latin-1')
        self.path: str = req.path.decode('utf-8', 'replace')
        self.query: str = req.qs.decode('latin-1')
        # Path and query as the caller sent them.
        self.target: str = req.uri.decode('latin-1')
        # Header names are in lower case.
        self.headers: dict[str, str] = {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in req.inheaders.items()
        }
        self.body = body
        self._req = req
        self._sock: socket.socket = req.conn.socket
        self._watcher = watcher
        # Prevents a probe from being sent in the middle of a response.
        self._lock = threading.Lock()
        self._state = 'waiting'
        self._chunked = False
        # Whether the started response has neither a length nor chunks, as for a
        # caller that speaks HTTP/1.0.
        self._ends_with_connection = False
        # Whether the response is an event stream.
        self._events = False
        self._disconnected = False
        # Bytes that `send_nonblocking` has not sent yet.
        self._unsent = b''

    @property
    def started(self) -> bool:
        """Whether a byte of the response may have been sent."""
        return self._state != 'waiting'

    @property
    def finished(self) -> bool:
        """Whether the complete response was sent."""
        return self._state == 'finished'

    def respond(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> bool:
        """Sends a complete response.

        Returns:
            False if the caller disconnected.
        """
        self._begin(status, headers, len(body))
        if not self._write(self._head(body)):
            return False
        self._state = 'finished'
        return True

    def start(self, status: int, headers: Mapping[str, str]) -> bool:
        """Sends the head of a response whose body follows in chunks.

        Returns:
            False if the caller disconnected.
        """
        self._begin(status, headers, None)
        head = self._head(b'')
        self._ends_with_connection = not self._chunked
        if self._ends_with_connection:
            self._req.conn.reset_at_end(True)
        sent = self._write(head)
        self._events = headers.get('Content-Type') == EVENT_STREAM
        return sent

    def send(self, data: bytes) -> bool:
        """Sends a chunk of the body immediately.

        A chunk of an event stream must consist of complete events.

        Returns:
            False if the caller disconnected or does not read.
        """
        if not data:
            return not self._disconnected
        return self._write(self._chunk(data))

    def send_nonblocking(self, data: bytes) -> bool:
        """Sends as much of a body chunk as is possible without blocking.

        Returns:
            False if `flush`, which may wait for the caller to read, must be
            called before the next chunk.
        """
        if not data:
            return not self._disconnected
        chunk = self._chunk(data)
        with self._lock:
            if self._disconnected or self._unsent:
                self._unsent += chunk
                return False
            try:
                sent = self._sock.send(chunk, socket.MSG_DONTWAIT)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._disconnected = True
                return False
            self._unsent = chunk[sent:]
        return not self._unsent

    def flush(self) -> bool:
        """Waits until all chunks passed to `send_nonblocking` are sent.

        Returns:
            False if the caller disconnected or does not read.
        """
        return self._write(b'')

    def finish(self) -> bool:
        """Ends the body.

        Returns:
            False if the caller disconnected.
        """
        if self._chunked and not self._write(_LAST_CHUNK):
            return False
        if self._disconnected:
            return False
        if self._ends_with_connection:
            self._req.conn.reset_at_end(False)
        self._state = 'finished'
        return True

    def is_disconnected(self) -> bool:
        """Whether TCP reports a disconnect of the caller; see `disconnects`."""
        if not self._disconnected:
            reset, fin = disconnects.poll_state(self._sock)
            if reset or (fin and not self._still_reads()):
                self._disconnected = True
        return self._disconnected

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Registers a callback for the disconnection of the caller.

        Another thread calls it at most once, and never after the exchange has
        ended. It must return quickly.
        """

        def on_hangup() -> None:
            self._disconnected = True
            callback()

        self._watcher.add(self._sock.fileno(), self._still_reads, on_hangup)

    def stop_watching(self) -> None:
        """Removes the watch; the server calls it after the handler returned."""
        if self._sock.fileno() >= 0:
            self._watcher.remove(self._sock.fileno())

    def abort(self) -> None:
        """Closes the connection immediately, even within a response.

        If only the end of the connection ends the response, it is reset once
        the handler has returned.
        """
        self._disconnected = True
        if self._ends_with_connection and not self.finished:
            return
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def _begin(
        self, status: int, headers: Mapping[str, str], length: int | None
    ) -> None:
        assert self._state == 'waiting', self._state
        req = self._req
        try:
            phrase = http.HTTPStatus(status).phrase
        except ValueError:
            phrase = 'Other'
        # The library requires bytes here although its stub declares str.
        status_line: Any = f'{status} {phrase}'.encode('latin-1')
        req.status = status_line
        # A caller must not send its next request to a process that is stopping.
        if req.server.draining:
            req.close_connection = True
        req.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers.items()
        ]
        if length is not None:
            req.outheaders.append((b'Content-Length', b'%d' % length))
        self._state = 'started'

    def _head(self, body: bytes) -> bytes:
        """Returns the head followed by `body`, for a single send."""
        buffer = _HeadBuffer()
        wfile: Any = self._req.conn.wfile
        self._req.conn.wfile = buffer
        try:
            self._req.ensure_headers_sent()
        finally:
            self._req.conn.wfile = wfile
        self._chunked = self._req.chunked_write
        # `finish` sends the last chunk; the library must not add another.
        self._req.chunked_write = False
        return buffer.data + (body if self.method != 'HEAD' else b'')

    def _chunk(self, data: bytes) -> bytes:
        if self._chunked:
            return b'%x\r\n%b\r\n' % (len(data), data)
        return data

    def _write(self, data: bytes) -> bool:
        if self._disconnected:
            return False
        try:
            with self._lock:
                data = self._unsent + data
                self._unsent = b''
                self._sock.sendall(data)
        except OSError:
            # The connection was reset, or the caller did not read within the
            # timeout. In both cases a part of the data may be lost, so nothing
            # more may be sent.
            self.abort()
            return False
        return True

    def _still_reads(self) -> bool:
        """Whether a caller that sent a FIN still reads."""
        req = self._req
        if req.conn.is_cut:
            return False
        return req.server.allows_half_close and self._probe()

    def _probe(self) -> bool:
        """Sends bytes that callers ignore; False if the caller disconnected."""
        if not self._lock.acquire(blocking=False):
            # A response is being sent, which detects a disconnection as well.
            return True
        try:
            data = self._probe_bytes()
            if data and disconnects.is_writable(self._sock):
                self._sock.sendall(data)
        except (OSError, ValueError):
            return False
        finally:
            self._lock.release()
        return True

    def _probe_bytes(self) -> bytes:
        if self._state == 'waiting':
            is_http_1_1 = self._req.response_protocol == 'HTTP/1.1'
            return _INTERIM_RESPONSE if is_http_1_1 else b''
        if self._unsent:
            # A probe would corrupt the chunk that is partly sent.
            return b''
        if self._state == 'started' and self._events and self._chunked:
            return _COMMENT_CHUNK
        return b''


class _HeadBuffer:
    """Replaces the library's output file while it writes a head."""

    __slots__ = ('data',)

    def __init__(self) -> None:
        self.data = b''

    def write(self, data: bytes) -> None:
        """Appends the data to the buffer."""
        self.data += data
