"""Parts of prompts in requests that completed at one entry VM.

A part in a request that ran to completion crashes no server. Each VM knows only
its own completions; a VM that decides on a part queries all others for theirs.

The time is an argument.
"""

from collections.abc import Iterable
import math
from typing import Final

# How long a completion counts, seconds.
COMPLETION_TTL_S: Final = 300.0
# Maximum number of parts remembered; the one that completed longest ago is
# removed first.
MAX_PARTS: Final = 4096


class PartCompletions:
    """When parts of prompts, and any requests of services, last completed."""

    __slots__ = ('_parts', '_services')

    def __init__(self) -> None:
        # Times in seconds, oldest first, by fingerprint of the part.
        self._parts: dict[int, float] = {}
        self._services: dict[str, float] = {}

    def record(self, now: float, service: str, parts: Iterable[int]) -> None:
        """Records a request that completed without an error.

        Args:
            now: Seconds.
            service: The service that ran it.
            parts: Fingerprints of the parts of its prompt.
        """
        self._services[service] = now
        for part in parts:
            self._parts.pop(part, None)
            self._parts[part] = now
        while len(self._parts) > MAX_PARTS:
            del self._parts[next(iter(self._parts))]

    def completed(self, now: float, parts: Iterable[int]) -> tuple[int, ...]:
        """Returns those of some parts that completed recently."""
        return tuple(
            part
            for part in parts
            if now - self._parts.get(part, -math.inf) <= COMPLETION_TTL_S
        )

    def has_completed(self, now: float, service: str) -> bool:
        """Whether any request of a service completed recently."""
        completed_at = self._services.get(service, -math.inf)
        return now - completed_at <= COMPLETION_TTL_S
