"""One request of a caller and the answer to it."""

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
from foxtaildale_adapters import hangups

JSON: Final = {'Content-Type': 'application/json'}
EVENT_STREAM: Final = 'text/event-stream'
_LAST_CHUNK: Final = b'0\r\n\r\n'
# Probes: an interim response before the answer, a comment line within an
# event stream. Clients must skip both.
_INTERIM: Final = b'HTTP/1.1 100 Continue\r\n\r\n'
_COMMENT: Final = b'3\r\n:\n\n\r\n'

# Said to a caller whose earlier try may be running elsewhere.
EARLIER: Final = 'This is of this try alone; an earlier one may have run.'
_IDENTITIES: Final = (b'idempotency-key:', b'foxtaildale-ticket:')

Figures = Mapping[str, float | str]


def has_identity(head: bytes) -> bool:
    """Whether what came of a request's head names a key or a ticket."""
    lowered = head.partition(b'\r\n\r\n')[0].lower()
    return any(name in lowered for name in _IDENTITIES)


def error_body(
    code: codes.Code,
    figures: Figures,
    entry_vm: str,
    retry_after_s: float = 0,
    *,
    sure: bool = True,
) -> bytes:
    """Returns the JSON body of an error that no request id stands for.

    Args:
        code: What is wrong.
        figures: For its sentence.
        entry_vm: Where it was found.
        retry_after_s: When to come back, seconds.
        sure: Whether "not run" may be said. A caller under a key or ticket
            takes it for an answer to its earlier tries too, and one of them
            may be running at another VM.
    """
    ran, message = code.ran, code.sentence.format(**figures)
    if not sure and ran == 'no':
        ran, message = 'unknown', f'{message} {EARLIER}'
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
    """What serves the incoming."""

    def handle(self, exchange: 'Exchange') -> None:
        """Answers one request before it returns."""


