"""Routers that read entries of another writer among those of servers."""

import contextlib
import random
import threading

import msgspec
import pytest

from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildale_platform import records
from foxtaildaled import router_state
from tests import oddentries
from tests import site as sites

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
_WALL_S = 1_790_000_000.0
_NOW_MS = int(_WALL_S * 1000)
_EPOCH = 1 << 40


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
    codec: records.Codec = _CODEC, wall_s: float = _WALL_S
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
    _read(state, _entry('left', 0), _entry(_ODD_KEY, 1))
    entries = (
        _entry(_ODD_KEY, _EPOCH + 1, zone='odd'),
        mirror.Entry(key='left', offset=_EPOCH + 2, value=b''),
        _entry('joined', _EPOCH + 3),
    )
    if source == 'store':
        _read(state, *entries)
    else:
        found = tuple((e.key, e.offset, e.value, e.removed) for e in entries)
        reply = messages.RecordsReply(
            records={topic: found},
            positions={topic: _EPOCH + 4},
            store_age_s=0.0,
        )
        state.apply_peer_reply(reply, 1.0, requested_at=1.0, sender='x:1')
    assert 'joined' in _usable(state)
    assert state.applied_offset(topic) == _EPOCH + 4
    # Records of other VMs are redacted already.
    is_reached = (step, source) != ('redact', 'peer')
    assert (('record not applied', topic, _ODD_KEY) in events) == is_reached


_YEAR_MS = 365 * 86_400_000


def test_a_start_in_the_future_does_not_replace_a_server() -> None:
    """Each later entry of the real server was one of an earlier start."""
    state = _state()
    _read(state, _entry('i-1', 0, born=_NOW_MS))
    _read(state, _entry('i-1', 1, born=_NOW_MS + _YEAR_MS, address='1.1.1.1:1'))
    assert _usable(state) == set()
    _read(state, _entry('i-1', 2, born=_NOW_MS))
    assert _usable(state) == {'i-1'}
    backend = state.fleet.usable('i-1', 1.0)
    assert backend is not None
    assert backend.address == _ENTRY['address']


@pytest.mark.parametrize('is_removed', [True, False])
def test_a_start_in_the_future_does_not_outrank_a_restored_entry(
    is_removed: bool,
) -> None:
    """After a restore of the store the real server was never used again."""
    state = _state()
    _read(state, _entry('i-1', 0, born=_NOW_MS + _YEAR_MS, address='1.1.1.1:1'))
    if is_removed:
        _read(state, mirror.Entry(key='i-1', offset=1, value=b''))
    _read(state, _entry('i-1', _EPOCH + 1, born=_NOW_MS))
    backend = state.fleet.usable('i-1', 1.0)
    assert backend is not None
    assert backend.address == _ENTRY['address']


def test_a_removed_start_in_the_future_of_another_vm_outranks_nothing() -> None:
    """VMs of an earlier build send the rank of the removed entry."""
    state = _state()
    topic = _CODEC.servers_topic
    reply = messages.RecordsReply(
        records={topic: (('i-1', 1, b'', (_NOW_MS + _YEAR_MS, 1)),)},
        positions={topic: 2},
        store_age_s=0.0,
    )
    state.apply_peer_reply(reply, 1.0, requested_at=1.0, sender='x:1')
    _read(state, _entry('i-1', _EPOCH + 1, born=_NOW_MS))
    assert _usable(state) == {'i-1'}


@pytest.mark.parametrize('wall_s', [0.0, _WALL_S - 40_000, _WALL_S + 40_000])
def test_servers_are_used_although_the_own_clock_is_wrong(
    wall_s: float,
) -> None:
    """A clock that was never set, or is hours off, ruled out each server."""
    state = _state(wall_s=wall_s)
    _read(state, _entry('i-1', 0, born=_NOW_MS))
    assert _usable(state) == {'i-1'}


def test_an_entry_vm_writes_its_entry_again_over_an_odd_one() -> None:
    """VMs that started later didn't know the one whose entry was odd."""
    state = _state()
    topic = _CODEC.members_topic
    member = forwarding.EntryVm('10.0.0.1:80')
    value = _CODEC.encode_member(member)
    _read(state, mirror.Entry(key='vm-1', offset=0, value=value), topic=topic)
    assert state.is_listed('vm-1', member)
    odd = b'{"peer_address":"10.0.0.1:99999"}'
    _read(state, mirror.Entry(key='vm-1', offset=1, value=odd), topic=topic)
    assert state.entry_vms == {'vm-1': member}
    assert not state.is_listed('vm-1', member)
    _read(state, mirror.Entry(key='vm-1', offset=2, value=value), topic=topic)
    assert state.is_listed('vm-1', member)


_ROUNDS = 12
# Errors that a thread logs when something ended its step.
_ENDED = {'loop', 'thread died', 'invariant', 'record not applied'}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_routers_follow_the_list_past_odd_records(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """VMs that read an odd record stopped following the list, or ended."""
    rng = random.Random(seed)
    ended: list[object] = []
    log_event = logs.event

    def record(level: int, event: str, **fields: object) -> None:
        # A router that an earlier test closed has no actor any more.
        is_closed = 'ActorDeadError' in str(fields.get('error'))
        if event in _ENDED and not is_closed:
            ended.append((event, fields))
        log_event(level, event, **fields)

    monkeypatch.setattr(logs, 'event', record)
    monkeypatch.setattr(threading, 'excepthook', ended.append)
    with contextlib.closing(sites.Site()) as site:
        config = sites.config(1)
        site.store.put('keyed.op', 'config', config)
        site.worker('s0', 'plain')
        site.start_routers(2)
        for number in range(_ROUNDS):
            left, joined = f's{number}', f's{number + 1}'
            before = site.workers[left]
            for key in (left, 'odd', 'odd id'):
                sound = before.entry()
                oddentries.write_server(site.store, rng, key, sound)
            oddentries.write_others(site.store, rng, config, 'vm-1')
            site.worker(joined, 'plain')
            site.store.put('keyed.servers', left, None)
            for router in range(2):
                _wait_until_only(site, router, joined)
        assert not ended


def _wait_until_only(site: sites.Site, router: int, name: str) -> None:
    """Waits until a router sends requests to one server only."""
    # A server that vanished right after an error of the store stays in use for
    # a moment, so several requests in a row have to reach the new one.
    in_row = 0

    def reaches() -> bool:
        nonlocal in_row
        before = len(site.workers[name].came)
        status, _, _ = sites.send(site, 'GET', '/safe/x', number=router)
        reached = status == 200 and len(site.workers[name].came) > before
        in_row = in_row + 1 if reached else 0
        return in_row == 3

    sites.until(reaches, 6.0)
