"""Opens connections to backend servers."""

import socket
from typing import Final
from typing import Protocol

from foxtaildale_adapters import connection_files

# TCP closes the connection if sent bytes stay unacknowledged for this long,
# milliseconds. A machine behind a network partition sends no reset.
TCP_USER_TIMEOUT_MS: Final = 4000
MAX_PORT: Final = 65_535


class NoPathError(OSError):
    """No entry VM reaches the server, or this one reaches no other."""


class Opened:
    """An open connection to a backend server."""

    __slots__ = ('incarnation', 'relay', 'sock', 'via')

    def __init__(
        self,
        sock: socket.socket,
        via: str = '',
        relay: str = '',
        incarnation: str = '',
    ) -> None:
        self.sock = sock
        # Name of the entry VM that relays it, 'IP:PORT' of its relay, and the
        # name of the relaying process; all empty if none does.
        self.via = via
        self.relay = relay
        self.incarnation = incarnation


class Connector(Protocol):
    """Opens connections to backend servers; safe for concurrent use."""

    def connect(self, address: str, timeout_s: float) -> Opened:
        """Opens a connection.

        Args:
            address: 'IP:PORT' of the backend server.
            timeout_s: Time limit, seconds.

        Raises:
            NoPathError: This VM does not reach the servers, and found no other
                one that does. Nothing was sent.
            OSError: The server can't be connected to. Nothing was sent.
        """


class DirectConnector:
    """Connects to the server itself."""

    __slots__ = ()

    def connect(self, address: str, timeout_s: float) -> Opened:
        """Opens a connection; see `Connector`."""
        return Opened(open_socket(address, timeout_s))


def open_socket(address: str, timeout_s: float) -> socket.socket:
    """Opens a connection to 'IP:PORT' with the usual options.

    Raises:
        OSError: The connection was not opened in time, or the address is
            invalid.
    """
    host, _, port = address.rpartition(':')
    try:
        number = int(port)
        if not 0 < number <= MAX_PORT:
            # The resolver takes it modulo 65536: another server's port.
            raise ValueError('port out of range')
        sock = socket.create_connection((host, number), timeout_s)
    except (OverflowError, ValueError) as exc:
        raise OSError(f'invalid address {address[:100]!r}: {exc}') from exc
    set_options(sock)
    return sock


def set_options(sock: socket.socket) -> None:
    """Sets the options of connections to servers."""
    connection_files.limit_receive_buffer(sock)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
