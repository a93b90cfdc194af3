"""Publishing and switching, with an outcome that is always true.

A change is appended, and its outcome is learnt by reading the log back: the
answer to an append may be lost after it took effect, and an append that was
answered may still be rejected by the fold. Repeating an append is safe, since
its id counts once. What can't be decided within the time is said to be not
known yet; a record that the log has not shown within its window is stale and
will never count, so asking again comes to an end.
"""

from collections.abc import Callable
from typing import Final
from typing import Literal

import msgspec

from foxtaildale import changes
from foxtaildale import errors
from foxtaildale import fold
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_client import reading

# Pause between two looks at the log, seconds.
_PAUSE_S: Final = 0.2

Result = Literal['accepted', 'rejected', 'not-known', 'not-sent', 'forgotten']
# Makes the record of a change for a base offset and the state read there.
Make = Callable[[int, fold.Fold], changes.Publish | changes.Switch]


class Learnt(msgspec.Struct, frozen=True):
    """What is known of a change."""

    # not-sent: nothing left this program. forgotten: it is too long ago.
    result: Result
    id: str
    base: int
    # Why it was rejected; a word of `fold.Reason`, or `never-landed`.
    reason: str = ''
    # Revision after the record, if it was read back.
    revision: int = 0


class Submitter:
    """Makes changes for an operator."""

    __slots__ = ('_clock', '_log', '_new_id', '_patience_s', '_pause', 'reader')

    reader: reading.Reader
    _log: ports.Log
    _clock: ports.Clock
    # Waits for some seconds.
    _pause: Callable[[float], object]
    _new_id: Callable[[], str]
    # How long a change may be pursued, seconds.
    _patience_s: float

    def __init__(
        self,
        log: ports.Log,
        *,
        clock: ports.Clock,
        pause: Callable[[float], object],
        new_id: Callable[[], str],
        patience_s: float,
    ) -> None:
        self.reader = reading.Reader(log)
        self._log = log
        self._clock = clock
        self._pause = pause
        self._new_id = new_id
        self._patience_s = patience_s

    def publish(self, preset: values.Preset) -> Learnt:
        """Publishes a preset.

        Raises:
            errors.PortError: The log could not be read; nothing was sent.
            reading.UnknownStateError: The state can't be told from the log.
        """
        return self._submit(
            lambda base, _: changes.make_publish(self._new_id(), base, preset)
        )

    def switch(self, name: str, digest: str, expects: int | None) -> Learnt:
        """Puts a preset in force in place of revision `expects`.

        Args:
            name: Name of the preset.
            digest: Its digest.
            expects: Revision to replace; None for the one found in force.

        Raises:
            errors.PortError: The log could not be read; nothing was sent.
            reading.UnknownStateError: The state can't be told from the log.
        """
        return self._submit(
            lambda base, state: changes.Switch(
                id=self._new_id(),
                base=base,
                name=name,
                digest=digest,
                expects=state.revision if expects is None else expects,
            )
        )

    def ask(self, change_id: str, base: int) -> Learnt:
        """Returns what the log says of a change that was sent before.

        Raises:
            errors.PortError: The log could not be read.
            reading.UnknownStateError: The state can't be told from the log.
        """
        self.reader.catch_up(change_id)
        return self._judge(change_id, base)

    def _submit(self, make: Make) -> Learnt:
        self.reader.catch_up()
        base = self.reader.state.offset
        change = make(base, self.reader.state)
        data = changes.encode(change)
        deadline = self._clock() + self._patience_s
        sent = landed = False
        while True:
            if not landed:
                landed, lost = self._append(data)
                sent = sent or landed or lost
            if sent:
                learnt = self._look(change.id, base)
                if learnt.result != 'not-known':
                    return learnt
            if self._clock() >= deadline:
                result: Result = 'not-known' if sent else 'not-sent'
                return Learnt(result, change.id, base)
            self._pause(_PAUSE_S)

    def _append(self, data: bytes) -> tuple[bool, bool]:
        """Returns whether the record has landed, and whether it may have."""
        try:
            self._log.append(changes.STREAM, [data])
        except errors.NoReplyError:
            return False, True
        except errors.PortError:
            return False, False
        return True, False

    def _look(self, change_id: str, base: int) -> Learnt:
        try:
            return self.ask(change_id, base)
        except (errors.PortError, reading.UnknownStateError):
            return Learnt('not-known', change_id, base)

    def _judge(self, change_id: str, base: int) -> Learnt:
        verdict = self.reader.seen.get(change_id)
        if verdict is not None:
            return Learnt(
                'accepted' if verdict.accepted else 'rejected',
                change_id,
                base,
                verdict.reason,
                verdict.revision,
            )
        if self.reader.covered_from > base:
            # Whether it was among what lapsed can't be told any more.
            return Learnt('forgotten', change_id, base)
        if self.reader.state.offset >= base + fold.VERDICT_WINDOW:
            # Every place where it would have counted was read without it.
            return Learnt('rejected', change_id, base, 'never-landed')
        return Learnt('not-known', change_id, base)
