"""No engine memory stays held for callers who are gone.

Real processes: three entry VMs, one prefill and one decode worker. A caller
leaves, or its entry or VM dies, at each stage of a request; afterwards no
engine holds anything.
"""

from collections.abc import Iterator
import json
import pathlib
import socket
from typing import Any
from typing import Final

import pytest

from foxtaildale import values
from tests import deployment

_SERVICE: Final = 'enteis-llm'
_WORKERS: Final = (
    deployment.Worker(
        name='p1', service=_SERVICE, role='prefill', data_centre='halle-nord'
    ),
    deployment.Worker(
        name='d1',
        service=_SERVICE,
        role='decode',
        data_centre='halle-nord',
        slots=2,
        args=('--token-ms', '5'),
    ),
)
_VMS: Final = tuple(
    deployment.Vm(f'entry-{number}', 'halle-nord') for number in (1, 2, 3)
)
_PRESET: Final = values.Preset(
    name='ordinary',
    services={
        _SERVICE: values.Service(
            kind='model', patience_ms=60_000, expected_tokens=64
        )
    },
)
# An answer that lasts longer than any test.
_LONG: Final = 20_000


@pytest.fixture(name='dep')
def _dep(tmp_path: pathlib.Path) -> Iterator[deployment.Deployment]:
    with deployment.Deployment(tmp_path) as dep:
        dep.start(_WORKERS, _VMS)
        dep.publish(_PRESET)
        dep.wait_in_force(_PRESET.name)
        yield dep


