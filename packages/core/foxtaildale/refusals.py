"""Decode workers that refuse what the plan thinks they have room for.

Load answered: an engine that was told to change its stage while the home moved
to a VM that does not know of the order, and the store is down, so the list
still calls it a decode worker. It refuses all, so it always has the most room
in the plan: hardly a request that is placed there is taken, and as many prompts
are read for nothing.

A refusal may as well be the doing of the prefill worker, whose handle lapsed;
then every decode worker refuses its prompts, and takes those of others. So a
worker is closed when it refused prompts of two prefill workers in a row, or
three of one: for as long as its memory may take to come free, and each further
refusal doubles that. What it takes opens it again.
"""

from typing import Final

# Prefill workers whose prompts it refuses in a row, and prompts of one of them,
# that close a worker.
SOURCES: Final = 2
PROMPTS: Final = 3
# Time for which it is closed at first, seconds: one in ten of the
# requests of an engine ends in that time.
FIRST_S: Final = 0.3
# Longest time, seconds; an engine changes its stage in about six.
MOST_S: Final = 2.4
# Workers remembered; those that refused last.
_MOST: Final = 256


class _Refusing:
    __slots__ = ('prompts', 'sources', 'span_s', 'until')

    def __init__(self) -> None:
        self.prompts = 0
        self.sources: set[str] = set()
        # How long it was closed last, and until when, seconds.
        self.span_s = FIRST_S / 2
        self.until = 0.0


class Refusals:
    """Refusals of one service's decode workers; the time is an argument."""

    __slots__ = ('_refusing',)

    def __init__(self) -> None:
        # By id.
        self._refusing: dict[str, _Refusing] = {}

    def note(
        self, now: float, worker: str, prefiller: str, *, taken: bool
    ) -> None:
        """Takes whether a worker took a request that was placed there.

        Args:
            now: Seconds.
            worker: The decode worker.
            prefiller: Who had read its prompt; empty if that is not known.
            taken: Whether it was taken.
        """
        if taken:
            self._refusing.pop(worker, None)
            return
        known = self._refusing.get(worker)
        if known is None:
            known = self._refusing[worker] = _Refusing()
            if len(self._refusing) > _MOST:
                del self._refusing[next(iter(self._refusing))]
        known.prompts += 1
        known.sources.add(prefiller)
        proved = len(known.sources) >= SOURCES or known.prompts >= PROMPTS
        # Those placed before it was closed say nothing new.
        if proved and now >= known.until:
            known.span_s = min(2 * known.span_s, MOST_S)
            known.until = now + known.span_s

    def forget(self, server: str) -> None:
        """Forgets a server that started again."""
        self._refusing.pop(server, None)

    def closed(self, now: float) -> frozenset[str]:
        """Returns the workers that get nothing now."""
        return frozenset(
            worker
            for worker, found in self._refusing.items()
            if now < found.until
        )
