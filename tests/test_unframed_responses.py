"""Responses with neither a length nor chunks, which end with their connection."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import socket
import struct
import threading
import time
from typing import Final

import pytest

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale_adapters import backend_request
from foxtaildale_adapters import connection_relay
from foxtaildale_adapters import connectors
from foxtaildale_adapters import idle_connections
from foxtaildale_adapters import liveness
from tests import site as sites
from tests.standins import relay as relays

_HEAD: Final = (
    b'HTTP/1.1 %b\r\nFoxtaildale-Attempt-Id: %b\r\n'
    b'Foxtaildale-Response-Stamp: s.%b\r\n'
)
_STREAM: Final = b'Content-Type: text/event-stream\r\n\r\n'
_EVENTS: Final = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
# Response to a reservation.
_HOLD: Final = (
    b'HTTP/1.1 200 OK\r\nContent-Length: 13\r\nConnection: close\r\n\r\n'
    b'{"hold":"h1"}'
)
# Closes a connection with a reset.
_ABORT: Final = struct.pack('ii', 1, 0)


class _Server:
    """Answers with bytes and closes; the way it closes is a field."""

    def __init__(self, body: bytes, *, head: bytes = b'\r\n') -> None:
        self._listener = socket.create_server(('127.0.0.1', 0))
        host, port = self._listener.getsockname()
        self.address = f'{host}:{port}'
        self.bodies: Iterator[bytes] = itertools.repeat(body)
        self.resets = False
        # Whether the server is gone once it has answered.
        self.crashes = False
        # Whether all connections are closed after the answer, as they are while a
        # process ends, and whether no more requests are answered.
        self.drops = False
        self.is_silent = False
        # Whether the connection stays open until the server is closed.
        self.hangs = False
        self._closing = threading.Event()
        self._answered = False
        self._queued: list[socket.socket] = []
        self._open: list[socket.socket] = []
        self._threads: list[threading.Thread] = []
        self.status = b'200 OK'
        # How long the server waits between its last byte and the close, seconds.
        self.wait_s = 0.0
        self._head = head
        self._start(self._accept)

    def close(self) -> None:
        self._closing.set()
        # Wakes a thread that waits for a connection.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for conn in (*self._queued, *self._open):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
            conn.close()
        for thread in self._threads:
            thread.join()

    def _start(self, target: Callable[..., None], *args: object) -> None:
        thread = threading.Thread(target=target, args=args, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if self._answered and self.is_silent:
                self._queued.append(sock)
                continue
            self._open.append(sock)
            self._start(self._serve, sock)

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            if not (self._answered and self.drops):
                self._answer(sock)

    def _answer(self, sock: socket.socket) -> None:
        request = b''
        while b'\r\n\r\n' not in request:
            data = sock.recv(65536)
            if not data:
                return
            request += data
        if b' /api/' in request.partition(b'\r\n')[0]:
            if self._answered and self.is_silent:
                self._closing.wait()
            elif not (self._answered and (self.crashes or self.drops)):
                sock.sendall(_HOLD)
            return
        found = [
            line.partition(b': ')[2]
            for line in request.split(b'\r\n')
            if line.lower().startswith(b'foxtaildale-attempt-id')
        ]
        attempt = found[0] if found else b'-'
        sock.sendall(_HEAD % (self.status, attempt, attempt) + self._head)
        sock.sendall(next(self.bodies))
        if self.hangs:
            self._closing.wait()
        self._closing.wait(self.wait_s)
        self._answered = True
        if self.crashes:
            self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
        if self.resets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)


@pytest.fixture
def make() -> Iterator[Callable[..., _Server]]:
    made: list[_Server] = []

    def start(body: bytes, *, head: bytes = b'\r\n') -> _Server:
        made.append(_Server(body, head=head))
        return made[-1]

    yield start
    for server in made:
        server.close()


@pytest.fixture
def site() -> Iterator[sites.Site]:
    made = sites.Site()
    try:
        made.store.put('keyed.op', 'config', sites.config(1))
        yield made
    finally:
        made.close()


def _request(
    server: _Server,
    connector: connectors.Connector | None = None,
    method: str = 'GET',
) -> backend_request.Request:
    """Returns a request to a service that is known to be unframed."""
    connector = connector or connectors.DirectConnector()
    shared = liveness.Liveness(
        connector,
        idle_connections.IdleConnections(time.monotonic),
        path='/api/x',
        attempt_header='foxtaildale-attempt-id',
    )
    shared.unframed.record('s', framed=False)
    return backend_request.Request(
        server.address,
        method=method,
        target='/',
        headers={},
        body=b'',
        connector=connector,
        watch=shared.watch(server.address, 's'),
    )


def _read(server: _Server) -> bytes:
    request = _request(server)
    try:
        request.send(1.0)
        request.read_head(1.0)
        return b''.join(iter(lambda: request.read(1.0), b''))
    finally:
        request.close()


def test_body_that_ends_with_its_connection_is_whole(
    make: Callable[..., _Server],
) -> None:
    assert _read(make(b'abc')) == b'abc'


@pytest.mark.parametrize('fault', ['resets', 'crashes', 'drops', 'is_silent'])
def test_body_that_breaks_off_is_not_whole(
    make: Callable[..., _Server], fault: str
) -> None:
    """Guards against a crash that is taken for the end of a response."""
    server = make(b'abc')
    setattr(server, fault, True)
    with pytest.raises(errors.ConnectionBrokenError):
        _read(server)


def test_body_is_not_whole_if_the_request_is_cancelled(
    make: Callable[..., _Server],
) -> None:
    """Guards against a cancellation that is taken for the end of a response."""
    server = make(b'abc')
    server.hangs = True
    request = _request(server)
    request.send(1.0)
    request.read_head(1.0)
    assert request.read(1.0) == b'abc'
    canceller = threading.Timer(0.1, request.cancel)
    canceller.start()
    with pytest.raises(errors.ConnectionBrokenError):
        request.read(5.0)
    canceller.join()
    request.close()


@pytest.mark.parametrize(
    ('method', 'status'), [('HEAD', b'200 OK'), ('GET', b'204 No Content')]
)
def test_response_without_body_is_whole(
    make: Callable[..., _Server], method: str, status: bytes
) -> None:
    """Guards against a probe where the end does not depend on the connection."""
    server = make(b'')
    server.status = status
    server.crashes = True
    request = _request(server, method=method)
    request.send(1.0)
    request.read_head(1.0)
    assert request.read(1.0) == b''
    request.close()


def _list(
    site: sites.Site,
    server: _Server,
    service: str,
    stage: str,
    name: str = 'w1',
) -> None:
    """Lists a server in the place of a stand-in."""
    worker = site.worker(name, service, stage)
    entry = worker.entry() | {'address': server.address}
    site.store.put('keyed.servers', name, entry)


def _start(site: sites.Site) -> None:
    site.router()
    sites.until(lambda: sites.ready(site))
    sites.until(lambda: 'vm-1' in site.routers[0].entry_vms())


def _make_known(site: sites.Site, target: str) -> None:
    """Sends the first request of a service, whose response has no proof."""
    _, _, body = sites.send(site, 'POST', target, attempt='first')
    assert body == b'(cut)' or b'"code"' in body


def test_plain_response_without_length_reaches_the_caller(
    site: sites.Site, make: Callable[..., _Server]
) -> None:
    _list(site, make(b'whole'), 'plain', '')
    _start(site)
    _make_known(site, '/once/a')
    status, _, body = sites.send(site, 'POST', '/safe/a')
    assert (status, body) == (200, b'whole')


@pytest.mark.parametrize('fault', ['resets', 'crashes'])
def test_plain_response_that_breaks_off_is_no_success(
    site: sites.Site, make: Callable[..., _Server], fault: str
) -> None:
    """Guards against a part of a response that looks complete."""
    server = make(b'part')
    setattr(server, fault, True)
    _list(site, server, 'plain', '')
    _start(site)
    status, _, _ = sites.send(site, 'POST', '/once/a')
    assert status == 502


def test_stream_without_length_reaches_the_caller(
    site: sites.Site, make: Callable[..., _Server]
) -> None:
    _list(site, make(_EVENTS, head=_STREAM), 'model', 'decode')
    _start(site)
    _make_known(site, '/single/a')
    status, _, body = sites.send(site, 'POST', '/single/a')
    assert (status, body) == (200, _EVENTS)


@pytest.mark.parametrize(
    ('body', 'fault'),
    [(_EVENTS + b'id: 3\nda', ''), (_EVENTS, 'resets'), (_EVENTS, 'crashes')],
    ids=['within an event', 'reset', 'crash'],
)
def test_stream_that_breaks_off_does_not_look_complete(
    site: sites.Site, make: Callable[..., _Server], body: bytes, fault: str
) -> None:
    """Guards against a stream that ends without its last events."""
    server = make(body, head=_STREAM)
    if fault:
        setattr(server, fault, True)
    _list(site, server, 'model', 'decode')
    _start(site)
    _, _, found = sites.send(site, 'POST', '/single/a')
    assert found == b'(cut)'


def test_stream_that_breaks_off_is_resumed(
    site: sites.Site, make: Callable[..., _Server]
) -> None:
    """Guards against a resume that repeats or omits events."""
    bodies = iter([_EVENTS + b'id: 3\nda', b'id: 3\ndata: c\n\n'])
    for name in ('w1', 'w2'):
        server = make(b'', head=_STREAM)
        server.bodies = bodies
        _list(site, server, 'model', 'decode', name)
    _start(site)
    status, _, body = sites.send(site, 'POST', '/chat/a')
    assert (status, body) == (200, _EVENTS + b'id: 3\ndata: c\n\n')


@pytest.mark.parametrize('target', ['/chat/a', '/safe/a'])
def test_reset_after_a_pause_does_not_look_complete(
    site: sites.Site, make: Callable[..., _Server], target: str
) -> None:
    """Guards against a reset that is lost while the router awaits more."""
    is_stream = target.startswith('/chat')
    server = make(_EVENTS, head=_STREAM if is_stream else b'\r\n')
    server.resets = True
    server.wait_s = 0.2
    _list(site, server, *(('model', 'decode') if is_stream else ('plain', '')))
    _start(site)
    status, _, body = sites.send(site, 'POST', target)
    assert body == b'(cut)' or status == 502


def test_reset_between_two_reads_is_not_lost(
    make: Callable[..., _Server],
) -> None:
    """Guards against an error that is dropped before the read that needs it."""
    server = make(b'abc')
    server.resets = True
    server.wait_s = 0.1
    request = _request(server)
    request.send(1.0)
    request.read_head(1.0)
    assert request.read(1.0) == b'abc'
    assert request.await_response(2.0)
    with pytest.raises(errors.ConnectionBrokenError):
        request.read(1.0)
    request.close()


_SECOND: Final = (
    b'HTTP/1.1 500 x\r\nContent-Length: 1\r\n'
    b'foxtaildale-attempt-id: a1\r\n\r\nx'
)


@pytest.mark.parametrize(
    ('body', 'expected'),
    [
        (b'whole' + _SECOND, 502),
        (b'whole' + b'a' * 70_000 + _SECOND, 502),
        (b'whole' + _SECOND.replace(b': a1', b': a12'), 200),
        (b'HTTP/1.1 200 OK\r\n\r\nfoxtaildale-attempt-id: a1\r\n', 200),
    ],
    ids=['second', 'second in a later block', 'other id', 'no head'],
)
def test_second_response_is_no_part_of_a_body(
    site: sites.Site,
    make: Callable[..., _Server],
    body: bytes,
    expected: int,
) -> None:
    """Guards against a late second response behind a body without a length."""
    _list(site, make(body), 'plain', '')
    _start(site)
    _make_known(site, '/once/a')
    status, _, found = sites.send(site, 'POST', '/once/a', attempt='a1')
    assert status == expected
    if expected == 200:
        assert found == body


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


def _start_relay(name: str) -> connection_relay.Relay:
    relay = connection_relay.Relay(
        '127.0.0.1:0',
        connectors.DirectConnector(),
        _Gate(),
        time.monotonic,
        name,
    )
    relay.start()
    return relay


@pytest.mark.parametrize('fault', ['', 'killed', 'restarted'])
def test_end_of_a_relaying_vm_is_no_end_of_the_response(
    make: Callable[..., _Server], fault: str
) -> None:
    """Guards against a killed relay whose closes look like the server's."""
    server = make(b'abc')
    server.hangs = bool(fault)
    first, second = _start_relay('relay-1'), _start_relay('relay-2')
    link = relays.Relay(first.address)
    request = _request(server, _RelayedConnector(link.address))
    with contextlib.closing(first), contextlib.closing(second), link:
        request.send(1.0)
        request.read_head(1.0)
        assert request.read(1.0) == b'abc'
        if not fault:
            assert request.read(1.0) == b''
        else:
            link.stop()
            if fault == 'restarted':
                link.target = second.address
                link.start()
            with pytest.raises(errors.ConnectionBrokenError):
                request.read(1.0)
        request.close()


@pytest.mark.parametrize('framed', [True, False])
@pytest.mark.parametrize('fault', ['reset', 'stop', 'silence'])
def test_stream_is_whole_however_its_link_ends(
    site: sites.Site, framed: bool, fault: str
) -> None:
    """Guards against the end of a link that looks like that of a stream."""
    broken: list[int] = []
    links = []
    for name in ('d1', 'd2'):
        worker = site.worker(name, 'model', 'decode')
        worker.framed = framed
        worker.pace_s = 0.05
        link = relays.Relay(worker.address)
        links.append(link)

        def on_event(
            number: int, _attempt: str, link: relays.Relay = link
        ) -> None:
            if number == 3 and not broken:
                broken.append(number)
                getattr(link, fault)()

        worker.on_event = on_event
        entry = worker.entry() | {'address': link.address}
        site.store.put('keyed.servers', name, entry)
    _start(site)
    status, _, body = sites.send(site, 'POST', '/chat/a', attempt='a1')
    for link in links:
        link.close()
    assert broken
    assert status == 200
    assert [line for line in body.split(b'\n') if line.startswith(b'id')] == [
        b'id: %d' % number for number in range(1, 6)
    ]
