"""The HTTP server that faces callers, under callers that fail or attack."""

from collections.abc import Callable
from collections.abc import Iterator
import json
import os
import selectors
import socket
import subprocess
import sys
import threading
import time
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest
import urllib3

from foxtaildale import errors
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import httpd
from tests.standins import relay

# Bound on a request's arrival; short, since some tests wait it out.
TIMEOUT_S = 0.3
BODY_LIMIT = 10_000
# Far above what any test needs; reached only by a failing one.
PATIENCE_S = 20.0


def until(condition: Callable[[], bool]) -> None:
    """Waits for a condition."""
    deadline = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < deadline, 'condition never came true'
        time.sleep(0.002)


class Script:
    """A handler with a page for each behaviour."""

    def __init__(self) -> None:
        # Set by a test to let `/hold` answer.
        self.release = threading.Event()
        # Exchanges that reached a handler, in order.
        self.seen: list[caller_server.Exchange] = []
        # Callers that were noticed to have hung up.
        self.hung_up = 0

    def handle(self, exchange: caller_server.Exchange) -> None:
        self.seen.append(exchange)
        page = exchange.path.strip('/')
        getattr(self, f'page_{page}', self.page_echo)(exchange)

    def note(self) -> None:
        self.hung_up += 1

    def page_echo(self, exchange: caller_server.Exchange) -> None:
        exchange.respond(200, {'Content-Type': 'text/plain'}, exchange.body)

    def page_hold(self, exchange: caller_server.Exchange) -> None:
        exchange.on_disconnect(self.note)
        self.release.wait(PATIENCE_S)
        exchange.respond(200, {}, b'held')

    def page_stream(self, exchange: caller_server.Exchange) -> None:
        exchange.on_disconnect(self.note)
        exchange.start(200, {'Content-Type': 'text/event-stream'})
        exchange.send(b'data: 1\n\n')
        self.release.wait(PATIENCE_S)
        exchange.send(b'data: 2\n\n')
        exchange.finish()

    def page_unfinished(self, exchange: caller_server.Exchange) -> None:
        exchange.start(200, {})
        exchange.send(b'part')

    def page_raise(self, exchange: caller_server.Exchange) -> None:
        raise KeyError('x')

    def page_break(self, exchange: caller_server.Exchange) -> None:
        raise errors.InvariantError('two outcomes')

    def page_flood(self, exchange: caller_server.Exchange) -> None:
        exchange.start(200, {})
        while exchange.send(bytes(100_000)):
            pass
        self.hung_up += exchange.is_disconnected()


class Running:
    """A server with its script and ways to reach it."""

    def __init__(self, *, has_peers: bool = False) -> None:
        self.script = Script()
        self.server = caller_server.Server(
            '127.0.0.1:0',
            self.script,
            4,
            TIMEOUT_S,
            BODY_LIMIT,
            entry_vm='vm1',
            has_peers=lambda: has_peers,
        )
        self.address = self.server.start()
        self.pool = urllib3.PoolManager(retries=False, timeout=PATIENCE_S)

    def connect(self) -> socket.socket:
        host, _, port = self.address.rpartition(':')
        return socket.create_connection((host, int(port)), PATIENCE_S)

    def ask(self, path: str, body: bytes = b'') -> urllib3.BaseHTTPResponse:
        return self.pool.request('POST', f'http://{self.address}{path}', body)

    def raw(self, data: bytes) -> bytes:
        """Sends bytes and reads up to the end of the connection."""
        with self.connect() as sock:
            sock.sendall(data)
            return read_all(sock)


def read_all(sock: socket.socket) -> bytes:
    parts = []
    while part := sock.recv(65536):
        parts.append(part)
    return b''.join(parts)


def read_until(sock: socket.socket, marker: bytes) -> bytes:
    """Reads up to a marker, which must come before the end."""
    got = b''
    while marker not in got:
        part = sock.recv(65536)
        assert part, got
        got += part
    return got


