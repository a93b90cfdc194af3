"""Handles queued items one by one in a background thread."""

from collections.abc import Callable
import queue
import threading
from typing import Generic
from typing import TypeVar

_Item = TypeVar('_Item')


class BackgroundQueue(Generic[_Item]):
    """A bounded queue with its thread; safe for concurrent use."""

    __slots__ = ('_closing', '_handle', '_items', '_lock', '_thread')

    def __init__(
        self, name: str, max_items: int, handle: Callable[[_Item], None]
    ) -> None:
        """Creates the queue without starting its thread.

        Args:
            name: Name of the thread.
            max_items: Maximum number of queued items.
            handle: Called with each item, in the order of the queue.
        """
        self._handle = handle
        # None ends the thread.
        self._items: queue.Queue[_Item | None] = queue.Queue(max_items)
        # Guards `_closing`: nothing may be queued behind the item that ends the
        # thread.
        self._lock = threading.Lock()
        self._closing = False
        self._thread = threading.Thread(
            target=self._run, name=name, daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def put(self, item: _Item) -> bool:
        """Queues an item; False if the queue is full or closed."""
        with self._lock:
            if self._closing:
                return False
            try:
                self._items.put_nowait(item)
            except queue.Full:
                return False
        return True

    def close(self, timeout_s: float) -> int:
        """Ends the thread once it has handled what is queued.

        Args:
            timeout_s: Time for that, seconds. What is left then is dropped, and
                the thread ends after the item that it is handling.

        Returns:
            The number of dropped items.
        """
        with self._lock:
            self._closing = True
        if not self._thread.is_alive():
            return 0
        try:
            self._items.put_nowait(None)
        except queue.Full:
            pass  # The thread is ended below, after the timeout.
        self._thread.join(timeout_s)
        if not self._thread.is_alive():
            return 0
        dropped = self._drop_all()
        self._items.put(None)
        return dropped

    def _drop_all(self) -> int:
        dropped = 0
        while True:
            try:
                item = self._items.get_nowait()
            except queue.Empty:
                return dropped
            dropped += item is not None

    def _run(self) -> None:
        while (item := self._items.get()) is not None:
            self._handle(item)
