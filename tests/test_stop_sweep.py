"""Requests on open connections over the whole stop of real processes."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from concurrent import futures
import dataclasses
import functools
import itertools
import math
import pathlib
import queue
import signal
import subprocess
import threading
import time
from typing import Any
from typing import Final

import pytest

from foxtaildaled import router_daemon
from tests import site as sites
from tests import soakrouter
from tests import stopprobes
from tests.standins import keyedstore
from tests.standins import serving
from tests.standins import wireworker

# Processes that are stopped at the same time, and those that share a store and
# backend servers.
_LANES: Final = 8
_SHARED: Final = 4
# Time from the signal to SIGKILL, seconds.
_GRACE_S: Final = 8.0
_DEADLINE_S: Final = 14.0
# Time from the start of the probes to the signal, seconds.
_LEAD_S: Final = 0.8
_START_S: Final = 30.0
# Time between two signals that are sent until the process has ended, seconds.
_REPEAT_S: Final = 0.002
# Until this time after the signal a stopping router serves as before, seconds.
_SERVES_S: Final = 2.5
_DUCK_S: Final = router_daemon.LAME_DUCK_S
_KINDS: Final = ('safe', 'once', 'chat', 'single')
_PLAIN: Final = ('safe', 'once')
_STOPS: Final = (signal.SIGTERM, signal.SIGINT)


class _Worker(wireworker.WireWorker):
    """A backend server whose requests name the length of their responses."""

    def _stream(
        self, req: serving.Request, attempt: str, start: int
    ) -> Iterator[bytes]:
        for number in range(start + 1, int(req.query['events']) + 1):
            time.sleep(stopprobes.PACE_S)
            yield b'id: %d\ndata: %s-%d\n\n' % (
                number,
                attempt.encode(),
                number,
            )


class _Servers:
    """A store and backend servers."""

    def __init__(self) -> None:
        self.store = keyedstore.KeyedStore()
        self.config: dict[str, Any] = sites.config(1)
        for route in self.config['routes']:
            route['timeout_ms'] = int(_DEADLINE_S * 1000)
        self.store.put('keyed.op', 'config', self.config)
        self.workers = [
            _Worker(name, service, stage)
            for name, service, stage in (
                ('s1', 'plain', ''),
                ('p1', 'model', 'prefill'),
                ('d1', 'model', 'decode'),
                ('d2', 'model', 'decode'),
            )
        ]
        for worker in self.workers:
            worker.on_run = lambda req: time.sleep(float(req.query['work_s']))
            self.store.put('keyed.servers', worker.name, worker.entry())

    def runs(self, request: str) -> int:
        """Returns how often a request ran, prefills not counted."""
        return sum(
            worker.ids().count(request)
            for worker in self.workers
            if worker.stage != 'prefill'
        )

    def publish(self, version: int, **limits: float) -> None:
        """Puts a new configuration in the store."""
        config = self.config | {'version': version}
        config['limits'] = config['limits'] | limits
        self.store.put('keyed.op', 'config', config)

    def close(self) -> None:
        """Ends all."""
        ends = [self.store.close, *(worker.close for worker in self.workers)]
        with futures.ThreadPoolExecutor(len(ends)) as pool:
            for done in [pool.submit(end) for end in ends]:
                done.result()


@dataclasses.dataclass(frozen=True)
class Stop:
    """One stop of one router, and the requests around it."""

    probes: tuple[stopprobes.Probe, ...]
    name: str = ''
    # Signals and their times, seconds after the first SIGTERM.
    signals: tuple[tuple[float, signal.Signals], ...] = ((0.0, signal.SIGTERM),)
    # Actions at times after the first SIGTERM, seconds.
    actions: tuple[tuple[float, Callable[['Lane'], None]], ...] = ()
    # Whether a router is started again at the same addresses at once.
    restarts: bool = False
    # Until this time after the signal what is sent must be served, seconds.
    serves_s: float = _SERVES_S


class Lane:
    """Stops one router after the other at the same addresses."""

    def __init__(
        self, number: int, servers: _Servers, folder: pathlib.Path
    ) -> None:
        self.servers = servers
        self._ids = itertools.count()
        self._number = number
        self._ports = soakrouter.Ports(4)
        self.router = soakrouter.Router(
            number, folder, servers.store.address, self._ports.numbers
        )
        self.router.write([])
        text = self.router.file.read_text()
        assert 'grace_s = 5' in text
        self.router.file.write_text(
            text.replace('grace_s = 5', f'grace_s = {_GRACE_S}')
        )
        self.address = f'127.0.0.1:{self.router.front}'
        # When the first signal to stop was sent, seconds; the test itself may
        # be later than planned.
        self._stopped_at = 0.0
        self._is_stopped = threading.Event()

    def make(
        self, kind: str, lasts_s: float, *, work_s: float = 0.0
    ) -> stopprobes.Request:
        """Makes a request."""
        request = f'{self._number}-{next(self._ids)}-{time.monotonic_ns()}'
        count = max(1, round(lasts_s / stopprobes.PACE_S))
        target = f'/{kind}/x?events={count}&work_s={work_s}'
        body = 'data' if kind == 'once' else ''
        head = (
            f'POST {target} HTTP/1.1\r\n'
            'Host: h.example\r\n'
            f'Foxtaildale-Attempt-Id: {request}\r\n'
            f'Foxtaildale-Deadline-Ms: {int(_DEADLINE_S * 1000)}\r\n'
            'Foxtaildale-Token-Count: 500,640\r\n'
            f'Content-Length: {len(body)}\r\n'
            '\r\n'
        )
        expected = f'{request}:{target}'.encode()
        if kind not in _PLAIN:
            expected = sites.events(request, count)
        return stopprobes.Request(
            id=request,
            kind=kind,
            data=(head + body).encode(),
            expected=expected.__eq__,
        )

    def start(self) -> None:
        """Starts a router and waits until it serves."""
        self._launch()
        sites.until(self._serves, _START_S)

    def play(self, stop: Stop) -> list[str]:
        """Plays one stop; returns what was wrong."""
        self.start()
        signal_at = time.monotonic() + _LEAD_S
        steps: list[tuple[float, Callable[[], None]]] = [
            (at, functools.partial(self.send_signal, number))
            for at, number in stop.signals
        ]
        steps += [
            (at, functools.partial(action, self)) for at, action in stop.actions
        ]
        with futures.ThreadPoolExecutor(len(stop.probes) + len(steps)) as pool:
            probes = [
                pool.submit(probe.run, self.address, self.make, signal_at)
                for probe in stop.probes
            ]
            done = [
                pool.submit(_at, signal_at + at, step) for at, step in steps
            ]
            faults = self.await_end()
            stopped_at = self._stopped_at
            if stop.restarts:
                self.start()
            seen = [
                _since(item, signal_at, stopped_at)
                for probe in probes
                for item in probe.result()
            ]
            for step in done:
                step.result()
        if stop.restarts:
            self.send_signal(signal.SIGTERM)
            faults += self.await_end()
        return [f'{fault}: {stop.name}' for fault in faults] + [
            f'{fault}: {stop.name} {item.name()}'
            for item in seen
            if (fault := self.judge(item, stop.serves_s))
        ]

    def play_start(self, delay_s: float) -> list[str]:
        """Stops a router that has just begun to accept connections."""
        self._launch()
        conns: list[stopprobes.Connection] = []
        sites.until(lambda: self._connect(conns), _START_S)
        signal_at = time.monotonic() + delay_s
        probes = [
            stopprobes.Probe('new', kind, at, lasts_s=0.2)
            for at in (-delay_s, 0.0, 0.02, 0.3, 2.0, _DUCK_S, 2.9)
            for kind in _KINDS
        ]
        first = self.make('once', 0.0)
        conns[0].send(first.data)
        with futures.ThreadPoolExecutor(len(probes)) as pool:
            done = [
                pool.submit(probe.run, self.address, self.make, signal_at)
                for probe in probes
            ]
            _at(signal_at, lambda: self.send_signal(signal.SIGTERM))
            faults = self.await_end()
            seen = [item for probe in done for item in probe.result()]
        answer = conns[0].read()
        seen.append(stopprobes.Seen(first, 'first', -delay_s, answer))
        conns[0].close()
        return faults + [
            f'{fault}: after {delay_s} s {item.name()}'
            for item in seen
            if (fault := self.judge(item, serves_s=-math.inf))
        ]

    def play_long(self, *, is_half: bool) -> tuple[int, list[str]]:
        """Stops a router as a connection is in use for longer than its grace.

        Args:
            is_half: Whether half of a head is sent, and not a long request.

        Returns:
            The status of the response, and what was wrong with the stop.
        """
        self.start()
        conn = stopprobes.Connection(self.address)
        data = self.make('once', 0.0, work_s=2 * _GRACE_S).data
        conn.send(data[: len(data) // 2] if is_half else data)
        time.sleep(_LEAD_S)
        self.send_signal(signal.SIGTERM)
        with futures.ThreadPoolExecutor(1) as pool:
            answer = pool.submit(conn.read)
            faults = self.await_end()
        conn.close()
        return answer.result().status, faults

    def play_pages(
        self, probes: Sequence[tuple[tuple[str, bool], stopprobes.Probe]]
    ) -> list[str]:
        """Stops a router under requests for its pages."""
        self.start()
        signal_at = time.monotonic() + _LEAD_S
        with futures.ThreadPoolExecutor(len(probes)) as pool:
            done = [
                pool.submit(
                    probe.run,
                    f'127.0.0.1:{self._ports.numbers[1 if is_check else 3]}',
                    functools.partial(_make_page, path),
                    signal_at,
                )
                for (path, is_check), probe in probes
            ]
            _at(signal_at, lambda: self.send_signal(signal.SIGTERM))
            faults = self.await_end()
            seen = [item for probe in done for item in probe.result()]
        return faults + [
            f'{item.outcome()}: {item.name()}'
            for item in seen
            if item.outcome() not in ('whole', 'refused', 'closed')
        ]

    def judge(self, seen: stopprobes.Seen, serves_s: float = _SERVES_S) -> str:
        """Returns what was wrong with a request; empty if nothing was.

        Args:
            seen: The request.
            serves_s: Time after the signal until which it must be served.
        """
        outcome = seen.outcome()
        runs = self.servers.runs(seen.request.id)
        if outcome not in ('whole', 'refused', 'closed'):
            return f'{outcome}, ran {runs} times'
        if outcome != 'whole' and runs:
            return f'{outcome} and ran'
        if outcome == 'whole' and runs != 1:
            return f'ran {runs} times'
        if (
            outcome != 'whole'
            and seen.sent_s < serves_s
            and not seen.is_on_closing
        ):
            return f'{outcome} as the router still has to serve'
        return ''

    def close(self) -> None:
        """Ends what still runs."""
        self.router.end(signal.SIGKILL)
        self.router.relay.close()
        self.router.control_relay.close()
        self.router.out.close()
        self._ports.close()

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal, and notes when the first one to stop was sent."""
        if number in _STOPS and not self._is_stopped.is_set():
            self._stopped_at = time.monotonic()
            self._is_stopped.set()
        self.router.send_signal(number)

    def await_end(self) -> list[str]:
        """Waits for the end of the process; returns what was wrong."""
        process = self.router.process
        assert process is not None
        assert self._is_stopped.wait(_START_S)
        left_s = self._stopped_at + _GRACE_S - time.monotonic()
        try:
            status = process.wait(left_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            return [f'still up {_GRACE_S} s after the signal']
        if status:
            return [f'exit status {status}']
        return []

    def _launch(self) -> None:
        self._is_stopped.clear()
        self.router.start()

    def _connect(self, conns: list[stopprobes.Connection]) -> bool:
        try:
            conns.append(stopprobes.Connection(self.address))
        except OSError:
            return False
        return True

    def _serves(self) -> bool:
        if not self.router.is_ready():
            return False
        try:
            conn = stopprobes.Connection(self.address)
        except OSError:
            return False
        request = self.make('chat', 0.0)
        conn.send(request.data)
        answer = conn.read()
        conn.close()
        return answer.status == 200


def _since(
    seen: stopprobes.Seen, planned_at: float, stopped_at: float
) -> stopprobes.Seen:
    """Returns a request with its time counted from the actual signal."""
    sent_s = seen.sent_s + planned_at - stopped_at
    return dataclasses.replace(seen, sent_s=sent_s)


def _at(at: float, step: Callable[[], None]) -> None:
    time.sleep(max(0.0, at - time.monotonic()))
    step()


@pytest.fixture(name='lanes', scope='module')
def _lanes(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator['queue.SimpleQueue[Lane]']:
    folder = tmp_path_factory.mktemp('routers')
    with futures.ThreadPoolExecutor(_LANES) as pool:
        servers = list(pool.map(lambda _: _Servers(), range(_LANES // _SHARED)))
    lanes = [
        Lane(number, servers[number // _SHARED], folder)
        for number in range(_LANES)
    ]
    free: queue.SimpleQueue[Lane] = queue.SimpleQueue()
    for lane in lanes:
        free.put(lane)
    yield free
    with futures.ThreadPoolExecutor(_LANES) as pool:
        list(pool.map(lambda item: item.close(), [*lanes, *servers]))


def _play(lanes: 'queue.SimpleQueue[Lane]', stops: Sequence[Stop]) -> list[str]:
    """Plays stops, some at the same time; returns what was wrong."""

    def play(stop: Stop) -> list[str]:
        lane = lanes.get()
        try:
            return lane.play(stop)
        finally:
            lanes.put(lane)

    with futures.ThreadPoolExecutor(_LANES) as pool:
        return [fault for faults in pool.map(play, stops) for fault in faults]


def _summary(faults: Sequence[str]) -> str:
    """Returns how often each kind of fault was found, and some of each."""
    kinds: dict[str, list[str]] = collections.defaultdict(list)
    for fault in faults:
        kinds[fault.partition(':')[0]].append(fault)
    return '\n'.join(
        line
        for kind, found in kinds.items()
        for line in (f'{len(found)} times {kind}', *found[:10])
    )


# Seconds after the signal, dense around what a stop does at these times.
_EARLY: Final = (
    *(step * 0.004 for step in range(-5, 6)),
    *(step * 0.1 for step in range(1, 11)),
)
_LATE: Final = (
    *(1.6, 2.0, 2.3, 2.6),
    *(_DUCK_S - 0.08 + step * 0.02 for step in range(4)),
    *(_DUCK_S + step * 0.006 for step in range(14)),
    *(_DUCK_S + 0.1 + step * 0.03 for step in range(4)),
    *(_DUCK_S + 0.25 + step * 0.15 for step in range(6)),
    *(4.2, 5.2),
)


def _sweep() -> list[Stop]:
    """Returns stops with one late request each, so that none covers another.

    The early ones end well before the router closes its port.
    """
    late = [
        stopprobes.Probe(way, _KINDS[number % 4], at)
        for number, (at, way) in enumerate(
            itertools.product(_LATE, stopprobes.WAYS)
        )
    ]
    early = itertools.cycle(
        stopprobes.Probe(way, _KINDS[number % 4], at, lasts_s=0.3)
        for number, (at, way) in enumerate(
            itertools.product(_EARLY, stopprobes.WAYS)
        )
    )
    return [Stop((probe, next(early), next(early))) for probe in late]


def test_a_stop_cuts_no_request_at_any_time(
    lanes: 'queue.SimpleQueue[Lane]',
) -> None:
    """Guards against requests cut, or run in vain, as a router stops."""
    faults = _play(lanes, _sweep())
    assert not faults, _summary(faults)


# Pages, with whether they are on the port for readiness checks.
_PAGES: Final = (
    ('/api/ready', True),
    ('/metrics', False),
    ('/state', False),
    ('/readyz', False),
)
_PAGE_TIMES: Final = (0.0, 1.0, *(2.7 + step * 0.02 for step in range(90)))
_PAGE_STOPS: Final = 16
# Routers for each signal that repeats.
_REPEATED: Final = 4
# Time from the first accepted connection to SIGTERM, seconds.
_START_DELAYS_S: Final = (
    0.0,
    0.0,
    *(step * 0.002 for step in range(12)),
    *(0.03, 0.05, 0.08, 0.12, 0.2, 0.3),
)
# One request of each way to use a connection, at times over the whole stop.
_TIMES: Final = (-0.1, 0.0, 0.3, 1.0, 1.7, 2.3, 2.79, 2.81, 2.83, 2.9, 3.1, 3.4)


def _probes(number: int, lasts_s: float = 0.2) -> tuple[stopprobes.Probe, ...]:
    ways = len(stopprobes.WAYS)
    return tuple(
        stopprobes.Probe(
            stopprobes.WAYS[(number + step) % ways],
            _KINDS[(number + step // 2) % 4],
            at,
            lasts_s,
        )
        for step, at in enumerate(_TIMES)
    )


def _signals(*signals: tuple[float, signal.Signals]) -> Stop:
    return Stop((), signals=signals)


def _repeat(number: signal.Signals, lane: Lane) -> None:
    """Sends a signal again and again until the process has ended."""
    process = lane.router.process
    while process is not None and process.poll() is None:
        lane.send_signal(number)
        time.sleep(_REPEAT_S)


def _configured(at: float) -> Stop:
    """Publishes a configuration with another idle timeout, twice."""

    def publish(version: int, lane: Lane) -> None:
        lane.servers.publish(version, idle_timeout_ms=1000.0 * version)

    return Stop(
        (),
        actions=(
            (at, functools.partial(publish, 2)),
            (at + 0.05, functools.partial(publish, 3)),
        ),
    )


_TERM: Final = signal.SIGTERM
_SERIES: Final = {
    'term twice': _signals((0.0, _TERM), (0.0, _TERM), (1.0, _TERM)),
    'term as the port closes': _signals((0.0, _TERM), (_DUCK_S, _TERM)),
    'term, int': _signals((0.0, _TERM), (0.01, signal.SIGINT)),
    'int, term': _signals((0.0, signal.SIGINT), (2.81, _TERM)),
    'hup, term': _signals((-0.005, signal.SIGHUP), (0.0, _TERM)),
    'hup and term': _signals((0.0, signal.SIGHUP), (0.0, _TERM)),
    'term, hup': _signals(
        (0.0, _TERM), *((at, signal.SIGHUP) for at in (0.005, 1.0, 2.8, 2.9))
    ),
    'configuration': _configured(0.5),
    'configuration as the port closes': _configured(_DUCK_S - 0.03),
    'restart': Stop((), restarts=True),
    # It resumes with little time left, and refuses what came meanwhile.
    'frozen from 2.0 to 6.0': Stop(
        (),
        signals=(
            (0.0, _TERM),
            (2.0, signal.SIGSTOP),
            (6.0, signal.SIGCONT),
        ),
        serves_s=2.0,
    ),
} | {
    f'frozen from {begin} to {end}': _signals(
        (0.0, _TERM), (begin, signal.SIGSTOP), (end, signal.SIGCONT)
    )
    for begin, end in (
        (-0.01, 0.5),
        (0.01, 1.0),
        (1.0, 3.2),
        (2.7, 2.9),
        (2.79, 3.3),
        (2.81, 3.3),
        (2.85, 3.3),
    )
}


def test_signals_in_series_cut_no_request(
    lanes: 'queue.SimpleQueue[Lane]',
) -> None:
    """Guards against requests cut as signals and changes meet a stop."""
    stops = [
        dataclasses.replace(stop, name=name, probes=_probes(number))
        for number, (name, stop) in enumerate(_SERIES.items())
    ]
    faults = _play(lanes, stops)
    assert not faults, _summary(faults)


def test_signals_that_repeat_until_the_end_change_no_exit_status(
    lanes: 'queue.SimpleQueue[Lane]',
) -> None:
    """Guards against a signal that kills an interpreter that is ending."""
    stops = [
        Stop(
            _probes(step),
            name=number.name,
            actions=((0.0, functools.partial(_repeat, number)),),
        )
        for number in (_TERM, signal.SIGINT, signal.SIGHUP)
        for step in range(_REPEATED)
    ]
    faults = _play(lanes, stops)
    assert not faults, _summary(faults)


def test_a_stop_as_the_process_starts_cuts_no_request(
    lanes: 'queue.SimpleQueue[Lane]',
) -> None:
    """Guards against requests cut as a router stops that has just started."""

    def play(delay_s: float) -> list[str]:
        lane = lanes.get()
        try:
            return lane.play_start(delay_s)
        finally:
            lanes.put(lane)

    with futures.ThreadPoolExecutor(_LANES) as pool:
        found = list(pool.map(play, _START_DELAYS_S))
    faults = [fault for faults in found for fault in faults]
    assert not faults, _summary(faults)


def test_a_stop_ends_within_its_grace_time(
    lanes: 'queue.SimpleQueue[Lane]',
) -> None:
    """Guards against SIGKILL while a connection is open for long."""

    def play(is_half: bool) -> tuple[int, list[str]]:
        lane = lanes.get()
        try:
            return lane.play_long(is_half=is_half)
        finally:
            lanes.put(lane)

    with futures.ThreadPoolExecutor(2) as pool:
        (half, half_faults), (long, long_faults) = pool.map(play, (True, False))
    assert half in (0, 408)
    assert long == 504
    assert (half_faults, long_faults) == ([], [])


def _make_page(path: str, kind: str, lasts_s: float) -> stopprobes.Request:
    del kind, lasts_s
    return stopprobes.Request(
        id=path,
        kind='page',
        data=f'GET {path} HTTP/1.1\r\nHost: ready\r\n\r\n'.encode(),
        expected=bool,
    )


def test_the_pages_of_a_router_are_whole_while_it_stops(
    lanes: 'queue.SimpleQueue[Lane]',
) -> None:
    """Guards against checks and pages that are cut, or hang, in a stop."""
    probes = [
        (page, stopprobes.Probe(way, 'page', at))
        for number, at in enumerate(_PAGE_TIMES)
        for page in _PAGES[number % 2 :: 2]
        for way in ('kept', 'new', 'late half')
    ]

    def play(number: int) -> list[str]:
        lane = lanes.get()
        try:
            return lane.play_pages(probes[number::_PAGE_STOPS])
        finally:
            lanes.put(lane)

    with futures.ThreadPoolExecutor(_PAGE_STOPS) as pool:
        found = list(pool.map(play, range(_PAGE_STOPS)))
    faults = [fault for faults in found for fault in faults]
    assert not faults, _summary(faults)
