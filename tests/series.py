"""Plays a series of days on the users' bench and adds up what was lost.

    python -m tests.series BENCH SITE --why TEXT [--seeds 0 1 2] [DAY ...]

Figures of one day differ from play to play, so that a change is judged by the
same days and seeds before and after it. Prints for each day the parts of its
worth, then the mean with its standard error, and prices by cause. Seed 0 stands
for the day's own one.
"""

import argparse
import collections
from collections.abc import Sequence
from concurrent import futures
import json
import pathlib
import statistics
import subprocess
import sys
import tempfile
from typing import Any
from typing import Final

# The standard days with trouble.
DAYS: Final = ('trouble-1', 'scale-1', 'trouble-2', 'scale-2', 'trouble-3')
# Days played at once; more than the cores of a machine distort the time that
# is charged for processes.
JOBS: Final = 6
# Prices of less worth than this are not shown.
SHOWN: Final = 0.002


class Play:
    """One played day."""

    __slots__ = ('day', 'report', 'seed')

    def __init__(self, day: str, seed: int, report: dict[str, Any]) -> None:
        self.day = day
        self.seed = seed
        # As the bench writes it.
        self.report = report

    @property
    def worth(self) -> float:
        """Returns the worth, in parts of all that could be earned."""
        return float(self.report['G'])

    def line(self) -> str:
        """Returns the day on one line."""
        parts = [f'{part[2]:.3f}' for part in self.report['parts']]
        prices = sum(price[2] for price in self.report['prices'])
        broken = ' '.join(self.report['breaks'])
        return (
            f'{self.day:12} {self.seed:15} {self.worth:7.3f}'
            f'  {" ".join(parts)}  {prices:6.3f}'
            f'  {self.report["refused"]:.3f} {self.report["failed"]:.3f}'
            f'  {self.report["fault"] or ""} {broken}'
        )


def play(
    bench: str, site: str, day: str, seed: int, why: str, *, small: bool = False
) -> Play | None:
    """Plays a day; None if it could not be played."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'report.json')
        args = [bench, 'run', site, day, '--why', why, '--report', str(path)]
        if small:
            args.append('--small')
        if seed:
            args += ['--seed', str(seed)]
        done = subprocess.run(args, capture_output=True, text=True, check=False)
        if not path.exists():
            print(f'{day} {seed}: {done.stdout[-400:]}', file=sys.stderr)
            return None
        return Play(day, seed, json.loads(path.read_text()))


def summary(plays: Sequence[Play]) -> str:
    """Returns mean worth, spread and what was paid for."""
    worths = [found.worth for found in plays]
    error = statistics.stdev(worths) / len(worths) ** 0.5 if worths[1:] else 0.0
    paid: dict[str, float] = collections.defaultdict(float)
    for found in plays:
        for name, _, price in found.report['prices']:
            paid[name] += price / len(plays)
    lines = [f'mean {statistics.mean(worths):.4f} +- {error:.4f}, {len(plays)}']
    for name, price in sorted(paid.items(), key=lambda item: -abs(item[1])):
        if abs(price) >= SHOWN:
            lines.append(f'  {price:7.4f}  {name}')
    return '\n'.join(lines)


def main() -> None:
    """Plays what the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('bench')
    parser.add_argument('site')
    parser.add_argument('days', nargs='*', default=DAYS)
    parser.add_argument('--why', required=True)
    parser.add_argument('--seeds', nargs='+', type=int, default=[0])
    parser.add_argument('--small', action='store_true')
    parser.add_argument('--jobs', type=int, default=JOBS)
    args = parser.parse_args()
    wanted = [(day, seed) for seed in args.seeds for day in args.days]
    with futures.ThreadPoolExecutor(args.jobs) as pool:
        found = pool.map(
            lambda one: play(
                args.bench,
                args.site,
                one[0],
                one[1],
                args.why,
                small=args.small,
            ),
            wanted,
        )
        plays = [one for one in found if one is not None]
    print('day, seed, worth: whole day, worst windows, worst class, prices;')
    print('refused, failed, broken rules')
    for one in plays:
        print(one.line())
    if plays:
        print(summary(plays))


if __name__ == '__main__':
    main()
