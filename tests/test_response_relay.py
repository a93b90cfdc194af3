"""Many streams from engines to callers through one thread."""

from collections.abc import Iterator
import concurrent.futures
import contextlib
import itertools
import socket
import threading
import time

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
import xxhash

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import streams
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import engines
from foxtaildale_adapters import response_relay
from foxtaildale_adapters import stream_reader

# Far above what any test needs; reached only by a failing one.
PATIENCE_S = 20.0


class Kept:
    """A caller that keeps what it is sent."""

    def __init__(self) -> None:
        self.data = b''

    def send_nonblocking(self, data: bytes) -> bool:
        self.data += data
        return True

    def flush(self) -> bool:
        return True


def piece(position: int, text: str, request: str = 'r') -> bytes:
    found = backends.Chunk(
        request=request, attempt=1, stream='s', position=position, text=text
    )
    return b'id: x\ndata: %b\n\n' % msgspec.json.encode(found)


def answer(texts: list[str]) -> bytes:
    """Returns the events of a whole answer."""
    digest = xxhash.xxh64_hexdigest(''.join(texts).encode())
    last = backends.StreamEnd(
        request='r', attempt=1, stream='s', count=len(texts), digest=digest
    )
    pieces = [piece(position, text) for position, text in enumerate(texts)]
    return b''.join(pieces) + b'data: %b\n\n' % msgspec.json.encode(last)


def make(
    caller: response_relay.Caller, rest: bytes = b''
) -> response_relay.Flow:
    return response_relay.Flow(
        exchange=caller,
        checker=streams.Checker('r', 1, 's'),
        framer=streams.Framer('r', 'w', 's', 'm', 7),
        clock=time.monotonic,
        sent_times=[],
        partial_event=rest,
    )


@pytest.fixture
def carrier() -> Iterator[stream_reader.StreamReader]:
    found = stream_reader.StreamReader()
    found.start()
    yield found
    found.close()


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.text(max_size=4), max_size=6),
    strategies.lists(strategies.integers(0, 800), max_size=6),
)
def test_blocks_may_end_anywhere(texts: list[str], cuts: list[int]) -> None:
    """The network delivers an event in parts, or many at once.

    A dispatcher must not see less, more or other text for it.
    """
    data = answer(texts)
    whole = Kept()
    assert not make(whole).feed(data)
    kept = Kept()
    found = make(kept)
    places = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    for start, end in itertools.pairwise(places):
        found.feed(data[start:end])
    assert found.stream_end is not None
    assert kept.data == whole.data
    assert kept.data.count(b'"content":') == len(texts)


def test_a_foreign_piece_ends_the_flow_and_is_not_shown() -> None:
    """An engine crosses two answers; the wrong one must not be read."""
    kept = Kept()
    found = make(kept)
    data = piece(0, 'own') + piece(1, 'foreign', request='other')
    assert not found.feed(data + piece(1, 'own too'))
    assert found.fault == 'foreign'
    assert b'own' in kept.data
    assert b'foreign' not in kept.data
    assert b'own too' not in kept.data


def test_an_event_without_an_end_is_not_kept() -> None:
    """An engine gone wrong sends one event for ever."""
    found = make(Kept())
    with pytest.raises(errors.NoReplyError):
        for _ in range(40):
            found.feed(b'x' * 65536)


def test_many_streams_share_one_thread(
    carrier: stream_reader.StreamReader,
) -> None:
    texts = [f' {number}' for number in range(50)]
    with contextlib.ExitStack() as stack:
        pool = stack.enter_context(concurrent.futures.ThreadPoolExecutor(40))
        pairs = [socket.socketpair() for _ in range(40)]
        kept = [Kept() for _ in pairs]
        flows = [make(caller) for caller in kept]
        futs = [
            pool.submit(found.run, carrier, near, PATIENCE_S)
            for found, (near, _) in zip(flows, pairs, strict=True)
        ]
        data = answer(texts)
        for start in range(0, len(data), 100):
            for _, far in pairs:
                far.sendall(data[start : start + 100])
        for fut in futs:
            fut.result(PATIENCE_S)
        for near, far in pairs:
            near.close()
            far.close()
    assert all(found.stream_end is not None for found in flows)
    assert len({caller.data for caller in kept}) == 1


