"""Faults that a review of the stop and its neighbours found."""

from collections.abc import Iterator
from collections.abc import Sequence
from concurrent import futures
import errno
import http.client
import math
import os
import queue
import random
import socket
import threading
import time
import types
from typing import Any
from typing import Final
from typing import cast

import msgspec
import pytest

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import routes
from foxtaildale_adapters import byte_budget
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import metrics
from foxtaildale_adapters import zmq_responder
from foxtaildaled import background_queue
from foxtaildaled import claim_client
from foxtaildaled import crash_evidence
from foxtaildaled import plain_forwarder
from foxtaildaled import quarantine_manager
from foxtaildaled import quarantine_state
from foxtaildaled import request_context
from foxtaildaled import routed_request
from foxtaildaled import router_daemon
from foxtaildaled import view
from tests import exchanges
from tests import site as sites

# Grace time of the stops, how long a stream lasts, and when the request after it
# is sent, seconds. What is sent later than three seconds after SIGTERM must not be
# cut.
_GRACE_S: Final = 8.0
_EVENTS: Final = 60
_PACE_S: Final = 0.09
_LATE_S: Final = 3.1
# Time in which what a test waits for comes about, seconds.
_ENDS_S: Final = 9.0
# Time for which a request is in progress, seconds.
_WORK_S: Final = 1.0
# Time of a caller, and when the first server responds, seconds. Another server is
# looked for 0.6 s after the send.
_PATIENCE_S: Final = 0.62
_RESPONDS_S: Final = 0.61
# For how long a server hangs, longer than the time of a request, and when another
# one is listed, after the router has looked for one; seconds.
_HANG_S: Final = 4.0
_LISTED_S: Final = 1.2
_CHUNK_BYTES: Final = 65_536
# Time for a close, seconds: four times what a stopping router reserves for it.
_CLOSE_S: Final = 2.0
# A short grace time, and for how long each queued release takes, seconds.
_SHORT_GRACE_S: Final = 4.0
_RELEASE_S: Final = 3.0


@pytest.fixture(name='site')
def _site() -> Iterator[sites.Site]:
    made = sites.Site()
    yield made
    made.close()


