"""When each prefill worker of a service is free, as its plan computes it.

The workers are not queried. The plan knows which prompts it assigned to each
worker, and learns from the holders' measurements how fast prompts are prefilled
and which workers are slower than the others. The time is an argument.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import Final

import msgspec

from foxtaildale import engine_speeds
from foxtaildale import fleet
from foxtaildale import prefill_speed

# Maximum time that a prompt may wait at a prefill worker, seconds; beyond it
# the placement is not granted yet. The prompt would wait there with its memory
# reserved at the decode worker, behind prompts that it can't overtake any more.
# An engine that prefills too many prompts at once runs out of memory and
# prefills some of them again.
MAX_PREFILL_WAIT_S: Final = 0.3
# Prompts count as waiting for each other at the prefill workers if the time
# from placement to the end of the prefill is this many times the unqueued time.
QUEUED_RATIO: Final = 1.6
# Time after the last measured prefill in which prompts count as waiting, seconds.
# Where no prompt is prefilled, none waits.
QUEUE_TTL_S: Final = 5.0
# Number of consecutive prompts of a prefill worker that no decode worker
# accepted, after which the worker is closed for a while. A full decode worker
# refuses prompts too, but then those of every prefill worker.
MAX_LOST_PROMPTS: Final = 2
# First and maximum time for which it is closed, seconds; each further lost
# prompt doubles the time. Each prompt that is sent to a worker that still loses
# prompts is a wasted prefill.
MIN_CLOSED_S: Final = 1.0
MAX_CLOSED_S: Final = 4.0
# Maximum number of remembered workers; the oldest entries are dropped.
_MAX_WORKERS: Final = 256
# Weight of a new measurement in the moving average.
_NEW_WEIGHT: Final = 0.1


class _LostPrompts:
    """Consecutive lost prompts of one worker."""

    __slots__ = ('closed_until', 'count', 'next_closed_s')

    def __init__(self) -> None:
        self.count = 0
        # How long it is closed the next time, and until when it is closed now,
        # seconds.
        self.next_closed_s = MIN_CLOSED_S
        self.closed_until = 0.0


class Turn(msgspec.Struct, frozen=True):
    """When a prefill worker would prefill a prompt, seconds."""

    # The worker's id. It is empty if there is no worker; the times are then the
    # present time.
    worker: str
    # When it has finished all prompts ahead of this one.
    starts_at: float
    # When it has finished this prompt, and when the holder is notified.
    read_at: float
    ready_at: float


class Prefills:
    """Schedule of the prefill workers."""

    __slots__ = (
        '_free_at',
        '_lost',
        '_measured_at',
        '_speeds',
        'mean_prefill_s',
        'speed',
    )

    def __init__(self) -> None:
        # When each has finished its assigned prompts, seconds, by id.
        self._free_at: dict[str, float] = {}
        self._speeds = engine_speeds.EngineSpeeds()
        # By id.
        self._lost: dict[str, _LostPrompts] = {}
        self.speed = prefill_speed.PrefillSpeed()
        # Mean time from a placement to the end of its prefill, seconds; 0
        # before the first measurement.
        self.mean_prefill_s = 0.0
        # When the last one was recorded, seconds.
        self._measured_at = -math.inf

    def choose_worker(
        self,
        now: float,
        prompt_tokens: int,
        prefillers: Iterable[fleet.ServerState],
        avoid: Collection[str],
    ) -> Turn:
        """Returns the turn at the worker that finishes the prompt first.

        Workers that lose prompts are chosen only if all of them do.
        """
        ids = [t.backend.id for t in prefillers if t.backend.id not in avoid]
        reliable = [
            worker for worker in ids if not self.is_losing_prompts(now, worker)
        ]
        turns = [
            self._turn(now, prompt_tokens, worker) for worker in reliable or ids
        ]
        return min(
            turns,
            key=lambda turn: turn.read_at,
            default=Turn('', now, now, now),
        )

    def is_too_busy(self, now: float, prompt_tokens: int, turn: Turn) -> bool:
        """Whether a prompt would wait too long for those ahead of it."""
        return (
            turn.read_at - now - prompt_tokens / self.speed.tokens_per_s
            > MAX_PREFILL_WAIT_S
        )

    def assign(self, turn: Turn) -> None:
        """Records that a prompt was assigned to a worker."""
        self._free_at[turn.worker] = turn.read_at
        if len(self._free_at) > _MAX_WORKERS:
            del self._free_at[next(iter(self._free_at))]

    def forget(self, worker: str) -> None:
        """Discards what is known of a worker that has restarted."""
        self._free_at.pop(worker, None)
        self._lost.pop(worker, None)
        self._speeds.forget(worker)

    def is_slow(self, now: float, worker: str) -> bool:
        """Whether a worker is much slower than the others."""
        return self._speeds.slowness(now, worker) > 1.0

    def record_prefill(
        self,
        now: float,
        worker: str,
        prompt_tokens: int,
        took_s: float,
        *,
        alone: bool = False,
    ) -> None:
        """Records a measured prefill.

        Args:
            now: Seconds.
            worker: The worker that did it; empty if that is not known.
            prompt_tokens: Tokens.
            took_s: Time since the placement, seconds.
            alone: Whether no other prompt was ahead of it at its worker.
        """
        self._measured_at = now
        self.mean_prefill_s += _NEW_WEIGHT * (took_s - self.mean_prefill_s)
        if not prompt_tokens:
            return
        if not self.is_slow(now, worker):
            self.speed.record(prompt_tokens, took_s, alone=alone)
        if worker:
            # Without the fixed overhead, which is most of the time of a short
            # prompt.
            prefill_s = max(took_s - self.speed.overhead_s, took_s / 4)
            self._speeds.record(now, worker, prefill_s / prompt_tokens)

    def record_use(self, now: float, worker: str, *, accepted: bool) -> None:
        """Records whether a decode worker accepted a prefilled prompt."""
        if accepted:
            self._lost.pop(worker, None)
            return
        lost = self._lost.setdefault(worker, _LostPrompts())
        lost.count += 1
        # Prompts that were prefilled before it was closed prove nothing new.
        if lost.count >= MAX_LOST_PROMPTS and now >= lost.closed_until:
            lost.closed_until = now + lost.next_closed_s
            lost.next_closed_s = min(2 * lost.next_closed_s, MAX_CLOSED_S)
        if len(self._lost) > _MAX_WORKERS:
            del self._lost[next(iter(self._lost))]

    def is_losing_prompts(self, now: float, worker: str) -> bool:
        """Whether prompts of this worker are lost before they are used.

        Its memory evicts them at once, so the prefills would be wasted.
        """
        lost = self._lost.get(worker)
        return lost is not None and now < lost.closed_until

    def has_queue(self, now: float, mean_prompt_tokens: float) -> bool:
        """Whether prompts of this mean length wait for each other."""
        if now - self._measured_at > QUEUE_TTL_S:
            return False
        return self.mean_prefill_s > self.unqueued_s(
            QUEUED_RATIO * mean_prompt_tokens
        )

    def unqueued_s(self, prompt_tokens: float) -> float:
        """Returns the time of a prompt that waits for no other, seconds."""
        return prompt_tokens / self.speed.tokens_per_s + self.speed.overhead_s

    def _turn(self, now: float, prompt: int, worker: str) -> Turn:
        starts_at = max(now, self._free_at.get(worker, 0.0))
        slowness = self._speeds.slowness(now, worker)
        read_at = starts_at + slowness * prompt / self.speed.tokens_per_s
        return Turn(worker, starts_at, read_at, read_at + self.speed.overhead_s)
