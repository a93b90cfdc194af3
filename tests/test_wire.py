"""Messages between processes over ZeroMQ, under failures of the network."""

from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import socket
import threading
import time

import hypothesis
from hypothesis import strategies
import pytest
import zmq

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale_adapters import zmq_responder
from tests.standins import relay

HEARTBEAT_S = 0.05
SILENCE_S = 0.25
# Far above what any test needs; reached only by a failing one.
PATIENCE_S = 20.0


def echo(msg: messages.Message) -> messages.Message:
    """Answers a `StateRequest` with its own offset."""
    assert isinstance(msg, messages.StateRequest)
    return messages.StateReply(
        offset=msg.offset, digest='', state=b'', listing=None
    )


def offset_of(reply: messages.Message) -> int:
    assert isinstance(reply, messages.StateReply)
    return reply.offset


def until(condition: Callable[[], bool]) -> None:
    """Waits for a condition."""
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, 'condition never came true'
        time.sleep(0.002)


@pytest.fixture
def peers() -> Iterator[zmq_responder.Peers]:
    found = zmq_responder.Peers(HEARTBEAT_S, SILENCE_S)
    yield found
    found.close()


@pytest.fixture
def serve() -> Iterator[Callable[[zmq_responder.Handler], str]]:
    """Starts a responder for each handler it is called with."""
    started = []

    def start(handler: zmq_responder.Handler) -> str:
        responder = zmq_responder.Responder('127.0.0.1:0', handler)
        started.append(responder)
        return responder.start()

    yield start
    for responder in started:
        responder.close()


@pytest.fixture
def responder() -> Iterator[tuple[zmq_responder.Responder, str]]:
    found = zmq_responder.Responder('127.0.0.1:0', echo)
    yield found, found.start()
    found.close()


def test_an_ask_gets_its_reply(
    peers: zmq_responder.Peers, serve: Callable[[zmq_responder.Handler], str]
) -> None:
    address = serve(echo)
    reply = peers.request(address, messages.StateRequest(offset=7), PATIENCE_S)
    assert offset_of(reply) == 7


def test_a_failing_handler_is_a_rejection(
    peers: zmq_responder.Peers, serve: Callable[[zmq_responder.Handler], str]
) -> None:
    """A handler meets a fault of its own; the process must live on."""

    def fail(msg: messages.Message) -> messages.Message:
        if isinstance(msg, messages.DumpRequest):
            raise errors.RejectedError('full', 'no room')
        raise KeyError('x')

    address = serve(fail)
    with pytest.raises(errors.RejectedError) as caught:
        peers.request(address, messages.DumpRequest(), PATIENCE_S)
    assert caught.value.code == 'full'
    with pytest.raises(errors.RejectedError) as caught:
        peers.request(address, messages.StateRequest(offset=1), PATIENCE_S)
    assert caught.value.code == 'error'


def test_a_broken_invariant_reaches_the_process(
    monkeypatch: pytest.MonkeyPatch,
    peers: zmq_responder.Peers,
    serve: Callable[[zmq_responder.Handler], str],
) -> None:
    """Two outcomes stand for one identity: going on would make it worse."""
    seen: list[object] = []
    monkeypatch.setattr(
        threading, 'excepthook', lambda args: seen.append(args.exc_type)
    )

    def broken(msg: messages.Message) -> messages.Message:
        raise errors.InvariantError('two outcomes')

    address = serve(broken)
    with pytest.raises(errors.NoReplyError):
        peers.request(address, messages.DumpRequest(), 0.2)
    until(lambda: seen == [errors.InvariantError])


def test_garbage_on_the_port_harms_nobody(
    peers: zmq_responder.Peers, responder: tuple[zmq_responder.Responder, str]
) -> None:
    """A scanner or a misdirected browser writes to the port.

    If it stopped the process, every caller behind it would be cut.
    """
    _, address = responder
    host, _, port = address.rpartition(':')
    for data in (b'GET / HTTP/1.1\r\n\r\n' * 50, bytes(500), b'\xff' * 500):
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(data)
    reply = peers.request(address, messages.StateRequest(offset=1), PATIENCE_S)
    assert offset_of(reply) == 1


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    strategies.lists(
        strategies.binary(max_size=12) | strategies.just(bytes(8)),
        min_size=1,
        max_size=4,
    )
)
def test_wrong_frames_are_dropped_and_counted(
    responder: tuple[zmq_responder.Responder, str], frames: list[bytes]
) -> None:
    """A process of another version sends what this one can't read."""
    found, address = responder
    before = found.counts.dropped + found.counts.received
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    try:
        dealer.connect(f'tcp://{address}')
        dealer.send_multipart(frames)
        good = messages.encode(messages.Ping())
        dealer.send(b'12345678' + good)
        while True:
            assert dealer.poll(int(PATIENCE_S * 1000))
            if dealer.recv() == b'12345678' + messages.encode(messages.Pong()):
                break
    finally:
        context.destroy(linger=0)
    assert found.counts.dropped + found.counts.received == before + 2


