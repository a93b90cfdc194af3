"""Strict versions of Cheroot's request, connection, gateway and server.

A connection waits in the library's selector until its caller sends data. A
worker thread then reads one complete request, calls the handler, and returns
the connection to the selector. An invalid request receives a typed JSON error,
if a response is possible, and its connection is closed.

The server differs from the library in six ways. A request must arrive
completely within one deadline, since with a timeout per read a slow sender
could occupy a thread indefinitely. A connection occupies no thread before it
has sent a byte. When every thread is busy, further requests are refused at
once instead of being queued without a reply; if other entry VMs are listed,
their connections are closed before they are read. If requests wait for the
processor, their connections are closed as well. Threads are started on demand,
since most VMs never need many. A stop can wait until no connection is open: a
count of the requests in progress alone misses the request that arrives next.
"""

from collections.abc import Callable
import logging
import math
import selectors
import socket
import struct
import threading
import time
from typing import Any
from typing import Final

from cheroot import errors as cheroot_errors
from cheroot import server
from cheroot.workers import threadpool

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale_adapters import byte_budget
from foxtaildale_adapters import caller_exchange
from foxtaildale_adapters import connection_files
from foxtaildale_adapters import disconnects
from foxtaildale_adapters import logs
from foxtaildale_adapters import queue_delays
from foxtaildale_adapters import request_grammar
from foxtaildale_adapters import wakes

# Maximum number of idle connections that stay open.
MAX_IDLE_CONNECTIONS: Final = 1000
# Number of threads that a server starts with. A VM of a site of 78 serves four
# requests per second, each of which takes one or two seconds; further threads
# are started on demand.
INITIAL_THREADS: Final = 8
# Maximum number of requests that wait for a thread.
MAX_QUEUED_REQUESTS: Final = 8
# Number of requests in progress below which a VM is not overloaded, however long
# a request waits for its thread.
MIN_OVERLOAD_REQUESTS: Final = 16
# Delay after which a caller refused for busy threads or for the size of its body
# should retry, seconds.
BUSY_RETRY_AFTER_S: Final = 1
# Time for the first request on a new connection to arrive before a stop closes
# the connection as idle, seconds.
FIRST_REQUEST_S: Final = 0.2
# How long unread input is read and discarded before a close, seconds.
DISCARD_INPUT_S: Final = 1.0
# How long the rest of a large body that was refused is discarded, seconds: its
# caller may read the refusal only after it has sent the body.
DISCARD_BODY_S: Final = 3.0
_READ_BYTES: Final = 4096
# Prefix of the headers that carry identities and limits of a request.
HEADER_PREFIX: Final = b'Foxtaildale-'
# Values of SO_LINGER with which a close sends a reset, and does not.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)
_NO_LINGER: Final = struct.pack('ii', 0, 0)
_STATUS_TOO_LARGE: Final = 413
_STATUS_TIMEOUT: Final = 408
# Refusals after which the same request may be served soon.
_RETRIABLE: Final = frozenset((codes.ENTRY_BUSY.name, codes.MEMORY_FULL.name))
# Maximum length of an id of a caller in a log line, bytes.
_MAX_LOGGED_ID: Final = 80


class _NoRoomError(Exception):
    """No memory is left for a body of this length, bytes."""

    def __init__(self, length: int) -> None:
        super().__init__(length)
        self.length = length


# Headers that may occur only once. If they were repeated, the end of the body
# or the target of the request would be ambiguous, and two parsers could read
# two different requests.
_UNIQUE_HEADERS: Final = frozenset(
    (b'Content-Length', b'Transfer-Encoding', b'Host')
)


class _LineRecorder:
    """Passes lines on and keeps the last one."""

    __slots__ = ('_reader', 'line')

    def __init__(self, reader: connection_files.Reader) -> None:
        self._reader = reader
        self.line = b''

    def readline(self) -> bytes:
        """Reads a line."""
        self.line = self._reader.readline()
        return self.line


