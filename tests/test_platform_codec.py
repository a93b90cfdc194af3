"""What comes from the platform, decoded into the product's values."""

import base64
import json
import socket
import struct
import threading
import time
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import positions
from foxtaildale import routes
from foxtaildale_adapters import connectors
from foxtaildale_platform import caller_requests
from foxtaildale_platform import names
from foxtaildale_platform import records
from foxtaildale_platform import server_client
from foxtaildale_platform import settings_file
from foxtaildale_platform import store
from tests import exchanges

_ROUTE: dict[str, Any] = {
    'name': 'r1',
    'host': 'h.example',
    'path_prefix': '/a/',
    'kind': 'streaming',
    'timeout_ms': 14000,
    'target_latency_ms': 900,
    'target_gap_ms': 300,
    'priority': 1,
    'service': 's1',
    'max_attempts': 2,
    'sticky_sessions': True,
    'resumable': True,
}
_CONFIG: dict[str, Any] = {
    'version': 7,
    'routes': [_ROUTE],
    'services': [
        {
            'name': 's1',
            'engine': {
                'slots': 64,
                'stride': 64,
                'kv_capacity_tokens': 102942,
                'kv_hold_s': 0.5,
                'hold_ms': 2000.0,
            },
        }
    ],
    'limits': {'idle_timeout_ms': 15000},
}
_SERVER: dict[str, Any] = {
    'service': 's1',
    'address': '10.0.0.9:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq_no': 3,
    'stage': 'decode',
}


def _json(value: object) -> bytes:
    return json.dumps(value).encode()


def test_a_configuration_is_decoded_with_units_in_seconds() -> None:
    table = records.decode_table(_json(_CONFIG))
    assert table.version == 7
    assert table.routes[0] == routes.Route(
        name='r1',
        host='h.example',
        path_prefix='/a/',
        kind='stream',
        targets=(routes.Target('s1', 1),),
        timeout_s=14.0,
        target_s=0.9,
        gap_s=0.3,
        priority=1,
        max_attempts=2,
        model=True,
        resumable=True,
    )
    assert table.service('s1').event_tokens == 64
    assert table.service('s1').hold_s == 2.0
    assert table.service('unknown').kv_tokens == 0
    assert table.limits.idle_s == 15.0


def test_an_unknown_kind_of_route_is_never_repeated() -> None:
    """A later version of the platform names a kind that is not known here.

    Taken for one that may be repeated, a request could run twice.
    """
    config = _CONFIG | {'routes': [_ROUTE | {'kind': 'new'}]}
    assert (
        records.decode_table(_json(config)).routes[0].kind == 'non_idempotent'
    )


@pytest.mark.parametrize(
    ('value', 'field'),
    [
        (b'', 'configuration'),
        (b'{"version":', 'configuration'),
        (_json({'version': 'x'}), 'version'),
        (_json(_CONFIG | {'routes': [{'name': 'r'}]}), 'host'),
        (_json(_CONFIG | {'routes': [_ROUTE | {'service': ''}]}), 'r1'),
    ],
)
def test_a_broken_configuration_names_its_field(
    value: bytes, field: str
) -> None:
    with pytest.raises(errors.DecodeError, match=field):
        records.decode_table(value)


def test_a_server_is_decoded() -> None:
    draining = _SERVER | {'state': 'draining'}
    assert records.decode_server('i-1', _json(draining)) == forwarding.Backend(
        id='i-1',
        service='s1',
        address='10.0.0.9:8080',
        version='v1',
        data_centre='z',
        slots=6,
        leaving=True,
        stage='decode',
    )


@hypothesis.given(strategies.binary(max_size=60))
def test_no_bytes_raise_anything_else(data: bytes) -> None:
    for decode in (
        records.decode_table,
        lambda value: records.decode_server('k', value),
        lambda value: records.decode_member('k', value),
        lambda value: store._decode_log(value, 0),
        store._decode_page,
        server_client.ServerClient(connectors.DirectConnector()).decode_handle,
    ):
        try:
            decode(data)
        except errors.DecodeError:
            pass


def _record(key: bytes, value: bytes) -> bytes:
    data = bytes((len(key),)) + key + value
    return struct.pack('>I', len(data)) + data


def test_records_of_a_topic_get_their_offsets() -> None:
    data = struct.pack('>QQ', 9, 0) + _record(b'a', b'1') + _record(b'b', b'')
    found = store._decode_log(data, 4)
    assert found.end == 6
    assert [(e.key, e.offset, e.value) for e in found.entries] == [
        ('a', 4, b'1'),
        ('b', 5, b''),
    ]


@pytest.mark.parametrize('cut', range(1, 9))
def test_a_cut_answer_is_no_answer(cut: int) -> None:
    """A connection breaks off in the middle of the records.

    What came of the last one would pass for a whole entry.
    """
    data = struct.pack('>QQ', 9, 0) + _record(b'abc', b'1')
    with pytest.raises(errors.DecodeError):
        store._decode_log(data[:-cut], 0)


def test_a_page_without_records_ends_the_topic_only_at_its_end() -> None:
    """Guards against a page that broke off before its first record."""
    data = struct.pack('>QQ', 9, 0)
    at_end = positions.make(2, 9)
    assert store._decode_log(data, at_end).end == at_end
    with pytest.raises(errors.DecodeError):
        store._decode_log(data, at_end - 1)


def test_a_page_is_decoded() -> None:
    value = base64.b64encode(b'v').decode()
    page = store._decode_page(
        _json({'items': [{'key': 'k', 'value': value, 'offset': 3}], 'end': 4})
    )
    assert store._decode_entry(page.items[0], 0).value == b'v'
    with pytest.raises(errors.DecodeError):
        store._decode_entry(store._Item(key='k', offset=1, value='?'), 0)