def test_a_stream_that_breaks_off_is_lost(
    carrier: stream_reader.StreamReader,
) -> None:
    """An engine dies in mid-answer; half a summary must not look whole."""
    near, far = socket.socketpair()
    far.sendall(piece(0, 'a'))
    far.close()
    found = make(Kept())
    with near, pytest.raises(errors.NoReplyError, match='ended'):
        found.run(carrier, near, PATIENCE_S)
    assert found.stream_end is None


def test_a_silent_stream_is_lost(carrier: stream_reader.StreamReader) -> None:
    """Something between forgot the connection; no end will ever come."""
    near, far = socket.socketpair()
    with near, far, pytest.raises(errors.NoReplyError, match='silent'):
        make(Kept()).run(carrier, near, 0.1)


def test_a_shutdown_from_elsewhere_ends_a_stream(
    carrier: stream_reader.StreamReader,
) -> None:
    """The caller went away; the slot must come free without another token."""
    near, far = socket.socketpair()
    with near, far, concurrent.futures.ThreadPoolExecutor(1) as pool:
        handle = near.dup()
        fut = pool.submit(make(Kept()).run, carrier, handle, PATIENCE_S)
        near.shutdown(socket.SHUT_RDWR)
        near.close()
        with pytest.raises(errors.NoReplyError):
            fut.result(PATIENCE_S)
        handle.close()


def test_a_fault_of_one_stream_leaves_the_others(
    carrier: stream_reader.StreamReader,
) -> None:
    """One engine sends garbage; every other caller reads on."""
    near, far = socket.socketpair()
    other_near, other_far = socket.socketpair()
    kept = Kept()
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        bad = pool.submit(make(Kept()).run, carrier, near, PATIENCE_S)
        good = pool.submit(make(kept).run, carrier, other_near, PATIENCE_S)
        far.sendall(b'data: {garbage\n\n')
        with pytest.raises(errors.NoReplyError):
            bad.result(PATIENCE_S)
        other_far.sendall(answer(['a', 'b']))
        good.result(PATIENCE_S)
    assert kept.data.endswith(streams.DONE)
    for sock in (near, far, other_near, other_far):
        sock.close()


def test_close_ends_every_stream() -> None:
    carrier = stream_reader.StreamReader()
    carrier.start()
    near, far = socket.socketpair()
    with near, far, concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(make(Kept()).run, carrier, near, PATIENCE_S)
        carrier.close()
        with pytest.raises(errors.NoReplyError):
            fut.result(PATIENCE_S)
        with pytest.raises(errors.NoReplyError):
            carrier.read_stream(near, make(Kept()), PATIENCE_S)


class Spy:
    """Notes when a caller lags behind."""

    def __init__(
        self, exchange: caller_server.Exchange, lagged: threading.Event
    ) -> None:
        self._exchange = exchange
        self._lagged = lagged
        self._behind = False

    def send_nonblocking(self, data: bytes) -> bool:
        # Else the engine's whole answer would pile up here.
        assert not self._behind
        sent = self._exchange.send_nonblocking(data)
        if not sent:
            self._behind = True
            self._lagged.set()
        return sent

    def flush(self) -> bool:
        self._behind = False
        return self._exchange.flush()


def test_a_stream_is_taken_over_from_its_iterator() -> None:
    """What the iterator had read ahead must neither be lost nor repeated.

    A block holds two pieces and the start of a third when the shared thread
    takes the stream.
    """
    data = answer(['a', 'b', 'c'])
    head = b'HTTP/1.0 200 OK\r\n\r\n'
    cut = data.index(b'"position":2')

    def serve(listener: socket.socket) -> None:
        conn, _ = listener.accept()
        with conn:
            conn.recv(65536)
            conn.sendall(head + data[:cut])
            assert taken.wait(PATIENCE_S)
            conn.sendall(data[cut:])

    taken = threading.Event()
    carrier = stream_reader.StreamReader()
    carrier.start()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        engine = threading.Thread(target=serve, args=(listener,))
        engine.start()
        req = backends.DecodeReq(
            request='r', attempt=1, holder='h', stream='s', max_tokens=3
        )
        address = f'127.0.0.1:{listener.getsockname()[1]}'
        stream = engines.Engines().decode(address, req, PATIENCE_S)
        first = next(stream)
        found = response_relay.detach(stream)
        taken.set()
        assert found.sock is not None
        kept = Kept()
        relayed = make(kept, found.partial_event)
        assert relayed.relay([first, *found.buffered_events])
        with found.sock:
            relayed.run(carrier, found.sock, PATIENCE_S)
        stream.close()
        engine.join()
    carrier.close()
    assert relayed.stream_end is not None
    assert kept.data.count(b'"content":') == 3


