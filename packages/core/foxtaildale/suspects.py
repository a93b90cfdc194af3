"""Entry VMs that failed as coordinators, until they reply to a probe.

All VMs must choose the same coordinator; otherwise two plans grant the same
memory and prefills are wasted. This module serves the case that entry VMs are
replaced one after the other during a burst. If a VM excluded a failed
coordinator for a fixed time that grows with each failure, it would use another
coordinator up to a minute after all other VMs use the first one again. So a
suspect is probed independently of any request, and is a coordinator again as
soon as it reports that it is fit.

The time is an argument.
"""

import math
from typing import Final

# Number of consecutive lost replies after which a coordinator is excluded. One
# reply can be lost with a broken connection or under short load; if the
# coordinator were excluded at once, two coordinators would grant the same
# memory.
MAX_LOST_REPLIES: Final = 2
# Delay until a suspect is probed, seconds. It doubles with each exclusion for
# lost replies, up to the maximum, so that an overloaded coordinator is not used
# again and again. It does not double after a refusal, because a VM that refuses
# reports by itself when it is fit.
PROBE_DELAY_S: Final = 0.4
MAX_PROBE_DELAY_S: Final = 6.4
# Time without an exclusion for lost replies after which the probe delay is
# reset to `PROBE_DELAY_S`, seconds.
PROBE_RESET_S: Final = 30.0


class _Suspect:
    __slots__ = ('excluded', 'lost_at', 'misses', 'probe_at', 'probe_delay_s')

    def __init__(self) -> None:
        self.misses = 0
        # Whether the VM is excluded now.
        self.excluded = False
        self.probe_delay_s = PROBE_DELAY_S
        self.probe_at = 0.0
        # When the VM was last excluded for lost replies, seconds.
        self.lost_at = -math.inf


class Suspects:
    """Failing coordinators that one entry VM knows of."""

    __slots__ = ('_suspects',)

    def __init__(self) -> None:
        # By name of the VM.
        self._suspects: dict[str, _Suspect] = {}

    def excluded(self) -> frozenset[str]:
        """Returns the VMs that must not be used as coordinators now."""
        return frozenset(
            name for name, suspect in self._suspects.items() if suspect.excluded
        )

    def record_failure(self, now: float, name: str, *, lost: bool) -> bool:
        """Records a failed request; returns whether the VM becomes excluded.

        Args:
            now: Seconds.
            name: The entry VM to which the request was sent.
            lost: Whether its reply did not arrive; else it refused, or could
                not be reached at all.
        """
        suspect = self._suspects.setdefault(name, _Suspect())
        suspect.misses += 1
        if suspect.excluded or (lost and suspect.misses < MAX_LOST_REPLIES):
            return False
        suspect.excluded = True
        if not lost or now - suspect.lost_at > PROBE_RESET_S:
            suspect.probe_delay_s = PROBE_DELAY_S
        else:
            suspect.probe_delay_s = min(
                2 * suspect.probe_delay_s, MAX_PROBE_DELAY_S
            )
        if lost:
            suspect.lost_at = now
        suspect.probe_at = now + suspect.probe_delay_s
        return True

    def record_success(self, name: str) -> None:
        """Records a successful reply."""
        suspect = self._suspects.get(name)
        if suspect is not None:
            suspect.misses = 0

    def due_probes(self, now: float) -> list[str]:
        """Returns the VMs to probe now."""
        return [
            name
            for name, suspect in self._suspects.items()
            if suspect.excluded and suspect.probe_at <= now
        ]

    def record_probe(self, now: float, name: str, *, fit: bool) -> None:
        """Records the result of a probe; `fit` is False if no reply arrived."""
        suspect = self._suspects[name]
        suspect.probe_at = now + PROBE_DELAY_S
        if fit:
            suspect.excluded = False
            suspect.misses = 0
