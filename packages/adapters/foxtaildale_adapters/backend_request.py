"""One request to one backend server, on a connection used by it alone.

After a complete response, the connection may be reused for another request that
is safe to send twice (`idle_connections`). A request that must not run twice
uses a new connection: if the backend server has just closed an idle connection,
it is unknown whether the request arrived.

`cancel` may be called from any thread at any time. It shuts the connection
down, which wakes the thread that waits on it and notifies the backend server.
"""

from collections.abc import Mapping
import http.client
import math
import socket
import threading
import time
from typing import Final

import urllib3
import urllib3.connection
import urllib3.exceptions
import urllib3.util

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale_adapters import bounded_responses
from foxtaildale_adapters import connection_relay
from foxtaildale_adapters import connectors
from foxtaildale_adapters import disconnects
from foxtaildale_adapters import http_client
from foxtaildale_adapters import idle_connections
from foxtaildale_adapters import liveness
from foxtaildale_adapters import server_connection

# Maximum number of attempts whose ids are kept with a connection.
MAX_ATTEMPTS_PER_CONNECTION: Final = 64
_READ_BYTES: Final = 65536
# Value with which the library reports version HTTP/1.1 of a response.
_HTTP_1_1: Final = 11
# Statuses of responses that have no body.
_NO_BODY: Final = frozenset((204, 304))
# Errors of the library, of the protocol parser, and of a socket that another
# thread closed.
_CONNECTION_ERRORS: Final = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
    AttributeError,
)


class RawResponseHead:
    """Status and headers of a response, as received."""

    __slots__ = ('framing', 'headers', 'reused', 'status')

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        framing: forwarding.Framing,
        *,
        reused: bool,
    ) -> None:
        self.status = status
        self.headers = headers
        self.framing = framing
        # Whether the connection had served another request before.
        self.reused = reused


