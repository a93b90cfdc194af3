"""Requests that wait for a grant, oldest first.

A waiter is an entry in this table and nothing else: no connection is held and
no reply is owed. Its entry asks again at the time it was told; one that does
not is forgotten, so a dead entry's requests do not stand in the way.
"""

from typing import Final

# A waiter that is this late to ask again is forgotten, seconds.
_LATE_S: Final = 1.0


class Waiter:
    """One waiting request."""

    __slots__ = ('arrived_at', 'due_at', 'prompt_tokens', 'request')

    request: str
    # When the request reached its entry VM, on the home's clock; its rank.
    arrived_at: float
    # When it is expected to ask again.
    due_at: float
    prompt_tokens: int

    def __init__(
        self, request: str, arrived_at: float, due_at: float, prompt_tokens: int
    ) -> None:
        self.request = request
        self.arrived_at = arrived_at
        self.due_at = due_at
        self.prompt_tokens = prompt_tokens


class Waiting:
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
        """Lets a request wait; one that waits already keeps its rank."""
        waiter = self._waiters.get(request)
        if waiter is None:
            waiter = Waiter(request, arrived_at, due_at, prompt_tokens)
            self._waiters[request] = waiter
        waiter.due_at = due_at

    def drop(self, request: str) -> None:
        """Forgets a request; harmless if it does not wait."""
        self._waiters.pop(request, None)

    def ahead(self, request: str, arrived_at: float) -> tuple[int, int]:
        """Returns how many requests and prompt tokens stand before one."""
        waiter = self._waiters.get(request)
        rank = (waiter.arrived_at if waiter else arrived_at, request)
        tokens = [
            other.prompt_tokens
            for other in self._waiters.values()
            if (other.arrived_at, other.request) < rank
        ]
        return len(tokens), sum(tokens)

    def expire(self, now: float) -> None:
        """Forgets waiters whose entries did not ask again."""
        late = [
            waiter.request
            for waiter in self._waiters.values()
            if waiter.due_at + _LATE_S <= now
        ]
        for request in late:
            del self._waiters[request]
