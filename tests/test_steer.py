"""Engines are set to what the preset in force says, whoever ordered before.

Real processes: two entry VMs, one engine that checks fencing numbers and one
that ignores them.
"""

from collections.abc import Iterator
import json
import pathlib
from typing import Any
from typing import Final

import pytest

from foxtaildale import values
from tests import deployment

_SERVICE: Final = 'enteis-llm'
_WORKERS: Final = (
    deployment.Worker(
        name='p1',
        service=_SERVICE,
        role='prefill',
        data_centre='halle-nord',
        fenced=True,
    ),
    deployment.Worker(
        name='d1', service=_SERVICE, role='decode', data_centre='halle-nord'
    ),
)
_VMS: Final = (
    deployment.Vm('entry-1', 'halle-nord'),
    deployment.Vm('entry-2', 'halle-sued'),
)


def _preset(name: str, version: str) -> values.Preset:
    service = values.Service(kind='model', engine_settings={'version': version})
    return values.Preset(name=name, services={_SERVICE: service})


@pytest.fixture(name='dep')
def _dep(tmp_path: pathlib.Path) -> Iterator[deployment.Deployment]:
    with deployment.Deployment(tmp_path) as dep:
        dep.start(_WORKERS, _VMS)
        dep.publish(_preset('ordinary', '7'))
        yield dep


def _version(dep: deployment.Deployment, name: str) -> tuple[str, int]:
    answer = dep.get(dep.workers[name].address, '/orders')
    found = {
        order['kind']: (order['value'], order['fence'])
        for order in json.loads(answer.data)['orders']
    }
    return found['version']


def _wait_version(
    dep: deployment.Deployment, name: str, version: str, least_fence: int
) -> None:
    def is_set() -> bool:
        value, fence = _version(dep, name)
        return value == version and fence >= least_fence

    dep.until(is_set, f'{name} has version {version}')


def test_a_switch_sets_every_engine(dep: deployment.Deployment) -> None:
    for name, version in (('ordinary', '7'), ('peak', '8')):
        if name == 'peak':
            dep.publish(_preset(name, version))
        for worker in _WORKERS:
            _wait_version(dep, worker.name, version, 1)


def _is_settled(dep: deployment.Deployment, name: str) -> bool:
    """Whether the home has seen the engine set and is at rest."""
    found: list[Any] = []
    for keeper in dep.keepers.values():
        orders = dep.state(keeper)['orders']
        assert isinstance(orders, list)
        found += [order for order in orders if order['server'] == name]
    return any(
        (order['observed'], order['given']) == ('8', 0) for order in found
    )


def _order_as_former_holder(
    dep: deployment.Deployment, name: str
) -> tuple[int, int]:
    """Orders the former version; returns the answer's status and the fence."""
    dep.publish(_preset('peak', '8'))
    _wait_version(dep, name, '8', 1)
    dep.until(lambda: _is_settled(dep, name), f'{name} was seen as wanted')
    _value, fence = _version(dep, name)
    old = {'kind': 'version', 'value': '7', 'fence': fence - 1}
    answer = dep.post(
        dep.workers[name].address, '/orders', json.dumps(old).encode()
    )
    return answer.status, fence


def test_an_engine_that_checks_refuses_a_former_holder(
    dep: deployment.Deployment,
) -> None:
    """A keeper stood still and wakes with an order of the former preset."""
    status, fence = _order_as_former_holder(dep, 'p1')
    assert status == 409
    assert _version(dep, 'p1') == ('8', fence)


def test_a_former_holders_order_does_not_last(
    dep: deployment.Deployment,
) -> None:
    """The same, on an engine that ignores fencing numbers.

    It loads the old version, and callers would be answered by it for good.
    """
    status, fence = _order_as_former_holder(dep, 'd1')
    assert status == 200
    _wait_version(dep, 'd1', '7', 0)
    _wait_version(dep, 'd1', '8', fence)


def test_an_order_that_an_engine_lost_is_given_again(
    dep: deployment.Deployment,
) -> None:
    """An engine is cut off while the operators switch, and comes back."""
    _wait_version(dep, 'd1', '7', 1)
    dep.workers['d1'].freeze()
    dep.publish(_preset('peak', '8'))
    _wait_version(dep, 'p1', '8', 1)
    dep.workers['d1'].thaw()
    _wait_version(dep, 'd1', '8', 1)