def _stream_request(attempt: str) -> bytes:
    return (
        'POST /chat/x HTTP/1.1\r\nHost: h.example\r\n'
        f'Foxtaildale-Attempt-Id: {attempt}\r\n'
        'Foxtaildale-Deadline-Ms: 14000\r\n'
        'Foxtaildale-Token-Count: 500,640\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def _read_all(sock: socket.socket, data: bytes) -> bytes:
    try:
        while chunk := sock.recv(65_536):
            data += chunk
    except ConnectionResetError:
        pass
    return data


def test_a_stop_cuts_no_stream_that_it_took_late(site: sites.Site) -> None:
    """Guards against a stream that a stop takes with too little time for it."""
    sites.make_calm(site)
    config = sites.config(2)
    for route in config['routes']:
        route['timeout_ms'] = 14_000
    site.store.put('keyed.op', 'config', config)
    router = site.routers[0]
    sites.until(lambda: router.config_version() == 2)
    router.cfg = msgspec.structs.replace(router.cfg, grace_s=_GRACE_S)
    for name in ('d1', 'd2'):
        site.workers[name].events = _EVENTS
        site.workers[name].pace_s = _PACE_S
    host, _, port = router.addresses['caller'].rpartition(':')
    with (
        socket.create_connection((host, int(port))) as sock,
        futures.ThreadPoolExecutor(2) as pool,
    ):
        sock.settimeout(2 * _ENDS_S)
        sock.sendall(_stream_request('early'))
        # The head of this response announces no close.
        data = sock.recv(65_536)
        found = pool.submit(_read_all, sock, data)
        stopped = pool.submit(router.stop)
        # The next request is there as the response ends: one that follows it
        # at once has the same fate, unless idle connections are closed just then.
        time.sleep(_LATE_S)
        sock.sendall(_stream_request('late'))
        stopped.result(2 * _ENDS_S)
        data = found.result(2 * _ENDS_S)
    assert b'early-%d\n' % _EVENTS in data
    ran = any('late' in worker.ids() for worker in site.workers.values())
    assert b'late-%d\n' % _EVENTS in data or not ran, data[-100:]


def test_a_keeper_that_closes_does_not_say_that_a_claimed_run_never_ran() -> (
    None
):
    """Guards against "not run" for a key under which another attempt may run."""
    held, release = threading.Event(), threading.Event()

    def hold(_: messages.Message) -> messages.Message:
        held.set()
        release.wait(_ENDS_S)
        return messages.Pong()

    owner = zmq_responder.Responder('127.0.0.1:0', hold, 1)
    owner_address = owner.start()
    lost = messages.ClaimReply(
        status='lost', owner_address=owner_address, request='first'
    )
    keeper = zmq_responder.Responder('127.0.0.1:0', lambda _: lost, 1)
    cfg = types.SimpleNamespace(keeper=keeper.start())
    peers = zmq_responder.Peers(1.0, 5.0)
    client = claim_client.ClaimClient(
        cast(Any, cfg), 'entry', peers, cast(Any, None)
    )
    context = request_context.RequestContext(
        exchanges.make({request_context.KEY_HEADER: 'c0.k'}),
        'second',
        view.Snapshot(),
    )
    with futures.ThreadPoolExecutor(2) as pool:
        # One handler is at work, so that the close takes a while.
        working = pool.submit(
            peers.request, owner_address, messages.Ping(), _ENDS_S
        )
        working.result(_ENDS_S)
        working = pool.submit(
            peers.request, owner_address, messages.DumpRequest(), _ENDS_S
        )
        assert held.wait(_ENDS_S)
        closing = pool.submit(owner.close)
        sites.until(lambda: owner._draining)
        result = client.claim(context, 'reader', 'call')
        release.set()
        closing.result(_ENDS_S)
        assert working.exception(_ENDS_S) is None
    peers.close()
    keeper.close()
    assert result is not None
    assert result.code.ran != 'no', result.code.name


class _Slow:
    """Takes a while for each request."""

    def __init__(self) -> None:
        self.begun = threading.Event()

    def handle(self, exchange: caller_server.Exchange) -> None:
        self.begun.set()
        time.sleep(_WORK_S)
        exchange.respond(200, {}, b'whole')


def _fail(*_: object) -> None:
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


def test_a_port_is_closed_without_a_free_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop that ends the process for lack of descriptors."""
    handler = _Slow()
    server = caller_server.Server('127.0.0.1:0', handler, 1, 5.0, 1000)
    conn = http.client.HTTPConnection(server.start(), timeout=_ENDS_S)
    conn.request('GET', '/x')
    assert handler.begun.wait(_ENDS_S)
    with monkeypatch.context() as patch:
        patch.setattr(socket.socket, 'accept', _fail)
        server.stop_accepting()
    assert server.drain(_ENDS_S)
    assert conn.getresponse().read() == b'whole'
    server.close()


class _Flight:
    """A send to a server that responds at a time of the test's clock."""

    via = ''

    def __init__(self, now: list[float], responds_at: float) -> None:
        self._now = now
        self._responds_at = responds_at
        self._body = [b'', b'body']

    def send(self, timeout_s: float) -> None:
        del timeout_s

    def await_response(self, timeout_s: float) -> bool:
        end = self._now[0] + timeout_s
        self._now[0] = min(end, max(self._now[0], self._responds_at))
        return self._responds_at <= end

    def read_head(self, timeout_s: float) -> forwarding.ResponseHead:
        if not self.await_response(timeout_s):
            raise errors.NoReplyError('no response in time')
        return forwarding.ResponseHead(status=200, headers=())

    def read_chunk(self, timeout_s: float) -> bytes:
        del timeout_s
        return self._body.pop()

    def cancel(self) -> None:
        pass

    def close(self) -> None:
        pass


def test_a_request_is_not_sent_on_without_time_for_it() -> None:
    """Guards against a response that is given up for a send without time."""
    now = [0.0]
    # Servers that got the request, and the time left then, seconds.
    sends: list[tuple[str, float]] = []
    statuses: list[int] = []
    servers = [
        forwarding.Backend(id=name, service='plain', address='127.0.0.1:1')
        for name in ('s1', 's2')
    ]

    def forward(
        _call: object,
        server: forwarding.Backend,
        left_s: float,
        *,
        repeatable: bool,
    ) -> _Flight:
        del repeatable
        sends.append((server.id, left_s))
        return _Flight(now, now[0] + _RESPONDS_S)

    def candidates(*_: object, avoid: list[str], **__: object) -> list[object]:
        return [
            types.SimpleNamespace(backend=server)
            for server in servers
            if server.id not in avoid
        ]

    def respond(status: int, *_: object) -> bool:
        statuses.append(status)
        return True

    def do_nothing(*_: object) -> None:
        pass

    state = types.SimpleNamespace(
        fleet=types.SimpleNamespace(
            candidates=candidates,
            record_sent=do_nothing,
            record_finished=do_nothing,
            record_success=do_nothing,
            uptimes=types.SimpleNamespace(record=do_nothing),
        ),
        failure_rates=types.SimpleNamespace(record=lambda *_, **__: None),
        record_plain_failure=do_nothing,
        list_age_ms=lambda _: 0,
    )
    owner = types.SimpleNamespace(run=lambda turn: turn(state, now[0]))
    budgets = types.SimpleNamespace(
        record_first_attempt=do_nothing, acquire=lambda *_: True
    )
    forwarder = plain_forwarder.PlainForwarder(
        owner=cast(Any, owner),
        workers=cast(Any, types.SimpleNamespace(forward=forward)),
        budgets=cast(Any, budgets),
        send_limits=cast(Any, types.SimpleNamespace(acquire=lambda _: True)),
        crash_probe=cast(
            Any, types.SimpleNamespace(handle_send_error=lambda *_, **__: None)
        ),
        budget=byte_budget.ByteBudget(math.inf),
        on_completed=do_nothing,
        clock=lambda: now[0],
        rng=random.Random(1),
    )
    exchange = types.SimpleNamespace(
        is_disconnected=lambda: False, respond=respond, abort=do_nothing
    )
    call = forwarding.CallerRequest(
        id='a1',
        method='GET',
        target='/safe/x',
        path='/safe/x',
        host='h',
        headers=(),
        body=b'',
        patience_s=_PATIENCE_S,
    )
    route = routes.Route(
        name='safe',
        host='h',
        path_prefix='/safe/',
        kind='idempotent',
        targets=(),
        timeout_s=3.0,
        target_s=0.3,
        max_attempts=2,
    )
    req = routed_request.RoutedRequest(
        cast(Any, exchange),
        caller_request=call,
        route=route,
        service=routes.Service(name='plain'),
        config_version=1,
        entry_vm='vm-1',
        request_metrics=metrics.Metrics(),
        clock=lambda: now[0],
    )
    forwarder.serve(req)
    assert [
        send for send in sends if send[1] < routed_request.MIN_SEND_TIME_S
    ] == []
    assert statuses == [200]


def test_a_server_that_hangs_is_replaced_by_one_that_comes_later(
    site: sites.Site,
) -> None:
    """Guards against one look for a replacement, and a wait to the deadline."""
    site.store.put('keyed.op', 'config', sites.config(1))
    site.worker('s1', 'plain').on_run = lambda _: time.sleep(_HANG_S)
    site.router()
    sites.until(lambda: sites.ready(site))
    with futures.ThreadPoolExecutor(1) as pool:
        sent = pool.submit(sites.send, site, 'GET', '/safe/x')
        sites.until(lambda: site.workers['s1'].ids() == ['a1'])
        time.sleep(_LISTED_S)
        site.worker('s2', 'plain')
        status, _, body = sent.result(_ENDS_S)
    assert (status, body) == (200, b'a1:/safe/x')


class _LossyPeers:
    """Successors whose replies are lost at times."""

    def __init__(self) -> None:
        self.loses = False
        # Names of the servers whose crashes were received.
        self.received: set[str] = set()

    def request_all(
        self, addresses: Sequence[str], msg: messages.Message, timeout_s: float
    ) -> dict[str, messages.Message]:
        del timeout_s
        if (
            self.loses
            or not addresses
            or not isinstance(msg, messages.CrashReports)
        ):
            return {}
        self.received.update(crash.server for crash in msg.crashes)
        reply = messages.QuarantineUpdate(
            coordinator_id=7, quarantined={}, cleared={}
        )
        return dict.fromkeys(addresses, reply)


def test_a_copy_that_a_successor_missed_is_sent_again() -> None:
    """Guards against a successor that never gets a crash report."""
    now = [0.0]
    peers = _LossyPeers()
    state = types.SimpleNamespace(
        quarantine_state=quarantine_state.QuarantineState(
            cast(Any, None), lambda: now[0]
        ),
        peers=list,
        seeds=list,
    )
    coordinators = types.SimpleNamespace(
        successor_addresses=lambda *_: ['heir-1', 'heir-2'],
        record_replies=lambda *_: None,
        is_coordinator=lambda _: True,
    )
    owner = cast(
        Any, types.SimpleNamespace(run=lambda turn: turn(state, now[0]))
    )
    manager = quarantine_manager.QuarantineManager(
        owner=owner,
        coordinators=cast(Any, coordinators),
        evidence=crash_evidence.CrashEvidence(
            owner=owner, peers=cast(Any, peers), clock=lambda: now[0]
        ),
        peers=cast(Any, peers),
        codec=cast(Any, None),
        store=cast(Any, None),
        clock=lambda: now[0],
    )
    coordinators.request = lambda _name, msg, *_: manager.apply_reports(msg)

    def report(server: str) -> None:
        ended = forwarding.Backend(
            id=server, service='plain', address='127.0.0.1:1'
        )
        manager.record_crash(ended, 1, ran_s=0.01)
        manager.exchange_reports()

    report('s1')
    assert peers.received == {'s1'}
    peers.loses = True
    report('s2')
    peers.loses = False
    for _ in range(20):
        now[0] += quarantine_manager.BUSY_INTERVAL_S
        manager.exchange_reports()
    assert peers.received == {'s1', 's2'}


class _Endless:
    """Sends until its caller has disconnected."""

    def __init__(self) -> None:
        self.sent_at = math.inf

    def handle(self, exchange: caller_server.Exchange) -> None:
        exchange.start(200, {})
        while exchange.send(bytes(_CHUNK_BYTES)):
            self.sent_at = time.monotonic()


def test_a_caller_that_does_not_read_delays_no_close() -> None:
    """Guards against SIGKILL before a stop has sent what is left to send."""
    handler = _Endless()
    server = caller_server.Server(
        '127.0.0.1:0', handler, 1, 2 * _ENDS_S, 1000, half_close=False
    )
    host, _, port = server.start().rpartition(':')
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(b'GET /x HTTP/1.1\r\nHost: h\r\n\r\n')
        # The buffers of both sides are full.
        sites.until(lambda: time.monotonic() - handler.sent_at > 1.0, _ENDS_S)
        began = time.monotonic()
        server.close(in_use_s=0.0)
        took_s = time.monotonic() - began
    assert took_s < _CLOSE_S


def test_a_stop_with_slow_releases_ends_within_its_grace_time(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against parts of a close that together outlast its margin."""
    sites.make_calm(site)
    router = site.routers[0]
    router.cfg = msgspec.structs.replace(router.cfg, grace_s=_SHORT_GRACE_S)
    for items in (router._cleanup._queue, router._coordinators._notifications):
        monkeypatch.setattr(items, '_handle', lambda _: time.sleep(_RELEASE_S))
    held = forwarding.Backend(id='p1', service='model', address='127.0.0.1:1')
    host, _, port = router.addresses['caller'].rpartition(':')
    with (
        socket.create_connection((host, int(port))) as sock,
        futures.ThreadPoolExecutor(1) as pool,
    ):
        began = time.monotonic()
        stopped = pool.submit(router.stop)
        # Half of a head, which keeps the connection open to the end.
        time.sleep(router_daemon.LAME_DUCK_S - 0.05)
        sock.sendall(b'GET /safe/x HTTP/1.1\r\nHost: h')
        for _ in range(2):
            router._cleanup.release_prefill(forwarding.Prefilled(held, 'h1'))
            router._coordinators.notify('model', messages.Ping())
        stopped.result(2 * _ENDS_S)
        took_s = time.monotonic() - began
    assert took_s <= _SHORT_GRACE_S


class _SlowItems(queue.Queue[str | None]):
    """Holds up an item until the queue has been closed."""

    def __init__(self) -> None:
        super().__init__()
        self.began, self.closed = threading.Event(), threading.Event()

    def put_nowait(self, item: str | None) -> None:
        if item is not None:
            self.began.set()
            assert self.closed.wait(_ENDS_S)
        super().put_nowait(item)


def test_an_item_that_is_queued_as_the_queue_closes_is_not_lost() -> None:
    """Guards against a release that is taken and neither sent nor counted."""
    handled: list[str] = []
    items = _SlowItems()
    releases = background_queue.BackgroundQueue('test', 9, handled.append)
    releases._items = items
    releases.start()
    with futures.ThreadPoolExecutor(1) as pool:
        put = pool.submit(releases.put, 'late')
        assert items.began.wait(_ENDS_S)
        closing = threading.Thread(target=releases.close, args=(_ENDS_S,))
        closing.start()
        closing.join(1.0)
        items.closed.set()
        is_taken = put.result(_ENDS_S)
        closing.join(_ENDS_S)
    # The thread that handles items has ended.
    sites.until(lambda: not releases._thread.is_alive())
    assert handled == (['late'] if is_taken else [])
