"""Decides which holdings of a worker nobody works for any more.

An entry that dies can't cancel what it held: prompt queues, KV caches, decode
slots and streams would stay in the worker's memory for good. The home keeper
of each worker looks at its holdings and cancels the abandoned ones.

Silence alone is no evidence: a keeper that is cut off hears nothing of entries
which are at work, and cancelling their streams would cut requests in progress.
So a holding is abandoned only

- when its VM's keeper is heard and doesn't count the holder among its entries,
  for longer than the grace time, or
- when that VM is silent, and no connection has been at work on the holding for
  longer than the grace time, which the worker itself reports.
"""

from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import incarnations

# Grace times after which a missed holder is forgotten.
_FORGET_GRACES: Final = 100


class Census(msgspec.Struct, frozen=True, kw_only=True):
    """What a keeper knows of the living at one moment."""

    # Incarnations of entries that are alive.
    alive: frozenset[str]
    # Entry VMs whose keeper was heard lately.
    heard: frozenset[str]
    # Seconds, monotonic.
    at: float


class Reaper:
    """Remembers since when a holder was missing."""

    __slots__ = ('_grace_s', '_missing')

    # How long work is kept for a resume, seconds.
    _grace_s: float
    # When a holder was first missed, by incarnation.
    _missing: dict[str, float]

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._missing = {}

    def abandoned(self, holding: backends.Holding, census: Census) -> bool:
        """Returns whether to cancel a holding now."""
        holder = holding.holder
        if holder in census.alive:
            self._missing.pop(holder, None)
            return False
        since = self._missing.setdefault(holder, census.at)
        if census.at - since <= self._grace_s:
            return False
        if incarnations.entry_vm(holder) in census.heard:
            return True
        return not holding.attached and holding.age_ms > self._grace_s * 1000

    def forget(self, now: float) -> None:
        """Drops holders missed for long, which no worker names any more.

        Entries are replaced by the hundred a day; without this their names
        would be kept for ever. One that is still named is missed anew.
        """
        bound_s = _FORGET_GRACES * self._grace_s
        self._missing = {
            holder: since
            for holder, since in self._missing.items()
            if now - since <= bound_s
        }
