"""Whether a backend server is up after a connection to it broke."""

import socket

from foxtaildale_adapters import connectors
from foxtaildale_adapters import probe
from tests import site as sites

_PROBE = probe.Probe(connectors.DirectConnector())


def test_a_server_that_listens_is_told_from_one_that_ended() -> None:
    with socket.create_server(('127.0.0.1', 0)) as sock:
        address = f'127.0.0.1:{sock.getsockname()[1]}'
        assert _PROBE.check(address) == 'open'
    assert _PROBE.check(address) == 'refused'


def test_a_connection_that_hangs_says_nothing_of_the_server() -> None:
    """Guards against taking a server behind a cut for one that ended."""
    with socket.create_server(('127.0.0.1', 0), backlog=0) as sock:
        host, port = sock.getsockname()
        full = [socket.socket() for _ in range(3)]
        for conn in full:
            conn.setblocking(False)
            conn.connect_ex((host, port))
        assert _PROBE.check(f'{host}:{port}') == 'silent'
        for conn in full:
            conn.close()


def test_an_address_without_a_listener_is_refused() -> None:
    assert _PROBE.check(f'127.0.0.1:{sites.free_port()}') == 'refused'
