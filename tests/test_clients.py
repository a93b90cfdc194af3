"""The HTTP clients against plain services and against broken servers."""

from collections.abc import Callable
from collections.abc import Iterator
import socket
import threading

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale_adapters import engines
from foxtaildale_adapters import http_client
from foxtaildale_adapters import platform
from foxtaildale_adapters import services
from tests import fleet
from tests.standins import control
from tests.standins import relay


class _Raw:
    """Answers every connection with the same bytes and closes it."""

    def __init__(self) -> None:
        self.reply = b''
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            with conn:
                conn.recv(65536)
                conn.sendall(self.reply)

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@pytest.fixture(scope='module')
def raw() -> Iterator[_Raw]:
    server = _Raw()
    yield server
    server.close()


@pytest.fixture(scope='module')
def procs() -> Iterator[fleet.Fleet]:
    with fleet.Fleet() as started:
        yield started


@pytest.fixture(scope='module')
def desk(procs: fleet.Fleet) -> fleet.Proc:
    return procs.standin('service')


def _calls(address: str) -> list[Callable[[], object]]:
    store = platform.Platform(address, 5.0)
    models = engines.Engines(short_call_timeout_s=5.0)
    decode = backends.DecodeReq(
        request='r', attempt=1, holder='h', stream='s', max_tokens=3
    )
    return [
        lambda: store.append('s', [b'a']),
        lambda: store.read('s', 0),
        store.listing,
        lambda: models.load(address),
        lambda: list(models.decode(address, decode, 5.0)),
        lambda: services.Services().call(address, 'c', b'', 'r', 5.0),
    ]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=60),
        strategies.binary(max_size=60).map(
            lambda tail: b'HTTP/1.1 200 OK\r\n\r\n' + tail
        ),
        strategies.binary(max_size=60).map(
            lambda tail: b'HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n' + tail
        ),
        strategies.binary(max_size=60).map(
            lambda tail: (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n' + tail
            )
        ),
        strategies.tuples(
            strategies.integers(300, 599), strategies.binary(max_size=30)
        ).map(lambda pair: b'HTTP/1.1 %d x\r\n\r\n%s' % pair),
    )
)
@hypothesis.example(b'HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}')
@hypothesis.example(b'HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n{}')
@hypothesis.example(b'HTTP/1.1 307 x\r\nLocation: http://127.0.0.1:1/\r\n\r\n')
@hypothesis.example(b'HTTP/1.1 410 Gone\r\n\r\n{"first": "x"}')
@hypothesis.example(
    b'HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n\x1f\x8b\x08'
)
def test_garbage_from_outside_gives_typed_errors_only(
    raw: _Raw, reply: bytes
) -> None:
    """Something that isn't the platform or an engine answers on its port.

    An error that nobody expects would end the thread that serves a caller.
    """
    raw.reply = reply
    for call in _calls(raw.address):
        try:
            call()
        except errors.PortError:
            pass


def test_garbage_never_counts_as_not_sent(raw: _Raw) -> None:
    """A backend server executes a call and then answers nonsense.

    "Nothing was sent" would let the router tell the caller "not run".
    """
    raw.reply = b'nonsense'
    for call in _calls(raw.address):
        with pytest.raises(errors.NoReplyError):
            call()


def test_a_refused_connection_means_nothing_was_sent() -> None:
    """A process died and its VM refuses connections.

    The request certainly did not run, and may be tried elsewhere.
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
    for call in _calls(f'127.0.0.1:{port}'):
        with pytest.raises(errors.UnreachableError):
            call()


@pytest.mark.parametrize('address', ['', 'x', '127.0.0.1', '127.0.0.1:99999'])
def test_a_bad_address_means_nothing_was_sent(address: str) -> None:
    for call in _calls(address):
        with pytest.raises(errors.UnreachableError):
            call()


def test_a_header_that_cannot_be_sent_is_not_sent(desk: fleet.Proc) -> None:
    """A caller puts a line break into an id to smuggle a header in."""
    before = len(control.record(desk))
    for request in ('a\r\nX-Evil: 1', 'é', '\x00'):
        with pytest.raises(errors.UnreachableError):
            services.Services().call(desk.address, 'c', b'', request, 5.0)
    assert len(control.record(desk)) == before


def test_a_call_never_meets_a_forgotten_connection(desk: fleet.Proc) -> None:
    """Something in between forgets a connection that was kept open.

    A check-in sent on it is lost, and nobody can say whether it ran.
    """
    with relay.Relay(desk.address) as middle:
        for request in ('one', 'two'):
            reply = services.Services().call(
                middle.address, 'check-in', b'{}', request, 1.0
            )
            assert reply.status == 200
            middle.silence()
        client = services.Services()
        for request in ('three', 'four'):
            client.call(middle.address, 'check-in', b'{}', request, 1.0)
            middle.silence()


def test_an_answer_that_trickles_is_given_up(raw: _Raw) -> None:
    """A sick store sends its answer a byte at a time.

    Each byte satisfies the socket's timeout, so a request could wait for ever.
    """
    raw.reply = b'HTTP/1.1 200 OK\r\n\r\nx'
    ticks = iter(range(0, 1000, 10))
    client = http_client.HttpClient(lambda: float(next(ticks)))
    with pytest.raises(http_client.ResponseTimeoutError, match='in time'):
        client.send(raw.address, 'GET', '/vms', timeout_s=5.0)


def test_a_call_whose_answer_is_lost_ran_once(desk: fleet.Proc) -> None:
    """The desk logs a check-in and its answer is lost.

    A client that repeats the call by itself logs the lineman twice.
    """
    control.faults(desk, lose_answers=1)
    with pytest.raises(errors.NoReplyError):
        services.Services().call(desk.address, 'check-in', b'{}', 'lost', 5.0)
    ran = [e for e in control.record(desk, 'executions') if e.request == 'lost']
    assert len(ran) == 1


def test_a_call_that_is_late_is_lost_and_still_runs(desk: fleet.Proc) -> None:
    """The desk executes a check-in after the client gave up on it.

    "Not run" would have been a lie.
    """
    control.faults(desk, late_ms=400)
    try:
        with pytest.raises(errors.NoReplyError):
            services.Services().call(
                desk.address, 'check-in', b'{}', 'late', 0.1
            )
        fleet.until(
            lambda: [e for e in control.record(desk) if e.request == 'late']
        )
    finally:
        control.faults(desk, late_ms=0)


def test_a_cut_before_the_answer_is_lost_not_unsent(desk: fleet.Proc) -> None:
    with relay.Relay(desk.address) as middle:
        middle.cut()
        with pytest.raises(errors.NoReplyError):
            services.Services().call(middle.address, 'c', b'', 'cut', 5.0)


def test_a_service_answers_what_it_says(desk: fleet.Proc) -> None:
    reply = services.Services().call(desk.address, 'queue', b'{}', 'q', 5.0)
    assert reply.status == 200
    assert msgspec.json.decode(reply.body)['call'] == 'queue'
