"""Cancels work at engines until each cancel has been acknowledged.

A lost cancel would leave the KV cache or the stream of a disconnected caller in
the memory of an engine. The reaper would not remove it, since its holder is
alive. A cancel is therefore repeated until the engine has replied or is no
longer in the VM list.
"""

import collections
from collections.abc import Callable
import threading
from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import ports

# Maximum number of queued cancels. Beyond it the oldest cancel is removed, and
# the engine releases its memory only after its own timeouts.
_MAX_QUEUED: Final = 10_000
# Delay before a failed cancel is sent again, seconds.
_RETRY_DELAY_S: Final = 0.5


class Cancel(msgspec.Struct, frozen=True):
    """A request to one engine to cancel work."""

    address: str
    req: backends.CancelReq
    # Earliest time to send it; seconds, monotonic.
    due_at: float


class CancelQueue:
    """Queue of cancels; a loop of the entry server runs `send_due`."""

    __slots__ = ('_clock', '_engines', '_lock', '_queue', 'on_added')

    _engines: ports.Engines
    _clock: ports.Clock
    _queue: collections.deque[Cancel]
    _lock: threading.Lock
    # Called after a cancel has been added.
    on_added: Callable[[], None]

    def __init__(self, engines: ports.Engines, clock: ports.Clock) -> None:
        self._engines = engines
        self._clock = clock
        self._queue = collections.deque(maxlen=_MAX_QUEUED)
        self._lock = threading.Lock()
        self.on_added = lambda: None

    def add(
        self, address: str, req: backends.CancelReq, delay_s: float = 0.0
    ) -> None:
        """Queues a cancel to be sent after a delay in seconds.

        Does not wait until it is sent.
        """
        with self._lock:
            due_at = self._clock() + delay_s
            self._queue.append(Cancel(address, req, due_at))
        self.on_added()

    def remove_request(self, request: str) -> None:
        """Removes the cancels of a request whose caller has retried."""
        with self._lock:
            self._retain(lambda cancel: cancel.req.request != request)

    def send_due(self) -> None:
        """Sends each cancel that is due once.

        After an engine has failed one cancel, its other cancels are postponed
        to a later call. An engine that hangs would otherwise delay the cancels
        for all other engines by one timeout for each of its own.
        """
        with self._lock:
            now = self._clock()
            due = [cancel for cancel in self._queue if cancel.due_at <= now]
            self._retain(lambda cancel: cancel.due_at > now)
        failed_addresses: set[str] = set()
        for cancel in due:
            if cancel.address not in failed_addresses and self._send(cancel):
                continue
            failed_addresses.add(cancel.address)
            retry = msgspec.structs.replace(
                cancel, due_at=self._clock() + _RETRY_DELAY_S
            )
            with self._lock:
                self._queue.append(retry)

    def remove_unlisted(self, listed: frozenset[str]) -> None:
        """Removes cancels for engines that are no longer listed."""
        with self._lock:
            self._retain(lambda cancel: cancel.address in listed)

    def __len__(self) -> int:
        return len(self._queue)

    def _retain(self, predicate: Callable[[Cancel], bool]) -> None:
        retained = [cancel for cancel in self._queue if predicate(cancel)]
        self._queue.clear()
        self._queue.extend(retained)

    def _send(self, cancel: Cancel) -> bool:
        try:
            self._engines.cancel(cancel.address, cancel.req)
        except errors.RejectedError:
            return True
        except errors.PortError:
            return False
        return True
