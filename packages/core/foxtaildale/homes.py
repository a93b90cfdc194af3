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


class Homes:
    """Homes found so far among the same keepers.

    At several hundred keepers and thousands of workers, looking every home up
    anew takes a second of processor time, several times a second.
    """

    __slots__ = ('_found', '_keepers')

    _keepers: tuple[str, ...]
    # Home by service or worker.
    _found: dict[str, str]

    def __init__(self) -> None:
        self._keepers = ()
        self._found = {}

    def home(self, name: str, keepers: tuple[str, ...]) -> str:
        """Returns what the function `home` returns."""
        if keepers is not self._keepers and keepers != self._keepers:
            self._found.clear()
        self._keepers = keepers
        found = self._found.get(name)
        if found is None:
            found = self._found[name] = home(name, keepers)
        return found
