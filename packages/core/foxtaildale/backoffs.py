"""Backend servers that asked for backoff.

A server that turns a request away may say for how long it wants nothing from the
entry VM that sent it. That VM sends it nothing meanwhile. The others are told and
prefer other servers, but are not bound: one VM may have been turned away alone.

Nothing here does I/O; the time is an argument.
"""

from collections.abc import Mapping
from typing import Final

# Servers that are remembered; those whose time ends first go first.
MOST: Final = 4096
# Longest time that a server is left alone for one answer, seconds. One request
# then finds out whether it still wants that.
MOST_S: Final = 300.0
# Word of another VM that ends less than this later than what is known is none,
# seconds: the way between two VMs would lengthen it each time.
_SLACK_S: Final = 0.5

# When the server started, Unix milliseconds, and for how much longer, seconds.
Word = tuple[int, float]


class Backoffs:
    """What one entry VM knows of them."""

    __slots__ = ('_own', '_told')

    def __init__(self) -> None:
        # By server: its start, and when the time is over. As it told this VM, and
        # as it told others.
        self._own: dict[str, tuple[int, float]] = {}
        self._told: dict[str, tuple[int, float]] = {}

    def asked(
        self, now: float, server: str, born: int, backoff_s: float
    ) -> bool:
        """Takes what a server asked of this VM.

        Returns:
            Whether it was not left alone by this VM before.
        """
        new = not self.own_s(now, server, born)
        _put(self._own, now, server, born, now + min(backoff_s, MOST_S))
        return new

    def own_s(self, now: float, server: str, born: int) -> float:
        """Returns for how long this VM sends a server nothing, seconds."""
        return _left_s(self._own, now, server, born)

    def told_s(self, now: float, server: str, born: int) -> float:
        """Returns for how long others send a server nothing, seconds."""
        return _left_s(self._told, now, server, born)

    def take(self, now: float, words: Mapping[str, Word]) -> None:
        """Takes what another entry VM knows."""
        for server, (born, left_s) in words.items():
            until = now + min(left_s, MOST_S)
            known = self._told.get(server, (-1, 0.0))
            if born > known[0] or until > known[1] + _SLACK_S:
                _put(self._told, now, server, born, until)

    def words(self, now: float) -> dict[str, Word]:
        """Returns what is known here, for another entry VM."""
        found: dict[str, Word] = {}
        for known in (self._told, self._own):
            for server, (born, until) in list(known.items()):
                word = (born, until - now)
                if until <= now:
                    del known[server]
                elif word > found.get(server, (-1, 0.0)):
                    found[server] = word
        return found


def _put(
    known: dict[str, tuple[int, float]],
    now: float,
    server: str,
    born: int,
    until: float,
) -> None:
    before = known.get(server, (-1, 0.0))
    if before[0] > born:
        return
    if before[0] == born:
        until = max(until, before[1])
    known[server] = (born, until)
    if len(known) > MOST:
        over = [name for name, (_, at) in known.items() if at <= now]
        first = min(known, key=lambda name: known[name][1])
        for name in over or [first]:
            del known[name]


def _left_s(
    known: Mapping[str, tuple[int, float]], now: float, server: str, born: int
) -> float:
    found = known.get(server)
    if found is None or found[0] < born:
        return 0.0
    return max(0.0, found[1] - now)
