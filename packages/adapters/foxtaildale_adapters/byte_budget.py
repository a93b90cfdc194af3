"""Limits the memory of the bodies that a VM holds at once.

Requests of callers and responses of backend servers share one budget. A small
body needs no part of it: the number of threads bounds how many there are. What
callers send may use a part only, so that responses to requests that have run
can still be read.

The length of a request is known in advance or grows in small steps, and it is
refused if there is no room. A response has run already. If there is no room for
more of it, the largest response that is being read is revoked in its favour, so
that bodies without end take nothing from shorter ones. A response that was read
completely is not revoked. What was revoked is in use until its thread drops it; a
response waits for that for a moment if the memory does not suffice meanwhile.
"""

from collections.abc import Callable
import threading
import time
import types
from typing import Final
from typing import Self

# Largest body that needs no part of the budget, bytes.
SMALL_BYTES: Final = 64 * 1024
# Unit in which a growing body takes parts of the budget, bytes.
STEP_BYTES: Final = 64 * 1024
# Part of the memory of the VM that bodies may use.
MEMORY_FRACTION: Final = 0.3
# Part of the budget that requests may use. A single one may use all of it, as
# it could otherwise never be served.
REQUEST_FRACTION: Final = 0.6
# Part of the budget by which it may be exceeded until a response that was
# revoked is dropped.
EXCESS_FRACTION: Final = 0.25
# Longest time for which a response waits until others that were revoked are dropped,
# seconds.
RELEASE_WAIT_S: Final = 1.0
# Number of copies that exist while the chunks of a body are joined, or while a
# response is sent behind its head.
_COPIES: Final = 2


