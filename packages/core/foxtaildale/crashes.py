"""Which request is to blame for servers that ended.

A request can end each server that begins to run it. All others that ran there are
lost with it, some of them more than once, since their callers try again too. What
tells them apart is that the request to blame began a moment before every one of
these ends, while each other one is missing from some of them or had been running
for long. So the fewest requests are looked for that explain the ends: the one that
explains most is taken first, and the ends that it explains count against nobody
else.

Nothing here does I/O; the time is an argument.
"""

from collections.abc import Collection
from typing import Final

import msgspec

from foxtaildale import messages

# Ends that one request must explain to be blamed.
ENDS: Final = 3.0
# A request that began this long before an end, seconds, is a likely cause; one of
# which that is not known, if it was sent then. Its answer's head may be lost with
# the server, so that nothing tells that it had begun.
SOON_S: Final = 0.5
# How much an end counts against a request that had been there for longer.
_UNLIKELY: Final = 0.5
# Time from the first report of an end until it is judged, seconds: reports of
# other entry VMs may name a likelier cause.
SETTLE_S: Final = 0.5
# How much longer one report may be on its way than another, seconds.
_WAY_S: Final = 0.1
# How long an end counts, seconds.
COUNTS_S: Final = 300.0
# Ends that are remembered, and requests for each of them.
MOST_ENDS: Final = 256
MOST_REQUESTS: Final = 64
# Reports that are passed on at once.
MOST_REPORTS: Final = 256

# One start of a server: its id, and when it started.
_Start = tuple[str, int]


class _End:
    """The end of a server, and what ran there."""

    __slots__ = ('_began_at', 'at', 'ended_at', 'ran')

    def __init__(self, at: float, ended_at: float) -> None:
        # When it was first reported, and when it was, seconds.
        self.at = at
        self.ended_at = ended_at
        # By fingerprint.
        self.ran: dict[int, messages.Crash] = {}
        # When each began there, seconds, by fingerprint.
        self._began_at: dict[int, float] = {}

    def add(self, crash: messages.Crash, broke_at: float) -> None:
        """Adds a request; leaves out what was sent after the end.

        That went on a kept connection, which the end had broken before.
        """
        request = crash.fingerprint
        self.ran[request] = crash
        self._began_at[request] = broke_at - crash.ran_ms / 1000
        self.ended_at = min(self.ended_at, broke_at)
        last = self.ended_at + _WAY_S
        for late in [one for one, at in self._began_at.items() if at > last]:
            self.drop(late)
        if len(self.ran) > MOST_REQUESTS:
            longest = max(self.ran.values(), key=lambda ran: ran.ran_ms)
            self.drop(longest.fingerprint)

    def drop(self, fingerprint: int) -> None:
        """Removes a request; harmless if it is not there."""
        self.ran.pop(fingerprint, None)
        self._began_at.pop(fingerprint, None)

    def reports(self, now: float) -> list[messages.Crash]:
        """Returns what was added and still counts, with its age."""
        found = []
        for fingerprint, crash in self.ran.items():
            began_at = self._began_at[fingerprint]
            age_s = now - began_at - crash.ran_ms / 1000
            if age_s <= COUNTS_S:
                aged = msgspec.structs.replace(crash, age_ms=int(age_s * 1000))
                found.append(aged)
        return found

    def weight(self, fingerprint: int) -> float:
        """Returns how much it counts against a request."""
        found = self.ran.get(fingerprint)
        if found is None:
            return 0.0
        return 1.0 if is_likely(found) else _UNLIKELY


class Crashes:
    """Ends of servers that entry VMs reported."""

    __slots__ = ('_ends',)

    def __init__(self) -> None:
        # Those that were reported first at the front.
        self._ends: dict[_Start, _End] = {}

    def note(self, now: float, crash: messages.Crash) -> None:
        """Takes a request that ran on a server as that ended."""
        start = crash.server, crash.born
        broke_at = now - crash.age_ms / 1000
        end = self._ends.get(start)
        if end is None:
            end = self._ends[start] = _End(now, broke_at)
            if len(self._ends) > MOST_ENDS:
                del self._ends[next(iter(self._ends))]
        end.add(crash, broke_at)

    def acquit(self, fingerprint: int) -> None:
        """Forgets a request that is not to blame."""
        for end in self._ends.values():
            end.drop(fingerprint)

    def blamed(self, now: float, known: Collection[int]) -> list[int]:
        """Returns the fingerprints of requests to blame that are not known.

        Args:
            now: Seconds.
            known: Fingerprints of those that were blamed before.
        """
        self._forget(now)
        open_ends = [
            end
            for end in self._ends.values()
            if now - end.at >= SETTLE_S
            and not any(end.weight(known_one) >= 1.0 for known_one in known)
        ]
        found = []
        while (best := _likeliest(open_ends)) is not None:
            found.append(best)
            open_ends = [end for end in open_ends if best not in end.ran]
        return found

    def pending(self, now: float) -> bool:
        """Whether any end still counts."""
        self._forget(now)
        return bool(self._ends)

    def reports(self, now: float) -> list[messages.Crash]:
        """Returns what was noted and still counts, whoever reported it.

        The newest come last; those that are told are bounded.
        """
        self._forget(now)
        found = [
            crash for end in self._ends.values() for crash in end.reports(now)
        ]
        return found[-MOST_REPORTS:]

    def is_settling(self, now: float) -> bool:
        """Whether an end was reported a moment ago."""
        return any(now - end.at <= 2 * SETTLE_S for end in self._ends.values())

    def _forget(self, now: float) -> None:
        for start, end in list(self._ends.items()):
            if now - end.at <= COUNTS_S:
                break
            del self._ends[start]


def is_likely(crash: messages.Crash) -> bool:
    """Whether a server ended as it began to run a request."""
    return crash.ran_ms <= SOON_S * 1000


def _likeliest(ends: list[_End]) -> int | None:
    """Returns the request that explains most of some ends, if enough."""
    weights: dict[int, float] = {}
    ran_ms: dict[int, int] = {}
    for end in ends:
        for fingerprint, crash in end.ran.items():
            weight = weights.get(fingerprint, 0.0) + end.weight(fingerprint)
            weights[fingerprint] = weight
            ran_ms[fingerprint] = ran_ms.get(fingerprint, 0) + crash.ran_ms
    if not weights:
        return None
    best = max(weights, key=lambda one: (weights[one], -ran_ms[one]))
    return best if weights[best] >= ENDS else None
