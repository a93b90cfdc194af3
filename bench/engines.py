"""Small fakes of the model engines."""

import collections
from collections.abc import Callable
from typing import Literal

from bench import clock
from bench import links
from bench import workload
from foxtaildale import backends


class Prefill:
    """One prompt to prefill, and what came of it."""

    __slots__ = (
        'cached',
        'computed',
        'done',
        'failed',
        'key',
        'prefix',
        'prefix_tokens',
        'tokens',
        'took',
    )

    key: str
    tokens: int
    prefix: str
    prefix_tokens: int
    # Called with the result, or when the worker dies.
    done: Callable[[], None]
    failed: Callable[[], None]
    # Tokens found in the cache, and tokens worked through.
    cached: int
    computed: int
    # Working time, seconds, without waiting.
    took: float

    def __init__(
        self,
        key: str,
        arrival: workload.Arrival,
        done: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        self.key = key
        self.tokens = arrival.prompt
        self.prefix = arrival.prefix
        self.prefix_tokens = arrival.prefix_tokens
        self.done = done
        self.failed = failed
        self.cached = 0
        self.computed = 0
        self.took = 0.0


class PrefillWorker:
    """Works through prompts one after the other, in pieces."""

    def __init__(self, name: str, clk: clock.Clock) -> None:
        self.name = name
        self.alive = True
        self.link = links.Link(clk)
        # Cache events that nobody has read yet: time and event.
        self.events: list[tuple[float, backends.CacheEvent]] = []
        # Tokens worked through, for the waste figure.
        self.computed = 0
        # Tokens found in the prefix cache instead.
        self.cached = 0
        self._clock = clk
        self._queue: collections.deque[Prefill] = collections.deque()
        self._current: Prefill | None = None
        # Finished results that live, and those pinned by a transfer.
        self._results: dict[str, float] = {}
        self._pinned: set[str] = set()
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._number = 0

    def start(self, job: Prefill) -> None:
        """Queues a prompt."""
        if not self.alive:
            self._clock.after(0.05, job.failed)
            return
        self._queue.append(job)
        if self._current is None:
            self._next()

    def cancel(self, key: str) -> None:
        """Frees whatever is held for a prompt."""
        self._queue = collections.deque(j for j in self._queue if j.key != key)
        if self._current is not None and self._current.key == key:
            # The piece in work ends first; see `_piece`.
            self._current.key = ''
        self._results.pop(key, None)
        self._pinned.discard(key)

    def lives(self, key: str) -> bool:
        """Whether a result can still be fetched."""
        evicted_at = self._results.get(key)
        return (
            self.alive
            and evicted_at is not None
            and (key in self._pinned or self._clock.now < evicted_at)
        )

    def pin(self, key: str, pinned: bool) -> None:
        """A transfer in progress keeps its result from eviction."""
        (self._pinned.add if pinned else self._pinned.discard)(key)

    def backlog(self) -> int:
        """Returns tokens still to prefill."""
        rest = sum(job.tokens for job in self._queue)
        job = self._current
        return rest + (job.tokens - job.cached - job.computed if job else 0)

    def queued(self) -> int:
        """Returns how many prompts wait."""
        return len(self._queue)

    def die(self) -> None:
        """The process dies with everything it held."""
        self.alive = False
        jobs = [*self._queue, *([self._current] if self._current else [])]
        self._queue.clear()
        self._current = None
        self._results.clear()
        self._cache.clear()
        for job in jobs:
            if job.key:
                self._clock.after(0.05, job.failed)

    def _next(self) -> None:
        self._current = self._queue.popleft() if self._queue else None
        job = self._current
        if job is None:
            return
        if job.prefix in self._cache:
            job.cached = job.prefix_tokens
            self.cached += job.cached
            self._cache.move_to_end(job.prefix)
        self._piece(job)

    def _piece(self, job: Prefill) -> None:
        rest = job.tokens - job.cached - job.computed
        piece = min(rest, workload.PIECE)
        took = piece / workload.PREFILL_RATE
        # Counted at its start: a piece in work is worked through to its end.
        job.computed += piece
        self.computed += piece

        def over() -> None:
            if self._current is not job:
                return
            job.took += took
            if not job.key:
                self._next()
            elif piece == rest:
                self._finish(job)
            else:
                self._piece(job)

        self._clock.after(took, over)

    def _finish(self, job: Prefill) -> None:
        self._results[job.key] = self._clock.now + workload.LIVES_S
        if job.prefix:
            self._store(job.prefix, job.prefix_tokens)
        self._next()
        job.done()

    def _store(self, prefix: str, tokens: int) -> None:
        if prefix not in self._cache:
            self._event('stored', prefix, tokens)
        self._cache[prefix] = tokens
        self._cache.move_to_end(prefix)
        if len(self._cache) > workload.CACHE_PREFIXES:
            gone, size = self._cache.popitem(last=False)
            self._event('evicted', gone, size)

    def _event(
        self, kind: Literal['stored', 'evicted'], prefix: str, tokens: int
    ) -> None:
        self._number += 1
        event = backends.CacheEvent(
            number=self._number,
            kind=kind,
            prefix=prefix,
            tokens=tokens,
        )
        self.events.append((self._clock.now, event))


class Stream:
    """One answer that a decode worker generates."""

    __slots__ = ('done', 'failed', 'first', 'left')

    # Tokens to come.
    left: int
    # Called at the first token, the last one, and when the worker dies.
    first: Callable[[], None] | None
    done: Callable[[], None]
    failed: Callable[[], None]

    def __init__(
        self,
        left: int,
        first: Callable[[], None],
        done: Callable[[], None],
        failed: Callable[[], None],
    ) -> None:
        self.left = left
        self.first = first
        self.done = done
        self.failed = failed


class DecodeWorker:
    """Decodes a batch of streams, a token each a step."""

    def __init__(self, name: str, clk: clock.Clock) -> None:
        self.name = name
        self.alive = True
        self._clock = clk
        # Slots held by transfers on their way in.
        self._imports: set[str] = set()
        self._streams: dict[str, Stream] = {}
        self._stepping = False

    def reserve(self, key: str) -> bool:
        """Takes a slot for an import; False when full."""
        if not self.alive or self.running() >= workload.SLOTS:
            return False
        self._imports.add(key)
        return True

    def start(self, key: str, stream: Stream) -> None:
        """Starts the stream of an import."""
        self._imports.discard(key)
        if not self.alive:
            self._clock.after(0.05, stream.failed)
            return
        self._streams[key] = stream
        if not self._stepping:
            self._step()

    def cancel(self, key: str) -> None:
        """Frees whatever is held for a request."""
        self._imports.discard(key)
        self._streams.pop(key, None)

    def streams(self) -> list[str]:
        """Returns the keys of the streams that it generates."""
        return list(self._streams)

    def running(self) -> int:
        """Returns how many slots are taken."""
        return len(self._imports) + len(self._streams)

    def die(self) -> None:
        """The process dies; its streams break."""
        self.alive = False
        streams = list(self._streams.values())
        self._streams.clear()
        self._imports.clear()
        for stream in streams:
            self._clock.after(0.05, stream.failed)

    def _step(self) -> None:
        batch = list(self._streams.items())
        self._stepping = bool(batch)
        if not batch:
            return

        def over() -> None:
            ended = []
            for key, stream in batch:
                if self._streams.get(key) is not stream:
                    continue
                if stream.first is not None:
                    stream.first()
                    stream.first = None
                stream.left -= 1
                if stream.left <= 0:
                    del self._streams[key]
                    ended.append(stream)
            for stream in ended:
                stream.done()
            self._step()

        self._clock.after(workload.step_s(len(batch)), over)
