"""Most new connections at one entry VM, beside others that have room."""

from concurrent import futures
import time
from typing import Final

import pytest

from foxtaildale_adapters import queue_delays
from tests import site as sites
from tests import test_caller_server as base

_RATE: Final = 30.0
_LASTS_S: Final = 4.0
_WORK_S: Final = 0.6
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


def test_connection_beyond_the_threads_is_closed_unread() -> None:
    """Guards against a caller that waits for a full VM though others serve."""
    running = base.Running(has_peers=True)
    server, script = running.server, running.script
    socks = [running.connect() for _ in range(4)]
    for sock in socks:
        sock.sendall(b'GET /hold HTTP/1.1\r\nHost: x\r\n\r\n')
    base.until(lambda: server.busy() == len(socks))
    with running.connect() as turned_away:
        turned_away.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            assert turned_away.recv(100) == b''
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
    assert delays.is_standing(0.7)
    delays.record(0.7, 0.71)
    assert not delays.is_standing(0.71)


def test_one_long_delay_is_no_overload() -> None:
    """Guards against callers turned away by a VM that was suspended."""
    delays = queue_delays.QueueDelays()
    delays.record(0.0, 3.0)
    assert not delays.is_standing(3.0)
    assert not delays.is_standing(3.3)


def test_overload_that_nothing_confirms_ends() -> None:
    """Guards against a VM that turns away all callers and so measures none."""
    delays = queue_delays.QueueDelays()
    for number in range(8):
        delays.record(number / 10 - 0.2, number / 10)
    assert not delays.is_standing(0.7 + 2 * queue_delays.INTERVAL_S)


def test_counts_are_reported_once_an_interval() -> None:
    counts = queue_delays.LoggedCount()
    found = [counts.record(number / 10) for number in range(12)]
    assert [count for count in found if count] == [1, 10]
