"""The prefill side of the engine stand-in.

Prompts are worked on in steps of about a thousand tokens, the most urgent
first, several in one step if they fit. A result lives for less than a second.
Whole blocks of a prompt stay in a prefix cache of limited size.
"""

import collections
from collections.abc import Callable
import threading
import time
from typing import Final

import msgspec

from foxtaildale import backends
from tests.standins import answers
from tests.standins import serving

# Tokens of one step.
STEP_TOKENS: Final = 1000
# Of the cache events, every so many-th is never told.
_GAP: Final = 7
_IDLE_S: Final = 0.05


class Config(msgspec.Struct, frozen=True):
    """Speeds and sizes of a prefill worker."""

    # Time of a full step, milliseconds.
    step_ms: float
    kv_lives_ms: int
    cache_tokens: int
    cache_lag_s: float


class Job:
    """One prefill: waiting, in work, or a result that still lives."""

    __slots__ = (
        'cached',
        'cancelled',
        'hung_up',
        'kind',
        'kv',
        'left',
        'lives_until',
        'req',
        'since',
        'tokens',
        'turn',
    )

    def __init__(
        self,
        req: backends.PrefillReq,
        turn: int,
        hung_up: Callable[[], bool],
        now: float,
    ) -> None:
        self.req = req
        self.turn = turn
        self.hung_up = hung_up
        self.since = now
        self.tokens = answers.tokens(req.prompt)
        self.left = max(1, len(self.tokens))
        self.cached = 0
        self.kind: backends.HoldingKind = 'queued'
        self.kv = f'kv-{req.request}-{req.attempt}-{turn}'
        self.lives_until = 0.0
        self.cancelled = False

    def holding(self, now: float) -> backends.Holding:
        """Returns what the engine reports of it."""
        return backends.Holding(
            request=self.req.request,
            attempt=self.req.attempt,
            holder=self.req.holder,
            kind=self.kind,
            age_ms=int((now - self.since) * 1000),
            attached=self.kind != 'kv' and not self.hung_up(),
        )


class PrefixCache:
    """Blocks of prompts, the least recently used evicted; tells of changes."""

    def __init__(self, tokens: int, lag_s: float) -> None:
        self._limit = tokens // backends.PREFIX_TOKENS
        self._lag_s = lag_s
        # Digests, the least recently used first, with their prefix's length.
        self._blocks: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._events: list[tuple[float, backends.CacheEvent]] = []

    def cached(self, prefixes: tuple[str, ...]) -> int:
        """Returns how many tokens of a prompt are in the cache."""
        found = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            self._blocks.move_to_end(prefix)
            found += backends.PREFIX_TOKENS
        return found

    def store(self, prefixes: tuple[str, ...], now: float) -> None:
        """Adds a prompt's blocks."""
        for i, prefix in enumerate(prefixes):
            if prefix not in self._blocks:
                self._blocks[prefix] = (i + 1) * backends.PREFIX_TOKENS
                self._tell('stored', prefix, now)
        while len(self._blocks) > self._limit:
            self._tell('evicted', next(iter(self._blocks)), now)
            self._blocks.popitem(last=False)

    def events(self, after: int, now: float) -> backends.CacheEvents:
        """Returns the events after a number, late and with gaps."""
        return backends.CacheEvents(
            tuple(
                event
                for at, event in self._events
                if event.number > after
                and event.number % _GAP
                and at + self._lag_s <= now
            )
        )

    def _tell(self, kind: str, prefix: str, now: float) -> None:
        event = backends.CacheEvent(
            number=len(self._events) + 1,
            kind='stored' if kind == 'stored' else 'evicted',
            prefix=prefix,
            tokens=self._blocks[prefix],
        )
        self._events.append((now, event))


