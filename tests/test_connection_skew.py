"""Most new connections at one entry VM, beside others that have room."""

from collections.abc import Callable
from concurrent import futures
import http.client
import pathlib
import signal
import time
from typing import Final

import pytest

from foxtaildale_adapters import queue_delays
from tests import site as sites
from tests import soakrouter
from tests import test_caller_server as base
from tests.standins import keyedstore
from tests.standins import wireworker

_RATE: Final = 30.0
_LASTS_S: Final = 4.0
_WORK_S: Final = 0.6
# Requests of 2.5 s, more than the 96 threads of a process can have in progress, and
# time until processes are ready and know each other, seconds.
_SLOW_SERVERS: Final = 36
_SLOW_S: Final = 2.5
_SLOW_RATE: Final = 80.0
_START_S: Final = 20.0
_LISTED_S: Final = 2.0
# Part of the requests that must be served at the first attempt that is read.
_SERVED: Final = 0.75


def _ask(site: sites.Site, numbers: tuple[int, ...], attempt: str) -> int:
    """Tries entry VMs until one reads the request; returns the status."""
    for tried, number in enumerate(numbers):
        try:
            status, _, _ = sites.send(
                site,
                'POST',
                '/once/a',
                attempt=f'{attempt}-{tried}',
                number=number,
            )
        except ConnectionError:
            continue
        return status
    return 0


@pytest.mark.parametrize('stops', [False, True], ids=['alone', 'stopping'])
def test_callers_of_a_full_vm_are_served_by_others(stops: bool) -> None:
    """Guards against refusals by one VM while others have room."""
    site = sites.Site()
    try:
        site.store.put('keyed.op', 'config', sites.config(1))
        for number in range(6):
            site.worker(f's{number}', 'plain').work_s = _WORK_S
        site.start_routers(3)
        statuses = []
        with futures.ThreadPoolExecutor(64) as pool:
            sent = []
            for number in range(int(_RATE * _LASTS_S)):
                # The balancer hands new connections to another VM midway.
                crowded = int(number >= _RATE * _LASTS_S / 2)
                others = [n for n in range(3) if n != crowded]
                if number % 2:
                    others.reverse()
                order = (crowded, *others)
                sent.append(pool.submit(_ask, site, order, f'r{number}'))
                if stops and number == int(_RATE):
                    pool.submit(site.routers[2].close)
                time.sleep(1 / _RATE)
            statuses = [one.result() for one in sent]
        assert statuses.count(200) >= _SERVED * len(statuses)
        assert statuses.count(503) <= (1 - _SERVED) * len(statuses)
    finally:
        site.close()


class _Processes:
    """Routers as whole processes, and servers that are slow."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.store = keyedstore.KeyedStore()
        self.store.put('keyed.op', 'config', sites.config(1))
        self.workers = [
            wireworker.WireWorker(f's{number}', 'plain')
            for number in range(_SLOW_SERVERS)
        ]
        for worker in self.workers:
            worker.work_s = _SLOW_S
            self.store.put('keyed.servers', worker.name, worker.entry())
        self.ports = soakrouter.Ports(12)
        found = self.ports.numbers
        self.routers = [
            soakrouter.Router(
                number,
                folder,
                self.store.address,
                found[4 * number : 4 * number + 4],
            )
            for number in range(3)
        ]
        seeds = [f'127.0.0.1:{self.routers[0].control}']
        for router in self.routers:
            router.write(seeds)
            router.start()
        for router in self.routers:
            sites.until(router.is_ready, _START_S)
        time.sleep(_LISTED_S)

    def served(self, pick: Callable[[int], int]) -> float:
        """Sends requests for a while; returns the part that is served.

        Args:
            pick: Returns the VM that the balancer hands a connection to.
        """
        count = int(_SLOW_RATE * _LASTS_S)
        with futures.ThreadPoolExecutor(count) as pool:
            sent = []
            for number in range(count):
                first = pick(number)
                order = [first, *(n for n in range(3) if n != first)]
                if number % 2:
                    order[1:] = order[:0:-1]
                sent.append(pool.submit(self._ask, order, number))
                time.sleep(1 / _SLOW_RATE)
            statuses = [one.result() for one in sent]
        return statuses.count(200) / len(statuses)

    def _ask(self, order: list[int], number: int) -> int:
        for tried, vm in enumerate(order):
            conn = http.client.HTTPConnection(
                '127.0.0.1', self.routers[vm].front, timeout=6
            )
            headers = {
                'Host': 'h.example',
                'Foxtaildale-Attempt-Id': f'{number}-{tried}',
                'Foxtaildale-Deadline-Ms': '3500',
            }
            try:
                conn.request('POST', '/once/a', headers=headers)
                return conn.getresponse().status
            except OSError:
                continue
            finally:
                conn.close()
        return 0

    def close(self) -> None:
        for router in self.routers:
            router.send_signal(signal.SIGKILL)
            router.relay.close()
            router.control_relay.close()
            router.out.close()
        for worker in self.workers:
            worker.close()
        self.store.close()
        self.ports.close()


def test_processes_serve_while_most_connections_go_to_one(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a process that reads more requests than it can serve."""
    site = _Processes(tmp_path)
    try:
        before = site.served(lambda number: number % 3)
        crowded = site.served(lambda _: 0)
        # The next one is crowded while another one stops.
        site.routers[2].send_signal(signal.SIGTERM)
        stopping = site.served(lambda _: 1)
    finally:
        site.close()
    assert before >= _SERVED
    assert crowded >= _SERVED * before
    assert stopping >= _SERVED * before


def test_connection_beyond_the_threads_is_closed_unread() -> None:
    """Guards against a caller that waits for a full VM though others serve."""
    running = base.Running(has_peers=True)
    server, script = running.server, running.script
    socks = [running.connect() for _ in range(4)]
    for sock in socks:
        sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
    base.until(lambda: server.busy() == len(socks))
    with running.connect() as rejected:
        rejected.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            assert rejected.recv(100) == b''
        except ConnectionResetError:
            pass
    script.release.set()
    for sock in socks:
        assert base.read_until(sock, b'held')
        sock.close()
    assert len(script.seen) == len(socks)
    server.close()


def test_short_delay_ends_an_overload() -> None:
    delays = queue_delays.QueueDelays()
    for number in range(8):
        delays.record(number / 10 - 0.2, number / 10)
    assert delays.has_standing_queue(0.7)
    delays.record(0.7, 0.71)
    assert not delays.has_standing_queue(0.71)


def test_one_long_delay_is_no_overload() -> None:
    """Guards against callers rejected by a VM that was suspended."""
    delays = queue_delays.QueueDelays()
    delays.record(0.0, 3.0)
    assert not delays.has_standing_queue(3.0)
    assert not delays.has_standing_queue(3.3)


def test_overload_that_nothing_confirms_ends() -> None:
    """Guards against a VM that rejects all callers and so measures none."""
    delays = queue_delays.QueueDelays()
    for number in range(8):
        delays.record(number / 10 - 0.2, number / 10)
    assert not delays.has_standing_queue(0.7 + 2 * queue_delays.INTERVAL_S)


def test_counts_are_reported_once_an_interval() -> None:
    counts = queue_delays.LoggedCount()
    found = [counts.record(number / 10) for number in range(12)]
    assert [count for count in found if count] == [1, 10]
