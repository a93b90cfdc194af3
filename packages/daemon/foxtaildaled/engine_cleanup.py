"""Releases engine resources that requests no longer need.

A background thread sends the releases, so that responses to callers do not wait
for them. Resources that are not released in time expire at the engine.
"""

import logging
from typing import Final

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import background_queue

# Maximum number of queued releases. Further resources are left to expire at
# the engine, which takes two seconds at most.
MAX_QUEUED: Final = 200

_Resource = forwarding.Reserved | forwarding.Prefilled


class EngineCleanup:
    """Releases reservations and prefilled prompts in the background.

    Implements `ports.ResourceReleaser`.
    """

    __slots__ = ('_queue', '_workers')

    def __init__(self, workers: ports.ServerClient) -> None:
        self._workers = workers
        self._queue: background_queue.BackgroundQueue[_Resource] = (
            background_queue.BackgroundQueue('tidy', MAX_QUEUED, self._release)
        )

    def start(self) -> None:
        """Starts the background thread."""
        self._queue.start()

    def close(self, timeout_s: float) -> int:
        """Releases what is queued; returns how many were left to expire.

        Args:
            timeout_s: Time for that, seconds.
        """
        return self._queue.close(timeout_s)

    def release_reservation(self, reserved: forwarding.Reserved) -> None:
        """Queues the release of a reservation."""
        self._put(reserved)

    def release_prefill(self, prefilled: forwarding.Prefilled) -> None:
        """Queues the release of a prefilled prompt."""
        self._put(prefilled)

    def _put(self, resource: _Resource) -> None:
        if not self._queue.put(resource):
            logs.event(
                logging.WARNING, 'left to lapse', server=resource.worker.id
            )

    def _release(self, resource: _Resource) -> None:
        try:
            if isinstance(resource, forwarding.Reserved):
                self._workers.release_reservation(resource)
            else:
                self._workers.release_prefill(resource)
        except errors.PortError as exc:
            logs.event(
                logging.INFO,
                'left to lapse',
                server=resource.worker.id,
                error=str(exc),
            )
