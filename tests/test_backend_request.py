"""One request on a connection of its own, against servers that misbehave."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import threading
import time

import pytest

from foxtaildale import errors
from foxtaildale_adapters import backend_request
from foxtaildale_adapters import connectors

_HEAD = b'HTTP/1.1 200 OK\r\n'
Act = Callable[[socket.socket], None]


@contextlib.contextmanager
def _server(act: Act) -> Iterator[str]:
    """Serves one connection; `act` gets it after the request's head came."""
    listener = socket.create_server(('127.0.0.1', 0))

    def run() -> None:
        with contextlib.suppress(OSError):
            sock, _ = listener.accept()
            with sock:
                data = b''
                while b'\r\n\r\n' not in data:
                    data += sock.recv(65536)
                act(sock)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    host, port = listener.getsockname()
    yield f'{host}:{port}'
    listener.close()
    thread.join(2)


def _request(address: str, body: bytes = b'') -> backend_request.Request:
    return backend_request.Request(
        address,
        'POST',
        '/x',
        {'host': 'h'},
        body,
        connector=connectors.DirectConnector(),
    )


def _say(data: bytes) -> Act:
    return lambda sock: sock.sendall(data)


def _whole(data: bytes) -> bytes:
    with _server(_say(data)) as address:
        req = _request(address)
        req.send(1.0)
        req.read_head(1.0)
        found = b''
        while part := req.read(1.0):
            found += part
        req.close()
        return found


@pytest.mark.parametrize(
    'data',
    [
        _HEAD + b'Content-Length: 3\r\n\r\nabc',
        _HEAD + b'Content-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n\r\n',
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
    ],
)
def test_a_whole_answer_is_read_to_its_end(data: bytes) -> None:
    assert _whole(data) == b'abc'


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'garbage\r\n\r\n',
        b'HTTP/1.1 099 x\r\n\r\n',
        _HEAD + b'Content-Length: 5\r\n\r\nabc',
        _HEAD + b'Content-Length: -1\r\n\r\nabc',
        _HEAD + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc',
        _HEAD + b'Transfer-Encoding: gzip\r\n\r\nabc',
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n',
        _HEAD + b'\r\nabc',
    ],
)
def test_an_answer_that_is_none_or_not_whole_is_lost(data: bytes) -> None:
    """A faulty server breaks off, or sends bytes that are no answer.

    Passed on as whole, a caller would take a part of it for the answer.
    """
    with pytest.raises(errors.NoReplyError):
        _whole(data)


def test_nothing_is_sent_where_nobody_listens() -> None:
    with socket.create_server(('127.0.0.1', 0)) as free:
        port = free.getsockname()[1]
    with pytest.raises(errors.UnreachableError):
        _request(f'127.0.0.1:{port}').send(1.0)


def test_a_reset_after_sending_leaves_it_open() -> None:
    with _server(lambda _sock: None) as address:
        req = _request(address)
        req.send(1.0)
        with pytest.raises(errors.NoReplyError):
            req.read_head(1.0)


def test_silence_ends_at_its_bound() -> None:
    with _server(lambda _sock: time.sleep(1.0)) as address:
        req = _request(address)
        req.send(1.0)
        began = time.monotonic()
        with pytest.raises(errors.NoReplyError):
            req.read_head(0.1)
        assert time.monotonic() - began < 0.8


def test_a_cancel_wakes_who_waits_and_tells_the_server() -> None:
    """A caller hangs up while a server works for it.

    Unnoticed, the server would go on for nobody.
    """
    closed = threading.Event()

    def act(sock: socket.socket) -> None:
        sock.settimeout(5)
        if sock.recv(1) == b'':
            closed.set()

    with _server(act) as address:
        req = _request(address)
        req.send(1.0)
        threading.Timer(0.1, req.cancel).start()
        with pytest.raises(errors.NoReplyError):
            req.read_head(5.0)
        assert closed.wait(2)


def test_a_cancel_before_the_start_sends_nothing() -> None:
    came = threading.Event()
    with _server(lambda _sock: came.set()) as address:
        req = _request(address)
        req.cancel()
        with pytest.raises(errors.UnreachableError):
            req.send(1.0)
        assert not came.wait(0.1)


_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n'


@pytest.mark.parametrize(
    'parts',
    [
        (_CHUNKED + b'\r\n3\r\nabc\r\n', b'3\r\nabc\r\n'),
        (_CHUNKED + b'\r\n3\r\nabc', b'\r\n3\r\nabc\r\n'),
        (_CHUNKED + b'Connection: close\r\n\r\n3\r\nabc\r\n', b'3\r\nabc\r\n'),
        (_HEAD + b'Content-Length: 6\r\n\r\nabc', b'abc'),
        (_HEAD + b'\r\nabc', b'abc'),
    ],
)
@pytest.mark.parametrize('is_split', [False, True])
def test_a_silence_in_the_body_is_noticed(
    parts: tuple[bytes, bytes], is_split: bool
) -> None:
    """Guards against a read that waits for a server that hangs."""
    is_over = threading.Event()

    def act(sock: socket.socket) -> None:
        first, second = parts
        if is_split and first.endswith(b'\r\n'):
            # The end of a chunk arrives after its data.
            sock.sendall(first[:-2])
            time.sleep(0.05)
            first = b'\r\n'
        sock.sendall(first)
        is_over.wait(5.0)
        sock.sendall(second)

    with _server(act) as address:
        req = _request(address)
        req.send(1.0)
        assert req.await_response(1.0)
        req.read_head(1.0)
        assert req.await_response(1.0)
        assert req.read(1.0) == b'abc'
        began_at = time.monotonic()
        assert not req.await_response(0.3)
        assert 0.3 <= time.monotonic() - began_at < 0.6
        is_over.set()
        assert req.await_response(1.0)
        assert req.read(1.0) == b'abc'
        req.close()


@pytest.mark.parametrize('header', [b'', b'Connection: close\r\n'])
def test_no_more_is_awaited_after_the_whole_body(header: bytes) -> None:
    """Guards against a wait for bytes that are not to come."""
    is_over = threading.Event()

    def act(sock: socket.socket) -> None:
        sock.sendall(_HEAD + header + b'Content-Length: 3\r\n\r\nabc')
        is_over.wait(5.0)

    with _server(act) as address:
        req = _request(address)
        req.send(1.0)
        req.read_head(1.0)
        assert req.read(1.0) == b'abc'
        began_at = time.monotonic()
        assert req.await_response(2.0)
        assert time.monotonic() - began_at < 1.0
        assert not req.read(1.0)
        req.close()
        is_over.set()
