"""Signals that reach a process at any moment of its life."""

import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Final

import pytest

from tests import soakrouter

_PROCESSES: Final = 12
_ENDS_S: Final = 10.0
# Looks for signals without a pause, so that each one finds it at work.
_WAITING: Final = """
from foxtaildaled import process
process.SIGNAL_POLL_S = 0.0
signals = process.Signals()
print('waiting', flush=True)
signals.wait_for_stop()
"""
# A daemon that gets SIGTERM while it starts to serve.
_STARTING: Final = """
import pathlib
import signal
import sys
import types
from foxtaildaled import main, router_daemon, start, wiring

def begin():
    signal.raise_signal(signal.SIGTERM)

def make(*_):
    return types.SimpleNamespace(
        start=begin, stop=lambda: print('stopped', flush=True))

router_daemon.RouterDaemon = wiring.make_daemon = make
sys.exit(main.run(*map(pathlib.Path, sys.argv[1:])))
"""
_EXAMPLES: Final = pathlib.Path(__file__).parent.parent / 'examples/eisbrecher'


def _environment(**more: str) -> dict[str, str]:
    return os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)} | more


def test_no_stop_signal_is_lost_to_a_lock() -> None:
    """Guards against a handler that waits for what its own thread holds."""
    processes = [
        subprocess.Popen(
            [sys.executable, '-c', _WAITING],
            env=_environment(),
            stdout=subprocess.PIPE,
        )
        for _ in range(_PROCESSES)
    ]
    try:
        for process in processes:
            assert process.stdout is not None
            process.stdout.readline()
        time.sleep(0.1)
        for process in processes:
            process.send_signal(signal.SIGTERM)
        assert [process.wait(_ENDS_S) for process in processes] == [
            0
        ] * _PROCESSES
    finally:
        for process in processes:
            process.kill()
            process.wait()
            assert process.stdout is not None
            process.stdout.close()


@pytest.mark.parametrize('role', ['router', 'entry', 'keeper'])
def test_a_stop_signal_during_the_start_is_graceful(
    tmp_path: pathlib.Path, role: str
) -> None:
    """Guards against requests cut by a SIGTERM as the process begins to serve."""
    boot = tmp_path / 'boot.toml'
    boot.write_text(
        soakrouter.BOOT.format(
            number=1,
            seeds='',
            front=1,
            ready=1,
            control=1,
            store='127.0.0.1:1',
        )
    )
    args = []
    if role != 'router':
        args = [str(_EXAMPLES / f'vm-halle-nord-1-{role}.json5')]
    found = subprocess.run(
        [sys.executable, '-c', _STARTING, *args],
        capture_output=True,
        text=True,
        check=False,
        env=_environment(FOXTAILDALE_BOOT=str(boot)),
    )
    assert found.returncode == 0, found.stderr
    assert found.stdout == 'stopped\n'
