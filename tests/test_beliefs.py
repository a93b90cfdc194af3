"""What a router logs as its beliefs change."""

import json
import random

import msgspec
import pytest

from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildale_platform import records
from foxtaildaled import beliefs

_CODEC = records.Codec()


def _entry(offset: int, **changed: object) -> mirror.Entry:
    value = {
        'service': 's',
        'address': '127.0.0.1:1',
        'zone': 'z',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq_no': 1,
        'stage': 'prefill',
    }
    data = msgspec.json.encode(value | changed)
    return mirror.Entry(key='i-1', offset=offset, value=data)


def test_a_server_that_changes_is_told_in_the_log(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server announces that it leaves, or does another stage.

    On-call would see requests avoid it, and nothing that says why.
    """
    seen: list[tuple[str, object]] = []
    monkeypatch.setattr(
        logs,
        'event',
        lambda _level, event, **fields: seen.append((event, fields['stage'])),
    )
    state = beliefs.Beliefs(_CODEC, 'me:1', (), 'here', random.Random(1))
    for entry in (
        _entry(0),
        _entry(1),
        _entry(2, stage='decode'),
        _entry(3, stage='decode', state='draining'),
    ):
        keyed = ports.Keyed(entry.offset + 1, (entry,))
        state.take(_CODEC.servers_topic, keyed, 1.0, whole=False)
    assert seen == [
        ('backend server known', 'prefill'),
        ('backend server known', 'decode'),
        ('backend server leaving', 'decode'),
    ]
    assert json.dumps(state.planned()) == '{}'
