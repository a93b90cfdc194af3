"""An accepted preset is in force everywhere and never reverts.

Real processes: three entry VMs, of which the third reaches the platform
through a relay that can be cut.
"""

from collections.abc import Iterator
import pathlib
from typing import Final

import msgspec
import pytest

from foxtaildale import values
from tests import deployment

_SERVICE: Final = 'queue-app'
_FAR: Final = 'entry-3'
_WORKERS: Final = (
    deployment.Worker(
        name='q1', service=_SERVICE, role='plain', data_centre='halle-nord'
    ),
)
_VMS: Final = tuple(
    deployment.Vm(f'entry-{number}', 'halle-nord') for number in (1, 2, 3)
)
_ORDINARY: Final = values.Preset(
    name='ordinary', services={_SERVICE: values.Service(kind='plain')}
)
_PEAK: Final = msgspec.structs.replace(_ORDINARY, name='peak')


@pytest.fixture(name='dep')
def _dep(tmp_path: pathlib.Path) -> Iterator[deployment.Deployment]:
    with deployment.Deployment(tmp_path, freshness_s=2.0) as dep:
        dep.start(_WORKERS, _VMS, relayed=(_FAR,))
        dep.publish(_ORDINARY)
        dep.wait_in_force('ordinary')
        yield dep


def _revisions(dep: deployment.Deployment) -> list[object]:
    return [dep.state(keeper)['revision'] for keeper in dep.keepers.values()]


def test_a_vm_that_is_cut_from_the_log_learns_a_switch_from_its_peers(
    dep: deployment.Deployment,
) -> None:
    """One VM can't reach the platform when the operators switch.

    It would go on admitting by yesterday's rules.
    """
    dep.platform_relays[_FAR].cut()
    dep.publish(_PEAK)
    dep.wait_in_force('peak')


def test_a_vm_that_is_started_in_an_outage_learns_from_its_peers(
    dep: deployment.Deployment,
) -> None:
    """The log is down, and a VM is replaced: it has no disk and knows nothing.

    It would refuse every caller until the log is back, or revert to a default.
    """
    dep.publish(_PEAK)
    dep.wait_in_force('peak')
    dep.faults(dep.platform, down=True)
    dep.entries['entry-1'].kill()
    dep.keepers['entry-1'].kill()
    dep.start_keeper('entry-1')
    dep.start_entry('entry-1')
    dep.wait_in_force('peak')


def test_all_vms_replaced_in_an_outage_keep_the_preset(
    dep: deployment.Deployment,
) -> None:
    """The log stays down while every VM is replaced, one after the other.

    The preset lives on in the peers alone.
    """
    dep.publish(_PEAK)
    dep.wait_in_force('peak')
    dep.faults(dep.platform, down=True)
    for vm in _VMS:
        dep.entries[vm.name].kill()
        dep.keepers[vm.name].kill()
        dep.start_keeper(vm.name)
        dep.start_entry(vm.name)
        dep.wait_in_force('peak')
    assert _revisions(dep) == [2, 2, 2]


def test_a_slow_log_delays_nobody_and_a_switch_comes_through(
    dep: deployment.Deployment,
) -> None:
    """Each answer of the log takes almost as long as the keepers wait."""
    dep.faults(dep.platform, slow_ms=700)
    for number in range(3):
        answer = dep.post(
            dep.caller('entry-1'), f'/v1/services/{_SERVICE}/queue', b'{}'
        )
        assert answer.status == 200, number
    dep.publish(_PEAK)
    dep.wait_in_force('peak')


def test_an_isolated_vm_refuses_instead_of_guessing(
    dep: deployment.Deployment,
) -> None:
    """A VM hears neither log nor peer for longer than the freshness bound.

    A switch may have been missed, so it says that it does not know; the others
    serve on.
    """
    dep.platform_relays[_FAR].cut()
    for name in ('entry-1', 'entry-2'):
        dep.keepers[name].freeze()
    dep.until(
        lambda: dep.state(dep.entries[_FAR])['preset'] is None,
        'the isolated VM no longer vouches',
    )
    answer = dep.post(dep.caller(_FAR), f'/v1/services/{_SERVICE}/queue', b'{}')
    assert answer.status == 503
    assert b'"code":"no-preset"' in answer.data
    for name in ('entry-1', 'entry-2'):
        dep.keepers[name].thaw()
    dep.wait_in_force('ordinary')
