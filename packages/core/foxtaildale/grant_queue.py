"""Requests that wait for a grant, oldest first.

A waiter is only an entry in this table: no connection stays open and no reply
is outstanding. Its entry VM polls again at the time that it was given. A waiter
that is not polled for is removed, so that the requests of a crashed entry VM do
not block the others.
"""

from typing import Final

# Delay of a poll after which its waiter is removed, seconds.
_MAX_DELAY_S: Final = 1.0


class Waiter:
    """One waiting request."""

    __slots__ = ('arrived_at', 'due_at', 'prompt_tokens', 'request')

    request: str
    # When the request reached its entry VM, on the coordinator's clock; waiters
    # are ordered by it.
    arrived_at: float
    # When the next poll is expected.
    due_at: float
    prompt_tokens: int

    def __init__(
        self, request: str, arrived_at: float, due_at: float, prompt_tokens: int
    ) -> None:
        self.request = request
        self.arrived_at = arrived_at
        self.due_at = due_at
        self.prompt_tokens = prompt_tokens


class GrantQueue:
    """The waiting requests of one pool."""

    __slots__ = ('_waiters',)

    _waiters: dict[str, Waiter]

    def __init__(self) -> None:
        self._waiters = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def __contains__(self, request: str) -> bool:
        return request in self._waiters

    def put(
        self, request: str, arrived_at: float, due_at: float, prompt_tokens: int
    ) -> None:
        """Adds a request; one that waits already keeps its rank."""
        waiter = self._waiters.get(request)
        if waiter is None:
            waiter = Waiter(request, arrived_at, due_at, prompt_tokens)
            self._waiters[request] = waiter
        waiter.due_at = due_at

    def remove(self, request: str) -> None:
        """Removes a request; does nothing if it does not wait."""
        self._waiters.pop(request, None)

    def count_ahead(self, request: str, arrived_at: float) -> tuple[int, int]:
        """Returns how many requests and prompt tokens are ahead of one."""
        waiter = self._waiters.get(request)
        rank = (waiter.arrived_at if waiter else arrived_at, request)
        tokens = [
            other.prompt_tokens
            for other in self._waiters.values()
            if (other.arrived_at, other.request) < rank
        ]
        return len(tokens), sum(tokens)

    def expire(self, now: float) -> None:
        """Removes waiters whose entry VMs did not poll again."""
        expired = [
            waiter.request
            for waiter in self._waiters.values()
            if waiter.due_at + _MAX_DELAY_S <= now
        ]
        for request in expired:
            del self._waiters[request]
