"""One request to one backend server, with a connection to itself.

A connection that served a request to its end may serve another that can be sent
again (`idle`). One that must not run twice takes a new connection: on an idle
one that the other side just closed it is not known whether the request arrived.

`cancel` may be called from any thread at any time; it shuts the connection
down, which wakes the thread that waits on it and tells the backend server.
"""

from collections.abc import Mapping
import http.client
import socket
import threading
from typing import Final

import urllib3
import urllib3.connection
import urllib3.exceptions
import urllib3.util

from foxtaildale import errors
from foxtaildale_adapters import exchange
from foxtaildale_adapters import idle

# Bound on connecting, seconds. Round trips take a few milliseconds. A lost
# opening packet is sent again after one second, by when another server could
# have answered; nothing was sent, so trying one is always allowed.
CONNECT_S: Final = 0.2
# Bytes that were sent and not acknowledged for this long end the connection,
# milliseconds: a machine behind a partition sends no reset.
UNACKNOWLEDGED_MS: Final = 4000
_READ_BYTES: Final = 65536
# As the library tells the version of an answer.
_HTTP_1_1: Final = 11
_OPTIONS: Final[list[tuple[int, int, int | bytes]]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]
# Errors of the library, of the protocol parser, and of a socket that another
# thread closed.
_LOST: Final = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
    AttributeError,
)