def error_of(answer: bytes) -> dict[str, Any]:
    """Returns the typed error of a raw answer."""
    head, _, body = answer.partition(b'\r\n\r\n')
    assert b'application/json' in head
    found = json.loads(body)['error']
    assert isinstance(found, dict)
    assert found['ran'] == 'no'
    assert found['entry_vm'] == 'vm1'
    return found


@pytest.fixture
def running() -> Iterator[Running]:
    found = Running()
    yield found
    found.script.release.set()
    found.server.close()


def test_a_request_arrives_and_its_answer_goes_back(running: Running) -> None:
    resp = running.ask('/a%20b?c=d', b'body')
    assert (resp.status, resp.data) == (200, b'body')
    seen = running.script.seen[0]
    assert (seen.method, seen.path, seen.query) == ('POST', '/a b', 'c=d')
    assert seen.headers['host'] == running.address


def test_a_connection_serves_many_requests(running: Running) -> None:
    for number in range(20):
        assert running.ask('/', b'%d' % number).data == b'%d' % number
    host = running.pool.connection_from_url(f'http://{running.address}')
    assert host.num_connections == 1


def test_a_stream_comes_piece_by_piece(running: Running) -> None:
    with running.connect() as sock:
        sock.sendall(b'GET /stream HTTP/1.1\r\nHost: x\r\n\r\n')
        got = read_until(sock, b'data: 1')
        assert b'data: 2' not in got
        running.script.release.set()
        got += read_until(sock, b'0\r\n\r\n')
        assert b'data: 2' in got


def test_a_hang_up_is_noticed_while_nothing_is_sent(running: Running) -> None:
    """A caller closes its connection while its prefill runs.

    An engine would hold a slot for an answer that nobody reads.
    """
    sock = running.connect()
    sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
    until(lambda: bool(running.script.seen))
    exchange = running.script.seen[0]
    assert not exchange.is_disconnected()
    sock.close()
    until(lambda: running.script.hung_up == 1)
    assert exchange.is_disconnected()


def test_a_reset_is_noticed_within_a_stream(running: Running) -> None:
    """A caller is killed with unread events; its system sends a reset."""
    sock = running.connect()
    sock.sendall(b'GET /stream HTTP/1.1\r\nHost: x\r\n\r\n')
    until(lambda: bool(running.script.seen))
    sock.recv(1)
    sock.close()
    until(lambda: running.script.hung_up == 1)


def test_a_hang_up_is_noticed_between_pieces(running: Running) -> None:
    """A caller reads what came and closes while the engine thinks."""
    sock = running.connect()
    sock.sendall(b'GET /stream HTTP/1.1\r\nHost: x\r\n\r\n')
    read_until(sock, b'data: 1\n\n')
    sock.close()
    until(lambda: running.script.hung_up == 1)


def test_a_half_closed_caller_still_gets_its_answer(running: Running) -> None:
    """A caller says that it sends no more, and waits for its answer.

    Taking that for a hang-up would cancel work that somebody waits for.
    """
    with running.connect() as sock:
        sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
        sock.shutdown(socket.SHUT_WR)
        # The first probe shows that the FIN was seen.
        got = read_until(sock, b'100 Continue\r\n\r\n')
        assert not running.script.seen[0].is_disconnected()
        running.script.release.set()
        got += read_all(sock)
    assert got.endswith(b'held')
    assert running.script.hung_up == 0


def test_a_half_closed_caller_that_leaves_is_noticed(running: Running) -> None:
    """It half-closes first and hangs up later; no second FIN ever comes."""
    sock = running.connect()
    sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
    sock.shutdown(socket.SHUT_WR)
    read_until(sock, b'100 Continue\r\n\r\n')
    sock.close()
    until(lambda: running.script.hung_up == 1)


