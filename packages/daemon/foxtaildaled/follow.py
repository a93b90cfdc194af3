"""Loops by which a keeper follows the platform.

`Follow` reads the configuration stream and the VM list, and writes a
checkpoint when the fold asks for one. `Settle` writes the batch of claims that
wait and reads the claims stream, so that a claim costs one wait for both. A
platform that is down or slow costs these loops time and nobody else.
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
_BATCH: Final = 1000
# Time between two rounds while claims wait, seconds.
_ROUND_S: Final = 0.02

_T = TypeVar('_T')


class Follow:
    """Reads configuration and the VM list."""

    __slots__ = ('_directory', '_log', '_owner')

    _owner: actors.Owner[keeper.Keeper]
    _log: ports.Log
    _directory: ports.Directory

    def __init__(
        self,
        owner: actors.Owner[keeper.Keeper],
        log: ports.Log,
        directory: ports.Directory,
    ) -> None:
        self._owner = owner
        self._log = log
        self._directory = directory

    def step(self) -> None:
        """Reads both once."""
        self._read_config()
        self._read_listing()

    def _read_config(self) -> None:
        offset = self._owner.run(lambda state, _now: state.follower.next_offset)
        try:
            batch = self._log.read(CONFIG_STREAM, offset, _BATCH)
        except errors.LapsedError as exc:
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
            lambda state, now: state.follower.checkpoint_due(
                now, first, len(state.keepers(now))
            )
        )
        if record is None:
            return
        try:
            self._log.append(CONFIG_STREAM, [record])
        except errors.PortError:
            # The fold asks again; two equal checkpoints are harmless.
            return

    def _read_listing(self) -> None:
        try:
            listing = self._directory.listing()
        except errors.PortError:
            return
        self._owner.run(lambda state, now: state.on_listing(now, listing))


class Settle:
    """Writes and reads claims."""

    __slots__ = ('_log', '_owner')

    _owner: actors.Owner[keeper.Keeper]
    _log: ports.Log

    def __init__(
        self, owner: actors.Owner[keeper.Keeper], log: ports.Log
    ) -> None:
        self._owner = owner
        self._log = log

    def step(self) -> None:
        """Works until no claim waits; reads once where none does.

        Reading ten times a second cost a keeper at rest a third of its time.
        """
        self._round()
        while self._owner.run(lambda state, _now: len(state.waiting)):
            time.sleep(_ROUND_S)
            self._round()

    def _round(self) -> None:
        """Writes what waits, then reads to the end."""
        records = self._owner.run(lambda state, now: state.claims.batch(now))
        if records:
            self._write(records)
        while self._read():
            pass

    def _write(self, records: list[bytes]) -> None:
        try:
            self._log.append(CLAIMS_STREAM, records)
        except errors.AnswerLostError:
            self._failed(sent=True)
        except errors.PortError:
            self._failed(sent=False)
        else:
            self._owner.run(lambda state, now: state.claims.on_appended(now))

    def _failed(self, *, sent: bool) -> None:
        self._owner.run(
            lambda state, now: state.settle(
                state.claims.on_append_failed(now, sent)
            )
        )

    def _read(self) -> bool:
        """Reads one batch; returns whether there may be more."""
        offset = self._owner.run(lambda state, _now: state.claims.next_offset())
        try:
            batch = self._log.read(CLAIMS_STREAM, offset, _BATCH)
        except errors.LapsedError as exc:
            first = exc.first
            self._owner.run(
                lambda state, now: state.claims.on_lapsed(now, first)
            )
            return True
        except errors.PortError:
            return False
        self._owner.run(
            lambda state, now: state.settle(state.claims.on_records(now, batch))
        )
        return bool(batch.records)


def quietly(step: Callable[[], _T]) -> _T | None:
    """Runs a call to another process; None when it failed."""
    try:
        return step()
    except errors.PortError:
        return None
