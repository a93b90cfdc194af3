"""Who waits for a place at a service's engines, and in which order.

Load answered: bursts in which more is asked for than the engines can take. A
request that can still meet its target goes before one that can't: served in
order of arrival, an overload of some seconds would make every request late. One
that was refused and came back counts from when it came first. Its target is
missed, so it makes nobody else late, and it is the first of those that wait for
what is left. Before all others goes a stream that broke: its caller has a part
of the answer, and if it goes on at once the pause is hardly seen.

The time is an argument.
"""

from typing import Final

from foxtaildale import holdings
from foxtaildale import messages
from foxtaildale import room
from foxtaildale import tries

# A waiter that did not ask again for this long has gone, seconds: twice the
# longest time between asks.
WAITER_S: Final = 0.5
# Least time between two tries of one request, seconds; what differs by less is
# one try as two clocks see it.
AGAIN_S: Final = 0.05
# Time between asks of a waiter, milliseconds: the first one's, what each one
# before it adds, and the longest.
AGAIN_MS: Final = 40
AGAIN_STEP_MS: Final = 12
AGAIN_MOST_MS: Final = 250
# Longest time between two grants that is learned from, seconds; a longer one
# means that nobody asked.
BETWEEN_MOST_S: Final = 1.0
# How much a new measurement counts.
_LEARN: Final = 0.1


class Queue:
    """The waiters of one service."""

    __slots__ = ('_between_s', '_granted_at', '_tries', '_waiting')

    def __init__(self) -> None:
        # By request.
        self._waiting: dict[str, holdings.Waiter] = {}
        self._tries = tries.FirstTries()
        # Smoothed time between grants, seconds, and when the last one was.
        self._between_s = 0.0
        self._granted_at = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def get(self, request: str) -> holdings.Waiter | None:
        """Returns a waiter; None if it is not known."""
        return self._waiting.get(request)

    def join(self, now: float, msg: messages.AskPlace) -> holdings.Waiter:
        """Adds a request, behind those that wait for a place."""
        came_at = now - msg.waited_ms / 1000
        first_at = self._tries.came_first(now, msg.digest, came_at)
        came_back = first_at < came_at - AGAIN_S
        waiter = holdings.Waiter(msg, first_at, came_back=came_back)
        waiter.position = self.unplaced()
        self._waiting[msg.request] = waiter
        return waiter

    def leave(self, request: str) -> None:
        """Forgets a waiter; harmless if it is not known."""
        self._waiting.pop(request, None)

    def served(self, digest: int) -> None:
        """Takes the end of a whole answer."""
        self._tries.served(digest)

    def unplaced(self) -> int:
        """Returns how many wait for a place.

        Those that have one and did not ask for it yet are not counted. A waiter
        is told to ask later the more there are before it; with them counted,
        a burst that is over would go on delaying everybody, since some that have
        just got a place are always there.
        """
        return sum(waiter.place is None for waiter in self._waiting.values())

    def ranked(self, now: float, reading_s: float) -> list[holdings.Waiter]:
        """Returns those that wait for a place, first the one that is next.

        Args:
            now: Seconds.
            reading_s: Mean time from a place to a read prompt.
        """
        waiters = [w for w in self._waiting.values() if w.place is None]
        waiters.sort(key=lambda waiter: _rank(now, waiter, reading_s))
        return waiters

    def granted(self, now: float) -> None:
        """Learns how fast places are given."""
        between_s = min(now - self._granted_at, BETWEEN_MOST_S)
        self._granted_at = now
        self._between_s += _LEARN * (between_s - self._between_s)

    def told(self, waiter: holdings.Waiter) -> messages.Queued:
        """Returns what a waiter is told."""
        again_ms = AGAIN_MS + AGAIN_STEP_MS * waiter.position
        return messages.Queued(
            again_in_ms=min(again_ms, AGAIN_MOST_MS),
            position=waiter.position,
            wait_ms=int(waiter.position * self._between_s * 1000),
            came_back=waiter.came_back,
            short_of=waiter.short_of,
        )

    def expire(self, now: float) -> list[holdings.Waiter]:
        """Forgets waiters that stopped asking; returns them."""
        gone = [
            waiter
            for waiter in self._waiting.values()
            if now - waiter.asked_at > WAITER_S
        ]
        for waiter in gone:
            del self._waiting[waiter.msg.request]
        return gone


def _rank(
    now: float, waiter: holdings.Waiter, reading_s: float
) -> tuple[bool, bool, int, float, str]:
    msg = waiter.msg
    age_s = now - waiter.arrived_at
    late = room.too_late(age_s, msg.target_ms / 1000, reading_s)
    rest = msg.priority, waiter.arrived_at, msg.request
    return not msg.started, late, *rest
