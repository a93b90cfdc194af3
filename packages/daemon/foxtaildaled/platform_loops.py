"""Loops by which a keeper reads from and writes to the platform.

`PlatformFollower` reads the configuration stream and the VM list, and writes a
checkpoint when the state machine of the configuration requests one.
`ClaimSettler` writes the batch of waiting claims and reads the claims stream,
so that a claim waits once for both. A platform that is down or slow delays
these loops only.
"""

from collections.abc import Callable
import time
from typing import Final
from typing import TypeVar

from foxtaildale import errors
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import keeper

CONFIG_STREAM: Final = 'config'
CLAIMS_STREAM: Final = 'claims'
_MAX_BATCH: Final = 1000
# Interval between two rounds while claims wait, seconds.
_ROUND_INTERVAL_S: Final = 0.02

_T = TypeVar('_T')


class PlatformFollower:
    """Reads the configuration and the VM list."""

    __slots__ = ('_directory', '_log', '_owner')

    _owner: actors.StateOwner[keeper.Keeper]
    _log: ports.Log
    _directory: ports.Directory

    def __init__(
        self,
        owner: actors.StateOwner[keeper.Keeper],
        log: ports.Log,
        directory: ports.Directory,
    ) -> None:
        self._owner = owner
        self._log = log
        self._directory = directory

    def read_once(self) -> None:
        """Reads the configuration and the VM list once."""
        self._read_config()
        self._read_vm_list()

    def _read_config(self) -> None:
        offset = self._owner.run(lambda state, _now: state.follower.next_offset)
        try:
            batch = self._log.read(CONFIG_STREAM, offset, _MAX_BATCH)
        except errors.RecordsExpiredError as exc:
            first = exc.first
            self._owner.run(
                lambda state, now: state.follower.on_lapsed(now, first)
            )
            return
        except errors.PortError:
            self._owner.run(
                lambda state, now: state.follower.on_log_failed(now)
            )
            return
        self._owner.run(lambda state, now: state.on_config(now, batch))
        self._write_checkpoint(batch.first)

    def _write_checkpoint(self, first: int) -> None:
        record = self._owner.run(
            lambda state, now: state.follower.due_checkpoint(
                now, first, len(state.available_keepers(now))
            )
        )
        if record is None:
            return
        try:
            self._log.append(CONFIG_STREAM, [record])
        except errors.PortError:
            # The checkpoint stays due; two equal checkpoints are harmless.
            return

    def _read_vm_list(self) -> None:
        try:
            listing = self._directory.listing()
        except errors.PortError:
            return
        self._owner.run(lambda state, now: state.on_listing(now, listing))


class ClaimSettler:
    """Writes the waiting claims and reads the claims stream."""

    __slots__ = ('_log', '_owner')

    _owner: actors.StateOwner[keeper.Keeper]
    _log: ports.Log

    def __init__(
        self, owner: actors.StateOwner[keeper.Keeper], log: ports.Log
    ) -> None:
        self._owner = owner
        self._log = log

    def settle_waiting(self) -> None:
        """Repeats rounds until no claim waits; runs one round if none does.

        Only waiting claims cause repeated reads: ten reads a second would take
        a third of the time of an idle keeper.
        """
        self._run_round()
        while self._owner.run(lambda state, _now: len(state.pending_claims)):
            time.sleep(_ROUND_INTERVAL_S)
            self._run_round()

    def _run_round(self) -> None:
        """Writes the waiting claims, then reads to the end of the stream."""
        records = self._owner.run(
            lambda state, now: state.claims.take_batch(now)
        )
        if records:
            self._write(records)
        while self._read():
            pass

    def _write(self, records: list[bytes]) -> None:
        try:
            self._log.append(CLAIMS_STREAM, records)
        except errors.NoReplyError:
            self._handle_failed_append(sent=True)
        except errors.PortError:
            self._handle_failed_append(sent=False)
        else:
            self._owner.run(lambda state, now: state.claims.on_appended(now))

    def _handle_failed_append(self, *, sent: bool) -> None:
        self._owner.run(
            lambda state, now: state.complete_claims(
                state.claims.on_append_failed(now, sent)
            )
        )

    def _read(self) -> bool:
        """Reads one batch; returns whether there may be more."""
        offset = self._owner.run(lambda state, _now: state.claims.next_offset())
        try:
            batch = self._log.read(CLAIMS_STREAM, offset, _MAX_BATCH)
        except errors.RecordsExpiredError as exc:
            first = exc.first
            self._owner.run(
                lambda state, now: state.claims.on_lapsed(now, first)
            )
            return True
        except errors.PortError:
            return False
        self._owner.run(
            lambda state, now: state.complete_claims(
                state.claims.on_records(now, batch)
            )
        )
        return bool(batch.records)


def call_or_none(call: Callable[[], _T]) -> _T | None:
    """Makes a call to another process; returns None if it fails."""
    try:
        return call()
    except errors.PortError:
        return None
