"""Faults that a review of the stop and its neighbours found."""

from collections.abc import Iterator
from concurrent import futures
import socket
import time
from typing import Final

import msgspec
import pytest

from tests import site as sites

# Time in which what a test waits for comes about, seconds.
_ENDS_S: Final = 9.0
# Grace time of the stops, how long a stream lasts, and when the request after it
# is sent, seconds. What is sent later than three seconds after SIGTERM must not be
# cut.
_GRACE_S: Final = 8.0
_EVENTS: Final = 60
_PACE_S: Final = 0.09
_LATE_S: Final = 3.1


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
