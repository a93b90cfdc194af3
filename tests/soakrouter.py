"""One router of the soak: a process with settings of its own, and relays."""

import http.client
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
from typing import Final

from tests.standins import relay

# Time from a process's start in which the interpreter may not have come to our
# first line yet, seconds: 30 ms on an idle machine, several times that on a busy
# one. Loading the libraries takes half a second after that, and is not excused.
UNBORN_S: Final = 0.15
# Where a port is held while nobody listens on it.
_GUARD_HOST: Final = '127.0.0.2'
BOOT: Final = """
node_name = "vm-{number}"
ip = "127.0.0.1"
zone = "here"
seeds = [{seeds}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[bounds]
drain_ms = 2000
grace_s = 5
retry_budget_ratio = 0.2
budget_slack = 60
[platform]
address = "{store}"
"""


class Ports:
    """Free ports below those that the kernel gives to connections.

    A router is down for a while and takes its ports again; one that the kernel
    chose could be some connection's by then. All of a run are drawn together, and
    each is held at another address of this machine, since a router that is down
    has none that another run's look would find taken.
    """

    def __init__(self, count: int) -> None:
        text = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
        below = int(text.read_text().split()[0])
        self.numbers: list[int] = []
        self._guards: list[socket.socket] = []
        while len(self.numbers) < count:
            port = random.randrange(below - 12_000, below)
            try:
                guard = socket.create_server((_GUARD_HOST, port))
            except OSError:
                continue
            try:
                socket.create_server(('127.0.0.1', port)).close()
            except OSError:
                guard.close()
                continue
            self.numbers.append(port)
            self._guards.append(guard)

    def close(self) -> None:
        """Lets other runs have them."""
        for guard in self._guards:
            guard.close()


class Router:
    """One router process, started again after each end."""

    def __init__(
        self, number: int, folder: pathlib.Path, store: str, ports: list[int]
    ) -> None:
        self.relay = relay.Relay(store)
        self.front, self.ready, self.control, self._metrics = ports
        self.control_relay = relay.Relay(f'127.0.0.1:{self.control}')
        self.file = folder / f'vm-{number}.toml'
        self.number = number
        self.out = (folder / f'vm-{number}.log').open('ab')
        self.process: subprocess.Popen[bytes] | None = None
        # Whether the soak itself ended the process.
        self.ended = False
        # When the process was started, seconds.
        self.started_at = 0.0
        # When it last got a SIGHUP, seconds.
        self.signalled_at = 0.0

    def write(self, seeds: list[str]) -> None:
        """Writes the settings file."""
        quoted = ', '.join(f'"{seed}"' for seed in seeds)
        text = BOOT.format(
            number=self.number,
            seeds=quoted,
            front=self.front,
            ready=self.ready,
            control=self.control,
            store=self.relay.address,
        )
        self.file.write_text(text)

    def start(self) -> None:
        """Starts the process."""
        env = os.environ | {
            'FOXTAILDALE_BOOT': str(self.file),
            'PYTHONPATH': os.pathsep.join(sys.path),
        }
        self.ended = False
        self.started_at = time.monotonic()
        self.process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'foxtaildaled',
                '--metrics-port',
                str(self._metrics),
            ],
            env=env,
            stdout=self.out,
            stderr=subprocess.STDOUT,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if number == signal.SIGHUP:
            self.signalled_at = time.monotonic()
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def start_if_unborn(self) -> None:
        """Starts it again if SIGHUP met the interpreter before our first line.

        No program can handle a signal that comes before it runs; the platform
        starts a process that ended again, and so does this, once.
        """
        process = self.process
        if process is None or process.poll() != -signal.SIGHUP:
            return
        lived_s = self.signalled_at - self.started_at
        if lived_s < UNBORN_S:
            self.start()

    def end(self, number: signal.Signals) -> None:
        """Ends the process and waits for it."""
        self.ended = True
        self.send_signal(number)
        if self.process is not None:
            self.process.wait(10)

    def is_ready(self) -> bool:
        """Asks the process whether it takes callers."""
        try:
            conn = http.client.HTTPConnection('127.0.0.1', self.ready, 1)
            conn.request('GET', '/api/ready')
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