class Caller:
    """Sends one request and can hang up at any time."""

    def __init__(
        self,
        dep: deployment.Deployment,
        entry_vm: str,
        max_tokens: int = _LONG,
        prompt: str = 'go or wait?',
    ) -> None:
        body = json.dumps(
            {
                'model': _SERVICE,
                'stream': True,
                'max_tokens': max_tokens,
                'messages': [{'role': 'user', 'content': prompt}],
            }
        ).encode()
        host, _, port = dep.caller(entry_vm).rpartition(':')
        self._sock = socket.create_connection((host, int(port)))
        self._sock.sendall(
            b'POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        )

    def read(self, wanted: bytes) -> bytes:
        """Reads until some bytes have come, or the end."""
        data = b''
        while wanted not in data:
            block = self._sock.recv(65536)
            if not block:
                break
            data += block
        return data

    def read_all(self) -> bytes:
        """Reads to the end of the answer."""
        return self.read(b'\r\n0\r\n\r\n')

    def leave(self) -> None:
        """Hangs up."""
        self._sock.close()


def _held(dep: deployment.Deployment) -> list[dict[str, Any]]:
    held: list[dict[str, Any]] = []
    for worker in dep.workers.values():
        answer = dep.get(worker.address, '/holdings')
        held += json.loads(answer.data)['holdings']
    return held


def _wait_held(dep: deployment.Deployment, *kinds: str) -> None:
    dep.until(
        lambda: any(holding['kind'] in kinds for holding in _held(dep)),
        f'an engine holds {kinds}',
    )


def _wait_free(dep: deployment.Deployment) -> None:
    dep.until(lambda: not _held(dep), 'every engine is free')


def test_a_caller_that_leaves_in_decode_frees_the_engine(
    dep: deployment.Deployment,
) -> None:
    """A dispatcher closes the window while the answer streams.

    Were the stream kept, the decode worker would fill with answers that
    nobody reads, and the next dispatcher would be refused.
    """
    caller = Caller(dep, 'entry-1')
    caller.read(b'data: ')
    caller.leave()
    _wait_free(dep)


def test_a_caller_that_leaves_in_prefill_frees_the_engine(
    dep: deployment.Deployment,
) -> None:
    """A dispatcher gives up while a long log is still being read in.

    The prefill would go on for a reader who is gone.
    """
    dep.faults(dep.workers['p1'], slow=50.0)
    caller = Caller(dep, 'entry-1', prompt='fluid ' * 8000)
    _wait_held(dep, 'prefill', 'queued')
    caller.leave()
    _wait_free(dep)


def test_a_caller_that_leaves_in_transfer_frees_both_engines(
    dep: deployment.Deployment,
) -> None:
    """The link stalls and the caller gives up meanwhile.

    The slot that waits for the KV cache would stay taken.
    """
    dep.faults(dep.workers['p1'], stall_transfer=True)
    caller = Caller(dep, 'entry-1')
    _wait_held(dep, 'kv', 'slot')
    caller.leave()
    _wait_free(dep)


def test_a_caller_that_leaves_before_the_first_byte_frees_the_engine(
    dep: deployment.Deployment,
) -> None:
    """The engine makes tokens and sends none, and the caller gives up.

    The entry waits for the engine and must notice its caller all the same.
    """
    dep.faults(dep.workers['d1'], silent=True)
    caller = Caller(dep, 'entry-1')
    _wait_held(dep, 'stream')
    caller.leave()
    _wait_free(dep)


def test_a_caller_that_leaves_while_queued_is_never_run(
    dep: deployment.Deployment,
) -> None:
    """Both slots are taken; a third caller waits, and leaves.

    Its prefill would be wasted, and its place would hold up others.
    """
    running = [Caller(dep, 'entry-1') for _ in range(2)]
    for caller in running:
        caller.read(b'data: ')
    waiting = Caller(dep, 'entry-2', prompt='the one that waits')

    def queued() -> int:
        return sum(
            dep.state(keeper)
            .get('pools', {})  # type: ignore[attr-defined]
            .get(_SERVICE, {})
            .get('waiting', 0)
            for keeper in dep.keepers.values()
        )

    dep.until(lambda: queued() == 1, 'one request waits')
    waiting.leave()
    dep.until(lambda: queued() == 0, 'no request waits')
    record = json.loads(dep.get(dep.workers['p1'].address, '/record').data)
    requests = {entry['request'] for entry in record}
    assert len(requests) == 2
    for caller in running:
        caller.leave()
    _wait_free(dep)


def test_an_entry_that_dies_leaves_nothing_held(
    dep: deployment.Deployment,
) -> None:
    """An entry is killed in mid-stream; nobody is left to cancel.

    Each such death would cost the decode worker a slot for good.
    """
    caller = Caller(dep, 'entry-1')
    caller.read(b'data: ')
    dep.entries['entry-1'].kill()
    _wait_free(dep)


def test_a_whole_vm_that_dies_leaves_nothing_held(
    dep: deployment.Deployment,
) -> None:
    """A VM is lost with its keeper and its entry in mid-stream."""
    caller = Caller(dep, 'entry-1')
    caller.read(b'data: ')
    dep.entries['entry-1'].kill()
    dep.keepers['entry-1'].kill()
    _wait_free(dep)


def test_a_frozen_entry_loses_its_streams_and_says_so(
    dep: deployment.Deployment,
) -> None:
    """An entry stands still for longer than every bound, and goes on.

    Its callers can't read meanwhile. What it held is freed, and when it wakes
    it must not pass a part of the answer for the whole.
    """
    caller = Caller(dep, 'entry-1')
    caller.read(b'data: ')
    dep.entries['entry-1'].freeze()
    _wait_free(dep)
    dep.entries['entry-1'].thaw()
    rest = caller.read_all()
    assert b'[DONE]' not in rest
    assert b'"code":"broken"' in rest


def test_keepers_that_hear_nothing_of_a_vm_cancel_none_of_its_work(
    dep: deployment.Deployment,
) -> None:
    """A keeper stands still while the entry of its VM serves on.

    The others hear nothing of that VM for longer than the grace time. Were
    silence taken for death, they would cut its answers short.
    """
    caller = Caller(dep, 'entry-1', max_tokens=900)
    caller.read(b'data: ')
    dep.keepers['entry-1'].freeze()
    assert b'[DONE]' in caller.read_all()
    dep.keepers['entry-1'].thaw()
    _wait_free(dep)
