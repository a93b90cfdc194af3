"""Requests of one entry VM that wait for a placement at a decode worker.

Only the most urgent waiting request of a service contacts the workers. Thus the
requests of a burst do not all request the same placement, and none of them
overtakes a more urgent one.
"""

import threading
from typing import Final

from foxtaildale import wait_limits
from foxtaildaled import routed_request

# Time between two attempts while every worker is full, seconds. At a full site
# of five workers, a placement is released about every 0.2 s.
ATTEMPT_INTERVAL_S: Final = 0.06


class LocalQueue:
    """The waiting requests of each service."""

    __slots__ = ('_changed', '_waiting')

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._waiting: dict[str, list[routed_request.RoutedRequest]] = {}

    def join(self, req: routed_request.RoutedRequest) -> None:
        """Adds a request to the queue of its service."""
        with self._changed:
            self._waiting.setdefault(req.service.name, []).append(req)

    def leave(self, req: routed_request.RoutedRequest) -> None:
        """Removes a request and wakes the waiting ones."""
        with self._changed:
            self._waiting[req.service.name].remove(req)
            self._changed.notify_all()

    def notify_released(self) -> None:
        """Wakes the waiting requests, so that the first one retries."""
        with self._changed:
            self._changed.notify_all()

    def is_first(self, req: routed_request.RoutedRequest) -> bool:
        """Returns whether this request is the most urgent of its service."""
        with self._changed:
            return min(self._waiting[req.service.name], key=_sort_key) is req

    def wait_for_change(self) -> None:
        """Waits until the queue changes or the next attempt is due."""
        with self._changed:
            self._changed.wait(ATTEMPT_INTERVAL_S)


def _sort_key(req: routed_request.RoutedRequest) -> tuple[bool, int, float]:
    late = wait_limits.misses_target(req.age_s(), req.route.target_s)
    return late, req.route.priority, req.started_at
