"""What a router logs as its beliefs change."""

import json
import random

import msgspec
import pytest

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildale_platform import records
from foxtaildaled import router_state

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
    state = router_state.RouterState(
        _CODEC, 'me:1', (), 'here', random.Random(1)
    )
    for entry in (
        _entry(0),
        _entry(1),
        _entry(2, stage='decode'),
        _entry(3, stage='decode', state='draining'),
    ):
        keyed = ports.KeyedRecords(entry.offset + 1, (entry,))
        state.apply_store_reply(
            _CODEC.servers_topic,
            keyed,
            1.0,
            requested_at=1.0,
            is_snapshot=False,
        )
    assert seen == [
        ('backend server known', 'prefill'),
        ('backend server known', 'decode'),
        ('backend server leaving', 'decode'),
    ]
    assert json.dumps(state.plans.summary()) == '{}'


def _state() -> router_state.RouterState:
    return router_state.RouterState(
        _CODEC, 'me:1', (), 'here', random.Random(1)
    )


def _read(state: router_state.RouterState, *entries: mirror.Entry) -> None:
    end = entries[-1].offset + 1
    keyed = ports.KeyedRecords(end, entries)
    state.apply_store_reply(
        _CODEC.servers_topic, keyed, 1.0, requested_at=1.0, is_snapshot=False
    )


def _passed_on(state: router_state.RouterState, end: int) -> list[int]:
    """Returns the offsets told to a peer that knows the list up to one."""
    topic = _CODEC.servers_topic
    reply = state.build_reply(
        messages.RecordsRequest(positions={topic: end}), 1.0
    )
    assert reply.positions[topic] >= end
    return [offset for _, offset, _, _ in reply.records[topic]]


def test_heartbeats_that_change_nothing_are_not_passed_on() -> None:
    """Servers write every 1.2 s and hardly ever something new.

    Passed on to every VM, the list took more of a VM's processor and link than
    the requests did.
    """
    state = _state()
    _read(state, _entry(0))
    _read(state, _entry(1, seq_no=2), _entry(2, seq_no=3, cold_left_ms=9))
    assert _passed_on(state, 1) == []
    # Who knows nothing gets the newest record.
    assert _passed_on(state, 0) == [2]
    _read(state, _entry(3, state='draining'))
    _read(state, _entry(4, state='draining', seq_no=5))
    assert _passed_on(state, 3) == [4]
    assert _passed_on(state, 4) == []


def test_a_server_that_comes_back_is_passed_on() -> None:
    """An entry lapses while the store is down, and the living server is back.

    Told of its removal and not of its return, the other VMs would not use it
    any more.
    """
    state = _state()
    _read(state, _entry(0), _entry(1))
    state.record_store_failure(1.0)
    _read(state, mirror.Entry(key='i-1', offset=2, value=b''))
    assert _passed_on(state, 2) == [2]
    _read(state, _entry(3))
    assert _passed_on(state, 3) == [3]
    _read(state, _entry(4))
    assert _passed_on(state, 3) == [4]
    assert _passed_on(state, 4) == []


def test_an_entry_that_can_be_read_again_is_passed_on() -> None:
    state = _state()
    _read(state, _entry(0))
    _read(state, _entry(1, slots='many'))
    _read(state, _entry(2))
    assert _passed_on(state, 2) == [2]


def test_a_server_that_answered_as_another_is_back_after_a_heartbeat() -> None:
    """An engine that changes its stage refuses what is sent for the old one.

    Its entry may say the same before and after, so no record brings it back to
    VMs that hear of changes only; they would never use it again.
    """
    state = _state()
    _read(state, _entry(0))
    head = forwarding.ResponseHead(
        status=forwarding.MISDIRECTED, headers=(), ran='no'
    )
    state.fleet.record_not_run('i-1', 10.0, misdirected=head.misdirected)
    assert state.fleet.usable('i-1', 10.5) is None
    assert not state.fleet.candidates('s', 10.5, 'prefill')
    assert (
        state.fleet.usable('i-1', 10.0 + fleet.MISDIRECTED_EXCLUSION_S)
        is not None
    )
    # What changed is tried at once.
    state.fleet.record_not_run('i-1', 20.0, misdirected=head.misdirected)
    _read(state, _entry(1, stage='decode'))
    assert state.fleet.usable('i-1', 20.0) is not None


def test_a_home_of_many_vms_surveys_holders_and_a_sample() -> None:
    """The home of 195 VMs asked each of them every second what it holds.

    That is 195 answers a second for a VM of half a core, nearly all empty.
    """
    state = _state()
    state.entry_vms = {
        f'vm-{number}': forwarding.EntryVm(f'vm-{number}:1')
        for number in range(100)
    }
    everybody = state.peers()
    assert state.plans.inventory_peers('s', 1.0) == everybody
    place = messages.ActivePlacement(
        request='r',
        decode_worker='i-1',
        prompt_tokens=9,
        hinted_tokens=9,
        max_output_tokens=9,
    )
    kept = messages.PlacementRenewal(
        service='s', holder='vm-7', places=(place,)
    )
    state.plans.apply_inventory('s', [kept], 1.0)
    seen: set[str] = set()
    for _ in range(8):
        asked = state.plans.inventory_peers('s', 1.5)
        assert 'vm-7:1' in asked
        assert len(asked) < 20
        seen.update(asked)
    assert seen == set(everybody)
    # Known too long ago: all again.
    assert state.plans.inventory_peers('s', 9.0) == everybody