def test_a_closed_stream_is_not_taken_over() -> None:
    """The caller went away just before; its handle may be another's."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = f'127.0.0.1:{listener.getsockname()[1]}'

        def serve() -> None:
            conn, _ = listener.accept()
            with conn:
                conn.recv(65536)
                conn.sendall(b'HTTP/1.0 200 OK\r\n\r\n' + piece(0, 'a'))
                conn.recv(1)

        engine = threading.Thread(target=serve)
        engine.start()
        req = backends.DecodeReq(
            request='r', attempt=1, holder='h', stream='s', max_tokens=3
        )
        stream = engines.Engines().decode(address, req, PATIENCE_S)
        next(stream)
        stream.close()
        with pytest.raises(errors.NoReplyError):
            response_relay.detach(stream)
        engine.join()


class Relayed:
    """A handler that relays from one end of a socket pair."""

    def __init__(self, carrier: stream_reader.StreamReader) -> None:
        self._carrier = carrier
        # Engines' ends by path.
        self.engines: dict[str, socket.socket] = {}
        self._near: dict[str, socket.socket] = {}
        self.ended = threading.Semaphore(0)
        self.lagged = threading.Event()

    def add(self, path: str) -> socket.socket:
        self._near[path], self.engines[path] = socket.socketpair()
        return self.engines[path]

    def handle(self, exchange: caller_server.Exchange) -> None:
        exchange.start(200, {'Content-Type': 'text/event-stream'})
        found = make(Spy(exchange, self.lagged))
        with self._near[exchange.path] as near:
            found.run(self._carrier, near, PATIENCE_S)
        exchange.finish()
        self.ended.release()


def test_a_slow_caller_holds_up_nobody_and_loses_nothing(
    carrier: stream_reader.StreamReader,
) -> None:
    """One caller stops reading for a while, with its window full.

    If the shared thread waited for it, every crew behind this entry VM would
    wait with it.
    """
    handler = Relayed(carrier)
    server = caller_server.Server('127.0.0.1:0', handler, 4, PATIENCE_S, 1000)
    host, _, port = server.start().rpartition(':')
    slow_engine, quick_engine = handler.add('/slow'), handler.add('/quick')
    texts = ['x' * 1000] * 12_000

    def connect(path: str) -> socket.socket:
        sock = socket.socket()
        sock.settimeout(PATIENCE_S)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        sock.connect((host, int(port)))
        sock.sendall(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        return sock

    def feed_slow() -> None:
        slow_engine.sendall(answer(texts))

    feeder = threading.Thread(target=feed_slow, daemon=True)
    with connect('/slow') as slow, connect('/quick') as quick:
        feeder.start()
        # Nothing is read from `slow`, and more than any buffer holds comes.
        assert handler.lagged.wait(PATIENCE_S)
        quick_engine.sendall(answer(['a', 'b']))
        got = b''
        while b'[DONE]' not in got:
            got += quick.recv(65536)
        assert handler.ended.acquire(timeout=PATIENCE_S)
        assert feeder.is_alive()
        count, tail = 0, b''
        while b'0\r\n\r\n' not in tail[-5:]:
            block = slow.recv(1 << 20)
            assert block
            count += (tail[-9:] + block).count(b'"content":')
            tail = tail[-9:] + block
        assert handler.ended.acquire(timeout=PATIENCE_S)
        feeder.join()
    server.close()
    assert count == len(texts)
