"""Which keeper is the coordinator of a service's pool.

The choice is made by rendezvous hashing: all processes with the same members
choose the same coordinator without a message, and when a member is removed only
its own pools move. Processes with different members may disagree for some
seconds; each coordinator then counts alone, which costs time and never
correctness (see `pool`).
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

import xxhash

# Separates the service name from the keeper's name in the hashed key.
_SEPARATOR: Final = '\0'
# Minimum processor time of a VM that may be a coordinator, as a part of the
# maximum of all VMs. A weaker one would be overloaded as the coordinator of
# many services.
MIN_CORES_FRACTION: Final = 0.8


def score(service: str, keeper: str) -> int:
    """Returns the hash of a service and a keeper; the highest wins."""
    key = f'{service}{_SEPARATOR}{keeper}'
    return xxhash.xxh64_intdigest(key.encode())


def choose_coordinator(service: str, keepers: Iterable[str]) -> str:
    """Returns the coordinator's name; empty if there are no keepers."""
    return max(
        keepers, key=lambda keeper: (score(service, keeper), keeper), default=''
    )


def eligible_vms(cores: Mapping[str, float]) -> list[str]:
    """Returns the VMs that may be coordinators.

    Args:
        cores: Processor time that each VM may use, by name; 0 for a VM that
            must not be chosen.
    """
    max_cores = max(cores.values(), default=0.0)
    return [
        name
        for name, own_cores in cores.items()
        if own_cores > 0 and own_cores >= MIN_CORES_FRACTION * max_cores
    ]


class EligibleVms:
    """Cache of the VMs that may be coordinators.

    Each placement request needs them and the coordinator among them, several
    times a request. Without the cache, computing them would cost more than the
    placement request itself.
    """

    __slots__ = ('_cores', '_eligible', '_excluded', '_vms')

    def __init__(self, cores: Callable[[Any], float]) -> None:
        # Returns the processor time of a VM.
        self._cores = cores
        self._vms: Mapping[str, Any] | None = None
        self._excluded: frozenset[str] = frozenset()
        self._eligible: tuple[str, ...] = ()

    def eligible(
        self, vms: Mapping[str, Any], excluded: frozenset[str]
    ) -> tuple[str, ...]:
        """Returns the VMs that may be coordinators.

        Args:
            vms: The VMs by name; never changed in place.
            excluded: Names of excluded VMs.
        """
        if vms is not self._vms or excluded != self._excluded:
            self._vms = vms
            self._excluded = excluded
            cores = {
                name: self._cores(vm)
                for name, vm in vms.items()
                if name not in excluded
            }
            self._eligible = tuple(eligible_vms(cores))
        return self._eligible


class CoordinatorCache:
    """Cache of the coordinators chosen among the same keepers.

    At several hundred keepers and thousands of workers, computing every
    coordinator takes a second of processor time. Without the cache that happens
    several times a second.
    """

    __slots__ = ('_coordinators', '_keepers')

    _keepers: tuple[str, ...]
    # By name of the service or worker.
    _coordinators: dict[str, str]

    def __init__(self) -> None:
        self._keepers = ()
        self._coordinators = {}

    def coordinator_of(self, name: str, keepers: tuple[str, ...]) -> str:
        """Returns the result of the function `choose_coordinator`."""
        if keepers is not self._keepers and keepers != self._keepers:
            self._coordinators.clear()
        self._keepers = keepers
        coordinator = self._coordinators.get(name)
        if coordinator is None:
            coordinator = self._coordinators[name] = choose_coordinator(
                name, keepers
            )
        return coordinator
