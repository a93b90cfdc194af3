"""Requests on open connections over the stops of an entry and a keeper."""

from collections.abc import Iterator
from concurrent import futures
import functools
import itertools
import json
import queue
import time
from typing import Final

import pytest
import xxhash

from foxtaildale import values
from tests import deployment
from tests import fleet
from tests import stopprobes
from tests.standins import answers

_MODEL: Final = 'enteis-llm'
_PLAIN: Final = 'queue-app'
_ENGINES: Final[tuple[tuple[str, values.Role], ...]] = (
    ('p1', 'prefill'),
    ('d1', 'decode'),
    ('d2', 'decode'),
)
_WORKERS: Final = (
    *(
        deployment.Worker(
            name=name,
            service=_MODEL,
            role=role,
            data_centre='here',
            args=('--token-ms', str(int(stopprobes.PACE_S * 1000))),
        )
        for name, role in _ENGINES
    ),
    deployment.Worker(
        name='a1', service=_PLAIN, role='plain', data_centre='here'
    ),
)
# Entries that are stopped at the same time.
_LANES: Final = 8
_VMS: Final = tuple(
    deployment.Vm(f'vm-{number}', 'here') for number in range(_LANES)
)
_PRESET: Final = values.Preset(
    name='ordinary',
    services={
        _MODEL: values.Service(kind='model', patience_ms=30_000),
        _PLAIN: values.Service(kind='plain'),
    },
)
# Stops of entries; each has a part of the requests.
_STOPS: Final = 56
# Time from the start of the probes to the signal, seconds.
_LEAD_S: Final = 0.8
# Time by which a process without long requests has ended, seconds.
_ENDS_S: Final = 8.0
_KINDS: Final = ('safe', 'once', 'chat', 'single')
_CALLS: Final = {'safe': 'queue', 'once': 'check-in'}
# Seconds after the signal, dense around it and the closes that follow at once.
_TIMES: Final = (
    -0.1,
    *(step * 0.005 for step in range(-4, 13)),
    *(0.08, 0.1, 0.13, 0.2, 0.35, 0.6, 1.0),
)
_PAGES: Final = ('/livez', '/readyz', '/metrics', '/state')


