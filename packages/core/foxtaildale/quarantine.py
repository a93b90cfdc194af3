"""Requests that are sent to no server for a limited time.

A single request is quarantined, or all requests whose prompts have all parts of
a set. Only fingerprints are stored (`fingerprint`). Every entry VM has all of
them, so that it can refuse a request without a request to another VM. A request
that ran to completion at some entry VM is cleared: it crashes no server,
whatever it was blamed for. VMs report the remaining time to each other, since
their clocks differ.

This module does no I/O; the time is an argument.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import types
from typing import Final

import msgspec

from foxtaildale import fingerprint

# How long a request is quarantined, and how long a cleared one can't be,
# seconds.
QUARANTINE_S: Final = 900.0
# Maximum number of quarantined and of cleared requests remembered; those that
# expire first are removed first.
MAX_REQUESTS: Final = 256
# A repeated report extends an expiry only if it does so by more than this, and
# a report with less than this left is ignored, seconds: otherwise the network
# delay between two VMs would extend the expiry with each report.
_SLACK_S: Final = 5.0


class _ExpiringSet:
    """Fingerprints with expiry times."""

    __slots__ = ('until',)

    def __init__(self) -> None:
        # Expiry by fingerprint, seconds. The dict is replaced and never
        # modified, so that any thread may read it.
        self.until: dict[int, float] = {}

    def add(self, now: float, fingerprint: int, left_s: float) -> bool:
        """Adds a fingerprint; returns whether it was not present."""
        expiry = self.until.get(fingerprint, now)
        if expiry > now and now + left_s <= expiry + _SLACK_S:
            return False
        until = {key: at for key, at in self.until.items() if at > now}
        until[fingerprint] = now + left_s
        while len(until) > MAX_REQUESTS:
            del until[min(until, key=until.__getitem__)]
        self.until = until
        return expiry <= now

    def drop(self, fingerprint: int) -> None:
        """Removes a fingerprint; does nothing if it is not present."""
        if fingerprint in self.until:
            self.until = {
                key: at for key, at in self.until.items() if key != fingerprint
            }

    def left(self, now: float) -> dict[int, float]:
        """Returns the remaining time of each fingerprint, seconds."""
        return {key: at - now for key, at in self.until.items() if at > now}


class Entry(msgspec.Struct, frozen=True):
    """What of the quarantine a request matches."""

    # Fingerprint of the quarantined request or set of parts.
    fingerprint: int
    # Remaining time, seconds.
    left_s: float

    def figures(self) -> dict[str, float | str]:
        """Returns the figures of a refusal; the log line of the entry has both."""
        return {
            'left_s': math.ceil(self.left_s),
            'fingerprint': fingerprint.to_text(self.fingerprint),
        }


class Quarantine:
    """Quarantined and cleared requests that one entry VM knows of.

    A set of parts is treated as a request with the fingerprint of the set.
    """

    __slots__ = ('_cleared', '_part_sets', '_quarantined')

    def __init__(self) -> None:
        self._quarantined = _ExpiringSet()
        self._cleared = _ExpiringSet()
        # Parts of quarantined sets, by the fingerprint of the set. The dict is
        # replaced and never modified, so that any thread may read it.
        self._part_sets: dict[int, frozenset[int]] = {}

    def add(
        self,
        now: float,
        key: int,
        left_s: float = QUARANTINE_S,
        parts: Iterable[int] = (),
    ) -> bool:
        """Quarantines a request or a set of parts.

        Args:
            now: Seconds.
            key: Fingerprint of the request or of the set.
            left_s: Remaining time of the quarantine, seconds.
            parts: Fingerprints of the parts of the set; none for a request.

        Returns:
            Whether that is a change.
        """
        if self._cleared.until.get(key, now) > now:
            return False
        if not 0 < left_s <= QUARANTINE_S:
            return False
        is_new = self._quarantined.add(now, key, left_s)
        part_set = frozenset(parts)
        if part_set and self._part_sets.get(key) != part_set:
            is_new = True
            self._part_sets = {
                other: known
                for other, known in self._part_sets.items()
                if other in self._quarantined.until
            } | {key: part_set}
        return is_new

    def clear(self, now: float, key: int, left_s: float = QUARANTINE_S) -> bool:
        """Clears a request or a set of parts; returns whether that is a change."""
        if not 0 < left_s <= QUARANTINE_S:
            return False
        self._quarantined.drop(key)
        return self._cleared.add(now, key, left_s)

    def left_s(
        self, now: float, request: int, parts: Iterable[int] = ()
    ) -> float:
        """Returns how long a request is quarantined, seconds; 0 if it is not.

        May be called from any thread.

        Args:
            now: Seconds.
            request: Fingerprint of the request.
            parts: Fingerprints of the parts of its prompt.
        """
        entry = self.find(now, request, parts)
        return 0.0 if entry is None else entry.left_s

    def find(
        self, now: float, request: int, parts: Iterable[int] = ()
    ) -> Entry | None:
        """Returns the entry that a request matches; None if there is none.

        May be called from any thread. If several match, the one that ends last
        is returned. The arguments are those of `left_s`.
        """
        until = self._quarantined.until
        if not until:
            return None
        keys = [request]
        part_sets = self._part_sets
        if part_sets:
            known = frozenset(parts)
            keys += [
                key for key, part_set in part_sets.items() if part_set <= known
            ]
        ends_at, key = max((until.get(key, now), key) for key in keys)
        return Entry(key, ends_at - now) if ends_at > now else None

    def part_sets(self, now: float) -> dict[int, frozenset[int]]:
        """Returns the quarantined sets of parts, by fingerprint."""
        quarantined = self._quarantined.left(now)
        return {
            key: part_set
            for key, part_set in self._part_sets.items()
            if key in quarantined
        }

    def quarantined(self, now: float) -> dict[int, float]:
        """Returns how long each request is quarantined, seconds."""
        return self._quarantined.left(now)

    def cleared(self, now: float) -> dict[int, float]:
        """Returns how long each request stays cleared, seconds."""
        return self._cleared.left(now)

    def merge(
        self,
        now: float,
        quarantined: Mapping[int, float],
        cleared: Mapping[int, float],
        part_sets: Mapping[int, Iterable[int]] = types.MappingProxyType({}),
    ) -> list[int]:
        """Merges the report of another VM.

        Args:
            now: Seconds.
            quarantined: Remaining time in seconds by fingerprint.
            cleared: The same, for requests that can't be quarantined.
            part_sets: Parts of quarantined sets, by the set's fingerprint.

        Returns:
            The fingerprints of newly quarantined requests and sets.
        """
        for key, left_s in cleared.items():
            if left_s > _SLACK_S:
                self.clear(now, key, left_s)
        return [
            key
            for key, left_s in quarantined.items()
            if left_s > _SLACK_S
            and self.add(now, key, left_s, part_sets.get(key, ()))
        ]
