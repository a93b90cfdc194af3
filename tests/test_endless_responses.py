"""Responses without end, in a head or a body, whatever reads them."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import threading
import time
from typing import Final

import pytest

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import sse
from foxtaildale_adapters import backend_request
from foxtaildale_adapters import connectors
from foxtaildale_adapters import http_client
from foxtaildale_platform import server_client
from foxtaildaled import prefill_clients
from tests import site as sites

_TIMEOUT_S: Final = 0.4
# Time within which a reader has to give up, seconds.
_GIVEN_UP_S: Final = 1.2
# Time for which the server goes on sending, seconds.
_ENDLESS_S: Final = 3.0
_PAUSE_S: Final = 0.05
_LONG_EVENT_BYTES: Final = 900_000
_HEAD: Final = b'HTTP/1.1 200 OK\r\n'
_CHUNKED: Final = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_ENDLESS: Final = {
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
    'other interim responses': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'headers of an interim response': (
        b'HTTP/1.1 103 Early Hints\r\n',
        b'X: y\r\n',
    ),
    'a status line': (b'HTTP/1.1 200 ', b'x'),
    'one header': (_HEAD + b'X-Long: ', b'x'),
    'headers': (_HEAD, b'X: y\r\n'),
    'a chunk size': (_CHUNKED, b'0'),
    'a trailer': (_CHUNKED + b'0\r\n', b'X: y\r\n'),
    'a body': (_HEAD + b'Content-Length: 1000000\r\n\r\n', b'x'),
}


@contextlib.contextmanager
def _server(begin: bytes, repeated: bytes) -> Iterator[str]:
    """Answers each request with some bytes, then others again and again."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        ends = threading.Event()

        def serve() -> None:
            sock, _ = listener.accept()
            with sock, contextlib.suppress(OSError):
                sock.recv(65536)
                sock.sendall(begin)
                end = time.monotonic() + _ENDLESS_S
                while repeated and not ends.wait(_PAUSE_S):
                    if time.monotonic() > end:
                        return
                    sock.sendall(repeated)

        thread = threading.Thread(target=serve)
        thread.start()
        host, port = listener.getsockname()
        try:
            yield f'{host}:{port}'
        finally:
            ends.set()
            thread.join()


def _read_with_client(address: str) -> None:
    http_client.HttpClient().send(address, 'GET', '/', timeout_s=_TIMEOUT_S)


def _read_with_request(address: str) -> None:
    request = backend_request.Request(
        address, 'GET', '/', {}, b'', connector=connectors.DirectConnector()
    )
    try:
        request.send(_TIMEOUT_S)
        request.read_head(_TIMEOUT_S)
        prefill_clients.read_body(
            server_client.ServerExchange(request, ''), _TIMEOUT_S
        )
    finally:
        request.close()


_READERS: Final = {'client': _read_with_client, 'request': _read_with_request}


@pytest.mark.parametrize('reader', _READERS.values(), ids=_READERS)
@pytest.mark.parametrize('sent', _ENDLESS.values(), ids=_ENDLESS)
def test_a_response_without_end_is_given_up(
    reader: Callable[[str], None], sent: tuple[bytes, bytes]
) -> None:
    """Guards against a time limit for each read instead of for the whole."""
    with _server(*sent) as address:
        began_at = time.monotonic()
        with pytest.raises(errors.NoReplyError):
            reader(address)
        assert time.monotonic() - began_at < _GIVEN_UP_S


@pytest.mark.parametrize('reader', _READERS.values(), ids=_READERS)
def test_a_head_that_breaks_off_is_no_response(
    reader: Callable[[str], None],
) -> None:
    """Guards against a head that ends with its connection."""
    with (
        _server(_HEAD + b'Content-Length: 0\r\nX-More: a', b'') as address,
        pytest.raises(errors.NoReplyError),
    ):
        reader(address)


@pytest.mark.parametrize('reader', _READERS.values(), ids=_READERS)
def test_a_head_has_a_maximum_size(reader: Callable[[str], None]) -> None:
    """Guards against a fast head that is parsed for the whole time limit."""
    interim = b'HTTP/1.1 100 Continue\r\n\r\n' * 40_000
    with (
        _server(interim + _HEAD + b'Content-Length: 0\r\n\r\n', b'') as address,
        pytest.raises(errors.NoReplyError),
    ):
        reader(address)


def test_a_control_call_has_a_small_maximum_size() -> None:
    """Guards against many control calls whose bodies use up the memory."""
    body = b'{"hold":"%b"}' % (b'h' * server_client.MAX_CONTROL_BODY_BYTES)
    head = _HEAD + b'Content-Length: %d\r\n\r\n' % len(body)
    with _server(head + body, b'') as address:
        server = forwarding.Backend(id='w1', service='s', address=address)
        client = server_client.ServerClient(connectors.DirectConnector())
        with pytest.raises(errors.NoReplyError, match='exceeds'):
            client.reserve(server, 1, 1.0)


class _EndlessExchange(server_client.ServerExchange):
    """A body of large chunks without end."""

    def __init__(self) -> None:
        self.chunks = 0

    def read_chunk(self, timeout_s: float) -> bytes:
        self.chunks += 1
        assert self.chunks < 10_000, 'read without a limit'
        return bytes(65536)


def test_a_small_body_has_a_maximum_size() -> None:
    """Guards against an error response or a prefill result without end."""
    flight = _EndlessExchange()
    with pytest.raises(errors.NoReplyError):
        prefill_clients.read_body(flight, 60.0)


def test_an_event_has_a_maximum_size() -> None:
    """Guards against an event without end that fills the memory."""
    splitter = sse.Splitter()
    with pytest.raises(errors.NoReplyError):
        for _ in range(100):
            splitter.feed(bytes(65536))


def test_a_long_event_is_not_searched_again_for_each_block() -> None:
    """Guards against processor time that grows with the square of an event."""
    splitter = sse.Splitter()
    block = b'x' * 16
    began_at = time.thread_time()
    for _ in range(_LONG_EVENT_BYTES // len(block)):
        splitter.feed(block)
    assert splitter.feed(b'\n\n').endswith(b'x\n\n')
    assert time.thread_time() - began_at < 1.0


def test_a_stream_without_end_ends_at_its_deadline() -> None:
    """Guards against events without end that hold a connection and a slot."""
    site = sites.Site()
    try:
        sites.make_calm(site)
        for worker in site.workers.values():
            worker.events, worker.pace_s = 10_000_000, 0.0
        began_at = time.monotonic()
        status, _, body = sites.send(site, 'POST', '/chat/x')
        assert (status, body) == (200, b'(cut)')
        assert time.monotonic() - began_at < 4.0
    finally:
        site.close()
