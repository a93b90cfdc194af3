"""Heads of responses that break off, on each kind of connection."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import socket
import struct
import threading
import time
from typing import Final

import pytest

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale_adapters import backend_request
from foxtaildale_adapters import connection_relay
from foxtaildale_adapters import connectors
from foxtaildale_adapters import http_client
from foxtaildale_adapters import idle_connections

_RESET: Final = struct.pack('ii', 1, 0)
_STATUS: Final = b'HTTP/1.1 200 OK\r\n'
_STAMP: Final = b'Foxtaildale-Response-Stamp: s1.a1\r\n'
_WHOLE: Final = _STATUS + b'Content-Length: 2\r\n\r\nok'
_HEADS: Final = {
    'length': _STATUS + _STAMP + b'Content-Length: 0\r\n\r\n',
    'length-first': _STATUS + b'Content-Length: 2\r\n' + _STAMP + b'\r\n',
    'chunks': _STATUS + b'Transfer-Encoding: chunked\r\n' + _STAMP + b'\r\n',
    'connection': _STATUS + _STAMP + b'Connection: close\r\n\r\n',
    'interim': b'HTTP/1.1 103 Early Hints\r\n\r\n' + _STATUS + _STAMP + b'\r\n',
}
# Larger than the buffers of a connection, so that it is not sent at once.
_LARGE_BODY: Final = bytes(8 * 1024 * 1024)
_TIMEOUT_S: Final = 2.0


class _Server:
    """Sends a part of a head to each request, and ends the connection."""

    def __init__(self) -> None:
        # What is sent, whether the connection is reset then, whether a whole
        # response goes before, and whether the request is not read whole.
        self.sent = b''
        self.resets = False
        self.responds_first = False
        self.is_early = False
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Ends the server."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        # An error means that the other side has closed the connection.
        with contextlib.suppress(OSError), sock:
            if self.responds_first:
                self._read_head(sock)
                sock.sendall(_WHOLE)
            self._read_head(sock)
            sock.sendall(self.sent)
            if self.resets:
                # What was sent must have arrived.
                time.sleep(0.002)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)

    def _read_head(self, sock: socket.socket) -> None:
        data = b''
        while b'\r\n\r\n' not in data:
            part = sock.recv(4096 if self.is_early else 65_536)
            if not part:
                raise ConnectionError('closed')
            data += part


class _Gate:
    """Lets every connection pass."""

    def refusal(self, _address: str) -> messages.RelayResult | None:
        return None

    def record(
        self, _address: str, result: messages.RelayResult
    ) -> messages.RelayResult:
        return result


class _RelayedConnector:
    """Opens all connections through one VM."""

    def __init__(self, relay_address: str) -> None:
        self._relay_address = relay_address

    def connect(self, address: str, timeout_s: float) -> connectors.Opened:
        return connection_relay.connect_through(
            self._relay_address, address, timeout_s
        )


@pytest.fixture
def server() -> Iterator[_Server]:
    made = _Server()
    yield made
    made.close()


def _read(request: backend_request.Request) -> bytes:
    try:
        request.send(_TIMEOUT_S)
        request.read_head(_TIMEOUT_S)
        return b''.join(iter(lambda: request.read(_TIMEOUT_S), b''))
    finally:
        request.close()


def _read_new(server: _Server, connector: connectors.Connector) -> bytes:
    return _read(
        backend_request.Request(
            server.address, 'POST', '/', {}, b'x', connector=connector
        )
    )


def _read_early(server: _Server, connector: connectors.Connector) -> bytes:
    server.is_early = True
    return _read(
        backend_request.Request(
            server.address, 'POST', '/', {}, _LARGE_BODY, connector=connector
        )
    )


def _read_kept(server: _Server, connector: connectors.Connector) -> bytes:
    server.responds_first = True
    # A connection is not reused at once.
    now = itertools.count()
    idle = idle_connections.IdleConnections(lambda: next(now) / 10)
    for attempt in ('a0', 'a1'):
        request = backend_request.Request(
            server.address,
            'POST',
            '/',
            {},
            b'',
            connector=connector,
            idle_conns=idle,
            attempt=attempt,
        )
        found = _read(request)
        if attempt == 'a0':
            assert found == b'ok'
    return found


# Relayed connections are not kept.
@pytest.mark.parametrize(
    ('read', 'relayed'),
    [
        (_read_new, False),
        (_read_early, False),
        (_read_kept, False),
        (_read_new, True),
        (_read_early, True),
    ],
)
@pytest.mark.parametrize('head', _HEADS)
@pytest.mark.parametrize('resets', [False, True])
def test_a_head_that_breaks_off_anywhere_is_no_response(
    server: _Server,
    resets: bool,
    head: str,
    read: Callable[[_Server, connectors.Connector], bytes],
    relayed: bool,
) -> None:
    """Guards against a broken head that counts as a whole, empty response."""
    connector: connectors.Connector = connectors.DirectConnector()
    relay: connection_relay.Relay | None = None
    if relayed:
        relay = connection_relay.Relay(
            '127.0.0.1:0', connector, _Gate(), time.monotonic
        )
        relay.start()
        connector = _RelayedConnector(relay.address)
    server.resets = resets
    try:
        for size in range(0, len(_HEADS[head]), 3):
            server.sent = _HEADS[head][:size]
            with pytest.raises(errors.NoReplyError):
                read(server, connector)
    finally:
        if relay is not None:
            relay.close()


def _call_new(address: str) -> None:
    http_client.HttpClient().send(address, 'GET', '/', timeout_s=_TIMEOUT_S)


def _call_kept(address: str) -> None:
    client = http_client.HttpClient()
    for _ in range(2):
        client.send(address, 'GET', '/', timeout_s=_TIMEOUT_S)


def _open_stream(address: str) -> None:
    http_client.send_request(
        http_client.stream_pool(address),
        'GET',
        '/',
        connect_timeout_s=_TIMEOUT_S,
        read_timeout_s=_TIMEOUT_S,
    )


@pytest.mark.parametrize('call', [_call_new, _call_kept, _open_stream])
@pytest.mark.parametrize('head', _HEADS)
@pytest.mark.parametrize('resets', [False, True])
def test_a_broken_head_is_no_response_to_other_calls(
    server: _Server,
    resets: bool,
    head: str,
    call: Callable[[str], None],
) -> None:
    """Guards against a broken head of the store, a control call or a stream."""
    server.resets = resets
    server.responds_first = call is _call_kept
    for size in range(0, len(_HEADS[head]), 3):
        server.sent = _HEADS[head][:size]
        with pytest.raises(errors.NoReplyError):
            call(server.address)
