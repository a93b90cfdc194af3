"""A randomized soak: real routers as processes, faults from outside them.

    make soak                       fifty fresh seeds
    make soak SEEDS="7 8"           these

Three routers run as processes of their own. Relays stand between them, the
store and the workers; they delay, reset, cut and silence connections. Routers
are killed, paused, stopped by plan and started again by signals; workers fail
in their own ways; the store forgets, answers 503, breaks off, or comes back from
a copy; configurations and lists change. Workers end, and are back under new ids,
by themselves or by a bad request that ends each worker that begins to run it, and
name limits, leave or ask for rest in their answers; some respond twice, the second
time late, or without a length, and connections are reset meanwhile. Faults come in series and
overlap, by a schedule that the seed fixes; what the machine's timing adds is not
fixed.

Callers see and check, while it goes on: whole answers that are their own, in
order; "not run" that is true; nothing run twice that must not be; no refusal of a
healthy request for a bad one. When all faults have ended every router must serve
again, and the bad request must reach no worker any more. At the end all routers are
stopped at times that overlap, under callers on open connections. Only processes that
the soak started are ended, by their ids.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import math
import pathlib
import random
import signal
import sys
import tempfile
import threading
import time
from typing import Final

from tests import soakreports
from tests import soakrouter
from tests import soakschedule
from tests import soakstops
from tests.standins import crasher
from tests.standins import keyedstore
from tests.standins import relay

ROUTERS: Final = 3
CALLERS: Final = 6
# Time after the last fault in which everything must work again, seconds: a
# silent connection to the store is noticed after 2.4 s, a home that was passed
# over is asked again after 2 s.
RECOVER_S: Final = 12.0
_EVENTS: Final = 12
# Longest time until a second response, and interval of resets, seconds.
_SECOND_S: Final = 3.0
_RESET_INTERVAL_S: Final = 0.15
# Interval of restarts of a worker that is back at once, seconds.
_RETURN_INTERVAL_S: Final = 0.25
# Time between the events of its streams, seconds.
_RETURN_PACE_S: Final = 0.02
# Time until a worker that ended is back, seconds.
_BACK_S: Final = 0.5
# Ends after which the bad request must be known, the time until all routers in
# touch know it, seconds, and the sends that may be on their way.
_BAD_ENDS: Final = 3
_KNOWN_S: Final = 3.0
_BAD_LATE: Final = 3
_BAD: Final = 'bad'
# Id of the part that bad requests share if no two of them are alike, and the ends
# after which it must be known.
_BAD_PART: Final = 'bad0'
_PART_ENDS: Final = 5
# Requests a second that workers name as their limit; the time until it must be kept,
# the span in which they are counted, seconds, and what may come in it beyond.
_LIMIT: Final = 3.0
_KEPT_S: Final = 3.0
_SPAN_S: Final = 4.0
_LIMIT_RATIO: Final = 1.5
_LIMIT_EXTRA: Final = 5.0
# How much longer than other faults a worker says that it leaves; the time between
# entries that a worker writes, and for which one asks, seconds.
_SAYS_TIMES: Final = 4.0
_BEAT_S: Final = 1.2
_REST_S: Final = 2.0
# Time until the operators write again what a copy lacks, and in which a version
# must be in force, seconds.
_WRITTEN_S: Final = 0.3
_CONFIG_S: Final = 2.0
# Ports of a router: for callers, the balancer, other routers and operators.
_PORTS: Final = 4
_START_S: Final = 20.0
_KINDS: Final = ('safe', 'once', 'chat', 'single')
_PROMPT_KINDS: Final = ('chat', 'single')
# Statuses that promise that a request did not run and never will.
_PROMISES: Final = frozenset((408, 421, 429, 503))


@dataclasses.dataclass
class Seen:
    """What one caller saw of one request."""

    request: str
    kind: str
    # 0 where there was no answer.
    status: int
    body: bytes
    # Whether the answer came to its proper end.
    whole: bool


class Soak:
    """One seed."""

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        *,
        ends: bool = False,
        by_part: bool = False,
    ) -> None:
        self.seed = seed
        self.ends = ends
        # The route of the bad request.
        self.bad_kind = random.Random(f'{seed}/bad').choice(
            _PROMPT_KINDS if by_part else _KINDS
        )
        # What ends a worker in the target of a request or its prompt.
        self.by_part = by_part
        self.bad = _BAD_PART if by_part else f'/{_BAD}'
        self.bad_sent = 0
        self.store = keyedstore.KeyedStore()
        self.workers = [
            soakstops.Worker(name, service, stage)
            for name, service, stage in (
                ('s1', 'plain', ''),
                ('s2', 'plain', ''),
                ('s3', 'plain', ''),
                ('p1', 'model', 'prefill'),
                ('p2', 'model', 'prefill'),
                ('d1', 'model', 'decode'),
                ('d2', 'model', 'decode'),
                ('d3', 'model', 'decode'),
            )
        ]
        self.crashers = []
        self.version = 1
        # Of every route.
        self.timeout_ms = 4000
        for worker in self.workers:
            worker.events = _EVENTS
            worker.pace_s = worker.work_s = 0.01
            made = crasher.Crasher(worker, self.store, self.bad, _BACK_S)
            self.crashers.append(made)
        self.relays = [made.relay for made in self.crashers]
        self.ports = soakrouter.Ports(ROUTERS * _PORTS)
        found = self.ports.numbers
        self.routers = [
            soakrouter.Router(
                number,
                folder,
                self.store.address,
                found[number * _PORTS : (number + 1) * _PORTS],
            )
            for number in range(ROUTERS)
        ]
        self.stops = soakstops.Stops(self.routers, self._runs)
        self.seen: list[Seen] = []
        self.faults: list[str] = []
        self.checks = soakreports.Checks()
        # Where the store's topics ended when it was last copied.
        self.copy: dict[str, int] = {}
        self._lock = threading.Lock()
        self._over = threading.Event()
        self._ended = threading.Event()

    def run(self) -> list[str]:
        """Plays the schedule; returns what was wrong."""
        try:
            self._begin()
            with self._calling(0):
                self._play()
            self._recover()
            if self.ends:
                self._recover_from_bad()
                self._check_limits()
                self._check_reports()
                self._check_copies()
                self._check_stops()
                self.faults += self.checks.judge(self.workers)
            return [*self.faults, *self._judge()]
        finally:
            self._end()

    def _begin(self) -> None:
        self._configure()
        self.copy = self.store.mark()
        seeds = [router.control_relay.address for router in self.routers]
        for router in self.routers:
            router.write(seeds)
            router.start()
        self._wait(lambda: all(r.is_ready() for r in self.routers), _START_S)
        if self.ends:
            threading.Thread(target=self._beat).start()

    def _configure(self) -> None:
        route = {
            'host': 'h.example',
            'timeout_ms': self.timeout_ms,
            'target_latency_ms': 300,
            'target_gap_ms': 100,
            'max_attempts': 2,
        }
        kinds = (
            ('safe', 'idempotent', 'plain', False),
            ('once', 'non_idempotent', 'plain', False),
            ('chat', 'streaming', 'model', True),
            ('single', 'streaming', 'model', False),
            # Shows which version is in force.
            (f'v{self.version}', 'idempotent', 'plain', False),
        )
        engine = {
            'slots': 8,
            'stride': 64,
            'kv_capacity_tokens': 50_000,
            'kv_hold_s': 0.5,
            'hold_ms': 2000,
        }
        config = {
            'version': self.version,
            'routes': [
                route
                | {'name': name, 'path_prefix': f'/{name}/', 'kind': kind}
                | {'service': service, 'resumable': resumable}
                | {'sticky_sessions': service == 'model'}
                for name, kind, service, resumable in kinds
            ],
            'services': [
                {'name': 'plain'},
                {'name': 'model', 'engine': engine},
            ],
        }
        self.store.put('keyed.op', 'config', config)

    # Callers.

    def _call(self, number: int) -> None:
        rng = random.Random(f'{self.seed}/{number}')
        conn: http.client.HTTPConnection | None = None
        count = 0
        while not self._over.is_set():
            count += 1
            kind = rng.choice(_KINDS)
            if conn is None or rng.random() < 0.3:
                router = rng.choice(self.routers)
                port = router.front
                conn = http.client.HTTPConnection('127.0.0.1', port, timeout=5)
            request = f'{number}-{count}-r{router.number}'
            seen = self._send(conn, request, kind)
            with self._lock:
                self.seen.append(seen)
            if not seen.whole:
                conn.close()
                conn = None
            time.sleep(rng.uniform(0.0, 0.04))

    def _send(
        self,
        conn: http.client.HTTPConnection,
        request: str,
        kind: str,
        name: str = 'x',
        part: str = '',
    ) -> Seen:
        parts = ['f1', part, f'own-{request}'] if part else ['f1', name]
        headers = {
            'Foxtaildale-Prompt-Prefix': ','.join(f'{one}:9' for one in parts),
            'Host': 'h.example',
            'Foxtaildale-Attempt-Id': request,
            'Foxtaildale-Deadline-Ms': '4000',
            'Foxtaildale-Token-Count': '500,768',
        }
        status, body = 0, b''
        self.checks.sent_at[request] = time.monotonic()
        try:
            conn.request('POST', f'/{kind}/{name}', headers=headers)
            resp = conn.getresponse()
            status = resp.status
            body = resp.read()
        except http.client.IncompleteRead as exc:
            return Seen(request, kind, status, exc.partial, whole=False)
        except (OSError, http.client.HTTPException):
            return Seen(request, kind, status, body, whole=False)
        if status == 200:
            self.checks.served_at[request] = time.monotonic()
        return Seen(request, kind, status, body, whole=True)

    # Faults.

    def _play(self) -> None:
        began = time.monotonic()
        threads = []
        for fault in soakschedule.schedule(self.seed, ends=self.ends):
            time.sleep(max(0.0, began + fault.at - time.monotonic()))
            thread = threading.Thread(target=self._fault, args=(fault,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
        # The same things may have been broken twice; all is mended now.
        for passed in self.relays:
            passed.mend()
        for router in self.routers:
            router.relay.mend()
            router.control_relay.mend()

    def _fault(self, fault: soakschedule.Fault) -> None:
        router = self.routers[fault.pick % ROUTERS]
        index = fault.pick % len(self.workers)
        area, _, what = fault.name.partition('-')
        if area == 'store':
            self._fault_store(router, what, fault.lasts)
        elif area == 'peer':
            _disturb(router.control_relay, what, fault.lasts)
        elif area == 'worker':
            self._fault_worker(index, what, fault.lasts)
        elif area == 'bad':
            self._send_bad(fault)
        elif area == 'config':
            self._publish()
        elif area == 'copy':
            self.store.down = True
            time.sleep(min(fault.lasts, _WRITTEN_S))
            self._restore()
            self.store.down = False
            time.sleep(_WRITTEN_S)
            with self._lock:
                self._configure()
                self.copy = self.store.mark()
        else:
            self._fault_router(router, area, fault.lasts)

    def _publish(self) -> None:
        with self._lock:
            self.version += 1
            self._configure()

    def _restore(self) -> None:
        with self._lock:
            self.store.restore(self.copy)

    def _fault_store(
        self, router: soakrouter.Router, what: str, lasts: float
    ) -> None:
        if what == 'forgets':
            for topic in ('keyed.op', 'keyed.servers'):
                self.store.forget(topic)
        elif what in ('down', 'mute'):
            setattr(self.store, what, True)
            time.sleep(lasts)
            setattr(self.store, what, False)
        else:
            _disturb(router.relay, what, lasts)

    def _fault_worker(self, index: int, what: str, lasts: float) -> None:
        worker = self.workers[index]
        fields = {'refuses': 'refuse', 'errors': 'error', 'loses': 'cut'}
        if what in fields:
            setattr(worker, fields[what], True)
            time.sleep(lasts)
            setattr(worker, fields[what], False)
        elif what == 'breaks':
            worker.break_after = 4
            time.sleep(lasts)
            worker.break_after = None
        elif what == 'ends':
            self.crashers[index].crash()
        elif what == 'limits':
            worker.limit = _LIMIT
            time.sleep(lasts)
            worker.limit = None
        elif what == 'stutters':
            rng = random.Random(lasts)
            worker.second_after_s = lambda: rng.uniform(0.0, _SECOND_S)
            worker.second_status = rng.choice((0, 200, 500))
            worker.stutters = True
            time.sleep(lasts)
            worker.stutters = False
        elif what in ('unframed', 'resets', 'returns'):
            worker.framed = False
            # Streams last long enough to be met by an end.
            worker.pace_s += _RETURN_PACE_S if what == 'returns' else 0.0
            self._fault_ends(index, what, lasts)
            worker.pace_s -= _RETURN_PACE_S if what == 'returns' else 0.0
            worker.framed = True
        elif what == 'says':
            worker.leaving = True
            time.sleep(_SAYS_TIMES * lasts)
            worker.leaving = False
        elif what == 'rests':
            worker.rest_s = _REST_S
            worker.refuse = True
            time.sleep(lasts)
            worker.refuse = False
        elif what == 'leaves':
            entry = worker.entry('draining')
            self.store.put('keyed.servers', worker.name, entry)
            time.sleep(lasts)
            self.store.put('keyed.servers', worker.name, worker.entry())
        else:
            began = time.monotonic()
            _disturb(self.relays[index], what, lasts)
            # What is silent stays so until all is mended.
            end = math.inf if what == 'silent' else time.monotonic()
            span = soakreports.Span(f'link {index}', began, end)
            self.checks.disturbed.append(span)

    def _fault_ends(self, index: int, what: str, lasts: float) -> None:
        """Ends the connections to a worker without framing in some way."""
        link = self.relays[index]
        end = time.monotonic() + lasts
        while time.monotonic() < end:
            if what == 'unframed':
                time.sleep(_RESET_INTERVAL_S)
                continue
            time.sleep(
                _RETURN_INTERVAL_S if what == 'returns' else _RESET_INTERVAL_S
            )
            began = time.monotonic()
            if what == 'returns':
                link.restart()
            else:
                link.reset()
            span = soakreports.Span(
                f'connections {index}', began, time.monotonic()
            )
            self.checks.disturbed.append(span)

    def _fault_router(
        self, router: soakrouter.Router, what: str, lasts: float
    ) -> None:
        began = time.monotonic()
        if what == 'pause':
            router.send_signal(signal.SIGSTOP)
            time.sleep(lasts)
            router.send_signal(signal.SIGCONT)
        elif what == 'hup':
            router.send_signal(signal.SIGHUP)
        elif not router.ended:
            ends = {'kill': signal.SIGKILL, 'term': signal.SIGTERM}
            router.send_signal(signal.SIGCONT)
            router.end(ends[what])
            time.sleep(lasts)
            router.start()
        if what != 'hup':
            span = soakreports.Span(
                f'router {router.number}', began, time.monotonic()
            )
            self.checks.disturbed.append(span)

    # Verdicts.

    def _recover(self) -> None:
        for router in self.routers:
            router.send_signal(signal.SIGCONT)
            router.start_if_unborn()

        def works() -> bool:
            return all(self._serves(router) for router in self.routers)

        if not self._wait(works, RECOVER_S):
            self.faults.append('not every router serves after the faults')
        for router in self.routers:
            if router.process is None or router.process.poll() is not None:
                self.faults.append(f'router {router.number} ended by itself')

    def _serves(self, router: soakrouter.Router) -> bool:
        conn = http.client.HTTPConnection('127.0.0.1', router.front, timeout=5)
        for kind in _KINDS:
            name = f'after-{time.monotonic_ns()}-r{router.number}'
            seen = self._send(conn, name, kind)
            self.seen.append(seen)
            if seen.status != 200 or not seen.whole:
                return False
        return True

    def _ask_bad(self, router: soakrouter.Router) -> Seen:
        self.bad_sent += 1
        conn = http.client.HTTPConnection('127.0.0.1', router.front, timeout=5)
        name = f'bad-{self.bad_sent}'
        if self.by_part:
            seen = self._send(conn, name, self.bad_kind, name[::-1], _BAD_PART)
        else:
            seen = self._send(conn, name, self.bad_kind, _BAD)
        self.seen.append(seen)
        conn.close()
        return seen

    def _send_bad(self, fault: soakschedule.Fault) -> None:
        end = time.monotonic() + fault.lasts
        rng = random.Random(fault.pick)
        while time.monotonic() < end:
            self._ask_bad(rng.choice(self.routers))
            time.sleep(0.1)

    def _recover_from_bad(self) -> None:
        """Sends the bad request until it must be known, then looks."""

        def known() -> bool:
            ends = sum(made.bad_ends for made in self.crashers)
            if ends >= (_PART_ENDS if self.by_part else _BAD_ENDS):
                return True
            # A worker may have ended by itself as the request began there.
            seen = self._ask_bad(self.routers[ends % ROUTERS])
            return b'quarantined' in seen.body

        if not self._wait(known, RECOVER_S):
            self.faults.append('the bad request ends no workers')
        if (ends := sum(made.crashes for made in self.crashers)) < _BAD_ENDS:
            self.faults.append(f'the bad request was held after {ends} ends')
        time.sleep(_KNOWN_S)
        before = self._bad_arrivals()
        for router in self.routers * 2:
            self._ask_bad(router)
            time.sleep(_BACK_S)
        if (count := self._bad_arrivals() - before) > _BAD_LATE:
            self.faults.append(f'the bad request reached workers {count} times')
        if not all(self._serves(router) for router in self.routers):
            self.faults.append('a healthy request is not served beside it')

    def _check_limits(self) -> None:
        """Has all workers name a limit, and callers come to all routers."""
        for worker in self.workers:
            worker.limit = _LIMIT
        began = time.monotonic()
        with self._calling(CALLERS):
            time.sleep(_KEPT_S + _SPAN_S + 1.0)
        for worker in self.workers:
            worker.limit = None
        allowed = _LIMIT_RATIO * _SPAN_S * _LIMIT + _LIMIT_EXTRA
        for worker in self.workers:
            times = [at for at in worker.came_at if at >= began + _KEPT_S]
            most = max(
                (sum(0 <= at - t < _SPAN_S for at in times) for t in times),
                default=0,
            )
            if most > allowed:
                self.faults.append(f'{worker.name} got {most} in {_SPAN_S} s')

    def _check_reports(self) -> None:
        """Has one worker of each kind leave and then one rest, under callers."""
        time.sleep(_REST_S)
        leaving = [self.workers[index] for index in (0, 3, 5)]
        resting = [self.workers[index] for index in (1, 4, 6)]
        for worker in leaving:
            worker.leaving = True
        with self._calling(2 * CALLERS):
            time.sleep(2 * soakreports.LEAVES_S)
        for worker in resting:
            worker.rest_s = _REST_S
            worker.refuse = True
        with self._calling(3 * CALLERS):
            time.sleep(2 * _REST_S)
        for worker in (*leaving, *resting):
            worker.leaving = worker.refuse = False

    def _check_copies(self) -> None:
        """Has the store come back from copies, twice in a row and as power fails."""
        self.copy = self.store.mark()
        for _ in range(3):
            self._publish()
            time.sleep(_WRITTEN_S)
        for _ in range(2):
            self._restore()
            self._configure()
            self._publish()
        if not self._wait(self._all_in_force, _CONFIG_S):
            self.faults.append('a version is not in force after two copies')
        for router in self.routers:
            router.end(signal.SIGKILL)
        self._restore()
        for router in self.routers:
            router.start()
        self._configure()
        self._publish()
        if not self._wait(self._all_in_force, RECOVER_S):
            self.faults.append('a version is not in force after power was lost')

    def _check_stops(self) -> None:
        """Stops all routers under callers on open connections, then starts them."""
        self.timeout_ms = soakstops.DEADLINE_MS
        self._publish()
        for router in self.routers:
            router.end(signal.SIGKILL)
            soakstops.set_grace(router)
        if not self._start_all():
            self.faults.append('not every router serves before the stops')
            return
        stops = soakstops.draw(self.seed, ROUTERS)
        self.faults += self.stops.play(stops)
        if not self._start_all():
            self.faults.append('not every router serves after the stops')

    def _start_all(self) -> bool:
        """Starts all routers; returns whether they serve in time."""
        for router in self.routers:
            router.start()

        def works() -> bool:
            return all(self._serves(router) for router in self.routers)

        return self._wait(works, RECOVER_S)

    def _runs(self, request: str) -> int:
        """Returns how often a request ran, prefills not counted."""
        return sum(
            worker.ids().count(request)
            for worker in self.workers
            if worker.stage != 'prefill'
        )

    def _all_in_force(self) -> bool:
        return all(self._has_version(router) for router in self.routers)

    def _has_version(self, router: soakrouter.Router) -> bool:
        conn = http.client.HTTPConnection('127.0.0.1', router.front, timeout=5)
        name = f'version-{time.monotonic_ns()}-r{router.number}'
        seen = self._send(conn, name, f'v{self.version}')
        conn.close()
        return seen.status == 200

    @contextlib.contextmanager
    def _calling(self, first: int) -> Iterator[None]:
        """Lets callers, numbered from the first on, come to all routers."""
        self._over.clear()
        callers = [
            threading.Thread(target=self._call, args=(first + number,))
            for number in range(CALLERS)
        ]
        for caller in callers:
            caller.start()
        yield
        self._over.set()
        for caller in callers:
            caller.join(30)

    def _beat(self) -> None:
        """Writes the workers' entries; one that leaves can't reach the store."""
        while not self._ended.wait(_BEAT_S):
            topic = 'keyed.servers'
            for made in self.crashers:
                worker = made.worker
                if not (made.is_down or worker.leaving):
                    self.store.put(topic, worker.name, worker.entry())
            # The platform drops the entries of starts that write no more.
            alive = {worker.name for worker in self.workers}
            for name in self.store.keys(topic) - alive:
                self.store.put(topic, name, None)

    def _bad_arrivals(self) -> int:
        return sum(made.arrivals(self.bad) for made in self.crashers)

    def _judge(self) -> list[str]:
        runs: dict[str, int] = {}
        for worker in self.workers:
            if worker.stage == 'prefill':
                continue
            for request in worker.ids():
                runs[request] = runs.get(request, 0) + 1
        found = []
        for seen in self.seen:
            count = runs.get(seen.request, 0)
            bad = seen.request.startswith(_BAD)
            if not bad and b'quarantined' in seen.body:
                found.append(f'{seen.request} was held for a bad one')
            if seen.kind in ('once', 'single') and count > 1:
                found.append(f'{seen.request} ({seen.kind}) ran {count} times')
            promised = seen.status in _PROMISES and seen.kind != 'safe'
            if promised and count:
                found.append(f'{seen.request} got {seen.status} and ran')
            if seen.status == 200 and seen.whole and not bad:
                found.extend(_judge_answer(seen))
        return found

    def _wait(self, check: Callable[[], bool], wait_s: float) -> bool:
        end = time.monotonic() + wait_s
        while time.monotonic() < end:
            if check():
                return True
            time.sleep(0.1)
        return False

    def _end(self) -> None:
        self._over.set()
        self._ended.set()
        for router in self.routers:
            router.send_signal(signal.SIGCONT)
            router.end(signal.SIGKILL)
            router.relay.close()
            router.control_relay.close()
            router.out.close()
        self.ports.close()
        for made in self.crashers:
            made.close()
        for worker in self.workers:
            worker.close()
        self.store.close()


def _judge_answer(seen: Seen) -> list[str]:
    if seen.kind in ('safe', 'once'):
        wanted = f'{seen.request}:/{seen.kind}/x'.encode()
    else:
        wanted = b''.join(
            b'id: %d\ndata: %s-%d\n\n' % (n, seen.request.encode(), n)
            for n in range(1, _EVENTS + 1)
        )
    if seen.body == wanted:
        return []
    return [f'{seen.request} ({seen.kind}) got {seen.body[-80:]!r}']


def _disturb(passed: relay.Relay, what: str, lasts: float) -> None:
    if what == 'cut':
        passed.cut()
        time.sleep(lasts)
        passed.mend()
    elif what == 'silent':
        passed.silence()
    else:
        passed.delay_s = 0.2
        time.sleep(lasts)
        passed.mend()


def play(seed: int, *, ends: bool = False, by_part: bool = False) -> list[str]:
    """Plays one seed; keeps the routers' logs of a seed that failed."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    soak = Soak(seed, folder, ends=ends, by_part=by_part)
    found = soak.run()
    whole = sum(seen.status == 200 and seen.whole for seen in soak.seen)
    names = ', '.join(f.name for f in soakschedule.schedule(seed, ends=ends))
    stops = ', '.join(
        f'{count} {outcome}'
        for outcome, count in sorted(soak.stops.outcomes.items())
    )
    print(
        f'seed {seed}: {len(soak.seen)} requests, {whole} whole; '
        f'around stops {stops or "none"} ({names})'
    )
    if not found:
        for file in folder.iterdir():
            file.unlink()
        folder.rmdir()
        return []
    for fault in found[:10]:
        print(f'  {fault}')
    print(f'  logs in {folder}')
    return found


def main() -> None:
    """Plays the seeds named, or fifty fresh ones."""
    seeds = [int(word) for word in sys.argv[1:]]
    if not seeds:
        first = time.time_ns() // 1_000_000_000 % 10**8
        seeds = list(range(first, first + 50))
    failed = [
        seed for seed in seeds if play(seed, ends=True, by_part=bool(seed % 2))
    ]
    print(f'{len(seeds)} seeds, {len(failed)} failed: {failed}')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