class _Request(server.HTTPRequest):
    """Refuses what is no request by the grammar, with typed JSON errors.

    The library reads heads more loosely than the standard, and so does each
    check of single forms: what another parser could read differently is
    refused before any of it is used.
    """

    def read_request_line(self) -> bool:
        """Reads the first line; returns whether it is valid."""
        reader = self.rfile
        self.rfile = recorder = _LineRecorder(reader)
        try:
            is_valid: bool = super().read_request_line()  # type: ignore[no-untyped-call]
        finally:
            self.rfile = reader
        if is_valid and not request_grammar.REQUEST_LINE.fullmatch(
            recorder.line
        ):
            self.simple_response('400 Bad Request', 'Malformed Request-Line')
            return False
        return is_valid

    def header_reader(
        self, rfile: connection_files.Reader, headers: dict[bytes, bytes]
    ) -> None:
        """Reads the headers; replaces a reader of the library.

        Raises:
            ValueError: They are malformed, or two parsers may see two ends of
                the body.
        """
        size = 0
        while (line := rfile.readline()) != b'\r\n':
            size += len(line)
            if size > connection_files.MAX_HEAD_BYTES:
                raise ValueError('the request head is too long')
            field = request_grammar.FIELD_LINE.fullmatch(line)
            if field is None:
                raise ValueError('a line of the request head is not a header')
            name, value = field[1].title(), field[2]
            if name not in headers:
                headers[name] = value
            elif name in _UNIQUE_HEADERS or name.startswith(HEADER_PREFIX):
                raise ValueError(f'header {name.decode("latin-1")} is repeated')
            else:
                headers[name] += b', ' + value
        request_grammar.check_framing(
            self.request_protocol,
            headers.get(b'Content-Length'),
            headers.get(b'Transfer-Encoding'),
        )

    def simple_response(self, status: str, msg: str = '') -> None:
        number = int(str(status)[:3])
        if number == _STATUS_TIMEOUT:
            self.refuse(codes.SLOW_REQUEST, limit_s=self.server.timeout)
        elif number == _STATUS_TOO_LARGE and 'headers' not in msg:
            length = self.inheaders.get(b'Content-Length', b'').decode(
                'latin-1'
            )
            self.refuse_too_large(length)
        else:
            text = f'{str(status)[4:]}: {msg}' if msg else str(status)[4:]
            self.refuse(codes.BAD_REQUEST, reason=text.rstrip('.'))

    def refuse_too_large(self, length: str) -> None:
        """Refuses a body that is too large and reports the limit."""
        limit = self.server.max_request_body_size
        self.refuse(
            codes.TOO_LARGE, found=length or f'over {limit}', limit=limit
        )

    def refuse_for_memory(self, length: int) -> None:
        """Refuses a body for which no memory is left, bytes."""
        budget = self.server.byte_budget
        limit = int(budget.limit)
        name = HEADER_PREFIX + b'Attempt-Id'
        attempt = self.inheaders.get(name, b'')[:_MAX_LOGGED_ID]
        logs.event(
            logging.WARNING,
            'body refused',
            caller=f'{self.conn.remote_addr}:{self.conn.remote_port}',
            attempt=attempt.decode('latin-1'),
            bytes=length,
            held=budget.used,
            limit=limit,
        )
        self.server.on_body_refused()
        self.conn.discard_s = DISCARD_BODY_S
        self.refuse(codes.MEMORY_FULL, found=length, limit=limit)

    def refuse(self, code: codes.Code, **figures: float | str) -> None:
        """Sends an error, discards further input and closes the connection."""
        self.close_connection = True
        if self.sent_headers:
            return
        self.sent_headers = True
        if self.server.closing:
            # The close may have cut off the rest of the request; an error would
            # blame the caller, who then does not retry.
            return
        self.conn.discard_input = True
        header_lines = b''.join(b'%b:\r\n' % name for name in self.inheaders)
        sure = not caller_exchange.has_key_or_ticket(header_lines)
        self.conn.send_error(code, figures, sure=sure)


