"""Splits the blocks read from a socket into complete server-sent events.

A backend server may break off in the middle of an event. Only complete events
are forwarded, so that the stream can be resumed from another backend server
without lost or repeated bytes.
"""

from typing import Final

_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'


class Splitter:
    """Collects blocks and returns complete events.

    Args:
        position: Number of the last event that the caller received; None at
            the start of a stream.
    """

    __slots__ = ('_incomplete', 'position')

    # Number of the last complete event.
    position: int | None

    def __init__(self, position: int | None = None) -> None:
        self._incomplete = b''
        self.position = position

    def feed(self, block: bytes) -> bytes:
        """Adds a block; returns the events that are now complete."""
        data = self._incomplete + block
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._incomplete = data
            return b''
        events, self._incomplete = (
            data[: end + len(_EVENT_END)],
            data[end + len(_EVENT_END) :],
        )
        for line in events.splitlines():
            if line.startswith(_ID_FIELD):
                self._update_position(line[len(_ID_FIELD) :].strip())
        return events

    @property
    def has_incomplete_event(self) -> bool:
        """Whether the start of an incomplete event is buffered."""
        return bool(self._incomplete)

    def discard_incomplete_event(self) -> None:
        """Discards an incomplete event before the stream is resumed."""
        self._incomplete = b''

    def _update_position(self, text: bytes) -> None:
        if text.isdigit():
            self.position = int(text)
