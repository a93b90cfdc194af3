"""Starts and stops processes for tests and the demonstration.

A program says where it listens in one JSON line on its standard output, or in
a file of addresses. Every process that was started is ended by its id when the
fleet closes, whatever state it is in.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Final

# Longest wait for a process to say where it listens, seconds.
READY_S: Final = 20.0
_LOOK_S: Final = 0.01
_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent


def until(condition: Callable[[], object], timeout_s: float = READY_S) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: It did not hold in time.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError('the condition did not come to hold')
        time.sleep(_LOOK_S)


class Proc:
    """One process of a fleet."""

    __slots__ = ('_popen', 'addresses', 'name')

    def __init__(self, name: str, popen: subprocess.Popen[bytes]) -> None:
        self.name = name
        self._popen = popen
        # Addresses by name; a stand-in has one, `address`.
        self.addresses: dict[str, str] = {}

    @property
    def address(self) -> str:
        """Where a stand-in listens."""
        return self.addresses['address']

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    def running(self) -> bool:
        """Says whether the process has not ended."""
        return self._popen.poll() is None

    def kill(self) -> None:
        """Ends the process at once, also when it is frozen."""
        self._popen.kill()
        self._popen.wait()

    def freeze(self) -> None:
        """Stops the process; it does not notice, and can be thawed."""
        os.kill(self.pid, signal.SIGSTOP)
        # A thread of it may go on for a moment after the signal was sent.
        stopped = os.WSTOPPED | os.WEXITED | os.WNOWAIT
        os.waitid(os.P_PID, self.pid, stopped)

    def thaw(self) -> None:
        """Lets a frozen process go on."""
        os.kill(self.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to stop gracefully and does not wait."""
        if self.running():
            os.kill(self.pid, signal.SIGTERM)

    def stop(self, timeout_s: float = 30.0) -> int:
        """Asks it to stop gracefully and returns its exit code."""
        self.terminate()
        return self.wait(timeout_s)

    def wait(self, timeout_s: float = 30.0) -> int:
        """Waits for the end and returns the exit code."""
        return self._popen.wait(timeout_s)

    def read_line(self) -> None:
        """Reads the address line of a stand-in."""
        assert self._popen.stdout is not None
        line = self._popen.stdout.readline()
        if not line:
            raise RuntimeError(f'{self.name} ended with {self.wait()}')
        self.addresses = json.loads(line)

    def read_file(self, path: pathlib.Path) -> None:
        """Waits for the file of addresses and reads it."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            with contextlib.suppress(FileNotFoundError, ValueError):
                self.addresses = json.loads(path.read_text())
                return
            if not self.running():
                raise RuntimeError(f'{self.name} ended with {self.wait()}')
            time.sleep(_LOOK_S)
        raise RuntimeError(f'{self.name} is not ready')


class Fleet:
    """All processes of one test; a context manager."""

    __slots__ = ('_log_dir', 'procs')

    def __init__(self, log_dir: pathlib.Path | None = None) -> None:
        # Receives what each process writes; None leaves it on the terminal.
        self._log_dir = log_dir
        self.procs: list[Proc] = []

    def __enter__(self) -> 'Fleet':
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def standin(self, module: str, *args: str, name: str = '') -> Proc:
        """Starts a stand-in and waits until it is ready."""
        return self.module(f'tests.standins.{module}', *args, name=name)

    def module(self, module: str, *args: str, name: str = '') -> Proc:
        """Starts a module that prints its address; waits until it has."""
        proc = self._start(
            name or module,
            [sys.executable, '-m', module, *args],
            subprocess.PIPE,
        )
        proc.read_line()
        return proc

    def daemon(
        self,
        name: str,
        command: Sequence[str],
        address_file: pathlib.Path,
        env: Mapping[str, str] | None = None,
    ) -> Proc:
        """Starts a daemon and waits for its file of addresses."""
        address_file.unlink(missing_ok=True)
        proc = self._start(name, command, None, env)
        proc.read_file(address_file)
        return proc

    def close(self) -> None:
        """Ends every process that still runs."""
        for proc in self.procs:
            if proc.running():
                proc.kill()

    def _start(
        self,
        name: str,
        command: Sequence[str],
        stdout: int | None,
        env: Mapping[str, str] | None = None,
    ) -> Proc:
        full_env = dict(os.environ) | dict(env or {})
        full_env['PYTHONPATH'] = os.pathsep.join(p for p in sys.path if p)
        with contextlib.ExitStack() as stack:
            log = None
            if self._log_dir is not None:
                path = self._log_dir / f'{name}.log'
                log = stack.enter_context(path.open('ab'))
            popen = subprocess.Popen(
                list(command),
                stdout=log if stdout is None else stdout,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=_ROOT,
                env=full_env,
            )
        proc = Proc(name, popen)
        self.procs.append(proc)
        return proc
