"""The HTTP clients against the stand-ins and against broken servers."""

from collections.abc import Callable
from collections.abc import Iterator
import socket
import threading

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import urllib3

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import values
from foxtaildale_adapters import engines
from foxtaildale_adapters import exchange
from foxtaildale_adapters import platform
from foxtaildale_adapters import services
from tests import fleet
from tests.standins import relay
from tests.standins import serving

_HTTP = urllib3.PoolManager()
_PROMPT = 'is stand four clear ' * 10


def faults(proc: fleet.Proc, **fields: object) -> None:
    _HTTP.request('POST', f'http://{proc.address}/faults', json=fields)


def record(proc: fleet.Proc, path: str = 'record') -> list[serving.Execution]:
    resp = _HTTP.request('GET', f'http://{proc.address}/{path}')
    return msgspec.json.decode(resp.data, type=list[serving.Execution])


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
def store(procs: fleet.Fleet) -> fleet.Proc:
    return procs.standin('platform', '--list-lag-s', '0')


@pytest.fixture(scope='module')
def desk(procs: fleet.Fleet) -> fleet.Proc:
    return procs.standin('service')


def _calls(address: str) -> list[Callable[[], object]]:
    store = platform.Platform(address, 5.0)
    models = engines.Engines(short_s=5.0)
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
        with pytest.raises(errors.AnswerLostError):
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
    before = len(record(desk))
    for request in ('a\r\nX-Evil: 1', 'é', '\x00'):
        with pytest.raises(errors.UnreachableError):
            services.Services().call(desk.address, 'c', b'', request, 5.0)
    assert len(record(desk)) == before


def test_records_come_back_in_order(store: fleet.Proc) -> None:
    client = platform.Platform(store.address, 5.0)
    assert client.append('order', [b'a', b'b']) == 0
    assert client.append('order', [b'c']) == 2
    batch = client.read('order', 1)
    assert [(r.offset, r.data) for r in batch.records] == [(1, b'b'), (2, b'c')]
    assert (batch.first, batch.end) == (0, 3)


def test_lapsed_records_name_the_oldest_one(procs: fleet.Fleet) -> None:
    """A VM starts after the records that it needs have been dropped.

    Told of an empty log it would believe that no preset was ever published.
    """
    store = procs.standin('platform', '--keep-records', '2')
    client = platform.Platform(store.address, 5.0)
    client.append('s', [b'a', b'b', b'c', b'd', b'e'])
    with pytest.raises(errors.LapsedError) as caught:
        client.read('s', 0)
    assert caught.value.first == 3
    assert client.read('s', 3).records[0].data == b'd'


def test_a_lost_append_may_have_taken_effect(store: fleet.Proc) -> None:
    """The log takes a claim and the answer is lost on its way back.

    A client that repeated it, or said "not written", would have the summary
    billed twice or refused though it is claimed.
    """
    client = platform.Platform(store.address, 5.0)
    faults(store, lose_answers=1)
    with pytest.raises(errors.AnswerLostError):
        client.append('lost', [b'claim'])
    assert [r.data for r in client.read('lost', 0).records] == [b'claim']
    assert client.append('lost', [b'next']) == 1


def test_a_store_that_is_down_says_so(store: fleet.Proc) -> None:
    client = platform.Platform(store.address, 5.0)
    faults(store, down=True)
    try:
        with pytest.raises(errors.RejectedError) as caught:
            client.append('down', [b'a'])
    finally:
        faults(store, down=False)
    assert caught.value.code == 'down'
    assert client.read('down', 0).end == 0


def test_the_list_grows_in_version_and_can_freeze(store: fleet.Proc) -> None:
    client = platform.Platform(store.address, 5.0)
    listing = values.Listing(
        0,
        (),
        (
            values.BackendServer(
                name='w',
                address='127.0.0.1:1',
                data_centre='halle-nord',
                service='enteis-llm',
                role='decode',
            ),
        ),
    )
    url = f'http://{store.address}/vms'
    _HTTP.request('PUT', url, body=msgspec.json.encode(listing))
    shown = client.listing()
    assert shown.backend_servers == listing.backend_servers
    faults(store, list_frozen=True)
    _HTTP.request('PUT', url, body=msgspec.json.encode(listing))
    assert client.listing() == shown
    faults(store, list_frozen=False)
    assert client.listing().version == shown.version + 1


