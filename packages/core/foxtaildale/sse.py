"""Splits the blocks read from a socket into complete server-sent events.

A backend server may break off in the middle of an event. Only complete events
are forwarded, so that the stream can be resumed from another backend server
without lost or repeated bytes.
"""

import re
from typing import Final

from foxtaildale import errors

# Maximum size of an event, bytes.
MAX_EVENT_BYTES: Final = 1024 * 1024
_EVENT_END: Final = b'\n\n'
_ID_FIELD: Final = b'id:'
# Start of the head of another response: a line that is no line of an event, or
# within one a status line before a header that is no field of an event.
_SECOND_HEAD: Final = re.compile(
    rb"""
    ^HTTP/1\.
    | HTTP/1\.[0-9]\ [0-9]{3}[^\r\n]*\r?\n
      (?!(?:data|event|id|retry):) [A-Za-z0-9!#$%&'*+.^_`|~-]+:
    """,
    re.MULTILINE | re.VERBOSE,
)


class Splitter:
    """Collects blocks and returns complete events.

    Args:
        position: Number of the last event that the caller received; None at
            the start of a stream.
    """

    __slots__ = ('_has_second', '_incomplete', 'position')

    # Number of the last complete event.
    position: int | None

    def __init__(self, position: int | None = None) -> None:
        self._incomplete = bytearray()
        # Whether a second response has begun, which a server may send behind
        # one that has neither a length nor chunks.
        self._has_second = False
        self.position = position

    def feed(self, block: bytes) -> bytes:
        """Adds a block; returns the events that are now complete.

        Raises:
            errors.NoReplyError: An event exceeds `MAX_EVENT_BYTES`, or a second
                response has begun; the stream counts as broken off then.
        """
        if self._has_second:
            raise errors.NoReplyError('a second response within the stream')
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
        second = _SECOND_HEAD.search(incomplete, 0, complete_bytes)
        if second is not None:
            self._has_second = True
            end = incomplete.rfind(_EVENT_END, 0, second.start())
            complete_bytes = end + len(_EVENT_END) if end >= 0 else 0
            if not complete_bytes:
                raise errors.NoReplyError('a second response within the stream')
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

    @property
    def incomplete_bytes(self) -> int:
        """Size of the start of an incomplete event that is buffered, bytes."""
        return len(self._incomplete)

    def discard_incomplete_event(self) -> None:
        """Discards an incomplete event before the stream is resumed."""
        self._incomplete.clear()
        self._has_second = False

    def _update_position(self, text: bytes) -> None:
        if text.isdigit():
            self.position = int(text)
