"""Second responses of a server that come late."""

from collections.abc import Iterator
import contextlib
import random
import socket
import threading
import time
from typing import Final

import pytest

from foxtaildale import forwarding
from foxtaildale_adapters import connectors
from foxtaildale_platform import server_client
from tests import site as sites

# Time between a response and the second one, seconds.
_DELAY_S: Final = 0.05


class _Server:
    """Responds to each request twice; the body has the number of the request."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._numbers = 0
        self.opened = 0
        self._lock = threading.Lock()
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                self.opened += 1
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            sock.settimeout(5.0)
            while _read_request(sock):
                with self._lock:
                    self._numbers += 1
                    body = self._body % self._numbers
                response = (
                    b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
                    % (len(body), body)
                )
                sock.sendall(response)
                threading.Timer(
                    _DELAY_S, _send_late, args=(sock, response)
                ).start()


def _read_request(sock: socket.socket) -> bytes:
    """Returns a request whose body is a JSON object; b'' at the end."""
    data = b''
    while not data.endswith(b'}'):
        part = sock.recv(65536)
        if not part:
            return b''
        data += part
    return data


def _send_late(sock: socket.socket, response: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(response)


@pytest.fixture
def server() -> Iterator[_Server]:
    made = _Server(b'{"hold":"h%d"}')
    yield made
    made.close()


def _backend(server: _Server) -> forwarding.Backend:
    return forwarding.Backend(id='w1', service='model', address=server.address)


def test_a_reservation_is_not_the_one_of_an_earlier_call(
    server: _Server,
) -> None:
    """Guards against a late second response that reserves the same slot."""
    client = server_client.ServerClient(connectors.DirectConnector())
    holds = []
    for _ in range(3):
        holds.append(client.reserve(_backend(server), 10, 1.0).text)
        # The second response to this call comes behind the next request.
        time.sleep(_DELAY_S - 0.02)
    assert holds == ['h1', 'h2', 'h3']
    assert server.opened == 3


def test_a_stage_order_has_its_own_connection(server: _Server) -> None:
    """Guards against a late second response that accepts another order."""
    client = server_client.ServerClient(connectors.DirectConnector())
    for _ in range(2):
        client.order_stage(_backend(server), 'decode', 'vm-1', 1)
    assert server.opened == 2


@pytest.mark.parametrize('framed', [True, False])
@pytest.mark.parametrize('status', [0, 503])
def test_no_caller_gets_a_second_response(framed: bool, status: int) -> None:
    """Guards against a second response that is taken for another one."""
    rng = random.Random(7)
    site = sites.Site()
    with contextlib.closing(site):
        site.store.put('keyed.op', 'config', sites.config(1))
        workers = [
            site.worker('s1', 'plain'),
            site.worker('p1', 'model', 'prefill'),
            site.worker('d1', 'model', 'decode'),
        ]
        for worker in workers:
            worker.framed = framed
            worker.stutters = True
            worker.second_status = status
            worker.second_after_s = lambda: rng.choice((0, 0.02, 0.1, 0.5))
        site.router()
        sites.until(lambda: sites.ready(site))
        whole = 0
        for number in range(40):
            attempt = f'a{number}'
            path = ('/safe/x', '/once/x', '/chat/x', '/single/x')[number % 4]
            got, _, body = sites.send(site, 'POST', path, attempt=attempt)
            if got != 200 or body == b'(cut)':
                continue
            whole += 1
            if path in ('/safe/x', '/once/x'):
                assert body == f'{attempt}:{path}'.encode()
            else:
                assert body.count(b'data: ') == workers[2].events
                assert body.count(f'{attempt}-'.encode()) == workers[2].events
        assert whole
