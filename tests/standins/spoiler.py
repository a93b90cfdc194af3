"""Faults of the engine stand-in, and what they do to a stream.

Faults that count pieces count each reader's.
"""

from collections.abc import Iterator
import os
import time
from typing import Final

import msgspec

from foxtaildale import backends
from tests.standins import decoder
from tests.standins import serving

# How often a silent stream looks whether it still is, seconds.
_LOOK_S: Final = 0.02


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What is wrong with the engine just now."""

    # The process dies after so many further pieces.
    die_after: int = 0
    # Streams send nothing, though tokens are made.
    silent: bool = False
    # A stream ends in good order after so many pieces, without its last.
    truncate: int = 0
    # A stream's connection is cut after so many pieces.
    cut_after: int = 0
    # Every so many-th piece comes twice.
    duplicate: int = 0
    # Every so many-th piece is followed by one of another request.
    cross: int = 0
    # The KV cache is not handed out, and the transfer not refused either.
    stall_transfer: bool = False
    # Steps take so many times as long.
    slow: float = 1.0
    # The load report stays as it is.
    freeze_load: bool = False
    # New work is refused.
    leaving: bool = False
    # Answers other than streams come so much later.
    late_ms: float = 0.0


class Spoiler:
    """Encodes streams, and spoils them as the faults say."""

    def __init__(self, name: str, source: decoder.Decoder) -> None:
        self._name = name
        self._decoder = source
        self.faults = Faults()

    def spoil(
        self,
        slot: decoder.Slot,
        events: Iterator[backends.Chunk | backends.StreamEnd | None],
    ) -> Iterator[bytes]:
        """Encodes events and does to them what the faults say."""
        sent = 0
        for event in events:
            while self.faults.silent:
                time.sleep(_LOOK_S)
            if event is None:
                continue
            yield self._encode(event)
            sent += 1
            faults = self.faults
            if faults.duplicate and sent % faults.duplicate == 0:
                yield self._encode(event)
            if faults.cross and sent % faults.cross == 0:
                yield self._encode(self._decoder.other(slot))
            if faults.die_after:
                faults.die_after -= 1
                if not faults.die_after:
                    os._exit(1)
            if sent == faults.truncate:
                return
            if sent == faults.cut_after:
                raise serving.Cut

    def _encode(self, event: backends.Chunk | backends.StreamEnd) -> bytes:
        if isinstance(event, backends.Chunk):
            position = event.position
        else:
            position = event.count
        data = msgspec.json.encode(event)
        head = f'id: {self._name}/{event.stream}/{position}\ndata: '
        return head.encode() + data + b'\n\n'
