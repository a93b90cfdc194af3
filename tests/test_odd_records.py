"""Records, messages and headers that another writer made."""

from collections.abc import Callable
import json

import pytest

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale_platform import names
from foxtaildale_platform import records
from foxtaildale_platform import server_client
from foxtaildale_platform import store

_DEPTH = 100_000
_NESTED = b'[' * _DEPTH + b']' * _DEPTH
_SERVER: dict[str, object] = {
    'service': 's',
    'address': '10.0.0.9:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq_no': 1,
}


def _decode_prefill(data: bytes) -> object:
    return server_client.ServerClient.decode_handle(None, data)  # type: ignore[arg-type]


_DECODERS: dict[str, Callable[[bytes], object]] = {
    'server': lambda data: records.decode_server('i-1', data),
    'entry VM': lambda data: records.decode_member('vm-1', data),
    'configuration': records.decode_table,
    'quarantined request': records.decode_quarantined,
    'prefill': _decode_prefill,
    'page': store._decode_page,
}


@pytest.mark.parametrize('name', _DECODERS)
@pytest.mark.parametrize(
    'data',
    [
        _NESTED,
        b'{"nobody-knows":' + _NESTED + b'}',
        b'{"version":' + b'9' * 5000 + b'}',
        b'{"version":1,"tenants":[{"name":"a","key_digests":["no hex"]}]}',
    ],
    ids=['nested', 'nested in a field', 'number', 'digest'],
)
def test_an_odd_record_raises_only_decode_errors(
    name: str, data: bytes
) -> None:
    """Another exception ended the reader's turn: the records behind were lost."""
    with pytest.raises(errors.DecodeError):
        _DECODERS[name](data)


@pytest.mark.parametrize('topic', [names.CONFIG_TOPIC, names.SERVERS_TOPIC])
def test_a_deeply_nested_record_has_no_rank(topic: str) -> None:
    """`RecursionError` out of the rank lost the records of a whole reply."""
    data = b'{"nobody-knows":' + _NESTED + b'}'
    assert records.rank(topic, 'key', data) == mirror.UNRANKED


def test_keys_in_a_deeply_nested_configuration_are_discarded() -> None:
    """`RecursionError` out of the redaction ended the reader's turn."""
    data = b'{"api_keys":' + _NESTED + b'}'
    assert records.redact_keys(names.CONFIG_TOPIC, data) == b''


def test_a_deeply_nested_message_is_refused() -> None:
    """`RecursionError` out of a message ended the thread that receives them."""
    kind = messages.encode(messages.Ping())
    fields = b'\x91' * _DEPTH + b'\xc0'
    with pytest.raises(errors.DecodeError):
        messages.decode(bytes((kind[0] + 1,)) + kind[1:] + fields)


@pytest.mark.parametrize(
    'address',
    [
        '10.0.0.9:0',
        '10.0.0.9:65536',
        '10.0.0.9:99999',
        '10.0.0.9:080',
        '999.0.0.1:80',
        '10.0.0.256:80',
        '010.0.0.9:80',
        '0.0.0.0:80',
        '10.0.0.9:80\n',
        '\u0661\u0660.0.0.9:80',
        '10.0.0.9:\u0668\u0660',
        '10.0.0.9',
        'host:80',
    ],
)
def test_an_address_that_can_not_be_used_is_no_server(address: str) -> None:
    """A port out of range raised `OverflowError`, no `OSError`, when used."""
    with pytest.raises(errors.DecodeError, match='address'):
        records.decode_server('i-1', _server(address=address))


@pytest.mark.parametrize(
    'address',
    ['1.2.3.4:1', '10.0.0.9:80', '127.0.0.1:65535', '255.249.199.99:59999'],
)
def test_an_address_that_can_be_used_is_a_server(address: str) -> None:
    """A pattern that is too strict keeps a sound server from being used."""
    found = records.decode_server('i-1', _server(address=address))
    assert found.address == address


@pytest.mark.parametrize('field', ['slots', 'seq_no', 'born', 'version'])
@pytest.mark.parametrize('value', [10**40, 2**64, 2**63, -1, -(10**40)])
def test_a_number_that_no_message_can_hold_is_no_server(
    field: str, value: int
) -> None:
    """Encoded for another VM it raised `OverflowError` in every reply."""
    data = _server(**{field: value})
    with pytest.raises(errors.DecodeError, match=field):
        records.decode_server('i-1', data)
    assert messages.encode(_reply_with_rank(data))


@pytest.mark.parametrize('value', [1e308, -1, 1e13])
def test_a_duration_out_of_range_is_no_server(value: float) -> None:
    """A duration beyond what timers take raised `OverflowError` when used."""
    with pytest.raises(errors.DecodeError, match='cold_left_ms'):
        records.decode_server('i-1', _server(cold_left_ms=value))


@pytest.mark.parametrize('field', ['service', 'zone', 'version'])
def test_a_very_long_name_is_no_server(field: str) -> None:
    """Every line of a log and every message would carry the name."""
    with pytest.raises(errors.DecodeError, match=field):
        records.decode_server('i-1', _server(**{field: 'x' * 10_000}))


@pytest.mark.parametrize('key', ['', 'a\r\nb', 'a b', 'ä', 'x' * 300, 'a\0'])
def test_an_id_that_no_header_can_hold_is_no_server(key: str) -> None:
    """An id with a newline is a header of its own in requests to the server."""
    with pytest.raises(errors.DecodeError, match='id'):
        records.decode_server(key, _server())


def _server(**changed: object) -> bytes:
    return json.dumps(_SERVER | changed).encode()


def _reply_with_rank(value: bytes) -> messages.RecordsReply:
    rank = records.rank(names.SERVERS_TOPIC, 'i-1', value)
    return messages.RecordsReply(
        records={names.SERVERS_TOPIC: (('i-1', 1, b'', rank),)},
        positions={},
        store_age_s=0.0,
    )
