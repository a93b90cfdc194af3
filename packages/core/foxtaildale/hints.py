"""What prefill workers' prefix caches may hold.

Cache events come late and with gaps, so nothing here is sure: a hint sways the
choice of a worker and the estimate, and never more than what hints turned out
to be worth lately. A worker that a prompt was placed at is assumed to hold its
prefix from then on, which closes most gaps before the event arrives.
"""

import collections
from collections.abc import Sequence
from typing import Final
from typing import TypeVar

from foxtaildale import backends
from foxtaildale import estimates

_Value = TypeVar('_Value')

# Prefixes remembered for each worker; the oldest go first.
_REMEMBERED: Final = 1024


class Hints:
    """Prefixes by prefill worker."""

    __slots__ = ('_held', '_tokens', '_trust')

    # Worker to the prefixes that it may hold, oldest first.
    _held: dict[str, collections.OrderedDict[str, None]]
    # Lengths of prefixes, tokens, as events told them.
    _tokens: collections.OrderedDict[str, int]
    # Share of the hinted tokens that engines really had.
    _trust: estimates.Average

    def __init__(self) -> None:
        self._held = {}
        self._tokens = collections.OrderedDict()
        self._trust = estimates.Average(0.5)

    def on_event(self, worker: str, event: backends.CacheEvent) -> None:
        """Takes a cache event."""
        self._tokens[event.prefix] = event.tokens
        _trim(self._tokens)
        if event.kind == 'stored':
            self.placed(worker, (event.prefix,))
        else:
            self._held.get(worker, collections.OrderedDict()).pop(
                event.prefix, None
            )

    def placed(self, worker: str, prefixes: Sequence[str]) -> None:
        """A prompt with these prefixes was placed at a worker."""
        held = self._held.setdefault(worker, collections.OrderedDict())
        for prefix in prefixes:
            held[prefix] = None
            held.move_to_end(prefix)
        _trim(held)

    def expect(self, worker: str, prefixes: Sequence[str]) -> int:
        """Returns how many tokens a worker's cache probably saves."""
        return round(self._trust.value * self._hinted(worker, prefixes))

    def checked(
        self, worker: str, prefixes: Sequence[str], cached: int
    ) -> None:
        """Compares a hint with what the engine had."""
        hinted = self._hinted(worker, prefixes)
        if hinted:
            self._trust.add(min(1.0, cached / hinted))

    def _hinted(self, worker: str, prefixes: Sequence[str]) -> int:
        held = self._held.get(worker, ())
        return max(
            (self._tokens.get(p, 0) for p in prefixes if p in held), default=0
        )


def _trim(table: collections.OrderedDict[str, _Value]) -> None:
    while len(table) > _REMEMBERED:
        table.popitem(last=False)
