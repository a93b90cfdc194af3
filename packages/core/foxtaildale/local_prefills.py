"""When a decode worker prefills a prompt itself.

Local prefills are for the time after one of two prefill workers crashes or
leaves in a burst. The other one can prefill only half of the arriving prompts;
requests wait for it, with half of the decode memory free, until an engine has
changed its stage about fifteen seconds later. A decode worker prefills at half
the speed of a prefill worker, between the tokens of its responses, and all of
those stop meanwhile. A decode worker therefore prefills one prompt at a time,
only a prompt so short that no caller notices the pause, and only while the
prefill workers are busy for longer than their limit.

The time is an argument.
"""

from typing import Final

# Prefill speed of a decode worker relative to a prefill worker. Engines do not
# report it; half is the value in their protocol.
RELATIVE_SPEED: Final = 0.5
# Part of the maximum pause between events that may be spent on a local prefill
# and on the tokens of the event that it delays.
PAUSE_PART: Final = 0.8
# Maximum number of remembered workers; those with the latest local prefills
# stay.
_MAX_WORKERS: Final = 256


class LocalPrefills:
    """Local prefills of one service's decode workers."""

    __slots__ = ('_free_at',)

    def __init__(self) -> None:
        # When each may do the next local prefill, seconds, by id.
        self._free_at: dict[str, float] = {}

    def forget(self, server: str) -> None:
        """Discards what is known of a server that has restarted."""
        self._free_at.pop(server, None)

    def busy_workers(self, now: float) -> frozenset[str]:
        """Returns the workers that may not prefill a prompt now."""
        return frozenset(
            worker for worker, free_at in self._free_at.items() if now < free_at
        )

    def record(
        self, now: float, worker: str, prefill_s: float, gap_s: float
    ) -> None:
        """Records a local prefill, which pauses the worker's responses.

        Args:
            now: Seconds.
            worker: Its id.
            prefill_s: Time of the prefill, seconds.
            gap_s: Maximum pause between events; the next local prefill must not
                fall into the same pause.
        """
        self._free_at.pop(worker, None)
        self._free_at[worker] = now + prefill_s + gap_s
        if len(self._free_at) > _MAX_WORKERS:
            del self._free_at[next(iter(self._free_at))]


def local_prefill_s(prompt_tokens: int, tokens_per_s: float) -> float:
    """Returns how long a decode worker prefills a prompt, seconds.

    Args:
        prompt_tokens: Tokens.
        tokens_per_s: Speed of a prefill worker, prompt tokens a second.
    """
    return prompt_tokens / (RELATIVE_SPEED * tokens_per_s)


def is_unnoticed(prefill_s: float, event_s: float, gap_s: float) -> bool:
    """Whether callers of the worker's other responses notice no pause.

    Args:
        prefill_s: Time of the prefill, seconds.
        event_s: Time of the tokens of one event, seconds.
        gap_s: Maximum pause between events that meets the target, seconds.
    """
    return prefill_s + event_s <= PAUSE_PART * gap_s
