"""One HTTP request and its answer, with errors that tell what was sent.

The decisions need one thing of a failed request: may the other side have
acted on it? So everything that `urllib3` can raise is sorted into
`errors.UnreachableError` (nothing was sent) and `errors.AnswerLostError`
(something was, or may have been). In doubt it is the second.

Nothing is repeated here. A connection that was silent past its timeout is
closed, and so are the idle ones to the same address: a middlebox that lost
one has often lost them all. The next request opens a new connection.
"""

from collections.abc import Mapping
import threading
import time
from typing import Final
import urllib.parse

import msgspec
import urllib3
import urllib3.connection
import urllib3.exceptions

from foxtaildale import errors
from foxtaildale import ports

# Bound on connecting, seconds.
CONNECT_S: Final = 1.0
# Longest answer that is held in memory, bytes.
MAX_BODY: Final = 16 * 1024 * 1024
# An idle connection older than this is not used again, seconds: the other
# side closes idle ones too, and a request that meets the close is lost.
IDLE_S: Final = 4.0
# Addresses whose idle connections are kept.
MAX_POOLS: Final = 256
# Idle connections kept for one address.
MAX_IDLE: Final = 16

_READ_BYTES: Final = 65536


class Answer(msgspec.Struct, frozen=True):
    """Status, body and headers of an HTTP answer."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class TimeoutLostError(errors.NoReplyError):
    """The answer was lost by silence, not by a closed connection."""


class SilentError(errors.UnreachableError):
    """The connection could not be opened in time."""


class _Pool:
    """Idle connections to one address."""

    __slots__ = ('connections', 'used_at')

    def __init__(self, connections: urllib3.HTTPConnectionPool) -> None:
        self.connections = connections
        self.used_at = 0.0


class Exchange:
    """Sends requests to many addresses; safe for concurrent use."""

    __slots__ = ('_clock', '_lock', '_pools')

    def __init__(self, clock: ports.Clock = time.monotonic) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # In order of first use, for dropping the oldest.
        self._pools: dict[str, _Pool] = {}

    def send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        timeout_s: float,
        whole_s: float | None = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        reuse: bool = True,
    ) -> Answer:
        """Sends one request and reads the whole answer.

        Args:
            address: IP number and port.
            method: HTTP method.
            path: Path and query, quoted already.
            timeout_s: Bound on the head of the answer, and on each silence
                within its body.
            whole_s: Bound on the whole body; as long as one silence if it is
                not given.
            body: Bytes to send.
            headers: Headers to send.
            reuse: Whether an idle connection may be used. One that closes
                just then leaves it unknown whether the request arrived, so
                what must not be repeated takes a new one.

        Raises:
            errors.UnreachableError: Nothing was sent.
            errors.AnswerLostError: Sent, and no whole answer came.
        """
        conns = self._take(address) if reuse else _connect(address, 1)
        try:
            resp = request(
                conns,
                method,
                path,
                connect_s=min(timeout_s, CONNECT_S),
                silence_s=timeout_s,
                body=body,
                headers=headers,
            )
            try:
                data = self._read(resp, self._clock() + (whole_s or timeout_s))
            except BaseException:
                resp.close()
                raise
            if reuse:
                resp.release_conn()
            else:
                resp.close()
        except (TimeoutLostError, SilentError):
            self._drop(address)
            raise
        return Answer(resp.status, data, tuple(resp.headers.items()))

    def _read(self, resp: urllib3.BaseHTTPResponse, deadline: float) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while True:
            chunk = read(resp)
            if not chunk:
                return b''.join(chunks)
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_BODY:
                raise errors.NoReplyError(f'answer above {MAX_BODY} bytes')
            # A sender that trickles never trips the socket's own timeout.
            if self._clock() > deadline:
                raise TimeoutLostError('answer not whole in time')

    def _take(self, address: str) -> urllib3.HTTPConnectionPool:
        now = self._clock()
        with self._lock:
            pool = self._pools.get(address)
            if pool is None or now - pool.used_at > IDLE_S:
                self._pools.pop(address, None)
                pool = _Pool(_connect(address, MAX_IDLE))
                self._pools[address] = pool
                if len(self._pools) > MAX_POOLS:
                    del self._pools[next(iter(self._pools))]
            pool.used_at = now
            return pool.connections

    def _drop(self, address: str) -> None:
        # The pool closes its idle connections when nobody refers to it.
        with self._lock:
            self._pools.pop(address, None)


def request(
    conns: urllib3.HTTPConnectionPool,
    method: str,
    path: str,
    *,
    connect_s: float,
    silence_s: float,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> urllib3.BaseHTTPResponse:
    """Sends a request and reads the head of its answer.

    Raises:
        errors.UnreachableError: Nothing was sent.
        errors.AnswerLostError: Sent, and no head of an answer came.
    """
    for value in (headers or {}).values():
        if not (value.isascii() and value.isprintable()):
            raise errors.UnreachableError('header value not printable ASCII')
    try:
        return conns.urlopen(
            method,
            path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(connect=connect_s, read=silence_s),
            preload_content=False,
            decode_content=False,
        )
    except (
        # Also a ConnectTimeoutError, though it means refused.
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ClosedPoolError,
        urllib3.exceptions.EmptyPoolError,
        urllib3.exceptions.LocationValueError,
    ) as exc:
        raise errors.UnreachableError(str(exc)) from exc
    except urllib3.exceptions.ConnectTimeoutError as exc:
        raise SilentError(str(exc)) from exc
    except urllib3.exceptions.ReadTimeoutError as exc:
        raise TimeoutLostError(str(exc)) from exc
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
        raise errors.NoReplyError(str(exc)) from exc


def read(resp: urllib3.BaseHTTPResponse) -> bytes:
    """Reads what has come of an answer's body; empty at its end.

    Raises:
        errors.AnswerLostError: The body broke off or fell silent.
    """
    try:
        return resp.read1(_READ_BYTES)
    except urllib3.exceptions.ReadTimeoutError as exc:
        raise TimeoutLostError(str(exc)) from exc
    except (
        urllib3.exceptions.HTTPError,
        OSError,
        ValueError,
        AttributeError,
    ) as exc:
        # AttributeError: the response was closed by another thread.
        raise errors.NoReplyError(str(exc)) from exc


class _Unchunked(urllib3.connection.HTTPConnection):
    """Speaks HTTP/1.0, to which a server may not answer in chunks.

    A stream of tokens would pay for two more reads of a line with each.
    """

    _http_vsn = 10
    _http_vsn_str = 'HTTP/1.0'


class _UnchunkedPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Unchunked


def connect(address: str) -> urllib3.HTTPConnectionPool:
    """Returns a pool for one stream, whose body ends with its connection."""
    return _connect(address, 1, _UnchunkedPool)


def quote(text: str) -> str:
    """Returns `text` as one segment of a path."""
    return urllib.parse.quote(text, safe='')


def _connect(
    address: str,
    maxsize: int,
    kind: type[urllib3.HTTPConnectionPool] = urllib3.HTTPConnectionPool,
) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(':')
    if not host or not port.isdecimal() or int(port) > 65535:
        raise errors.UnreachableError(f'not an address: {address!r}')
    return kind(host, int(port), maxsize=maxsize, block=False)
