"""Concurrent callers and a schedule of faults over a real deployment.

Crews send check-ins with tickets and patrols send summaries with keys. Each
retries at the next VM until the outcome is known, while a seeded schedule kills
and freezes processes and drops replies. `history.check` checks the recorded
history.
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

_DESK_SERVICE: Final = 'dispatch-desk'
_READER_SERVICE: Final = 'patrol-reader'
# Limit of attempts for one check-in or summary.
_MAX_ATTEMPTS: Final = 40
# Number of threads that inject faults concurrently.
_FAULT_THREADS: Final = 2
# Delay between two attempts, and between two faults of a thread, seconds.
_RETRY_DELAY_S: Final = 0.15
# Delay between two requests of a crew or patrol, seconds.
_REQUEST_DELAY_S: Final = 0.05
# Words of the shortest summary's prompt. Summary number N has N words more, so
# the prompt length identifies the summary in the engines' records.
_MIN_WORDS: Final = 100

VMS: Final = tuple(
    deployment.Vm(f'entry-{number}', f'hall-{number}') for number in (1, 2, 3)
)
_READER_WORKERS: Final[tuple[tuple[str, values.Role], ...]] = (
    ('reader-p1', 'prefill'),
    ('reader-d1', 'decode'),
    ('reader-d2', 'decode'),
)
WORKERS: Final = (
    *(
        deployment.Worker(
            name=name, service=_DESK_SERVICE, role='plain', data_centre='hall-1'
        )
        for name in ('desk-1', 'desk-2')
    ),
    *(
        deployment.Worker(
            name=name,
            service=_READER_SERVICE,
            role=role,
            data_centre='hall-2',
            args=('--token-ms', '5'),
        )
        for name, role in _READER_WORKERS
    ),
)
PRESET: Final = values.Preset(
    name='ordinary',
    services={
        _DESK_SERVICE: values.Service(
            kind='plain', once='ticket', priority=0, call_timeout_ms=1_500
        ),
        _READER_SERVICE: values.Service(
            kind='model', once='claim', patience_ms=20_000, expected_tokens=12
        ),
    },
)


class Scenario:
    """Runs callers and faults against a deployment and records the history."""

    __slots__ = (
        '_dep',
        '_seed',
        '_stop',
        '_vm_locks',
        'final_codes',
        'history',
    )

    def __init__(self, dep: deployment.Deployment, seed: int) -> None:
        self._dep = dep
        self._seed = seed
        self._vm_locks = {vm.name: threading.Lock() for vm in VMS}
        self._stop = threading.Event()
        self.history = history.History()
        # Final code of each check-in and summary, by its identity.
        self.final_codes: dict[str, str] = {}

    def run(
        self, crews: int, patrols: int, faults: int
    ) -> list[history.Verdict]:
        """Runs callers while faults are injected; returns the verdicts.

        Args:
            crews: Callers that send check-ins.
            patrols: Callers that send summaries.
            faults: Number of faults of each fault thread.
        """
        threads = [
            threading.Thread(target=self._run_crew, args=(crew,))
            for crew in range(crews)
        ]
        threads += [
            threading.Thread(target=self._run_patrol, args=(patrol, patrols))
            for patrol in range(patrols)
        ]
        for thread in threads:
            thread.start()
        fault_threads = [
            threading.Thread(target=self._inject_faults, args=(number, faults))
            for number in range(_FAULT_THREADS)
        ]
        for fault_thread in fault_threads:
            fault_thread.start()
        for fault_thread in fault_threads:
            fault_thread.join()
        self._stop.set()
        for thread in threads:
            thread.join()
        self._collect_executions()
        return history.check(self.history)

    def _inject_faults(self, number: int, count: int) -> None:
        """Injects faults one by one, concurrently with other fault threads."""
        rng = random.Random(self._seed * _FAULT_THREADS + number)
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
            time.sleep(_RETRY_DELAY_S)
            rng.choice(kinds)(rng)

    def _kill_vm(self, rng: random.Random) -> None:
        with self._lock_random_vm(rng) as name:
            self._dep.entries[name].kill()
            self._dep.keepers[name].kill()
            self._dep.start_keeper(name)
            self._dep.start_entry(name)

    def _kill_entry(self, rng: random.Random) -> None:
        with self._lock_random_vm(rng) as name:
            self._dep.entries[name].kill()
            self._dep.start_entry(name)

    def _freeze_entry(self, rng: random.Random) -> None:
        with self._lock_random_vm(rng) as name:
            _freeze(self._dep.entries[name], rng)

    def _freeze_keeper(self, rng: random.Random) -> None:
        with self._lock_random_vm(rng) as name:
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
    def _lock_random_vm(self, rng: random.Random) -> Iterator[str]:
        """Locks a random VM, so that only one fault thread disturbs it."""
        name = rng.choice(sorted(self._vm_locks))
        with self._vm_locks[name]:
            yield name

    def _run_crew(self, crew: int) -> None:
        number = 0
        while not self._stop.wait(_REQUEST_DELAY_S):
            number += 1
            self._send_check_in(crew, f'{{"crew": {crew}, "number": {number}}}')

    def _send_check_in(self, crew: int, body: str) -> None:
        """Sends one check-in until it is known whether it was logged."""
        ticket, tickets = '', 0
        for attempt in range(_MAX_ATTEMPTS):
            vm = VMS[(crew + attempt) % len(VMS)].name
            if not ticket:
                ticket = self._request_ticket(vm)
                tickets += 1
                continue
            identity = f'{body}#{tickets}'
            code = self._send_attempt(
                vm,
                history.Invocation(
                    request=f'{identity}/{attempt}',
                    caller=f'crew-{crew}',
                    service=_DESK_SERVICE,
                    at=time.monotonic(),
                    identity=identity,
                    rule='ticket',
                    body=body,
                ),
                f'/v1/services/{_DESK_SERVICE}/check-in',
                f'{body[:-1]}, "ticket": {tickets}}}'.encode(),
                {'Foxtaildale-Ticket': ticket},
            )
            self.final_codes[identity] = code or 'no-answer'
            if code and codes.ran(code) == 'yes' and code != 'in-progress':
                return
            if code and codes.ran(code) == 'no':
                ticket = ''
            time.sleep(_RETRY_DELAY_S)

    def _request_ticket(self, vm: str) -> str:
        body = json.dumps({'service': _DESK_SERVICE}).encode()
        try:
            response = self._dep.post(self._dep.caller(vm), '/v1/tickets', body)
            tickets = json.loads(response.data).get('tickets', [''])
            return str(tickets[0])
        except (urllib3.exceptions.HTTPError, ValueError):
            time.sleep(_RETRY_DELAY_S)
            return ''

    def _run_patrol(self, patrol: int, patrols: int) -> None:
        number = patrol
        while not self._stop.wait(_REQUEST_DELAY_S):
            self._send_summary(patrol, number)
            number += patrols

    def _send_summary(self, patrol: int, number: int) -> None:
        """Sends one summary until it is known whether it ran."""
        key = ''
        # The first word is unique, so only a repetition of the same summary can
        # find a part of its prompt in the prefix cache.
        prompt = ' '.join([f'n{number}'] + ['tower'] * (_MIN_WORDS + number))
        body = json.dumps(
            {
                'model': _READER_SERVICE,
                'messages': [{'role': 'user', 'content': prompt}],
            }
        )
        for attempt in range(_MAX_ATTEMPTS):
            vm = VMS[(patrol + attempt) % len(VMS)].name
            if not key:
                key = self._request_key(vm, number)
                continue
            code = self._send_attempt(
                vm,
                history.Invocation(
                    request=f'summary-{number}/{attempt}',
                    caller=f'patrol-{patrol}',
                    service=_READER_SERVICE,
                    at=time.monotonic(),
                    identity=f'summary-{number}',
                    rule='claim',
                    body=str(number),
                ),
                '/v1/chat/completions',
                body.encode(),
                {'Idempotency-Key': key},
            )
            self.final_codes[f'summary-{number}'] = code or 'no-answer'
            if code and codes.ran(code) == 'yes' and code != 'in-progress':
                return
            time.sleep(_RETRY_DELAY_S)

    def _request_key(self, vm: str, number: int) -> str:
        try:
            response = self._dep.get(self._dep.caller(vm), '/v1/keys')
            return f'{json.loads(response.data)["prefix"]}summary-{number}'
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            time.sleep(_RETRY_DELAY_S)
            return ''

    def _send_attempt(
        self,
        vm: str,
        invocation: history.Invocation,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> str:
        """Sends one attempt; returns its code, or '' without a response."""
        self.history.add(invocation)
        try:
            response = self._dep.post(self._dep.caller(vm), path, body, headers)
            document = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            return ''
        code = 'ok'
        if 'error' in document:
            code = document['error']['code']
        self.history.add(
            history.Response(
                request=invocation.request, at=time.monotonic(), code=code
            )
        )
        return code

    def _collect_executions(self) -> None:
        """Adds the executions that backend servers report to the history."""
        first_invocations: dict[str, history.Invocation] = {}
        bodies: dict[str, str] = {}
        for invocation in self.history.invocations:
            first_invocations.setdefault(invocation.identity, invocation)
            bodies[invocation.identity] = invocation.body
        self._collect_check_ins(first_invocations)
        self._collect_summaries(first_invocations)

    def _collect_check_ins(
        self, first_invocations: dict[str, history.Invocation]
    ) -> None:
        identities_by_digest = {
            _digest(identity): identity for identity in first_invocations
        }
        for name in ('desk-1', 'desk-2'):
            address = self._dep.workers[name].address
            for record in json.loads(
                self._dep.get(address, '/executions').data
            ):
                if record['body'] not in identities_by_digest:
                    raise AssertionError(
                        f'{name} executed an unsent check-in: {record}'
                    )
                invocation = first_invocations[
                    identities_by_digest[record['body']]
                ]
                self._add_execution(name, record['at'], invocation)

    def _collect_summaries(
        self, first_invocations: dict[str, history.Invocation]
    ) -> None:
        prompt_tokens: dict[str, int] = {}
        started_decodes: list[tuple[str, str, float]] = []
        for name in ('reader-p1', 'reader-d1', 'reader-d2'):
            address = self._dep.workers[name].address
            for record in json.loads(self._dep.get(address, '/record').data):
                if record['kind'] == 'prefill' and record['phase'] == 'begun':
                    prompt_tokens[record['request']] = (
                        record['tokens'] + record['cached']
                    )
                elif record['kind'] == 'decode' and record['phase'] == 'begun':
                    started_decodes.append(
                        (name, record['request'], record['at'])
                    )
        for name, request, at in started_decodes:
            # The role of the message and the first word add two tokens.
            number = prompt_tokens[request] - _MIN_WORDS - 2
            self._add_execution(
                name, at, first_invocations[f'summary-{number}']
            )

    def _add_execution(
        self, name: str, at: float, invocation: history.Invocation
    ) -> None:
        self.history.add(
            history.Execution(
                backend_server=name,
                request=invocation.request,
                service=invocation.service,
                at=at,
                identity=invocation.identity,
                body=invocation.body,
            )
        )


def _freeze(proc: fleet.Proc, rng: random.Random) -> None:
    proc.freeze()
    time.sleep(rng.uniform(0.5, 2.5))
    proc.thaw()


def _digest(identity: str) -> str:
    """Returns the digest of a check-in's body as the service records it."""
    body, _, tickets = identity.partition('#')
    if not tickets:
        return identity
    return xxhash.xxh64_hexdigest(
        f'{body[:-1]}, "ticket": {tickets}}}'.encode()
    )
