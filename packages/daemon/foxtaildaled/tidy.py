"""Gives back what engines keep for requests that no longer need it.

One thread does it behind the requests' backs: a caller's answer must not wait
for it. What can't be given back within the bound lapses at the engine itself.
"""

import logging
import queue
import threading
from typing import Final

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale_adapters import logs

# Things that may wait; more are left to lapse, within two seconds at most.
QUEUE_LIMIT: Final = 200

_Thing = forwarding.Reserved | forwarding.Prefilled


class Tidy:
    """Implements `ports.Tidy`."""

    __slots__ = ('_queue', '_workers')

    def __init__(self, workers: ports.Workers) -> None:
        self._workers = workers
        self._queue: queue.Queue[_Thing] = queue.Queue(QUEUE_LIMIT)

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(target=self._run, name='tidy', daemon=True).start()

    def release(self, reserved: forwarding.Reserved) -> None:
        """Gives up a reservation."""
        self._put(reserved)

    def free(self, prefilled: forwarding.Prefilled) -> None:
        """Frees a prefilled prompt."""
        self._put(prefilled)

    def _put(self, thing: _Thing) -> None:
        try:
            self._queue.put_nowait(thing)
        except queue.Full:
            logs.event(logging.WARNING, 'left to lapse', server=thing.worker.id)

    def _run(self) -> None:
        while True:
            thing = self._queue.get()
            try:
                if isinstance(thing, forwarding.Reserved):
                    self._workers.release(thing)
                else:
                    self._workers.free(thing)
            except errors.PortError as exc:
                logs.event(
                    logging.INFO,
                    'left to lapse',
                    server=thing.worker.id,
                    error=str(exc),
                )