def test_a_half_closed_event_stream_goes_on_whole(running: Running) -> None:
    """Probes come within an event stream as comments between events."""
    with running.connect() as sock:
        sock.sendall(b'GET /stream HTTP/1.1\r\nHost: x\r\n\r\n')
        sock.shutdown(socket.SHUT_WR)
        got = read_until(sock, b'\n:\n\n')
        running.script.release.set()
        got += read_all(sock)
    assert got.count(b'data: ') == 2
    assert got.endswith(b'0\r\n\r\n')


def test_a_caller_that_does_not_read_is_given_up(running: Running) -> None:
    """A caller stops reading with its window full, and never hangs up."""
    with running.connect() as sock:
        sock.sendall(b'GET /flood HTTP/1.1\r\nHost: x\r\n\r\n')
        until(lambda: running.script.hung_up == 1)


def test_an_idle_connection_holds_up_nobody(running: Running) -> None:
    """Many connections say nothing; more than there are threads."""
    socks = [running.connect() for _ in range(12)]
    assert running.ask('/', b'x').data == b'x'
    until(lambda: running.server.busy() == 0)
    for sock in socks:
        sock.close()


@pytest.mark.parametrize(
    'start',
    [
        b'GET / HTT',
        b'GET / HTTP/1.1\r\nA: b',
        b'POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\nab',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n500\r\nab',
    ],
)
def test_a_slow_sender_is_told_and_dropped(
    running: Running, start: bytes
) -> None:
    """A caller sends a byte now and then, each within a read's timeout.

    A few of them would hold every thread for good.
    """
    with running.connect() as sock:
        sock.sendall(start)
        stop = threading.Event()

        def trickle() -> None:
            try:
                while not stop.wait(TIMEOUT_S / 10):
                    sock.sendall(b'a')
            except OSError:
                pass

        sender = threading.Thread(target=trickle)
        sender.start()
        answer = read_all(sock)
        stop.set()
        sender.join()
    assert answer.startswith(b'HTTP/1.1 408 ')
    assert error_of(answer)['code'] == 'slow-request'
    assert not running.script.seen


def test_an_oversized_body_is_refused_with_the_limit(running: Running) -> None:
    """A caller sends more than the service takes, and reads the answer late.

    Closing with unread input would reset it before it has read why.
    """
    resp = running.ask('/', bytes(BODY_LIMIT + 1))
    assert resp.status == 413
    found = json.loads(resp.data)['error']
    assert found['code'] == 'too-large'
    assert found['figures'] == {
        'found': str(BODY_LIMIT + 1),
        'limit': BODY_LIMIT,
    }
    chunks = [bytes(4000)] * 500
    resp = running.pool.request(
        'POST', f'http://{running.address}/', body=iter(chunks), chunked=True
    )
    assert resp.status == 413
    assert json.loads(resp.data)['error']['figures']['limit'] == BODY_LIMIT
    assert not running.script.seen


def test_an_early_refusal_reaches_a_caller_that_still_sends(
    running: Running,
) -> None:
    """A long patrol log is refused by its length while it is being sent.

    A close with unread input sends a reset, and the caller sees a broken
    connection instead of the limit.
    """
    length = 30_000_000
    with running.connect() as sock:
        head = f'POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n'
        sock.sendall(head.encode() + bytes(length))
        assert error_of(read_all(sock))['code'] == 'too-large'


@pytest.mark.parametrize(
    'data',
    [
        b'garbage\r\n\r\n',
        bytes(200) + b'\r\n\r\n',
        b'GET / HTTP/1.1\r\nno colon\r\n\r\n',
        b'GET / HTTP/1.1\r\nA: ' + b'x' * 70_000,
        b'GET /' + b'x' * 70_000,
        b'POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\nabc',
        b'POST / HTTP/1.1\r\nContent-Length: 1_0\r\n\r\n0123456789',
        b'POST / HTTP/1.1\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\nab\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabcd\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n',
    ],
)
def test_garbage_is_told_to_be_garbage(running: Running, data: bytes) -> None:
    """Something sends what is not HTTP, or what two readers read two ways."""
    found = error_of(running.raw(data))
    assert found['code'] == 'bad-request'
    assert not running.script.seen