def _decode(headers: dict[str, str]) -> forwarding.CallerRequest:
    return caller_requests.decode_request(exchanges.make(headers))


def test_a_request_keeps_its_bytes() -> None:
    call = _decode(
        {
            names.DEADLINE_MS: '1500',
            names.TOKEN_COUNTS: '1460,80',
            names.LAST_EVENT: '12',
            names.LENGTH_HINT: '77',
        }
    )
    assert (call.target, call.path) == ('/a/%41?q=%20', '/a/%41')
    assert call.patience_s == 1.5
    assert (call.prompt_tokens, call.output_tokens) == (1460, 80)
    assert (call.after_event, call.hinted_tokens) == (12, 77)


@pytest.mark.parametrize('name', sorted(names.RESERVED_HEADERS))
def test_a_caller_can_not_set_what_is_ours(name: str) -> None:
    """A caller names another's KV handle, or a server to run on.

    Passed on, its request would go on from another caller's prompt.
    """
    assert name not in dict(_decode({name: '10.0.0.1:80/x'}).headers)


def test_headers_of_one_connection_stay_there() -> None:
    found = dict(
        _decode(
            {
                'connection': f'keep-alive, x-hop, {names.TOKEN_COUNTS}',
                'x-hop': '1',
                'x-kept': '2',
                'transfer-encoding': 'chunked',
                'content-length': '9',
                names.TOKEN_COUNTS: '1,2',
            }
        ).headers
    )
    assert found['x-kept'] == '2'
    assert found[names.TOKEN_COUNTS] == '1,2'
    assert not {'connection', 'x-hop', 'transfer-encoding'} & set(found)
    assert 'content-length' not in found


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        (names.ATTEMPT, ''),
        (names.ATTEMPT, 'a b'),
        (names.DEADLINE_MS, '-5'),
        (names.DEADLINE_MS, '1e3'),
        (names.TOKEN_COUNTS, '5'),
        (names.TOKEN_COUNTS, 'x,y'),
        (names.LAST_EVENT, '0x1'),
    ],
)
def test_a_broken_header_is_named(name: str, value: str) -> None:
    with pytest.raises(errors.DecodeError, match=name):
        _decode({name: value})


_BOOT = """
node_name = "n1"
ip = "10.1.0.35"
zone = "z"
seeds = ["10.1.0.35:8146"]
unknown = 1
[listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
[bounds]
drain_ms = 2000
grace_s = 8
retry_budget_ratio = 0.2
budget_slack = 56
[platform]
address = "10.200.1.7:8142"
"""


def test_settings_are_decoded() -> None:
    cfg = settings_file.decode_settings(_BOOT, 'f')
    assert cfg.entry_vm == 'n1'
    assert cfg.leaving_s == 2.0
    assert cfg.retry_burst == 56
    assert cfg.store == '10.200.1.7:8142'


@pytest.mark.parametrize('text', ['', 'x', _BOOT.replace('[platform]', '[p]')])
def test_broken_settings_name_their_file(text: str) -> None:
    with pytest.raises(errors.SettingsError, match='f: '):
        settings_file.decode_settings(text, 'f')


def _trickle(listener: socket.socket, body: bytes, pauses: list[float]) -> None:
    """Answers one request with a body that comes in pieces."""
    conn, _ = listener.accept()
    with conn:
        conn.recv(4096)
        conn.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        )
        step = len(body) // len(pauses) + 1
        for number, pause_s in enumerate(pauses):
            time.sleep(pause_s)
            conn.sendall(body[number * step : (number + 1) * step])


@pytest.mark.parametrize(
    ('pauses', 'comes'),
    [
        # Slow all along, as over a link that all VMs fill after a power loss.
        ([0.3] * 4, True),
        # Silent in the middle.
        ([0.0, store.RESPONSE_TIMEOUT_S + 0.5], False),
    ],
)
def test_a_page_that_goes_on_coming_is_waited_for(
    pauses: list[float], comes: bool
) -> None:
    """Three hundred VMs lose power and read a long list of servers together.

    Each page takes longer than an answer usually does. Given up on and begun
    anew it takes longer still for all, and nobody is served.
    """
    value = base64.b64encode(b'x').decode()
    item = {'key': 'k', 'offset': 0, 'value': value}
    body = _json({'items': [item], 'end': 1, 'more': False})
    with socket.create_server(('127.0.0.1', 0)) as listener:
        threading.Thread(
            target=_trickle, args=(listener, body, pauses), daemon=True
        ).start()
        client = store.Store(f'127.0.0.1:{listener.getsockname()[1]}')
        if comes:
            assert client.read_newest('t').entries[0].key == 'k'
        else:
            with pytest.raises(errors.NoReplyError):
                client.read_newest('t')


@pytest.mark.parametrize(
    ('pauses', 'arrives'),
    [([0.3] * 5, True), ([0.0, store.RESPONSE_TIMEOUT_S + 0.5], False)],
)
def test_a_record_that_keeps_arriving_is_read(
    pauses: list[float], arrives: bool
) -> None:
    """Guards against a record that a slow link never carries in time."""
    record = b'\x01k' + b'x' * 1000
    body = struct.pack('>QQI', 1, 0, len(record)) + record
    with socket.create_server(('127.0.0.1', 0)) as listener:
        threading.Thread(
            target=_trickle, args=(listener, body, pauses), daemon=True
        ).start()
        client = store.Store(f'127.0.0.1:{listener.getsockname()[1]}')
        if arrives:
            found = client.wait_for_records('t', 0, 0.0)
            assert found.entries[0].key == 'k'
        else:
            with pytest.raises(errors.NoReplyError):
                client.wait_for_records('t', 0, 0.0)
