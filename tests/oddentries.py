"""Odd records of another writer for each topic, drawn from a seed."""

import json
import random
from typing import Any
from typing import Final

import msgspec

from tests.standins import keyedstore

_DEPTH: Final = 20_000
_NESTED: Final = b'[' * _DEPTH + b']' * _DEPTH
_FAR_FUTURE_MS: Final = 10**14
# Bytes that are no valid record of any topic of JSON records.
_NO_RECORDS: Final = (
    _NESTED,
    b'{"nobody-knows":' + _NESTED + b'}',
    b'{"version":' + b'9' * 5000 + b'}',
    b'{"version":1e999}',
    b'\xff\xfe\x00',
    b'{"service":"\\ud800"}',
    b'null',
    b'{',
)
_SERVER_CHANGES: Final[tuple[dict[str, object], ...]] = (
    {'address': '127.0.0.1:99999'},
    {'address': '127.0.0.1:0'},
    {'address': '127.0.0.1:80\n'},
    {'address': '999.0.0.1:80'},
    {'address': '\u0661.0.0.1:80'},
    {'address': 'x' * 100_000},
    {'slots': 10**30},
    {'slots': -1},
    {'seq_no': 10**40},
    {'born': 10**40},
    {'born': _FAR_FUTURE_MS},
    {'born': 1.5},
    {'cold_left_ms': 1e308},
    {'version': 10**40},
    {'version': 'v' * 100_000},
    {'state': 'unknown'},
    {'stage': ['decode']},
)
_CONFIG_CHANGES: Final[tuple[dict[str, object], ...]] = (
    {'version': 10**40},
    {'version': -1},
    {'limits': {'idle_timeout_ms': 1e308}},
    {'limits': {'max_body_bytes': -1}},
    {'tenants': [{'name': 'a', 'key_digests': ['no hex']}]},
    {'tenants': [{'name': 'a', 'api_keys': [1]}]},
    {'routes': [{'name': 'r'}]},
)
_MEMBER_CHANGES: Final[tuple[dict[str, object], ...]] = (
    {'peer_address': '127.0.0.1:99999'},
    {'peer_address': f'{"a" * 64}.example:80'},
    {'cores': 1e308},
    {'relay_address': '127.0.0.1:0'},
    {'relay_address': 'x'},
)
_HELD_CHANGES: Final[tuple[dict[str, object], ...]] = (
    {'until': 1e308},
    {'until': -1},
    {'parts': [10**40]},
    {'fingerprint': 2**64},
)
_MEMBER: Final = {'peer_address': '127.0.0.1:1', 'cores': 64.0}


def _pick(
    rng: random.Random,
    sound: dict[str, Any],
    changes: tuple[dict[str, object], ...],
) -> bytes:
    if rng.random() < 0.4:
        return rng.choice(_NO_RECORDS)
    return json.dumps(sound | rng.choice(changes)).encode()


def write_server(
    store: keyedstore.KeyedStore,
    rng: random.Random,
    key: str,
    sound: dict[str, Any],
) -> None:
    """Writes a sound entry of a server with a field changed, as drawn."""
    data = _pick(rng, sound, _SERVER_CHANGES)
    store.put_bytes('keyed.servers', key, data)


def write_others(
    store: keyedstore.KeyedStore,
    rng: random.Random,
    config: dict[str, Any],
    member: str,
) -> None:
    """Writes an odd record to each of the other topics, as drawn."""
    # The operator writes the configuration in force again.
    store.put_bytes('keyed.op', 'config', _pick(rng, config, _CONFIG_CHANGES))
    store.put('keyed.op', 'config', config)
    name = rng.choice((member, 'odd', 'odd \u00e4\n'))
    store.put_bytes(
        'keyed.entryvms', name, _pick(rng, _MEMBER, _MEMBER_CHANGES)
    )
    request = rng.randrange(2**64)
    held = {'fingerprint': request, 'until': 1e9, 'parts': []}
    store.put_bytes(
        'keyed.entryvms',
        f'held/{request:016x}',
        _pick(rng, held, _HELD_CHANGES),
    )
    for service in ('model', 'odd'):
        store.put_bytes('keyed.stageholders', service, b'\xff\xfe')
    saved_at = rng.choice((float('nan'), float('inf'), -1e308, 1e308))
    origin = [rng.randrange(2**64), 'model', 'v1', -(2**60)]
    store.put_bytes(
        'streamorigins',
        'odd',
        rng.choice(
            (
                b'\x91' * _DEPTH,
                msgspec.msgpack.encode([saved_at, [origin]]),
                msgspec.msgpack.encode([1e9, [origin]]),
                b'\xff',
            )
        ),
    )
