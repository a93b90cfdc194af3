"""Connections that serve more than one request."""

from collections.abc import Callable
import contextlib
import socket
import threading
import time

import pytest

from foxtaildale_adapters import backend_request
from foxtaildale_adapters import connectors
from foxtaildale_adapters import http_client
from foxtaildale_adapters import idle_connections

_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'


class _Server:
    """Counts connections; says the same to each request on them."""

    def __init__(self, says: bytes, after_s: float = 0.0) -> None:
        self.opened = 0
        self.asked = 0
        self._says = says
        # Bytes that follow the first answer, after a while.
        self.late: bytes | None = None
        self._after_s = after_s
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self._socks: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.opened += 1
                self._socks.append(sock)
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = b''
                while b'\r\n\r\n' not in data:
                    part = sock.recv(65536)
                    if not part:
                        return
                    data += part
                self.asked += 1
                sock.sendall(self._says)
                if self.late is not None:
                    time.sleep(self._after_s)
                    sock.sendall(self.late)

    def drop(self) -> None:
        for sock in self._socks:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self._listener.close()
        self.drop()


def _ask(
    address: str,
    kept: idle_connections.IdleConnections | None,
    attempt: str = '',
) -> bytes:
    req = backend_request.Request(
        address,
        'GET',
        '/x',
        {'host': 'h'},
        b'',
        connector=connectors.DirectConnector(),
        idle_conns=kept,
        attempt=attempt,
    )
    req.send(1.0)
    req.read_head(1.0)
    found = b''
    while part := req.read(1.0):
        found += part
    req.close()
    return found


def _play(
    server: _Server, between: Callable[[], None] = lambda: None
) -> tuple[int, int]:
    """Asks twice; returns connections opened and requests that arrived."""
    kept = idle_connections.IdleConnections(time.monotonic)
    for _ in range(2):
        assert _ask(server.address, kept) == b'ok'
        between()
        time.sleep(2 * idle_connections.MIN_IDLE_S)
    kept.close()
    server.close()
    return server.opened, server.asked


def test_a_connection_serves_a_second_request() -> None:
    assert _play(_Server(_ANSWER + b'\r\nok')) == (1, 2)


@pytest.mark.parametrize(
    'headers',
    [
        pytest.param(b'Connection: close\r\n', id='a server that leaves'),
        pytest.param(b'Keep-Alive: timeout=0\r\n', id='one that keeps none'),
    ],
)
def test_what_a_server_says_of_its_connections_is_heeded(
    headers: bytes,
) -> None:
    """The server is about to close; a request that meets the close is lost."""
    assert _play(_Server(_ANSWER + headers + b'\r\nok')) == (2, 2)


def test_a_connection_that_was_closed_meanwhile_is_not_used() -> None:
    """A server restarts between two requests."""
    server = _Server(_ANSWER + b'\r\nok')
    assert _play(server, server.drop) == (2, 2)


def test_bytes_behind_an_answer_are_nobodys_answer() -> None:
    """A faulty server sends another answer a moment after the whole one.

    On a kept connection it would pass for the answer to the next request.
    """
    server = _Server(
        _ANSWER + b'\r\nok', after_s=idle_connections.MIN_IDLE_S / 2
    )
    server.late = _ANSWER + b'\r\nNO'
    assert _play(server) == (2, 2)


def test_a_request_that_must_not_run_twice_takes_a_new_connection() -> None:
    """On an idle one that closes it is not known whether it arrived."""
    server = _Server(_ANSWER + b'\r\nok')
    kept = idle_connections.IdleConnections(time.monotonic)
    _ask(server.address, kept)
    time.sleep(2 * idle_connections.MIN_IDLE_S)
    assert _ask(server.address, None) == b'ok'
    assert server.opened == 2
    kept.close()
    server.close()


def test_connections_rest_for_a_moment_and_not_for_long() -> None:
    now = [0.0]
    server = _Server(_ANSWER + b'\r\nok')
    kept = idle_connections.IdleConnections(lambda: now[0])
    _ask(server.address, kept)
    assert kept.pop(server.address) is None
    now[0] += idle_connections.MIN_IDLE_S
    idle = kept.pop(server.address)
    assert idle is not None
    kept.add(server.address, idle.conn, None)
    now[0] += idle_connections.MAX_IDLE_S
    assert kept.pop(server.address) is None
    kept.close()
    server.close()


def test_an_attempt_does_not_reuse_a_connection_that_carried_it() -> None:
    """Guards against a late second response with the id of the same attempt."""
    server = _Server(_ANSWER + b'\r\nok')
    kept = idle_connections.IdleConnections(time.monotonic)
    opened = []
    for attempt in ('a1', 'a2', 'a1', 'a3'):
        _ask(server.address, kept, attempt)
        opened.append(server.opened)
        time.sleep(2 * idle_connections.MIN_IDLE_S)
    kept.close()
    server.close()
    assert opened == [1, 1, 2, 2]


def test_a_connection_carries_a_limited_number_of_attempts() -> None:
    """Guards against the growth of what a connection remembers."""
    now = [0.0]
    server = _Server(_ANSWER + b'\r\nok')
    kept = idle_connections.IdleConnections(lambda: now[0])
    for number in range(backend_request.MAX_ATTEMPTS_PER_CONNECTION + 1):
        _ask(server.address, kept, f'a{number}')
        now[0] += idle_connections.MIN_IDLE_S
    kept.close()
    server.close()
    assert server.opened == 2


def test_bytes_read_with_an_answer_are_no_part_of_the_next_one() -> None:
    """Guards against a second response that begins in a lost buffer."""
    second = _ANSWER + b'\r\nNO'
    assert _play(_Server(_ANSWER + b'\r\nok' + second)) == (2, 2)


def test_control_calls_do_not_read_what_follows_an_answer() -> None:
    """Guards against a second response that begins in a lost buffer."""
    server = _Server(_ANSWER + b'\r\nok' + _ANSWER)
    client = http_client.HttpClient()
    for _ in range(2):
        got = client.send(server.address, 'GET', '/', timeout_s=1.0)
        assert got.body == b'ok'
    server.close()
    assert server.opened == 2
