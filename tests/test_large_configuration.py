"""A configuration of many routes, and many entry VMs with slow links."""

from collections.abc import Iterator

import pytest

from tests import syncworld

# Time in which a version must be in force everywhere, seconds.
_CONFIG_S = 2.0
# Longest time that a message may wait for the link of its VM, seconds; a
# request for a placement waits 0.25 s for its reply.
_LINK_WAIT_S = 0.15
_VMS = 40


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
    assert {vm.version for vm in made.vms.values()} == {1}
    yield made
    made.close()


def test_a_large_configuration_is_in_force_in_time(
    world: syncworld.World,
) -> None:
    """Guards against replies that are too large for links and time limits."""
    for version, routes in ((2, 1448), (3, 1448), (5, 2848)):
        world.put_config(version, routes)
        world.clock.run(world.clock.now + _CONFIG_S)
        versions = {name: vm.version for name, vm in world.vms.items()}
        assert set(versions.values()) == {version}, versions
        world.clock.run(world.clock.now + 1.0)
    waits = {name: vm.up.worst_wait_s for name, vm in world.vms.items()}
    assert max(waits.values()) < _LINK_WAIT_S, waits
