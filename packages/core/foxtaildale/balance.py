"""How many engines of a service should read prompts, and which one changes.

Load answered: bursts in which the memory of the decode workers is full while
the prefill workers stand idle two thirds of the time. A request costs each of
the two pools a time that does not depend on how many there are; the engines
are shared in that proportion, with room for prefills to come unevenly.

Beyond the least, none is kept to spare although one may crash: it would be missed
at decode all day, and is back within some seconds.

A change takes an engine away for seconds, so what is wanted must be wanted for
a while: an engine that crashed comes back as what it was. And nothing is taken
from prefill while prompts wait there. Nothing here does I/O; the time is an
argument.
"""

from collections.abc import Sequence
import math
from typing import Final

import msgspec

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import routes

# Requests that must have been seen before the proportion is trusted; the need
# that they tell is then off by a fifth. An engine is away for six seconds, so
# that a first burst meets it after its change rather than during it.
ENOUGH: Final = 20
# Requests for each engine that must have been seen as well: a large site changes
# many engines at once, and what was wrongly given to decode is missed at prefill
# until it is back. At two, the need is off by a tenth for 50 engines.
ENOUGH_PER_ENGINE: Final = 2
# How much a new request counts.
_LEARN: Final = 0.01
# Prefill workers are given this much more time than prompts take, since they
# come unevenly and a queue for them adds to the time of the first event. Guesses
# of answers, right in the median, make the decode work 1.2 times too large.
PREFILL_ROOM: Final = 1.5
# Part of a decode worker's memory that is in use in a full plan.
PACKED: Final = 0.85
# Engines of a stage that are kept whatever the load: one may crash or be taken
# away. Without a prefill worker the decode workers read the prompts, and every
# answer there stands still meanwhile.
LEAST: Final = 2
# Time for which a surplus of prefill workers, and a lack of them, must last,
# seconds. A crashed engine comes back after two to five.
SURPLUS_S: Final = 1.0
LACK_S: Final = 5.0
# Part of an engine by which prefill is left short when one is given to decode.
# The need holds room for prompts that come unevenly, and decode workers read
# some of those themselves.
SPARE_PART: Final = 0.6
# Engines by which it must be short to get one back: less while prompts wait.
# What was just given to decode would else come back as soon as the need moves,
# and be away for two changes, while callers are refused for want of its memory.
SHORT_WAITING: Final = 0.75
SHORT_MOST: Final = 1.0
# Time after an order in which its engine is not counted as either, seconds;
# an engine takes six to change, and its list entry comes a second later.
CHANGING_S: Final = 8.0
# Engines that change at a time: this part of all, and the least. What prefill can
# spare is idle, so it costs nothing while it changes; two at a time, a site of
# many engines would meet each burst with a part of its memory still unused.
AT_ONCE_PART: Final = 0.125
AT_ONCE: Final = 2


class Change(msgspec.Struct, frozen=True):
    """An engine is to do another stage."""

    backend: forwarding.Backend
    stage: forwarding.Stage


class Balance:
    """The proportion of one service's stages."""

    __slots__ = (
        '_changing',
        '_held',
        '_lack_since',
        '_seen',
        '_surplus_since',
        '_tokens',
        'prompt',
    )

    def __init__(self) -> None:
        # Requests seen, and means of their prompts and answers, tokens.
        self._seen = 0
        self.prompt = 0.0
        self._tokens = 0.0
        # Mean of the memory that a request holds over its answer, tokens of
        # memory times tokens of the answer: long answers count twice over.
        self._held = 0.0
        # Until when engines are changing, seconds, by id.
        self._changing: dict[str, float] = {}
        # Since when too many or too few engines read prompts, seconds.
        self._surplus_since: float | None = None
        self._lack_since: float | None = None

    def note(self, prompt: int, answer: float) -> None:
        """Takes a new request: its prompt and expected answer, tokens."""
        self._seen += 1
        part = max(_LEARN, 1 / self._seen)
        self.prompt += part * (prompt - self.prompt)
        self._tokens += part * (answer - self._tokens)
        held = (prompt + answer / 2) * answer
        self._held += part * (held - self._held)

    def share(
        self, service: routes.Service, prefill_per_s: float, token_s: float
    ) -> float | None:
        """Returns the part of the engines that should read prompts.

        Args:
            service: Memory and slots of an engine.
            prefill_per_s: Prompt tokens that an engine reads in a second.
            token_s: Time of one token of an answer, seconds.

        Returns:
            None while too few requests were seen.
        """
        if self._seen < ENOUGH or not service.kv_tokens:
            return None
        prefill = PREFILL_ROOM * self.prompt / prefill_per_s
        memory = self._held / service.kv_tokens / PACKED
        slots = self._tokens / service.slots if service.slots else 0.0
        decode = token_s * max(memory, slots)
        return prefill / (prefill + decode)

    def changes(
        self,
        now: float,
        share: float | None,
        decoders: Sequence[fleet.Tally],
        prefillers: Sequence[fleet.Tally],
        *,
        waiting: bool = False,
    ) -> tuple[Change, ...]:
        """Returns what should change now; none while it is not sure.

        Args:
            now: Seconds.
            share: What `share` returned.
            decoders: Decode workers that may get work, best first.
            prefillers: Prefill workers that may get work, best first.
            waiting: Whether prompts wait at the prefill workers.
        """
        self._settle(now)
        if share is None:
            return ()
        decoders = [t for t in decoders if t.backend.id not in self._changing]
        prefillers = [
            t for t in prefillers if t.backend.id not in self._changing
        ]
        count = len(decoders) + len(prefillers) + len(self._changing)
        part = int(AT_ONCE_PART * count)
        if self._seen < ENOUGH_PER_ENGINE * count:
            return ()
        need = share * count
        wanted = max(LEAST, math.ceil(need - SPARE_PART))
        spare = 0 if waiting else len(prefillers) - wanted
        short = need - len(prefillers)
        lacks = short > (SHORT_WAITING if waiting else SHORT_MOST)
        self._surplus_since = _since(self._surplus_since, spare > 0, now)
        self._lack_since = _since(self._lack_since, lacks, now)
        if _lasted(self._surplus_since, now, SURPLUS_S):
            free = min(spare, max(AT_ONCE, part) - len(self._changing))
            return _all(prefillers[: max(0, free)], 'decode')
        if _lasted(self._lack_since, now, LACK_S) and not self._changing:
            most = len(decoders) - LEAST
            # One is what a small site may be wrong by.
            back = max(1, min(int(short), part))
            return _all(decoders[: min(back, max(0, most))], 'prefill')
        return ()

    def ordered(self, now: float, server: str) -> None:
        """Notes that an engine was told to change, or may have been."""
        self._changing[server] = now + CHANGING_S

    def settled(self, server: str) -> None:
        """Notes that an engine started again, whatever it was told before."""
        self._changing.pop(server, None)

    def changing(self, now: float) -> frozenset[str]:
        """Returns the engines that get no work, since they change."""
        self._settle(now)
        return frozenset(self._changing)

    def _settle(self, now: float) -> None:
        for server, until in list(self._changing.items()):
            if until <= now:
                del self._changing[server]


def _since(since: float | None, holds: bool, now: float) -> float | None:
    """Returns since when a condition holds; None if it does not."""
    if not holds:
        return None
    return now if since is None else since


def _lasted(since: float | None, now: float, span_s: float) -> bool:
    return since is not None and now - since >= span_s


def _all(
    tallies: Sequence[fleet.Tally], stage: forwarding.Stage
) -> tuple[Change, ...]:
    return tuple(Change(tally.backend, stage) for tally in tallies)
