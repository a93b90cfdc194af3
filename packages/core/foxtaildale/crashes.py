"""Which requests caused crashes of backend servers.

A request can crash each server that begins to run it. All other requests that
ran there are lost with the server, some of them more than once, since their
callers retry too. The request at fault is recognised as follows: it began a
moment before every one of these crashes, while each other request is missing
from some of the crashes or had been running for long. So the smallest set of
requests that explains the crashes is searched for. The request that explains
the most crashes is taken first, and the crashes that it explains do not count
against any other request. Parts of prompts that different requests share are
examined before whole requests (`part_blame`).

This module does no I/O; the time is an argument.
"""

from collections.abc import Collection
from typing import Final

import msgspec

from foxtaildale import messages
from foxtaildale import part_blame

# Total weight of the crashes that one request must explain to be blamed.
BLAME_WEIGHT: Final = 3.0
# A request that began at most this long before a crash, seconds, is a likely
# cause. If it is unknown when the request began, the time at which it was sent
# counts: the head of its response, which shows that it had begun, may be lost
# in the crash.
LIKELY_CAUSE_S: Final = 0.5
# Weight of a crash for a request that had been running for longer.
_UNLIKELY_WEIGHT: Final = 0.5
# Time from the first report of a crash until it is evaluated, seconds: reports
# of other entry VMs may contain a likelier cause.
SETTLE_S: Final = 0.5
# Maximum difference between the network delays of two reports, seconds.
_DELAY_SPREAD_S: Final = 0.1
# How long a crash counts, seconds.
CRASH_TTL_S: Final = 300.0
# Maximum number of crashes remembered, and of requests for each of them.
MAX_CRASHES: Final = 256
MAX_REQUESTS: Final = 64
# Maximum number of crashes that are searched for parts of prompts and that VMs are
# queried about; the newest ones.
MAX_EXAMINED: Final = 64
# Maximum number of reports that are passed on at once.
MAX_REPORTS: Final = 256

# Minimum time between two crashes of one listed incarnation, seconds: the server has
# restarted, and its new entry is not read yet.
MIN_CRASH_INTERVAL_S: Final = 0.3
# Maximum delay of a report that is passed on, seconds.
_COPY_DELAY_S: Final = 0.5

# One incarnation of a server: its id, and when it started, Unix milliseconds.
_Incarnation = tuple[str, int]
# A crash of an incarnation, and its number among those that the list does not tell
# from each other.
_Key = tuple[str, int, int]


