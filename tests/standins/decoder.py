"""The decode side of the engine stand-in.

Every step makes one token for each running stream. A stream runs on when its
reader goes, and its text stays for a while after its end, so that it can be
read again from any position; nothing is made twice.
"""

from collections.abc import Callable
from collections.abc import Iterator
import threading
import time
from typing import Final

import msgspec

from foxtaildale import backends
from tests.standins import answers
from tests.standins import serving

_IDLE_S: Final = 0.05


class Config(msgspec.Struct, frozen=True):
    """Speeds and sizes of a decode worker."""

    slots: int
    # Time of a step, milliseconds.
    token_ms: float
    # How long a finished stream without a reader stays, seconds.
    linger_s: float


class Slot:
    """One request from the start of its transfer to the end of its stream."""

    __slots__ = (
        'attempt',
        'ended',
        'holder',
        'kind',
        'made',
        'prompt',
        'readers',
        'request',
        'since',
        'stream',
        'texts',
    )

    def __init__(
        self, req: backends.ImportReq, hung_up: Callable[[], bool], now: float
    ) -> None:
        self.request = req.request
        self.attempt = req.attempt
        self.holder = req.holder
        self.kind: backends.HoldingKind = 'slot'
        self.prompt = ''
        # Empty until decoding starts.
        self.stream = ''
        # The whole answer, and how much of it has been made.
        self.texts: list[str] = []
        self.made = 0
        self.ended = False
        # Connections at work on it; each tells whether it has gone.
        self.readers = [hung_up]
        # When it was made, or its last reader went.
        self.since = now

    def attached(self, now: float) -> bool:
        """Says whether a reader is left, and notes when the last one went."""
        if not self.readers:
            return False
        self.readers = [gone for gone in self.readers if not gone()]
        if not self.readers:
            self.since = now
        return bool(self.readers)

    def leave(self, reader: Callable[[], bool], now: float) -> None:
        """Takes a reader off."""
        if reader in self.readers:
            self.readers.remove(reader)
            self.since = now

    def piece(self, position: int) -> backends.Chunk:
        """Returns one piece of the answer."""
        return backends.Chunk(
            request=self.request,
            attempt=self.attempt,
            stream=self.stream,
            position=position,
            text=self.texts[position],
        )

    def last(self) -> backends.StreamEnd:
        """Returns the end of the answer."""
        return backends.StreamEnd(
            request=self.request,
            attempt=self.attempt,
            stream=self.stream,
            count=len(self.texts),
            digest=answers.digest(self.texts),
        )

    def holding(self, now: float) -> backends.Holding:
        """Returns what the engine reports of it."""
        attached = self.attached(now)
        return backends.Holding(
            request=self.request,
            attempt=self.attempt,
            holder=self.holder,
            kind=self.kind,
            age_ms=int((now - self.since) * 1000),
            attached=attached,
        )


