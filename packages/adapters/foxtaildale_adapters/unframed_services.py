"""Services whose servers send responses without a length or chunks."""

import threading
from typing import Final

# Maximum number of services that are remembered.
MAX_SERVICES: Final = 256
# Number of framed responses in a row after which a service is forgotten.
FRAMED_RESPONSES: Final = 64


class UnframedServices:
    """Remembers services by name; safe for concurrent use.

    Only the end of its connection ends such a response, and what proves it
    complete must exist before the request is sent (`backend_request`).
    """

    __slots__ = ('_framed_counts', '_lock')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Framed responses since the last unframed one, by service; the service
        # that was recorded first is evicted first.
        self._framed_counts: dict[str, int] = {}

    def __contains__(self, service: str) -> bool:
        """Whether a recent response of the service was unframed."""
        return service in self._framed_counts

    def record(self, service: str, *, framed: bool) -> None:
        """Records whether a response had a length or chunks."""
        if framed and service not in self._framed_counts:
            return
        with self._lock:
            if not framed:
                self._framed_counts[service] = 0
                if len(self._framed_counts) > MAX_SERVICES:
                    del self._framed_counts[next(iter(self._framed_counts))]
                return
            count = self._framed_counts.pop(service, FRAMED_RESPONSES) + 1
            if count < FRAMED_RESPONSES:
                self._framed_counts[service] = count