class _ServerCrash:
    """The crash of one incarnation of a server, and what ran there."""

    __slots__ = (
        '_began_at',
        'happened_at',
        'is_proven',
        'reported_at',
        'requests',
    )

    def __init__(self, reported_at: float, happened_at: float) -> None:
        # When the crash was first reported, and when it happened, seconds.
        self.reported_at = reported_at
        self.happened_at = happened_at
        # Whether the list named a later incarnation of the server.
        self.is_proven = False
        # Reports of the requests that ran there, by fingerprint.
        self.requests: dict[int, messages.Crash] = {}
        # When each request began there, seconds, by fingerprint.
        self._began_at: dict[int, float] = {}

    def add(self, crash: messages.Crash, crashed_at: float) -> None:
        """Adds a request, and removes requests that were sent after the crash.

        Such a request was sent on a kept-alive connection that the crash had
        already broken.
        """
        request = crash.fingerprint
        began_at = crashed_at - crash.ran_ms / 1000
        known = self.requests.get(request)
        if known is not None and known.ran_ms == crash.ran_ms:
            # A copy that was passed on; its delay makes it look later.
            began_at = min(began_at, self._began_at[request])
        self.requests[request] = crash
        self._began_at[request] = began_at
        if crash.is_proven:
            self.is_proven = True
        else:
            self.happened_at = min(self.happened_at, crashed_at)
        last = self.happened_at + _DELAY_SPREAD_S
        for late_request in [
            one for one, at in self._began_at.items() if at > last
        ]:
            self.drop(late_request)
        if len(self.requests) > MAX_REQUESTS:
            longest = max(self.requests.values(), key=lambda ran: ran.ran_ms)
            self.drop(longest.fingerprint)

    def precedes(self, crash: messages.Crash, crashed_at: float) -> bool:
        """Whether a report is about a later crash, after a restart.

        A request that was sent after the crash and ended soon was sent on a
        kept-alive connection that the crash had already broken.

        Args:
            crash: The report.
            crashed_at: When the reported crash happened, seconds.
        """
        began_at = crashed_at - crash.ran_ms / 1000
        known = self.requests.get(crash.fingerprint)
        is_copy = (
            known is not None
            and known.ran_ms == crash.ran_ms
            and crashed_at <= self.happened_at + _COPY_DELAY_S
        )
        return (
            not is_copy
            and began_at > self.happened_at + _DELAY_SPREAD_S
            and crashed_at > self.happened_at + MIN_CRASH_INTERVAL_S
        )

    def drop(self, fingerprint: int) -> None:
        """Removes a request; does nothing if it is not present."""
        self.requests.pop(fingerprint, None)
        self._began_at.pop(fingerprint, None)

    def reports(self, now: float) -> list[messages.Crash]:
        """Returns the reports that still count, with their current age."""
        current = []
        for fingerprint, crash in self.requests.items():
            began_at = self._began_at[fingerprint]
            age_s = now - began_at - crash.ran_ms / 1000
            if age_s <= CRASH_TTL_S:
                report = msgspec.structs.replace(
                    crash, age_ms=int(age_s * 1000)
                )
                current.append(report)
        return current

    def weight(self, fingerprint: int) -> float:
        """Returns the weight of this crash for a request."""
        crash = self.requests.get(fingerprint)
        if crash is None:
            return 0.0
        return 1.0 if is_likely_cause(crash) else _UNLIKELY_WEIGHT

    def is_explained(
        self,
        blamed_requests: Collection[int],
        blamed_sets: Collection[frozenset[int]],
    ) -> bool:
        """Whether what was blamed before explains this crash."""
        return any(
            self.weight(request) >= 1.0 for request in blamed_requests
        ) or any(
            parts.issubset(crash.parts)
            for parts in blamed_sets
            for crash in self.requests.values()
        )

    def suspects(self) -> list[part_blame.Suspect]:
        """Returns the requests that ran there, with their weights."""
        return [
            part_blame.Suspect(crash, self.weight(request))
            for request, crash in self.requests.items()
        ]


