"""HTTP request and response, with errors that tell whether data was sent.

After a failed request, callers must know whether the server may have executed
it. Each exception of `urllib3` is therefore converted to
`errors.UnreachableError` (nothing was sent) or `errors.NoReplyError` (data was
or may have been sent). Uncertain cases become `errors.NoReplyError`.

This module retries nothing. After a timeout the connection is closed, and so
are the idle connections to the same address, since a middlebox that lost the
state of one connection has often lost that of all. The next request opens a new
connection.
"""

from collections.abc import Mapping
import threading
import time
from typing import Final
import urllib.parse

import msgspec
import urllib3
import urllib3.exceptions

from foxtaildale import errors
from foxtaildale import ports
from foxtaildale_adapters import bounded_responses

# Maximum timeout for opening a connection, seconds.
CONNECT_TIMEOUT_S: Final = 1.0
# Maximum size of a response body, which is read into memory, unless the
# request sets another one; bytes.
MAX_BODY_BYTES: Final = 16 * 1024 * 1024
# Maximum idle time of the connections that are reused, seconds. The server also
# closes idle connections, and a request sent on a closing connection is lost.
MAX_IDLE_S: Final = 4.0
# Maximum number of addresses with idle connections.
MAX_POOLS: Final = 256
# Maximum number of idle connections to one address.
MAX_IDLE_CONNECTIONS: Final = 16

_READ_BYTES: Final = 65536


