"""How long an accepted preset takes to be in force at every entry.

    python -m bench.inforce [--vms 2 4 8] [--switches 10]

Real daemons with their default times on stand-ins. Each switch is one append;
the time runs from its answer until every entry works by it, first with the
log up for all, then with it cut off from all keepers but one, so that the
others learn from that one's beats.

Wall-clock figures of a shared machine: for people, not for CI.
"""

import argparse
import pathlib
import tempfile
import time

import msgspec

from tests import demo
from tests import deployment


def _switch_s(dep: deployment.Deployment, name: str) -> float:
    """Returns the seconds that one switch takes."""
    preset = msgspec.structs.replace(demo.PRESET, name=name)
    dep.publish(preset)
    began_at = time.monotonic()
    dep.wait_in_force(name)
    return time.monotonic() - began_at


def measure(entry_vms: int, switches: int, *, cut: bool) -> list[float]:
    """Returns the seconds of each switch, shortest first."""
    vms = tuple(
        deployment.Vm(f'entry-{number}', f'dc-{number % 2}')
        for number in range(entry_vms)
    )
    names = tuple(vm.name for vm in vms[1:])
    times = {'heartbeat_s': 1.0, 'silence_s': 3.0, 'poll_s': 0.5}
    with (
        tempfile.TemporaryDirectory() as work,
        deployment.Deployment(pathlib.Path(work), **times) as dep,
    ):
        dep.start(demo.WORKERS, vms, relayed=names)
        dep.publish(demo.PRESET)
        dep.wait_in_force(demo.PRESET.name)
        dep.wait_listed()
        if cut:
            for name in names:
                dep.platform_relays[name].cut()
        return sorted(
            _switch_s(dep, f'preset-{number}') for number in range(switches)
        )


def main() -> None:
    """Prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--vms', type=int, nargs='+', default=[2, 4, 8])
    parser.add_argument('--switches', type=int, default=10)
    args = parser.parse_args()
    for entry_vms in args.vms:
        for cut in (False, True):
            found = measure(entry_vms, args.switches, cut=cut)
            print(
                f'{entry_vms} VMs, log {"up for one" if cut else "up"}:'
                f' median {found[len(found) // 2]:.2f} s,'
                f' longest {found[-1]:.2f} s of {len(found)}'
            )


if __name__ == '__main__':
    main()
