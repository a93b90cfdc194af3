"""Decode workers as one look at a plan finds them, and who fits where.

What counts is the memory that the requests at a worker will have at the worst
moment to come (`growth`), against a part of what the worker has.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import Final

from foxtaildale import fleet
from foxtaildale import growth
from foxtaildale import routes

# Part of an engine's memory that is planned with. Less leaves it empty in a
# burst, more has requests preempted, whose prompts are read again.
FILL: Final = 0.95
# Part of that memory by which a worker may have less room than the roomiest and
# be taken all the same, since it is in the data centre in which the prompt is
# read: its memory is moved twice as slowly, and as dearly, between data centres.
# It is less than the memory of one request, so that
# workers stay evenly full.
NEAR_PART: Final = 0.1


class Packing:
    """The decode workers of one service that are open to whoever fits.

    Args:
        now: Seconds.
        service: Memory and slots of an engine.
        decoders: Those that may get work.
        running: What is planned, as pairs of a worker's id and a request.
        token_s: Returns the time of one token at a worker, seconds.
    """

    __slots__ = (
        '_data_centres',
        '_limit',
        '_now',
        '_open',
        '_slots',
        '_there',
        '_token_s',
        'event_tokens',
    )

    def __init__(
        self,
        now: float,
        service: routes.Service,
        decoders: Iterable[fleet.Tally],
        running: Iterable[tuple[str, growth.Running]],
        token_s: Callable[[str], float],
    ) -> None:
        self._now = now
        self.event_tokens = service.event_tokens
        self._limit = FILL * service.kv_tokens
        self._slots = service.slots or math.inf
        # Ids in order of preference.
        self._open = []
        self._data_centres: dict[str, str] = {}
        for tally in decoders:
            self._open.append(tally.backend.id)
            self._data_centres[tally.backend.id] = tally.backend.data_centre
        self._there: dict[str, list[growth.Running]] = {}
        for worker, request in running:
            self.give(worker, request)
        # Worked out once a look: it takes a median over all engines, and every
        # waiter is tried at every worker.
        self._token_s = {worker: token_s(worker) for worker in self._open}

    @property
    def full(self) -> bool:
        """Whether no worker is open."""
        return not self._open

    def roomiest(
        self,
        request: growth.Running,
        avoid: Collection[str],
        near: str = '',
    ) -> tuple[str, bool]:
        """Returns the worker with the most room, and whether that suffices.

        Empty where the request may go to none of them.

        Args:
            request: What it should have room for.
            avoid: Workers that it must not go to.
            near: Data centre in which its prompt is read; empty for none. A
                worker there is preferred among those with room.
        """
        best, least = '', math.inf
        nearest, least_near = '', math.inf
        for worker in self._open:
            there = self._there.get(worker, [])
            if worker in avoid or len(there) >= self._slots:
                continue
            token_s = self._token_s[worker]
            most = growth.peak([*there, request], self._now, token_s)
            if not there:
                # An engine of its own has to do for the largest.
                most = min(most, self._limit)
            if most < least:
                best, least = worker, most
            if self._data_centres[worker] == near and most < least_near:
                nearest, least_near = worker, most
        if least_near <= min(self._limit, least + NEAR_PART * self._limit):
            return nearest, True
        return best, least <= self._limit

    def give(self, worker: str, request: growth.Running) -> None:
        """Adds a request to a worker."""
        self._there.setdefault(worker, []).append(request)

    def keep(self, worker: str) -> None:
        """Closes a worker to all others for this look."""
        self._open.remove(worker)
