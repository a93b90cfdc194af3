"""Wakes a thread that is blocked in a poll, from any other thread."""

import os


class WakeEvent:
    """A file descriptor that becomes readable when `set` is called.

    Many calls of `set` before one `clear` cost the waiting thread a single
    wake-up.
    """

    __slots__ = ('_fd',)

    def __init__(self) -> None:
        self._fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)

    def fileno(self) -> int:
        """Returns the descriptor to poll for reading."""
        return self._fd

    def set(self) -> None:
        """Makes the descriptor readable, which wakes the polling thread."""
        os.eventfd_write(self._fd, 1)

    def clear(self) -> None:
        """Resets the descriptor after any number of calls of `set`."""
        try:
            os.eventfd_read(self._fd)
        except BlockingIOError:
            pass

    def close(self) -> None:
        """Closes the descriptor."""
        os.close(self._fd)
