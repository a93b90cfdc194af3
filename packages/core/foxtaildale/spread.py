"""How a keeper follows the configuration stream, by log and by peers.

Decisions only; the keeper does the reading and asking. It polls the log from
`next_offset` and hands over what came (`on_batch`, `on_lapsed`,
`on_log_failed`); it exchanges beats with peers (`on_peer`) and pulls the
folded state from one that is ahead where the log doesn't deliver (`on_pull`).

A follower moves to higher offsets only. Three things can be wrong with what
it knows, and while one is it does not vouch for the preset in force:

- it knows nothing yet, or records that it has not read have lapsed: it looks
  for a checkpoint in what is left, or for a peer that is further;
- neither log nor an up-to-date peer has been heard within the freshness
  bound: a switch may have been missed;
- the log ends below what it has folded (`log_behind`): the log counts as
  failing, since following it would bring back what was replaced.

Two folds that differ at one offset break an invariant. That is reported, not
repaired: which of them is wrong can't be told here. The own state stays, the
other one is not pulled, and no checkpoint is written from either side.
"""

from typing import Final

from foxtaildale import changes
from foxtaildale import checkpoints
from foxtaildale import divergence
from foxtaildale import fold
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values

# Source of a state that stands in a checkpoint of the log.
_CHECKPOINT: Final = 'checkpoint'


