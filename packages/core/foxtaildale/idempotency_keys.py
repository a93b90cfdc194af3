"""Idempotency keys and the log offset that they contain.

The log retains records for a limited time, so a key that was claimed long ago
looks like a new one. A key therefore begins with an offset in the stream of
claims, taken before the key was made. Every claim of the key lies at or after
that offset. A process that has read the stream from there on knows all of these
claims; a process that has not refuses the key as too old. No clock is involved.

A caller gets the prefix from any entry VM, may use it for any number of keys,
and appends an id of its own:

    c1f04.tower-117-2024-06-02
"""

import hashlib
import re
from typing import Final

_KEY: Final = re.compile(r'c([0-9a-f]{1,12})\.[A-Za-z0-9_.:-]{1,100}')
_IDENTITY_BYTES: Final = 16


def key_prefix(offset: int) -> str:
    """Returns the prefix of the keys made at an offset."""
    return f'c{offset:x}.'


def key_offset(key: str) -> int | None:
    """Returns the offset in a key; None if the text is not a valid key."""
    match = _KEY.fullmatch(key)
    return int(match[1], 16) if match else None


def key_digest(service: str, key: str) -> bytes:
    """Returns the digest that identifies a service's key in the log."""
    # The length separates the service from the key: otherwise the end of a
    # service could be read as the beginning of a key.
    data = f'{len(service)}:{service}{key}'.encode()
    return hashlib.blake2b(data, digest_size=_IDENTITY_BYTES).digest()
