"""Whole events of an event stream, out of the blocks that a socket gives.

A backend server may break off in the middle of an event. Only whole events are
passed on, so that a stream which goes on elsewhere joins without a seam.
"""

from typing import Final

_END: Final = b'\n\n'
_ID: Final = b'id:'


class Splitter:
    """Collects blocks; gives out whole events.

    Args:
        position: Number of the last event that the caller has; None at the
            start of a stream.
    """

    __slots__ = ('_rest', 'position')

    # Number of the last whole event.
    position: int | None

    def __init__(self, position: int | None = None) -> None:
        self._rest = b''
        self.position = position

    def feed(self, block: bytes) -> bytes:
        """Takes a block; returns the whole events that it completes."""
        data = self._rest + block
        end = data.rfind(_END)
        if end < 0:
            self._rest = data
            return b''
        whole, self._rest = data[: end + len(_END)], data[end + len(_END) :]
        for line in whole.splitlines():
            if line.startswith(_ID):
                self._note(line[len(_ID) :].strip())
        return whole

    @property
    def partial(self) -> bool:
        """Whether a part of an event is held back."""
        return bool(self._rest)

    def restart(self) -> None:
        """Drops a part of an event, before the stream goes on elsewhere."""
        self._rest = b''

    def _note(self, text: bytes) -> None:
        if text.isdigit():
            self.position = int(text)
