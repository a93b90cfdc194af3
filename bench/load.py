"""Load on the real daemons: latencies, processor time, messages.

    python -m bench.load [--callers 60] [--seconds 10] [--vms 2]

Starts a deployment on stand-ins and drives it with callers that each ask one
question after the other and read its streamed answer, and with crews that
send check-ins. Reports percentiles of the first answer, of the time between
tokens and of a check-in, what became of every request, and for each role its
processor time, memory, and messages and bytes to other processes.

Wall-clock figures of a shared machine: for people, not for CI.
"""

import argparse
import collections
import json
import pathlib
import re
import tempfile
import threading
import time
from typing import Final

from hdrh import histogram
import urllib3

from bench import daemons
from foxtaildale import values
from tests import caller as caller_lib
from tests import deployment
from tests import fleet

_SERVICE: Final = 'enteis-llm'
_DESK: Final = 'queue-app'
_TOKENS: Final = 40
_TOKEN_MS: Final = 20.0
# Longest time that a histogram holds, microseconds, and its digits.
_MOST_US: Final = 60_000_000
_DIGITS: Final = 3
_SENT: Final = re.compile(
    r'foxtaildale_message(s|_bytes)_total\{direction="sent"\} ([0-9.e+]+)'
)
_ROLES: Final[tuple[tuple[str, values.Role], ...]] = (
    ('p1', 'prefill'),
    ('p2', 'prefill'),
    ('d1', 'decode'),
    ('d2', 'decode'),
    ('d3', 'decode'),
)
_WORKERS: Final = (
    *(
        deployment.Worker(
            name=name,
            service=_SERVICE,
            role=role,
            data_centre='halle-nord',
            args=('--token-ms', str(_TOKEN_MS)),
        )
        for name, role in _ROLES
    ),
    deployment.Worker(
        name='q1', service=_DESK, role='plain', data_centre='halle-sued'
    ),
)
_PRESET: Final = values.Preset(
    name='ordinary',
    services={
        _SERVICE: values.Service(
            kind='model', first_answer_ms=2_000, patience_ms=1_500
        ),
        _DESK: values.Service(kind='plain', once='ticket', priority=0),
    },
)


class Times:
    """One kind of time, in a histogram that many threads record into."""

    __slots__ = ('_histogram', '_lock', '_name')

    def __init__(self, name: str) -> None:
        self._name = name
        self._histogram = histogram.HdrHistogram(1, _MOST_US, _DIGITS)
        self._lock = threading.Lock()

    def add(self, seconds: float) -> None:
        """Records one time."""
        with self._lock:
            self._histogram.record_value(max(1, round(seconds * 1e6)))

    def line(self) -> str:
        """Returns the percentiles, milliseconds."""
        count = self._histogram.get_total_count()
        shown = (
            f'p{percent} {self._histogram.get_value_at_percentile(percent) / 1e3:.1f}'
            for percent in (50, 95, 99)
        )
        return f'{self._name}: {" ".join(shown)} ms of {count}'


