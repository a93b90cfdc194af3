"""Wakes a thread that is blocked in a poll, from any other thread."""

import os
import threading


class WakeEvent:
    """A file descriptor that becomes readable when `set` is called.

    Many calls of `set` before one `clear` cost the waiting thread a single
    wake-up. The waiting thread may close the event while others still set it.
    """

    __slots__ = ('_fd', '_lock')

    def __init__(self) -> None:
        # Guards the close: after it, the kernel gives the same descriptor to
        # another file or connection.
        self._lock = threading.Lock()
        self._fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def fileno(self) -> int:
        """Returns the descriptor to poll for reading; -1 after `close`."""
        return self._fd

    def set(self) -> None:
        """Wakes the polling thread; does nothing after `close`."""
        with self._lock:
            if self._fd >= 0:
                os.eventfd_write(self._fd, 1)

    def clear(self) -> None:
        """Resets the descriptor after any number of calls of `set`."""
        try:
            os.eventfd_read(self._fd)
        except BlockingIOError:
            pass

    def close(self) -> None:
        """Closes the descriptor; does nothing if it is closed."""
        with self._lock:
            if self._fd >= 0:
                os.close(self._fd)
                self._fd = -1
