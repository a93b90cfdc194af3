"""Follows the configuration stream through the log and through peers.

This module only decides; the keeper does the I/O. The keeper reads the log
from `next_offset` and passes on the results (`on_batch`, `on_lapsed`,
`on_log_failed`). It exchanges heartbeats with peers (`on_heartbeat`). If the
log does not deliver, it pulls the state from a peer that is ahead
(`on_pull_reply`).

A follower only moves to higher offsets. It vouches for the preset in force,
that is, allows it to be used, unless one of these problems exists:

- The follower has no state yet, or records that it has not read have expired.
  It searches for a checkpoint in the remaining records, or for a peer with a
  higher offset.
- Neither the log nor an up-to-date peer has responded within the freshness
  bound. The follower may have missed a switch.
- The end of the log is below the follower's own offset (`log_behind`). The
  log counts as failing, since reading on would restore a replaced preset.

Two different states at one offset violate an invariant. The follower reports
this but does not repair it, since it cannot determine which state is wrong.
It keeps its own state and does not pull the other one. While the difference
lasts, neither side writes a checkpoint.
"""

from typing import Final

from foxtaildale import changes
from foxtaildale import checkpoints
from foxtaildale import divergence
from foxtaildale import fold
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values

# Source of a divergence: a checkpoint in the log.
_CHECKPOINT: Final = 'checkpoint'


