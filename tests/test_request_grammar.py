"""Requests that another parser could read differently are refused unread."""

from collections.abc import Iterator
import contextlib
import json
import socket
from typing import Final

import pytest

from foxtaildale_adapters import request_grammar
from tests import site as sites

# Time for the first answer on a connection, and for further ones, seconds.
_ANSWER_S: Final = 2.0
_FURTHER_S: Final = 0.3
_HIDDEN: Final = (
    b'POST /once/hidden HTTP/1.1\r\nHost: h.example\r\n'
    b'Foxtaildale-Attempt-Id: hidden\r\nFoxtaildale-Deadline-Ms: 3000\r\n\r\n'
)
_SIZE: Final = b'%x\r\n' % len(_HIDDEN)
_CHUNKS: Final = _SIZE + _HIDDEN + b'\r\n0\r\n\r\n'
# Ends behind the size line of the chunk.
_LENGTH: Final = b'Content-Length: %d' % len(_SIZE)
_CHUNKED: Final = b'Transfer-Encoding: chunked'


def _request(
    *fields: bytes,
    line: bytes = b'POST /once/x HTTP/1.1',
    body: bytes = b'',
) -> bytes:
    head = [
        line,
        b'Host: h.example',
        b'Foxtaildale-Attempt-Id: outer',
        b'Foxtaildale-Deadline-Ms: 3000',
        *fields,
    ]
    return b'\r\n'.join(head) + b'\r\n\r\n' + body


def _coding(value: bytes, *, with_length: bool) -> bytes:
    fields = (b'Transfer-Encoding:' + value, _LENGTH)
    return _request(*fields[: 1 + with_length], body=_CHUNKS)


def _version(version: bytes, *fields: bytes) -> bytes:
    return _request(
        b'Connection: Keep-Alive',
        *fields,
        line=b'POST /once/x ' + version,
        body=_CHUNKS,
    )


def _chunk(size_line: bytes, end: bytes = b'0\r\n\r\n') -> bytes:
    return _request(_CHUNKED, body=size_line + _HIDDEN + b'\r\n' + end)


def _sized(field: bytes) -> bytes:
    return _request(field, body=_SIZE + _HIDDEN)


def _line(line: bytes) -> bytes:
    return _request(b'Content-Length: 0', line=line, body=_HIDDEN)


_HEX: Final = b'%x' % len(_HIDDEN)
_REFUSED: Final = {
    'chunks of 1.0': _version(b'HTTP/1.0', _CHUNKED),
    'chunks of 1.0, and a length': _version(b'HTTP/1.0', _CHUNKED, _LENGTH),
    'chunks and a length': _version(b'HTTP/1.1', _CHUNKED, _LENGTH),
    'version 1.-1': _version(b'HTTP/1.-1', _CHUNKED, _LENGTH),
    'version 1.01': _version(b'HTTP/1.01', _LENGTH),
    'version +1.1': _version(b'HTTP/+1.1', _LENGTH),
    'version 1.2': _version(b'HTTP/1.2', _LENGTH),
    **{
        f'coding {value!r}, length {with_length}': _coding(
            value, with_length=with_length
        )
        for value in (
            b' ,',
            b'',
            b'   ',
            b' , chunked',
            b' chunked, chunked',
            b' chunked;q=1',
            b' \x0bchunked',
            b' identity',
            b' gzip, chunked',
            b' xchunked',
        )
        for with_length in (False, True)
    },
    'coding twice': _request(_CHUNKED, _CHUNKED, body=_CHUNKS),
    'coding folded': _request(b'Transfer-Encoding:\r\n chunked', body=_CHUNKS),
    'blank before colon': _request(
        b'Transfer-Encoding : chunked', _LENGTH, body=_CHUNKS
    ),
    'control in a name': _request(
        b'Transfer-Encoding\x0b: chunked', _LENGTH, body=_CHUNKS
    ),
    **{
        f'length {value!r}': _sized(b'Content-Length: ' + value)
        for value in (b'+5', b'-5', b'0x5', b'5, 5', b'5 5', b'1_0', b'')
    },
    'length twice': _request(_LENGTH, _LENGTH, body=_SIZE + _HIDDEN),
    **{
        f'chunk size {line!r}': _chunk(line)
        for line in (
            b' ' + _HEX + b'\r\n',
            _HEX + b'\x0b\r\n',
            _HEX + b' \r\n',
            _HEX + b'\n',
            b'0x' + _HEX + b'\r\n',
            b'+' + _HEX + b'\r\n',
            _HEX + b';a\rb\r\n',
            _HEX + b';\x00\r\n',
            b'\r\n',
        )
    },
    'trailer without colon': _chunk(_SIZE, b'0\r\nfoo\r\n\r\n'),
    'trailer with bare CR': _chunk(_SIZE, b'0\r\nfoo: a\rb\r\n\r\n'),
    'bare CR in a value': _sized(b'X-A: a\rb\r\n' + _LENGTH),
    'bare CR in a name': _sized(b'X\r-A: b\r\n' + _LENGTH),
    'bare LF': _sized(b'X-A: a\nX-B: b\r\n' + _LENGTH),
    'NUL in a value': _sized(b'X-A: a\0b\r\n' + _LENGTH),
    'control in a value': _sized(b'X-A: a\x01b\r\n' + _LENGTH),
    'DEL in a value': _sized(b'X-A: a\x7fb\r\n' + _LENGTH),
    'name outside ASCII': _sized('X-ä: b\r\n'.encode() + _LENGTH),
    'name with parentheses': _sized(b'X(a): b\r\n' + _LENGTH),
    **{
        f'line {line!r}': _line(line)
        for line in (
            b'POST /once/x\x01 HTTP/1.1',
            b'POST /once/x\x7f HTTP/1.1',
            b'POST /once/x\ry HTTP/1.1',
            b'POST /once/x\ty HTTP/1.1',
            b'POST /once/\xe4 HTTP/1.1',
            b'POST /once/%zz HTTP/1.1',
            b'POST /once/x#y HTTP/1.1',
            b'POST once/x HTTP/1.1',
            b'PO\x01ST /once/x HTTP/1.1',
            b'POST, /once/x HTTP/1.1',
            b' POST /once/x HTTP/1.1',
            b'\x0bPOST /once/x HTTP/1.1',
            b'POST  /once/x HTTP/1.1',
            b'POST /once/x  HTTP/1.1',
            b'POST /once/x HTTP/1.1 ',
            b'POST /once/x HTTP/1.1\x0b',
        )
    },
}
_SERVED: Final = {
    'no body': _request(),
    'a length': _request(b'Content-Length: 3', body=b'abc'),
    'a length of 1.0': _request(
        b'Content-Length: 3', line=b'POST /once/x HTTP/1.0', body=b'abc'
    ),
    'chunks': _request(_CHUNKED, body=b'3\r\nabc\r\n0\r\n\r\n'),
    'chunks in capitals': _request(
        b'TRANSFER-ENCODING:\tChunked ', body=b'3\r\nabc\r\n0\r\n\r\n'
    ),
    'extensions': _request(
        _CHUNKED, body=b'3;a;b = "c\\"d" ;e=f\r\nabc\r\n0\r\n\r\n'
    ),
    'trailers': _request(
        _CHUNKED, body=b'3\r\nabc\r\n00\r\nX-A: b\r\nX-B:\r\n\r\n'
    ),
    'odd and valid fields': _request(
        b"!#$%&'*+-.^_`|~09aZ: \xe4 \t b", b'X-Empty:', b'X-A:b \t'
    ),
    'odd and valid target': _request(
        line=b"POST /once/-._~!$&'()*+,;=:@%2F//?a=/?b%00 HTTP/1.1"
    ),
    'an empty line before': b'\r\n' + _request(),
}


