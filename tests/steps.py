"""Plays a day on the users' bench and tells where time and worth went.

    python -m tests.steps BENCH SITE DAY --why TEXT [--seed N] [--small]

Prints for each kind of route how long each step of a request took, from the
lines of all routers: the median and the 99th percentile, milliseconds, apart
for requests that waited for a place. Then what was lost of a worth of one, by
cause; the parts add up. Then which refusals were made, and what waiters were
told against how long they waited.
"""

import argparse
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
from typing import Any
from typing import Final

from foxtaildale_client import request_trace

Line = dict[str, Any]

# Steps by the line that ends them, in their order.
STEPS: Final = (
    'let in',
    'queued',
    'placed',
    'prefilled',
    'sent',
    'first event',
    'answered',
    'refused',
)


class Requests:
    """The lines of each request, in order."""

    def __init__(self, lines: Iterable[Line]) -> None:
        self.of: dict[str, list[Line]] = collections.defaultdict(list)
        for line in lines:
            if 'request' in line:
                self.of[line['request']].append(line)

    def steps(self) -> Iterator[tuple[str, str, float]]:
        """Yields kind, step and milliseconds of each step of each request."""
        for lines in self.of.values():
            events = {line['event'] for line in lines}
            kind = 'stream' if 'placed' in events else 'plain'
            if 'queued' in events:
                kind = 'waited'
            before = lines[0]['at'] - lines[0]['age_ms'] / 1000
            for line in lines:
                yield kind, line['event'], 1000 * (line['at'] - before)
                before = line['at']

    def waits(self) -> Iterator[tuple[int, float, str]]:
        """Yields the wait that was told, the true one and how it ended."""
        for lines in self.of.values():
            queued = next((x for x in lines if x['event'] == 'queued'), None)
            if queued is None:
                continue
            after = [x for x in lines if x['at'] > queued['at']]
            if after:
                waited_ms = 1000 * (after[0]['at'] - queued['at'])
                yield queued['wait_ms'], waited_ms, after[0]['event']


def play(args: argparse.Namespace) -> tuple[list[Line], dict[str, Any]]:
    """Plays the day; returns the routers' lines and the bench's report."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'report.json')
        words = [args.bench, 'run', args.site, args.day, '--why', args.why]
        words += ['--report', str(path), '--log', 'all']
        words += ['--small'] if args.small else []
        words += ['--seed', str(args.seed)] if args.seed else []
        # What the routers write comes on standard error.
        done = subprocess.run(
            words,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            check=False,
        )
        if not path.exists():
            sys.exit(done.stdout[-400:])
        lines = request_trace.parse(done.stdout.splitlines())
        return lines, json.loads(path.read_text())


def show_steps(found: Requests) -> None:
    """Prints the times of the steps."""
    times: dict[tuple[str, str], list[float]] = collections.defaultdict(list)
    for kind, step, took_ms in found.steps():
        times[kind, step].append(took_ms)
    print(f'{"":8} {"step":12} {"n":>6} {"p50 ms":>8} {"p99 ms":>8}')
    for kind in ('plain', 'stream', 'waited'):
        for step in STEPS:
            seen = sorted(times.get((kind, step), ()))
            if seen:
                p99 = seen[int(0.99 * (len(seen) - 1))]
                middle = statistics.median(seen)
                print(
                    f'{kind:8} {step:12} {len(seen):6} {middle:8.1f} {p99:8.1f}'
                )


def show_lost(report: dict[str, Any]) -> None:
    """Prints what was lost, by cause; it adds up to one less the worth."""
    lost = {name: weight * (1 - got) for name, weight, got in report['parts']}
    lost |= {name: price for name, _, price in report['prices']}
    for name, part in sorted(lost.items(), key=lambda item: -item[1]):
        if part >= 0.0005:
            print(f'{part:8.4f}  {name}')
    print(f'{1 - sum(lost.values()):8.4f}  is left (told {report["G"]})')
    for one in report['classes']:
        print(
            f'{one["name"]:20} n {one["n"]}, in time {one["in_aim"]},'
            f' late {one["late"]}, refused {one["refused"]},'
            f' failed {one["failed"]}, not owed {one["not_owed"]},'
            f' worth {one["worth"]}'
        )


def show_refusals(found: Requests) -> None:
    """Prints refusals by code, and waits told and true."""
    codes = collections.Counter(
        line['code']
        for lines in found.of.values()
        for line in lines
        if line['event'] in ('refused', 'failed')
    )
    print('refused or failed:', dict(codes.most_common()))
    told: dict[str, list[tuple[int, float]]] = collections.defaultdict(list)
    for wait_ms, waited_ms, end in found.waits():
        for most in (250, 500, 1000, 1500, 2500, 10**9):
            if wait_ms <= most:
                told[f'{most:>10}  {end}'].append((wait_ms, waited_ms))
                break
    for name, seen in sorted(told.items()):
        middle = statistics.median(true for _, true in seen)
        print(f'told up to {name:22} n {len(seen):4}, waited {middle:6.0f} ms')


def main() -> None:
    """Plays what the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('bench')
    parser.add_argument('site')
    parser.add_argument('day')
    parser.add_argument('--why', required=True)
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--small', action='store_true')
    parser.add_argument('--keep', help='file that gets the lines')
    args = parser.parse_args()
    lines, report = play(args)
    if args.keep:
        text = '\n'.join(json.dumps(line) for line in lines)
        pathlib.Path(args.keep).write_text(text)
    found = Requests(lines)
    show_steps(found)
    show_lost(report)
    show_refusals(found)


if __name__ == '__main__':
    main()
