"""Checks whether a process listens at a backend server's address."""

from typing import Final

from foxtaildale import ports
from foxtaildale_adapters import connectors

# Maximum wait for a connection, seconds.
CONNECT_TIMEOUT_S: Final = 0.15


class Probe:
    """Opens a connection and sends nothing; a `ports.Probe`."""

    __slots__ = ('_connector',)

    def __init__(self, connector: connectors.Connector) -> None:
        self._connector = connector

    def check(self, address: str) -> ports.ProbeResult:
        """Returns the result of connecting to 'IP:PORT'."""
        try:
            self._connector.connect(address, CONNECT_TIMEOUT_S).sock.close()
        except ConnectionRefusedError:
            return 'refused'
        except OSError:
            return 'silent'
        return 'open'
