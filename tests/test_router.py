"""The router on stand-ins of the users' store and workers, over real sockets."""

from collections.abc import Iterator
import socket
import threading
import time
from typing import Any

import pytest

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import positions
from foxtaildale import stage_balance
from foxtaildale_adapters import peers
from foxtaildaled import placement_client
from foxtaildaled import stage_orders
from tests import site as sites
from tests.standins import serving
from tests.standins import wireworker

Site = sites.Site

# Work of a server that is slow and of one that hangs, seconds; both are longer
# than the time after which the router prefers another server.
_SLOW_S = 1.0
_HANG_S = 2.5
# Deadline of the callers of `sites.send`, seconds.
_DEADLINE_S = 3.0


@pytest.fixture
def site() -> Iterator[Site]:
    made = Site()
    yield made
    made.close()


@pytest.fixture
def calm(site: Site) -> Site:
    """A configuration, two plain workers, a prefill and two decode workers."""
    sites.make_calm(site)
    return site


def test_a_plain_request_passes_through_byte_by_byte(calm: Site) -> None:
    status, headers, body = sites.send(calm, 'GET', '/safe/x%41?q=%20y')
    assert (status, body) == (200, b'a1:/safe/x%41?q=%20y')
    assert headers['foxtaildale-response-stamp'].endswith('.a1')
    ran = [req for w in calm.workers.values() for req in w.ran]
    assert len(ran) == 1
    left_ms = int(ran[0].headers['foxtaildale-deadline-ms'])
    assert 2000 < left_ms <= 3000


def test_a_stream_has_its_prompt_read_apart(calm: Site) -> None:
    status, _, body = sites.send(calm, 'POST', '/chat/x')
    assert (status, body) == (200, sites.events('a1', 5))
    assert calm.workers['p1'].ids() == ['a1']
    decoded = [w for w in ('d1', 'd2') if calm.workers[w].ids()]
    assert len(decoded) == 1
    sent = calm.workers[decoded[0]].ran[0].headers
    source = f'{calm.workers["p1"].address}/kv-a1'
    assert sent['foxtaildale-kv-source'] == source


def test_what_is_ours_is_not_taken_from_a_caller(calm: Site) -> None:
    """A caller names another's KV handle or a stage.

    It would go on from a prompt that is not its own.
    """
    sites.send(
        calm,
        'GET',
        '/safe/x',
        headers={
            'Foxtaildale-Kv-Source': '10.0.0.1:1/x',
            'Foxtaildale-Stage': 'prefill',
            'Foxtaildale-Expect-Instance': 'other',
        },
    )
    ran = [req for w in calm.workers.values() for req in w.ran]
    assert 'foxtaildale-kv-source' not in ran[0].headers
    assert 'foxtaildale-stage' not in ran[0].headers
    assert ran[0].headers['foxtaildale-expect-instance'] in ('s1', 's2')


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [
        ('/none/x', {}, 404),
        ('/safe/x', {'Host': 'other.example'}, 404),
        ('/safe/x', {'Foxtaildale-Attempt-Id': 'a b'}, 400),
        ('/safe/x', {'Foxtaildale-Deadline-Ms': 'soon'}, 400),
    ],
)
def test_what_has_no_route_or_no_sense_is_refused(
    calm: Site, path: str, headers: dict[str, str], status: int
) -> None:
    assert sites.send(calm, 'GET', path, headers=headers)[0] == status
    assert not any(w.ran for w in calm.workers.values())


@pytest.mark.parametrize(
    'head',
    [
        b'Content-Length: 4\r\nContent-Length: 40\r\n',
        b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n',
        b'Content-Length : 4\r\n',
        b'X: 1\r\n folded\r\n',
        b'Foxtaildale-Attempt-Id: other\r\n',
    ],
)
def test_a_head_that_can_be_read_in_two_ways_is_refused(
    calm: Site, head: bytes
) -> None:
    """A caller hides a second request in the body of the first.

    A backend server that reads the head otherwise would run it.
    """
    host, _, port = calm.routers[0].addresses['caller'].partition(':')
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(
            b'POST /safe/x HTTP/1.1\r\nHost: h.example\r\n'
            b'Foxtaildale-Attempt-Id: a1\r\n' + head + b'\r\nabcd'
        )
        assert sock.recv(100).startswith(b'HTTP/1.1 400')
    assert not any(w.ran for w in calm.workers.values())


