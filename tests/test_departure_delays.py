"""How soon entry VMs learn that a server leaves, if their reader is in trouble.

The sending of a request begins up to a prefill before it reaches its decode
worker, so knowledge has to come well within the time bound of two seconds.
"""

from collections.abc import Callable
from collections.abc import Iterator
import random

import pytest

from foxtaildaled import reader_choice
from foxtaildaled import store_sync
from tests import syncworld

_LEAVING_S = 2.0
# Time in which all VMs must know: the age at which a list is too old, and half
# a second in which a slow reply is given up and the store is read.
_KNOWN_S = _LEAVING_S * store_sync.MAX_AGE_FRACTION + 0.5
_VMS = 8


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> Iterator[syncworld.World]:
    made = syncworld.World(monkeypatch, leaving_s=_LEAVING_S)
    made.put_config(1, routes=8)
    for number in range(_VMS):
        made.add(
            f'vm-{number}',
            link_mbps=1000.0,
            cores=1.0,
            seeds=('vm-0', 'vm-1', 'vm-2'),
        )
    made.start()
    yield made
    made.close()


def _reader(world: syncworld.World) -> syncworld.Vm:
    vms = world.vms['vm-0'].state.entry_vms
    choice = reader_choice.ReaderChoice('vm-0', 'here', lambda: 0.0)
    return world.vms[choice.choose_reader(vms)]


def _delays(world: syncworld.World, server: str) -> dict[str, float]:
    """Has a server leave; returns when each VM knows, seconds."""
    began_at = world.clock.now
    world.put_server(server, 2, 'draining')
    delays: dict[str, float] = {}
    while len(delays) < len(world.vms) and world.clock.now < began_at + 6.0:
        world.clock.run(world.clock.now + 0.02)
        for name, vm in world.vms.items():
            if name not in delays and not vm.may_send_to(server):
                delays[name] = world.clock.now - began_at
    return delays


def _freeze(vm: syncworld.Vm, rng: random.Random, until: float) -> None:
    del rng
    vm.frozen_until = until


def _slow_down(vm: syncworld.Vm, rng: random.Random, until: float) -> None:
    del until
    vm.reply_delay_s = rng.uniform(0.05, 0.28)
    vm.store_delay_s = rng.uniform(0.1, 0.85)


def _cut_off(vm: syncworld.Vm, rng: random.Random, until: float) -> None:
    del rng, until
    vm.cut_off = True


def _lose_store(vm: syncworld.Vm, rng: random.Random, until: float) -> None:
    del rng, until
    vm.store_down = True


def _recover(vm: syncworld.Vm) -> None:
    vm.reply_delay_s = vm.store_delay_s = 0.0
    vm.cut_off = vm.store_down = False


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('fault', [_freeze, _slow_down, _cut_off, _lose_store])
def test_a_reader_in_trouble_hides_no_leaving_server(
    world: syncworld.World,
    fault: Callable[[syncworld.Vm, random.Random, float], None],
    seed: int,
) -> None:
    """Guards against a list that is older than a VM takes it for."""
    rng = random.Random(seed)
    for number in range(8):
        server = f'server-{number}'
        world.put_server(server, 1)
        world.clock.run(world.clock.now + rng.uniform(2.5, 4.0))
        vm = _reader(world)
        begins_at = world.clock.now + rng.uniform(0.0, 0.6)
        ends_at = begins_at + rng.uniform(0.2, 4.0)

        def begin(vm: syncworld.Vm = vm, until: float = ends_at) -> None:
            fault(vm, rng, until)

        def end(vm: syncworld.Vm = vm) -> None:
            _recover(vm)

        world.clock.call_at(begins_at, begin)
        world.clock.call_at(ends_at, end)
        world.clock.run(world.clock.now + rng.uniform(0.1, 2.0))
        delays = _delays(world, server)
        calm = {name: at for name, at in delays.items() if name != vm.name}
        assert len(calm) == _VMS - 1
        assert max(calm.values()) < _KNOWN_S, calm
        world.clock.run(max(ends_at, world.clock.now) + 4.0)


def test_a_vm_without_peers_reads_the_list_in_time(
    world: syncworld.World,
) -> None:
    """Guards against a fallback that waits longer than its list is fresh."""
    for vm in world.vms.values():
        vm.cut_off = True
    rng = random.Random(1)
    for number in range(20):
        server = f'server-{number}'
        world.put_server(server, 1)
        world.clock.run(world.clock.now + rng.uniform(3.0, 5.0))
        delays = _delays(world, server)
        assert len(delays) == _VMS
        limit_s = _LEAVING_S * store_sync.MAX_AGE_FRACTION + 0.1
        assert max(delays.values()) < limit_s, delays


def test_a_vm_without_peers_follows_the_configuration(
    world: syncworld.World,
) -> None:
    """Guards against a fresh list of servers that hides a new version."""
    for vm in world.vms.values():
        vm.cut_off = True
    rng = random.Random(1)
    for version in range(2, 22):
        world.clock.run(world.clock.now + rng.uniform(2.0, 5.0))
        world.put_config(version, routes=8)
        world.clock.run(world.clock.now + _KNOWN_S)
        versions = {name: vm.version for name, vm in world.vms.items()}
        assert set(versions.values()) == {version}, versions