@pytest.fixture(name='dep', scope='module')
def _dep(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[deployment.Deployment]:
    with deployment.Deployment(tmp_path_factory.mktemp('entries')) as dep:
        dep.start(_WORKERS, _VMS)
        dep.publish(_PRESET)
        dep.wait_in_force(_PRESET.name)
        yield dep


def _post(target: str, body: bytes) -> bytes:
    head = (
        f'POST {target} HTTP/1.1\r\n'
        'Host: entry\r\n'
        f'Content-Length: {len(body)}\r\n'
        '\r\n'
    )
    return head.encode() + body


class _Maker:
    """Makes requests, and says which began to run."""

    def __init__(self, dep: deployment.Deployment) -> None:
        self._dep = dep
        self._ids = itertools.count()

    def make(self, kind: str, lasts_s: float) -> stopprobes.Request:
        """Makes a request."""
        name = f'{time.monotonic_ns()}-{next(self._ids)}'
        if kind in _CALLS:
            digest = xxhash.xxh64_hexdigest(name.encode())
            return stopprobes.Request(
                id=name,
                kind=kind,
                data=_post(
                    f'/v1/services/{_PLAIN}/{_CALLS[kind]}', name.encode()
                ),
                expected=lambda body: json.loads(body)['body'] == digest,
            )
        count = max(1, round(lasts_s / stopprobes.PACE_S))
        pieces = answers.answer(f'user: {name}', count)
        body = {
            'model': _MODEL,
            'stream': kind == 'chat',
            'max_tokens': count,
            'messages': [{'role': 'user', 'content': name}],
        }
        return stopprobes.Request(
            id=name,
            kind=kind,
            data=_post('/v1/chat/completions', json.dumps(body).encode()),
            expected=functools.partial(_is_whole, pieces, kind == 'chat'),
        )

    def runs(self, request: str) -> int:
        """Returns how often a call of a plain service ran."""
        digest = xxhash.xxh64_hexdigest(request.encode())
        return self._record('a1').count(('call', 'begun', digest))

    def decodes(self) -> int:
        """Returns how many completions began."""
        return sum(
            entry[:2] == ('decode', 'begun')
            for name in ('d1', 'd2')
            for entry in self._record(name)
        )

    def _record(self, name: str) -> list[tuple[str, str, str]]:
        record = self._dep.get(self._dep.workers[name].address, '/record')
        return [
            (entry['kind'], entry['phase'], entry['body'])
            for entry in json.loads(record.data)
        ]


def _is_whole(pieces: list[str], is_stream: bool, body: bytes) -> bool:
    """Whether a completion has all its pieces and its end."""
    if not is_stream:
        text: str = json.loads(body)['choices'][0]['message']['content']
        return text == ''.join(pieces)
    events = [
        line.removeprefix('data: ')
        for line in body.decode().splitlines()
        if line.startswith('data: ')
    ]
    text = ''.join(
        choice['delta'].get('content', '')
        for event in events
        if event.startswith('{"id"')
        for choice in json.loads(event)['choices']
    )
    return text == ''.join(pieces) and events[-1] == '[DONE]'


def _stop(
    proc: fleet.Proc,
    address: str,
    probes: list[stopprobes.Probe],
    make: stopprobes.Make,
) -> tuple[list[stopprobes.Seen], list[str]]:
    """Stops a process under requests; returns them and what was wrong."""
    signal_at = time.monotonic() + _LEAD_S
    with futures.ThreadPoolExecutor(len(probes)) as pool:
        found = [
            pool.submit(probe.run, address, make, signal_at) for probe in probes
        ]
        time.sleep(max(0.0, signal_at - time.monotonic()))
        status = proc.stop(_ENDS_S)
        seen = [item for probe in found for item in probe.result()]
    return seen, [f'exit status {status}'] if status else []


def _play_entry(
    dep: deployment.Deployment,
    maker: _Maker,
    vm: str,
    probes: list[stopprobes.Probe],
) -> tuple[list[stopprobes.Seen], list[str]]:
    """Stops and starts an entry; returns its requests and what was wrong."""
    entry = dep.entries[vm]
    seen, faults = _stop(entry, dep.caller(vm), probes, maker.make)
    dep.start_entry(vm)
    dep.until(
        lambda: dep.state(dep.entries[vm]).get('preset') == _PRESET.name,
        f'{vm} works by the preset',
    )
    return seen, faults


def test_the_stop_of_an_entry_cuts_no_request_at_any_time(
    dep: deployment.Deployment,
) -> None:
    """Guards against requests cut, or run in vain, as an entry stops."""
    maker = _Maker(dep)
    probes = [
        stopprobes.Probe(way, _KINDS[number % 4], at, lasts_s=0.6)
        for number, (at, way) in enumerate(
            itertools.product(_TIMES, stopprobes.WAYS)
        )
    ]
    free: queue.SimpleQueue[str] = queue.SimpleQueue()
    for vm in _VMS:
        free.put(vm.name)

    def play(
        number: int,
    ) -> tuple[list[stopprobes.Seen], list[str]]:
        vm = free.get()
        try:
            return _play_entry(dep, maker, vm, probes[number::_STOPS])
        finally:
            free.put(vm)

    with futures.ThreadPoolExecutor(_LANES) as pool:
        played = list(pool.map(play, range(_STOPS)))
    seen = [item for found, _ in played for item in found]
    faults = [fault for _, found in played for fault in found]
    for item in seen:
        outcome = item.outcome()
        if outcome not in ('whole', 'refused', 'closed'):
            faults.append(f'{outcome}: {item.name()}')
        elif item.request.kind in _CALLS:
            runs = maker.runs(item.request.id)
            if runs != (outcome == 'whole'):
                faults.append(f'{outcome}, ran {runs} times: {item.name()}')
    whole = sum(
        item.outcome() == 'whole' and item.request.kind not in _CALLS
        for item in seen
    )
    if (decodes := maker.decodes()) != whole:
        faults.append(f'{decodes} completions began, {whole} came whole')
    assert not faults, '\n'.join([str(len(faults)), *faults[:40]])


def _make_page(path: str, kind: str, lasts_s: float) -> stopprobes.Request:
    del lasts_s
    return stopprobes.Request(
        id=path,
        kind=kind,
        data=f'GET {path} HTTP/1.1\r\nHost: admin\r\n\r\n'.encode(),
        expected=bool,
    )


@pytest.mark.parametrize('role', ['entry', 'keeper'])
def test_the_pages_of_operators_are_whole_while_a_process_stops(
    dep: deployment.Deployment, role: str
) -> None:
    """Guards against pages that are cut, or hang, as a process stops."""
    vm = _VMS[0].name
    procs = dep.entries if role == 'entry' else dep.keepers
    if role == 'keeper':
        # A keeper stops after the entries of its VM.
        assert dep.entries[vm].stop() == 0
    probes = [
        stopprobes.Probe(way, 'page', at)
        for at in _TIMES
        for way in ('kept', 'new', 'late half')
    ]
    made = itertools.cycle(_PAGES)
    seen, faults = _stop(
        procs[vm],
        procs[vm].addresses['admin'],
        probes,
        lambda kind, lasts_s: _make_page(next(made), kind, lasts_s),
    )
    if role == 'keeper':
        dep.start_keeper(vm)
    dep.start_entry(vm)
    faults += [
        f'{item.outcome()}: {item.name()}'
        for item in seen
        if item.outcome() not in ('whole', 'refused', 'closed')
    ]
    assert not faults, '\n'.join(faults)
