"""Chooses the entry VM that reads the store for the others."""

from collections.abc import Callable
import math
import threading
from typing import Final

from foxtaildale import coordinator_choice
from foxtaildale import forwarding
from foxtaildale import ports

# How long a reader that failed is excluded, seconds.
EXCLUSION_S: Final = 3.0
# Maximum number of entry VMs that share one reader. Replies to more VMs would
# take a quarter of a core of the reader and cause much traffic between data
# centres.
MAX_VMS_PER_SINGLE_READER: Final = 120


class ReaderChoice:
    """Chooses the entry VM that reads the store for the others.

    Calls to the store are charged, and all entry VMs share its capacity. If
    each VM read the store, calls would grow with the number of VMs. One VM,
    chosen by rendezvous hash, reads, and the others send it requests; if there
    are many VMs, there is one reader per data centre. A reader that does not
    reply or has no fresh data is excluded for a while. A reader that reports a
    failing store is excluded at once: otherwise all VMs would wait until their
    data is too old, and then read the store at the same time. If the next
    reader reports the same, the store fails for all VMs and another reader
    would not help.

    Safe for concurrent use.
    """

    __slots__ = (
        '_all',
        '_choice_cache',
        '_clock',
        '_data_centre',
        '_entry_vm',
        '_excluded_until',
        '_lock',
        '_next_exclusion_at',
        '_same_data_centre',
        'on_reader_excluded',
    )

    def __init__(
        self, entry_vm: str, data_centre: str, clock: ports.Clock
    ) -> None:
        self._entry_vm = entry_vm
        self._data_centre = data_centre
        self._clock = clock
        self._lock = threading.Lock()
        self._all = coordinator_choice.EligibleVms(lambda vm: vm.cores)
        # Candidates of this data centre only.
        self._same_data_centre = coordinator_choice.EligibleVms(
            lambda vm: vm.cores if vm.data_centre == data_centre else 0.0
        )
        self._choice_cache = coordinator_choice.CoordinatorCache()
        # Until when each failed reader is excluded, seconds.
        self._excluded_until: dict[str, float] = {}
        # Until when no further reader is excluded for a failing store, seconds.
        self._next_exclusion_at = -math.inf
        # Called when the reader changes; the new one may be this entry VM.
        self.on_reader_excluded: Callable[[], None] = lambda: None

    def choose_reader(self, vms: dict[str, forwarding.EntryVm]) -> str:
        """Returns the name of the reader.

        This entry VM's own name is returned if no other VM is eligible.
        """
        now = self._clock()
        is_single = len(vms) <= MAX_VMS_PER_SINGLE_READER
        subject = 'read' if is_single else f'read {self._data_centre}'
        with self._lock:
            eligible = self._all if is_single else self._same_data_centre
            candidates = tuple(
                name
                for name in eligible.eligible(vms, frozenset())
                if self._excluded_until.get(name, 0.0) <= now
            )
            reader = self._choice_cache.coordinator_of(subject, candidates)
        return reader or self._entry_vm

    def record_failure(self, name: str) -> None:
        """Excludes a reader that did not reply or had no fresh data."""
        with self._lock:
            self._excluded_until[name] = self._clock() + EXCLUSION_S
        self.on_reader_excluded()

    def record_store_lost(self, name: str) -> bool:
        """Excludes a reader whose store failed; returns whether it did so."""
        with self._lock:
            now = self._clock()
            if now < self._next_exclusion_at:
                return False
            self._next_exclusion_at = now + EXCLUSION_S
            self._excluded_until[name] = now + EXCLUSION_S
        self.on_reader_excluded()
        return True
