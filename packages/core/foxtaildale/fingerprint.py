"""What all sends of one request have in common, under whatever id they come.

A caller that tries again does so under a new id, often at another entry VM. The
fingerprint is the same for all of these: it is a digest of the client account,
the target and the body, from which none of them can be had back.
"""

import hashlib

from foxtaildale import forwarding

_BYTES = 8


def of(call: forwarding.Call) -> int:
    """Returns the fingerprint of a request, 64 bits."""
    found = hashlib.blake2b(call.body, digest_size=_BYTES)
    for part in (call.account, call.host, call.method, call.target):
        found.update(b'\0')
        found.update(part.encode())
    return int.from_bytes(found.digest())


def text(fingerprint: int) -> str:
    """Returns it as it stands in log lines and records."""
    return f'{fingerprint:016x}'
