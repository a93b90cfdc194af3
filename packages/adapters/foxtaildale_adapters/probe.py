"""Checks whether a process listens at a backend server's address."""

import socket
from typing import Final

from foxtaildale import ports
from foxtaildale_adapters import connectors
from foxtaildale_adapters import disconnects

# Maximum wait for a connection, seconds.
CONNECT_TIMEOUT_S: Final = 0.15
# How long a connection must stay open, seconds. A process that ends closes its
# sockets within some milliseconds, in any order.
DWELL_S: Final = 0.03
# Number of connections tried. A lost packet delays one of them, and a server
# that has too many connections resets it.
MAX_PROBES: Final = 3


def is_running(connector: connectors.Connector, address: str) -> bool:
    """Returns whether the process at 'IP:PORT' is known to go on.

    The kernel still accepts connections for a process that is ending.
    """
    for _ in range(MAX_PROBES):
        try:
            sock = connector.connect(address, CONNECT_TIMEOUT_S).sock
        except ConnectionRefusedError:
            return False
        except OSError:
            continue
        with sock:
            if stays_open(sock):
                return True
    return False


def stays_open(sock: socket.socket) -> bool:
    """Returns whether a new connection stays open."""
    return not disconnects.has_input(sock, DWELL_S)


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
