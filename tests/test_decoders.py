"""What decoders raise for bytes that another program wrote."""

import base64
from collections.abc import Callable
import pathlib
import re
from typing import Final

import msgspec
import pytest

from foxtaildale import backends
from foxtaildale import changes
from foxtaildale import chat
from foxtaildale import claimlog
from foxtaildale import errors
from foxtaildale import fold
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale_adapters import engines
from foxtaildale_adapters import events
from foxtaildale_adapters import http_client
from foxtaildale_adapters import platform
from foxtaildaled import default_version_store
from foxtaildaled import ticket_handler

_DEPTH: Final = 100_000
_NESTED_JSON: Final = b'{"nobody-knows":' + b'[' * _DEPTH
_NESTED_MSGPACK: Final = b'\x91' * _DEPTH


def test_a_deeply_nested_chat_request_is_invalid() -> None:
    """`RecursionError` out of a body ended the request with status 502."""
    with pytest.raises(errors.DecodeError):
        chat.decode(_NESTED_JSON)


def test_a_deeply_nested_ticket_is_no_ticket() -> None:
    """`RecursionError` out of a header ended the request with status 502."""
    ticket = messages.Ticket(
        identity='t',
        service='s',
        executor='e',
        executor_address='a',
        witness='w',
        witness_address='a',
        issued_at=0.0,
        witness_clock=0.0,
    )
    fields = msgspec.msgpack.encode(ticket)
    assert tickets.from_text(tickets.to_text(ticket)) == ticket
    data = bytes((fields[0] + 1,)) + fields[1:] + b'\x91' * 1300
    nested = base64.urlsafe_b64encode(data).decode()
    assert tickets.from_text(nested) is None


def test_a_deeply_nested_saved_reply_is_no_reply() -> None:
    """`RecursionError` or `ValidationError` ended a request that had run."""
    for data in (_NESTED_MSGPACK, b'\x07', b'\x81\xa6status\xa1x', b'\xff'):
        assert ticket_handler.decode_reply(data) is None


def _decode_engine_reply(body: bytes) -> object:
    return engines._decode(http_client.Response(200, body), backends.Load)


_RESPONSE_DECODERS: Final[dict[str, Callable[[], object]]] = {
    'event': lambda: events.decode_event(b'data: ' + _NESTED_JSON),
    'reply of an engine': lambda: _decode_engine_reply(_NESTED_JSON),
    'list of VMs': lambda: platform._decode(platform._listing, _NESTED_JSON),
    'offset': lambda: platform._decode(platform._first_decoder, _NESTED_JSON),
    'records': lambda: platform._decode(
        platform._batch_decoder, b'\x94\x00\x01\x90' + _NESTED_MSGPACK
    ),
}


@pytest.mark.parametrize('name', _RESPONSE_DECODERS)
def test_a_deeply_nested_response_is_no_reply(name: str) -> None:
    """`RecursionError` out of a response was not retried at another server."""
    with pytest.raises(errors.NoReplyError, match='decoded'):
        _RESPONSE_DECODERS[name]()


def test_a_deeply_nested_error_of_an_engine_is_no_error_body() -> None:
    """`RecursionError` out of an error was not retried at another server."""
    found = engines._error(http_client.Response(400, _NESTED_JSON))
    assert isinstance(found, errors.NoReplyError)


@pytest.mark.parametrize(
    'value',
    [
        _NESTED_MSGPACK,
        b'\x93\xa2v1\x00' + _NESTED_MSGPACK,
        msgspec.msgpack.encode(['x' * 256, -1]),
        msgspec.msgpack.encode(['v1', -2]),
        msgspec.msgpack.encode(['v1', -(2**63)]),
    ],
)
def test_an_odd_default_version_is_ignored(value: bytes) -> None:
    """A version or a position that no entry VM wrote was used for streams."""
    assert default_version_store._decode('s', value) is None


def test_a_server_without_a_version_may_be_the_default() -> None:
    """The coordinator wrote it again and again if it was not readable."""
    value = msgspec.msgpack.encode(['', 0])
    found = default_version_store._decode('s', value)
    assert found is not None
    assert not found.version


def test_a_deeply_nested_record_of_a_log_is_invalid(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """`RecursionError` out of one record ended the reading of the others."""
    switch = changes.Switch(id='i', base=0, name='p', digest='d', expects=0)
    data = changes.encode(switch)
    assert changes.decode(data) == switch
    nested = bytes((data[0] + 1,)) + data[1:] + _NESTED_MSGPACK
    assert changes.decode(nested) is None
    record = b'\x94\xa1o\xa1a\x90' + _NESTED_MSGPACK
    assert claimlog.decode(record) is None
    monkeypatch.setattr(changes, 'MAX_PRESET_BYTES', 2 * len(_NESTED_JSON))
    digest = changes.digest_of(_NESTED_JSON)
    publish = changes.Publish(
        id='i', base=0, digest=digest, preset=_NESTED_JSON
    )
    assert changes.verified_preset(publish) is None
    state = b'\xdc\x00\x20' + _NESTED_MSGPACK
    assert fold.from_bytes(state, changes.digest_of(state)) is None


_ROOT: Final = pathlib.Path(__file__).parents[1]
_DIRECT_DECODE: Final = re.compile(
    r'\bmsgspec\.(?:json|msgpack)\.decode\(|(?<![.\w])_\w*\.decode\('
)
# Direct calls, by module; with the reason.
_ALLOWED: Final = {
    # Its own encoding, and a preset that was checked before.
    'changes.py': 2,
    # Called by `decoding.decode`.
    'default_version_store.py': 1,
    'engines.py': 1,
    'origin_store.py': 1,
}


def test_decoders_are_called_by_decoding() -> None:
    """Any other call lets `RecursionError` pass its callers."""
    found = {}
    for path in sorted((_ROOT / 'packages').rglob('*.py')):
        text = path.read_text(encoding='utf-8')
        count = len(_DIRECT_DECODE.findall(text))
        if count:
            found[path.name] = count
    assert found == _ALLOWED
