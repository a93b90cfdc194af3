"""Records, messages and headers that another writer made."""

from collections.abc import Callable
import json
import math

import msgspec
import pytest

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale_adapters import connectors
from foxtaildale_platform import names
from foxtaildale_platform import records
from foxtaildale_platform import server_client
from foxtaildale_platform import store
from foxtaildaled import origin_store

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


@pytest.mark.parametrize(
    'change',
    [
        {'peer_address': '10.0.0.9:99999'},
        {'peer_address': '10.0.0.9:80\n'},
        {'peer_address': '10.0.0.9:'},
        {'peer_address': f'{"a" * 64}.example:80'},
        {'peer_address': '..:80'},
        {'relay_address': '10.0.0.9:0'},
        {'relay_address': 'x y:1'},
        {'cores': 1e308},
        {'cores': -1},
    ],
)
def test_an_entry_vm_that_can_not_be_used_is_refused(
    change: dict[str, object],
) -> None:
    """Every VM chose one that doesn't exist as the reader of the store."""
    sound = {'peer_address': 'vm-1.example:80', 'relay_address': '10.0.0.9:81'}
    assert records.decode_member('vm-1', json.dumps(sound).encode())
    with pytest.raises(errors.DecodeError):
        records.decode_member('vm-1', json.dumps(sound | change).encode())


@pytest.mark.parametrize(
    'change',
    [
        {'until': 1e308},
        {'until': -1},
        {'fingerprint': 2**64},
        {'parts': [10**40]},
        {'parts': [-1]},
    ],
)
def test_a_quarantined_request_out_of_range_is_refused(
    change: dict[str, object],
) -> None:
    """A part above 64 bits can't be encoded, so each reply to a peer failed."""
    sound = {'fingerprint': 1, 'until': 1e9, 'parts': [2**64 - 1]}
    assert records.decode_quarantined(json.dumps(sound).encode())
    with pytest.raises(errors.DecodeError):
        records.decode_quarantined(json.dumps(sound | change).encode())


_ROUTE = {
    'name': 'r',
    'host': 'h',
    'path_prefix': '/',
    'kind': 'streaming',
    'timeout_ms': 1000,
    'service': 's',
}


@pytest.mark.parametrize('value', [1e308, -1, 10**40])
@pytest.mark.parametrize(
    'field',
    [
        'timeout_ms',
        'target_latency_ms',
        'target_gap_ms',
        'max_attempts',
        'version',
        'kv_hold_s',
        'hold_ms',
        'slots',
        'stride',
        'idle_timeout_ms',
        'max_body_bytes',
        'weight',
    ],
)
def test_a_configuration_with_a_number_out_of_range_is_refused(
    field: str, value: float
) -> None:
    """A time limit of 1e308 raised `OverflowError` in each wait of a request."""
    change = {field: value}
    config = {
        'version': 1,
        'routes': [_ROUTE | change],
        'services': [{'name': 's', 'engine': change}],
        'limits': change,
    }
    if field == 'version':
        config |= change
    if field == 'weight':
        split = [{'service': 's', 'weight': value}]
        config['routes'] = [_ROUTE | {'weighted_split': split}]
    with pytest.raises(errors.DecodeError, match=field):
        records.decode_table(json.dumps(config).encode())


@pytest.mark.parametrize(
    'config',
    [
        b'{"version":1,"tenants":[{"name":"a","api\\u005fkeys":["geheim"]}]}',
        b'{"version":1,"other":{"api\\u005fkeys":["geheim"]}}',
        b'{"version":1,"tenants":[],"other":{"api_keys":["geheim"]}}',
    ],
)
def test_a_key_in_an_unusual_place_is_not_stored(config: bytes) -> None:
    """A field name with an escape passed by; VMs kept the key and sent it on."""
    assert b'geheim' not in records.redact_keys(names.CONFIG_TOPIC, config)