def test_an_endless_chunk_size_is_refused(running: Running) -> None:
    """A chunk's size line never ends; read whole it would fill the memory."""
    start = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    found = error_of(running.raw(start + b'1' * 70_000))
    assert found['code'] == 'too-large'


def test_a_body_that_breaks_off_is_not_handled(running: Running) -> None:
    """A caller dies in mid-body; half a check-in must not be logged."""
    with running.connect() as sock:
        sock.sendall(b'POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc')
        sock.shutdown(socket.SHUT_WR)
        assert error_of(read_all(sock))['code'] == 'bad-request'
    assert not running.script.seen


def test_a_chunked_body_arrives_whole(running: Running) -> None:
    parts = [b'%d,' % number for number in range(500)]
    resp = running.pool.request(
        'POST', f'http://{running.address}/', body=iter(parts), chunked=True
    )
    assert resp.data == b''.join(parts)


@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=100,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    strategies.binary(max_size=60)
    | strategies.lists(
        strategies.sampled_from(
            [
                b'GET / HTTP/1.1\r\n',
                b'POST / HTTP/1.0\r\n',
                b'Content-Length: 3\r\n',
                b'Transfer-Encoding: chunked\r\n',
                b'\r\n',
                b'3\r\nabc\r\n',
                b'0\r\n\r\n',
                b'Expect: 100-continue\r\n',
                b'abc',
                b' ',
                b'\xff',
            ]
        ),
        max_size=8,
    ).map(b''.join)
)
def test_any_bytes_end_in_an_answer_or_a_close(
    running: Running, data: bytes
) -> None:
    """Whatever is sent, the thread comes free and the next caller is served."""
    with running.connect() as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        answer = read_all(sock)
    assert not answer or answer.startswith(b'HTTP/1.1 ')
    until(lambda: running.server.busy() == 0)
    assert running.ask('/', b'x').data == b'x'


def test_a_failing_handler_does_not_claim_not_run(running: Running) -> None:
    resp = running.ask('/raise')
    found = json.loads(resp.data)['error']
    assert (resp.status, found['code']) == (502, 'failed')
    assert found['ran'] == 'unknown'


def test_a_broken_invariant_reaches_the_process(
    monkeypatch: pytest.MonkeyPatch, running: Running
) -> None:
    """Two outcomes stand for one request: no answer may be trusted."""
    seen: list[object] = []
    monkeypatch.setattr(
        threading, 'excepthook', lambda args: seen.append(args.exc_type)
    )
    with pytest.raises(urllib3.exceptions.ProtocolError):
        running.ask('/break')
    # The caller hears of the cut before the process does.
    until(lambda: bool(seen))
    assert seen == [errors.InvariantError]


def test_an_unfinished_answer_does_not_look_whole(running: Running) -> None:
    """A handler gives up in mid-answer; the caller must see it broke off."""
    with pytest.raises(urllib3.exceptions.ProtocolError):
        running.ask('/unfinished')


def test_an_unfinished_answer_without_chunks_is_reset(running: Running) -> None:
    """Guards against a part that looks whole, as only the close would end it."""
    head = b'POST /%b HTTP/1.0\r\nContent-Length: 0\r\n\r\n'
    with running.connect() as sock:
        sock.sendall(head % b'unfinished')
        with pytest.raises(ConnectionResetError):
            read_all(sock)
    running.script.release.set()
    assert running.raw(head % b'stream').endswith(b'data: 2\n\n')


