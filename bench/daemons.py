"""What the daemons themselves cost at rest, by number of entry VMs.

    python -m bench.daemons [--vms 2 4 8] [--seconds 5] [--poll 0.5]

Starts a keeper and an entry for each entry VM on stand-ins, publishes a
preset, lets everything rest in force, and reads the processes' own accounts
from the kernel. A process that only imports the program is the baseline: what
control adds in memory is what lies above it.

Processor time and memory are of this machine and for people, not for CI.
"""

import argparse
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Final

import msgspec

from tests import demo
from tests import deployment

_PROC: Final = pathlib.Path('/proc')
_TICKS: Final = os.sysconf('SC_CLK_TCK')
# Defaults of the daemons; the tests run with shorter ones.
_TIMES: Final = {
    'heartbeat_s': 1.0,
    'silence_s': 3.0,
    'grace_s': 5.0,
}
# Imports all that the program imports, says so, and waits for its end.
_IMPORTS: Final = (
    'import sys, foxtaildaled.main; print(1, flush=True); sys.stdin.read()'
)


class Cost(msgspec.Struct, frozen=True):
    """Mean of the processes of one role in one deployment."""

    role: str
    entry_vms: int
    # Processor time, milliseconds a second.
    cpu_ms: float
    # Resident memory at the end, and how much it grew in the time, KiB.
    resident_kib: float
    grown_kib: float
    threads: float


def cpu_s(pid: int) -> float:
    """Returns the processor time used, user and system, seconds."""
    text = (_PROC / str(pid) / 'stat').read_text()
    # The name in brackets may hold spaces; what counts comes after it.
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def status(pid: int, field: str) -> int:
    """Returns a figure of the process's status; sizes are in KiB."""
    for line in (_PROC / str(pid) / 'status').read_text().splitlines():
        name, _, rest = line.partition(':')
        if name == field:
            return int(rest.split()[0])
    raise KeyError(field)


def baseline_kib() -> int:
    """Returns the resident memory of a process that only imports."""
    env = dict(os.environ)
    env['PYTHONPATH'] = os.pathsep.join(p for p in sys.path if p)
    with subprocess.Popen(
        [sys.executable, '-c', _IMPORTS],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=env,
    ) as proc:
        assert proc.stdout is not None
        proc.stdout.readline()
        resident = status(proc.pid, 'VmRSS')
        proc.communicate()
    return resident


def measure(entry_vms: int, seconds: float, poll_s: float) -> list[Cost]:
    """Returns what keepers and entries cost at rest.

    Args:
        entry_vms: Entry VMs; each has a keeper and an entry.
        seconds: How long they are looked at.
        poll_s: Time between reads of the log and the VM list.
    """
    vms = tuple(
        deployment.Vm(f'entry-{number}', f'dc-{number % 2}')
        for number in range(entry_vms)
    )
    with (
        tempfile.TemporaryDirectory() as work,
        deployment.Deployment(
            pathlib.Path(work), poll_s=poll_s, **_TIMES
        ) as dep,
    ):
        dep.start(demo.WORKERS, vms)
        dep.publish(demo.PRESET)
        dep.wait_in_force(demo.PRESET.name)
        dep.wait_listed()
        pids = {
            'keeper': [proc.pid for proc in dep.keepers.values()],
            'entry': [proc.pid for proc in dep.entries.values()],
        }
        every = [pid for group in pids.values() for pid in group]
        before = {pid: (cpu_s(pid), status(pid, 'VmRSS')) for pid in every}
        start = time.monotonic()
        time.sleep(seconds)
        took = time.monotonic() - start
        after = {pid: (cpu_s(pid), status(pid, 'VmRSS')) for pid in every}
        threads = {pid: status(pid, 'Threads') for pid in every}
    costs = []
    for role, group in pids.items():
        count = len(group)
        spent_s = sum(after[pid][0] - before[pid][0] for pid in group)
        resident = sum(after[pid][1] for pid in group)
        grown = resident - sum(before[pid][1] for pid in group)
        costs.append(
            Cost(
                role=role,
                entry_vms=entry_vms,
                cpu_ms=1_000 * spent_s / took / count,
                resident_kib=resident / count,
                grown_kib=grown / count,
                threads=sum(threads[pid] for pid in group) / count,
            )
        )
    return costs


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--vms', type=int, nargs='+', default=[2, 4, 8])
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--poll', type=float, default=0.5)
    args = parser.parse_args()
    base = baseline_kib()
    print(f'imports alone: {base} KiB resident')
    print('role    VMs  ms cpu/s  KiB resident  above imports  grown  threads')
    for entry_vms in args.vms:
        for cost in measure(entry_vms, args.seconds, args.poll):
            print(
                f'{cost.role:7} {cost.entry_vms:3} {cost.cpu_ms:9.1f}'
                f' {cost.resident_kib:13.0f}'
                f' {cost.resident_kib - base:14.0f}'
                f' {cost.grown_kib:6.0f} {cost.threads:8.1f}'
            )


if __name__ == '__main__':
    main()
