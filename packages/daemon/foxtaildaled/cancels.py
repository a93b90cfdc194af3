"""Cancels work at engines until each cancel has been acknowledged.

A cancel that is lost would leave a gone caller's KV cache or stream in an
engine's memory, and the reaper can't help: the holder is alive. So a cancel is
repeated until the engine has answered, or has left the VM list.
"""

import collections
from collections.abc import Callable
import threading
from typing import Final

import msgspec

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import ports

# Cancels that wait, at most; beyond it the oldest go, and the engine's own
# time-outs must do.
_WAITING_MAX: Final = 10_000
# Time between two tries at an engine that failed, seconds.
_AGAIN_S: Final = 0.5


class Cancel(msgspec.Struct, frozen=True):
    """One cancel for one engine."""

    address: str
    req: backends.CancelReq
    # Not to be sent earlier; seconds, monotonic.
    due_at: float


class Cancels:
    """Queue of cancels; `step` is a loop of the entry."""

    __slots__ = ('_clock', '_engines', '_lock', '_waiting', 'wake')

    _engines: ports.Engines
    _clock: ports.Clock
    _waiting: collections.deque[Cancel]
    _lock: threading.Lock
    # Called when there is a new cancel.
    wake: Callable[[], None]

    def __init__(self, engines: ports.Engines, clock: ports.Clock) -> None:
        self._engines = engines
        self._clock = clock
        self._waiting = collections.deque(maxlen=_WAITING_MAX)
        self._lock = threading.Lock()
        self.wake = lambda: None

    def add(
        self, address: str, req: backends.CancelReq, after_s: float = 0.0
    ) -> None:
        """Takes a cancel to be sent after a while; returns at once."""
        with self._lock:
            due_at = self._clock() + after_s
            self._waiting.append(Cancel(address, req, due_at))
        self.wake()

    def drop(self, request: str) -> None:
        """Drops the cancels of a request whose caller has come back."""
        with self._lock:
            self._keep(lambda cancel: cancel.req.request != request)

    def step(self) -> None:
        """Tries each waiting cancel once.

        An engine that fails one is not asked again in this step, and the rest
        for it wait: one that hangs would otherwise hold up the cancels for all
        others by its time-out for each of its own.
        """
        with self._lock:
            now = self._clock()
            batch = [c for c in self._waiting if c.due_at <= now]
            self._keep(lambda cancel: cancel.due_at > now)
        failed: set[str] = set()
        for cancel in batch:
            if cancel.address not in failed and self._try(cancel):
                continue
            failed.add(cancel.address)
            again = msgspec.structs.replace(
                cancel, due_at=self._clock() + _AGAIN_S
            )
            with self._lock:
                self._waiting.append(again)

    def forget(self, listed: frozenset[str]) -> None:
        """Drops cancels for engines that are no longer listed."""
        with self._lock:
            self._keep(lambda cancel: cancel.address in listed)

    def __len__(self) -> int:
        return len(self._waiting)

    def _keep(self, wanted: Callable[[Cancel], bool]) -> None:
        kept = [cancel for cancel in self._waiting if wanted(cancel)]
        self._waiting.clear()
        self._waiting.extend(kept)

    def _try(self, cancel: Cancel) -> bool:
        try:
            self._engines.cancel(cancel.address, cancel.req)
        except errors.RejectedError:
            return True
        except errors.PortError:
            return False
        return True
