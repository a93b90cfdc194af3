"""Signals of a daemon, in a process of its own."""

import os
import pathlib
import signal
import subprocess
import sys
import time

_PROGRAM = """
import sys
from foxtaildaled import process
process.RELOAD_INTERVAL_S = float(sys.argv[1])
process.SIGNAL_POLL_S = 0.02
print('up', flush=True)
process.Signals().wait_for_stop(lambda: print('again', flush=True))
print('down', flush=True)
"""


def _start(reload_s: float) -> subprocess.Popen[str]:
    path = os.pathsep.join(sys.path)
    found = subprocess.Popen(
        [sys.executable, '-c', _PROGRAM, str(reload_s)],
        stdout=subprocess.PIPE,
        text=True,
        env=os.environ | {'PYTHONPATH': path},
        cwd=pathlib.Path(__file__).parent.parent,
    )
    assert found.stdout is not None
    assert found.stdout.readline() == 'up\n'
    # The signals' handlers are set right after.
    time.sleep(0.3)
    return found


def test_a_changed_settings_file_ends_nobody() -> None:
    """The platform changes the settings and sends SIGHUP.

    Its default ends the process; callers see their requests cut.
    """
    running = _start(60.0)
    assert running.stdout is not None
    running.send_signal(signal.SIGHUP)
    assert running.stdout.readline() == 'again\n'
    running.send_signal(signal.SIGTERM)
    assert running.stdout.read() == 'down\n'
    assert running.wait(5) == 0


def test_settings_that_change_without_a_signal_are_read() -> None:
    running = _start(0.1)
    assert running.stdout is not None
    assert running.stdout.readline() == 'again\n'
    running.send_signal(signal.SIGTERM)
    assert running.wait(5) == 0


def test_a_signal_during_the_start_ends_nobody() -> None:
    """Settings change just as a killed process is started again.

    Loading its libraries takes half a second; ended in that time, it would be
    started once more and callers be without this VM for as long again.
    """
    program = (
        'import signal, sys\n'
        'from foxtaildaled import __main__ as first\n'
        'def look(name, *rest):\n'
        '    if name == "foxtaildaled.start":\n'
        '        print(signal.getsignal(signal.SIGHUP).name, flush=True)\n'
        '        print("zmq" in sys.modules, flush=True)\n'
        '        sys.exit(0)\n'
        'class Finder:\n'
        '    find_spec = staticmethod(look)\n'
        'sys.meta_path.insert(0, Finder)\n'
        'first.main()\n'
    )
    path = os.pathsep.join(sys.path)
    found = subprocess.run(
        [sys.executable, '-c', program],
        capture_output=True,
        text=True,
        check=False,
        env=os.environ | {'PYTHONPATH': path},
    )
    assert found.stdout == 'SIG_IGN\nFalse\n', found.stderr
