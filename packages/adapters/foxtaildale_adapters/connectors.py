"""Opens connections to backend servers."""

import socket
from typing import Final
from typing import Protocol

import urllib3.util.connection

# TCP closes the connection if sent bytes stay unacknowledged for this long,
# milliseconds. A machine behind a network partition sends no reset.
TCP_USER_TIMEOUT_MS: Final = 4000
_SOCKET_OPTIONS: Final[list[tuple[int, int, int | bytes]]] = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


class Connector(Protocol):
    """Opens connections to backend servers; safe for concurrent use."""

    def connect(self, address: str, timeout_s: float) -> socket.socket:
        """Opens a connection.

        Args:
            address: 'IP:PORT' of the backend server.
            timeout_s: Time limit, seconds.

        Raises:
            OSError: No connection was opened, and nothing was sent.
        """


class DirectConnector:
    """Connects to the server itself."""

    __slots__ = ()

    def connect(self, address: str, timeout_s: float) -> socket.socket:
        """Opens a connection; see `Connector`."""
        host, _, port = address.rpartition(':')
        return urllib3.util.connection.create_connection(
            (host, int(port)), timeout_s, socket_options=_SOCKET_OPTIONS
        )