class Load:
    """Callers and crews at work on one deployment."""

    __slots__ = ('_dep', '_stop', 'between', 'codes', 'desk', 'first', 'tokens')

    def __init__(self, dep: deployment.Deployment) -> None:
        self._dep = dep
        self._stop = threading.Event()
        self.first = Times('first answer')
        self.between = Times('between tokens')
        self.desk = Times('check-in')
        # What became of the requests.
        self.codes: collections.Counter[str] = collections.Counter()
        self.tokens = 0

    def run(self, callers: int, crews: int, seconds: float) -> None:
        """Keeps all of them at work for a while."""
        threads = [
            threading.Thread(target=self._ask_on, args=(number,))
            for number in range(callers)
        ]
        threads += [
            threading.Thread(target=self._check_in_on, args=(number,))
            for number in range(crews)
        ]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        self._stop.set()
        for thread in threads:
            thread.join()

    def _address(self, number: int) -> str:
        names = sorted(self._dep.entries)
        return self._dep.caller(names[number % len(names)])

    def _ask_on(self, number: int) -> None:
        turn = 0
        while not self._stop.is_set():
            turn += 1
            self._ask(number, f'question {number} of turn {turn}')

    def _ask(self, number: int, prompt: str) -> None:
        began_at = time.monotonic()
        caller = caller_lib.Caller(
            self._address(number), _SERVICE, prompt=prompt, max_tokens=_TOKENS
        )
        seen = 0
        before = began_at
        while not caller.ended():
            caller.read_block()
            now = time.monotonic()
            found = caller.count_pieces()
            for piece in range(seen, found):
                times = self.first if piece == 0 else self.between
                times.add(now - before)
                before = now
            seen = found
        caller.leave()
        self.tokens += seen
        whole = caller.whole()
        self.codes['whole' if whole else 'not whole'] += 1
        if not whole:
            # Comes back when it was told to.
            self._stop.wait(1.0)

    def _check_in_on(self, number: int) -> None:
        turn = 0
        while not self._stop.wait(0.05):
            turn += 1
            self._check_in(number, turn)

    def _check_in(self, number: int, turn: int) -> None:
        address = self._address(number)
        wanted = json.dumps({'service': _DESK}).encode()
        try:
            answer = self._dep.post(address, '/v1/tickets', wanted)
            ticket = json.loads(answer.data)['tickets'][0]
            body = json.dumps({'crew': number, 'turn': turn}).encode()
            began_at = time.monotonic()
            answer = self._dep.post(
                address,
                f'/v1/services/{_DESK}/check-in',
                body,
                {'Foxtaildale-Ticket': ticket},
            )
        except (urllib3.exceptions.HTTPError, KeyError):
            self.codes['check-in without an answer'] += 1
            return
        self.desk.add(time.monotonic() - began_at)
        self.codes[f'check-in {answer.status}'] += 1


def _sent(dep: deployment.Deployment, proc: fleet.Proc) -> tuple[float, float]:
    """Returns the messages and bytes that a daemon has sent to others."""
    page = dep.get(proc.addresses['admin'], '/metrics').data.decode()
    found = dict(_SENT.findall(page))
    return float(found.get('s', 0)), float(found.get('_bytes', 0))


def _account(
    dep: deployment.Deployment,
) -> dict[str, tuple[float, float, float, int]]:
    """Returns processor seconds, messages, bytes and KiB by role, summed."""
    result = {}
    for role, procs in (('entry', dep.entries), ('keeper', dep.keepers)):
        sent = [_sent(dep, proc) for proc in procs.values()]
        result[role] = (
            sum(daemons.cpu_s(proc.pid) for proc in procs.values()),
            sum(messages for messages, _ in sent),
            sum(size for _, size in sent),
            sum(daemons.status(p.pid, 'VmRSS') for p in procs.values()),
        )
    return result


def main() -> None:
    """Prints the report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--callers', type=int, default=40)
    parser.add_argument('--crews', type=int, default=4)
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--vms', type=int, default=2)
    args = parser.parse_args()
    vms = tuple(
        deployment.Vm(f'entry-{n}', f'dc-{n % 2}') for n in range(args.vms)
    )
    with (
        tempfile.TemporaryDirectory() as work,
        deployment.Deployment(
            pathlib.Path(work), threads=args.callers + 16
        ) as dep,
    ):
        dep.start(_WORKERS, vms)
        dep.publish(_PRESET)
        dep.wait_in_force(_PRESET.name)
        load = Load(dep)
        before = _account(dep)
        began_at = time.monotonic()
        load.run(args.callers, args.crews, args.seconds)
        took = time.monotonic() - began_at
        after = _account(dep)
    for times in (load.first, load.between, load.desk):
        print(times.line())
    print('requests:', dict(load.codes))
    print(f'tokens: {load.tokens}, {load.tokens / took:.0f} a second')
    for role, (cpu_s, messages, size, kib) in after.items():
        spent = cpu_s - before[role][0]
        print(
            f'{role}: {1e3 * spent / took / args.vms:.0f} ms/s of processor'
            f' each, {1e6 * spent / max(1, load.tokens):.0f} us a token,'
            f' {(messages - before[role][1]) / took / args.vms:.0f} messages/s'
            f' and {(size - before[role][2]) / took / args.vms:.0f} bytes/s'
            f' each, {kib / args.vms:.0f} KiB each'
        )


if __name__ == '__main__':
    main()
