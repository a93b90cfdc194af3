"""Chooses the entry VMs that relay connections to backend servers.

This module does no I/O; the time is an argument.
"""

from collections.abc import Mapping
import math
import random
from typing import Final

from foxtaildale import forwarding

# Time for which a VM that relayed no connection is left out, or tried last if it
# was only silent, and for which one that relayed one is preferred, seconds.
FAILURE_TTL_S: Final = 1.0
SUCCESS_TTL_S: Final = 5.0
# Number of VMs of each group that are tried: those that relayed a connection
# lately, others of the same data centre, and others elsewhere. A whole data
# centre may have lost its paths.
MAX_PER_GROUP: Final = 2


class RelayChoice:
    """The other entry VMs, and how they served as relays."""

    __slots__ = (
        '_data_centre',
        '_entry_vm',
        '_failed_at',
        '_random',
        '_succeeded_at',
    )

    def __init__(
        self, entry_vm: str, data_centre: str, rng: random.Random
    ) -> None:
        self._entry_vm = entry_vm
        self._data_centre = data_centre
        self._random = rng
        # When each VM last relayed a connection, or did not, seconds.
        self._succeeded_at: dict[str, float] = {}
        self._failed_at: dict[str, float] = {}

    def candidates(
        self, vms: Mapping[str, forwarding.EntryVm], now: float
    ) -> list[str]:
        """Returns the names of the VMs to try, best first."""
        for outcomes in (self._succeeded_at, self._failed_at):
            for name in [name for name in outcomes if name not in vms]:
                del outcomes[name]
        names = [
            name
            for name, vm in vms.items()
            if name != self._entry_vm
            and vm.relay_address
            and now - self._failed_at.get(name, -math.inf) > FAILURE_TTL_S
        ]
        self._random.shuffle(names)
        proven: list[str] = []
        near: list[str] = []
        far: list[str] = []
        for name in names:
            succeeded_at = self._succeeded_at.get(name)
            if succeeded_at is not None and now - succeeded_at <= SUCCESS_TTL_S:
                proven.append(name)
            elif vms[name].data_centre == self._data_centre:
                near.append(name)
            else:
                far.append(name)
        proven.sort(key=lambda name: self._is_elsewhere(vms[name]))
        return [
            *proven[:MAX_PER_GROUP],
            *near[:MAX_PER_GROUP],
            *far[:MAX_PER_GROUP],
            *([] if proven else self._last_resort(now)),
        ]

    def record(self, name: str, now: float, *, relayed: bool) -> None:
        """Records whether a VM relayed a connection."""
        if relayed:
            self._succeeded_at[name] = now
            self._failed_at.pop(name, None)
        else:
            self._failed_at[name] = now
            self._succeeded_at.pop(name, None)

    def record_silence(self, name: str, now: float) -> None:
        """Records that a VM did not reply in time.

        One that relayed connections lately may only be slow.
        """
        self._failed_at[name] = now

    def _last_resort(self, now: float) -> list[str]:
        """Returns a silent VM that relayed connections lately, if any."""
        names = [
            name
            for name, at in self._succeeded_at.items()
            if now - at <= SUCCESS_TTL_S
        ]
        return sorted(names, key=lambda name: -self._succeeded_at[name])[:1]

    def _is_elsewhere(self, vm: forwarding.EntryVm) -> bool:
        return vm.data_centre != self._data_centre