class _Connection(server.HTTPConnection):
    """One connection of a caller."""

    RequestHandlerClass = _Request

    def __init__(
        self, http_server: 'HttpServer', sock: socket.socket, _make: object
    ) -> None:
        super().__init__(http_server, sock, connection_files.make_file)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        disconnects.enable_keepalive(sock)
        connection_files.set_send_timeout(sock, http_server.timeout)
        # Whether the connection was ever added to the idle connections.
        self.was_idle = False
        self.discard_input = False
        # For how long it is discarded, seconds.
        self.discard_s = DISCARD_INPUT_S
        # Whether it ends with a reset.
        self.resets = False
        # Whether a stop has cut it within a response.
        self.is_cut = False
        # When its request was queued for a thread, seconds.
        self.queued_at = 0.0
        # Number of requests that were read from this connection.
        self.requests_begun = 0
        self._opened_at = time.monotonic()
        # Time of day at which it was last added to the idle connections.
        self._idle_since = time.time()
        http_server.add_connection(self)

    @property
    def last_used(self) -> float:
        """Time of day for which the library closes idle connections.

        One whose request has arrived is never idle, although a process that was
        suspended may check the time before it reads the request.
        """
        is_due = time.time() - self._idle_since >= self.server.timeout
        if is_due and disconnects.has_input(self.socket):
            return math.inf
        return self._idle_since

    @last_used.setter
    def last_used(self, value: float) -> None:
        self._idle_since = value

    def expects_request(self) -> bool:
        """Whether a request has arrived, or a first one is likely to."""
        if disconnects.has_input(self.socket):
            return True
        age_s = time.monotonic() - self._opened_at
        return not self.requests_begun and age_s < FIRST_REQUEST_S

    def communicate(self) -> bool:
        try:
            if self.server.closing:
                # The request has waited for a thread; no time is left for it.
                return False
            self.requests_begun += 1
            self.server.queue_delays.record(self.queued_at, time.monotonic())
            self.rfile.set_deadline(
                self.server.request_timeout_s or self.server.timeout
            )
            # A response that began before a stop did not announce a close, so
            # its caller may already be sending the next request.
            keep: bool = super().communicate()  # type: ignore[no-untyped-call]
            return keep
        finally:
            self.server.add_active_requests(-1)

    def send_error(
        self, code: codes.Code, figures: caller_exchange.Figures, *, sure: bool
    ) -> None:
        """Sends an error as the last response of the connection."""
        retry_s = BUSY_RETRY_AFTER_S if code.name in _RETRIABLE else 0
        body = caller_exchange.error_body(
            code, figures, self.server.entry_vm, retry_s, certain=sure
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
        if self.discard_input:
            self._discard_input()
        try:
            super().close()
        finally:
            self.server.remove_connection(self)

    def reset_at_end(self, on: bool) -> None:
        """Sets whether the connection ends with a reset, however it ends.

        A close, also that of a killed process, would end a response that has
        neither a length nor chunks.
        """
        try:
            self.socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                _RESET_ON_CLOSE if on else _NO_LINGER,
            )
        except OSError:
            pass  # The caller closed it first.
        self.resets = on

    def _close_kernel_socket(self) -> None:
        # A shutdown would send the end of the response before the close.
        if not self.resets:
            super()._close_kernel_socket()  # type: ignore[misc]

    def _discard_input(self) -> None:
        """Reads and discards input for a short time after an early error.

        Closing a socket with unread input sends a reset, and the caller's
        operating system then discards the error before the caller reads it.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
            self.rfile.set_deadline(self.discard_s)
            end = time.monotonic() + self.discard_s
            # The deadline of the file limits waits only.
            while time.monotonic() < end and self.rfile.read1(
                connection_files.MAX_HEAD_BYTES
            ):
                pass
        except OSError:
            pass


class _ChunkReader:
    """Validates the size lines of a chunked body."""

    __slots__ = ('_reader', 'read')

    def __init__(self, reader: connection_files.Reader) -> None:
        self._reader = reader
        self.read = reader.read

    def readline(self) -> bytes:
        """Reads the size line of a chunk."""
        line = self._reader.readline()
        if len(line) >= connection_files.MAX_HEAD_BYTES:
            raise cheroot_errors.MaxSizeExceeded
        if not request_grammar.CHUNK_LINE.fullmatch(line):
            raise ValueError('the size line of a chunk is malformed')
        return line


class _Gateway(server.Gateway):
    """Reads the body, calls the handler, and aborts unfinished responses."""

    req: _Request

    def respond(self) -> None:
        with self.req.server.byte_budget.for_request() as held:
            body = self._read_body(held)
            if body is not None:
                self._handle(body)

    def _handle(self, body: bytes) -> None:
        req = self.req
        exchange = caller_exchange.Exchange(req, body, req.server.watcher)
        try:
            req.server.handler.handle(exchange)
        except errors.InvariantError as exc:
            exchange.abort()
            threading.excepthook(
                threading.ExceptHookArgs(
                    (type(exc), exc, exc.__traceback__, None)
                )
            )
        except Exception as exc:
            logs.event(logging.ERROR, 'handler failed', exc=exc)
        finally:
            exchange.stop_watching()
            self._finish_response(exchange)

    def _finish_response(self, exchange: caller_exchange.Exchange) -> None:
        if not exchange.started:
            code = codes.FAILED
            entry_vm = self.req.server.entry_vm
            exchange.respond(
                code.status,
                caller_exchange.JSON_HEADERS,
                caller_exchange.error_body(code, {}, entry_vm),
            )
        if not exchange.finished:
            exchange.abort()
            self.req.close_connection = True

    def _read_body(self, held: byte_budget.Reservation) -> bytes | None:
        """Returns the complete body, or None after sending an error."""
        req = self.req
        try:
            return (
                self._read_chunked_body(held)
                if req.chunked_read
                else self._read_sized_body(held)
            )
        except _NoRoomError as exc:
            req.refuse_for_memory(exc.length)
        except TimeoutError:
            req.refuse(codes.SLOW_REQUEST, limit_s=req.server.timeout)
        except cheroot_errors.MaxSizeExceeded:
            req.refuse_too_large('')
        except ValueError as exc:
            req.refuse(codes.BAD_REQUEST, reason=str(exc))
        except OSError as exc:
            if exc.errno is not None:
                raise
            # The library raises a bare OSError for a chunk that is too large.
            req.refuse_too_large('')
        return None

    def _read_sized_body(self, held: byte_budget.Reservation) -> bytes:
        length = self.req.inheaders.get(b'Content-Length', b'0')
        if not held.reserve(int(length)):
            raise _NoRoomError(int(length))
        data: bytes = self.req.rfile.read()
        if len(data) < int(length):
            raise ValueError(
                f'the body ended after {len(data)} of {int(length)} bytes'
            )
        return data

    def _read_chunked_body(self, held: byte_budget.Reservation) -> bytes:
        # The reads are small because the library concatenates the chunks of a
        # read one by one, which is quadratic in the size of the read.
        chunks = []
        size = 0
        self.req.rfile.rfile = _ChunkReader(self.req.conn.rfile)
        while chunk := self.req.rfile.read(_READ_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if not held.grow(size):
                raise _NoRoomError(size)
        self.req.rfile.rfile = self.req.conn.rfile
        for line in self.req.rfile.read_trailer_lines():
            if not request_grammar.FIELD_LINE.fullmatch(line):
                raise ValueError('a trailer of the body is malformed')
        # No second request is read from this connection, since the caller
        # might see the end of the body at another position.
        self.req.close_connection = True
        return b''.join(chunks)


class _ThreadPool(threadpool.ThreadPool):
    """Thread pool of the library that grows when every thread is busy.

    If all 96 threads of each VM were started at once, 78 VMs would have 7,500
    threads, nearly all of them idle. Started threads are never stopped, since
    bursts recur.
    """

    server: 'HttpServer'
    # Set by the library.
    _threads: list[threading.Thread]
    _spawn_worker: Callable[[], threading.Thread]

    def put(self, obj: _Connection) -> None:
        """Queues a connection; only the selector's thread calls this."""
        if len(self._threads) < min(self.max, self.server.active_requests):
            self._start_thread()
        super().put(obj)

    def _start_thread(self) -> None:
        # The library's `grow` is not used: it sleeps until the thread runs,
        # which would delay every other connection.
        try:
            self._threads.append(self._spawn_worker())
        except RuntimeError as exc:
            # The request waits for one of the running threads.
            logs.event(logging.WARNING, 'thread not started', exc=exc)

    @staticmethod
    def _force_close(conn: _Connection | None) -> None:
        if conn is None or conn.rfile.closed:
            return
        logs.event(
            logging.WARNING,
            'connection cut',
            caller=f'{conn.remote_addr}:{conn.remote_port}',
            requests=conn.requests_begun,
        )
        conn.is_cut = True
        threadpool.ThreadPool._force_close(conn)  # type: ignore[attr-defined]
        if conn.resets:
            # A shutdown would end its response. The handler is told that the
            # caller disconnected, and the close resets the connection.
            return
        try:
            # Ends a send to a caller that does not read.
            conn.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # The caller closed it first.


