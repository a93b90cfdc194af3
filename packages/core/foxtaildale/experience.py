"""What all entry VMs together learn of plain servers from their answers.

Load answered: two of three servers lose two in five of their answers for some
seconds. Each of many entry VMs sends a request a second, so it would find out by
losing a booking of its own, which may not run again. So each tells the VM that
reads for others how its requests went, and hears how those of all went, within a
second.

Some requests fail wherever they run. A server is therefore held against the best
one of its service, and only what it fails more often counts.
"""

from collections.abc import Mapping
import math
from typing import Final

# Time in which what was seen loses half of its weight, seconds. Faults begin and
# end within seconds.
HALF_S: Final = 1.0
# Requests that must have been seen lately for a rate to mean something.
LEAST: Final = 4.0
# Servers remembered; those that were tried last.
_MOST: Final = 512

# Requests that a server got, and those that it failed.
Seen = tuple[float, float]


class Experience:
    """Requests and failures by server; the time is an argument."""

    __slots__ = ('_news', '_seen')

    def __init__(self) -> None:
        # Seen here and not told yet.
        self._news: dict[str, Seen] = {}
        # Seen by all that tell this VM, with the time as of which; decaying.
        self._seen: dict[str, tuple[float, float, float]] = {}

    def note(self, server: str, *, failed: bool) -> None:
        """Takes how a request of this VM went."""
        tried, lost = self._news.get(server, (0.0, 0.0))
        self._news[server] = tried + 1.0, lost + failed

    def news(self) -> dict[str, Seen]:
        """Returns what was seen here since the last call."""
        found, self._news = self._news, {}
        return found

    def told(self, now: float, news: Mapping[str, Seen]) -> None:
        """Takes what an entry VM saw."""
        for server, (tried, lost) in news.items():
            old_tried, old_lost = self._at(now, server)
            self._seen.pop(server, None)
            self._seen[server] = now, old_tried + tried, old_lost + lost
            if len(self._seen) > _MOST:
                del self._seen[next(iter(self._seen))]

    def rates(self, now: float) -> dict[str, float]:
        """Returns the part of its requests that each server fails.

        Only of those that were tried often enough lately.
        """
        found = {}
        for server in self._seen:
            tried, lost = self._at(now, server)
            if tried >= LEAST:
                found[server] = lost / tried
        return found

    def _at(self, now: float, server: str) -> Seen:
        at, tried, lost = self._seen.get(server, (now, 0.0, 0.0))
        left = math.exp2((at - now) / HALF_S)
        return left * tried, left * lost