class Follower:
    """One keeper's view of the configuration stream."""

    __slots__ = (
        '_confirmed_at',
        '_expired_below',
        '_fold',
        '_freshness_s',
        '_is_complete',
        '_log_current_at',
        '_max_end',
        '_min_revision',
        '_pull_after_s',
        '_schedule',
        '_search_offset',
        'divergences',
        'entry_vm',
        'log_behind',
    )

    entry_vm: str
    divergences: divergence.Divergences
    # Whether the end of the log is below the follower's own offset.
    log_behind: bool
    _fold: fold.Fold
    # Whether the state covers the complete stream up to its offset.
    _is_complete: bool
    # Offset at which the search for a checkpoint continues; None if there
    # is no search.
    _search_offset: int | None
    # Records below this offset have expired.
    _expired_below: int
    # Highest revision that an entry of this VM has reported.
    _min_revision: int
    # Highest end of the stream that the log or a peer has reported.
    _max_end: int
    # When the state was last up to date according to the log, and
    # according to the log or a peer.
    _log_current_at: float | None
    _confirmed_at: float | None
    _schedule: checkpoints.Schedule

    def __init__(
        self,
        entry_vm: str,
        *,
        freshness_s: float = 30.0,
        pull_after_s: float = 2.0,
        checkpoint_interval_s: float = 600.0,
    ) -> None:
        """Creates a follower without a state.

        Args:
            entry_vm: Name of the VM.
            freshness_s: Maximum time since the state was last confirmed as up
                to date for the preset to be vouched for.
            pull_after_s: Time without a current log after which the follower
                pulls from peers.
            checkpoint_interval_s: Maximum time between checkpoints; well under
                half of the time for which the platform keeps records.
        """
        self.entry_vm = entry_vm
        self.divergences = divergence.Divergences()
        self.log_behind = False
        self._freshness_s = freshness_s
        self._pull_after_s = pull_after_s
        self._schedule = checkpoints.Schedule(entry_vm, checkpoint_interval_s)
        self._fold = fold.Fold()
        self._is_complete = False
        self._search_offset = None
        self._expired_below = 0
        self._min_revision = 0
        self._max_end = 0
        self._log_current_at = None
        self._confirmed_at = None

    @property
    def offset(self) -> int:
        """Offset of the first record that has not been applied."""
        return self._fold.offset

    @property
    def next_offset(self) -> int:
        """Offset from which to read the log."""
        return (
            self._fold.offset
            if self._search_offset is None
            else self._search_offset
        )

    @property
    def digest(self) -> str:
        """Digest of the state."""
        return self._fold.digest

    @property
    def in_force(self) -> values.InForce | None:
        """The last known preset in force; check `vouched` before use."""
        return self._fold.in_force

    @property
    def state(self) -> fold.Fold:
        """The state; callers must not change it."""
        return self._fold

    def vouched(self, now: float) -> bool:
        """Whether `in_force` is current enough to be used."""
        if not self._is_complete or self._expired_below > self.offset:
            return False
        if self._fold.revision < self._min_revision:
            return False
        return _within(now, self._confirmed_at, self._freshness_s)

    def on_entry_revision(self, revision: int) -> None:
        """Records the revision that an entry of this VM reports as its own.

        A restarted keeper may pull the state of a peer that was disconnected
        before the last switch. The entries of its VM may have applied that
        switch already; if the keeper vouched for the older preset, they would
        return to it.
        """
        self._min_revision = max(self._min_revision, revision)

    def log_age_s(self, now: float) -> float | None:
        """Returns the seconds since the log confirmed the state as current."""
        return (
            None if self._log_current_at is None else now - self._log_current_at
        )

    def dump(self, now: float) -> dict[str, object]:
        """Returns the state dump for operators."""
        in_force = self.in_force
        return {
            'revision': self._fold.revision,
            'preset': in_force.preset.name if in_force else None,
            'offset': self.offset,
            'digest': self.digest,
            'vouched': self.vouched(now),
            'log_age_s': self.log_age_s(now),
            'log_behind': self.log_behind,
            # Records below this offset have expired. If it is above
            # `offset`, records in between are missing.
            'lapsed_below': self._expired_below,
            'divergences': self.divergences.recent,
        }

    def on_batch(self, now: float, batch: ports.Batch) -> bool:
        """Applies records of the log; returns whether `in_force` changed."""
        if batch.end < self.offset:
            # The log was lost and recreated, or a lagging replica replied.
            # Applying its records would revert accepted switches.
            self.log_behind = True
            return False
        self.log_behind = False
        self._max_end = max(self._max_end, batch.end)
        old_revision = self._fold.revision
        if self._has_gap_before(batch):
            self._start_search(batch.first)
        if self._search_offset is not None:
            self._search_batch(now, batch)
        else:
            self._is_complete = True
            self._apply_batch(now, batch)
        if self._search_offset is None and self.offset >= self._max_end:
            self._log_current_at = now
            self._confirmed_at = now
        return self._fold.revision != old_revision

    def on_lapsed(self, now: float, first: int) -> None:
        """Handles the expiry of unread records below `first`."""
        del now
        self._start_search(first)

    def on_log_failed(self, now: float) -> None:
        """Handles a failed read of the log.

        Nothing to do: only the time without the log has an effect.
        """

    def on_heartbeat(
        self, now: float, heartbeat: messages.KeeperHeartbeat
    ) -> bool:
        """Handles a peer's heartbeat; returns whether to pull its state."""
        if heartbeat.offset > self.offset:
            if heartbeat.entry_vm in self.divergences:
                return False
            self._max_end = max(self._max_end, heartbeat.offset)
            # If the log is current, the next poll delivers the same records
            # at a lower cost.
            return not _within(now, self._log_current_at, self._pull_after_s)
        if heartbeat.offset < self.offset:
            # The peer is behind, so it cannot confirm that this state is
            # current.
            return False
        if heartbeat.digest != self.digest:
            self._report_divergence(
                heartbeat.entry_vm, heartbeat.offset, heartbeat.digest
            )
            return False
        self.divergences.resolve(heartbeat.entry_vm)
        if self.offset >= self._max_end:
            self._confirmed_at = now
        return False

    def on_pull_reply(self, now: float, reply: messages.StateReply) -> bool:
        """Handles a pulled state; returns whether `in_force` changed."""
        if reply.offset <= self.offset:
            return False
        pulled = fold.from_bytes(reply.state, reply.digest)
        if pulled is None or pulled.offset != reply.offset:
            return False
        old_revision = self._fold.revision
        if pulled.revision < old_revision:
            # The number of switches never decreases with the offset.
            self._report_divergence('pull', reply.offset, reply.digest)
            return False
        self._replace_state(pulled)
        self._max_end = max(self._max_end, self.offset)
        if self.offset >= self._max_end:
            self._confirmed_at = now
        return self._fold.revision != old_revision

    def pull_reply(self) -> messages.StateReply:
        """Returns the state for a peer; the keeper adds its member list."""
        return messages.StateReply(
            offset=self.offset,
            digest=self.digest,
            state=self._fold.to_bytes(),
            listing=None,
        )

    def due_checkpoint(
        self, now: float, oldest_offset: int, keepers: int = 8
    ) -> bytes | None:
        """Returns the checkpoint record to append, or None if none is due.

        Args:
            now: Current time, seconds, monotonic.
            oldest_offset: Oldest offset that the log still has.
            keepers: Number of keepers, among which the appends are spread
                in time.
        """
        if not self.vouched(now) or self.divergences or not self.offset:
            return None
        if not _within(now, self._log_current_at, self._pull_after_s):
            return None
        if not self._schedule.is_due(now, oldest_offset, keepers):
            return None
        return changes.encode(
            changes.Checkpoint(
                id=f'{self.entry_vm[:20]}-{self.offset}',
                offset=self.offset,
                digest=self.digest,
                state=self._fold.to_bytes(),
            )
        )

    def _has_gap_before(self, batch: ports.Batch) -> bool:
        """Whether records between the state and the batch are missing."""
        if self._search_offset is not None:
            return False
        return batch.first > self.offset

    def _start_search(self, first: int) -> None:
        if first <= self.offset:
            self._search_offset = None
            return
        self._expired_below = max(self._expired_below, first)
        self._search_offset = first

    def _apply_batch(self, now: float, batch: ports.Batch) -> None:
        for record in batch.records:
            if record.offset > self.offset:
                # A record is missing, so the following ones cannot be applied.
                self._start_search(record.offset)
                return
            if record.offset == self.offset:
                self._apply(now, record)

    def _apply(self, now: float, record: ports.Record) -> None:
        change = changes.decode(record.data)
        if isinstance(change, changes.Checkpoint):
            self._on_checkpoint(now, change)
        else:
            self._schedule.on_record()
        self._fold.apply(record)

    def _on_checkpoint(
        self, now: float, checkpoint: changes.Checkpoint
    ) -> None:
        """Checks a checkpoint in the stream against the own state."""
        if (
            checkpoint.offset == self.offset
            and checkpoint.digest != self.digest
        ):
            self._report_divergence(
                _CHECKPOINT, checkpoint.offset, checkpoint.digest
            )
            return
        if checkpoint.offset == self.offset:
            self.divergences.resolve(_CHECKPOINT)
        self._schedule.on_checkpoint(now, checkpoint.offset)

    def _search_batch(self, now: float, batch: ports.Batch) -> None:
        """Searches a batch for the newest checkpoint to start from.

        All records that follow the checkpoint must be available.
        """
        if batch.records:
            self._search_offset = batch.records[-1].offset + 1
        for same_offset in checkpoints.candidates(batch):
            if len(same_offset) > 1:
                self._report_divergence(
                    _CHECKPOINT, same_offset[0].offset, same_offset[1].digest
                )
            elif self._load_checkpoint(now, same_offset[0]):
                return

    def _load_checkpoint(
        self, now: float, checkpoint: changes.Checkpoint
    ) -> bool:
        loaded = fold.from_bytes(checkpoint.state, checkpoint.digest)
        if loaded is None or loaded.offset != checkpoint.offset:
            return False
        if loaded.offset < self.offset or loaded.revision < self._fold.revision:
            return False
        self._replace_state(loaded)
        self._schedule.on_checkpoint(now, loaded.offset)
        return True

    def _replace_state(self, new_state: fold.Fold) -> None:
        self._fold = new_state
        self._is_complete = True
        if self.offset >= self._expired_below:
            self._search_offset = None

    def _report_divergence(
        self, source: str, offset: int, other_digest: str
    ) -> None:
        self.divergences.add(
            divergence.Divergence(source, offset, self.digest, other_digest)
        )


def _within(now: float, last_at: float | None, max_age_s: float) -> bool:
    return last_at is not None and now - last_at <= max_age_s
