"""What proves that a response without a length or chunks is complete."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import threading
import time
from typing import Final

import pytest

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale_adapters import backend_request
from foxtaildale_adapters import connection_relay
from foxtaildale_adapters import connectors
from foxtaildale_adapters import idle_connections
from foxtaildale_adapters import liveness
from foxtaildale_adapters import server_connection
from foxtaildale_adapters import unframed_services
from foxtaildale_platform import server_client
from foxtaildaled import prefill_clients
from tests import site as sites
from tests.standins import restarting

_PARTS: Final = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')
_WHOLE: Final = b''.join(_PARTS)
# Time within which a probe's connection is accepted, seconds.
_PROBED_S: Final = 0.5
_PLAIN_TARGETS: Final = ('/once/a', '/safe/a')


@pytest.fixture
def site() -> Iterator[sites.Site]:
    made = sites.Site()
    try:
        made.store.put('keyed.op', 'config', sites.config(1))
        yield made
    finally:
        made.close()


@pytest.fixture
def start(
    site: sites.Site,
) -> Iterator[Callable[[str], restarting.RestartingServer]]:
    """Starts a router and the only server of a path's service."""
    made = []

    def start_server(target: str) -> restarting.RestartingServer:
        is_stream = target not in _PLAIN_TARGETS
        server = restarting.RestartingServer(_PARTS, is_stream=is_stream)
        made.append(server)
        service, stage = ('model', 'decode') if is_stream else ('plain', '')
        worker = site.worker('w1', service, stage)
        entry = worker.entry() | {'address': server.address}
        site.store.put('keyed.servers', 'w1', entry)
        site.router()
        sites.until(lambda: sites.ready(site))
        sites.until(lambda: 'vm-1' in site.routers[0].entry_vms())
        return server

    yield start_server
    for server in made:
        server.close()


def _looks_whole(status: int, body: bytes) -> bool:
    return status == 200 and body != b'(cut)'


@pytest.mark.parametrize('earlier', [0, 2])
@pytest.mark.parametrize('target', ['/single/a', '/chat/a', *_PLAIN_TARGETS])
def test_part_of_a_response_is_not_whole_if_its_server_restarts(
    site: sites.Site,
    start: Callable[[str], restarting.RestartingServer],
    target: str,
    earlier: int,
) -> None:
    """Guards against a proof by the process that replaced the server."""
    server = start(target)
    for number in range(earlier):
        sites.send(site, 'POST', target, attempt=f'e{number}')
    server.restart_after = 1
    status, _, body = sites.send(site, 'POST', target, attempt='a1')
    assert server.restarts == 1
    assert not _looks_whole(status, body) or body == _WHOLE


@pytest.mark.parametrize('target', ['/single/a', '/chat/a', *_PLAIN_TARGETS])
def test_responses_of_a_known_service_reach_their_callers(
    site: sites.Site,
    start: Callable[[str], restarting.RestartingServer],
    target: str,
) -> None:
    """Guards against sound responses that count as broken."""
    server = start(target)
    sites.send(site, 'POST', target, attempt='first')
    # The router probes a server whose response broke off.
    time.sleep(_PROBED_S)
    requests, connections = server.requests, server.accepted
    for number in range(8):
        status, _, body = sites.send(site, 'POST', target, attempt=f'a{number}')
        assert (status, body) == (200, _WHOLE)
    assert server.requests - requests == 8
    # One for the request, one for the proof.
    assert server.accepted - connections <= 16


class _Gate:
    """Lets every connection pass."""

    def refusal(self, _address: str) -> messages.RelayResult | None:
        return None

    def record(
        self, _address: str, result: messages.RelayResult
    ) -> messages.RelayResult:
        return result


class _RelayedConnector:
    """Opens all connections through one VM."""

    def __init__(self, relay_address: str) -> None:
        self._relay_address = relay_address

    def connect(self, address: str, timeout_s: float) -> connectors.Opened:
        return connection_relay.connect_through(
            self._relay_address, address, timeout_s
        )


@pytest.fixture
def relay() -> Iterator[connection_relay.Relay]:
    made = connection_relay.Relay(
        '127.0.0.1:0',
        connectors.DirectConnector(),
        _Gate(),
        time.monotonic,
        'relay-1',
    )
    made.start()
    with contextlib.closing(made):
        yield made


@pytest.fixture
def server() -> Iterator[restarting.RestartingServer]:
    with contextlib.closing(restarting.RestartingServer(_PARTS)) as made:
        yield made


