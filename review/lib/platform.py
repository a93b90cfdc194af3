"""What the platform does to processes that use too much memory."""

import pathlib
import threading
import time

from lib import record
from lib import routers as processes

# Time between two looks at the memory, seconds.
_WATCH_S = 0.02
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
            used_mb = _memory_mb(self._routers.pid(number))
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


def _memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, MB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0