class Request:
    """A request and its connection."""

    __slots__ = (
        '_address',
        '_attempts',
        '_body',
        '_cancelled',
        '_complete',
        '_conn',
        '_connector',
        '_headers',
        '_idle',
        '_is_self_delimiting',
        '_lock',
        '_method',
        '_peek_error',
        '_resp',
        '_reused',
        '_sock',
        '_target',
        '_watch',
    )

    def __init__(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        *,
        connector: connectors.Connector,
        idle_conns: idle_connections.IdleConnections | None = None,
        attempt: str = '',
        watch: liveness.Watch | None = None,
        is_self_delimiting: bool = False,
    ) -> None:
        """Prepares a request; sends nothing yet.

        Args:
            address: 'IP:PORT' of the backend server.
            method: HTTP method.
            target: Path and query as they are sent.
            headers: Headers as they are sent.
            body: Bytes to send.
            connector: Opens a new connection.
            idle_conns: Pool from which an idle connection is taken, if there is
                one, and to which it is returned. None for a request that must
                not be sent twice.
            attempt: Id of the attempt, which the response names; the request
                takes no connection that carried the attempt. Empty if the
                response names none.
            watch: Proves that an unframed response is complete; without it,
                such a response counts as broken off.
            is_self_delimiting: Whether the reader of the body can tell from its
                content whether it is complete.
        """
        self._address = address
        self._connector = connector
        self._watch = watch
        self._is_self_delimiting = is_self_delimiting
        self._idle = idle_conns
        idle = idle_conns.pop(address, attempt) if idle_conns else None
        self._reused = idle is not None
        # Ids of the attempts that the connection carried.
        self._attempts = frozenset((attempt,) if attempt else ())
        if idle is not None:
            self._attempts |= idle.attempts
        self._conn: urllib3.connection.HTTPConnection = (
            idle.conn
            if idle is not None
            else server_connection.ServerConnection(address, connector)
        )
        self._method = method
        self._target = target
        self._headers = dict(headers)
        names = {name.lower() for name in headers}
        for name in ('User-Agent', 'Accept-Encoding'):
            # The library would add its own header.
            if name.lower() not in names:
                self._headers[name] = urllib3.util.SKIP_HEADER
        self._body = body
        # Whether the response body was read to its regular end.
        self._complete = False
        self._resp: urllib3.BaseHTTPResponse | None = None
        # Error of `_peek`, which the next read raises. Linux reports a reset to
        # one read only; the next one returns the end of the input.
        self._peek_error: Exception | None = None
        # The connected socket; the connection drops its reference to it if it
        # is to be closed after the response.
        self._sock: socket.socket | None = None
        # Guards `_cancelled`: a cancellation before the socket exists must
        # prevent any use of the socket.
        self._lock = threading.Lock()
        self._cancelled = False

    def send(self, timeout_s: float) -> None:
        """Connects and sends the complete request.

        Raises:
            errors.UnreachableError: Nothing was sent.
            errors.ConnectionBrokenError: A part may have been sent.
        """
        if self._watch is not None and not self._is_self_delimiting:
            self._watch.start()
        self._conn.timeout = min(timeout_s, server_connection.CONNECT_TIMEOUT_S)
        try:
            if self._conn.sock is None:
                self._conn.connect()
        except connectors.NoPathError as exc:
            self.cancel()
            raise errors.NoPathError(str(exc)) from exc
        except _CONNECTION_ERRORS as exc:
            self.cancel()
            raise errors.UnreachableError(str(exc)) from exc
        with self._lock:
            if self._cancelled:
                self._conn.close()
                raise errors.UnreachableError('cancelled')
        self._sock = self._conn.sock
        try:
            self._conn.timeout = timeout_s
            self._conn.request(
                self._method,
                self._target,
                body=self._body or None,
                headers=self._headers,
                preload_content=False,
                decode_content=False,
            )
        except BrokenPipeError:
            # The backend server responded before it had read a long body;
            # `read_head` reads the response.
            pass
        except _CONNECTION_ERRORS as exc:
            self.cancel()
            raise errors.ConnectionBrokenError(str(exc)) from exc

    @property
    def via(self) -> str:
        """Name of the entry VM that relays the connection, or ''."""
        opened = self._opened
        return opened.via if opened is not None else ''

    @property
    def _opened(self) -> connectors.Opened | None:
        conn = self._conn
        if isinstance(conn, server_connection.ServerConnection):
            return conn.opened
        return None

    def await_response(self, timeout_s: float) -> bool:
        """Waits until a read makes progress or the connection ends.

        Returns:
            False if neither came in time; the request goes on.
        """
        sock = self._sock
        if sock is None or self._is_body_read():
            return True
        deadline = time.monotonic() + timeout_s
        while True:
            unread = self._peek(sock)
            if self._peek_error is not None:
                return True
            if unread and not self._is_chunk_end(unread):
                return True
            if not disconnects.has_input(sock, deadline - time.monotonic()):
                return False
            # The library does not look beyond what it has buffered.
            if unread or not self._peek(sock):
                return True

    def read_head(self, timeout_s: float) -> RawResponseHead:
        """Waits for the complete head of the response.

        Raises:
            errors.NoReplyError: No head arrived in time, or it is malformed.
        """
        try:
            self._raise_peek_error()
            self._set_timeout(timeout_s)
            self._conn.timeout = timeout_s
            resp = self._conn.getresponse()
        except TimeoutError as exc:
            self.cancel()
            raise http_client.ResponseTimeoutError(
                'no response in time'
            ) from exc
        except _CONNECTION_ERRORS as exc:
            self.cancel()
            raise errors.ConnectionBrokenError(str(exc)) from exc
        self._resp = resp
        if self._watch is not None:
            self._watch.record_framing(
                framed=not self._ends_with_connection(resp)
            )
        return RawResponseHead(
            resp.status,
            tuple(resp.headers.items()),
            _framing(resp),
            reused=self._reused,
        )

    def read(self, timeout_s: float) -> bytes:
        """Waits for a chunk of the body; returns b'' at its regular end.

        Raises:
            errors.NoReplyError: The body ended early or timed out.
        """
        if self._resp is None:
            raise errors.InvariantError('body read before the response head')
        try:
            self._raise_peek_error()
            self._set_timeout(timeout_s)
            with bounded_responses.limited(self._resp, timeout_s):
                data = self._resp.read1(_READ_BYTES)
            if not data and self._ends_with_connection(self._resp):
                self._check_complete(timeout_s)
            self._complete = not data
            return data
        except urllib3.exceptions.ReadTimeoutError as exc:
            self.cancel()
            raise http_client.ResponseTimeoutError('no data in time') from exc
        except _CONNECTION_ERRORS as exc:
            self.cancel()
            raise errors.ConnectionBrokenError(str(exc)) from exc

    def _ends_with_connection(self, resp: urllib3.BaseHTTPResponse) -> bool:
        """Whether only the end of the connection tells where the body ends."""
        has_body = self._method != 'HEAD' and resp.status not in _NO_BODY
        return has_body and not _is_framed(resp)

    def _check_complete(self, timeout_s: float) -> None:
        """Checks that a body that ended with its connection is complete.

        Raises:
            errors.ConnectionBrokenError: The body may have broken off.
        """
        with self._lock:
            is_cancelled = self._cancelled
        if is_cancelled:
            raise errors.ConnectionBrokenError('cancelled')
        if self._is_self_delimiting:
            return
        if not (
            self._is_relay_running() and self._is_server_running(timeout_s)
        ):
            raise errors.ConnectionBrokenError(
                'the server may have ended with its unframed response'
            )

    def _is_server_running(self, timeout_s: float) -> bool:
        watch = self._watch
        return watch is not None and watch.is_server_running(timeout_s)

    def _is_relay_running(self) -> bool:
        """Whether nothing relays the connection, or its relay goes on."""
        opened = self._opened
        if opened is None or not opened.relay:
            return True
        return connection_relay.is_running(opened, self._address)

    def cancel(self) -> None:
        """Shuts the connection down; may be called more than once."""
        with self._lock:
            self._cancelled = True
            # The connection drops its socket once the head of a response that
            # ends with it was read.
            sock = self._conn.sock or self._sock
            try:
                if sock is not None:
                    sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The backend server closed it first.

    def close(self) -> None:
        """Releases the connection; only the reading thread may call it."""
        if self._watch is not None:
            self._watch.close()
        if self._return_to_pool():
            return
        self.cancel()
        if self._resp is not None:
            self._resp.close()
        self._conn.close()

    def _return_to_pool(self) -> bool:
        """Returns the connection to the pool if it can be reused."""
        if self._idle is None or self._resp is None or not self._complete:
            return False
        if self.via or not _is_reusable(self._resp):
            # An idle connection would hold up a stop of the VM that relays it.
            return False
        if len(self._attempts) >= MAX_ATTEMPTS_PER_CONNECTION:
            return False
        with self._lock:
            if self._cancelled or self._conn.sock is None:
                return False
            # A late cancellation must not affect the next request.
            conn = self._conn
            opened_at = getattr(conn, 'opened_at', math.inf)
            self._conn = server_connection.ServerConnection(
                self._address, self._connector
            )
            self._sock = None
            resp, self._resp = self._resp, None
        self._idle.add(
            self._address,
            conn,
            _keep_alive_s(resp),
            self._attempts,
            opened_at,
        )
        return True

    def _peek(self, sock: socket.socket) -> bytes:
        """Returns received bytes of the body that the library has buffered.

        If there are none, it looks at the socket once, without waiting.
        """
        reader = getattr(self._library_response(), 'fp', None)
        if reader is None:
            return b''
        try:
            sock.settimeout(0.0)
            data: bytes = reader.peek(1)
        except _CONNECTION_ERRORS as exc:
            self._peek_error = exc
            return b''
        return data

    def _raise_peek_error(self) -> None:
        if self._peek_error is not None:
            raise self._peek_error

    def _is_chunk_end(self, unread: bytes) -> bool:
        """Whether these bytes only end a chunk whose data were read.

        The library reads them together with the next chunk.
        """
        left = getattr(self._library_response(), 'chunk_left', None)
        return left == 0 and unread in (b'\r', b'\r\n')

    def _is_body_read(self) -> bool:
        """Whether the whole body was read."""
        resp = self._library_response()
        return resp is not None and (resp.fp is None or resp.length == 0)

    def _library_response(self) -> http.client.HTTPResponse | None:
        """Returns the response of the protocol parser; None before its head."""
        resp = getattr(self._resp, '_fp', None)
        return resp if isinstance(resp, http.client.HTTPResponse) else None

    def _set_timeout(self, timeout_s: float) -> None:
        # A connection that is not reused is closed with the end of the response.
        if self._sock is not None and self._sock.fileno() >= 0:
            self._sock.settimeout(max(0.001, timeout_s))


def _is_reusable(resp: urllib3.BaseHTTPResponse) -> bool:
    """Whether the server keeps the connection open after a response."""
    names = resp.headers.get('Connection', '').lower()
    return (
        _is_framed(resp) and resp.version == _HTTP_1_1 and 'close' not in names
    )


def _framing(resp: urllib3.BaseHTTPResponse) -> forwarding.Framing:
    """Returns what tells where the body ends."""
    if 'Transfer-Encoding' in resp.headers:
        return 'chunks'
    return 'length' if 'Content-Length' in resp.headers else 'connection'


def _is_framed(resp: urllib3.BaseHTTPResponse) -> bool:
    """Whether a length or chunks tell where the body ends."""
    return _framing(resp) != 'connection'


def _keep_alive_s(resp: urllib3.BaseHTTPResponse) -> float | None:
    """Returns the timeout of the Keep-Alive header, seconds."""
    for part in resp.headers.get('Keep-Alive', '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdecimal():
            return float(value)
    return None