def test_a_hung_store_costs_one_bounded_wait(procs: fleet.Fleet) -> None:
    """The store's process hangs: connections open, answers never come.

    Without a breaker each request of a caller waits for the whole timeout.
    """
    store = procs.standin('platform')
    client = platform.Platform(store.address, 0.3, hold_off_s=3600.0)
    client.append('s', [b'a'])
    store.freeze()
    with pytest.raises(errors.AnswerLostError):
        client.append('s', [b'b'])
    for _ in range(100):
        with pytest.raises(errors.UnreachableError, match='not answering'):
            client.append('s', [b'c'])
    store.thaw()


def test_a_store_that_restarts_is_reached_at_once(procs: fleet.Fleet) -> None:
    """The store's process is down and refuses connections, which costs no wait.

    If that opened the breaker too, claims would be refused after its restart.
    """
    store = procs.standin('platform')
    client = platform.Platform(store.address, 5.0, hold_off_s=3600.0)
    store.kill()
    with pytest.raises(errors.UnreachableError):
        client.append('s', [b'a'])
    procs.standin('platform', '--address', store.address)
    assert client.append('s', [b'a']) == 0


def test_a_silent_connection_is_replaced(store: fleet.Proc) -> None:
    """Something in between forgets an open connection; new ones work.

    A client that waits on the old one hangs for good, call after call.
    """
    with relay.Relay(store.address) as middle:
        client = exchange.Exchange()
        failed: list[errors.PortError] = []

        def call() -> None:
            try:
                client.send(middle.address, 'GET', '/vms', timeout_s=0.5)
            except errors.PortError as exc:
                failed.append(exc)

        def call_twice_at_once() -> None:
            faults(store, slow_ms=150)
            threads = [threading.Thread(target=call) for _ in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            faults(store, slow_ms=0)

        # Leaves two idle connections behind.
        call_twice_at_once()
        assert (middle.accepted, failed) == (2, [])
        middle.silence()
        call()
        assert len(failed) == 1
        call_twice_at_once()
        assert (middle.accepted, len(failed)) == (4, 1)


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
    client = exchange.Exchange(lambda: float(next(ticks)))
    with pytest.raises(exchange.TimeoutLostError, match='in time'):
        client.send(raw.address, 'GET', '/vms', timeout_s=5.0)


def test_an_idle_connection_is_not_used_again(store: fleet.Proc) -> None:
    """A server closes idle connections just as the next request leaves.

    That request's fate is unknown, though the server never saw it.
    """
    now = 0.0
    with relay.Relay(store.address) as middle:
        client = exchange.Exchange(lambda: now)
        for _ in range(2):
            client.send(middle.address, 'GET', '/vms', timeout_s=5.0)
        assert middle.accepted == 1
        now = exchange.IDLE_S + 1.0
        client.send(middle.address, 'GET', '/vms', timeout_s=5.0)
        assert middle.accepted == 2


def test_a_call_whose_answer_is_lost_ran_once(desk: fleet.Proc) -> None:
    """The desk logs a check-in and its answer is lost.

    A client that repeats the call by itself logs the lineman twice.
    """
    faults(desk, lose_answers=1)
    with pytest.raises(errors.AnswerLostError):
        services.Services().call(desk.address, 'check-in', b'{}', 'lost', 5.0)
    ran = [e for e in record(desk, 'executions') if e.request == 'lost']
    assert len(ran) == 1


def test_a_call_that_is_late_is_lost_and_still_runs(desk: fleet.Proc) -> None:
    """The desk executes a check-in after the client gave up on it.

    "Not run" would have been a lie.
    """
    faults(desk, late_ms=400)
    try:
        with pytest.raises(errors.AnswerLostError):
            services.Services().call(
                desk.address, 'check-in', b'{}', 'late', 0.1
            )
        fleet.until(lambda: [e for e in record(desk) if e.request == 'late'])
    finally:
        faults(desk, late_ms=0)


def test_a_cut_before_the_answer_is_lost_not_unsent(desk: fleet.Proc) -> None:
    with relay.Relay(desk.address) as middle:
        middle.cut()
        with pytest.raises(errors.AnswerLostError):
            services.Services().call(middle.address, 'c', b'', 'cut', 5.0)


def test_a_service_answers_what_it_says(desk: fleet.Proc) -> None:
    reply = services.Services().call(desk.address, 'queue', b'{}', 'q', 5.0)
    assert reply.status == 200
    assert msgspec.json.decode(reply.body)['call'] == 'queue'