@pytest.fixture(scope='module')
def site() -> Iterator[sites.Site]:
    made = sites.Site()
    try:
        sites.make_calm(made)
        yield made
    finally:
        made.close()


def _exchange(site: sites.Site, use: str, data: bytes) -> bytes:
    """Returns all that comes back on one connection."""
    host, _, port = site.routers[0].addresses[use].rpartition(':')
    answers = b''
    with socket.create_connection((host, int(port)), _ANSWER_S) as sock:
        sock.sendall(data)
        with contextlib.suppress(OSError):
            while part := sock.recv(65536):
                answers += part
                sock.settimeout(_FURTHER_S)
    return answers


def _ran(site: sites.Site) -> list[str]:
    return [one for worker in site.workers.values() for one in worker.ids()]


def _blamed(site: sites.Site) -> list[str]:
    """Returns the servers that are charged with a failure."""
    return [
        state['id']
        for state in json.loads(site.routers[0]._dump())['backend_servers']
        if state['faults']
    ]


@pytest.mark.parametrize('data', _REFUSED.values(), ids=_REFUSED)
def test_a_request_that_can_be_read_in_two_ways_is_refused(
    site: sites.Site, data: bytes
) -> None:
    """Guards against hidden requests, and 502 for what was never sent."""
    before = _ran(site)
    answers = _exchange(site, 'caller', data)
    head, _, body = answers.partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 400 ')
    assert b'\r\nConnection: close' in head
    assert json.loads(body)['error']['ran'] == 'no'
    assert _ran(site) == before
    assert not _blamed(site)


@pytest.mark.parametrize('data', _SERVED.values(), ids=_SERVED)
def test_a_request_by_the_grammar_is_served(
    site: sites.Site, data: bytes
) -> None:
    """Guards against refusals of odd requests that have one meaning."""
    answers = _exchange(site, 'caller', data)
    assert answers.startswith((b'HTTP/1.1 200 ', b'HTTP/1.0 200 ')), answers


@pytest.mark.parametrize('use', ['ready', 'admin'])
def test_all_ports_read_requests_by_the_same_grammar(
    site: sites.Site, use: str
) -> None:
    """Guards against a second parser for the operators' port."""
    data = _version(b'HTTP/1.0', _CHUNKED, _LENGTH)
    answers = _exchange(site, use, data)
    assert answers.startswith(b'HTTP/1.1 400 ')
    assert answers.count(b'\r\nContent-Length: ') == 1


def test_the_grammar_takes_linear_time() -> None:
    """Guards against patterns that an odd line makes exponential."""
    for line in (
        b'X: ' + b'a \t' * 20_000 + b'\0\r\n',
        b'X:' + b' ' * 60_000 + b'\0\r\n',
    ):
        assert not request_grammar.FIELD_LINE.fullmatch(line)
    for line in (
        b'5' + b' ;a' * 20_000 + b'\0\r\n',
        b'5;a="' + b'\\a' * 30_000 + b'\r\n',
    ):
        assert not request_grammar.CHUNK_LINE.fullmatch(line)
    path = b'/a%20' * 12_000
    assert not request_grammar.REQUEST_LINE.fullmatch(
        b'GET ' + path + b'\x01 HTTP/1.1\r\n'
    )