class Reservation:
    """The part of a budget that one body uses; release it in every case.

    One thread uses it. It is a context manager that releases the part.
    """

    __slots__ = (
        '_budget',
        'is_revocable',
        'length',
        'on_revoked',
        'refused',
        'revoked',
        'size',
    )

    def __init__(
        self, budget: 'ByteBudget', on_revoked: Callable[[], None] | None
    ) -> None:
        self._budget = budget
        # Ends the read; None for a request.
        self.on_revoked = on_revoked
        # Whether the body is a response that is being read.
        self.is_revocable = on_revoked is not None
        self.revoked = False
        # Whether there was no room for more of the body.
        self.refused = False
        # Length of the body so far, bytes.
        self.length = 0
        # The part in use, bytes.
        self.size = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        self.release()

    def reserve(self, length: int) -> bool:
        """Reserves a body of a known length, bytes; returns whether it fits."""
        self.length = length
        return length <= SMALL_BYTES or self._budget.resize(self, length)

    def grow(self, length: int) -> bool:
        """Reserves what a body that is read in chunks needs.

        Args:
            length: Length of the chunks so far, bytes.

        Returns:
            False if there is no room, or if the body was revoked.
        """
        self.length = length
        if self.revoked:
            return False
        if length <= SMALL_BYTES or _COPIES * length <= self.size:
            return True
        steps = -(-_COPIES * length // STEP_BYTES)
        return self._budget.resize(self, steps * STEP_BYTES)

    def keep(self) -> None:
        """Keeps the part of a response that was read completely."""
        self._budget.keep(self)

    def was_refused(self) -> bool:
        """Whether there was no room for more of the body, or it was revoked."""
        return self.refused or self.revoked

    def release(self) -> None:
        """Returns the part; may be called more than once."""
        if self.size:
            self._budget.release(self)


class ByteBudget:
    """Bytes of the bodies under way; safe for concurrent use.

    Args:
        limit: Size of the budget, bytes.
    """

    __slots__ = (
        '_lock',
        '_released',
        '_request_bytes',
        '_responses',
        '_revoked_bytes',
        'limit',
        'used',
    )

    def __init__(self, limit: float) -> None:
        self._lock = threading.Lock()
        # Notified when bytes are returned.
        self._released = threading.Condition(self._lock)
        self.limit = limit
        # Bytes in use, of which requests use `_request_bytes`, and responses
        # that were revoked and not released yet `_revoked_bytes`.
        self.used = 0
        self._request_bytes = 0
        self._revoked_bytes = 0
        # Responses that are being read and were not revoked.
        self._responses: set[Reservation] = set()

    def for_request(self) -> Reservation:
        """Returns an empty reservation for the body of a request."""
        return Reservation(self, None)

    def for_response(self, on_revoked: Callable[[], None]) -> Reservation:
        """Returns an empty reservation for the body of a response.

        Args:
            on_revoked: Ends the read of the body. Any thread may call it, at
                most once; it must not block.
        """
        return Reservation(self, on_revoked)

    def resize(self, held: Reservation, size: int) -> bool:
        """Changes the size of a reservation, if there is room.

        A response may wait for that, for `RELEASE_WAIT_S` at most.
        """
        if held.is_revocable:
            return self._resize_response(held, size)
        with self._lock:
            added = size - held.size
            held.refused = not self._has_room(added)
            if not held.refused:
                self.used += added
                self._request_bytes += added
                held.size = size
        return not held.refused

    def _resize_response(self, held: Reservation, size: int) -> bool:
        deadline = time.monotonic() + RELEASE_WAIT_S
        while True:
            with self._lock:
                added = size - held.size
                revoked = self._make_room(held, added)
                fits = revoked is not None and self._fits(added)
                held.refused = revoked is None
                if fits:
                    self.used += added
                    held.size = size
                    self._responses.add(held)
            for other in revoked or ():
                if other.on_revoked is not None:
                    other.on_revoked()
            if fits or held.refused:
                return fits
            if not self._wait_for_release(held, added, deadline):
                held.refused = True
                return False

    def _wait_for_release(
        self, held: Reservation, added: int, deadline: float
    ) -> bool:
        """Waits until some more bytes fit, or the response was revoked."""
        with self._released:
            return self._released.wait_for(
                lambda: held.revoked or self._fits(added),
                deadline - time.monotonic(),
            )

    def _fits(self, added: int) -> bool:
        """Whether responses may use some more bytes now."""
        return self.used + added <= self.limit * (1 + EXCESS_FRACTION)

    def keep(self, held: Reservation) -> None:
        """No longer revokes a reservation."""
        with self._lock:
            held.is_revocable = False
            self._responses.discard(held)

    def release(self, held: Reservation) -> None:
        """Returns all bytes of a reservation."""
        with self._lock:
            self.used -= held.size
            if held.on_revoked is None:
                self._request_bytes -= held.size
            elif held.revoked:
                self._revoked_bytes -= held.size
            self._responses.discard(held)
            held.size = 0
            self._released.notify_all()

    def _has_room(self, added: int) -> bool:
        """Whether a request may use some more bytes."""
        if self.used + added > self.limit:
            return False
        in_use = self._request_bytes
        return not in_use or in_use + added <= REQUEST_FRACTION * self.limit

    def _make_room(
        self, held: Reservation, added: int
    ) -> list[Reservation] | None:
        """Revokes larger responses as far as some more bytes need it.

        Returns:
            Those that were revoked; None if there is no room, and none was.
        """
        if held.revoked:
            return None
        missing = self.used - self._revoked_bytes + added - self.limit
        if missing <= 0:
            return []
        larger = [
            other
            for other in self._responses
            if other is not held and other.size > held.size + added
        ]
        larger.sort(key=lambda other: other.size, reverse=True)
        revoked = []
        for other in larger:
            revoked.append(other)
            missing -= other.size
            if missing <= 0:
                break
        else:
            return None
        for other in revoked:
            other.revoked = True
            self._revoked_bytes += other.size
            self._responses.discard(other)
        if revoked:
            # One of them may wait for room.
            self._released.notify_all()
        return revoked
