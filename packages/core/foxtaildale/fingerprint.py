"""Fingerprints that identify a request across its attempts.

A caller retries under a new id, often at another entry VM. The fingerprint is
the same for all attempts. It is a digest of the client account, the target and
the body, from which none of these can be recovered.
"""

import hashlib

from foxtaildale import forwarding

_BYTES = 8


def compute(call: forwarding.CallerRequest) -> int:
    """Returns the fingerprint of a request, 64 bits."""
    hasher = hashlib.blake2b(call.body, digest_size=_BYTES)
    for part in (call.account, call.host, call.method, call.target):
        hasher.update(b'\0')
        hasher.update(part.encode())
    return int.from_bytes(hasher.digest())


def to_text(fingerprint: int) -> str:
    """Returns a fingerprint as text for log lines and records."""
    return f'{fingerprint:016x}'