@pytest.mark.parametrize('saved_at', [math.nan, math.inf, -1e308, 1e308])
def test_saved_origins_of_an_impossible_time_are_refused(
    saved_at: float,
) -> None:
    """`OverflowError` out of the age of an origin refused each resumption."""
    batch = origin_store.Batch(saved_at, (_ORIGIN,))
    assert _saved(batch) is None


@pytest.mark.parametrize('age_ms', [-1, 2**63])
def test_saved_origins_of_an_impossible_age_are_refused(age_ms: int) -> None:
    """An origin from the future never expired and kept those behind it."""
    odd = msgspec.structs.replace(_ORIGIN, age_ms=age_ms)
    assert _saved(origin_store.Batch(1e9, (odd,))) is None


@pytest.mark.parametrize('value', [math.nan, math.inf, -math.inf, 1e308])
def test_a_message_with_a_number_out_of_range_is_refused(value: float) -> None:
    """A decision on infinity raised `OverflowError` in the state's actor."""
    reply = messages.RecordsReply(
        records={}, positions={}, store_age_s=0.0, quarantined={5: value}
    )
    with pytest.raises(errors.DecodeError):
        messages.decode(messages.encode(reply))


@pytest.mark.parametrize(
    'address',
    ['10.0.0.9', '10.0.0.9:', ':', '127.0.0.1:99999', f'{"a" * 64}.b:80', 'x'],
)
def test_an_invalid_address_is_an_error_of_the_connection(address: str) -> None:
    """Other exceptions ended the loop that probes servers, and the relay's."""
    with pytest.raises(OSError, match='address'):
        connectors.open_socket(address, 0.1)


@pytest.mark.parametrize(
    'text', ['9' * 5000 + ',1,1', '²,1,1', '1,1', '-1,1,1']
)
def test_an_odd_load_is_no_load(text: str) -> None:
    """`ValueError` out of a header ended the request that read it."""
    assert server_client._decode_load(text) is None
    assert server_client._decode_load('1, 2,3') == forwarding.Load(1, 2, 3)


@pytest.mark.parametrize('handle', ['a\r\nB: c', 'a b', 'ä', 'x' * 5000])
def test_a_handle_that_no_header_can_hold_is_refused(handle: str) -> None:
    """`ValueError` out of the next request's header ended that request."""
    body = json.dumps({'handle_id': handle}).encode()
    with pytest.raises(errors.DecodeError):
        _decode_prefill(body)


_ORIGIN = messages.StreamOrigin(stream=5, service='s', version='v1')


def _saved(batch: origin_store.Batch) -> messages.StreamOrigin | None:
    """Reads a batch among sound ones; returns the origin that it has."""
    written = (
        batch,
        origin_store.Batch(1e9, (msgspec.structs.replace(_ORIGIN, stream=6),)),
    )
    found = origin_store.OriginStore(
        reader=_Topics(written),  # type: ignore[arg-type]
        writer=_Topics(()),  # type: ignore[arg-type]
        clock=lambda: 1.0,
        wall=lambda: 1e9,
    )
    assert found.find(6, 0) is not None
    return found.find(5, 0)


class _Topics:
    """A topic that was written once."""

    def __init__(self, batches: tuple[origin_store.Batch, ...]) -> None:
        self._batches = batches

    def wait_for_records(
        self, _topic: str, offset: int, _wait_s: float
    ) -> ports.KeyedRecords:
        entries = tuple(
            mirror.Entry(key='vm', offset=n, value=msgspec.msgpack.encode(b))
            for n, b in enumerate(self._batches)
        )
        return ports.KeyedRecords(len(entries), entries[offset:])


def _server(**changed: object) -> bytes:
    return json.dumps(_SERVER | changed).encode()


def _reply_with_rank(value: bytes) -> messages.RecordsReply:
    rank = records.rank(names.SERVERS_TOPIC, 'i-1', value)
    return messages.RecordsReply(
        records={names.SERVERS_TOPIC: (('i-1', 1, b'', rank),)},
        positions={},
        store_age_s=0.0,
    )
