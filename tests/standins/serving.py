"""The HTTP side of every stand-in, on cheroot.

A stand-in gives a handler from requests to responses. A handler or a body that
raises `Cut` closes the connection without a further byte.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import errno
import json
import os
import queue
import select
import signal
import socket
import threading
import time
from typing import Final
from typing import TypeVar
import urllib.parse

import cheroot.server
import msgspec

_T = TypeVar('_T', bound=msgspec.Struct)

# Largest number of connections that wait to be taken.
_BACKLOG: Final = 256


class Cut(Exception):  # noqa: N818
    """Closes the connection with nothing more said."""


class Request:
    """One HTTP request."""

    __slots__ = (
        '_socket',
        'body',
        'headers',
        'method',
        'path',
        'query',
        'target',
    )

    def __init__(self, raw: cheroot.server.HTTPRequest) -> None:
        self._socket: socket.socket = raw.conn.socket
        self.method: str = raw.method.decode()
        # Path and query as they came.
        self.target: str = raw.uri.decode('latin-1')
        self.path: str = urllib.parse.unquote(raw.path.decode())
        self.query = dict(urllib.parse.parse_qsl(raw.qs.decode()))
        # Names in lower case.
        self.headers = {
            name.decode().lower(): value.decode('latin-1')
            for name, value in raw.inheaders.items()
        }
        length = int(self.headers.get('content-length', '0'))
        self.body: bytes = raw.rfile.read(length) if length else b''
        if len(self.body) < length:
            # Its sender ended in the middle of it.
            raise Cut

    def send_until_closed(self, data: bytes) -> None:
        """Sends bytes again and again until the other side closes."""
        with contextlib.suppress(OSError):
            while True:
                self._socket.sendall(data)

    def hung_up(self) -> bool:
        """Says whether the other side has closed the connection."""
        try:
            poll = select.poll()
            poll.register(self._socket, select.POLLIN | select.POLLRDHUP)
            found = poll.poll(0)
        except (OSError, ValueError):
            return True
        gone = select.POLLRDHUP | select.POLLHUP | select.POLLERR
        return any(event & gone for _, event in found)


class Response(msgspec.Struct):
    """Status and body; an iterator is sent piece by piece."""

    body: bytes | Iterator[bytes] = b''
    status: int = 200
    kind: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()
    # Whether a length or chunks tell where the body ends.
    framed: bool = True
    # Status of a second response with the same headers, 0 for none, and how long
    # after the first one it is sent, seconds.
    second_status: int = 0
    second_after_s: float = 0.0


Handler = Callable[[Request], Response]


def as_json(value: object, status: int = 200) -> Response:
    """Returns a response that holds a value as JSON."""
    return Response(msgspec.json.encode(value), status)


def merge(faults: _T, body: bytes) -> _T:
    """Returns the faults with those fields replaced that a body names."""
    fields = msgspec.structs.asdict(faults) | msgspec.json.decode(body)
    return msgspec.convert(fields, type(faults))


class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of a stand-in's own record, for checking histories."""

    # prefill, transfer, decode or call
    kind: str
    # begun, ended, cancelled
    phase: str
    request: str
    attempt: int = 0
    holder: str = ''
    # Monotonic clock, seconds; the same for all processes of a machine.
    at: float
    # Tokens worked on, where that makes sense.
    tokens: int = 0
    # Tokens of a prompt that were in the prefix cache and not worked on.
    cached: int = 0
    # Name of the call, and digest of its body.
    call: str = ''
    body: str = ''


