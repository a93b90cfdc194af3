"""A configuration of many routes, and many entry VMs with slow links."""

from collections.abc import Iterator

import pytest

from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale import transfer_budget
from tests import syncworld

# Time in which a version must be in force everywhere, seconds.
_CONFIG_S = 2.0
# The same for VMs that the store does not reply to.
_CONFIG_BY_PEERS_S = 6.0
# Longest time that a message may wait for the link of its VM, seconds; a
# request for a placement waits 0.25 s for its reply.
_LINK_WAIT_S = 0.15
_VMS = 40
_LARGE = b'x' * 200_000


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[syncworld.World]:
    made = syncworld.World(monkeypatch)
    made.put_config(1, routes=48)
    seeds = ('vm-0', 'vm-1', 'vm-2')
    for number in range(_VMS):
        made.add(f'vm-{number}', seeds=seeds)
    for number in range(2):
        made.add(f'big-{number}', link_mbps=100.0, cores=2.0, seeds=seeds)
    made.start()
    assert _versions(made) == {1}
    yield made
    made.close()


def _versions(world: syncworld.World) -> set[int]:
    return {vm.version for vm in world.vms.values()}


def test_a_large_configuration_is_in_force_in_time(
    world: syncworld.World,
) -> None:
    """Guards against replies that are too large for links and time limits."""
    for vm in world.vms.values():
        vm.up.worst_wait_s = 0.0
    for version, routes in ((2, 1448), (3, 1448), (5, 2848)):
        world.put_config(version, routes)
        world.clock.run(world.clock.now + _CONFIG_S)
        versions = {name: vm.version for name, vm in world.vms.items()}
        assert set(versions.values()) == {version}, versions
        world.clock.run(world.clock.now + 1.0)
    waits = {name: vm.up.worst_wait_s for name, vm in world.vms.items()}
    assert max(waits.values()) < _LINK_WAIT_S, waits


def test_a_large_configuration_reaches_vms_without_a_store(
    world: syncworld.World,
) -> None:
    """Guards against records that are left out of replies and read nowhere."""
    for number in range(0, _VMS, 3):
        world.vms[f'vm-{number}'].store_down = True
    world.put_config(2, routes=1448)
    world.clock.run(world.clock.now + _CONFIG_BY_PEERS_S)
    assert _versions(world) == {2}


def test_a_vm_that_starts_reads_a_large_configuration(
    world: syncworld.World,
) -> None:
    """Guards against a process that waits for a reply without its records."""
    world.put_config(2, routes=1448)
    world.clock.run(world.clock.now + _CONFIG_S)
    late = world.add('late', seeds=('vm-0', 'vm-1', 'vm-2'))
    late.start()
    world.clock.run(world.clock.now + _CONFIG_S)
    assert late.version == 2


def test_a_reply_without_its_large_record_does_not_pass_it(
    world: syncworld.World,
) -> None:
    """Guards against a record that neither reader nor store sends again."""
    topic = syncworld.CODEC.config_topic
    sender, receiver = world.vms['vm-3'].state, world.vms['vm-4'].state
    now = world.clock.now
    before = receiver.applied_offset(topic)
    entry = mirror.Entry('other', before, _LARGE)
    sender.apply_store_reply(
        topic,
        ports.KeyedRecords(before + 1, (entry,)),
        now,
        requested_at=now,
        is_snapshot=False,
    )
    reply = sender.build_reply(receiver.build_request(now, 0.3), now)
    receiver.apply_peer_reply(reply, now, requested_at=now, sender='vm-3')
    assert not reply.records[topic]
    assert receiver.applied_offset(topic) == before
    assert receiver.is_behind(topic)
    complete = sender.build_reply(receiver.build_large_request(), now)
    receiver.apply_peer_reply(complete, now, requested_at=now, sender='vm-3')
    assert not receiver.is_behind(topic)


def test_replies_to_older_requests_stay_within_the_link(
    world: syncworld.World,
) -> None:
    """Guards against a link that large values to many VMs fill for seconds."""
    topic = syncworld.CODEC.config_topic
    sender = world.vms['vm-3'].state
    now = world.clock.now
    before = sender.applied_offset(topic)
    sender.apply_store_reply(
        topic,
        ports.KeyedRecords(
            before + 1, (mirror.Entry('other', before, _LARGE),)
        ),
        now,
        requested_at=now,
        is_snapshot=False,
    )
    ask = messages.RecordsRequest(positions={topic: before})
    replies = [sender.build_reply(ask, now) for _ in range(_VMS)]
    assert [bool(reply.records[topic]) for reply in replies[:3]] == [
        True,
        False,
        False,
    ]
    assert sum(bool(reply.records[topic]) for reply in replies) == 1


def test_a_value_above_the_capacity_is_sent_after_a_pause() -> None:
    """Guards against a value that is never sent because of its size."""
    budget = transfer_budget.TransferBudget(1000.0)
    assert budget.try_spend(10.0, 5000)
    assert not budget.try_spend(19.0, 1)
    assert budget.try_spend(21.0, 5000)
