"""Splits the blocks read from a socket into complete server-sent events.

A backend server may break off in the middle of an event. Only complete events
are forwarded, so that the stream can be resumed from another backend server
without lost or repeated bytes.
"""

from typing import Final

from foxtaildale import errors

# Maximum size of an event, bytes.
MAX_EVENT_BYTES: Final = 1024 * 1024
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
        self._incomplete = bytearray()
        self.position = position

    def feed(self, block: bytes) -> bytes:
        """Adds a block; returns the events that are now complete.

        Raises:
            errors.NoReplyError: An event exceeds `MAX_EVENT_BYTES`.
        """
        incomplete = self._incomplete
        # What was searched before has no end of an event but for its last byte.
        searched = max(0, len(incomplete) - len(_EVENT_END) + 1)
        incomplete += block
        end = incomplete.rfind(_EVENT_END, searched)
        complete_bytes = end + len(_EVENT_END) if end >= 0 else 0
        if len(incomplete) - complete_bytes > MAX_EVENT_BYTES:
            raise errors.NoReplyError(f'event above {MAX_EVENT_BYTES} bytes')
        if not complete_bytes:
            return b''
        events = bytes(incomplete[:complete_bytes])
        del incomplete[:complete_bytes]
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
        self._incomplete.clear()

    def _update_position(self, text: bytes) -> None:
        if text.isdigit():
            self.position = int(text)
