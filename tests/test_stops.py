"""Planned stops cut nothing, and leaving backend servers get no new work.

Real processes: two entry VMs and, for one service, one prefill and two decode
workers.
"""

from collections.abc import Iterator
import functools
import json
import pathlib
import threading
import time
from typing import Final

import msgspec
import pytest
import urllib3

from foxtaildale import values
from tests import caller as caller_lib
from tests import deployment
from tests import fleet
from tests.standins import answers

_SERVICE: Final = 'enteis-llm'
_COUNT: Final = 60
# Longer than any library's own patience with open connections at a stop.
_LONG: Final = 900
_ROLES: Final[tuple[tuple[str, values.Role], ...]] = (
    ('p1', 'prefill'),
    ('d1', 'decode'),
    ('d2', 'decode'),
)
_WORKERS: Final = tuple(
    deployment.Worker(
        name=name,
        service=_SERVICE,
        role=role,
        data_centre='halle-nord',
        args=('--token-ms', '8'),
    )
    for name, role in _ROLES
)
_VMS: Final = (
    deployment.Vm('entry-1', 'halle-nord'),
    deployment.Vm('entry-2', 'halle-sued'),
)
_PRESET: Final = values.Preset(
    name='ordinary',
    services={_SERVICE: values.Service(kind='model', patience_ms=30_000)},
)


@pytest.fixture(name='dep')
def _dep(tmp_path: pathlib.Path) -> Iterator[deployment.Deployment]:
    with deployment.Deployment(tmp_path) as dep:
        dep.start(_WORKERS, _VMS)
        dep.publish(_PRESET)
        dep.wait_in_force(_PRESET.name)
        yield dep


def _ask(
    dep: deployment.Deployment, vm: str, prompt: str, count: int = _COUNT
) -> caller_lib.Caller:
    return caller_lib.Caller(
        dep.caller(vm), _SERVICE, prompt=prompt, max_tokens=count
    )


def _expected(prompt: str, count: int = _COUNT) -> str:
    return ''.join(answers.answer(f'user: {prompt}', count))


def _decodes(dep: deployment.Deployment, name: str) -> int:
    record = json.loads(dep.get(dep.workers[name].address, '/record').data)
    return sum(
        (entry['kind'], entry['phase']) == ('decode', 'begun')
        for entry in record
    )


def _leave(dep: deployment.Deployment, name: str) -> None:
    """Says in the VM list that a backend server is leaving."""
    servers = tuple(
        msgspec.structs.replace(server, state='leaving')
        if server.name == name
        else server
        for server in dep.listing.backend_servers
    )
    dep.put_list(
        values.Listing(dep.listing.version + 1, dep.listing.entry_vms, servers)
    )


def test_a_planned_stop_ends_every_answer_in_progress(
    dep: deployment.Deployment,
) -> None:
    """An entry VM is stopped for an update while answers stream.

    A dispatcher would see the answer break off in the middle.
    """
    callers = {
        f'question {n}': _ask(dep, 'entry-1', f'question {n}', _LONG)
        for n in range(8)
    }
    for caller in callers.values():
        caller.read(b'data: ')
    for proc in (dep.entries['entry-1'], dep.keepers['entry-1']):
        proc.terminate()
    for caller in callers.values():
        caller.read_all()
    for prompt, caller in callers.items():
        assert caller.whole()
        assert caller.text() == _expected(prompt, _LONG)
    assert dep.entries['entry-1'].wait() == 0
    assert dep.keepers['entry-1'].wait() == 0


def test_all_vms_are_replaced_in_turn_and_nobody_notices(
    dep: deployment.Deployment,
) -> None:
    """Every VM is stopped and started anew, one after the other, under load.

    Callers go to the next VM when one takes no more connections, as the
    balancer has them do; no answer breaks off and none is refused for good.
    """
    stop = threading.Event()
    faults: list[str] = []

    def ask_on(number: int) -> None:
        turn = 0
        while not stop.is_set():
            turn += 1
            fault = _ask_somewhere(dep, f'caller {number} turn {turn}')
            if fault:
                faults.append(fault)

    threads = [
        threading.Thread(target=ask_on, args=(number,)) for number in range(6)
    ]
    for thread in threads:
        thread.start()
    for vm in _VMS:
        dep.entries[vm.name].terminate()
        dep.keepers[vm.name].terminate()
        assert dep.entries[vm.name].wait() == 0
        assert dep.keepers[vm.name].wait() == 0
        dep.start_keeper(vm.name)
        dep.start_entry(vm.name)
        dep.wait_in_force(_PRESET.name)
    stop.set()
    for thread in threads:
        thread.join()
    assert not faults


def _ask_somewhere(dep: deployment.Deployment, prompt: str) -> str:
    """Asks one VM after the other; returns what went wrong, or ''."""
    deadline = time.monotonic() + deployment.WAIT_S
    while time.monotonic() < deadline:
        for vm in _VMS:
            try:
                caller = _ask(dep, vm.name, prompt)
            except OSError:
                continue
            data = caller.read_all()
            if caller.whole():
                return '' if caller.text() == _expected(prompt) else prompt
            if b' 503 ' not in data[:20] and data:
                return f'{prompt}: {data[-300:]!r}'
    return f'{prompt}: refused everywhere'


def test_a_leaving_backend_server_ends_its_work_and_gets_no_more(
    dep: deployment.Deployment,
) -> None:
    """The platform lists a decode worker as leaving while it works."""
    callers = [_ask(dep, 'entry-1', f'question {n}') for n in range(6)]
    for caller in callers:
        caller.read(b'data: ')
    _leave(dep, 'd1')
    dep.wait_listed()
    before = _decodes(dep, 'd1')
    callers += [_ask(dep, 'entry-2', f'question {n}') for n in range(6)]
    for caller in callers:
        caller.read_all()
        assert caller.whole()
    assert _decodes(dep, 'd1') == before


def test_a_leaving_backend_server_is_left_alone_while_the_list_stands_still(
    dep: deployment.Deployment,
) -> None:
    """The list is frozen; the engine itself refuses new work as leaving.

    Without the engine's word every request would be sent there first, for as
    long as the list lags.
    """
    dep.faults(dep.platform, list_frozen=True)
    for name in ('d1', 'd2'):
        caller = _ask(dep, 'entry-1', f'warm {name}')
        caller.read_all()
    dep.faults(dep.workers['d1'], leaving=True)
    for number in range(6):
        vm = _VMS[number % 2].name
        caller = _ask(dep, vm, f'question {number}')
        caller.read_all()
        assert caller.whole()
    for keeper in dep.keepers.values():
        dep.until(
            functools.partial(_knows_leaving, dep, keeper),
            'each keeper has heard of it',
        )
    refused = _refused(dep, 'd1')
    for number in range(6):
        caller = _ask(dep, _VMS[number % 2].name, f'later {number}')
        caller.read_all()
        assert caller.whole()
    assert _refused(dep, 'd1') == refused


def _knows_leaving(dep: deployment.Deployment, keeper: fleet.Proc) -> bool:
    return bool(dep.state(keeper)['leaving'])


def _refused(dep: deployment.Deployment, name: str) -> int:
    """Returns how often an engine was asked for new work in vain."""
    answer: urllib3.BaseHTTPResponse = dep.get(
        dep.workers[name].address, '/refused'
    )
    return int(answer.data)