def test_an_idempotent_request_is_run_again_elsewhere(calm: Site) -> None:
    calm.workers['s1'].error = calm.workers['s1'].cut = True
    for number in range(6):
        status, _, _ = sites.send(calm, 'GET', '/safe/x', attempt=f'a{number}')
        assert status == 200


def test_a_slow_server_that_none_can_replace_is_waited_for(site: Site) -> None:
    """Guards against a 502 in place of a response that is on its way."""
    site.store.put('keyed.op', 'config', sites.config(1))
    site.worker('s1', 'plain').work_s = _SLOW_S
    site.router()
    sites.until(lambda: sites.ready(site))
    status, _, body = sites.send(site, 'GET', '/safe/x')
    assert (status, body) == (200, b'a1:/safe/x')


def test_a_slow_server_is_waited_for_without_a_retry_budget(
    site: Site,
) -> None:
    """Guards against a run that is given up and may not be repeated."""
    site.store.put('keyed.op', 'config', sites.config(1))
    for name in ('s1', 's2'):
        site.worker(name, 'plain').work_s = _SLOW_S
    site.router(retry_burst=0.0)
    sites.until(lambda: sites.ready(site))
    status, _, body = sites.send(site, 'GET', '/safe/x')
    assert (status, body) == (200, b'a1:/safe/x')
    assert len([i for w in site.workers.values() for i in w.ids()]) == 1


def test_a_server_that_hangs_is_replaced_in_time(calm: Site) -> None:
    """Guards against a wait until the deadline as another server is free."""
    hung = threading.Event()

    def hang(_: object) -> None:
        if not hung.is_set():
            hung.set()
            time.sleep(_HANG_S)

    for name in ('s1', 's2'):
        calm.workers[name].on_run = hang
    began = time.monotonic()
    status, _, body = sites.send(calm, 'GET', '/safe/x')
    assert (status, body) == (200, b'a1:/safe/x')
    assert hung.is_set()
    assert time.monotonic() - began < _SLOW_S


def test_what_may_have_run_is_not_run_again(calm: Site) -> None:
    """A server runs a check-in and its answer is lost on the way.

    Sent again, the check-in would be logged twice; said not to have run, the
    caller would send it again.
    """
    for name in ('s1', 's2'):
        calm.workers[name].cut = True
    status, headers, _ = sites.send(calm, 'POST', '/once/x')
    assert status == 502
    assert 'retry-after' not in headers
    assert len([i for w in ('s1', 's2') for i in calm.workers[w].ids()]) == 1


def test_what_did_not_run_goes_on_or_is_refused(calm: Site) -> None:
    calm.workers['s1'].refuse = True
    for number in range(4):
        status, _, _ = sites.send(calm, 'POST', '/once/x', attempt=f'a{number}')
        assert status == 200
    calm.workers['s2'].refuse = True
    status, headers, body = sites.send(calm, 'POST', '/once/x', attempt='b')
    assert status == 503
    assert 0 < float(headers['retry-after']) <= 1.0
    assert b'(full)' in body


def test_a_failure_of_the_server_is_the_callers_answer(calm: Site) -> None:
    calm.workers['s1'].error = calm.workers['s2'].error = True
    status, headers, body = sites.send(calm, 'POST', '/once/x')
    assert (status, body) == (500, b'broken')
    assert 'foxtaildale-response-stamp' in headers


def test_a_broken_stream_goes_on_at_another_worker(calm: Site) -> None:
    """A decode worker breaks off in the middle of an event.

    The caller has its whole answer once, with no event missing or doubled.
    """
    calm.workers['d1'].break_after = 3
    for number in range(4):
        status, _, body = sites.send(
            calm, 'POST', '/chat/x', attempt=f'a{number}'
        )
        assert (status, body) == (200, sites.events(f'a{number}', 5))


