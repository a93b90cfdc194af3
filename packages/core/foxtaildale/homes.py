"""Which keeper is the home of a service's pool.

Rendezvous hashing: every process that knows the same members picks the same
home without a message, and when a member goes only its own pools move.
Processes with different members may disagree for some seconds; each home then
counts alone, which costs time and never correctness (see `pool`).
"""

from collections.abc import Iterable
from typing import Final

import xxhash

# Keeps the bytes of a service name apart from those of a keeper's name.
_SEPARATOR: Final = '\0'


def score(service: str, keeper: str) -> int:
    """Returns how strongly a keeper claims a service; the highest wins."""
    key = f'{service}{_SEPARATOR}{keeper}'
    return xxhash.xxh64_intdigest(key.encode())


def home(service: str, keepers: Iterable[str]) -> str:
    """Returns the name of the home, or '' where there are no keepers."""
    return max(
        keepers, key=lambda keeper: (score(service, keeper), keeper), default=''
    )
