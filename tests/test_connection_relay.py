"""Connections to backend servers that one entry VM opens for another."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import itertools
import socket
import struct
import threading
import time

import pytest

from foxtaildale import messages
from foxtaildale_adapters import connection_relay
from foxtaildale_adapters import connectors
from tests import site as sites

_LARGE = b'abcdefgh' * 250_000
_RESET = struct.pack('ii', 1, 0)
_SLOW_READERS = 120
_MAX_RELAYED_BYTES = 10_000_000


class _Gate:
    """Lets everything pass, and notes what came of it."""

    def __init__(self) -> None:
        self.refuse: messages.RelayResult | None = None
        self.results: list[messages.RelayResult] = []
        # Holds up the relay until it is set, and whether it does.
        self.hold: threading.Event | None = None
        self.holding = threading.Event()

    def refusal(self, _address: str) -> messages.RelayResult | None:
        if self.hold is not None:
            self.holding.set()
            self.hold.wait(5.0)
        return self.refuse

    def record(
        self, _address: str, result: messages.RelayResult
    ) -> messages.RelayResult:
        self.results.append(result)
        return result


class _Server:
    """Accepts connections and handles each in a thread."""

    def __init__(self, handle: Callable[[socket.socket], None]) -> None:
        self._handle = handle
        self._listener = socket.create_server(('127.0.0.1', 0))
        port = self._listener.getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                threading.Thread(
                    target=self._run, args=(conn,), daemon=True
                ).start()

    def _run(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError), conn:
            self._handle(conn)


@pytest.fixture
def gate() -> _Gate:
    return _Gate()


@pytest.fixture
def relay(gate: _Gate) -> Iterator[connection_relay.Relay]:
    made = connection_relay.Relay(
        '127.0.0.1:0', connectors.DirectConnector(), gate, time.monotonic
    )
    made.start()
    yield made
    made.close()


def _read_all(sock: socket.socket) -> bytes:
    data = b''
    while part := sock.recv(65_536):
        data += part
    return data


def test_bytes_pass_unchanged_in_both_directions(
    relay: connection_relay.Relay,
) -> None:
    def handle(conn: socket.socket) -> None:
        received = 0
        while received < len(_LARGE):
            data = conn.recv(65_536)
            received += len(data)
            conn.sendall(data.upper())

    server = _Server(handle)
    sock = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    with sock:
        sock.settimeout(5.0)
        writer = threading.Thread(target=sock.sendall, args=(_LARGE,))
        writer.start()
        assert _read_all(sock) == _LARGE.upper()
        writer.join()
    server.close()


def test_a_slow_reader_holds_up_nobody_else(
    relay: connection_relay.Relay,
) -> None:
    """Guards against a relay that buffers without bound or blocks."""
    server = _Server(lambda conn: conn.sendall(_LARGE * 4))
    slow = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    quick = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    quick.settimeout(5.0)
    with slow, quick:
        assert len(_read_all(quick)) == 4 * len(_LARGE)
        assert relay.buffered_bytes() < 4 * len(_LARGE)
    server.close()


@pytest.mark.parametrize('pause_s', [0.0, 0.02])
def test_many_slow_readers_use_little_memory(
    relay: connection_relay.Relay, pause_s: float
) -> None:
    """Guards against bodies without end that fill a relay's memory."""

    def handle(conn: socket.socket) -> None:
        for _ in range(20):
            conn.sendall(_LARGE)

    server = _Server(handle)
    with contextlib.ExitStack() as stack:
        for _ in range(_SLOW_READERS):
            opened = connection_relay.connect_through(
                relay.address, server.address, 1.0
            )
            stack.enter_context(opened.sock)
            time.sleep(pause_s)
        peaks = []
        end = time.monotonic() + 1.0
        while time.monotonic() < end:
            peaks.append(relay.buffered_bytes())
            time.sleep(0.01)
    server.close()
    assert max(peaks) <= _MAX_RELAYED_BYTES


def test_a_reset_of_the_server_is_no_regular_end(
    relay: connection_relay.Relay,
) -> None:
    """Guards against a truncated response that looks complete."""

    def handle(conn: socket.socket) -> None:
        conn.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
        time.sleep(0.1)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)

    server = _Server(handle)
    sock = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    sock.settimeout(5.0)
    with sock, pytest.raises(ConnectionResetError):
        _read_all(sock)
    server.close()


def test_a_reset_that_a_send_reports_is_no_regular_end(
    relay: connection_relay.Relay, gate: _Gate
) -> None:
    """Guards against a reset that is reported once, to a send, and then lost."""
    resetting = threading.Event()
    reset = threading.Event()
    accepted = itertools.count()

    def handle(conn: socket.socket) -> None:
        if next(accepted):
            # A reset before the relay has connected would be another fault.
            conn.recv(1)
            return
        conn.sendall(b'HTTP/1.1 200 OK\r\n\r\npart')
        resetting.wait(5.0)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        conn.close()
        reset.set()

    server = _Server(handle)
    sock = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    sock.settimeout(5.0)
    # The relay's thread stands still, so that it gets both events at once.
    held = threading.Event()
    gate.hold = held
    pool = futures.ThreadPoolExecutor(1)
    other = pool.submit(
        connection_relay.connect_through, relay.address, server.address, 5.0
    )
    sites.until(gate.holding.is_set)
    sock.sendall(b'more of the request')
    time.sleep(0.05)
    resetting.set()
    assert reset.wait(5.0)
    time.sleep(0.05)
    held.set()
    with sock, pytest.raises(ConnectionResetError):
        _read_all(sock)
    other.result(5.0).sock.close()
    pool.shutdown()
    server.close()


