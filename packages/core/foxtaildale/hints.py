"""Estimated contents of the prefix caches of prefill workers.

Cache events arrive late and with gaps, so these contents are uncertain. A hint
influences only the choice of a worker and the estimate, weighted by how
accurate recent hints were. A worker at which a prompt was placed is assumed to
hold the prompt's prefix from then on, which covers most gaps before the event
arrives.
"""

import collections
from collections.abc import Sequence
from typing import Final
from typing import TypeVar

from foxtaildale import backends
from foxtaildale import estimates

_Value = TypeVar('_Value')

# Maximum number of prefixes remembered for each worker; the oldest are removed
# first.
_MAX_PREFIXES: Final = 1024


class Hints:
    """Prefixes that each prefill worker may have cached."""

    __slots__ = ('_accuracy', '_prefix_tokens', '_prefixes')

    # The prefixes that each worker may hold, by worker; oldest first.
    _prefixes: dict[str, collections.OrderedDict[str, None]]
    # Lengths of prefixes, tokens, as reported by events.
    _prefix_tokens: collections.OrderedDict[str, int]
    # Fraction of the hinted tokens that engines actually had cached.
    _accuracy: estimates.Average

    def __init__(self) -> None:
        self._prefixes = {}
        self._prefix_tokens = collections.OrderedDict()
        self._accuracy = estimates.Average(0.5)

    def on_event(self, worker: str, event: backends.CacheEvent) -> None:
        """Applies a cache event."""
        self._prefix_tokens[event.prefix] = event.tokens
        _trim(self._prefix_tokens)
        if event.kind == 'stored':
            self.record_placement(worker, (event.prefix,))
        else:
            self._prefixes.get(worker, collections.OrderedDict()).pop(
                event.prefix, None
            )

    def record_placement(self, worker: str, prefixes: Sequence[str]) -> None:
        """Records that a prompt with these prefixes was placed at a worker."""
        worker_prefixes = self._prefixes.setdefault(
            worker, collections.OrderedDict()
        )
        for prefix in prefixes:
            worker_prefixes[prefix] = None
            worker_prefixes.move_to_end(prefix)
        _trim(worker_prefixes)

    def expected_tokens(self, worker: str, prefixes: Sequence[str]) -> int:
        """Returns the estimated number of tokens that a worker has cached."""
        return round(
            self._accuracy.value * self._hinted_tokens(worker, prefixes)
        )

    def update_accuracy(
        self, worker: str, prefixes: Sequence[str], cached_tokens: int
    ) -> None:
        """Updates the accuracy of hints with what an engine had cached."""
        hinted = self._hinted_tokens(worker, prefixes)
        if hinted:
            self._accuracy.add(min(1.0, cached_tokens / hinted))

    def _hinted_tokens(self, worker: str, prefixes: Sequence[str]) -> int:
        worker_prefixes = self._prefixes.get(worker, ())
        return max(
            (
                self._prefix_tokens.get(p, 0)
                for p in prefixes
                if p in worker_prefixes
            ),
            default=0,
        )


def _trim(table: collections.OrderedDict[str, _Value]) -> None:
    while len(table) > _MAX_PREFIXES:
        table.popitem(last=False)
