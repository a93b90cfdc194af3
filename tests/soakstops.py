"""Stops of the soak's routers, under callers that use open connections.

All routers get signals in series, at times that overlap. Probes send requests on
connections of every kind over the whole stop of each.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from concurrent import futures
import dataclasses
import itertools
import random
import signal
import subprocess
import threading
import time
from typing import Final

from foxtaildaled import router_daemon
from tests import site
from tests import soakrouter
from tests import stopprobes
from tests.standins import serving
from tests.standins import wireworker

# Time from the signal to SIGKILL, seconds.
GRACE_S: Final = 8.0
# Deadline of the requests: none ends before the stop does.
DEADLINE_MS: Final = 14_000
# Time from the start of the probes to the first signals, and the time in which
# the stops begin, seconds.
_LEAD_S: Final = 0.8
_BEGIN_S: Final = 2.5
# Until this time after the signal a stopping router serves on any connection,
# seconds.
_SERVES_S: Final = 2.5
# Times of requests after the signal, seconds: over the whole stop, such that they
# end before the router closes its port, and as it does so.
_WHOLE_STOP_S: Final = (-0.2, 4.2)
_EARLY_S: Final = (-0.2, 1.6)
_DUCK_S: Final = (
    router_daemon.LAME_DUCK_S - 0.1,
    router_daemon.LAME_DUCK_S + 0.6,
)
_DUCK_RATIO: Final = 0.4
# Part of the stops with a single late request.
_ALONE_RATIO: Final = 0.5
_PROBES: Final = 14
# How long streams last, and the one of a single late request, seconds.
_STREAM_S: Final = (0.1, 0.6)
_LONG_S: Final = (1.1, 1.6)
# Times of further signals after the first, and of freezes, seconds.
_MORE_S: Final = (-0.05, 3.6)
_MORE: Final = 5
_FREEZE_RATIO: Final = 0.5
_FREEZE_S: Final = (0.1, 1.5)
_KINDS: Final = ('safe', 'once', 'chat', 'single')
_PLAIN: Final = ('safe', 'once')
# Kinds of which a request may run only once.
_ONCE: Final = ('once', 'single')
_STOPS: Final = (signal.SIGTERM, signal.SIGINT)


class Worker(wireworker.WireWorker):
    """A backend server whose requests may name the length of their streams."""

    def _stream(
        self, req: serving.Request, attempt: str, start: int
    ) -> Iterator[bytes]:
        if 'events' not in req.query:
            yield from super()._stream(req, attempt, start)
            return
        self.on_run(req)
        for number in range(start + 1, int(req.query['events']) + 1):
            time.sleep(stopprobes.PACE_S)
            yield site.events(attempt, number, number)
        self.ended.append(attempt)


@dataclasses.dataclass(frozen=True)
class Stop:
    """One stop of one router."""

    # When it begins, seconds after the earliest.
    at: float
    # Signals and their times after that, seconds, in order.
    signals: tuple[tuple[float, signal.Signals], ...]
    probes: tuple[stopprobes.Probe, ...]

    def name(self) -> str:
        """Describes it."""
        sent = ', '.join(
            f'{at:.3f} {number.name}' for at, number in self.signals
        )
        return f'stop at {self.at:.3f}: {sent}'


def draw(seed: int, count: int) -> list[Stop]:
    """Returns stops of so many routers, fixed by a seed."""
    rng = random.Random(f'{seed}/stops')
    begins = [0.0, *(rng.uniform(0.0, _BEGIN_S) for _ in range(count - 1))]
    rng.shuffle(begins)
    return [Stop(at, _signals(rng), _probes(rng)) for at in begins]


def _signals(
    rng: random.Random,
) -> tuple[tuple[float, signal.Signals], ...]:
    found = [(0.0, rng.choice(_STOPS))]
    found += [
        (rng.uniform(*_MORE_S), rng.choice((*_STOPS, signal.SIGHUP)))
        for _ in range(rng.randint(0, _MORE))
    ]
    if rng.random() < _FREEZE_RATIO:
        at = rng.uniform(*_MORE_S)
        found.append((at, signal.SIGSTOP))
        found.append((at + rng.uniform(*_FREEZE_S), signal.SIGCONT))
    return tuple(sorted(found))


def _probes(rng: random.Random) -> tuple[stopprobes.Probe, ...]:
    ways = [*stopprobes.WAYS] * (_PROBES // len(stopprobes.WAYS))
    # Several late requests would cover each other: one in progress keeps the
    # process up for the rest.
    alone = rng.randrange(len(ways)) if rng.random() < _ALONE_RATIO else None
    return tuple(
        stopprobes.Probe(
            way,
            rng.choice(_KINDS),
            rng.uniform(*_span(rng, number, alone)),
            rng.uniform(*(_LONG_S if number == alone else _STREAM_S)),
        )
        for number, way in enumerate(ways)
    )


def _span(
    rng: random.Random, number: int, alone: int | None
) -> tuple[float, float]:
    """Returns the time in which a request is sent; `alone` is the only late one."""
    if alone is not None:
        return _DUCK_S if number == alone else _EARLY_S
    return _DUCK_S if rng.random() < _DUCK_RATIO else _WHOLE_STOP_S


class Stops:
    """Plays the stops of a seed."""

    def __init__(
        self,
        routers: Sequence[soakrouter.Router],
        runs: Callable[[str], int],
    ) -> None:
        """Takes what is stopped.

        Args:
            routers: The routers.
            runs: Returns how often a request ran, prefills not counted.
        """
        self._routers = routers
        self._runs = runs
        self._ids = itertools.count()
        self._lock = threading.Lock()
        # Requests that were sent, by outcome.
        self.outcomes: collections.Counter[str] = collections.Counter()

    def play(self, stops: Sequence[Stop]) -> list[str]:
        """Stops all routers, one stop for each; returns what was wrong."""
        begin = time.monotonic() + _LEAD_S
        with futures.ThreadPoolExecutor(len(stops)) as pool:
            played = [
                pool.submit(self._play, router, stop, begin + stop.at)
                for router, stop in zip(self._routers, stops, strict=True)
            ]
            return [fault for done in played for fault in done.result()]

    def _play(
        self, router: soakrouter.Router, stop: Stop, planned_at: float
    ) -> list[str]:
        def make(kind: str, lasts_s: float) -> stopprobes.Request:
            return self._make(router, kind, lasts_s)

        address = f'127.0.0.1:{router.front}'
        with futures.ThreadPoolExecutor(len(stop.probes)) as pool:
            probes = [
                pool.submit(probe.run, address, make, planned_at)
                for probe in stop.probes
            ]
            signal_at = _send_signals(router, stop, planned_at)
            faults = _await_end(router, signal_at)
            seen = [item for probe in probes for item in probe.result()]
        with self._lock:
            self.outcomes.update(item.outcome() for item in seen)
        late_s = signal_at - planned_at
        for item in seen:
            item.sent_s -= late_s
            if fault := judge(item, self._runs(item.request.id)):
                faults.append(f'{fault}: {item.name()}')
        return [
            f'router {router.number}, {stop.name()}: {fault}'
            for fault in faults
        ]

    def _make(
        self, router: soakrouter.Router, kind: str, lasts_s: float
    ) -> stopprobes.Request:
        request = f'stop-{next(self._ids)}-r{router.number}'
        count = max(1, round(lasts_s / stopprobes.PACE_S))
        target = f'/{kind}/x?events={count}'
        head = (
            f'POST {target} HTTP/1.1\r\n'
            'Host: h.example\r\n'
            f'Foxtaildale-Attempt-Id: {request}\r\n'
            f'Foxtaildale-Deadline-Ms: {DEADLINE_MS}\r\n'
            'Foxtaildale-Token-Count: 500,640\r\n'
            'Content-Length: 0\r\n'
            '\r\n'
        )
        expected = f'{request}:{target}'.encode()
        if kind not in _PLAIN:
            expected = site.events(request, count)
        return stopprobes.Request(
            id=request,
            kind=kind,
            data=head.encode(),
            expected=expected.__eq__,
        )


def judge(seen: stopprobes.Seen, runs: int) -> str:
    """Returns what was wrong with a request; empty if nothing was.

    Args:
        seen: The request.
        runs: How often it ran.
    """
    outcome = seen.outcome()
    if outcome not in ('whole', 'refused', 'closed'):
        return f'{outcome}, ran {runs} times'
    if outcome != 'whole' and runs:
        return f'{outcome} and ran'
    if outcome == 'whole' and not runs:
        return 'whole and did not run'
    if runs > 1 and seen.request.kind in _ONCE:
        return f'ran {runs} times'
    # Another router that stops may have to refuse what this one asks it for.
    if (
        outcome == 'closed'
        and seen.sent_s < _SERVES_S
        and not seen.is_on_closing
    ):
        return 'closed as the router still has to serve'
    return ''


def set_grace(router: soakrouter.Router) -> None:
    """Gives a router the grace time of the stops from its next start on."""
    text = router.file.read_text()
    assert 'grace_s = 5\n' in text
    router.file.write_text(
        text.replace('grace_s = 5\n', f'grace_s = {GRACE_S}\n')
    )


def _send_signals(
    router: soakrouter.Router, stop: Stop, planned_at: float
) -> float:
    """Sends them in order; returns when the first that stops was sent."""
    signal_at: float | None = None
    for at, number in stop.signals:
        time.sleep(max(0.0, planned_at + at - time.monotonic()))
        if signal_at is None and number in _STOPS:
            signal_at = time.monotonic()
        router.send_signal(number)
    assert signal_at is not None
    return signal_at


def _await_end(router: soakrouter.Router, signal_at: float) -> list[str]:
    """Waits for the end of a process; returns what was wrong."""
    process = router.process
    assert process is not None
    left_s = signal_at + GRACE_S - time.monotonic()
    try:
        status = process.wait(max(0.0, left_s))
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
        return [f'still up {GRACE_S} s after the signal']
    return [f'exit status {status}'] if status else []
