"""Records, messages and headers that another writer made."""

from collections.abc import Callable

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
