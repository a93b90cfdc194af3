"""Limits that backend servers name: what they take from all entry VMs together."""

import logging
import threading

from foxtaildale import forwarding
from foxtaildale_adapters import logs

# Servers whose limits are remembered; those that named one last.
MOST = 512


class SendLimits:
    """What servers said of their limits; safe for concurrent use."""

    __slots__ = ('_lock', '_named')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Requests a second, by server.
        self._named: dict[str, float] = {}

    def told(self, server: forwarding.Backend, limit: float | None) -> None:
        """Takes what a server's answer says of its limit.

        Args:
            server: The server.
            limit: Requests a second; None if it names none.
        """
        if limit is None and server.id not in self._named:
            return
        with self._lock:
            before = self._named.pop(server.id, None)
            if limit is not None:
                self._named[server.id] = limit
                if len(self._named) > MOST:
                    del self._named[next(iter(self._named))]
        if limit != before:
            logs.event(
                logging.INFO,
                'server limit',
                server=server.id,
                limit=limit,
                before=before,
            )
