"""Where streams began: the service and the software version of their servers.

Servers of several software versions may serve side by side, and a stream may go
on only at the version that began it. A caller that resumes a stream names the
attempt that brought its first event, so an origin is found by that attempt.

The time is an argument.
"""

import math
from typing import Final

import xxhash

from foxtaildale import messages

# How long a stream may be resumed after its first event, seconds. It is longer
# than the timeouts of routes.
ORIGIN_TTL_S: Final = 120.0
# Maximum number of remembered streams; the oldest are forgotten first.
MAX_ORIGINS: Final = 30_000


def digest(account: str, attempt: str) -> int:
    """Returns the key of a stream, 64 bits; never 0.

    The account is part of it, so that no caller finds the streams of another
    account by their attempts' ids.
    """
    return xxhash.xxh3_64_intdigest(f'{account}\0{attempt}'.encode()) or 1


class StreamOrigins:
    """The origins of recent streams; the first one of a stream is kept."""

    __slots__ = ('_evicted_began_at', '_origins')

    def __init__(self) -> None:
        # When each stream began, seconds, and its origin; by key.
        self._origins: dict[int, tuple[float, messages.StreamOrigin]] = {}
        # When the latest stream began that was forgotten early, seconds.
        self._evicted_began_at = -math.inf

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, now: float, origin: messages.StreamOrigin) -> None:
        """Records the origin of a stream."""
        began_at = now - origin.age_ms / 1000
        if self.find(now, origin.stream) is None:
            self._origins[origin.stream] = (began_at, origin)
        while self._origins:
            oldest = next(iter(self._origins))
            oldest_began_at = self._origins[oldest][0]
            if now - oldest_began_at < ORIGIN_TTL_S:
                if len(self._origins) <= MAX_ORIGINS:
                    return
                self._evicted_began_at = max(
                    self._evicted_began_at, oldest_began_at
                )
            del self._origins[oldest]

    def has_all(self, now: float, age_s: float) -> bool:
        """Whether no stream of this age or younger was forgotten."""
        return age_s <= ORIGIN_TTL_S and now - self._evicted_began_at > age_s

    def find(self, now: float, stream: int) -> messages.StreamOrigin | None:
        """Returns the origin of a stream with its age; None if not known."""
        found = self._origins.get(stream)
        if found is None or now - found[0] >= ORIGIN_TTL_S:
            return None
        return with_age(found[1], now - found[0])


def with_age(
    origin: messages.StreamOrigin, age_s: float
) -> messages.StreamOrigin:
    """Returns an origin as it is sent, with its age."""
    return messages.StreamOrigin(
        stream=origin.stream,
        service=origin.service,
        version=origin.version,
        age_ms=int(age_s * 1000),
    )
