"""The prefill workers of a service, as its plan sees them: when each is free.

Nothing is asked of the workers. What was given to each and how fast prompts
are read says when it is through; what holders measured says how fast that is,
and which worker is slower than the others. The time is an argument.
"""

from collections.abc import Collection
from collections.abc import Iterable
from typing import Final

import msgspec

from foxtaildale import fleet
from foxtaildale import reading
from foxtaildale import speeds

# Work of a prefill worker before a prompt beyond which its place is not given
# yet, seconds. Given it, the prompt would wait there with its memory held at the
# decode worker, behind prompts that can't be overtaken any more; an engine that
# reads too many at once runs out of memory and reads some of them again.
AHEAD_S: Final = 0.3
# Prompts wait for each other at the prefill workers if a prompt takes this many
# times as long, from its place on, as an engine needs to read it.
WAITING: Final = 1.6
# Prompts of a worker in a row that no decode worker took, from which on it gets
# none for a while. A full decode worker refuses as well, but then prompts of
# every prefill worker.
LOSING: Final = 2
# That while at first, seconds, and the longest; each further prompt that is lost
# doubles it. Each try of a worker that still loses is a prompt read for nothing.
LOST_S: Final = 1.0
LOST_MOST_S: Final = 4.0
# Workers remembered; those that are gone drop out as new ones come.
_MOST: Final = 256
# How much a new measurement counts.
_LEARN: Final = 0.1


class _Lost:
    """Prompts of one worker that were lost in a row."""

    __slots__ = ('count', 'span_s', 'until')

    def __init__(self) -> None:
        self.count = 0
        # How long it gets none the next time, and until when it does, seconds.
        self.span_s = LOST_S
        self.until = 0.0


class Turn(msgspec.Struct, frozen=True):
    """When a prefill worker would read a prompt, seconds."""

    # Its id; empty if there is none, and the times are now.
    worker: str
    # When it has read all before it.
    starts_at: float
    # When it has read this one, and when that is known.
    read_at: float
    ready_at: float


class Prefills:
    """Time of the prefill workers."""

    __slots__ = ('_free_at', '_lost', '_speeds', 'mean_s', 'reading')

    def __init__(self) -> None:
        # When each has read what it was given, seconds, by id.
        self._free_at: dict[str, float] = {}
        self._speeds = speeds.Speeds()
        # By id.
        self._lost: dict[str, _Lost] = {}
        self.reading = reading.Reading()
        # Mean time from a place until the prompt was read, seconds; 0 until
        # one was measured.
        self.mean_s = 0.0

    def choose(
        self,
        now: float,
        prompt: int,
        prefillers: Iterable[fleet.Tally],
        avoid: Collection[str],
    ) -> Turn:
        """Returns the turn at the worker that is through first.

        None of those that lose prompts, unless all do.
        """
        names = [t.backend.id for t in prefillers if t.backend.id not in avoid]
        keeping = [name for name in names if not self.losing(now, name)]
        turns = [self._turn(now, prompt, name) for name in keeping or names]
        return min(
            turns,
            key=lambda turn: turn.read_at,
            default=Turn('', now, now, now),
        )

    def too_busy(self, now: float, prompt: int, turn: Turn) -> bool:
        """Whether a prompt would wait too long for the ones before it."""
        return turn.read_at - now - prompt / self.reading.per_s > AHEAD_S

    def give(self, turn: Turn) -> None:
        """Notes that a worker got a prompt."""
        self._free_at[turn.worker] = turn.read_at
        if len(self._free_at) > _MOST:
            del self._free_at[next(iter(self._free_at))]

    def forget(self, worker: str) -> None:
        """Forgets a worker that started again."""
        self._free_at.pop(worker, None)
        self._lost.pop(worker, None)
        self._speeds.forget(worker)

    def slow(self, now: float, worker: str) -> bool:
        """Whether a worker is much slower than the others."""
        return self._speeds.slowness(now, worker) > 1.0

    def note(
        self,
        now: float,
        worker: str,
        prompt: int,
        took_s: float,
        *,
        alone: bool = False,
    ) -> None:
        """Takes a measured prefill.

        Args:
            now: Seconds.
            worker: Which one did it; empty if that is not known.
            prompt: Tokens.
            took_s: Time from the place on, seconds.
            alone: Whether nothing was before it at its worker.
        """
        self.mean_s += _LEARN * (took_s - self.mean_s)
        if not prompt:
            return
        if not self.slow(now, worker):
            self.reading.note(prompt, took_s, alone=alone)
        if worker:
            # Without the way, which is most of the time of a short prompt.
            reading_s = max(took_s - self.reading.way_s, took_s / 4)
            self._speeds.note(now, worker, reading_s / prompt)

    def note_use(self, now: float, worker: str, *, taken: bool) -> None:
        """Takes whether a decode worker took what this one had read."""
        if taken:
            self._lost.pop(worker, None)
            return
        known = self._lost.setdefault(worker, _Lost())
        known.count += 1
        # Those that were read before it was closed say nothing new.
        if known.count >= LOSING and now >= known.until:
            known.until = now + known.span_s
            known.span_s = min(2 * known.span_s, LOST_MOST_S)
        if len(self._lost) > _MOST:
            del self._lost[next(iter(self._lost))]

    def losing(self, now: float, worker: str) -> bool:
        """Whether prompts read by this worker are lost before they are used.

        Its memory lets go of them at once; the prompts would be read in vain.
        """
        known = self._lost.get(worker)
        return known is not None and now < known.until

    def waiting(self, prompt: float) -> bool:
        """Whether prompts of this mean length wait for each other."""
        return self.mean_s > self.usual_s(WAITING * prompt)

    def usual_s(self, prompt: float) -> float:
        """Returns the time of a prompt that waits for none, seconds."""
        return prompt / self.reading.per_s + self.reading.way_s

    def _turn(self, now: float, prompt: int, name: str) -> Turn:
        starts_at = max(now, self._free_at.get(name, 0.0))
        slowness = self._speeds.slowness(now, name)
        read_at = starts_at + slowness * prompt / self.reading.per_s
        return Turn(name, starts_at, read_at, read_at + self.reading.way_s)