class Response(msgspec.Struct, frozen=True):
    """Status, body and headers of an HTTP response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class ResponseTimeoutError(errors.NoReplyError):
    """The response timed out; the connection was not closed by the server."""


class ConnectTimeoutError(errors.UnreachableError):
    """Opening the connection timed out."""


class _Pool:
    """Idle connections to one address."""

    __slots__ = ('connections', 'used_at')

    def __init__(self, connections: urllib3.HTTPConnectionPool) -> None:
        self.connections = connections
        self.used_at = 0.0


class HttpClient:
    """Sends requests to many addresses; safe for concurrent use."""

    __slots__ = ('_clock', '_lock', '_pools')

    def __init__(self, clock: ports.Clock = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # In order of creation; the oldest pool is evicted first.
        self._pools: dict[str, _Pool] = {}

    def send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        timeout_s: float,
        body_timeout_s: float | None = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        reuse: bool = True,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> Response:
        """Sends one request and reads the complete response.

        Args:
            address: IP address and port.
            method: HTTP method.
            path: Path and query, already quoted.
            timeout_s: Timeout for the complete head of the response and for
                each read of its body, seconds.
            body_timeout_s: Timeout for the complete body, seconds; `timeout_s`
                if None.
            body: Bytes to send.
            headers: Headers to send.
            reuse: Whether an idle connection may be used. If an idle connection
                closes during the send, it is unknown whether the request
                arrived, so a request that must not be repeated uses a new
                connection.
            max_body_bytes: Maximum size of the response body, bytes.

        Raises:
            errors.UnreachableError: Nothing was sent.
            errors.NoReplyError: The request was or may have been sent, but no
                complete response arrived.
        """
        conns = self._get_pool(address) if reuse else _connect(address, 1)
        try:
            resp = send_request(
                conns,
                method,
                path,
                connect_timeout_s=min(timeout_s, CONNECT_TIMEOUT_S),
                read_timeout_s=timeout_s,
                body=body,
                headers=headers,
            )
            try:
                body_s = body_timeout_s or timeout_s
                data = self._read(
                    resp, timeout_s, self._clock() + body_s, max_body_bytes
                )
            except BaseException:
                resp.close()
                raise
            if reuse:
                resp.release_conn()
            else:
                resp.close()
        except (ResponseTimeoutError, ConnectTimeoutError):
            self._discard_pool(address)
            raise
        return Response(resp.status, data, tuple(resp.headers.items()))

    def _read(
        self,
        resp: urllib3.BaseHTTPResponse,
        timeout_s: float,
        deadline: float,
        max_bytes: int,
    ) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            with bounded_responses.limited(resp, timeout_s):
                chunk = read_chunk(resp)
            if not chunk:
                return b''.join(chunks)
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise errors.NoReplyError(f'response exceeds {max_bytes} bytes')
            # The socket's timeout doesn't limit a server that sends slowly.
            if self._clock() > deadline:
                raise ResponseTimeoutError('response not complete in time')

    def _get_pool(self, address: str) -> urllib3.HTTPConnectionPool:
        now = self._clock()
        with self._lock:
            pool = self._pools.get(address)
            if pool is None or now - pool.used_at > MAX_IDLE_S:
                self._pools.pop(address, None)
                pool = _Pool(_connect(address, MAX_IDLE_CONNECTIONS))
                self._pools[address] = pool
                if len(self._pools) > MAX_POOLS:
                    del self._pools[next(iter(self._pools))]
            pool.used_at = now
            return pool.connections

    def _discard_pool(self, address: str) -> None:
        # The pool closes its idle connections once it is no longer referenced.
        with self._lock:
            self._pools.pop(address, None)


def send_request(
    conns: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    *,
    connect_timeout_s: float,
    read_timeout_s: float,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> urllib3.BaseHTTPResponse:
    """Sends a request and reads the head of its response.

    Raises:
        errors.UnreachableError: Nothing was sent.
        errors.NoReplyError: The request was or may have been sent, but no
            response head arrived.
    """
    for value in (headers or {}).values():
        if not (value.isascii() and value.isprintable()):
            raise errors.UnreachableError('header value is not printable ASCII')
    try:
        return conns.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(
                connect=connect_timeout_s, read=read_timeout_s
            ),
            preload_content=False,
            decode_content=False,
        )
    except (
        # A subclass of urllib3.exceptions.ConnectTimeoutError, although the
        # connection was refused.
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ClosedPoolError,
        urllib3.exceptions.EmptyPoolError,
        urllib3.exceptions.LocationValueError,
    ) as exc:
        raise errors.UnreachableError(str(exc)) from exc
    except urllib3.exceptions.ConnectTimeoutError as exc:
        raise ConnectTimeoutError(str(exc)) from exc
    except urllib3.exceptions.ReadTimeoutError as exc:
        raise ResponseTimeoutError(str(exc)) from exc
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
        raise errors.NoReplyError(str(exc)) from exc


def read_chunk(resp: urllib3.BaseHTTPResponse) -> bytes:
    """Reads the available part of a response body; empty at its end.

    Raises:
        errors.NoReplyError: The connection closed within the body, or the read
            timed out.
    """
    try:
        return resp.read1(_READ_BYTES)
    except urllib3.exceptions.ReadTimeoutError as exc:
        raise ResponseTimeoutError(str(exc)) from exc
    except (
        urllib3.exceptions.HTTPError,
        OSError,
        ValueError,
        AttributeError,
    ) as exc:
        # AttributeError: another thread closed the response.
        raise errors.NoReplyError(str(exc)) from exc


class _Http10Connection(bounded_responses.Connection):
    """HTTP/1.0 connection, on which a server may not send a chunked body.

    In a chunked stream, each token would need two additional line reads.
    """

    _http_vsn = 10
    _http_vsn_str = 'HTTP/1.0'


class _Http11Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = bounded_responses.Connection


class _Http10Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Http10Connection


def stream_pool(address: str) -> urllib3.HTTPConnectionPool:
    """Returns a pool for one stream, whose body ends when the server closes."""
    return _connect(address, 1, _Http10Pool)


def quote(text: str) -> str:
    """Returns `text` quoted as one path segment."""
    return urllib.parse.quote(text, safe='')


def _connect(
    address: str,
    maxsize: int,
    pool_class: type[urllib3.HTTPConnectionPool] = _Http11Pool,
) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal() or int(port) > 65535:
        raise errors.UnreachableError(f'not an address: {address!r}')
    return pool_class(host, int(port), maxsize=maxsize, block=False)
