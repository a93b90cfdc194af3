"""Time of a token by service, as this entry VM measured it.

A coordinator's measurements end with its process. Those of the entry VM that
relays the responses are there as long as it needs them.
"""

import threading

from foxtaildale import engine_speeds
from foxtaildale import ports


class TokenTimes:
    """Measured times of a token; safe for concurrent use."""

    __slots__ = ('_clock', '_lock', '_speeds')

    def __init__(self, clock: ports.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        # By service.
        self._speeds: dict[str, engine_speeds.EngineSpeeds] = {}

    def record(self, service: str, server: str, token_s: float) -> None:
        """Records the time of a token of a complete response, seconds."""
        with self._lock:
            speeds = self._speeds.setdefault(
                service, engine_speeds.EngineSpeeds()
            )
            speeds.record(self._clock(), server, token_s)

    def median_s(self, service: str) -> float | None:
        """Returns the median time of a token, seconds; None if not known."""
        with self._lock:
            speeds = self._speeds.get(service)
            return speeds.median_s() if speeds is not None else None