class Crashes:
    """Crashes of servers that entry VMs reported."""

    __slots__ = ('_crashes', '_numbers')

    def __init__(self) -> None:
        # The crashes that were reported first are at the front.
        self._crashes: dict[_Key, _ServerCrash] = {}
        # Number of the newest crash of each incarnation.
        self._numbers: dict[_Incarnation, int] = {}

    def record(self, now: float, crash: messages.Crash) -> None:
        """Records a request that ran on a server when the server crashed."""
        incarnation = crash.server, crash.started_at
        crashed_at = now - crash.age_ms / 1000
        number = self._find_number(incarnation, crash, crashed_at)
        key = (*incarnation, number)
        server_crash = self._crashes.get(key)
        if server_crash is None:
            server_crash = self._crashes[key] = _ServerCrash(now, crashed_at)
            self._numbers[incarnation] = number
            if len(self._crashes) > MAX_CRASHES:
                self._remove(next(iter(self._crashes)))
        server_crash.add(crash, crashed_at)

    def _find_number(
        self, incarnation: _Incarnation, crash: messages.Crash, at: float
    ) -> int:
        """Returns the number of the crash that a report is about."""
        newest = self._numbers.get(incarnation)
        if newest is None:
            return 0
        for number in range(newest + 1):
            known = self._crashes.get((*incarnation, number))
            if known is not None and not known.precedes(crash, at):
                return number
        return newest + 1

    def remove_request(self, fingerprint: int) -> None:
        """Removes a request that is not at fault."""
        for server_crash in self._crashes.values():
            server_crash.drop(fingerprint)

    def crashed_servers(self, now: float) -> tuple[messages.CrashedServer, ...]:
        """Returns the servers whose crashes may be decided on.

        The newest come last. At most `MAX_EXAMINED` are returned.
        """
        settled = [
            messages.CrashedServer(
                server=server,
                started_at=started_at,
                age_ms=int((now - server_crash.happened_at) * 1000),
                number=number,
            )
            for (
                server,
                started_at,
                number,
            ), server_crash in self._crashes.items()
            if now - server_crash.reported_at >= SETTLE_S
            and not server_crash.is_proven
        ]
        return tuple(settled[-MAX_EXAMINED:])

    def remove_servers(
        self, refuted: Collection[messages.CrashedServer]
    ) -> None:
        """Removes the crashes of servers that did not crash."""
        for one in refuted:
            self._crashes.pop((one.server, one.started_at, one.number), None)
        self._drop_numbers()

    def suspected_parts(
        self,
        now: float,
        already_blamed: Collection[int],
        blamed_sets: Collection[frozenset[int]],
        cleared: Collection[int],
    ) -> part_blame.PartSet | None:
        """Returns parts of prompts that explain crashes, if any do.

        Args:
            now: Seconds.
            already_blamed: Fingerprints of requests that were blamed before.
            blamed_sets: Sets of parts that were blamed before.
            cleared: Fingerprints of parts that completed.
        """
        self._expire(now)
        settled = [
            server_crash
            for server_crash in self._crashes.values()
            if now - server_crash.reported_at >= SETTLE_S
        ]
        crashes = [
            (
                server_crash.suspects(),
                not server_crash.is_explained(already_blamed, blamed_sets),
            )
            for server_crash in settled[-MAX_EXAMINED:]
        ]
        if not any(is_open for _, is_open in crashes):
            return None
        return part_blame.find(crashes, cleared)

    def newly_blamed(
        self,
        now: float,
        already_blamed: Collection[int],
        blamed_sets: Collection[frozenset[int]] = (),
    ) -> list[int]:
        """Returns the fingerprints of requests that are newly blamed.

        Args:
            now: Seconds.
            already_blamed: Fingerprints of requests that were blamed before.
            blamed_sets: Sets of parts that were blamed before.
        """
        self._expire(now)
        open_crashes = [
            server_crash
            for server_crash in self._crashes.values()
            if now - server_crash.reported_at >= SETTLE_S
            and not server_crash.is_explained(already_blamed, blamed_sets)
        ]
        blamed = []
        while (best := _likeliest(open_crashes)) is not None:
            if best not in already_blamed:
                blamed.append(best)
            open_crashes = [
                server_crash
                for server_crash in open_crashes
                if best not in server_crash.requests
            ]
        return blamed

    def has_crashes(self, now: float) -> bool:
        """Whether any crash still counts."""
        self._expire(now)
        return bool(self._crashes)

    def reports(self, now: float) -> list[messages.Crash]:
        """Returns the recorded reports that still count, from all entry VMs.

        The newest come last. At most `MAX_REPORTS` are returned.
        """
        self._expire(now)
        current = [
            crash
            for server_crash in self._crashes.values()
            for crash in server_crash.reports(now)
        ]
        return current[-MAX_REPORTS:]

    def is_settling(self, now: float) -> bool:
        """Whether a crash was reported recently."""
        return any(
            now - server_crash.reported_at <= 2 * SETTLE_S
            for server_crash in self._crashes.values()
        )

    def _expire(self, now: float) -> None:
        for key, server_crash in list(self._crashes.items()):
            if now - server_crash.reported_at <= CRASH_TTL_S:
                break
            self._remove(key)

    def _remove(self, key: _Key) -> None:
        del self._crashes[key]
        self._drop_numbers()

    def _drop_numbers(self) -> None:
        """Drops the numbers of incarnations without a crash."""
        left = {(server, started_at) for server, started_at, _ in self._crashes}
        self._numbers = {
            incarnation: number
            for incarnation, number in self._numbers.items()
            if incarnation in left
        }


def is_likely_cause(crash: messages.Crash) -> bool:
    """Whether a server crashed just after it began to run a request."""
    return crash.ran_ms <= LIKELY_CAUSE_S * 1000


def _likeliest(server_crashes: list[_ServerCrash]) -> int | None:
    """Returns the request that explains the most crashes, if it is to blame."""
    weights: dict[int, float] = {}
    ran_ms: dict[int, int] = {}
    for server_crash in server_crashes:
        for fingerprint, crash in server_crash.requests.items():
            weight = weights.get(fingerprint, 0.0) + server_crash.weight(
                fingerprint
            )
            weights[fingerprint] = weight
            ran_ms[fingerprint] = ran_ms.get(fingerprint, 0) + crash.ran_ms
    if not weights:
        return None
    best = max(weights, key=lambda one: (weights[one], -ran_ms[one]))
    return best if weights[best] >= BLAME_WEIGHT else None
