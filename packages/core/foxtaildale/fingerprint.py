"""Fingerprints of requests and of the parts of their prompts.

A caller retries under a new id, often at another entry VM. The fingerprint is
the same for all attempts. It is a digest of the client account, the target, the
prompt and the body, from which none of these can be recovered. The parts of a
prompt have fingerprints of their own, since different requests share them.
"""

from collections.abc import Iterable
import hashlib
import itertools
from typing import Final

from foxtaildale import forwarding

_BYTES: Final = 8
# Maximum number of fingerprints in one log line.
MAX_LOGGED_FINGERPRINTS: Final = 8


def compute(call: forwarding.CallerRequest) -> int:
    """Returns the fingerprint of a request, 64 bits."""
    hasher = hashlib.blake2b(call.body, digest_size=_BYTES)
    for part in (call.account, call.host, call.method, call.target):
        hasher.update(b'\0')
        hasher.update(part.encode())
    if call.prompt:
        hasher.update(b'\0')
        hasher.update(call.prompt.encode())
    return int.from_bytes(hasher.digest())


def compute_parts(service: str, ids: Iterable[str]) -> tuple[int, ...]:
    """Returns the fingerprints of parts of a prompt, 64 bits each.

    Args:
        service: The service that runs the prompt; another one may run other
            software.
        ids: Ids of the parts.
    """
    prefix = hashlib.blake2b(service.encode() + b'\0', digest_size=_BYTES)
    fingerprints = []
    for one in ids:
        hasher = prefix.copy()
        hasher.update(one.encode())
        fingerprints.append(int.from_bytes(hasher.digest()))
    return tuple(fingerprints)


def compute_set(parts: Iterable[int]) -> int:
    """Returns the fingerprint of a set of parts, 64 bits.

    Args:
        parts: Fingerprints of the parts, in ascending order.
    """
    hasher = hashlib.blake2b(digest_size=_BYTES)
    for part in parts:
        hasher.update(part.to_bytes(_BYTES))
    return int.from_bytes(hasher.digest())


def to_text(fingerprint: int) -> str:
    """Returns a fingerprint as text for log lines and records."""
    return f'{fingerprint:016x}'


def to_texts(fingerprints: Iterable[int]) -> list[str]:
    """Returns the first fingerprints as texts for a log line."""
    return [
        to_text(one)
        for one in itertools.islice(fingerprints, MAX_LOGGED_FINGERPRINTS)
    ]
