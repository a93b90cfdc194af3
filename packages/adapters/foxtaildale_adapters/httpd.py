"""Cheroot's request, connection, gateway and server, made strict.

A connection waits in the library's selector until its caller sends something;
then a worker thread reads one whole request, calls the handler, and puts the
connection back. What is not a request of ours is answered with a typed JSON
error where an answer is possible, and the connection is closed.

Four things differ from the library's ways. A request must arrive whole within
one deadline, since a limit for each read lets a slow sender hold a thread for
good. A connection takes no thread before it has sent a byte. And when every
thread is busy the next caller is told so at once instead of waiting unseen.
Threads are started as requests need them, since most VMs never need many.
"""

from collections.abc import Callable
import logging
import socket
import threading
from typing import Any
from typing import Final

from cheroot import errors as cheroot_errors
from cheroot import server
from cheroot.workers import threadpool

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale_adapters import files
from foxtaildale_adapters import hangups
from foxtaildale_adapters import incoming
from foxtaildale_adapters import logs

# Idle connections kept open.
IDLE_CONNECTIONS: Final = 1000
# Threads that a server starts with. A VM of a site of 78 serves four requests
# a second of a second or two each; those that need more start them.
FIRST_THREADS: Final = 8
# Requests that may wait for a thread for a moment.
BURST: Final = 8
# When a caller that met only busy threads should come back, seconds.
BUSY_RETRY_S: Final = 1
# How long unread input is thrown away before a close, seconds.
LINGER_S: Final = 1.0
_READ_BYTES: Final = 4096
# Our own headers carry identities and limits of a request.
OWN_PREFIX: Final = b'Foxtaildale-'
_HEX_DIGITS: Final = b'0123456789abcdefABCDEF'
_STATUS_TOO_LARGE: Final = 413
_STATUS_TIMEOUT: Final = 408


# Headers whose repetition leaves open where the body ends or whose request it
# is; two parties that choose differently see two different requests.
_ONCE: Final = frozenset((b'Content-Length', b'Transfer-Encoding', b'Host'))


