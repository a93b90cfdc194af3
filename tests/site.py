"""A site for tests of the router: a store, backend servers and routers.

All are in this process and speak over real sockets.
"""

from collections.abc import Callable
from concurrent import futures
import http.client
import socket
import time
from typing import Any

import msgspec

from foxtaildale import options
from foxtaildale_adapters import connectors
from foxtaildale_platform import caller_requests
from foxtaildale_platform import records
from foxtaildale_platform import server_client
from foxtaildale_platform import store
from foxtaildaled import router_daemon
from tests import soakrouter
from tests.standins import keyedstore
from tests.standins import wireworker

_ROUTE = {
    'host': 'h.example',
    'timeout_ms': 3000,
    'target_latency_ms': 300,
    'priority': 1,
    'max_attempts': 2,
}
_ROUTES = (
    _ROUTE
    | {'name': 'safe', 'path_prefix': '/safe/', 'kind': 'idempotent'}
    | {'service': 'plain'},
    _ROUTE
    | {'name': 'once', 'path_prefix': '/once/', 'kind': 'non_idempotent'}
    | {'service': 'plain'},
    _ROUTE
    | {'name': 'chat', 'path_prefix': '/chat/', 'kind': 'streaming'}
    | {'service': 'model', 'resumable': True, 'sticky_sessions': True}
    | {'target_gap_ms': 100},
    _ROUTE
    | {'name': 'single', 'path_prefix': '/single/', 'kind': 'streaming'}
    | {'service': 'model', 'resumable': False, 'sticky_sessions': True}
    | {'max_attempts': 1},
)
_ENGINE = {
    'slots': 8,
    'stride': 64,
    'kv_capacity_tokens': 50_000,
    'kv_hold_s': 0.5,
    'hold_ms': 2000,
}


def config(version: int, *, skip: str = '') -> dict[str, Any]:
    """Returns a configuration."""
    return {
        'version': version,
        'routes': [route for route in _ROUTES if route['name'] != skip],
        'services': [
            {'name': 'plain'},
            {'name': 'model', 'engine': _ENGINE},
        ],
        'limits': {'header_timeout_ms': 1000, 'max_body_bytes': 1000},
    }


def until(check: Callable[[], bool], wait_s: float = 4.0) -> None:
    """Waits for something to come about."""
    end = time.monotonic() + wait_s
    while not check():
        assert time.monotonic() < end, 'it did not come about in time'
        time.sleep(0.01)


