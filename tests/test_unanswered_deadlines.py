"""Bytes without end outlast no deadline, however fast they come."""

from collections.abc import Iterator
import contextlib
import socket
import threading
import time
from typing import Final

import pytest

from foxtaildale_adapters import httpd
from tests import site as sites

# Deadline of the callers, and time after it in which all have to be answered,
# seconds.
_DEADLINE_S: Final = 1.0
_LATE_S: Final = 0.5
_CALLERS: Final = 4
# Time beyond its limit in which a connection has to be closed, seconds.
_CLOSE_S: Final = 1.0


@pytest.fixture
def site() -> Iterator[sites.Site]:
    made = sites.Site()
    try:
        sites.make_calm(made)
        yield made
    finally:
        made.close()


@pytest.mark.parametrize('events', [0, 1])
@pytest.mark.parametrize('path', ['/chat/x', '/single/x'])
def test_a_stream_that_ends_no_event_ends_with_its_deadline(
    site: sites.Site, path: str, events: int
) -> None:
    """Guards against a deadline that is looked at behind complete events."""
    for worker in site.workers.values():
        worker.endless_after = events
    found: list[tuple[int, bytes, float]] = []

    def call(number: int) -> None:
        began_at = time.monotonic()
        status, _, body = sites.send(
            site,
            'POST',
            path,
            attempt=f'a{number}',
            headers={'Foxtaildale-Deadline-Ms': str(int(_DEADLINE_S * 1000))},
        )
        found.append((status, body, time.monotonic() - began_at))

    threads = [
        threading.Thread(target=call, args=(number,))
        for number in range(_CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert max(took_s for _, _, took_s in found) < _DEADLINE_S + _LATE_S
    # What has begun is broken off.
    answers = {(status, body == b'(cut)') for status, body, _ in found}
    assert answers == ({(200, True)} if events else {(504, False)})


def test_input_behind_a_refusal_is_discarded_for_a_limited_time(
    site: sites.Site,
) -> None:
    """Guards against a caller that holds a thread by sending on."""
    host, _, port = site.routers[0].addresses['caller'].rpartition(':')
    began_at = time.monotonic()
    limit_s = httpd.DISCARD_INPUT_S + _CLOSE_S
    with socket.create_connection((host, int(port)), 2.0) as sock:
        sock.sendall(b'no request\r\n\r\n')
        with contextlib.suppress(OSError):
            while time.monotonic() - began_at < 2 * limit_s:
                sock.sendall(bytes(65536))
    assert time.monotonic() - began_at < limit_s