class _Headers(server.HeaderReader):
    """Refuses heads that another parser would read otherwise."""

    def __call__(
        self, rfile: files.Reader, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        found: dict[bytes, bytes] = {} if hdict is None else hdict
        size = 0
        while (line := rfile.readline()) != b'\r\n':
            size += len(line)
            if size > files.HEAD_BYTES:
                raise ValueError('the head is too long')
            if not line.endswith(b'\r\n'):
                raise ValueError('a line of the head does not end in CRLF')
            name, colon, value = line.partition(b':')
            if not colon or not name or name.strip(b' \t') != name:
                raise ValueError('a line of the head is not a header')
            name, value = name.title(), value.strip()
            if name not in found:
                found[name] = value
            elif name in _ONCE or name.startswith(OWN_PREFIX):
                raise ValueError(f'header {name.decode("latin-1")} comes twice')
            else:
                found[name] += b', ' + value
        return found


class _Request(server.HTTPRequest):
    """Says with typed JSON what the library says with plain text."""

    header_reader = _Headers()

    def simple_response(self, status: str, msg: str = '') -> None:
        number = int(str(status)[:3])
        if number == _STATUS_TIMEOUT:
            self.refuse(codes.SLOW_REQUEST, limit_s=self.server.timeout)
        elif number == _STATUS_TOO_LARGE and 'headers' not in msg:
            found = self.inheaders.get(b'Content-Length', b'').decode('latin-1')
            self.too_large(found)
        else:
            text = f'{str(status)[4:]}: {msg}' if msg else str(status)[4:]
            self.refuse(codes.BAD_REQUEST, reason=text.rstrip('.'))

    def too_large(self, found: str) -> None:
        """Refuses a body, with the limit."""
        limit = self.server.max_request_body_size
        self.refuse(
            codes.TOO_LARGE, found=found or f'over {limit}', limit=limit
        )

    def refuse(self, code: codes.Code, **figures: float | str) -> None:
        """Sends an error and closes, throwing away what else is sent."""
        self.close_connection = True
        if self.sent_headers:
            return
        self.sent_headers = True
        self.conn.drop_input = True
        names = b''.join(b'%b:\r\n' % name for name in self.inheaders)
        sure = not incoming.has_identity(names)
        self.conn.answer(code, figures, sure=sure)


class _Connection(server.HTTPConnection):
    """One connection of a caller."""

    RequestHandlerClass = _Request

    def __init__(
        self, http_server: 'HttpServer', sock: socket.socket, _make: object
    ) -> None:
        super().__init__(http_server, sock, files.make)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        hangups.keep_alive(sock)
        files.bound_sends(sock, http_server.timeout)
        # False until it has been put with the idle ones once.
        self.parked = False
        self.drop_input = False

    def communicate(self) -> bool:
        try:
            self.rfile.begin(self.server.read_s or self.server.timeout)
            keep: bool = super().communicate()  # type: ignore[no-untyped-call]
            return keep and not self.server.draining
        finally:
            self.server.count(-1)

    def answer(
        self, code: codes.Code, figures: incoming.Figures, *, sure: bool
    ) -> None:
        """Sends an error and nothing after it."""
        retry_s = BUSY_RETRY_S if code is codes.ENTRY_BUSY else 0
        body = incoming.error_body(
            code, figures, self.server.entry_vm, retry_s, sure=sure
        )
        head = (
            f'HTTP/1.1 {code.status} {code.name}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Connection: close\r\n'
        )
        if retry_s:
            head += f'Retry-After: {retry_s}\r\n'
        try:
            self.socket.sendall(head.encode('latin-1') + b'\r\n' + body)
        except OSError:
            pass

    def close(self) -> None:
        if self.drop_input:
            self._drop_input()
        super().close()

    def _drop_input(self) -> None:
        """Reads on for a moment after an early error.

        A close with unread input sends a reset, and the caller's system then
        throws the error away before the caller has read it.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.rfile.begin(LINGER_S)
            while self.rfile.read1(files.HEAD_BYTES):
                pass
        except OSError:
            pass


class _ChunkFile:
    """Checks the size lines of a chunked body.

    The library's int() takes '-5' for the end of the body and '0x5' for a
    size, so a broken body would pass for a whole one.
    """

    __slots__ = ('_reader', 'read')

    def __init__(self, reader: files.Reader) -> None:
        self._reader = reader
        self.read = reader.read

    def readline(self) -> bytes:
        """Reads the size line of a chunk."""
        line = self._reader.readline()
        size = line.split(b';')[0].strip()
        if size.strip(_HEX_DIGITS):
            raise ValueError('a chunk size is not a hexadecimal number')
        return line


class _Gateway(server.Gateway):
    """Reads the body, calls the handler, and cuts what it left open."""

    req: _Request

    def respond(self) -> None:
        req = self.req
        body = self._body()
        if body is None:
            return
        exchange = incoming.Exchange(req, body, req.server.watcher)
        try:
            req.server.handler.handle(exchange)
        except errors.InvariantError as exc:
            exchange.cut()
            threading.excepthook(
                threading.ExceptHookArgs(
                    (type(exc), exc, exc.__traceback__, None)
                )
            )
        except Exception as exc:
            logs.event(logging.ERROR, 'handler failed', exc=exc)
        finally:
            exchange.end()
            self._close(exchange)

    def _close(self, exchange: incoming.Exchange) -> None:
        if not exchange.started:
            code = codes.FAILED
            entry_vm = self.req.server.entry_vm
            exchange.respond(
                code.status,
                incoming.JSON,
                incoming.error_body(code, {}, entry_vm),
            )
        if not exchange.finished:
            exchange.cut()
            self.req.close_connection = True

    def _body(self) -> bytes | None:
        """Returns the whole body, or None after answering with an error."""
        req = self.req
        try:
            return self._read_chunks() if req.chunked_read else self._read()
        except TimeoutError:
            req.refuse(codes.SLOW_REQUEST, limit_s=req.server.timeout)
        except cheroot_errors.MaxSizeExceeded:
            req.too_large('')
        except ValueError as exc:
            req.refuse(codes.BAD_REQUEST, reason=str(exc))
        except OSError as exc:
            if exc.errno is not None:
                raise
            # The library raises a bare OSError for a chunk that is too large.
            req.too_large('')
        return None

    def _read(self) -> bytes:
        length = self.req.inheaders.get(b'Content-Length', b'0')
        # The library's int() also takes '-1', which reads to the end.
        if not length.isdigit():
            raise ValueError('the Content-Length header is not a number')
        data: bytes = self.req.rfile.read()
        if len(data) < int(length):
            raise ValueError(
                f'the body ended after {len(data)} of {int(length)} bytes'
            )
        return data

    def _read_chunks(self) -> bytes:
        if b'Content-Length' in self.req.inheaders:
            raise ValueError('Content-Length and Transfer-Encoding exclude')
        # Small reads: the library joins what a read takes chunk by chunk,
        # which is quadratic in the size of the read.
        parts = []
        self.req.rfile.rfile = _ChunkFile(self.req.conn.rfile)
        while part := self.req.rfile.read(_READ_BYTES):
            parts.append(part)
        self.req.rfile.rfile = self.req.conn.rfile
        for _ in self.req.rfile.read_trailer_lines():
            pass
        # Whatever this caller takes for the end of a body, no second
        # request is read behind it.
        self.req.close_connection = True
        return b''.join(parts)


class _Threads(threadpool.ThreadPool):
    """The library's pool, which grows when every thread is busy.

    Started at once, the 96 of each VM were 7,500 for 78 VMs, nearly all of them
    idle. Those that were started stay: a burst comes again.
    """

    server: 'HttpServer'
    # Of the library.
    _threads: list[threading.Thread]
    _spawn_worker: Callable[[], threading.Thread]

    def put(self, obj: _Connection) -> None:
        """Queues a connection; called by the selector's thread alone."""
        if len(self._threads) < min(self.max, self.server.busy):
            self._add()
        super().put(obj)

    def _add(self) -> None:
        # Not the library's `grow`, which sleeps until the thread runs and
        # would hold up every other connection meanwhile.
        try:
            self._threads.append(self._spawn_worker())
        except RuntimeError as exc:
            # The request waits for one of the threads that there are.
            logs.event(logging.WARNING, 'thread not started', exc=exc)


class HttpServer(server.HTTPServer):
    """The library's server with our connections."""

    # Set by the library.
    _connections: Any

    ConnectionClass = _Connection
    request_queue_size = 512
    # After this the connections in use are shut down, seconds.
    shutdown_timeout = 1
    keep_alive_conn_limit = IDLE_CONNECTIONS
    max_request_header_size = files.HEAD_BYTES

    def __init__(
        self,
        address: tuple[str, int],
        handler: incoming.Handler,
        threads: int,
        look_s: float,
    ) -> None:
        super().__init__(address, _Gateway, server_name='foxtaildale')
        self.expiration_interval = look_s
        first = min(FIRST_THREADS, threads)
        self.requests = _Threads(self, min=first, max=threads)
        self.handler = handler
        self.threads = threads
        self.entry_vm = ''
        # Whether answers close their connections.
        self.draining = False
        self.accepting = True
        # Time for a request to arrive whole, seconds; 0: the idle timeout.
        self.read_s = 0.0
        # Whether a caller that closed its sending side may still listen.
        self.half_close = True
        self.watcher = hangups.Watcher(
            lambda exc: logs.event(logging.ERROR, 'watch failed', exc=exc)
        )
        # Requests that a thread works on or that wait for one.
        self.busy = 0
        self.idle_again = threading.Condition()

    def count(self, change: int) -> None:
        """Counts requests in progress."""
        with self.idle_again:
            self.busy += change
            if not self.busy:
                self.idle_again.notify_all()

    def process_conn(self, conn: _Connection) -> None:
        """Parks a new connection; hands one that sent something on."""
        if not conn.parked:
            conn.parked = True
            self._connections.put(conn)
            return
        if self.busy >= self.threads + BURST:
            self._turn_away(conn)
            return
        self.count(1)
        self.requests.put(conn)

    def put_conn(self, conn: _Connection) -> None:
        """Parks a connection again, unless the server closed meanwhile."""
        try:
            super().put_conn(conn)
        except (ValueError, OSError, KeyError):
            conn.close()

    def _turn_away(self, conn: _Connection) -> None:
        head = conn.rfile.head()
        conn.answer(
            codes.ENTRY_BUSY,
            {'limit': self.threads},
            sure=not incoming.has_identity(head),
        )
        conn.close()

    def stop_accepting(self) -> None:
        """Takes what the kernel has accepted already, then closes the port.

        Closing at once would reset callers whose request is under way.
        """
        self.draining = True
        # The attribute stays: the selector's thread may be about to use it,
        # and the library passes over a closed socket, but not over None.
        sock = self.socket
        self._connections._selector.unregister(sock.fileno())
        sock.setblocking(False)
        while (conn := self._connections._from_server_socket(sock)) is not None:
            self.process_conn(conn)
        sock.close()

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Logs what the library has to say."""
        logs.event(level, 'http server', message=msg)