def free_port() -> int:
    """Returns a port that nobody listens on."""
    with socket.create_server(('127.0.0.1', 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


class Site:
    """One store, some workers, some routers."""

    def __init__(self) -> None:
        self.store = keyedstore.KeyedStore()
        self.workers: dict[str, wireworker.WireWorker] = {}
        self.routers: list[router_daemon.RouterDaemon] = []
        self.peers: list[str] = []
        self._ports: list[soakrouter.Ports] = []
        self._number = 0

    def worker(
        self, name: str, service: str, stage: str = '', version: str = 'v1'
    ) -> wireworker.WireWorker:
        """Starts a worker and lists it."""
        made = wireworker.WireWorker(name, service, stage, version)
        self.workers[name] = made
        self.store.put('keyed.servers', name, made.entry())
        return made

    def router(
        self,
        *,
        seeds: tuple[str, ...] = (),
        retry_burst: float = 20.0,
        first_start: bool = True,
        connector: connectors.Connector | None = None,
        threads: int = 8,
        memory_bytes: float = options.DEFAULT_MEMORY_BYTES,
        store_address: str = '',
    ) -> router_daemon.RouterDaemon:
        """Starts a router; by default at the store of the site."""
        self._number += 1
        self._ports.append(soakrouter.Ports(1))
        peer = f'127.0.0.1:{self._ports[-1].numbers[0]}'
        self.peers.append(peer)
        cfg = options.RouterOptions(
            entry_vm=f'vm-{self._number}',
            data_centre='here',
            caller_address='127.0.0.1:0',
            ready_address='127.0.0.1:0',
            peer_address=peer,
            admin_host='127.0.0.1',
            store=store_address or self.store.address,
            seeds=seeds,
            retry_burst=retry_burst,
            first_start=first_start,
            threads=threads,
            memory_bytes=memory_bytes,
        )
        made = router_daemon.Adapters(
            codec=records.Codec(),
            make_store=store.Store,
            decode=caller_requests.decode_request,
            make_workers=server_client.ServerClient,
            connector=connector or connectors.DirectConnector(),
        )
        router = router_daemon.RouterDaemon(cfg, made, 0)
        router.start()
        self.routers.append(router)
        return router

    def restart(self, number: int) -> None:
        """Ends a router at once and starts it again at its addresses."""
        ended = self.routers[number]
        ended.close()
        made = router_daemon.Adapters(
            codec=records.Codec(),
            make_store=store.Store,
            decode=caller_requests.decode_request,
            make_workers=server_client.ServerClient,
            connector=connectors.DirectConnector(),
        )
        self.routers[number] = router_daemon.RouterDaemon(ended.cfg, made, 0)
        self.routers[number].start()

    def start_routers(
        self, count: int, *, seeded: bool = True, retry_burst: float = 60.0
    ) -> None:
        """Starts the first routers, and waits until all know each other.

        Args:
            count: How many.
            seeded: Whether the first one is named to the others.
            retry_burst: Repeats that all of them may send at once.
        """
        for _ in range(count):
            seeds = tuple(self.peers[:1]) if seeded else ()
            self.router(seeds=seeds, retry_burst=retry_burst)
        names = {f'vm-{number + 1}' for number in range(count)}
        for number, router in enumerate(self.routers):
            until(lambda n=number: ready(self, n))  # type: ignore[misc]
            until(lambda r=router: names <= r.entry_vms())  # type: ignore[misc]

    def cut_store(self, number: int) -> None:
        """Lets a router's calls to the store go nowhere from now on."""
        router = self.routers[number]
        nowhere = f'127.0.0.1:{free_port()}'
        router.reload(msgspec.structs.replace(router.cfg, store=nowhere))

    def close(self) -> None:
        """Ends all, each in a thread: every server takes a moment."""
        ends = [
            *(router.close for router in self.routers),
            *(worker.close for worker in self.workers.values()),
            self.store.close,
        ]
        with futures.ThreadPoolExecutor(len(ends)) as pool:
            for done in [pool.submit(end) for end in ends]:
                done.result()
        for ports in self._ports:
            ports.close()


def ready(site: Site, number: int = 0) -> bool:
    """Whether a router takes callers."""
    status, _, _ = send(site, 'GET', '/api/ready', use='ready', number=number)
    return status == 200


def send(
    site: Site,
    method: str,
    path: str,
    *,
    attempt: str = 'a1',
    headers: dict[str, str] | None = None,
    use: str = 'caller',
    number: int = 0,
) -> tuple[int, dict[str, str], bytes]:
    """Sends a request; returns status, headers and body of the answer."""
    conn = http.client.HTTPConnection(
        site.routers[number].addresses[use], timeout=6
    )
    sent = {
        'Host': 'h.example',
        'Foxtaildale-Attempt-Id': attempt,
        'Foxtaildale-Deadline-Ms': '3000',
        'Foxtaildale-Token-Count': '500,640',
    }
    conn.request(method, path, headers=sent | (headers or {}))
    resp = conn.getresponse()
    try:
        body = resp.read()
    except http.client.IncompleteRead:
        body = b'(cut)'
    conn.close()
    found = {name.lower(): value for name, value in resp.getheaders()}
    return resp.status, found, body


def events(attempt: str, last: int, first: int = 1) -> bytes:
    """Returns the events of a stand-in's stream."""
    return b''.join(
        b'id: %d\ndata: %s-%d\n\n' % (n, attempt.encode(), n)
        for n in range(first, last + 1)
    )


def make_calm(site: Site) -> None:
    """Fills a site: two plain servers, a prefill and two decode workers."""
    site.store.put('keyed.op', 'config', config(1))
    for name in ('s1', 's2'):
        site.worker(name, 'plain')
    site.worker('p1', 'model', 'prefill')
    for name in ('d1', 'd2'):
        site.worker(name, 'model', 'decode')
    site.router()
    until(lambda: ready(site))
    until(lambda: 'vm-1' in site.routers[0].entry_vms())
