"""How many engines of a service are prefill workers, and which ones change.

The balance is made for bursts in which the memory of the decode workers is full
while the prefill workers are idle for two thirds of the time. Each request
costs either stage a time that does not depend on the number of engines. The
engines are shared in the proportion of these times, with a margin for prefills
that arrive unevenly.

Beyond the minimum, no engine is reserved against a crash: decode would lack it
all day, and a crashed engine is back within some seconds.

A change takes an engine away for seconds, so the need must persist for a while
before it is met: a crashed engine comes back with the stage that it had. No
engine is taken from prefill while prompts wait there. Nothing here does I/O;
the time is an argument.
"""

from collections.abc import Sequence
import math
from typing import Final

import msgspec

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import routes

# Minimum number of requests before the proportion is trusted; the computed need
# is then off by a fifth. An engine is away for six seconds, and with this
# number the first burst arrives after the change rather than during it.
MIN_REQUESTS: Final = 20
# Minimum number of requests for each engine. A large site changes many engines
# at once, and prefill lacks an engine that was wrongly given to decode until it
# is back. At two, the need is off by a tenth for 50 engines.
MIN_REQUESTS_PER_ENGINE: Final = 2
# Weight of a new request in the moving averages.
_NEW_WEIGHT: Final = 0.01
# Planned time of the prefill workers as a multiple of the time that prompts
# take. Prompts arrive unevenly, and a queue for prefill adds to the time of the
# first event. Length estimates whose median is right make the computed decode
# work 1.2 times too large.
PREFILL_MARGIN: Final = 1.5
# Part of a decode worker's memory that is in use in a full plan.
FULL_MEMORY_FRACTION: Final = 0.85
# Minimum number of engines of a stage, whatever the load, since one may crash
# or be taken away. Without a prefill worker the decode workers do local
# prefills, during which all of their responses stop.
MIN_PER_STAGE: Final = 2
# Time for which a surplus or a shortage of prefill workers must last, seconds.
# A crashed engine comes back after two to five.
SURPLUS_S: Final = 1.0
SHORTAGE_S: Final = 5.0
# Shortage of prefill that is accepted when an engine is given to decode, as a
# part of an engine. The need includes a margin for prompts that arrive
# unevenly, and decode workers prefill some of those themselves.
ACCEPTED_SHORTAGE: Final = 0.6
# Shortage of prefill above which it gets an engine back, in engines: while
# prompts wait, and otherwise. With a smaller one, an engine that was just given
# to decode would come back as soon as the need changes. It would be away for
# two changes, while callers are refused for lack of its memory.
MAX_SHORTAGE_QUEUED: Final = 0.75
MAX_SHORTAGE: Final = 1.0
# Time after an order in which its engine counts for neither stage, seconds. An
# engine takes six to change, and its list entry is updated a second later.
CHANGING_S: Final = 8.0
# Maximum number of engines that change at a time: this part of all engines, and
# at least this many. Prefill workers in surplus are idle, so their changes cost
# nothing. At two at a time, a site of many engines would meet each burst with a
# part of its memory still unused.
MAX_CHANGING_FRACTION: Final = 0.125
MIN_CHANGING_LIMIT: Final = 2


class Change(msgspec.Struct, frozen=True):
    """An engine that should change to another stage."""

    backend: forwarding.Backend
    stage: forwarding.Stage


