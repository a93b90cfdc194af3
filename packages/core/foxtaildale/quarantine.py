"""Requests that are sent to no server, for a while.

Only fingerprints are kept (`fingerprint`). Every entry VM has all of them, so that
a request is refused without asking anybody. One that ran to its end at some entry
VM is cleared: it ends no server, whatever it was blamed for. What VMs tell each
other has the time that is left, since their clocks differ.

Nothing here does I/O; the time is an argument.
"""

from collections.abc import Mapping
from typing import Final

# How long a request is held, and how long a cleared one can't be, seconds.
HELD_S: Final = 900.0
# Requests that are remembered of each kind; those that lapse first go first.
MOST: Final = 256
# What is told again lapses when it was first said to, but for this, and what is
# about to lapse is not taken, seconds: the way between two VMs would lengthen it
# each time.
_SLACK_S: Final = 5.0


class _Lapsing:
    """Fingerprints, each for a time."""

    __slots__ = ('until',)

    def __init__(self) -> None:
        # Replaced and never changed, so that any thread may read it.
        self.until: dict[int, float] = {}

    def add(self, now: float, fingerprint: int, left_s: float) -> bool:
        """Adds one; returns whether it was not there."""
        known = self.until.get(fingerprint, now)
        if known > now and now + left_s <= known + _SLACK_S:
            return False
        until = {key: at for key, at in self.until.items() if at > now}
        until[fingerprint] = now + left_s
        while len(until) > MOST:
            del until[min(until, key=until.__getitem__)]
        self.until = until
        return known <= now

    def drop(self, fingerprint: int) -> None:
        """Removes one; harmless if it is not there."""
        if fingerprint in self.until:
            self.until = {
                key: at for key, at in self.until.items() if key != fingerprint
            }

    def left(self, now: float) -> dict[int, float]:
        """Returns how long each one stays, seconds."""
        return {key: at - now for key, at in self.until.items() if at > now}


class Quarantine:
    """What one entry VM knows of such requests."""

    __slots__ = ('_cleared', '_held')

    def __init__(self) -> None:
        self._held = _Lapsing()
        self._cleared = _Lapsing()

    def hold(
        self, now: float, fingerprint: int, left_s: float = HELD_S
    ) -> bool:
        """Holds a request; returns whether it was not held before."""
        if self._cleared.until.get(fingerprint, now) > now:
            return False
        if not 0 < left_s <= HELD_S:
            return False
        return self._held.add(now, fingerprint, left_s)

    def clear(
        self, now: float, fingerprint: int, left_s: float = HELD_S
    ) -> bool:
        """Lets a request pass; returns whether that was not known before."""
        if not 0 < left_s <= HELD_S:
            return False
        self._held.drop(fingerprint)
        return self._cleared.add(now, fingerprint, left_s)

    def left_s(self, now: float, fingerprint: int) -> float:
        """Returns how long a request is held, seconds; 0 if it is not.

        May be called from any thread.
        """
        until = self._held.until
        if not until:
            return 0.0
        return max(0.0, until.get(fingerprint, now) - now)

    def held(self, now: float) -> dict[int, float]:
        """Returns how long each request is held, seconds."""
        return self._held.left(now)

    def cleared(self, now: float) -> dict[int, float]:
        """Returns how long each cleared one can't be held, seconds."""
        return self._cleared.left(now)

    def take(
        self,
        now: float,
        held: Mapping[int, float],
        cleared: Mapping[int, float],
    ) -> list[int]:
        """Takes what another VM knows; returns those newly held."""
        for fingerprint, left_s in cleared.items():
            if left_s > _SLACK_S:
                self.clear(now, fingerprint, left_s)
        return [
            fingerprint
            for fingerprint, left_s in held.items()
            if left_s > _SLACK_S and self.hold(now, fingerprint, left_s)
        ]