def test_a_stream_that_goes_on_asks_for_room_for_what_it_has(
    calm: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A decode worker breaks a long answer off near its end.

    Planned as a new request, what it has made so far would outgrow its share of
    the next worker, which then has another caller's prompt read again.
    """
    asked: list[messages.PlacementRequest] = []
    ask = placement_client.PlacementClient.request

    def note(
        self: placement_client.PlacementClient, msg: messages.PlacementRequest
    ) -> placement_client.Reply | None:
        asked.append(msg)
        return ask(self, msg)

    monkeypatch.setattr(placement_client.PlacementClient, 'request', note)
    for name in ('d1', 'd2'):
        calm.workers[name].events = 8
        calm.workers[name].break_after = 6
    sites.send(calm, 'POST', '/chat/x')
    first, second = asked[0], asked[-1]
    assert (
        first.prompt_tokens,
        first.max_output_tokens,
        first.response_started,
    ) == (500, 640, False)
    made = 6 * 64
    assert (second.prompt_tokens, second.max_output_tokens) == (
        500 + made,
        640 - made,
    )
    assert second.response_started


def _pause_once(worker: wireworker.WireWorker, pause_s: float) -> list[str]:
    """Has a worker fall silent once; returns the requests that noticed."""
    paused: list[str] = []

    def on_run(req: serving.Request) -> None:
        if not paused:
            paused.append(req.headers['foxtaildale-attempt-id'])
            time.sleep(pause_s)

    worker.on_run = on_run
    return paused


def test_a_worker_that_is_silent_for_a_second_keeps_its_stream(
    calm: Site,
) -> None:
    """Guards against a sound worker that is given up, and a second prefill."""
    paused = {
        name: _pause_once(calm.workers[name], 1.35) for name in ('d1', 'd2')
    }
    for number in range(4):
        attempt = f'a{number}'
        status, _, body = sites.send(calm, 'POST', '/chat/x', attempt=attempt)
        assert (status, body) == (200, sites.events(attempt, 5))
    assert any(paused.values())
    ran = [i for w in ('d1', 'd2') for i in calm.workers[w].ids()]
    assert sorted(ran) == [f'a{number}' for number in range(4)]


def test_a_silent_worker_that_none_can_replace_keeps_its_stream(
    site: Site,
) -> None:
    """Guards against a stream that is cut before another worker is found."""
    site.store.put('keyed.op', 'config', sites.config(1))
    site.worker('p1', 'model', 'prefill')
    worker = site.worker('d1', 'model', 'decode')
    site.router()
    sites.until(lambda: sites.ready(site))
    sites.until(lambda: 'vm-1' in site.routers[0].entry_vms())
    _pause_once(worker, 2.3)
    status, _, body = sites.send(site, 'POST', '/chat/x')
    assert (status, body) == (200, sites.events('a1', 5))
    assert worker.ids() == ['a1']


def test_a_worker_that_stays_silent_in_a_stream_is_replaced(
    calm: Site,
) -> None:
    """Guards against a wait until the deadline for a worker that hangs."""
    is_over = threading.Event()
    hung: list[str] = []

    def on_event(number: int, attempt: str) -> None:
        if number == 3 and not hung:
            hung.append(attempt)
            is_over.wait(_DEADLINE_S)

    for name in ('d1', 'd2'):
        calm.workers[name].on_event = on_event
    try:
        status, _, body = sites.send(calm, 'POST', '/chat/x')
    finally:
        is_over.set()
    assert hung == ['a1']
    assert (status, body) == (200, sites.events('a1', 5))


def test_a_stream_that_may_not_go_on_is_cut(calm: Site) -> None:
    """Its answer must not look complete, and it must not run twice."""
    calm.workers['d1'].break_after = calm.workers['d2'].break_after = 3
    _, _, body = sites.send(calm, 'POST', '/single/x')
    assert body == b'(cut)'
    assert len([i for w in ('d1', 'd2') for i in calm.workers[w].ids()]) == 1


def test_a_second_refusal_hides_no_first_run(calm: Site) -> None:
    """A worker breaks off before the first event, and the next one is full.

    That the second did not run is true, and as an answer to the caller it
    would promise that nothing ran.
    """
    calm.workers['d1'].break_after = 0
    calm.workers['d2'].refuse = True
    seen = set()
    for number in range(6):
        status, headers, _ = sites.send(
            calm, 'POST', '/chat/x', attempt=f'a{number}'
        )
        ran = f'a{number}' in calm.workers['d1'].ids()
        assert status == (502 if ran else 503)
        assert ('retry-after' in headers) == (not ran)
        seen.add(ran)
    assert True in seen


def test_a_caller_that_leaves_ends_its_stream(calm: Site) -> None:
    """A caller closes its connection while its answer streams.

    The decode worker must not go on for nobody.
    """
    for name in ('d1', 'd2'):
        calm.workers[name].events = 500
        calm.workers[name].pace_s = 0.02
    host, _, port = calm.routers[0].addresses['caller'].partition(':')
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(
            b'POST /chat/x HTTP/1.1\r\nHost: h.example\r\n'
            b'Foxtaildale-Attempt-Id: a1\r\nContent-Length: 0\r\n'
            b'Foxtaildale-Token-Count: 500,640\r\n\r\n'
        )
        assert sock.recv(100).startswith(b'HTTP/1.1 200')
    sites.until(lambda: not calm.routers[0].requests_in_progress(), 2.0)
    assert not any(calm.workers[name].ended for name in ('d1', 'd2'))


def test_a_caller_that_leaves_during_its_prefill_frees_it(calm: Site) -> None:
    calm.workers['p1'].work_s = 0.6
    host, _, port = calm.routers[0].addresses['caller'].partition(':')
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(
            b'POST /chat/x HTTP/1.1\r\nHost: h.example\r\n'
            b'Foxtaildale-Attempt-Id: a1\r\nContent-Length: 0\r\n'
            b'Foxtaildale-Token-Count: 500,640\r\n\r\n'
        )
        sites.until(lambda: bool(calm.workers['p1'].ran))
    sites.until(lambda: not calm.routers[0].requests_in_progress(), 0.5)
    time.sleep(0.2)
    assert not any(calm.workers[name].ran for name in ('d1', 'd2'))


def test_a_request_ends_at_its_routes_timeout(calm: Site) -> None:
    """A worker is silent. The caller gets its answer when it is due."""
    for name in ('s1', 's2'):
        calm.workers[name].work_s = 2.0
    began = time.monotonic()
    status, _, _ = sites.send(
        calm, 'POST', '/once/x', headers={'Foxtaildale-Deadline-Ms': '400'}
    )
    assert status == 504
    assert time.monotonic() - began < 1.0


def test_a_leaving_worker_gets_nothing_new(calm: Site) -> None:
    calm.store.put('keyed.servers', 's1', calm.workers['s1'].entry('draining'))
    time.sleep(1.0)
    before = len(calm.workers['s1'].ran)
    for number in range(6):
        sites.send(calm, 'GET', '/safe/x', attempt=f'a{number}')
    assert len(calm.workers['s1'].ran) == before


def test_a_worker_whose_address_another_has_is_left(calm: Site) -> None:
    """A worker died and its address went to one of another service.

    That one must not run the request; the caller is served elsewhere.
    """
    calm.workers['s1'].name = 'new'
    for number in range(4):
        status, _, _ = sites.send(calm, 'POST', '/once/x', attempt=f'a{number}')
        assert status == 200
    assert not calm.workers['s1'].ran


@pytest.mark.parametrize('path', ['/single/x', '/chat/x'])
def test_an_engine_that_is_back_under_another_name_costs_no_attempt(
    calm: Site, path: str
) -> None:
    """A decode worker crashed and another start answers at its address.

    The list does not tell it yet. A request whose route allows one attempt is
    served by the other engine, its prompt read once, and the next ones are not
    even sent there.
    """
    calm.workers['d1'].name = 'new'
    for number in range(8):
        status, _, body = sites.send(calm, 'POST', path, attempt=f'a{number}')
        assert (status, body) == (200, sites.events(f'a{number}', 5))
    assert not calm.workers['d1'].ran
    assert calm.workers['d1'].missed <= 2
    assert len(calm.workers['p1'].ran) == 8


def test_a_change_is_in_force_soon_and_stays(calm: Site) -> None:
    calm.store.put('keyed.op', 'config', sites.config(2, skip='safe'))
    sites.until(lambda: sites.send(calm, 'GET', '/safe/x')[0] == 404, 2.0)
    calm.store.put('keyed.op', 'config', sites.config(1))
    calm.store.put('keyed.op', 'config', {'version': 'broken'})
    time.sleep(0.5)
    assert sites.send(calm, 'GET', '/safe/x')[0] == 404


def test_history_that_is_dropped_loses_nothing(calm: Site) -> None:
    for topic in ('keyed.op', 'keyed.servers'):
        calm.store.forget(topic)
    calm.store.put('keyed.op', 'config', sites.config(3, skip='once'))
    sites.until(lambda: sites.send(calm, 'POST', '/once/x')[0] == 404, 3.0)
    assert sites.send(calm, 'GET', '/safe/x')[0] == 200


def test_a_router_without_a_configuration_refuses(site: Site) -> None:
    site.router()
    status, headers, _ = sites.send(site, 'GET', '/safe/x')
    assert status == 503
    assert 'retry-after' in headers
    assert not sites.ready(site)


def test_a_router_serves_on_while_the_store_is_down(calm: Site) -> None:
    calm.store.down = True
    time.sleep(0.8)
    assert sites.send(calm, 'GET', '/safe/x')[0] == 200
    assert sites.send(calm, 'POST', '/chat/x')[0] == 200
    assert sites.ready(calm)


def test_a_router_started_in_an_outage_learns_from_a_peer(calm: Site) -> None:
    """A VM restarts while the store is down.

    Without its peers it would refuse every caller until the store is back.
    """
    calm.store.down = True
    calm.router(seeds=(calm.peers[0],))
    sites.until(lambda: sites.ready(calm, 1), 4.0)
    assert sites.send(calm, 'GET', '/safe/x', number=1)[0] == 200


def test_connections_that_do_not_open_draw_on_no_budget(calm: Site) -> None:
    """A decode worker died and its entry has not lapsed yet.

    Nothing was sent to it, so its callers' requests go on to the other one;
    counted as further sends they were refused as soon as the budget was used.
    """
    calm.router(retry_burst=0.0)
    sites.until(lambda: sites.ready(calm, 1))
    calm.workers['d1'].close()
    for number in range(6):
        attempt = f'a{number}'
        status, _, body = sites.send(
            calm, 'POST', '/chat/x', attempt=attempt, number=1
        )
        assert (status, body) == (200, sites.events(attempt, 5))


def test_a_prefill_that_is_not_sent_draws_on_no_budget(site: Site) -> None:
    """Guards against streams refused for prefill workers that are down."""
    site.store.put('keyed.op', 'config', sites.config(1))
    for name in ('p1', 'p2', 'p3'):
        site.worker(name, 'model', 'prefill')
    site.worker('d1', 'model', 'decode')
    site.router(retry_burst=0.0)
    sites.until(lambda: sites.ready(site))
    sites.until(lambda: 'vm-1' in site.routers[0].entry_vms())
    for name in ('p1', 'p2'):
        site.workers[name].close()
    for number in range(6):
        status, _, _ = sites.send(site, 'POST', '/chat/x', attempt=f'a{number}')
        assert status == 200


def _site_of_idle_prefill_workers(site: Site) -> None:
    site.store.put('keyed.op', 'config', sites.config(1))
    for name in ('p1', 'p2', 'p3', 'p4', 'p5'):
        site.worker(name, 'model', 'prefill')
    for name in ('d1', 'd2'):
        site.worker(name, 'model', 'decode').pace_s = 0.02
    site.router()
    sites.until(lambda: sites.ready(site))
    sites.until(lambda: 'vm-1' in site.routers[0].entry_vms())


def _orders(site: Site) -> list[dict[str, Any]]:
    return [order for w in site.workers.values() for order in w.orders]


def _send_many(site: Site) -> None:
    for number in range(stage_balance.MIN_REQUESTS + 5):
        status, _, _ = sites.send(site, 'POST', '/chat/x', attempt=f'a{number}')
        assert status == 200


def test_idle_prefill_workers_are_told_to_decode(site: Site) -> None:
    """Decode memory is short and prefill workers stand idle.

    Callers would be refused although engines are free.
    """
    _site_of_idle_prefill_workers(site)
    _send_many(site)
    sites.until(lambda: len(_orders(site)) == stage_balance.MIN_CHANGING_LIMIT)
    for order in _orders(site):
        assert order['op'] == 'stage'
        assert order['stage'] == 'decode'
        assert order['holder'] == 'vm-1'
        # One above the claim, the first record of the store's first epoch.
        assert order['fence'] == positions.make(1, 0) + 1
    assert site.store.keys('keyed.stageholders') == {'model'}


def test_another_vms_claim_holds_orders_back(site: Site) -> None:
    """Two VMs take themselves for the home of a service for a while.

    Both ordering, engines would change to and fro.
    """
    _site_of_idle_prefill_workers(site)
    site.store.put('keyed.stageholders', 'model', 'vm-9')
    _send_many(site)
    time.sleep(stage_balance.SURPLUS_S + 2 * stage_orders.POLL_S + 0.3)
    assert not _orders(site)


def test_an_unreadable_claim_delays_orders_only(site: Site) -> None:
    """A claim that is no UTF-8 ended each later claim: no engine was ordered."""
    _site_of_idle_prefill_workers(site)
    site.store.put_bytes('keyed.stageholders', 'model', b'\xff\xfe')
    _send_many(site)
    sites.until(lambda: bool(_orders(site)), 20.0)


def test_a_home_that_is_lost_stops_nobody(calm: Site) -> None:
    """The VM that plans the engines dies, and its entry stays listed."""
    calm.store.put('keyed.entryvms', 'ghost', {'peer_address': '127.0.0.1:1'})
    calm.store.put('keyed.entryvms', 'ghost-2', {'peer_address': '127.0.0.1:1'})
    calm.router()
    sites.until(lambda: sites.ready(calm, 1))
    for number in range(3):
        attempt = f'a{number}'
        found = sites.send(calm, 'POST', '/chat/x', attempt=attempt, number=1)
        assert (found[0], found[2]) == (200, sites.events(attempt, 5))


def test_a_planned_stop_cuts_no_request(calm: Site) -> None:
    """A VM is stopped by plan while it streams and callers still come.

    It says that it is not ready, answers all that reach it, and ends. It is
    home and reader no more, so no other VM waits for its end.
    """
    for name in ('d1', 'd2'):
        calm.workers[name].events = 40
        calm.workers[name].pace_s = 0.05
    found: list[tuple[int, dict[str, str], bytes]] = []
    stream = threading.Thread(
        target=lambda: found.append(sites.send(calm, 'POST', '/chat/x'))
    )
    stream.start()
    sites.until(lambda: calm.routers[0].requests_in_progress() == 1)
    stop = threading.Thread(target=calm.routers[0].stop)
    stop.start()
    time.sleep(0.2)
    assert not sites.ready(calm)
    ask = messages.RecordsRequest(positions={})
    asked = peers.Peers(1.0, 3.0)
    with pytest.raises(errors.RejectedError, match='stopping'):
        asked.request(calm.peers[0], ask, 1.0)
    asked.close()
    status, headers, _ = sites.send(calm, 'GET', '/safe/x', attempt='late')
    assert status == 200
    assert headers['connection'] == 'close'
    stream.join(6)
    stop.join(8)
    assert found[0][2] == sites.events('a1', 40)
    with pytest.raises(OSError):
        sites.send(calm, 'GET', '/safe/x')