class _IdleSweep:
    """Closes the idle connections, in the selector's thread.

    Another thread may not close them, since the selector's thread may just be
    passing their requests on. The sweep is registered with the selector like a
    connection, and is readable from the start.
    """

    def __init__(self, http_server: 'HttpServer') -> None:
        self._server = http_server
        self._ready = wakes.WakeEvent()
        self._ready.set()
        # The library closes connections that were used before a limit.
        self.last_used = math.inf

    def fileno(self) -> int:
        """Returns the descriptor to register."""
        return self._ready.fileno()

    def run(self) -> None:
        """Closes the idle connections; the selector has removed the sweep."""
        self.close()
        self._server.close_idle_connections()

    def close(self) -> None:
        """Releases the descriptor."""
        self._ready.close()


class HttpServer(server.HTTPServer):
    """HTTP server of the library with strict connections."""

    # Set by the library.
    _connections: Any

    ConnectionClass = _Connection
    request_queue_size = 512
    keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
    max_request_header_size = connection_files.MAX_HEAD_BYTES

    def __init__(
        self,
        address: tuple[str, int],
        handler: caller_exchange.Handler,
        threads: int,
        idle_check_s: float,
    ) -> None:
        super().__init__(address, _Gateway, server_name='foxtaildale')
        self.expiration_interval = idle_check_s
        initial_threads = min(INITIAL_THREADS, threads)
        self.requests = _ThreadPool(self, min=initial_threads, max=threads)
        self.handler = handler
        self.max_threads = threads
        self.entry_vm = ''
        # Whether each response closes its connection.
        self.draining = False
        self.accepting = True
        # Deadline for a request to arrive completely, seconds; 0 selects the
        # idle timeout.
        self.request_timeout_s = 0.0
        # Whether a caller that closed its sending side may still wait for its
        # response.
        self.allows_half_close = True
        self.watcher = disconnects.Watcher(
            lambda exc: logs.event(logging.ERROR, 'watch failed', exc=exc)
        )
        # Number of requests that a thread handles or that wait for a thread.
        self.active_requests = 0
        self.became_idle = threading.Condition()
        # Connections that are open, with or without a request; guarded by
        # `became_idle`.
        self._open_connections: set[_Connection] = set()
        # Number of completed sweeps of idle connections; guarded by
        # `became_idle`.
        self.sweeps = 0
        # Set when the server closes and must no longer begin any request.
        self.closing = False
        # Whether other entry VMs are listed.
        self.has_peers: Callable[[], bool] = lambda: False
        # Bytes of the bodies under way; without a limit by default.
        self.byte_budget = byte_budget.ByteBudget(math.inf)
        # Called when a body was refused for lack of memory.
        self.on_body_refused: Callable[[], None] = lambda: None
        # How long requests wait for a thread that runs.
        self.queue_delays = queue_delays.QueueDelays()
        # Only the selector's thread uses it.
        self._closed_unread = queue_delays.LoggedCount()

    def bind(self, family: int, type: int, proto: int = 0) -> Any:  # noqa: A002, ANN401
        """Creates the socket for connections, which inherit its buffer size."""
        sock = super().bind(family, type, proto)
        connection_files.limit_receive_buffer(sock)
        return sock

    def prepare(self) -> None:
        """Binds the address and listens."""
        super().prepare()
        # A stop accepts the connections that have arrived. The selector's thread
        # may have been told of one of them, and must not wait for another one,
        # which would keep the port open.
        self.socket.setblocking(False)

    def add_connection(self, conn: _Connection) -> None:
        """Counts a connection as open."""
        with self.became_idle:
            self._open_connections.add(conn)

    def remove_connection(self, conn: _Connection) -> None:
        """No longer counts a connection as open."""
        with self.became_idle:
            self._open_connections.discard(conn)
            if not self._open_connections:
                self.became_idle.notify_all()

    def open_connections(self) -> int:
        """Returns the number of connections, with or without a request."""
        with self.became_idle:
            return len(self._open_connections)

    def add_active_requests(self, change: int) -> None:
        """Changes the number of requests in progress."""
        with self.became_idle:
            self.active_requests += change
            if not self.active_requests:
                self.became_idle.notify_all()

    def request_idle_sweep(self) -> None:
        """Has the selector's thread close the idle connections soon.

        Without a free descriptor it does nothing.
        """
        try:
            sweep = _IdleSweep(self)
        except OSError as exc:
            logs.event(logging.WARNING, 'idle sweep failed', error=str(exc))
            return
        try:
            self._connections._selector.register(
                sweep.fileno(), selectors.EVENT_READ, data=sweep
            )
        except (ValueError, KeyError):
            # The selector was closed, and with it every idle connection.
            sweep.close()

    def close_idle_connections(self) -> None:
        """Closes the connections without a request; the sweep calls it."""
        selector = self._connections._selector
        for fd, conn in list(selector.connections):
            if isinstance(conn, _Connection) and not conn.expects_request():
                selector.unregister(fd)
                conn.close()
        with self.became_idle:
            self.sweeps += 1
            self.became_idle.notify_all()

    def process_conn(self, conn: _Connection | _IdleSweep) -> None:
        """Adds a new connection to the selector; queues one that sent data."""
        if isinstance(conn, _IdleSweep):
            conn.run()
            return
        if self.closing:
            # There is no time left to run a request.
            conn.close()
            return
        if not conn.was_idle:
            conn.was_idle = True
            self._connections.put(conn)
            return
        now = time.monotonic()
        is_full = self.active_requests >= self.max_threads
        if (is_full or self._is_overloaded(now)) and self.has_peers():
            self._close_unread(conn, now)
            return
        if self.active_requests >= self.max_threads + MAX_QUEUED_REQUESTS:
            self._reject_busy(conn)
            return
        self.add_active_requests(1)
        conn.queued_at = now
        self.requests.put(conn)

    def _is_overloaded(self, now: float) -> bool:
        """Whether requests wait too long for the processor."""
        return (
            self.active_requests >= MIN_OVERLOAD_REQUESTS
            and self.queue_delays.has_standing_queue(now)
        )

    def _close_unread(self, conn: _Connection, now: float) -> None:
        """Closes a connection whose request has arrived, and does not read it.

        The caller may send any request again, since it was not read, and its
        new connection reaches another VM. A refusal would send it away for the
        time of Retry-After although other VMs can serve it.
        """
        conn.close()
        count = self._closed_unread.record(now)
        if count:
            logs.event(
                logging.WARNING,
                'connections closed unread',
                count=count,
                busy=self.active_requests,
                limit=self.max_threads,
                delay_ms=int(self.queue_delays.last_s * 1000),
            )

    def put_conn(self, conn: _Connection) -> None:
        """Returns a connection to the selector, unless the server closed."""
        try:
            super().put_conn(conn)
        except (ValueError, OSError, KeyError):
            conn.close()

    def _reject_busy(self, conn: _Connection) -> None:
        head = conn.rfile.peek_unread()
        conn.send_error(
            codes.ENTRY_BUSY,
            {'limit': self.max_threads},
            sure=not caller_exchange.has_key_or_ticket(head),
        )
        conn.close()

    def stop_accepting(self) -> None:
        """Processes connections that the kernel accepted, then closes the port.

        Closing at once would reset callers whose requests are in transit.
        """
        self.draining = True
        # The attribute is not set to None: the selector's thread may be about
        # to use it, and the library ignores a closed socket, but not None.
        sock = self.socket
        self._connections._selector.unregister(sock.fileno())
        try:
            while conn := self._connections._from_server_socket(sock):
                self.process_conn(conn)
        except OSError as exc:
            # Without a free descriptor nothing can be accepted any more.
            logs.event(logging.WARNING, 'accept failed', error=str(exc))
        sock.close()

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Logs a message of the library."""
        logs.event(level, 'http server', message=msg)
