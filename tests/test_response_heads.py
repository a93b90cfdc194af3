"""Heads of responses that do not tell, or seem to tell, where the body ends."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import threading

import pytest

from foxtaildale import errors
from foxtaildale_adapters import backend_request
from foxtaildale_adapters import connectors
from foxtaildale_adapters import http_client

_STATUS = b'HTTP/1.1 200 OK\r\n'
_CUT_CHUNKS = b'\r\n\r\n9\r\nabc'
_MALFORMED = [
    b'Transfer-Encoding: chunked ' + _CUT_CHUNKS,
    b'Transfer-Encoding: chunked\t' + _CUT_CHUNKS,
    b'Transfer-Encoding:\r\n chunked' + _CUT_CHUNKS,
    b'Transfer-Encoding: gzip\r\n\r\nabc',
    b'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked' + _CUT_CHUNKS,
    b'X: y\r\nbad line\r\nContent-Length: 9\r\n\r\nabc',
    b'X: y\r\nbad line\r\nTransfer-Encoding: chunked' + _CUT_CHUNKS,
    b'Content-Type: message/http\r\nbad\r\nContent-Length: 9\r\n\r\nabc',
    b'X: y\r\r\nContent-Length: 9\r\n\r\nabc',
    b'Content-Type: message/http\r\r\nContent-Length: 9\r\n\r\nabc',
    b'Content-Length : 9\r\n\r\nabc',
    b'Content-Length: 9x\r\n\r\nabc',
]
_SOUND = [
    b'Content-Type: text/plain\r\n',
    b'Content-Type: multipart/byteranges; boundary=x\r\n',
    b'Content-Type: multipart/mixed\r\n',
    b'Content-Type: message/http\r\n',
    b'Content-Type: message/rfc822\r\n',
]

_Read = Callable[[str], bytes]


@contextlib.contextmanager
def _server(response: bytes) -> Iterator[str]:
    """Sends bytes to one request, and closes."""
    with socket.create_server(('127.0.0.1', 0)) as listener:

        def serve() -> None:
            # An error means that no reader came.
            with contextlib.suppress(OSError):
                sock, _ = listener.accept()
                with sock:
                    sock.recv(65536)
                    sock.sendall(response)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        host, port = listener.getsockname()
        try:
            yield f'{host}:{port}'
        finally:
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            thread.join(5.0)


def _read_with_client(address: str) -> bytes:
    return http_client.HttpClient().send(address, 'GET', '/', timeout_s=1).body


def _read_with_request(address: str) -> bytes:
    request = backend_request.Request(
        address, 'GET', '/', {}, b'', connector=connectors.DirectConnector()
    )
    try:
        request.send(1.0)
        request.read_head(1.0)
        return b''.join(iter(lambda: request.read(1.0), b''))
    finally:
        request.close()


_readers = pytest.mark.parametrize(
    'read', [_read_with_client, _read_with_request]
)


@_readers
@pytest.mark.parametrize('rest', _MALFORMED)
def test_malformed_head_is_no_head(read: _Read, rest: bytes) -> None:
    """Guards against a cut body that counts as whole."""
    with (
        _server(_STATUS + rest) as address,
        pytest.raises(errors.NoReplyError) as caught,
    ):
        read(address)
    # The head is rejected, not the end of the connection.
    assert 'crashed' not in str(caught.value)


@_readers
@pytest.mark.parametrize('header', _SOUND)
def test_type_of_a_body_is_no_defect(read: _Read, header: bytes) -> None:
    """Guards against a sound head that is taken for a malformed one."""
    head = _STATUS + header + b'Content-Length: 3\r\n\r\n'
    with _server(head + b'abc') as address:
        assert read(address) == b'abc'


@_readers
@pytest.mark.parametrize(
    'interim',
    [
        b'100 Continue\r\n\r\n',
        b'102 Processing\r\n\r\n',
        b'103 Early Hints\r\nLink: x\r\nContent-Length: 5\r\n\r\n',
        b'199 x\r\n\r\nHTTP/1.1 100 Continue\r\nA: b\r\n\r\n',
    ],
)
def test_interim_response_is_skipped(read: _Read, interim: bytes) -> None:
    """Guards against a sound response that is lost behind an interim one."""
    sent = b'HTTP/1.1 ' + interim + _STATUS + b'Content-Length: 3\r\n\r\nabc'
    with _server(sent) as address:
        assert read(address) == b'abc'


@_readers
@pytest.mark.parametrize(
    'sent',
    [
        b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\nLink: x',
        b'HTTP/1.1 103 Early Hints\r\n\r\n' * 20_000,
    ],
    ids=['101', 'no response', 'cut', 'too many'],
)
def test_interim_response_is_no_response(read: _Read, sent: bytes) -> None:
    """Guards against interim responses that are taken for the final one."""
    with _server(sent) as address, pytest.raises(errors.NoReplyError):
        read(address)
