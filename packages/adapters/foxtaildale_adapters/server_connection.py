"""A connection to a backend server whose socket a `Connector` opens."""

import math
import socket
import time
from typing import Final

from foxtaildale_adapters import bounded_responses
from foxtaildale_adapters import connectors

# Connection timeout, seconds. Round trips take a few milliseconds. TCP resends
# a lost SYN after one second, by when another server could have replied. No
# request was sent at that point, so trying another server is always safe.
CONNECT_TIMEOUT_S: Final = 0.2


class ServerConnection(bounded_responses.Connection):
    """A connection with bounded responses, direct or relayed."""

    def __init__(self, address: str, connector: connectors.Connector) -> None:
        host, _, port = address.rpartition(':')
        super().__init__(host, int(port), timeout=CONNECT_TIMEOUT_S)
        self._address = address
        self._connector = connector
        # None until it is connected.
        self.opened: connectors.Opened | None = None
        # When it was connected, seconds; infinite until then.
        self.opened_at = math.inf

    def _new_conn(self) -> socket.socket:
        timeout_s = self.timeout
        if not isinstance(timeout_s, float):
            timeout_s = CONNECT_TIMEOUT_S
        self.opened = self._connector.connect(self._address, timeout_s)
        self.opened_at = time.monotonic()
        return self.opened.sock
