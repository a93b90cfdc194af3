"""Which part of prompts caused crashes of backend servers.

Requests that differ can share a part of their prompts that crashes each server
that begins to run it. The part is in a request at every one of these crashes.
So are parts of healthy requests; these are cleared by requests that completed.
Parts that only come together can't be told apart. They are blamed as
a set, and a request is at fault only if its prompt has all of them.

This module does no I/O.
"""

from collections.abc import Collection
from collections.abc import Iterable
import functools
from typing import Final

import msgspec

from foxtaildale import fingerprint
from foxtaildale import messages

# Total weight of the crashes that a part must explain to be blamed, and the
# number of different requests that must have had it there. A request that
# crashed several servers alone is blamed as a whole.
BLAME_WEIGHT: Final = 3.0
MIN_REQUESTS: Final = 2
# Maximum number of parts in one report of a request.
MAX_REPORTED_PARTS: Final = 16


class PartSet(msgspec.Struct, frozen=True):
    """Parts of prompts that crash a service's servers if they come together."""

    service: str
    # Fingerprints, in ascending order.
    parts: tuple[int, ...]

    def fingerprint(self) -> int:
        """Returns the fingerprint of the set, 64 bits."""
        return fingerprint.compute_set(self.parts)


class Suspect(msgspec.Struct, frozen=True):
    """A request that ran on a server when the server crashed."""

    request: messages.Crash
    # Weight of the crash for this request.
    weight: float


class _Evidence:
    """What the crashes tell about one part."""

    __slots__ = ('has_open_crash', 'ran_ms', 'requests', 'weight')

    def __init__(self) -> None:
        self.weight = 0.0
        self.ran_ms = 0
        # Fingerprints of the requests that had the part.
        self.requests: set[int] = set()
        # Whether a crash that nothing else explains is among them.
        self.has_open_crash = False

    def is_sufficient(self) -> bool:
        return (
            self.has_open_crash
            and self.weight >= BLAME_WEIGHT
            and len(self.requests) >= MIN_REQUESTS
        )


def find(
    crashes: Iterable[tuple[list[Suspect], bool]], cleared: Collection[int]
) -> PartSet | None:
    """Returns the set of parts that explains the most crashes, if any does.

    Args:
        crashes: For each crash the requests that ran on the server, and
            whether nothing that was blamed before explains it. A request that
            was blamed for other crashes is still evidence against its parts.
        cleared: Fingerprints of parts that completed.
    """
    examined = list(crashes)
    evidence = _collect(examined, cleared)
    sufficient = [one for one in evidence if evidence[one].is_sufficient()]
    if not sufficient:
        return None
    best = max(
        sufficient,
        key=lambda one: (evidence[one].weight, -evidence[one].ran_ms),
    )
    return _common_parts(
        [
            suspect.request
            for suspects, _ in examined
            for suspect in suspects
            if best in suspect.request.parts
        ],
        cleared,
    )


def _collect(
    crashes: Iterable[tuple[list[Suspect], bool]], cleared: Collection[int]
) -> dict[int, _Evidence]:
    """Returns the evidence against each part that is not cleared."""
    evidence: dict[int, _Evidence] = {}
    for suspects, is_open in crashes:
        weights: dict[int, float] = {}
        for suspect in suspects:
            request = suspect.request
            for part in request.parts:
                if part in cleared:
                    continue
                found = evidence.setdefault(part, _Evidence())
                found.requests.add(request.fingerprint)
                found.ran_ms += request.ran_ms
                found.has_open_crash |= is_open
                weights[part] = max(weights.get(part, 0.0), suspect.weight)
        for part, weight in weights.items():
            evidence[part].weight += weight
    return evidence


def _common_parts(
    requests: list[messages.Crash], cleared: Collection[int]
) -> PartSet:
    """Returns the parts that all of some requests have."""
    common = functools.reduce(
        set.intersection, (set(request.parts) for request in requests)
    )
    return PartSet(
        requests[0].service, tuple(sorted(common.difference(cleared)))
    )
