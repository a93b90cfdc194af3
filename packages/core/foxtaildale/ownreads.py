"""When a decode worker reads a prompt itself.

Load answered: a prefill worker of two crashes or leaves in a burst. The other
one reads half of what comes; requests wait at it, while half of the decode
memory is free, until an engine has changed its stage some fifteen seconds
later. A decode worker reads as well, at half the speed, between the tokens of
its answers, and all of those stand still meanwhile. So one prompt at a time,
only one so short that no caller sees a pause, and only where the prefill
workers are busy for longer than their bound.

The time is an argument.
"""

from typing import Final

# Speed of a decode worker at a prompt, against a prefill worker's. Engines tell
# no figure of it; half is what their protocol says.
SPEED: Final = 0.5
# Part of the longest pause between events that a prompt may take, together with
# the event whose tokens it stands between.
PAUSE_PART: Final = 0.8
# Workers remembered; those that read last.
_MOST: Final = 256


class OwnReads:
    """The decode workers of one service that read now."""

    __slots__ = ('_free_at',)

    def __init__(self) -> None:
        # When each may read again, seconds, by id.
        self._free_at: dict[str, float] = {}

    def forget(self, server: str) -> None:
        """Forgets a server that started again."""
        self._free_at.pop(server, None)

    def busy(self, now: float) -> frozenset[str]:
        """Returns the workers that may not read a prompt now."""
        return frozenset(
            worker for worker, at in self._free_at.items() if now < at
        )

    def give(
        self, now: float, worker: str, took_s: float, gap_s: float
    ) -> None:
        """Notes that a worker reads, and that its callers saw a pause.

        Args:
            now: Seconds.
            worker: Its id.
            took_s: Time of the prompt, seconds.
            gap_s: Longest pause between events; the next prompt must not
                stand in the same one.
        """
        self._free_at.pop(worker, None)
        self._free_at[worker] = now + took_s + gap_s
        if len(self._free_at) > _MOST:
            del self._free_at[next(iter(self._free_at))]


def read_s(prompt: int, per_s: float) -> float:
    """Returns how long a decode worker reads a prompt, seconds.

    Args:
        prompt: Tokens.
        per_s: Prompt tokens that a prefill worker reads in a second.
    """
    return prompt / (SPEED * per_s)


def unseen(read_s: float, event_s: float, gap_s: float) -> bool:
    """Whether callers of the worker's other answers see no pause.

    Args:
        read_s: Time of the prompt, seconds.
        event_s: Time of the tokens of one event, seconds.
        gap_s: Longest pause between events that is on time, seconds.
    """
    return read_s + event_s <= PAUSE_PART * gap_s
