"""What it costs to start a router, until its first answer to a caller.

    python -m bench.start [--starts 5] [--deps DIR]

Starts the router as the deploy file does, on stand-ins of the store and of a
plain server, and asks until an answer comes. Prints medians of the processor
time of the process up to then, of the wall time, and of a bare interpreter's
processor time; and its memory. With `--deps` the program of an earlier build is
measured. Times are of this machine and for people, not for CI.
"""

import argparse
import http.client
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Final

from bench import daemons
from tests import soakrouter
from tests.standins import keyedstore
from tests.standins import wireworker

_DEPS: Final = pathlib.Path('target/deps')
# Between two asks while it does not answer, seconds.
_POLL_S: Final = 0.005
_START_S: Final = 20.0
_CONFIG: Final = {
    'version': 1,
    'routes': [
        {
            'name': 'read',
            'host': 'h.example',
            'path_prefix': '/read/',
            'kind': 'idempotent',
            'service': 'plain',
            'timeout_ms': 3000,
            'target_latency_ms': 300,
            'priority': 1,
            'max_attempts': 2,
        }
    ],
    'services': [{'name': 'plain'}],
    'limits': {'header_timeout_ms': 1000, 'max_body_bytes': 1000},
}


def bare_s(deps: pathlib.Path) -> float:
    """Returns the processor time of an interpreter that does nothing."""
    code = 'import time; print(time.process_time())'
    found = subprocess.run(
        [sys.executable, '-S', '-c', code],
        capture_output=True,
        check=True,
        env={'PYTHONPATH': str(deps.resolve())},
    )
    return float(found.stdout)


def start(
    deps: pathlib.Path, boot: pathlib.Path, port: int, flags: list[str]
) -> tuple[float, float, int]:
    """Starts a router; returns processor and wall time, s, and memory, KiB."""
    began = time.monotonic()
    with subprocess.Popen(
        [sys.executable, *flags, '-m', 'foxtaildaled'],
        stdout=subprocess.DEVNULL,
        env={
            'PYTHONPATH': str(deps.resolve()),
            'FOXTAILDALE_BOOT': str(boot),
            'PATH': os.environ['PATH'],
        },
    ) as proc:
        try:
            while not _answers(port):
                assert time.monotonic() < began + _START_S, 'it does not answer'
                time.sleep(_POLL_S)
            wall_s = time.monotonic() - began
            resident = daemons.status(proc.pid, 'VmRSS')
            return daemons.cpu_s(proc.pid), wall_s, resident
        finally:
            proc.kill()


def _answers(port: int) -> bool:
    conn = http.client.HTTPConnection('127.0.0.1', port, timeout=2.0)
    headers = {
        'Host': 'h.example',
        'Foxtaildale-Attempt-Id': 'a',
        'Foxtaildale-Deadline-Ms': '2000',
    }
    try:
        conn.request('POST', '/read/1', b'x', headers)
        return conn.getresponse().status == 200
    except OSError:
        return False
    finally:
        conn.close()


def main() -> None:
    """Prints the medians."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--starts', type=int, default=5)
    parser.add_argument('--deps', type=pathlib.Path, default=_DEPS)
    parser.add_argument('--flags', nargs='*', default=['S'])
    args = parser.parse_args()
    store = keyedstore.KeyedStore()
    worker = wireworker.WireWorker('w', 'plain')
    store.put('keyed.servers', 'w', worker.entry())
    store.put('keyed.op', 'config', _CONFIG)
    ports = soakrouter.Ports(3)
    front, ready, control = ports.numbers
    with tempfile.TemporaryDirectory() as work:
        boot = pathlib.Path(work) / 'boot.toml'
        boot.write_text(
            soakrouter.BOOT.format(
                number=1,
                seeds='',
                front=front,
                ready=ready,
                control=control,
                store=store.address,
            )
        )
        flags = [f'-{flag}' for flag in args.flags]
        found = [
            start(args.deps, boot, front, flags) for _ in range(args.starts)
        ]
    ports.close()
    bare = statistics.median(bare_s(args.deps) for _ in range(args.starts))
    cpu_s, wall_s, resident = (
        statistics.median(values) for values in zip(*found, strict=True)
    )
    print(f'bare interpreter {bare:.3f} s of processor time')
    print(f'first answer after {cpu_s:.3f} s of it, {cpu_s - bare:.3f} above')
    print(f'{wall_s:.3f} s on the clock; {resident / 1024:.1f} MB resident')
    worker.close()
    store.close()


if __name__ == '__main__':
    main()