def _shared(connector: connectors.Connector) -> liveness.Liveness:
    return liveness.Liveness(
        connector,
        idle_connections.IdleConnections(time.monotonic),
        path='/api/x',
        attempt_header='foxtaildale-attempt-id',
    )


def _read(
    server: restarting.RestartingServer, shared: liveness.Liveness
) -> bytes:
    request = backend_request.Request(
        server.address,
        'GET',
        '/',
        {},
        b'',
        connector=shared.connector,
        watch=shared.watch(server.address, 's'),
    )
    try:
        request.send(1.0)
        request.read_head(1.0)
        return b''.join(iter(lambda: request.read(1.0), b''))
    finally:
        request.close()


@pytest.mark.parametrize('restart_after', [None, 1])
def test_relayed_part_is_not_whole_if_its_server_restarts(
    server: restarting.RestartingServer,
    relay: connection_relay.Relay,
    restart_after: int | None,
) -> None:
    """Guards against a relay that goes on while the server behind it ends."""
    shared = _shared(_RelayedConnector(relay.address))
    shared.unframed.record('s', framed=False)
    server.restart_after = restart_after
    if restart_after is None:
        assert _read(server, shared) == _WHOLE
        # An idle connection would hold up a stop of the relaying VM.
        sites.until(lambda: relay.open_connections() == 0)
        return
    with pytest.raises(errors.ConnectionBrokenError):
        _read(server, shared)


def test_connection_opened_after_the_request_proves_nothing(
    server: restarting.RestartingServer,
) -> None:
    """Guards against a proof by a process that began during the response."""
    shared = _shared(connectors.DirectConnector())
    earlier = shared.watch(server.address, 's')
    earlier.start()
    conn = server_connection.ServerConnection(server.address, shared.connector)
    conn.connect()
    shared.idle_conns.add(server.address, conn, None, opened_at=conn.opened_at)
    later = shared.watch(server.address, 's')
    later.start()
    time.sleep(2 * idle_connections.MIN_IDLE_S)
    assert not earlier.is_server_running(1.0)
    assert later.is_server_running(1.0)


def test_service_is_forgotten_after_framed_responses() -> None:
    """Guards against connections that are opened for nothing for good."""
    services = unframed_services.UnframedServices()
    services.record('s', framed=False)
    for _ in range(unframed_services.FRAMED_RESPONSES - 1):
        services.record('s', framed=True)
    assert 's' in services
    services.record('s', framed=True)
    assert 's' not in services


def test_number_of_unframed_services_is_bounded() -> None:
    """Guards against names of services that use up the memory."""
    services = unframed_services.UnframedServices()
    for number in range(unframed_services.MAX_SERVICES + 1):
        services.record(f's{number}', framed=False)
    assert 's0' not in services
    assert 's1' in services


_HANDLE: Final = b'{"handle_id":"h1","tokens":1,"version":1}'


@contextlib.contextmanager
def _unframed(body: bytes) -> Iterator[forwarding.Backend]:
    """Serves one response without a length, and ends."""
    with socket.create_server(('127.0.0.1', 0)) as listener:

        def serve() -> None:
            sock, _ = listener.accept()
            with sock:
                sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n' + body)
                sock.shutdown(socket.SHUT_WR)
                while sock.recv(65536):
                    pass

        thread = threading.Thread(target=serve)
        thread.start()
        host, port = listener.getsockname()
        yield forwarding.Backend(
            id='w1', service='s', address=f'{host}:{port}', stage='prefill'
        )
        thread.join()


@pytest.mark.parametrize('is_whole', [True, False])
def test_document_without_a_length_is_whole_or_refused(
    is_whole: bool,
) -> None:
    """Guards against a part of a document that is used."""
    client = server_client.ServerClient(connectors.DirectConnector())
    call = forwarding.CallerRequest(
        id='a1',
        method='POST',
        target='/x',
        path='/x',
        host='h',
        headers=(),
        body=b'',
    )
    hold, handle = b'{"hold":"h1"}', _HANDLE
    if not is_whole:
        hold, handle = hold[:-1], handle[:-1]
    expected = (
        contextlib.nullcontext()
        if is_whole
        else pytest.raises((errors.NoReplyError, errors.DecodeError))
    )
    with _unframed(hold) as server, expected:
        assert client.reserve(server, 1, 1.0).text == 'h1'
    with _unframed(handle) as server, expected:
        flight = client.prefill(call, server, 1.0)
        flight.send(1.0)
        flight.read_head(1.0)
        body = prefill_clients.read_body(flight, 1.0)
        flight.close()
        assert client.decode_handle(body) == 'h1'
