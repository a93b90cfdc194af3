"""Concurrent callers and a schedule of faults over a real deployment.

Crews send check-ins with tickets and patrols send summaries with keys, each
trying again at the next VM until it knows what came of it, while a seeded
schedule kills, freezes and cuts. The history that comes out is judged by
`history.check`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import random
import threading
import time
from typing import Final

import urllib3
import xxhash

from foxtaildale import codes
from foxtaildale import values
from tests import deployment
from tests import fleet
from tests import history

DESK: Final = 'dispatch-desk'
READER: Final = 'patrol-reader'
# Tries of one check-in or summary.
_TRIES: Final = 40
# Rows of faults that go on side by side.
_ROWS: Final = 2
# Time between two tries, seconds.
_PAUSE_S: Final = 0.15
# Time between two check-ins of a crew, seconds.
_THINK_S: Final = 0.05
# Words of the shortest summary; each has one more, which names it in the
# engines' records.
_WORDS: Final = 100

VMS: Final = tuple(
    deployment.Vm(f'entry-{number}', f'hall-{number}') for number in (1, 2, 3)
)
_READERS: Final[tuple[tuple[str, values.Role], ...]] = (
    ('reader-p1', 'prefill'),
    ('reader-d1', 'decode'),
    ('reader-d2', 'decode'),
)
WORKERS: Final = (
    *(
        deployment.Worker(
            name=name, service=DESK, role='plain', data_centre='hall-1'
        )
        for name in ('desk-1', 'desk-2')
    ),
    *(
        deployment.Worker(
            name=name,
            service=READER,
            role=role,
            data_centre='hall-2',
            args=('--token-ms', '5'),
        )
        for name, role in _READERS
    ),
)
PRESET: Final = values.Preset(
    name='ordinary',
    services={
        DESK: values.Service(
            kind='plain', once='ticket', priority=0, call_timeout_ms=1_500
        ),
        READER: values.Service(
            kind='model', once='claim', patience_ms=20_000, expected_tokens=12
        ),
    },
)


class Scenario:
    """One run: its callers, its faults, its history."""

    __slots__ = (
        '_dep',
        '_seed',
        '_stop',
        '_vm_locks',
        'history',
        'settled',
    )

    def __init__(self, dep: deployment.Deployment, seed: int) -> None:
        self._dep = dep
        self._seed = seed
        self._vm_locks = {vm.name: threading.Lock() for vm in VMS}
        self._stop = threading.Event()
        self.history = history.History()
        # Final code of each check-in and summary, by its identity.
        self.settled: dict[str, str] = {}

    def run(
        self, crews: int, patrols: int, faults: int
    ) -> list[history.Verdict]:
        """Runs callers under rows of faults; returns the verdicts.

        Args:
            crews: Callers that send check-ins.
            patrols: Callers that send summaries.
            faults: Faults in each of the rows, which go on side by side.
        """
        threads = [
            threading.Thread(target=self._crew, args=(crew,))
            for crew in range(crews)
        ]
        threads += [
            threading.Thread(target=self._patrol, args=(patrol, patrols))
            for patrol in range(patrols)
        ]
        for thread in threads:
            thread.start()
        rows = [
            threading.Thread(target=self._faults, args=(number, faults))
            for number in range(_ROWS)
        ]
        for row in rows:
            row.start()
        for row in rows:
            row.join()
        self._stop.set()
        for thread in threads:
            thread.join()
        self._collect()
        return history.check(self.history)

    def _faults(self, number: int, count: int) -> None:
        """Brings about faults one after the other, beside other such rows."""
        rng = random.Random(self._seed * _ROWS + number)
        kinds: list[Callable[[random.Random], None]] = [
            self._kill_vm,
            self._kill_entry,
            self._freeze_entry,
            self._freeze_keeper,
            self._log_outage,
            self._lost_appends,
            self._lost_calls,
        ]
        for _ in range(count):
            time.sleep(_PAUSE_S)
            rng.choice(kinds)(rng)

    def _kill_vm(self, rng: random.Random) -> None:
        with self._any_vm(rng) as name:
            self._dep.entries[name].kill()
            self._dep.keepers[name].kill()
            self._dep.start_keeper(name)
            self._dep.start_entry(name)

    def _kill_entry(self, rng: random.Random) -> None:
        with self._any_vm(rng) as name:
            self._dep.entries[name].kill()
            self._dep.start_entry(name)

    def _freeze_entry(self, rng: random.Random) -> None:
        with self._any_vm(rng) as name:
            _freeze(self._dep.entries[name], rng)

    def _freeze_keeper(self, rng: random.Random) -> None:
        with self._any_vm(rng) as name:
            _freeze(self._dep.keepers[name], rng)

    def _log_outage(self, rng: random.Random) -> None:
        self._dep.faults(self._dep.platform, down=True)
        time.sleep(rng.uniform(0.2, 1.5))
        self._dep.faults(self._dep.platform, down=False)

    def _lost_appends(self, _rng: random.Random) -> None:
        self._dep.faults(self._dep.platform, lose_answers=2)

    def _lost_calls(self, rng: random.Random) -> None:
        name = rng.choice(('desk-1', 'desk-2'))
        self._dep.faults(self._dep.workers[name], lose_answers=1)

    @contextlib.contextmanager
    def _any_vm(self, rng: random.Random) -> Iterator[str]:
        """Chooses a VM that no other row of faults has in hand."""
        name = rng.choice(sorted(self._vm_locks))
        with self._vm_locks[name]:
            yield name

    def _crew(self, crew: int) -> None:
        number = 0
        while not self._stop.wait(_THINK_S):
            number += 1
            self._check_in(crew, f'{{"crew": {crew}, "number": {number}}}')

    def _check_in(self, crew: int, body: str) -> None:
        """Sends one check-in until it is known to be logged or not."""
        ticket, tickets = '', 0
        for turn in range(_TRIES):
            vm = VMS[(crew + turn) % len(VMS)].name
            if not ticket:
                ticket = self._ticket(vm)
                tickets += 1
                continue
            identity = f'{body}#{tickets}'
            code = self._send(
                vm,
                history.Invocation(
                    request=f'{identity}/{turn}',
                    caller=f'crew-{crew}',
                    service=DESK,
                    at=time.monotonic(),
                    identity=identity,
                    rule='ticket',
                    body=body,
                ),
                f'/v1/services/{DESK}/check-in',
                f'{body[:-1]}, "ticket": {tickets}}}'.encode(),
                {'Foxtaildale-Ticket': ticket},
            )
            self.settled[identity] = code or 'no-answer'
            if code and codes.ran(code) == 'yes' and code != 'in-progress':
                return
            if code and codes.ran(code) == 'no':
                ticket = ''
            time.sleep(_PAUSE_S)

    def _ticket(self, vm: str) -> str:
        body = json.dumps({'service': DESK}).encode()
        try:
            answer = self._dep.post(self._dep.caller(vm), '/v1/tickets', body)
            tickets = json.loads(answer.data).get('tickets', [''])
            return str(tickets[0])
        except (urllib3.exceptions.HTTPError, ValueError):
            time.sleep(_PAUSE_S)
            return ''

    def _patrol(self, patrol: int, patrols: int) -> None:
        number = patrol
        while not self._stop.wait(_THINK_S):
            self._summary(patrol, number)
            number += patrols

    def _summary(self, patrol: int, number: int) -> None:
        """Sends one summary until it is known to have run or not."""
        key = ''
        # The first word keeps the prefix cache out of the count.
        words = ' '.join([f'n{number}'] + ['tower'] * (_WORDS + number))
        body = json.dumps(
            {
                'model': READER,
                'messages': [{'role': 'user', 'content': words}],
            }
        )
        for turn in range(_TRIES):
            vm = VMS[(patrol + turn) % len(VMS)].name
            if not key:
                key = self._key(vm, number)
                continue
            code = self._send(
                vm,
                history.Invocation(
                    request=f'summary-{number}/{turn}',
                    caller=f'patrol-{patrol}',
                    service=READER,
                    at=time.monotonic(),
                    identity=f'summary-{number}',
                    rule='claim',
                    body=str(number),
                ),
                '/v1/chat/completions',
                body.encode(),
                {'Idempotency-Key': key},
            )
            self.settled[f'summary-{number}'] = code or 'no-answer'
            if code and codes.ran(code) == 'yes' and code != 'in-progress':
                return
            time.sleep(_PAUSE_S)

    def _key(self, vm: str, number: int) -> str:
        try:
            answer = self._dep.get(self._dep.caller(vm), '/v1/keys')
            return f'{json.loads(answer.data)["prefix"]}summary-{number}'
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            time.sleep(_PAUSE_S)
            return ''

    def _send(
        self,
        vm: str,
        inv: history.Invocation,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> str:
        """Sends one try; returns its code, or '' if no answer came."""
        self.history.add(inv)
        try:
            answer = self._dep.post(self._dep.caller(vm), path, body, headers)
            document = json.loads(answer.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            return ''
        code = 'ok'
        if 'error' in document:
            code = document['error']['code']
        self.history.add(
            history.Response(
                request=inv.request, at=time.monotonic(), code=code
            )
        )
        return code

    def _collect(self) -> None:
        """Reads what the backend servers say they executed."""
        firsts: dict[str, history.Invocation] = {}
        bodies: dict[str, str] = {}
        for inv in self.history.invocations:
            firsts.setdefault(inv.identity, inv)
            bodies[inv.identity] = inv.body
        self._collect_calls(firsts)
        self._collect_decodes(firsts)

    def _collect_calls(self, firsts: dict[str, history.Invocation]) -> None:
        by_body = {_digest(identity): identity for identity in firsts}
        for name in ('desk-1', 'desk-2'):
            address = self._dep.workers[name].address
            for run in json.loads(self._dep.get(address, '/executions').data):
                if run['body'] not in by_body:
                    raise AssertionError(f'{name} ran what nobody sent: {run}')
                inv = firsts[by_body[run['body']]]
                self._executed(name, run['at'], inv)

    def _collect_decodes(self, firsts: dict[str, history.Invocation]) -> None:
        words: dict[str, int] = {}
        begun: list[tuple[str, str, float]] = []
        for name in ('reader-p1', 'reader-d1', 'reader-d2'):
            address = self._dep.workers[name].address
            for run in json.loads(self._dep.get(address, '/record').data):
                if run['kind'] == 'prefill' and run['phase'] == 'begun':
                    words[run['request']] = run['tokens']
                elif run['kind'] == 'decode' and run['phase'] == 'begun':
                    begun.append((name, run['request'], run['at']))
        for name, request, at in begun:
            # The role of the message and the first word are two more.
            number = words[request] - _WORDS - 2
            self._executed(name, at, firsts[f'summary-{number}'])

    def _executed(self, name: str, at: float, inv: history.Invocation) -> None:
        self.history.add(
            history.Execution(
                backend_server=name,
                request=inv.request,
                service=inv.service,
                at=at,
                identity=inv.identity,
                body=inv.body,
            )
        )


def _freeze(proc: fleet.Proc, rng: random.Random) -> None:
    proc.freeze()
    time.sleep(rng.uniform(0.5, 2.5))
    proc.thaw()


def _digest(identity: str) -> str:
    """Returns the digest of a check-in's body, as the service records it."""
    body, _, tickets = identity.partition('#')
    if not tickets:
        return identity
    return xxhash.xxh64_hexdigest(
        f'{body[:-1]}, "ticket": {tickets}}}'.encode()
    )
