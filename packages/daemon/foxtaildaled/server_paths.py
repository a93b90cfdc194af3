"""Opens connections to backend servers and records which are reached."""

import logging
import socket
import threading

from foxtaildale import ports
from foxtaildale import server_reach
from foxtaildale_adapters import connectors
from foxtaildale_adapters import logs


class ServerPaths:
    """A `connectors.Connector` that notices when no server is reached."""

    __slots__ = ('_clock', '_direct', '_lock', '_reach')

    def __init__(
        self, direct: connectors.Connector, clock: ports.Clock
    ) -> None:
        self._direct = direct
        self._clock = clock
        self._lock = threading.Lock()
        self._reach = server_reach.ServerReach()

    def connect(self, address: str, timeout_s: float) -> socket.socket:
        """Opens a connection; see `connectors.Connector`."""
        try:
            sock = self._direct.connect(address, timeout_s)
        except OSError as exc:
            self._record_failure(address, exc)
            raise
        self._record_success()
        return sock

    def _record_success(self) -> None:
        with self._lock:
            lost_at = self._reach.lost_at
            self._reach.record_success()
        if lost_at is not None:
            after_ms = int((self._clock() - lost_at) * 1000)
            logs.event(logging.INFO, 'servers reached', after_ms=after_ms)

    def _record_failure(self, address: str, exc: OSError) -> None:
        with self._lock:
            was_lost = self._reach.is_lost
            self._reach.record_failure(address, self._clock())
            is_lost = self._reach.is_lost
            failed = self._reach.failed_servers()
        if is_lost and not was_lost:
            logs.event(
                logging.WARNING,
                'servers unreachable',
                addresses=failed,
                error=str(exc),
            )