class Answer:
    """Status line and headers as they came."""

    __slots__ = ('headers', 'status')

    def __init__(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        self.status = status
        self.headers = headers


class Request:
    """A request and its connection."""

    __slots__ = (
        '_address',
        '_body',
        '_cancelled',
        '_conn',
        '_headers',
        '_idle',
        '_lock',
        '_method',
        '_resp',
        '_target',
        '_whole',
    )

    def __init__(
        self,
        address: str,
        method: str,
        target: str,
        headers: Mapping[str, str],
        body: bytes,
        *,
        idle_conns: idle.Idle | None = None,
    ) -> None:
        """Prepares a request; sends nothing yet.

        Args:
            address: 'IP:PORT' of the backend server.
            method: HTTP method.
            target: Path and query as they are sent.
            headers: Headers as they are sent.
            body: Bytes to send.
            idle_conns: Where a connection is taken from, if there is one, and
                kept. None for a request that must not be sent twice.
        """
        self._address = address
        self._idle = idle_conns
        kept = idle_conns.take(address) if idle_conns is not None else None
        self._conn = kept or _connection(address)
        self._method = method
        self._target = target
        self._headers = dict(headers)
        names = {name.lower() for name in headers}
        for name in ('User-Agent', 'Accept-Encoding'):
            # The library would add its own.
            if name.lower() not in names:
                self._headers[name] = urllib3.util.SKIP_HEADER
        self._body = body
        # Whether the answer was read to its proper end.
        self._whole = False
        self._resp: urllib3.BaseHTTPResponse | None = None
        # Guards the flag: a cancel before the socket exists must keep it from
        # being used at all.
        self._lock = threading.Lock()
        self._cancelled = False

    def send(self, timeout_s: float) -> None:
        """Connects and sends the whole request.

        Raises:
            errors.UnreachableError: Nothing was sent.
            errors.BrokenOffError: A part may have been.
        """
        self._conn.timeout = min(timeout_s, CONNECT_S)
        try:
            if self._conn.sock is None:
                self._conn.connect()
        except _LOST as exc:
            self.cancel()
            raise errors.UnreachableError(str(exc)) from exc
        with self._lock:
            if self._cancelled:
                self._conn.close()
                raise errors.UnreachableError('cancelled')
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
            # The other side answered before it had read a long body; `answer`
            # reads what it said.
            pass
        except _LOST as exc:
            self.cancel()
            raise errors.ConnectionBrokenError(str(exc)) from exc

    def answer(self, timeout_s: float) -> Answer:
        """Waits for the head of the answer.

        Raises:
            errors.AnswerLostError: None came, or what came is none.
        """
        try:
            self._wait_at_most(timeout_s)
            self._conn.timeout = timeout_s
            resp = self._conn.getresponse()
            _check_framing(resp)
        except TimeoutError as exc:
            self.cancel()
            raise exchange.TimeoutLostError('no answer in time') from exc
        except _LOST as exc:
            self.cancel()
            raise errors.ConnectionBrokenError(str(exc)) from exc
        self._resp = resp
        return Answer(resp.status, tuple(resp.headers.items()))

    def read(self, timeout_s: float) -> bytes:
        """Waits for a piece of the body; empty at its proper end.

        Raises:
            errors.AnswerLostError: The body broke off or fell silent.
        """
        if self._resp is None:
            raise errors.InvariantError('a body is read behind its head')
        try:
            self._wait_at_most(timeout_s)
            data = self._resp.read1(_READ_BYTES)
            self._whole = not data
            return data
        except urllib3.exceptions.ReadTimeoutError as exc:
            self.cancel()
            raise exchange.TimeoutLostError('silent') from exc
        except _LOST as exc:
            self.cancel()
            raise errors.ConnectionBrokenError(str(exc)) from exc

    def cancel(self) -> None:
        """Ends the connection now; may be called more than once."""
        with self._lock:
            self._cancelled = True
            sock = self._conn.sock
            try:
                if sock is not None:
                    sock.shutdown(socket.SHUT_RDWR)
                elif self._resp is not None:
                    self._resp.shutdown()
            except (OSError, RuntimeError, ValueError):
                pass  # The other side closed it first.

    def close(self) -> None:
        """Frees the connection; only the thread that reads calls it."""
        if self._keep():
            return
        self.cancel()
        if self._resp is not None:
            self._resp.close()
        self._conn.close()

    def _keep(self) -> bool:
        """Keeps the connection for another request, if it may serve one."""
        if self._idle is None or self._resp is None or not self._whole:
            return False
        if not _may_serve_another(self._resp):
            return False
        with self._lock:
            if self._cancelled or self._conn.sock is None:
                return False
            # A late cancel must not meet the next request.
            conn, self._conn = self._conn, _connection(self._address)
            resp, self._resp = self._resp, None
        self._idle.put(self._address, conn, _told_s(resp))
        return True

    def _wait_at_most(self, timeout_s: float) -> None:
        sock = self._conn.sock
        if sock is not None:
            sock.settimeout(max(0.001, timeout_s))


def _connection(address: str) -> urllib3.connection.HTTPConnection:
    host, _, port = address.rpartition(':')
    return urllib3.connection.HTTPConnection(
        host, int(port), timeout=CONNECT_S, socket_options=_OPTIONS
    )


def _may_serve_another(resp: urllib3.BaseHTTPResponse) -> bool:
    """Whether the other side leaves the connection open behind an answer."""
    names = resp.headers.get('Connection', '').lower()
    framed = 'Content-Length' in resp.headers or resp.headers.get(
        'Transfer-Encoding'
    )
    return bool(framed) and resp.version == _HTTP_1_1 and 'close' not in names


def _told_s(resp: urllib3.BaseHTTPResponse) -> float | None:
    """Returns how long the other side says that it keeps the connection."""
    for part in resp.headers.get('Keep-Alive', '').split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdecimal():
            return float(value)
    return None


def _check_framing(resp: urllib3.BaseHTTPResponse) -> None:
    """Refuses lengths that the library reads in its own way.

    Raises:
        ValueError: The end of the body can't be told.
    """
    if not 200 <= resp.status <= 599:
        raise ValueError(f'status {resp.status}')
    length = resp.headers.get('Content-Length')
    coding = resp.headers.get('Transfer-Encoding')
    if length is not None and not (length.isascii() and length.isdigit()):
        raise ValueError('the length is not a number')
    if coding is not None and coding.strip().lower() != 'chunked':
        raise ValueError('unknown transfer coding')
    if coding is not None and length is not None:
        raise ValueError('two ways to tell the end of the body')
