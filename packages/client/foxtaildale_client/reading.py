"""The configuration stream as the operators' program reads it.

The same `spread.Follower` as in the keepers folds the records, so what is
shown is what they hold. Beside it stands from which offset on verdicts can be
seen: a fold remembers them for a number of offsets only, and one that begins
at a checkpoint knows nothing of what was decided long before.
"""

from typing import Final

from foxtaildale import changes
from foxtaildale import config_follower
from foxtaildale import errors
from foxtaildale import fold
from foxtaildale import ports

# Records in one read; fewer than verdicts are remembered for, so that none is
# forgotten before it has been looked at.
_BATCH: Final = fold.VERDICT_WINDOW // 2
# Reads in a row that find their records lapsed, before giving up.
_LAPSES: Final = 3


class UnknownStateError(errors.FoxtaildaleError):
    """Old records have lapsed and no checkpoint is left to start from."""


class Reader:
    """Folds the stream and watches for one verdict."""

    __slots__ = ('_follower', '_log', '_reads', 'covered_from', 'seen')

    # Verdicts on records from this offset on have been or will be seen.
    covered_from: int
    # Verdicts met, by record id, for those that were watched for.
    seen: dict[str, fold.Verdict]
    _log: ports.Log
    _follower: config_follower.Follower
    # Reads so far; they are the follower's time, so that it vouches for what
    # it knows exactly if the last read brought it to the end.
    _reads: int

    def __init__(self, log: ports.Log) -> None:
        self.covered_from = 0
        self.seen = {}
        self._log = log
        self._follower = config_follower.Follower('operator', freshness_s=0.0)
        self._reads = 0

    @property
    def state(self) -> fold.Fold:
        """The state folded so far."""
        return self._follower.state

    def catch_up(self, watched: str = '') -> None:
        """Reads to the end of the stream.

        Args:
            watched: Id of a record whose verdict goes into `seen`.

        Raises:
            errors.PortError: The log could not be read to its end.
            UnknownStateError: What the log still keeps is not enough.
        """
        lapses = 0
        while True:
            try:
                batch = self._log.read(
                    changes.STREAM, self._follower.next_offset, _BATCH
                )
            except errors.RecordsExpiredError as exc:
                lapses += 1
                if lapses > _LAPSES:
                    raise
                self._follower.on_lapsed(self._reads, exc.first)
                continue
            if self._take(batch, watched):
                return

    def _take(self, batch: ports.Batch, watched: str) -> bool:
        """Folds a batch; returns whether it was the last one."""
        if batch.end < self.state.offset:
            raise UnknownStateError('the log ends before what was read of it')
        searching = self._follower.next_offset != self.state.offset
        searching = searching or batch.first > self.state.offset
        self._reads += 1
        self._follower.on_batch(self._reads, batch)
        if searching:
            self.covered_from = max(0, self.state.offset - fold.VERDICT_WINDOW)
        verdict = self.state.verdict(watched)
        if verdict is not None:
            self.seen[watched] = verdict
        if self._follower.vouched(self._reads):
            return True
        if not batch.records:
            raise UnknownStateError(
                'old records have lapsed and no checkpoint is left'
            )
        return False
