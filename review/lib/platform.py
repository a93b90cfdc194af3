"""What the platform does to processes that use too much memory."""

import contextlib
import os
import pathlib
import threading
import time

from lib import record
from lib import routers as processes

# Time between two looks at the memory, seconds.
_WATCH_S = 0.02
# State of a listening socket in the kernel's table.
_LISTEN = '0A'
# Pause before a process is started again, seconds.
_RESTART_S = 0.5


class MemoryWatch:
    """Kills a router that uses too much memory and starts it again."""

    def __init__(
        self,
        routers: processes.Routers,
        notes: record.Record,
        memory_mb: int,
    ) -> None:
        self._routers = routers
        self._notes = notes
        self._memory_mb = memory_mb
        self._ended = threading.Event()
        self.peak_mb = 0.0
        # The largest part of it that had been received and not read.
        self.peak_unread_mb = 0.0
        # Number of kills of each router.
        self.kills = [0] * len(routers.ips)
        self._threads = [
            threading.Thread(target=self._watch, args=(number,), daemon=True)
            for number in range(len(routers.ips))
        ]
        for thread in self._threads:
            thread.start()

    def total_kills(self) -> int:
        """Returns how often any router was killed."""
        return sum(self.kills)

    def close(self) -> None:
        """Ends the watch."""
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _watch(self, number: int) -> None:
        while not self._ended.wait(_WATCH_S):
            unread_mb = _unread_mb(self._routers.pid(number))
            used_mb = _memory_mb(self._routers.pid(number)) + unread_mb
            self.peak_unread_mb = max(self.peak_unread_mb, unread_mb)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb <= self._memory_mb:
                continue
            self.kills[number] += 1
            self._notes.note(
                'over its memory', router=number, used_mb=round(used_mb)
            )
            self._routers.kill(number)
            time.sleep(_RESTART_S)
            self._routers.start(number, first=False)


def _unread_mb(pid: int) -> float:
    """Returns the bytes that a process has received and not read, MB.

    The page says that they count toward the memory limit.
    """
    inodes = set()
    folder = f'/proc/{pid}/fd'
    try:
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                target = os.readlink(f'{folder}/{name}')
                if target.startswith('socket:['):
                    inodes.add(target[8:-1])
    except OSError:
        return 0.0
    size = 0
    table = pathlib.Path('/proc/net/tcp').read_text(encoding='ascii')
    for line in table.splitlines()[1:]:
        fields = line.split()
        # Of a listening socket it is the number of new connections.
        if fields[9] in inodes and fields[3] != _LISTEN:
            size += int(fields[4].partition(':')[2], 16)
    return size / 1024 / 1024


def _memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, MB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0
