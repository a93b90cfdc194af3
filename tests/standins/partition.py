"""A connector that plays a partition of one entry VM from all servers.

While it lasts, new connections hang or are refused, and open ones hang, are
reset or live on.
"""

import socket
import threading
import time

from foxtaildale_adapters import connectors
from tests.standins import relay


class Partition:
    """Implements `connectors.Connector`; no partition until `begin`."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._relays: dict[str, relay.Relay] = {}
        # What becomes of new connections: '' (opened), 'hang' or 'refuse'.
        self._new = ''
        # Connections that were opened, and that were not.
        self.opened = 0
        self.failed = 0

    def connect(self, address: str, timeout_s: float) -> connectors.Opened:
        """Opens a connection unless there is a partition."""
        with self._lock:
            new = self._new
            self.opened += not new
            self.failed += bool(new)
            if address not in self._relays:
                self._relays[address] = relay.Relay(address)
            near = self._relays[address].address
        if new == 'hang':
            time.sleep(timeout_s)
            raise TimeoutError('timed out')
        if new == 'refuse':
            raise ConnectionRefusedError('refused')
        host, _, port = near.rpartition(':')
        sock = socket.create_connection((host, int(port)), timeout_s)
        return connectors.Opened(sock)

    def begin(self, new: str, existing: str) -> None:
        """Begins a partition.

        Args:
            new: What becomes of new connections, 'hang' or 'refuse'.
            existing: What becomes of open ones, 'hang', 'reset' or 'live'.
        """
        with self._lock:
            self._new = new
            relays = list(self._relays.values())
        for each in relays:
            if existing == 'hang':
                each.silence()
            elif existing == 'reset':
                each.cut()
                each.mend()

    def end(self) -> None:
        """Ends the partition; silent connections stay silent."""
        with self._lock:
            self._new = ''

    def close(self) -> None:
        """Ends the relays."""
        for each in self._relays.values():
            each.close()
