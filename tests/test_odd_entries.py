"""Routers that read entries of another writer among those of servers."""

import random

import msgspec
import pytest

from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildale_platform import records
from foxtaildaled import router_state

_CODEC = records.Codec()
_ENTRY: dict[str, object] = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq_no': 1,
}
_ODD_KEY = 'odd'


class _FaultyCodec(records.Codec):
    """Raises an unexpected error for the odd record."""

    __slots__ = ('step',)

    def __init__(self, step: str) -> None:
        self.step = step

    def rank(self, topic: str, key: str, value: bytes) -> mirror.Rank:
        self._fail('rank', key == _ODD_KEY)
        return _CODEC.rank(topic, key, value)

    def redact(self, topic: str, value: bytes) -> bytes:
        self._fail('redact', b'odd' in value)
        return _CODEC.redact(topic, value)

    def decode_server(self, key: str, value: bytes) -> forwarding.Backend:
        self._fail('apply', key == _ODD_KEY)
        return _CODEC.decode_server(key, value)

    def _fail(self, step: str, is_odd: bool) -> None:
        if is_odd and step == self.step:
            raise KeyError('unexpected')


def _entry(key: str, offset: int, **changed: object) -> mirror.Entry:
    value = msgspec.json.encode(_ENTRY | changed)
    return mirror.Entry(key=key, offset=offset, value=value)


def _state(
    codec: records.Codec = _CODEC, wall_s: float = 1e9
) -> router_state.RouterState:
    return router_state.RouterState(
        codec, 'me:1', (), '', random.Random(1), wall=lambda: wall_s
    )


def _read(
    state: router_state.RouterState,
    *entries: mirror.Entry,
    topic: str = _CODEC.servers_topic,
) -> None:
    keyed = ports.KeyedRecords(entries[-1].offset + 1, entries)
    state.apply_store_reply(
        topic, keyed, 1.0, requested_at=1.0, is_snapshot=False
    )


def _usable(state: router_state.RouterState) -> set[str]:
    return {tally.backend.id for tally in state.fleet.candidates('s', 1.0)}


@pytest.mark.parametrize('step', ['rank', 'redact', 'apply'])
@pytest.mark.parametrize('source', ['store', 'peer'])
def test_one_record_that_fails_does_not_lose_the_others(
    step: str, source: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Servers that came or left in the same reply stayed unknown."""
    events: list[tuple[str, object, object]] = []
    monkeypatch.setattr(
        logs,
        'event',
        lambda _level, event, **fields: events.append(
            (event, fields.get('topic'), fields.get('key'))
        ),
    )
    state = _state(_FaultyCodec(step))
    topic = _CODEC.servers_topic
    second_epoch = 1 << 40
    _read(state, _entry('left', 0), _entry(_ODD_KEY, 1))
    entries = (
        _entry(_ODD_KEY, second_epoch + 1, zone='odd'),
        mirror.Entry(key='left', offset=second_epoch + 2, value=b''),
        _entry('joined', second_epoch + 3),
    )
    if source == 'store':
        _read(state, *entries)
    else:
        found = tuple((e.key, e.offset, e.value, e.removed) for e in entries)
        reply = messages.RecordsReply(
            records={topic: found},
            positions={topic: second_epoch + 4},
            store_age_s=0.0,
        )
        state.apply_peer_reply(reply, 1.0, requested_at=1.0, sender='x:1')
    assert 'joined' in _usable(state)
    assert state.applied_offset(topic) == second_epoch + 4
    # Records of other VMs are redacted already.
    is_reached = (step, source) != ('redact', 'peer')
    assert (('record not applied', topic, _ODD_KEY) in events) == is_reached