def test_an_answer_without_chunks_is_reset_by_a_stop(running: Running) -> None:
    """Guards against a part that looks whole, as a stop ends the connection."""
    with running.connect() as sock:
        sock.sendall(b'POST /stream HTTP/1.0\r\nContent-Length: 0\r\n\r\n')
        read_until(sock, b'data: 1\n\n')
        release = threading.Timer(0.5, running.script.release.set)
        release.start()
        running.server.close(in_use_s=0.1)
        with pytest.raises(ConnectionResetError):
            read_all(sock)
        release.join()
    assert running.script.hung_up == 1


_KILLED = """
import os, signal
from foxtaildale_adapters import caller_server

class Handler:
    def handle(self, exchange):
        exchange.start(200, {})
        exchange.send(b'part')
        os.kill(os.getpid(), signal.SIGKILL)

server = caller_server.Server('127.0.0.1:0', Handler(), 2, 5.0, 1000)
print(server.start(), flush=True)
signal.alarm(20)
signal.pause()
"""


def test_an_answer_without_chunks_is_reset_by_a_kill() -> None:
    """Guards against a part that looks whole, as the kernel closes its socket."""
    env = os.environ | {'PYTHONPATH': os.pathsep.join(filter(None, sys.path))}
    with subprocess.Popen(
        [sys.executable, '-c', _KILLED], env=env, stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        host, _, port = process.stdout.readline().decode().rpartition(':')
        with socket.create_connection((host, int(port)), PATIENCE_S) as sock:
            sock.sendall(b'POST / HTTP/1.0\r\nContent-Length: 0\r\n\r\n')
            with pytest.raises(ConnectionResetError):
                read_all(sock)


def test_callers_beyond_the_threads_are_told_at_once(running: Running) -> None:
    """Every thread is busy; one more would wait unseen by admission."""
    socks = [running.connect() for _ in range(12)]
    for sock in socks:
        sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
    until(lambda: running.server.busy() == len(socks))
    answer = running.raw(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    assert b'Retry-After: 1\r\n' in answer
    found = error_of(answer)
    assert found['code'] == 'entry-busy'
    assert found['retry_after_s'] == 1
    assert found['ran'] == 'no'
    again = running.raw(b'GET / HTTP/1.1\r\nidempotency-key: k\r\n\r\n')
    # An earlier try under this key may be running at another VM.
    assert b'"ran":"unknown"' in again
    running.script.release.set()
    for sock in socks:
        assert read_until(sock, b'held')
        sock.close()


def test_threads_are_started_as_requests_need_them() -> None:
    """A site of many VMs runs out of threads that none of its VMs needs.

    Each VM started all that a burst may need; a machine that ran several
    found no room for more, and the last ones did not start.
    """

    def started() -> int:
        names = [thread.name for thread in threading.enumerate()]
        return sum(name.startswith('CP Server') for name in names)

    before = started()
    script = Script()
    server = caller_server.Server(
        '127.0.0.1:0', script, 40, TIMEOUT_S, BODY_LIMIT
    )
    host, _, port = server.start().rpartition(':')
    assert started() - before == httpd.INITIAL_THREADS
    socks = [socket.create_connection((host, int(port))) for _ in range(30)]
    for sock in socks:
        sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
    until(lambda: len(script.seen) == len(socks))
    assert started() - before == len(socks)
    script.release.set()
    for sock in socks:
        assert read_until(sock, b'held')
        sock.close()
    server.close()


def test_a_drain_under_load_cuts_nothing() -> None:
    """A process is stopped in order while callers stream and new ones come.

    A planned stop that cuts an answer leaves a crew standing at the pad.
    """
    running = Running()
    socks = [running.connect() for _ in range(10)]
    for sock in socks:
        sock.sendall(b'GET /stream HTTP/1.1\r\nHost: x\r\n\r\n')
    idle = running.connect()
    until(lambda: running.server.busy() == len(socks))
    late = running.connect()
    late.sendall(b'POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n')
    running.server.stop_accepting()
    with pytest.raises(OSError):
        running.connect()
    assert not running.server.drain(0.05)
    late.sendall(b'late')
    idle.sendall(b'POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nidle')
    running.script.release.set()
    assert running.server.drain(PATIENCE_S)
    for sock in socks:
        got = read_all(sock)
        assert got.count(b'data: ') == 2
        assert got.endswith(b'0\r\n\r\n')
    for sock, body in ((late, b'late'), (idle, b'idle')):
        got = read_all(sock)
        assert got.endswith(body)
        assert b'Connection: close' in got
    running.server.close()


def test_a_stop_closes_the_port_beside_a_thread_that_accepts() -> None:
    """Guards against a port that stays open as its last connection is taken."""
    running = Running()
    http_server = running.server._server

    def accept() -> None:
        # The stop has taken the connection that this thread was told of.
        http_server._connections._from_server_socket(http_server.socket)

    accepting = threading.Thread(target=accept)
    accepting.start()
    time.sleep(0.1)
    running.server.stop_accepting()
    with pytest.raises(ConnectionRefusedError):
        running.connect()
    accepting.join(PATIENCE_S)
    running.server.close()


def test_a_request_that_arrived_while_the_process_was_suspended_is_served(
    running: Running,
) -> None:
    """Guards against a connection closed as idle before its request is read."""
    server = running.server._server
    suspended = threading.Event()

    class Suspension(httpd._IdleSweep):
        """Holds up the selector's thread until its connections are idle."""

        def run(self) -> None:
            self.close()
            suspended.set()
            time.sleep(2 * TIMEOUT_S)

    with running.connect() as sock:
        until(lambda: len(list(server._connections._selector.connections)) == 2)
        suspension = Suspension(server)
        server._connections._selector.register(
            suspension.fileno(), selectors.EVENT_READ, data=suspension
        )
        assert suspended.wait(PATIENCE_S)
        sock.sendall(b'POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nlate')
        assert read_until(sock, b'late').startswith(b'HTTP/1.1 200')


def test_a_stop_closes_no_connection_that_it_did_not_announce_to_close(
    running: Running,
) -> None:
    """Guards against a request lost on a connection that a stop closed unasked."""
    with running.connect() as sock:
        sock.sendall(b'GET /stream HTTP/1.1\r\nHost: x\r\n\r\n')
        read_until(sock, b'data: 1')
        running.server.announce_stop()
        running.script.release.set()
        read_until(sock, b'0\r\n\r\n')
        sock.sendall(b'POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nnext')
        answer = read_all(sock)
    assert answer.endswith(b'next')
    assert b'Connection: close' in answer


def test_a_close_blames_no_caller_whose_request_it_cuts_off(
    running: Running,
) -> None:
    """Guards against a 400 that keeps a caller from trying again elsewhere."""
    with running.connect() as sock:
        sock.sendall(b'GET / HTTP/1.1\r\nHo')
        until(lambda: running.server.busy() == 1)
        running.server.close(in_use_s=0.0)
        assert read_all(sock) == b''


def test_a_handler_that_hangs_does_not_keep_the_process() -> None:
    """The drain is over and one handler still waits for something.

    A process that never ends holds up the replacement of its VM.
    """
    running = Running()
    with running.connect() as sock:
        sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
        until(lambda: bool(running.script.seen))
        assert not running.server.drain(0.01)
        closer = threading.Thread(target=running.server.close)
        closer.start()
        closer.join(PATIENCE_S / 2)
        assert not closer.is_alive()
        running.script.release.set()


def test_a_cut_between_caller_and_server_frees_the_thread(
    running: Running,
) -> None:
    """The balancer drops a connection in mid-wait."""
    with relay.Relay(running.address) as between:
        host, _, port = between.address.rpartition(':')
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
            until(lambda: bool(running.script.seen))
            between.cut()
            until(lambda: running.script.hung_up == 1)


def test_an_address_in_use_is_a_port_error(running: Running) -> None:
    other = caller_server.Server(running.address, running.script, 1, 1.0, 1)
    with pytest.raises(errors.UnreachableError):
        other.start()