def test_a_response_before_the_end_of_the_request_is_passed_on(
    relay: connection_relay.Relay,
) -> None:
    """Guards against an early response that is lost with the connection."""

    def handle(conn: socket.socket) -> None:
        conn.recv(10)
        conn.sendall(b'early')
        conn.shutdown(socket.SHUT_WR)
        time.sleep(0.5)

    server = _Server(handle)
    sock = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    sock.settimeout(5.0)
    with sock:
        sock.sendall(b'x' * 1000)
        assert _read_all(sock) == b'early'
    server.close()


def test_the_server_sees_that_the_other_side_has_left(
    relay: connection_relay.Relay,
) -> None:
    """Guards against work that goes on for a caller that disconnected."""
    ended = threading.Event()

    def handle(conn: socket.socket) -> None:
        while conn.recv(10):
            pass
        ended.set()

    server = _Server(handle)
    sock = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    sock.shutdown(socket.SHUT_RDWR)
    assert ended.wait(0.5)
    sites.until(lambda: relay.open_connections() == 0)
    sock.close()
    server.close()


@pytest.mark.parametrize('name', ['relay-1', ''])
def test_only_a_relay_that_names_its_process_is_known_to_go_on(
    gate: _Gate, name: str
) -> None:
    """Guards against a restarted relay of an old build, taken for the same."""
    relay = connection_relay.Relay(
        '127.0.0.1:0', connectors.DirectConnector(), gate, time.monotonic, name
    )
    relay.start()
    server = _Server(lambda conn: None)
    opened = connection_relay.connect_through(
        relay.address, server.address, 1.0
    )
    with contextlib.closing(relay), opened.sock:
        assert connection_relay.is_running(opened, server.address) == bool(name)
    server.close()


@pytest.mark.parametrize('refusal', ['isolated', 'unknown', 'closing', 'busy'])
def test_a_refusal_names_its_reason(
    relay: connection_relay.Relay,
    gate: _Gate,
    refusal: messages.RelayResult,
) -> None:
    gate.refuse = refusal
    with pytest.raises(connection_relay.RelayError) as raised:
        connection_relay.connect_through(relay.address, '127.0.0.1:1', 1.0)
    assert raised.value.result == refusal


def test_a_server_that_refuses_is_told_from_one_that_is_silent(
    relay: connection_relay.Relay, gate: _Gate
) -> None:
    refusing = f'127.0.0.1:{sites.free_port()}'
    with pytest.raises(connection_relay.RelayError) as raised:
        connection_relay.connect_through(relay.address, refusing, 1.0)
    assert raised.value.result == 'refused'
    with socket.create_server(('127.0.0.1', 0), backlog=0) as full:
        address = f'127.0.0.1:{full.getsockname()[1]}'
        filling = []
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(('127.0.0.1', full.getsockname()[1]))
            filling.append(sock)
        with pytest.raises(connection_relay.RelayError) as raised:
            connection_relay.connect_through(relay.address, address, 1.0)
        for sock in filling:
            sock.close()
    assert raised.value.result == 'silent'
    assert gate.results == ['refused', 'silent']


def test_a_relay_that_stops_opens_nothing_and_keeps_what_is_open(
    relay: connection_relay.Relay,
) -> None:
    server = _Server(lambda conn: conn.sendall(conn.recv(10)))
    sock = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    relay.stop_accepting()
    with pytest.raises(connection_relay.RelayError) as raised:
        connection_relay.connect_through(relay.address, server.address, 1.0)
    assert raised.value.result == 'closing'
    with sock:
        sock.settimeout(5.0)
        sock.sendall(b'x')
        assert _read_all(sock) == b'x'
    server.close()


@pytest.mark.parametrize(
    'data', [b'\xff' * 2000, struct.pack('>I', 3) + b'abc', b'GET / HTTP/1.1']
)
def test_what_is_no_request_ends_its_connection_only(
    relay: connection_relay.Relay, data: bytes
) -> None:
    server = _Server(lambda conn: conn.sendall(b'ok'))
    host, _, port = relay.address.rpartition(':')
    with socket.create_connection((host, int(port))) as sock:
        sock.settimeout(5.0)
        sock.sendall(data)
        with contextlib.suppress(ConnectionResetError):
            assert _read_all(sock) == b''
    other = connection_relay.connect_through(
        relay.address, server.address, 1.0
    ).sock
    with other:
        assert _read_all(other) == b'ok'
    server.close()