class StageBalance:
    """The shares of prefill and decode in the engines of one service."""

    __slots__ = (
        '_changing_until',
        '_mean_memory_time',
        '_mean_output',
        '_request_count',
        '_shortage_since',
        '_surplus_since',
        'mean_prompt_tokens',
    )

    def __init__(self) -> None:
        # Number of recorded requests, and the means of their prompts and
        # responses, tokens.
        self._request_count = 0
        self.mean_prompt_tokens = 0.0
        self._mean_output = 0.0
        # Mean of the memory that a request uses over the time of its response,
        # tokens of memory times tokens of the response. It grows with the
        # square of the response's length.
        self._mean_memory_time = 0.0
        # Until when each engine counts as changing, seconds, by id.
        self._changing_until: dict[str, float] = {}
        # Since when there are too many or too few prefill workers, seconds.
        self._surplus_since: float | None = None
        self._shortage_since: float | None = None

    def record_request(self, prompt_tokens: int, output_tokens: float) -> None:
        """Records a new request: its prompt and expected response, tokens."""
        self._request_count += 1
        weight = max(_NEW_WEIGHT, 1 / self._request_count)
        self.mean_prompt_tokens += weight * (
            prompt_tokens - self.mean_prompt_tokens
        )
        self._mean_output += weight * (output_tokens - self._mean_output)
        memory_time = (prompt_tokens + output_tokens / 2) * output_tokens
        self._mean_memory_time += weight * (
            memory_time - self._mean_memory_time
        )

    def prefill_share(
        self, service: routes.Service, prefill_per_s: float, token_s: float
    ) -> float | None:
        """Returns the part of the engines that should be prefill workers.

        Args:
            service: Memory and slots of an engine.
            prefill_per_s: Prompt tokens that an engine prefills in a second.
            token_s: Time of one token of a response, seconds.

        Returns:
            None while too few requests were recorded.
        """
        if self._request_count < MIN_REQUESTS or not service.kv_tokens:
            return None
        prefill_s = PREFILL_MARGIN * self.mean_prompt_tokens / prefill_per_s
        # Token times of a whole engine that a request costs.
        by_memory = (
            self._mean_memory_time / service.kv_tokens / FULL_MEMORY_FRACTION
        )
        by_slots = self._mean_output / service.slots if service.slots else 0.0
        decode_s = token_s * max(by_memory, by_slots)
        return prefill_s / (prefill_s + decode_s)

    def changes(
        self,
        now: float,
        prefill_share: float | None,
        decoders: Sequence[fleet.ServerState],
        prefillers: Sequence[fleet.ServerState],
        *,
        has_queue: bool = False,
    ) -> tuple[Change, ...]:
        """Returns the changes to order now; none while the need is unclear.

        Args:
            now: Seconds.
            prefill_share: Result of the method `prefill_share`.
            decoders: Decode workers that may get work, best first.
            prefillers: Prefill workers that may get work, best first.
            has_queue: Whether prompts wait at the prefill workers.
        """
        self._remove_expired(now)
        if prefill_share is None:
            return ()
        decoders = [
            t for t in decoders if t.backend.id not in self._changing_until
        ]
        prefillers = [
            t for t in prefillers if t.backend.id not in self._changing_until
        ]
        count = len(decoders) + len(prefillers) + len(self._changing_until)
        max_part = int(MAX_CHANGING_FRACTION * count)
        if self._request_count < MIN_REQUESTS_PER_ENGINE * count:
            return ()
        need = prefill_share * count
        target_count = max(MIN_PER_STAGE, math.ceil(need - ACCEPTED_SHORTAGE))
        surplus = 0 if has_queue else len(prefillers) - target_count
        shortage = need - len(prefillers)
        is_short = shortage > (
            MAX_SHORTAGE_QUEUED if has_queue else MAX_SHORTAGE
        )
        self._surplus_since = _since(self._surplus_since, surplus > 0, now)
        self._shortage_since = _since(self._shortage_since, is_short, now)
        if _lasted(self._surplus_since, now, SURPLUS_S):
            to_decode = min(
                surplus,
                max(MIN_CHANGING_LIMIT, max_part) - len(self._changing_until),
            )
            return _to_stage(prefillers[: max(0, to_decode)], 'decode')
        if (
            _lasted(self._shortage_since, now, SHORTAGE_S)
            and not self._changing_until
        ):
            available = len(decoders) - MIN_PER_STAGE
            # At least one: a small site may be wrong by one engine.
            to_prefill = max(1, min(int(shortage), max_part))
            return _to_stage(
                decoders[: min(to_prefill, max(0, available))], 'prefill'
            )
        return ()

    def record_order(self, now: float, server: str) -> None:
        """Records that an engine was, or may have been, ordered to change."""
        self._changing_until[server] = now + CHANGING_S

    def record_restart(self, server: str) -> None:
        """Records that an engine restarted, which voids earlier orders."""
        self._changing_until.pop(server, None)

    def changing_engines(self, now: float) -> frozenset[str]:
        """Returns the engines that get no work since they are changing."""
        self._remove_expired(now)
        return frozenset(self._changing_until)

    def _remove_expired(self, now: float) -> None:
        for server, until in list(self._changing_until.items()):
            if until <= now:
                del self._changing_until[server]


def _since(since: float | None, holds: bool, now: float) -> float | None:
    """Returns since when a condition holds; None if it does not."""
    if not holds:
        return None
    return now if since is None else since


def _lasted(since: float | None, now: float, span_s: float) -> bool:
    return since is not None and now - since >= span_s


def _to_stage(
    tallies: Sequence[fleet.ServerState], stage: forwarding.Stage
) -> tuple[Change, ...]:
    return tuple(Change(tally.backend, stage) for tally in tallies)
