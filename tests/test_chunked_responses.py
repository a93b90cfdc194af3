"""Chunked responses, whose last chunk and trailers tell that they are whole."""

from collections.abc import Iterator
import contextlib
import socket
import threading

import pytest

from foxtaildale import errors
from foxtaildale_adapters import backend_request
from foxtaildale_adapters import connectors
from foxtaildale_adapters import http_client

_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_CHUNK = b'3\r\nabc\r\n'
_SOUND = [
    b'0\r\n\r\n',
    b'000\r\n\r\n',
    b'0;name=value\r\n\r\n',
    b'0 ;name=value\r\n\r\n',
    b'0\r\nName: value\r\n\r\n',
    b'0\n\n',
]
_BROKEN = [
    b'',
    b'0',
    b'0\r',
    b'00',
    b'0;name',
    b'0\r\n',
    b'0\r\n\r',
    b'0\r\nName: va',
    b'0\r\nName: value\r\n',
    b'+0\r\n\r\n',
    b'-0\r\n\r\n',
    b'0_0\r\n\r\n',
    b'0x0\r\n\r\n',
    b'-3\r\nabc\r\n0\r\n\r\n',
    b'3\r\nabcde\r\n0\r\n\r\n',
    b'\r\n\r\n',
    b'3\r\nab',
    b'3\r\nabcde0\r\n\r\n',
]


class _Server:
    """Sends the same bytes to each request, and closes."""

    def __init__(self) -> None:
        self.response = b''
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(5.0)

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                with sock, contextlib.suppress(OSError):
                    sock.settimeout(5.0)
                    sock.recv(65536)
                    sock.sendall(self.response)


@pytest.fixture
def server() -> Iterator[_Server]:
    made = _Server()
    yield made
    made.close()


def _read(address: str) -> bytes:
    request = backend_request.Request(
        address,
        method='GET',
        target='/',
        headers={},
        body=b'',
        connector=connectors.DirectConnector(),
    )
    try:
        request.send(1.0)
        request.read_head(1.0)
        return b''.join(iter(lambda: request.read(1.0), b''))
    finally:
        request.close()


def _call(address: str) -> bytes:
    client = http_client.HttpClient()
    return client.send(address, 'GET', '/', timeout_s=1.0).body


@pytest.mark.parametrize('end', _SOUND)
def test_body_with_its_last_chunk_is_whole(server: _Server, end: bytes) -> None:
    server.response = _HEAD + _CHUNK + end
    assert _read(server.address) == b'abc'
    assert _call(server.address) == b'abc'


@pytest.mark.parametrize('end', _BROKEN)
def test_body_without_its_last_chunk_is_not_whole(
    server: _Server, end: bytes
) -> None:
    """Guards against a response that breaks off and looks complete."""
    server.response = _HEAD + _CHUNK + end
    with pytest.raises(errors.NoReplyError):
        _read(server.address)
    with pytest.raises(errors.NoReplyError):
        _call(server.address)
