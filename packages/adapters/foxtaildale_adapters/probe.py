"""Checks whether a process listens at a backend server's address."""

import socket
from typing import Final

from foxtaildale import ports

# Maximum wait for a connection, seconds.
CONNECT_TIMEOUT_S: Final = 0.15


class Probe:
    """Opens a connection and sends nothing; a `ports.Probe`."""

    __slots__ = ()

    def check(self, address: str) -> ports.ProbeResult:
        """Returns the result of connecting to 'IP:PORT'."""
        host, _, port = address.rpartition(':')
        try:
            socket.create_connection(
                (host, int(port)), CONNECT_TIMEOUT_S
            ).close()
        except ConnectionRefusedError:
            return 'refused'
        except OSError:
            return 'silent'
        return 'open'
