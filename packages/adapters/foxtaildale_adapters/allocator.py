"""Settings of the C library's memory allocator."""

import ctypes
from typing import Final

# Size from which a block is mapped by itself, and so returned to the kernel as
# soon as it is freed, bytes. It is the library's initial value.
_MAPPED_BLOCK_BYTES: Final = 128 * 1024
# Parameter M_MMAP_THRESHOLD of mallopt().
_MMAP_THRESHOLD: Final = -3


def return_large_blocks() -> bool:
    """Makes the allocator return each large block when it is freed.

    By default it raises the size to that of the largest block that was freed.
    It then takes blocks from the heaps of the threads and keeps them there: a
    large body that was freed goes on to use memory, once for each thread.

    Returns:
        False if the C library has no such setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(_MMAP_THRESHOLD, _MAPPED_BLOCK_BYTES))
