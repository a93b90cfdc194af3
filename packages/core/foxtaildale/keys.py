"""Idempotency keys and the time that they carry.

The log keeps records for a limited time, so a key that was claimed long ago
looks like a new one. A key therefore begins with an offset of the stream of
claims, from before the key was made. Every claim of the key lies at or after
that offset; who has read the stream from there on knows them all, and who has
not refuses the key as too old. No clock is asked.

A caller gets the beginning from any entry VM, may use it for as many keys as
it likes, and adds an id of its own:

    c1f04.tower-117-2024-06-02
"""

import hashlib
import re
from typing import Final

_KEY: Final = re.compile(r'c([0-9a-f]{1,12})\.[A-Za-z0-9_.:-]{1,100}')
_IDENTITY_BYTES: Final = 16


def prefix(offset: int) -> str:
    """Returns the beginning of the keys made at an offset."""
    return f'c{offset:x}.'


def stamp(key: str) -> int | None:
    """Returns the offset in a key; None if it is not a key."""
    match = _KEY.fullmatch(key)
    return int(match[1], 16) if match else None


def identity(service: str, key: str) -> bytes:
    """Returns the digest that stands for a service's key in the log."""
    # The length keeps a service's end from passing for the key's beginning.
    data = f'{len(service)}:{service}{key}'.encode()
    return hashlib.blake2b(data, digest_size=_IDENTITY_BYTES).digest()
