"""What proves that a response without a length or chunks is complete."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Final

import pytest

from tests import site as sites
from tests.standins import restarting

_PARTS: Final = (b'id: 1\ndata: a\n\n', b'id: 2\ndata: b\n\n')
_WHOLE: Final = b''.join(_PARTS)
_PLAIN_TARGETS: Final = ('/once/a', '/safe/a')


@pytest.fixture
def site() -> Iterator[sites.Site]:
    made = sites.Site()
    try:
        made.store.put('keyed.op', 'config', sites.config(1))
        yield made
    finally:
        made.close()


@pytest.fixture
def start(
    site: sites.Site,
) -> Iterator[Callable[[str], restarting.RestartingServer]]:
    """Starts a router and the only server of a path's service."""
    made = []

    def start_server(target: str) -> restarting.RestartingServer:
        is_stream = target not in _PLAIN_TARGETS
        server = restarting.RestartingServer(_PARTS, is_stream=is_stream)
        made.append(server)
        service, stage = ('model', 'decode') if is_stream else ('plain', '')
        worker = site.worker('w1', service, stage)
        entry = worker.entry() | {'address': server.address}
        site.store.put('keyed.servers', 'w1', entry)
        site.router()
        sites.until(lambda: sites.ready(site))
        sites.until(lambda: 'vm-1' in site.routers[0].entry_vms())
        return server

    yield start_server
    for server in made:
        server.close()


def _looks_whole(status: int, body: bytes) -> bool:
    return status == 200 and body != b'(cut)'


@pytest.mark.parametrize('earlier', [0, 2])
@pytest.mark.parametrize('target', ['/single/a', '/chat/a', *_PLAIN_TARGETS])
def test_part_of_a_response_is_not_whole_if_its_server_restarts(
    site: sites.Site,
    start: Callable[[str], restarting.RestartingServer],
    target: str,
    earlier: int,
) -> None:
    """Guards against a proof by the process that replaced the server."""
    server = start(target)
    for number in range(earlier):
        sites.send(site, 'POST', target, attempt=f'e{number}')
    server.restart_after = 1
    status, _, body = sites.send(site, 'POST', target, attempt='a1')
    assert server.restarts == 1
    assert not _looks_whole(status, body) or body == _WHOLE
