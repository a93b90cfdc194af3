"""Decides which holdings of a worker are abandoned.

An entry that crashes can't cancel its holdings: queued prompts, KV caches,
decode slots and streams would stay in the worker's memory forever. The keeper
that coordinates a worker polls its holdings and cancels the abandoned ones.

Missing heartbeats alone are not sufficient evidence: a keeper that is cut off
gets none from entries that are working, and cancelling their streams would
abort requests in progress. A holding is therefore abandoned only

- if the keeper of the holder's VM sends heartbeats that do not list the holder
  among its entries, for longer than the grace time, or
- if that VM is silent and the worker reports that no connection has used the
  holding for longer than the grace time.
"""

from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import incarnations

# Number of grace times after which a missing holder is removed from memory.
_RETENTION_GRACES: Final = 100


class LivenessSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The live entries and reachable VMs that a keeper knows at one time."""

    # Incarnations of the live entries.
    alive: frozenset[str]
    # Entry VMs whose keeper sent a heartbeat recently.
    heard: frozenset[str]
    # Seconds, monotonic.
    at: float


class AbandonedHoldings:
    """Detects abandoned holdings by how long their holder has been missing."""

    __slots__ = ('_grace_s', '_missing')

    # Time for which the work of a missing holder is kept for a resume, seconds.
    _grace_s: float
    # Time at which a holder was first missing, by incarnation, seconds.
    _missing: dict[str, float]

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._missing = {}

    def is_abandoned(
        self, holding: backends.Holding, census: LivenessSnapshot
    ) -> bool:
        """Returns whether to cancel a holding now."""
        holder = holding.holder
        if holder in census.alive:
            self._missing.pop(holder, None)
            return False
        missing_since = self._missing.setdefault(holder, census.at)
        if census.at - missing_since <= self._grace_s:
            return False
        if incarnations.entry_vm(holder) in census.heard:
            return True
        return not holding.attached and holding.age_ms > self._grace_s * 1000

    def prune(self, now: float) -> None:
        """Removes holders that have been missing for very long.

        Entries are replaced by the hundred a day, and without this their names
        would be kept forever. For a holder that a worker still names, the grace
        time starts again.
        """
        bound_s = _RETENTION_GRACES * self._grace_s
        self._missing = {
            holder: missing_since
            for holder, missing_since in self._missing.items()
            if now - missing_since <= bound_s
        }
