"""Releases engine resources that requests no longer need.

A background thread sends the releases, so that responses to callers do not wait
for them. Resources that are not released in time expire at the engine.
"""

import logging
import queue
import threading
from typing import Final

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale_adapters import logs

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
        self._queue: queue.Queue[_Resource] = queue.Queue(MAX_QUEUED)

    def start(self) -> None:
        """Starts the background thread."""
        threading.Thread(target=self._run, name='tidy', daemon=True).start()

    def release_reservation(self, reserved: forwarding.Reserved) -> None:
        """Queues the release of a reservation."""
        self._put(reserved)

    def release_prefill(self, prefilled: forwarding.Prefilled) -> None:
        """Queues the release of a prefilled prompt."""
        self._put(prefilled)

    def _put(self, resource: _Resource) -> None:
        try:
            self._queue.put_nowait(resource)
        except queue.Full:
            logs.event(
                logging.WARNING, 'left to lapse', server=resource.worker.id
            )

    def _run(self) -> None:
        while True:
            resource = self._queue.get()
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