class Record:
    """Everything that a stand-in executed, in order."""

    __slots__ = ('_entries', '_lock')

    def __init__(self) -> None:
        self._entries: list[Execution] = []
        self._lock = threading.Lock()

    def note(
        self,
        kind: str,
        phase: str,
        request: str,
        attempt: int = 0,
        *,
        holder: str = '',
        tokens: int = 0,
        cached: int = 0,
        call: str = '',
        body: str = '',
    ) -> None:
        """Adds an entry."""
        entry = Execution(
            kind=kind,
            phase=phase,
            request=request,
            attempt=attempt,
            holder=holder,
            at=time.monotonic(),
            tokens=tokens,
            cached=cached,
            call=call,
            body=body,
        )
        with self._lock:
            self._entries.append(entry)

    def entries(self) -> list[Execution]:
        """Returns a copy of all entries."""
        with self._lock:
            return list(self._entries)


class _Gateway(cheroot.server.Gateway):
    def respond(self) -> None:
        raw = self.req
        cut = OSError(errno.ECONNRESET, 'cut')
        try:
            response = raw.server.handler(Request(raw))
        except Cut:
            _shut(raw)
            raise cut from None
        body = response.body
        raw.status = b'%d x' % response.status
        raw.outheaders = [(b'Content-Type', response.kind.encode())]
        for name, value in response.headers:
            raw.outheaders.append((name.encode(), value.encode()))
        if not response.framed:
            # The library then adds no chunks, and closes the connection.
            raw.response_protocol = 'HTTP/1.0'
            raw.close_connection = True
        if isinstance(body, bytes):
            if response.framed:
                length = str(len(body)).encode()
                raw.outheaders.append((b'Content-Length', length))
            raw.ensure_headers_sent()
            raw.write(body)
        else:
            self._write_chunks(body)
        if response.second_status:
            _stutter(raw, response)

    def _write_chunks(self, body: Iterator[bytes]) -> None:
        raw = self.req
        cut = OSError(errno.ECONNRESET, 'cut')
        raw.ensure_headers_sent()
        try:
            for chunk in body:
                raw.write(chunk)
        except Cut:
            _shut(raw)
            raise cut from None
        finally:
            getattr(body, 'close', lambda: None)()


def _stutter(raw: cheroot.server.HTTPRequest, response: Response) -> None:
    """Sends a second response, with a body of its own."""
    body = b'second response'
    head = [b'HTTP/1.1 %d x' % response.second_status]
    head.append(b'Content-Length: %d' % len(body))
    for name, value in response.headers:
        head.append(f'{name}: {value}'.encode())
    data = b'\r\n'.join((*head, b'', body))
    conn: socket.socket = raw.conn.socket

    def send() -> None:
        with contextlib.suppress(OSError):
            conn.sendall(data)

    if response.second_after_s:
        timer = threading.Timer(response.second_after_s, send)
        timer.daemon = True
        timer.start()
    else:
        send()


def _shut(raw: cheroot.server.HTTPRequest) -> None:
    try:
        raw.conn.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class _Server(cheroot.server.HTTPServer):
    handler: Handler

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        if traceback:
            super().error_log(msg, level, traceback)


def start(handler: Handler, address: str, threads: int) -> tuple[_Server, str]:
    """Serves in this process; returns the server and its address."""
    host, _, port = address.rpartition(':')
    server = _Server((host, int(port)), _Gateway, minthreads=threads)
    server.handler = handler
    server.request_queue_size = _BACKLOG
    server.timeout = 30
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    bound_host, bound_port = server.bind_addr[:2]
    return server, f'{bound_host}:{bound_port}'


def run(handler: Handler, address: str, threads: int) -> None:
    """Serves until SIGTERM, then ends the process with exit code 0."""
    # An event has a lock, which this thread may hold as the handler runs in it.
    stops: queue.SimpleQueue[int] = queue.SimpleQueue()
    signal.signal(signal.SIGTERM, lambda number, _frame: stops.put(number))
    _server, bound = start(handler, address, threads)
    print(json.dumps({'address': bound}), flush=True)
    # A stand-in whose test was killed must not outlive it.
    parent = os.getppid()
    while os.getppid() == parent:
        try:
            stops.get(timeout=1.0)
        except queue.Empty:
            continue
        break
    # Handlers that stall on purpose must not hold up the end.
    os._exit(0)
