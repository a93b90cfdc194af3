"""Soak of software versions: python -m tests.soakversions [--severe] SEED...

Router processes are stopped, killed and suspended, the store fails, and servers
of several versions come, go and change, while callers break off their streams
and resume them anywhere. No stream may have events of two versions, and resumed
streams must go on at least half as often as new ones begin. Another writer
leaves odd records in each topic.

With --severe, all routers are also ended at once while versions come and go, at
times after the store took no writes for a while, and one is suspended or loses the
store meanwhile; callers then resume their streams as soon as they can.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
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

from tests import oddentries
from tests import site as sites
from tests import versionsite
from tests.standins import keyedstore
from tests.standins import serving
from tests.standins import wireworker

_ROUTERS: Final = 3
_CALLERS: Final = 8
_LASTS_S: Final = 12.0
_SEVERE_LASTS_S: Final = 24.0
# How long callers prefer a router that has just come back, and how long they
# wait for one, seconds.
_PREFERRED_S: Final = 1.0
_AWAITED_S: Final = 10.0
# How long callers try to resume a stream, and their pause, seconds.
_RETRIED_S: Final = 12.0
# Time after its begin in which a stream is resumed that could not be saved,
# seconds; three times what its caller waits. Routers know it for 10 s.
_UNSAVED_RETRIED_S: Final = 9.0
_RETRY_PAUSE_S: Final = 0.2
_PACE_S: Final = 0.04
_EVENTS: Final = 12
# Time after a change of the servers of a version in which its streams are not
# counted, seconds: the routers may not have the list yet.
_SETTLES_S: Final = 3.0
# Resumed streams from which their share is judged.
_JUDGED: Final = 12


class _Worker(wireworker.WireWorker):
    """A decode worker whose events name the version that wrote them."""

    def _stream(
        self, req: serving.Request, attempt: str, start: int
    ) -> Iterator[bytes]:
        version = self.version
        for number in range(start + 1, _EVENTS + 1):
            time.sleep(_PACE_S)
            yield b'id: %d\ndata: %s\n\n' % (number, version.encode())


class _Soak:
    """One run."""

    def __init__(
        self, seed: int, folder: pathlib.Path, *, severe: bool
    ) -> None:
        self._severe = severe
        # Router at which streams are resumed now, and until when, seconds.
        self._preferred = (0, 0.0)
        self._rng = random.Random(seed)
        # Draws odd records; the other faults of a seed stay as they are.
        self._odd = random.Random(-seed)
        # The same for writes that fail.
        self._unsaved = random.Random(f'unsaved {seed}')
        self._names = iter(range(1_000_000))
        self._attempts = iter(range(1_000_000))
        self._ends = threading.Event()
        self._changed_at: dict[str, float] = {}
        # Routers that a signal ended or suspended.
        self._troubled: set[int] = set()
        # Streams with several versions, and counts of what came of requests.
        self.mixed: list[str] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.site = versionsite.ProcessSite(folder, _ROUTERS, versions=())
        versions = ['v1', 'v1', 'v1', 'v2', 'v2', 'v2']
        if severe:
            # A release with all routers down is the first that is not v1.
            versions = ['v1'] * 6
        for version in versions:
            self._add(version)

    def run(self) -> list[str]:
        """Plays; returns what was broken."""
        callers = [
            threading.Thread(target=self._call, args=(self._rng.random(),))
            for _ in range(_CALLERS)
        ]
        time.sleep(_SETTLES_S)
        for caller in callers:
            caller.start()
        lasts_s = _SEVERE_LASTS_S if self._severe else _LASTS_S
        end = time.monotonic() + lasts_s
        actions = [self._trouble, self._trouble, self._replace, self._store]
        if self._severe:
            actions += [self._end_all, self._end_all, self._miss_changes]
        try:
            if self._severe:
                time.sleep(self._rng.uniform(0.5, 1.5))
                self._end_all([self._release])
            while time.monotonic() < end:
                time.sleep(self._rng.uniform(0.2, 1.2))
                self._rng.choice(actions)()
                self._write_odd_entries()
        finally:
            self._ends.set()
            for caller in callers:
                caller.join()
            self.site.close()
        found = [f'versions mixed: {text}' for text in self.mixed]
        counts = self.counts
        begun = counts['begun'] / max(1, counts['begun'] + counts['not begun'])
        resumed = counts['resumed'] + counts['not resumed']
        if resumed >= _JUDGED and counts['resumed'] / resumed < begun / 2:
            found.append(f'resumed too seldom: {dict(counts)}')
        return found

    def _add(self, version: str) -> None:
        name = f'd{next(self._names)}'
        worker = _Worker(name, 'model', 'decode', version)
        self._changed_at[version] = time.monotonic()
        self.site.workers.append(worker)
        self.site.store.put('keyed.servers', name, worker.entry())

    def _replace(self) -> None:
        """A server comes, goes, or starts again with another version."""
        version = self._rng.choice(('v1', 'v2', 'v3'))
        decoders = [w for w in self.site.workers if w.stage == 'decode']
        worker = self._rng.choice(decoders)
        if self._rng.random() < 0.5:
            self._add(version)
        if len(decoders) <= 3:
            return
        self._changed_at[worker.version] = time.monotonic()
        if self._rng.random() < 0.5:
            self._remove(worker)
            return
        # Its streams end with its incarnation.
        self._changed_at[version] = time.monotonic()
        self.site.workers.remove(worker)
        worker.close()
        again = _Worker(worker.name, 'model', 'decode', version)
        again.born = worker.born + 1
        self.site.workers.append(again)
        self.site.store.put('keyed.servers', again.name, again.entry())

    def _trouble(self) -> None:
        """Routers are stopped, killed or suspended, and come back."""
        sent = self._rng.choice(
            (signal.SIGTERM, signal.SIGKILL, signal.SIGKILL, signal.SIGSTOP)
        )
        numbers = range(_ROUTERS)
        if sent != signal.SIGKILL or self._rng.random() < 0.7:
            numbers = range(1)
        start = self._rng.randrange(_ROUTERS)
        chosen = [(start + number) % _ROUTERS for number in numbers]
        self._troubled.update(chosen)
        routers = [self.site.routers[number] for number in chosen]
        for router in routers:
            router.send_signal(sent)
        time.sleep(self._rng.uniform(0.1, 1.5))
        for router in routers:
            if sent == signal.SIGSTOP:
                router.send_signal(signal.SIGCONT)
                continue
            if router.process is not None:
                router.process.wait(10)
            router.start()
        self._await_ready(chosen)

    def _end_all(self, changes: Sequence[Callable[[], None]] = ()) -> None:
        """All routers end at once while versions come and go."""
        self.counts['all ended'] += 1
        if not changes:
            changes = (self._replace, self._change_versions, self._release)
        routers = self.site.routers
        if self._unsaved.random() < 0.5:
            self.counts['ended without saves'] += 1
            self.site.store.append_fault = self._unsaved.choice(
                keyedstore.APPEND_FAULTS
            )
            time.sleep(self._unsaved.uniform(0.1, 2.0))
        self._troubled.update(range(_ROUTERS))
        for router in routers:
            router.send_signal(signal.SIGKILL)
        time.sleep(self._rng.uniform(0.1, 0.5))
        self.site.store.append_fault = ''
        self._rng.choice(changes)()
        for router in routers:
            if router.process is not None:
                router.process.wait(10)
            router.start()
        if self._rng.random() < 0.5:
            self._replace()
        self._await_ready(range(_ROUTERS))

    def _miss_changes(self) -> None:
        """A router is suspended or without the store as versions change."""
        self.counts['changes missed'] += 1
        number = self._rng.randrange(_ROUTERS)
        router = self.site.routers[number]
        suspends = self._rng.random() < 0.5
        self._troubled.add(number)
        if suspends:
            router.send_signal(signal.SIGSTOP)
        else:
            router.relay.cut()
        self._change_versions()
        time.sleep(self._rng.uniform(0.5, 3.0))
        self._preferred = (number, time.monotonic() + _PREFERRED_S)
        if suspends:
            router.send_signal(signal.SIGCONT)
        else:
            router.relay.mend()
        self._await_ready([number])

    def _change_versions(self) -> None:
        """A version joins, or leaves with all of its servers."""
        decoders = [w for w in self.site.workers if w.stage == 'decode']
        versions = sorted({worker.version for worker in decoders})
        if len(versions) < 2 or self._rng.random() < 0.6:
            version = self._rng.choice(('v1', 'v2', 'v3', 'v4'))
            for _ in range(self._rng.choice((1, 2))):
                self._add(version)
            return
        version = self._rng.choice(versions)
        for worker in decoders:
            if worker.version == version:
                self._remove(worker)

    def _release(self) -> None:
        """All servers are replaced by ones of one other version."""
        decoders = [w for w in self.site.workers if w.stage == 'decode']
        listed = {worker.version for worker in decoders}
        others = sorted({'v1', 'v2', 'v3', 'v4'} - listed)
        version = self._rng.choice(others or sorted(listed))
        for _ in decoders[:4]:
            self._add(version)
        for worker in decoders:
            self._remove(worker)

    def _remove(self, worker: wireworker.WireWorker) -> None:
        self._changed_at[worker.version] = time.monotonic()
        self.site.workers.remove(worker)
        self.site.store.put('keyed.servers', worker.name, None)
        worker.close()

    def _await_ready(self, numbers: Iterable[int]) -> None:
        """Waits until routers are ready again."""
        end = time.monotonic() + 20.0
        for number in numbers:
            router = self.site.routers[number]
            while not router.is_ready() and time.monotonic() < end:
                time.sleep(0.05)
            self._troubled.discard(number)

    def _write_odd_entries(self) -> None:
        """Another writer leaves odd records among the sound ones."""
        if self._odd.random() < 0.5:
            return
        store = self.site.store
        sound = self.site.workers[0].entry()
        oddentries.write_server(store, self._odd, 'odd', sound)
        oddentries.write_others(store, self._odd, sites.config(1), 'odd')

    def _store(self) -> None:
        """The store is away for a while."""
        self.site.store.down = True
        time.sleep(self._rng.uniform(0.2, 1.5))
        self.site.store.down = False

    def _call(self, seed: float) -> None:
        rng = random.Random(seed)
        while not self._ends.is_set():
            self._run_stream(rng)

    def _run_stream(self, rng: random.Random) -> None:
        """Runs one stream over several attempts of its caller."""
        received: list[str] = []
        first = ''
        last_at = math.inf
        for _ in range(4):
            if time.monotonic() > last_at:
                return
            number = rng.randrange(_ROUTERS)
            preferred, until = self._preferred
            if received and time.monotonic() < until:
                number = preferred
            attempt = f'a{next(self._attempts)}'
            wanted = rng.choice((1, 2, 5, _EVENTS, _EVENTS))
            healthy = number not in self._troubled
            began_at = time.monotonic()
            may_be_unsaved = bool(self.site.store.append_fault)
            events = self._attempt(
                number, attempt, first, len(received), wanted
            )
            may_be_unsaved |= bool(self.site.store.append_fault)
            if not received and may_be_unsaved:
                last_at = began_at + _UNSAVED_RETRIED_S
            retry_until = min(time.monotonic() + _RETRIED_S, last_at)
            while (
                self._severe
                and received
                and not events
                and not self._ends.wait(_RETRY_PAUSE_S)
                and time.monotonic() < retry_until
            ):
                number = self._await_any_router(rng)
                if time.monotonic() > last_at:
                    return
                attempt = f'a{next(self._attempts)}'
                healthy = number not in self._troubled
                events = self._attempt(
                    number, attempt, first, len(received), wanted
                )
            if events is None:
                if self._severe:
                    # Callers without a pause would slow the routers' start.
                    time.sleep(_RETRY_PAUSE_S)
                return
            healthy = healthy and number not in self._troubled
            if healthy and not self._ends.is_set():
                self._count(received, went_on=bool(events))
            if events and not received:
                first = attempt
            received += events
            if len(set(received)) > 1:
                self.mixed.append(f'{first}: {received}')
                return
            if len(received) >= _EVENTS:
                return

    def _await_any_router(self, rng: random.Random) -> int:
        """Returns a router without trouble, or any after a while."""
        end = time.monotonic() + _AWAITED_S
        while len(self._troubled) == _ROUTERS and time.monotonic() < end:
            time.sleep(0.02)
        healthy = sorted(set(range(_ROUTERS)) - self._troubled)
        return rng.choice(healthy or range(_ROUTERS))

    def _count(self, received: list[str], *, went_on: bool) -> None:
        if not received:
            self.counts['begun' if went_on else 'not begun'] += 1
            return
        version = received[0]
        servers = [
            worker
            for worker in list(self.site.workers)
            if worker.stage == 'decode' and worker.version == version
        ]
        settled_s = time.monotonic() - self._changed_at.get(version, 0.0)
        if len(servers) > 1 and settled_s > _SETTLES_S:
            self.counts['resumed' if went_on else 'not resumed'] += 1

    def _attempt(
        self, number: int, attempt: str, resumes: str, after: int, wanted: int
    ) -> list[str] | None:
        """Returns the versions of the events received; None if not reached."""
        headers = {
            'Host': 'h.example',
            'Foxtaildale-Attempt-Id': attempt,
            'Foxtaildale-Deadline-Ms': '3000',
            'Foxtaildale-Token-Count': '500,640',
        }
        if resumes:
            headers |= {'Resumes': resumes, 'Last-Event-Id': str(after)}
        conn = http.client.HTTPConnection(
            '127.0.0.1', self.site.routers[number].front, timeout=5
        )
        found: list[str] = []
        try:
            conn.request('POST', '/chat/x', headers=headers)
            resp = conn.getresponse()
            if resp.status != 200:
                return []
            while len(found) + after < _EVENTS and len(found) < wanted:
                line = resp.readline()
                if not line:
                    return found
                if line.startswith(b'data: '):
                    found.append(line[6:].strip().decode())
        except (OSError, http.client.HTTPException):
            return found or None
        finally:
            conn.close()
        return found


def play(seed: int, *, severe: bool = False) -> list[str]:
    """Plays one seed; returns what was broken."""
    with tempfile.TemporaryDirectory() as folder:
        soak = _Soak(seed, pathlib.Path(folder), severe=severe)
        found = soak.run()
    print(seed, dict(soak.counts), found or 'held', flush=True)
    return found


if __name__ == '__main__':
    seeds = [arg for arg in sys.argv[1:] if arg != '--severe']
    is_severe = '--severe' in sys.argv
    broken = [seed for seed in seeds if play(int(seed), severe=is_severe)]
    sys.exit(bool(broken))
