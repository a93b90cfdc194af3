"""Requests of one entry VM that wait for a place at a decode worker.

One of them asks the workers at a time, the most urgent first, so that a burst
neither asks for the same place many times over nor overtakes itself.
"""

import threading
from typing import Final

from foxtaildale import room
from foxtaildaled import passage

# Time between two tries while every worker is full, seconds. A place comes
# free about every 0.2 s at a full site of five workers.
TRY_S: Final = 0.06


class Line:
    """Waiting requests, by service."""

    __slots__ = ('_changed', '_waiting')

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._waiting: dict[str, list[passage.Passage]] = {}

    def join(self, req: passage.Passage) -> None:
        """Adds a request."""
        with self._changed:
            self._waiting.setdefault(req.service.name, []).append(req)

    def leave(self, req: passage.Passage) -> None:
        """Removes a request; the next may try at once."""
        with self._changed:
            self._waiting[req.service.name].remove(req)
            self._changed.notify_all()

    def place_freed(self) -> None:
        """Lets the first try at once."""
        with self._changed:
            self._changed.notify_all()

    def is_first(self, req: passage.Passage) -> bool:
        """Whether no waiting request of the service goes before this one."""
        with self._changed:
            return min(self._waiting[req.service.name], key=_rank) is req

    def pause(self) -> None:
        """Waits until something changed or it is time to try again."""
        with self._changed:
            self._changed.wait(TRY_S)


def _rank(req: passage.Passage) -> tuple[bool, int, float]:
    late = room.too_late(req.age_s(), req.route.target_s)
    return late, req.route.priority, req.started_at