def test_an_oversized_message_is_dropped_and_counted(
    responder: tuple[zmq_responder.Responder, str],
) -> None:
    """A peer gone wrong sends more than a process can hold in memory."""
    found, address = responder
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    try:
        dealer.connect(f'tcp://{address}')
        dealer.send(bytes(8 + messages.MAX_BYTES + 1))
        until(lambda: found.counts.dropped == 1)
    finally:
        context.destroy(linger=0)


def test_an_oversized_message_is_not_sent(
    peers: zmq_responder.Peers, responder: tuple[zmq_responder.Responder, str]
) -> None:
    found, address = responder
    msg = messages.DumpReply(state=bytes(messages.MAX_BYTES))
    with pytest.raises(errors.UnreachableError):
        peers.request(address, msg, PATIENCE_S)
    assert found.counts.received == 0


@pytest.mark.parametrize('address', ['nonsense', '127.0.0.1:0', ''])
def test_a_wrong_address_is_unreachable(
    peers: zmq_responder.Peers, address: str
) -> None:
    with pytest.raises(errors.UnreachableError):
        peers.request(address, messages.DumpRequest(), PATIENCE_S)


def test_a_closed_port_is_unreachable_at_once(
    peers: zmq_responder.Peers,
) -> None:
    """The other process is down; nobody should wait out a timeout for it."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        address = f'127.0.0.1:{sock.getsockname()[1]}'
        with pytest.raises(errors.UnreachableError, match='closed'):
            peers.request(address, messages.DumpRequest(), PATIENCE_S)


def test_a_port_that_never_shakes_hands_is_unreachable(
    peers: zmq_responder.Peers,
) -> None:
    """Something accepts connections and says nothing: nothing was sent."""
    with socket.create_server(('127.0.0.1', 0)) as sock:
        address = f'127.0.0.1:{sock.getsockname()[1]}'
        with pytest.raises(errors.UnreachableError):
            peers.request(address, messages.DumpRequest(), 0.1)
        with pytest.raises(errors.UnreachableError, match='silent'):
            peers.request(address, messages.DumpRequest(), PATIENCE_S)


def test_a_late_reply_reaches_nobody(
    peers: zmq_responder.Peers, serve: Callable[[zmq_responder.Handler], str]
) -> None:
    """A reply comes after its asker gave up and another one asked.

    An entry would take the grant of another request for its own.
    """
    release = threading.Event()

    def slow(msg: messages.Message) -> messages.Message:
        if msg == messages.StateRequest(offset=1):
            release.wait(PATIENCE_S)
        return echo(msg)

    address = serve(slow)
    with pytest.raises(errors.NoReplyError):
        peers.request(address, messages.StateRequest(offset=1), 0.05)
    release.set()
    for offset in range(2, 50):
        reply = peers.request(
            address, messages.StateRequest(offset=offset), PATIENCE_S
        )
        assert offset_of(reply) == offset
    until(lambda: peers.counts.late == 1)


def test_crossed_and_invented_replies_reach_nobody_else() -> None:
    """Replies overtake each other, and some answer nothing that was asked."""
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    router = context.socket(zmq.ROUTER)
    router.bind('tcp://127.0.0.1:0')
    endpoint = router.getsockopt(zmq.LAST_ENDPOINT)
    assert isinstance(endpoint, bytes)
    address = endpoint.decode().removeprefix('tcp://').rstrip('\x00')
    peers = zmq_responder.Peers(60, 60)

    def answer_crossed() -> None:
        asks = [router.recv_multipart() for _ in range(4)]
        for identity, frame in reversed(asks):
            sequence = frame[:8]
            msg = messages.decode(frame[8:])
            invented = (int.from_bytes(sequence, 'big') + 99).to_bytes(8, 'big')
            wrong = messages.encode(messages.Pong())
            router.send_multipart([identity, invented + wrong])
            router.send_multipart([identity, sequence[:7]])
            data = messages.encode(echo(msg))
            router.send_multipart([identity, sequence + data])

    server = threading.Thread(target=answer_crossed)
    server.start()
    try:
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            replies = pool.map(
                lambda offset: peers.request(
                    address, messages.StateRequest(offset=offset), PATIENCE_S
                ),
                range(4),
            )
            assert [offset_of(reply) for reply in replies] == list(range(4))
    finally:
        server.join()
        peers.close()
        context.destroy(linger=0)
    assert (peers.counts.late, peers.counts.dropped) == (4, 4)


def test_a_silent_connection_is_replaced(
    peers: zmq_responder.Peers, serve: Callable[[zmq_responder.Handler], str]
) -> None:
    """Something between two processes forgets an open connection for good.

    New connections work, yet every ask over the old one would run into its
    timeout until somebody restarted the process.
    """
    with relay.Relay(serve(echo)) as between:
        msg = messages.StateRequest(offset=1)
        peers.request(between.address, msg, PATIENCE_S)
        between.silence()
        with pytest.raises(errors.NoReplyError, match='silent'):
            peers.request(between.address, msg, PATIENCE_S)
        reply = peers.request(between.address, msg, PATIENCE_S)
        assert offset_of(reply) == 1
        assert between.accepted == 2
    assert peers.counts.silent == 1


def test_a_busy_handler_does_not_look_silent(
    peers: zmq_responder.Peers, serve: Callable[[zmq_responder.Handler], str]
) -> None:
    """A keeper works on one long question while heartbeats go on."""
    release = threading.Event()

    def slow(msg: messages.Message) -> messages.Message:
        release.wait(PATIENCE_S)
        return echo(msg)

    address = serve(slow)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(
            peers.request, address, messages.StateRequest(offset=1), PATIENCE_S
        )
        beats = int(2 * SILENCE_S / HEARTBEAT_S)
        until(lambda: peers.counts.received >= beats)
        release.set()
        assert offset_of(fut.result()) == 1
    assert peers.counts.silent == 0


def test_a_peer_that_dies_ends_what_was_asked_of_it(
    peers: zmq_responder.Peers,
) -> None:
    """A process is killed with a question in hand; its effect is unknown."""
    arrived = threading.Event()
    release = threading.Event()

    def hang(msg: messages.Message) -> messages.Message:
        arrived.set()
        release.wait(PATIENCE_S)
        return echo(msg)

    responder = zmq_responder.Responder('127.0.0.1:0', hang)
    with (
        relay.Relay(responder.start()) as between,
        concurrent.futures.ThreadPoolExecutor(1) as pool,
    ):
        fut = pool.submit(
            peers.request,
            between.address,
            messages.StateRequest(offset=1),
            PATIENCE_S,
        )
        assert arrived.wait(PATIENCE_S)
        between.cut()
        with pytest.raises(errors.NoReplyError, match='closed'):
            fut.result()
        release.set()
        responder.close()


def test_many_threads_each_get_their_own_reply(
    peers: zmq_responder.Peers, serve: Callable[[zmq_responder.Handler], str]
) -> None:
    addresses = [serve(echo), serve(echo)]

    def ask(number: int) -> bool:
        msg = messages.StateRequest(offset=number)
        reply = peers.request(addresses[number % 2], msg, PATIENCE_S)
        return offset_of(reply) == number

    with concurrent.futures.ThreadPoolExecutor(32) as pool:
        assert all(pool.map(ask, range(1000)))


def test_unreachable_is_said_only_of_what_never_arrived() -> None:
    """Connections are cut and forgotten while many threads ask.

    A check-in that was told "not run" and did run is on the roster twice.
    """
    arrived: list[int] = []

    def note(msg: messages.Message) -> messages.Message:
        arrived.append(offset_of(echo(msg)))
        return echo(msg)

    responder = zmq_responder.Responder('127.0.0.1:0', note)
    answered: list[int] = []
    unreachable: list[int] = []
    lost: list[int] = []
    with relay.Relay(responder.start()) as between:
        peers = zmq_responder.Peers(HEARTBEAT_S, SILENCE_S)

        def ask(number: int) -> None:
            msg = messages.StateRequest(offset=number)
            try:
                reply = peers.request(between.address, msg, 2 * SILENCE_S)
                assert offset_of(reply) == number
                answered.append(number)
            except errors.UnreachableError:
                unreachable.append(number)
            except errors.NoReplyError:
                lost.append(number)

        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            futs = []
            for block in range(12):
                futs += [
                    pool.submit(ask, number)
                    for number in range(block * 100, block * 100 + 100)
                ]
                until(futs[-90].done)
                if block % 3 == 0:
                    between.cut()
                    between.mend()
                elif block % 3 == 1:
                    between.silence()
                else:
                    between.cut()
                    until(futs[-50].done)
                    between.mend()
        for fut in futs:
            fut.result()
        peers.close()
    responder.close()
    assert len(arrived) == len(set(arrived))
    assert set(answered) <= set(arrived)
    assert not set(unreachable) & set(arrived)
    assert unreachable
    assert lost
    assert len(answered) + len(unreachable) + len(lost) == 1200


def test_close_ends_every_ask(
    serve: Callable[[zmq_responder.Handler], str],
) -> None:
    release = threading.Event()

    def hang(msg: messages.Message) -> messages.Message:
        release.wait(PATIENCE_S)
        return echo(msg)

    peers = zmq_responder.Peers(HEARTBEAT_S, SILENCE_S)
    address = serve(hang)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(
            peers.request, address, messages.StateRequest(offset=1), PATIENCE_S
        )
        until(lambda: peers.counts.sent >= 1)
        peers.close()
        with pytest.raises(errors.NoReplyError):
            fut.result()
    with pytest.raises(errors.UnreachableError):
        peers.request(address, messages.DumpRequest(), PATIENCE_S)
    release.set()
