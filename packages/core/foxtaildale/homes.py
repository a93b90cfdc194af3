"""Which keeper is the home of a service's pool.

Rendezvous hashing: every process that knows the same members picks the same
home without a message, and when a member goes only its own pools move.
Processes with different members may disagree for some seconds; each home then
counts alone, which costs time and never correctness (see `pool`).
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

import xxhash

# Keeps the bytes of a service name apart from those of a keeper's name.
_SEPARATOR: Final = '\0'
# A VM is fit to work for others with this part of the processor of the
# strongest; a weak one would be overrun as the home of many.
FIT_PART: Final = 0.8


def score(service: str, keeper: str) -> int:
    """Returns how strongly a keeper claims a service; the highest wins."""
    key = f'{service}{_SEPARATOR}{keeper}'
    return xxhash.xxh64_intdigest(key.encode())


def home(service: str, keepers: Iterable[str]) -> str:
    """Returns the name of the home, or '' where there are no keepers."""
    return max(
        keepers, key=lambda keeper: (score(service, keeper), keeper), default=''
    )


def strong(cores: Mapping[str, float]) -> list[str]:
    """Returns the VMs that are fit to work for others.

    Args:
        cores: Processor time that each VM may use, by name; 0 for one that must
            not be asked.
    """
    most = max(cores.values(), default=0.0)
    return [
        name
        for name, own in cores.items()
        if own > 0 and own >= FIT_PART * most
    ]


class Strong:
    """The VMs fit to work for others, as long as what is known stays.

    Each ask for a place needs them and the home among them, several times a
    request; worked out anew each time they would cost more than the ask.
    """

    __slots__ = ('_cores', '_found', '_known', '_passed')

    def __init__(self, cores: Callable[[Any], float]) -> None:
        # Returns the processor time of one VM that is known.
        self._cores = cores
        self._known: Mapping[str, Any] | None = None
        self._passed: frozenset[str] = frozenset()
        self._found: tuple[str, ...] = ()

    def among(
        self, known: Mapping[str, Any], passed: frozenset[str]
    ) -> tuple[str, ...]:
        """Returns those that are fit, without those passed over.

        Args:
            known: The VMs by name; never changed in place.
            passed: Names that don't count.
        """
        if known is not self._known or passed != self._passed:
            self._known = known
            self._passed = passed
            cores = {
                name: self._cores(vm)
                for name, vm in known.items()
                if name not in passed
            }
            self._found = tuple(strong(cores))
        return self._found


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