class Exchange:
    """A request that arrived whole, and its answer.

    One thread answers, by `respond` alone or by `start`, `send` and
    `finish`. An exchange that was started and not finished is cut, so that no
    caller takes a part for the whole.
    """

    __slots__ = (
        '_chunked',
        '_events',
        '_gone',
        '_lock',
        '_req',
        '_rest',
        '_sock',
        '_state',
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
        watcher: hangups.Watcher,
    ) -> None:
        self.method: str = req.method.decode('latin-1')
        self.path: str = req.path.decode('utf-8', 'replace')
        self.query: str = req.qs.decode('latin-1')
        # Path and query as the caller sent them.
        self.target: str = req.uri.decode('latin-1')
        # Names in lower case.
        self.headers: dict[str, str] = {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in req.inheaders.items()
        }
        self.body = body
        self._req = req
        self._sock: socket.socket = req.conn.socket
        self._watcher = watcher
        # Keeps probes out of the middle of an answer.
        self._lock = threading.Lock()
        self._state = 'waiting'
        self._chunked = False
        # Whether the answer is an event stream.
        self._events = False
        self._gone = False
        # What `offer` could not send yet.
        self._rest = b''

    @property
    def started(self) -> bool:
        """Whether a byte of the answer may have left."""
        return self._state != 'waiting'

    @property
    def finished(self) -> bool:
        """Whether the whole answer was sent."""
        return self._state == 'finished'

    def respond(
        self, status: int, headers: Mapping[str, str], body: bytes
    ) -> bool:
        """Sends a whole answer.

        Returns:
            False if the caller is gone.
        """
        self._begin(status, headers, len(body))
        if not self._write(self._head(body)):
            return False
        self._state = 'finished'
        return True

    def start(self, status: int, headers: Mapping[str, str]) -> bool:
        """Sends the head of an answer whose body follows in pieces.

        Returns:
            False if the caller is gone.
        """
        self._begin(status, headers, None)
        sent = self._write(self._head(b''))
        self._events = headers.get('Content-Type') == EVENT_STREAM
        return sent

    def send(self, data: bytes) -> bool:
        """Sends a piece of the body at once; of an event stream, whole events.

        Returns:
            False if the caller is gone or does not read.
        """
        if not data:
            return not self._gone
        return self._write(self._chunk(data))

    def offer(self, data: bytes) -> bool:
        """Sends a piece of the body as far as it goes without waiting.

        Returns:
            False if `flush` must be called before more is offered, which may
            wait for the caller to read.
        """
        if not data:
            return not self._gone
        chunk = self._chunk(data)
        with self._lock:
            if self._gone or self._rest:
                self._rest += chunk
                return False
            try:
                sent = self._sock.send(chunk, socket.MSG_DONTWAIT)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._gone = True
                return False
            self._rest = chunk[sent:]
        return not self._rest

    def flush(self) -> bool:
        """Waits until all that was offered is sent.

        Returns:
            False if the caller is gone or does not read.
        """
        return self._write(b'')

    def finish(self) -> bool:
        """Ends the body.

        Returns:
            False if the caller is gone.
        """
        if self._chunked and not self._write(_LAST_CHUNK):
            return False
        if self._gone:
            return False
        self._state = 'finished'
        return True

    def gone(self) -> bool:
        """Whether the caller hung up, as far as TCP tells; see `hangups`."""
        if not self._gone:
            reset, fin = hangups.look(self._sock)
            if reset or (fin and not self._listening()):
                self._gone = True
        return self._gone

    def watch(self, callback: Callable[[], None]) -> None:
        """Calls back once, from another thread, when the caller hangs up.

        The callback must be quick. It is not called after the exchange.
        """

        def note() -> None:
            self._gone = True
            callback()

        self._watcher.add(self._sock.fileno(), self._listening, note)

    def end(self) -> None:
        """Ends the watch; called by the server when the handler is through."""
        if self._sock.fileno() >= 0:
            self._watcher.remove(self._sock.fileno())

    def cut(self) -> None:
        """Ends the connection now, whatever was sent."""
        self._gone = True
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
        # The library's own code wants bytes here, its stub says str.
        line: Any = f'{status} {phrase}'.encode('latin-1')
        req.status = line
        # A caller must not send its next request to a stopping process.
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
        """Returns the head with `body` behind it, for a single send."""
        catcher = _Catcher()
        wfile: Any = self._req.conn.wfile
        self._req.conn.wfile = catcher
        try:
            self._req.ensure_headers_sent()
        finally:
            self._req.conn.wfile = wfile
        self._chunked = self._req.chunked_write
        # The last chunk is `finish`'s; the library must not add another.
        self._req.chunked_write = False
        return catcher.data + (body if self.method != 'HEAD' else b'')

    def _chunk(self, data: bytes) -> bytes:
        if self._chunked:
            return b'%x\r\n%b\r\n' % (len(data), data)
        return data

    def _write(self, data: bytes) -> bool:
        if self._gone:
            return False
        try:
            with self._lock:
                data = self._rest + data
                self._rest = b''
                self._sock.sendall(data)
        except OSError:
            # Reset, or not reading for the whole timeout: in both cases a
            # part of the data may be lost, so nothing may follow it.
            self.cut()
            return False
        return True

    def _listening(self) -> bool:
        """Whether a caller that sent a FIN still reads."""
        return self._req.server.half_close and self._probe()

    def _probe(self) -> bool:
        """Sends bytes that a listening caller skips; False if it is gone."""
        if not self._lock.acquire(blocking=False):
            # An answer is being sent just now, which probes as well.
            return True
        try:
            data = self._probe_bytes()
            if data and hangups.writable(self._sock):
                self._sock.sendall(data)
        except (OSError, ValueError):
            return False
        finally:
            self._lock.release()
        return True

    def _probe_bytes(self) -> bytes:
        if self._state == 'waiting':
            modern = self._req.response_protocol == 'HTTP/1.1'
            return _INTERIM if modern else b''
        if self._rest:
            # In the middle of a chunk.
            return b''
        if self._state == 'started' and self._events and self._chunked:
            return _COMMENT
        return b''


class _Catcher:
    """Stands for the library's output file while it writes a head."""

    __slots__ = ('data',)

    def __init__(self) -> None:
        self.data = b''

    def write(self, data: bytes) -> None:
        """Keeps what is written."""
        self.data += data
