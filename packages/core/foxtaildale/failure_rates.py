"""Failure rates of plain servers, as learned by all entry VMs together.

They are made for a fault in which two of three servers lose two in five of
their responses for some seconds. Each of many entry VMs sends one request a
second, so alone it would detect the fault only by losing a request that must
not run again. Each VM therefore reports the outcomes of its requests to the VM
that reads the store for others, and gets the outcomes of all VMs within a
second.

Some requests fail on every server. The failure rate of a server is therefore
compared with that of the best server of its service, and only the excess
counts.
"""

from collections.abc import Mapping
import math
from typing import Final

# Time in which an outcome loses half of its weight, seconds. Faults begin and
# end within seconds.
HALF_LIFE_S: Final = 1.0
# Minimum number of recent requests, by weight, for a meaningful rate.
MIN_RECENT_REQUESTS: Final = 4.0
# Maximum number of remembered servers; those reported longest ago are dropped.
_MAX_SERVERS: Final = 512

# Number of requests that a server got, and of those that failed.
Counts = tuple[float, float]


class FailureRates:
    """Requests and failures by server; the time is an argument."""

    __slots__ = ('_totals', '_unsent')

    def __init__(self) -> None:
        # Outcomes of this VM's requests that are not yet reported.
        self._unsent: dict[str, Counts] = {}
        # Time of the last update, requests and failures, as reported to this VM
        # by all entry VMs; the counts decay.
        self._totals: dict[str, tuple[float, float, float]] = {}

    def record(self, server: str, *, failed: bool) -> None:
        """Records the outcome of a request of this VM."""
        requests, failures = self._unsent.get(server, (0.0, 0.0))
        self._unsent[server] = requests + 1.0, failures + failed

    def take_unsent(self) -> dict[str, Counts]:
        """Returns the outcomes of this VM's requests since the last call."""
        unsent, self._unsent = self._unsent, {}
        return unsent

    def merge(self, now: float, reported: Mapping[str, Counts]) -> None:
        """Adds the outcomes that an entry VM reports."""
        for server, (requests, failures) in reported.items():
            old_requests, old_failures = self._decayed(now, server)
            self._totals.pop(server, None)
            self._totals[server] = (
                now,
                old_requests + requests,
                old_failures + failures,
            )
            if len(self._totals) > _MAX_SERVERS:
                del self._totals[next(iter(self._totals))]

    def rates(self, now: float) -> dict[str, float]:
        """Returns the failure rates of servers with enough recent requests."""
        rates = {}
        for server in self._totals:
            requests, failures = self._decayed(now, server)
            if requests >= MIN_RECENT_REQUESTS:
                rates[server] = failures / requests
        return rates

    def _decayed(self, now: float, server: str) -> Counts:
        updated_at, requests, failures = self._totals.get(
            server, (now, 0.0, 0.0)
        )
        weight = math.exp2((updated_at - now) / HALF_LIFE_S)
        return weight * requests, weight * failures
