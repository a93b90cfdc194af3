"""Memory of the decode workers in one scheduling pass, and who fits where.

A request fits if the peak memory of all requests at the worker
(`memory_growth`) stays within a part of the worker's memory.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import Final

from foxtaildale import fleet
from foxtaildale import memory_growth
from foxtaildale import routes

# Part of an engine's memory that is planned with. A smaller part leaves memory
# unused in a burst; with a larger one engines preempt requests, whose prompts
# are prefilled again.
PLANNED_MEMORY_FRACTION: Final = 0.95
# A worker in the data centre of the prefill worker is preferred while it has
# less room than the roomiest worker by at most this part of the planned memory.
# A transfer between data centres takes twice as long and costs twice as much.
# The part is less than the memory of one request, so that workers stay evenly
# full.
SAME_DATA_CENTRE_FRACTION: Final = 0.1


class Packing:
    """The decode workers of one service that accept further requests.

    Args:
        now: Seconds.
        service: Memory and slots of an engine.
        decoders: Decode workers that may get work.
        spare: Further decode workers, which get work only if there is no other
            of its software version.
        running: The planned requests, as pairs of a worker's id and a request.
        token_s: Returns the time of one token at a worker, seconds.
    """

    __slots__ = (
        '_data_centres',
        '_memory_limit',
        '_now',
        '_open_workers',
        '_requests',
        '_slots',
        '_spare_workers',
        '_token_s',
        '_versions',
        'event_tokens',
    )

    def __init__(
        self,
        now: float,
        service: routes.Service,
        decoders: Iterable[fleet.ServerState],
        running: Iterable[tuple[str, memory_growth.Running]],
        token_s: Callable[[str], float],
        *,
        spare: Iterable[fleet.ServerState] = (),
    ) -> None:
        self._now = now
        self.event_tokens = service.event_tokens
        # Tokens.
        self._memory_limit = PLANNED_MEMORY_FRACTION * service.kv_tokens
        self._slots = service.slots or math.inf
        # Ids in order of preference.
        self._open_workers = []
        self._data_centres: dict[str, str] = {}
        self._spare_workers: list[str] = []
        # Software versions by worker id.
        self._versions: dict[str, str] = {}
        for tally in decoders:
            self._open_workers.append(tally.backend.id)
            self._data_centres[tally.backend.id] = tally.backend.data_centre
            self._versions[tally.backend.id] = tally.backend.version
        usable_versions = set(self._versions.values())
        for tally in spare:
            if tally.backend.version not in usable_versions:
                self._spare_workers.append(tally.backend.id)
                self._data_centres[tally.backend.id] = tally.backend.data_centre
                self._versions[tally.backend.id] = tally.backend.version
        # By worker id.
        self._requests: dict[str, list[memory_growth.Running]] = {}
        for worker, request in running:
            self.add(worker, request)
        # Computed once for each scheduling pass: it takes a median over all
        # engines, and every waiter is tried at every worker.
        self._token_s = {worker: token_s(worker) for worker in self._versions}

    @property
    def is_full(self) -> bool:
        """Whether no worker accepts further requests."""
        return not self._open_workers

    def find_roomiest(
        self,
        request: memory_growth.Running,
        avoid: Collection[str],
        preferred_data_centre: str = '',
        version: str = '',
    ) -> tuple[str, bool]:
        """Returns the worker with the most room, and whether the request fits.

        The id is empty if the request may go to no worker.

        Args:
            request: The request to place.
            avoid: Workers that it must not go to.
            preferred_data_centre: Data centre of its prefill worker; empty for
                none. A decode worker there is preferred among those with room.
            version: Software version of the worker; empty for any.
        """
        best, min_peak = '', math.inf
        nearest, min_near_peak = '', math.inf
        for worker in self._workers(version):
            requests = self._requests.get(worker, [])
            if worker in avoid or len(requests) >= self._slots:
                continue
            token_s = self._token_s[worker]
            peak = memory_growth.peak_tokens(
                [*requests, request], self._now, token_s
            )
            if not requests:
                # Even the largest request is accepted by an idle engine.
                peak = min(peak, self._memory_limit)
            if peak < min_peak:
                best, min_peak = worker, peak
            if (
                self._data_centres[worker] == preferred_data_centre
                and peak < min_near_peak
            ):
                nearest, min_near_peak = worker, peak
        if min_near_peak <= min(
            self._memory_limit,
            min_peak + SAME_DATA_CENTRE_FRACTION * self._memory_limit,
        ):
            return nearest, True
        return best, min_peak <= self._memory_limit

    def add(self, worker: str, request: memory_growth.Running) -> None:
        """Adds a request to a worker."""
        self._requests.setdefault(worker, []).append(request)

    def close(self, worker: str) -> None:
        """Closes a worker to all other requests in this scheduling pass."""
        workers = (
            self._open_workers
            if worker in self._open_workers
            else self._spare_workers
        )
        workers.remove(worker)

    def _workers(self, version: str) -> list[str]:
        if not version:
            return self._open_workers
        return [
            worker
            for worker in (*self._open_workers, *self._spare_workers)
            if self._versions[worker] == version
        ]