class Decoder:
    """Holds slots and makes tokens; `run` is the thread that does."""

    def __init__(self, cfg: Config, record: serving.Record) -> None:
        self._cfg = cfg
        self._record = record
        self.slow = 1.0
        self.changed = threading.Condition()
        self._slots: list[Slot] = []

    def run(self) -> None:
        """Works for ever."""
        due = time.monotonic()
        while True:
            with self.changed:
                self._drop_old(time.monotonic())
                if not self._step():
                    self.changed.wait(_IDLE_S)
                    due = time.monotonic()
                    continue
                self.changed.notify_all()
            due += self._cfg.token_ms * self.slow / 1000
            time.sleep(max(0.0, due - time.monotonic()))

    def reserve(
        self, req: backends.ImportReq, hung_up: Callable[[], bool]
    ) -> Slot | None:
        """Takes a slot for a transfer; None if all are taken."""
        with self.changed:
            if self.used() >= self._cfg.slots:
                return None
            slot = Slot(req, hung_up, time.monotonic())
            self._slots.append(slot)
        self._note('transfer', 'begun', slot)
        return slot

    def filled(self, slot: Slot, prompt: str) -> bool:
        """Notes the end of a transfer; false if it was cancelled."""
        with self.changed:
            if slot not in self._slots:
                return False
            slot.prompt = prompt
            slot.kind = 'kv'
            slot.readers = []
            slot.since = time.monotonic()
        self._note('transfer', 'ended', slot)
        return True

    def free(self, slot: Slot) -> None:
        """Gives a slot back whose transfer failed."""
        with self.changed:
            if slot in self._slots:
                self._slots.remove(slot)
        self._note('transfer', 'failed', slot)

    def start(self, req: backends.DecodeReq) -> Slot | None:
        """Starts a stream, or finds the one started before."""
        with self.changed:
            for slot in self._slots:
                if (slot.request, slot.attempt) != (req.request, req.attempt):
                    continue
                if slot.kind == 'slot' or slot.stream not in {'', req.stream}:
                    return None
                if not slot.stream:
                    slot.stream = req.stream
                    slot.texts = answers.answer(slot.prompt, req.max_tokens)
                    slot.kind = 'stream'
                    self._note('decode', 'begun', slot)
                slot.holder = req.holder
                self.changed.notify_all()
                return slot
        return None

    def find(self, stream: str, holder: str) -> Slot | None:
        """Finds a stream for a reader that comes back."""
        with self.changed:
            for slot in self._slots:
                if slot.stream == stream:
                    slot.holder = holder or slot.holder
                    return slot
        return None

    def read(
        self, slot: Slot, position: int, hung_up: Callable[[], bool]
    ) -> Iterator[backends.Chunk | backends.StreamEnd | None]:
        """Yields the stream from a position; None while there is nothing.

        It ends early when the stream is cancelled or the reader has gone.
        """
        with self.changed:
            slot.readers.append(hung_up)
        try:
            while True:
                with self.changed:
                    if slot not in self._slots or hung_up():
                        return
                    if slot.made <= position and not slot.ended:
                        self.changed.wait(_IDLE_S)
                    made, ended = slot.made, slot.ended
                if position >= made and not ended:
                    yield None
                for i in range(position, made):
                    yield slot.piece(i)
                position = max(position, made)
                if ended:
                    yield slot.last()
                    return
        finally:
            with self.changed:
                slot.leave(hung_up, time.monotonic())

    def other(self, slot: Slot) -> backends.Chunk:
        """Returns a piece that belongs to another request."""
        with self.changed:
            for found in self._slots:
                if found is not slot and found.made:
                    return found.piece(0)
        return backends.Chunk(
            request='elsewhere',
            attempt=1,
            stream='elsewhere',
            position=0,
            text='crossed ',
        )

    def cancel(self, matches: Callable[[str, int, str], bool]) -> int:
        """Frees all that matches request, attempt and holder."""
        with self.changed:
            gone = [
                slot
                for slot in self._slots
                if matches(slot.request, slot.attempt, slot.holder)
            ]
            for slot in gone:
                self._slots.remove(slot)
                if not slot.ended:
                    self._note('decode', 'cancelled', slot)
            self.changed.notify_all()
        return len(gone)

    def holdings(self) -> list[backends.Holding]:
        """Returns everything held."""
        with self.changed:
            now = time.monotonic()
            self._drop_old(now)
            return [slot.holding(now) for slot in self._slots]

    def used(self) -> int:
        """Returns how many slots are taken."""
        return sum(not slot.ended for slot in self._slots)

    def _step(self) -> bool:
        made = False
        for slot in self._slots:
            if slot.kind != 'stream' or slot.ended:
                continue
            made = True
            slot.made = min(slot.made + 1, len(slot.texts))
            if slot.made >= len(slot.texts):
                slot.ended = True
                if not slot.readers:
                    slot.since = time.monotonic()
                self._note('decode', 'ended', slot)
        return made

    def _drop_old(self, now: float) -> None:
        for slot in list(self._slots):
            if not slot.ended or slot.attached(now):
                continue
            if now - slot.since > self._cfg.linger_s:
                self._slots.remove(slot)

    def _note(self, kind: str, phase: str, slot: Slot) -> None:
        self._record.note(
            kind,
            phase,
            slot.request,
            slot.attempt,
            holder=slot.holder,
            tokens=slot.made,
        )
