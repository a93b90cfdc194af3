"""Publishes and switches presets and reports the confirmed outcome.

A change is appended, and its outcome is determined by reading the log back:
the reply to an append may be lost after the append took effect, and an
acknowledged append may still be rejected by the fold. Repeating an append is
safe, since its id is applied only once. An outcome that can't be determined
before the deadline is reported as not known. A record that does not appear in
the log within its window is stale and will never be applied, so repeated
queries end.
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
from foxtaildale_client import config_reader

# Interval between two polls of the log, seconds.
_POLL_INTERVAL_S: Final = 0.2

Result = Literal['accepted', 'rejected', 'not-known', 'not-sent', 'forgotten']
# Builds the record of a change from a base offset and the state at it.
MakeRecord = Callable[[int, fold.Fold], changes.Publish | changes.Switch]


class ChangeOutcome(msgspec.Struct, frozen=True):
    """The outcome of a change, as far as it is known."""

    # not-sent: no append was sent. forgotten: the change is too old for the log
    # to show its outcome.
    result: Result
    id: str
    base: int
    # Reason of a rejection: a value of `fold.Reason`, or `never-landed`.
    reason: str = ''
    # Revision after the record, if it was read back.
    revision: int = 0


class Submitter:
    """Submits changes for an operator."""

    __slots__ = ('_clock', '_log', '_new_id', '_patience_s', '_pause', 'reader')

    reader: config_reader.Reader
    _log: ports.Log
    _clock: ports.Clock
    # Sleeps for a number of seconds.
    _pause: Callable[[float], object]
    _new_id: Callable[[], str]
    # Maximum time to wait for the outcome of a change, seconds.
    _patience_s: float

    def __init__(
        self,
        log: ports.Log,
        *,
        clock: ports.Clock,
        sleep: Callable[[float], object],
        new_id: Callable[[], str],
        patience_s: float,
    ) -> None:
        self.reader = config_reader.Reader(log)
        self._log = log
        self._clock = clock
        self._pause = sleep
        self._new_id = new_id
        self._patience_s = patience_s

    def publish(self, preset: values.Preset) -> ChangeOutcome:
        """Publishes a preset.

        Raises:
            errors.PortError: The log could not be read; nothing was sent.
            config_reader.UnknownStateError: The state can't be derived from the
                log.
        """
        return self._submit(
            lambda base, _: changes.make_publish(self._new_id(), base, preset)
        )

    def switch(
        self, name: str, digest: str, expects: int | None
    ) -> ChangeOutcome:
        """Puts a preset in force in place of revision `expects`.

        Args:
            name: Name of the preset.
            digest: Its digest.
            expects: Revision to replace; None for the one in force.

        Raises:
            errors.PortError: The log could not be read; nothing was sent.
            config_reader.UnknownStateError: The state can't be derived from the
                log.
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

    def query_outcome(self, change_id: str, base: int) -> ChangeOutcome:
        """Reads the log and returns the outcome of an earlier change.

        Raises:
            errors.PortError: The log could not be read.
            config_reader.UnknownStateError: The state can't be derived from the
                log.
        """
        self.reader.catch_up(change_id)
        return self._derive_outcome(change_id, base)

    def _submit(self, make: MakeRecord) -> ChangeOutcome:
        self.reader.catch_up()
        base = self.reader.state.offset
        change = make(base, self.reader.state)
        data = changes.encode(change)
        deadline = self._clock() + self._patience_s
        sent = appended = False
        while True:
            if not appended:
                appended, reply_lost = self._append(data)
                sent = sent or appended or reply_lost
            if sent:
                outcome = self._poll_outcome(change.id, base)
                if outcome.result != 'not-known':
                    return outcome
            if self._clock() >= deadline:
                result: Result = 'not-known' if sent else 'not-sent'
                return ChangeOutcome(result, change.id, base)
            self._pause(_POLL_INTERVAL_S)

    def _append(self, data: bytes) -> tuple[bool, bool]:
        """Returns whether the append succeeded and if its reply was lost."""
        try:
            self._log.append(changes.STREAM, [data])
        except errors.NoReplyError:
            return False, True
        except errors.PortError:
            return False, False
        return True, False

    def _poll_outcome(self, change_id: str, base: int) -> ChangeOutcome:
        try:
            return self.query_outcome(change_id, base)
        except (errors.PortError, config_reader.UnknownStateError):
            return ChangeOutcome('not-known', change_id, base)

    def _derive_outcome(self, change_id: str, base: int) -> ChangeOutcome:
        verdict = self.reader.verdicts.get(change_id)
        if verdict is not None:
            return ChangeOutcome(
                'accepted' if verdict.accepted else 'rejected',
                change_id,
                base,
                verdict.reason,
                verdict.revision,
            )
        if self.reader.covered_from > base:
            # The record may be among those that expired.
            return ChangeOutcome('forgotten', change_id, base)
        if self.reader.state.offset >= base + fold.VERDICT_WINDOW:
            # Every offset at which the record would be valid was read without
            # finding it.
            return ChangeOutcome('rejected', change_id, base, 'never-landed')
        return ChangeOutcome('not-known', change_id, base)