class Follower:
    """One keeper's view of the configuration stream."""

    __slots__ = (
        '_contact_at',
        '_fold',
        '_freshness_s',
        '_gap',
        '_known',
        '_lag_s',
        '_log_at',
        '_schedule',
        '_seek',
        '_top',
        'divergences',
        'entry_vm',
        'log_behind',
    )

    entry_vm: str
    divergences: divergence.Reports
    # Whether the log's end lies below what was folded.
    log_behind: bool
    _fold: fold.Fold
    # Whether the fold stands for the whole stream up to its offset.
    _known: bool
    # Where the search for a checkpoint goes on; None when not searching.
    _seek: int | None
    # Records below this offset can't be read any more.
    _gap: int
    # Highest offset that is known to exist.
    _top: int
    # When the log last brought us up to date, and when log or peer did.
    _log_at: float | None
    _contact_at: float | None
    _schedule: checkpoints.Schedule

    def __init__(
        self,
        entry_vm: str,
        *,
        freshness_s: float = 30.0,
        lag_s: float = 2.0,
        checkpoint_s: float = 600.0,
    ) -> None:
        """Starts with nothing known.

        Args:
            entry_vm: Name of the VM.
            freshness_s: Age of the last contact above which nothing is
                vouched for.
            lag_s: Time without the log after which peers are pulled from.
            checkpoint_s: Longest time between checkpoints; well under half
                of what the platform keeps records for.
        """
        self.entry_vm = entry_vm
        self.divergences = divergence.Reports()
        self.log_behind = False
        self._freshness_s = freshness_s
        self._lag_s = lag_s
        self._schedule = checkpoints.Schedule(entry_vm, checkpoint_s)
        self._fold = fold.Fold()
        self._known = False
        self._seek = None
        self._gap = 0
        self._top = 0
        self._log_at = None
        self._contact_at = None

    @property
    def offset(self) -> int:
        """Offset of the first record that is not folded yet."""
        return self._fold.offset

    @property
    def next_offset(self) -> int:
        """Where to read the log from."""
        return self._fold.offset if self._seek is None else self._seek

    @property
    def digest(self) -> str:
        """Digest of the folded state."""
        return self._fold.digest

    @property
    def in_force(self) -> values.InForce | None:
        """The preset in force as far as it is known; see `vouched`."""
        return self._fold.in_force

    @property
    def state(self) -> fold.Fold:
        """The folded state, for reading only."""
        return self._fold

    def vouched(self, now: float) -> bool:
        """Tells whether `in_force` may be acted on."""
        if not self._known or self._gap > self.offset:
            return False
        return _within(now, self._contact_at, self._freshness_s)

    def log_age(self, now: float) -> float | None:
        """Returns the seconds since the log last told us everything."""
        return None if self._log_at is None else now - self._log_at

    def on_batch(self, now: float, batch: ports.Batch) -> bool:
        """Takes what the log gave; returns whether `in_force` changed."""
        if batch.end < self.offset:
            # The log was lost and begun anew, or a copy that lags answered.
            # Folding on from there would revert accepted presets.
            self.log_behind = True
            return False
        self.log_behind = False
        self._top = max(self._top, batch.end)
        before = self._fold.revision
        if self._lost_to(batch):
            self._search(batch.first)
        if self._seek is not None:
            self._scan(now, batch)
        else:
            self._known = True
            self._fold_all(now, batch)
        if self._seek is None and self.offset >= self._top:
            self._log_at = now
            self._contact_at = now
        return self._fold.revision != before

    def on_lapsed(self, now: float, first: int) -> None:
        """Records from `next_offset` to before `first` are gone unread."""
        del now
        self._search(first)

    def on_log_failed(self, now: float) -> None:
        """The log could not be read; only time without it matters."""

    def on_peer(self, now: float, beat: messages.Beat) -> bool:
        """Takes a peer's beat; returns whether to pull from that peer."""
        if beat.offset > self.offset:
            if beat.entry_vm in self.divergences:
                return False
            self._top = max(self._top, beat.offset)
            # The log brings the same with the next poll, and costs less.
            return not _within(now, self._log_at, self._lag_s)
        if beat.offset < self.offset:
            # It is behind, and can't tell whether a switch was missed.
            return False
        if beat.digest != self.digest:
            self._report(beat.entry_vm, beat.offset, beat.digest)
            return False
        self.divergences.settle(beat.entry_vm)
        if self.offset >= self._top:
            self._contact_at = now
        return False

    def on_pull(self, now: float, reply: messages.PullReply) -> bool:
        """Takes a peer's state; returns whether `in_force` changed."""
        if reply.offset <= self.offset:
            return False
        pulled = fold.from_bytes(reply.state, reply.digest)
        if pulled is None or pulled.offset != reply.offset:
            return False
        before = self._fold.revision
        if pulled.revision < before:
            # A longer stream can't have fewer switches than its beginning.
            self._report('pull', reply.offset, reply.digest)
            return False
        self._adopt(pulled)
        self._top = max(self._top, self.offset)
        if self.offset >= self._top:
            self._contact_at = now
        return self._fold.revision != before

    def pull_reply(self) -> messages.PullReply:
        """Returns the folded state for a peer; the keeper adds its list."""
        return messages.PullReply(
            offset=self.offset,
            digest=self.digest,
            state=self._fold.to_bytes(),
            listing=None,
        )

    def checkpoint_due(
        self, now: float, first_kept: int, keepers: int = 8
    ) -> bytes | None:
        """Returns the record of a checkpoint to append, if it is time.

        Args:
            now: The time.
            first_kept: Oldest offset that the log still keeps.
            keepers: How many keepers there are, to spread them in time.
        """
        if not self.vouched(now) or self.divergences or not self.offset:
            return None
        if not _within(now, self._log_at, self._lag_s):
            return None
        if not self._schedule.due(now, first_kept, keepers):
            return None
        return changes.encode(
            changes.Checkpoint(
                id=f'{self.entry_vm[:20]}-{self.offset}',
                offset=self.offset,
                digest=self.digest,
                state=self._fold.to_bytes(),
            )
        )

    def _lost_to(self, batch: ports.Batch) -> bool:
        """Tells whether records between ours and the batch are gone."""
        if self._seek is not None:
            return False
        return batch.first > self.offset

    def _search(self, first: int) -> None:
        if first <= self.offset:
            self._seek = None
            return
        self._gap = max(self._gap, first)
        self._seek = first

    def _fold_all(self, now: float, batch: ports.Batch) -> None:
        for record in batch.records:
            if record.offset > self.offset:
                # A record is missing; what follows can't be folded.
                self._search(record.offset)
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

    def _on_checkpoint(self, now: float, found: changes.Checkpoint) -> None:
        """Notes a checkpoint met while folding; the fold doesn't need it."""
        if found.offset == self.offset and found.digest != self.digest:
            self._report(_CHECKPOINT, found.offset, found.digest)
            return
        if found.offset == self.offset:
            self.divergences.settle(_CHECKPOINT)
        self._schedule.on_checkpoint(now, found.offset)

    def _scan(self, now: float, batch: ports.Batch) -> None:
        """Looks for the newest checkpoint whose rest can be read."""
        if batch.records:
            self._seek = batch.records[-1].offset + 1
        for found in checkpoints.candidates(batch):
            if len(found) > 1:
                self._report(_CHECKPOINT, found[0].offset, found[1].digest)
            elif self._start_from(now, found[0]):
                return

    def _start_from(self, now: float, found: changes.Checkpoint) -> bool:
        loaded = fold.from_bytes(found.state, found.digest)
        if loaded is None or loaded.offset != found.offset:
            return False
        if loaded.offset < self.offset or loaded.revision < self._fold.revision:
            return False
        self._adopt(loaded)
        self._schedule.on_checkpoint(now, loaded.offset)
        return True

    def _adopt(self, state: fold.Fold) -> None:
        self._fold = state
        self._known = True
        if self.offset >= self._gap:
            self._seek = None

    def _report(self, source: str, offset: int, other: str) -> None:
        self.divergences.report(
            divergence.Divergence(source, offset, self.digest, other)
        )


def _within(now: float, since: float | None, bound: float) -> bool:
    return since is not None and now - since <= bound