class Prefiller:
    """Works on prompts; `run` is the thread that does."""

    def __init__(self, cfg: Config, record: serving.Record) -> None:
        self._cfg = cfg
        self._record = record
        self.slow = 1.0
        self.cache = PrefixCache(cfg.cache_tokens, cfg.cache_lag_s)
        self.changed = threading.Condition()
        self._jobs: list[Job] = []
        self._turn = 0

    def run(self) -> None:
        """Works for ever."""
        while True:
            with self.changed:
                self._evict(time.monotonic())
                step = self._plan()
                if not step:
                    self.changed.wait(_IDLE_S)
                    continue
            tokens = sum(part for _, part in step)
            time.sleep(self._cfg.step_ms / 1000 * tokens / STEP_TOKENS)
            time.sleep((self.slow - 1) * self._cfg.step_ms / 1000)
            with self.changed:
                self._finish(step)
                self.changed.notify_all()

    def prefill(
        self, req: backends.PrefillReq, hung_up: Callable[[], bool]
    ) -> backends.PrefillReply | backends.BackendError:
        """Queues a prompt and waits for its result."""
        with self.changed:
            self._turn += 1
            job = Job(req, self._turn, hung_up, time.monotonic())
            self._jobs.append(job)
            self.changed.notify_all()
            while job.kind != 'kv' and not job.cancelled:
                self.changed.wait()
        if job.cancelled:
            return backends.BackendError('cancelled')
        return backends.PrefillReply(
            request=req.request,
            attempt=req.attempt,
            kv=job.kv,
            tokens=len(job.tokens),
            cached=job.cached,
            lives_ms=self._cfg.kv_lives_ms,
        )

    def find(self, kv: str) -> Job | None:
        """Returns a result that still lives."""
        with self.changed:
            self._evict(time.monotonic())
            for job in self._jobs:
                if job.kv == kv and job.kind == 'kv':
                    return job
        return None

    def drop(self, job: Job) -> None:
        """Frees a result that was fetched."""
        with self.changed:
            if job in self._jobs:
                self._jobs.remove(job)

    def cancel(self, matches: Callable[[str, int, str], bool]) -> int:
        """Frees all that matches request, attempt and holder."""
        with self.changed:
            gone = [
                job
                for job in self._jobs
                if matches(job.req.request, job.req.attempt, job.req.holder)
            ]
            for job in gone:
                job.cancelled = True
                self._jobs.remove(job)
                self._note('cancelled', job)
            self.changed.notify_all()
        return len(gone)

    def holdings(self) -> list[backends.Holding]:
        """Returns everything held."""
        with self.changed:
            now = time.monotonic()
            self._evict(now)
            return [job.holding(now) for job in self._jobs]

    def load(self) -> tuple[int, int, int]:
        """Returns jobs in work, jobs waiting, and tokens to do."""
        with self.changed:
            kinds = collections.Counter(job.kind for job in self._jobs)
            left = sum(job.left for job in self._jobs)
        return kinds['prefill'], kinds['queued'], left

    def _plan(self) -> list[tuple[Job, int]]:
        step: list[tuple[Job, int]] = []
        room = STEP_TOKENS
        waiting = [job for job in self._jobs if job.kind != 'kv']
        for job in sorted(waiting, key=lambda j: (j.req.priority, j.turn)):
            if job.kind == 'queued':
                self._begin(job)
            part = min(room, job.left)
            step.append((job, part))
            room -= part
            if room <= 0:
                break
        return step

    def _begin(self, job: Job) -> None:
        job.kind = 'prefill'
        prefixes = backends.prefixes(job.tokens)
        job.cached = self.cache.cached(prefixes)
        job.left = max(1, len(job.tokens) - job.cached)
        self._note('begun', job)

    def _finish(self, step: list[tuple[Job, int]]) -> None:
        now = time.monotonic()
        for job, part in step:
            job.left -= part
            if job.left > 0 or job.cancelled:
                continue
            job.kind = 'kv'
            job.since = now
            job.lives_until = now + self._cfg.kv_lives_ms / 1000
            self.cache.store(backends.prefixes(job.tokens), now)
            self._note('ended', job)

    def _evict(self, now: float) -> None:
        for job in list(self._jobs):
            if job.kind == 'kv' and now > job.lives_until:
                self._jobs.remove(job)
                self._note('evicted', job)

    def _note(self, phase: str, job: Job) -> None:
        self._record.note(
            'prefill',
            phase,
            job.req.request,
            job.req.attempt,
            holder=job.req.holder,
            tokens=len(job.tokens) - job.cached,
            cached=job.cached,
        )
