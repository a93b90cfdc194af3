"""Which entry VM reads the store for others."""

from collections.abc import Callable
import math
import threading
from typing import Final

from foxtaildale import forwarding
from foxtaildale import homes
from foxtaildale import ports

# How long a reader that failed is passed over, seconds.
PASSED_S: Final = 3.0
# Entry VMs up to which one reads for all; more than those would be a quarter of
# a core for it, and much that goes between data centres.
ONE_READER: Final = 120


class Readers:
    """Which entry VM reads the store for others.

    Calls to the store are shared by all entry VMs and priced; were each to
    read for itself, they would grow with their number. One, by rendezvous hash,
    reads, and the others ask it; where there are many, one a data centre. One
    that does not answer or has nothing fresh is passed over for a while, and one
    that the store fails as soon as it says so: else all would wait until what they
    know is too old, and then read the store together. Where the next one says the
    same, the store fails everybody, and another reader is no help. Safe for
    concurrent use.
    """

    __slots__ = (
        '_all',
        '_clock',
        '_data_centre',
        '_entry_vm',
        '_homes',
        '_lock',
        '_lost_until',
        '_near',
        '_passed',
        'on_passed',
    )

    def __init__(
        self, entry_vm: str, data_centre: str, clock: ports.Clock
    ) -> None:
        self._entry_vm = entry_vm
        self._data_centre = data_centre
        self._clock = clock
        self._lock = threading.Lock()
        self._all = homes.Strong(lambda vm: vm.cores)
        # Of this data centre.
        self._near = homes.Strong(
            lambda vm: vm.cores if vm.data_centre == data_centre else 0.0
        )
        self._homes = homes.Homes()
        # Until when each one that failed is passed over, seconds.
        self._passed: dict[str, float] = {}
        # Until when no other one is for a store that fails it, seconds.
        self._lost_until = -math.inf
        # Called when another one reads from now on, maybe this entry VM.
        self.on_passed: Callable[[], None] = lambda: None

    def choose(self, known: dict[str, forwarding.EntryVm]) -> str:
        """Returns the name of the reader; this entry VM's own if none fits."""
        now = self._clock()
        alone = len(known) <= ONE_READER
        what = 'read' if alone else f'read {self._data_centre}'
        with self._lock:
            strong = self._all if alone else self._near
            fit = tuple(
                name
                for name in strong.among(known, frozenset())
                if self._passed.get(name, 0.0) <= now
            )
            reader = self._homes.home(what, fit)
        return reader or self._entry_vm

    def failed(self, name: str) -> None:
        """Takes a reader that did not answer or had nothing fresh."""
        with self._lock:
            self._passed[name] = self._clock() + PASSED_S
        self.on_passed()

    def store_lost(self, name: str) -> bool:
        """Takes a reader that the store fails; returns whether it is left."""
        with self._lock:
            now = self._clock()
            if now < self._lost_until:
                return False
            self._lost_until = now + PASSED_S
            self._passed[name] = now + PASSED_S
        self.on_passed()
        return True
