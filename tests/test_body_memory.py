"""The memory of bodies under way, of callers and of backend servers."""

import pathlib
import threading
from typing import Final

from foxtaildale_adapters import allocator

_MB: Final = 1_000_000
_BODY_BYTES: Final = 4 * _MB
_BLOCK_THREADS: Final = 16
_TIMEOUT_S: Final = 6.0


def _resident_bytes() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text(encoding='ascii')
    return int(pages.split()[1]) * 4096


def test_freed_bodies_are_returned_to_the_kernel() -> None:
    """Guards against each thread's heap that keeps the size of a large body."""
    assert allocator.return_large_blocks()
    ready = threading.Barrier(_BLOCK_THREADS + 1)

    def use() -> None:
        for size in range(_BODY_BYTES - 5000, _BODY_BYTES, 1000):
            ready.wait(_TIMEOUT_S)
            block = b'x' * size
            del block
        ready.wait(_TIMEOUT_S)
        ready.wait(_TIMEOUT_S)

    before = _resident_bytes()
    threads = [threading.Thread(target=use) for _ in range(_BLOCK_THREADS)]
    for thread in threads:
        thread.start()
    for _ in range(6):
        ready.wait(_TIMEOUT_S)
    kept = _resident_bytes() - before
    ready.wait(_TIMEOUT_S)
    for thread in threads:
        thread.join(_TIMEOUT_S)
    assert kept < 4 * _BODY_BYTES
