"""Decode workers that refuse requests for which the plan sees room.

Such a worker may be changing its stage: it got the order while the coordinator
moved to a VM that does not know of the order, and the store is down, so the
backend list still shows a decode worker. It refuses everything, so it always
has the most room in the plan: hardly any request that is placed there is
accepted, and the prefills of all others are wasted.

A refusal may also be caused by the prefill worker, whose handle has expired;
then every decode worker refuses its prompts, and accepts those of other prefill
workers. A decode worker is therefore closed after it has refused prompts of two
prefill workers in a row, or three prompts of one. It is closed for as long as
its memory may take to become free, and each further refusal doubles that time.
An accepted request opens it again.
"""

from typing import Final

# Consecutive refusals that close a worker: the number of prefill workers whose
# prompts it refused, or the number of prompts.
MAX_REFUSED_SOURCES: Final = 2
MAX_REFUSED_PROMPTS: Final = 3
# Time for which it is closed at first, seconds; one in ten of an engine's
# requests ends in that time.
MIN_CLOSED_S: Final = 0.3
# Maximum time for which it is closed, seconds; an engine changes its stage in
# about six.
MAX_CLOSED_S: Final = 2.4
# Maximum number of remembered workers; the oldest entries are dropped.
_MAX_WORKERS: Final = 256


class _RefusingWorker:
    __slots__ = ('closed_s', 'closed_until', 'prompts', 'sources')

    def __init__(self) -> None:
        self.prompts = 0
        self.sources: set[str] = set()
        # How long it was closed last, and until when, seconds.
        self.closed_s = MIN_CLOSED_S / 2
        self.closed_until = 0.0


class Refusals:
    """Refusals of one service's decode workers; the time is an argument."""

    __slots__ = ('_refusing',)

    def __init__(self) -> None:
        # By id.
        self._refusing: dict[str, _RefusingWorker] = {}

    def record(
        self, now: float, worker: str, prefiller: str, *, accepted: bool
    ) -> None:
        """Records whether a worker accepted a request that was placed there.

        Args:
            now: Seconds.
            worker: The decode worker.
            prefiller: The worker that prefilled the prompt; empty if that is
                not known.
            accepted: Whether it was accepted.
        """
        if accepted:
            self._refusing.pop(worker, None)
            return
        refusing = self._refusing.get(worker)
        if refusing is None:
            refusing = self._refusing[worker] = _RefusingWorker()
            if len(self._refusing) > _MAX_WORKERS:
                del self._refusing[next(iter(self._refusing))]
        refusing.prompts += 1
        refusing.sources.add(prefiller)
        is_proven = (
            len(refusing.sources) >= MAX_REFUSED_SOURCES
            or refusing.prompts >= MAX_REFUSED_PROMPTS
        )
        # Requests that were placed before it was closed prove nothing new.
        if is_proven and now >= refusing.closed_until:
            refusing.closed_s = min(2 * refusing.closed_s, MAX_CLOSED_S)
            refusing.closed_until = now + refusing.closed_s

    def forget(self, server: str) -> None:
        """Discards what is known of a server that has restarted."""
        self._refusing.pop(server, None)

    def closed_workers(self, now: float) -> frozenset[str]:
        """Returns the workers that get no requests now."""
        return frozenset(
            worker
            for worker, refusing in self._refusing.items()
            if now < refusing.closed_until
        )
