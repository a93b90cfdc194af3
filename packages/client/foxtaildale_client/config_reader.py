"""Reads the configuration stream for the command line program.

The records are folded by the same `config_follower.Follower` as in the
keepers, so the state shown is the state that keepers hold. The reader also
tracks the offset from which on verdicts are visible: a fold retains verdicts
for a limited number of offsets only, and a fold that starts at a checkpoint
has no verdicts from long before it.
"""

from typing import Final

from foxtaildale import changes
from foxtaildale import config_follower
from foxtaildale import errors
from foxtaildale import fold
from foxtaildale import ports

# Maximum number of records per read. It is below the verdict window, so that no
# verdict is discarded before it has been checked.
_BATCH: Final = fold.VERDICT_WINDOW // 2
# Maximum number of reads of one catch-up that may find their records expired.
_MAX_EXPIRED_READS: Final = 3


class UnknownStateError(errors.FoxtaildaleError):
    """Old records have expired and no checkpoint is left to start from."""


class Reader:
    """Folds the stream and records the verdict of a watched change."""

    __slots__ = ('_follower', '_log', '_reads', 'covered_from', 'verdicts')

    # Verdicts on records from this offset on are or will be visible.
    covered_from: int
    # Verdicts of watched records, by record id.
    verdicts: dict[str, fold.Verdict]
    _log: ports.Log
    _follower: config_follower.Follower
    # Number of reads so far. It is the follower's clock, so that the follower
    # vouches for its state exactly if the last read reached the end.
    _reads: int

    def __init__(self, log: ports.Log) -> None:
        self.covered_from = 0
        self.verdicts = {}
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
            watched: Id of a record whose verdict is stored in `verdicts`.

        Raises:
            errors.PortError: The log could not be read to its end.
            UnknownStateError: The records left in the log are not sufficient.
        """
        expired_reads = 0
        while True:
            try:
                batch = self._log.read(
                    changes.STREAM, self._follower.next_offset, _BATCH
                )
            except errors.RecordsExpiredError as exc:
                expired_reads += 1
                if expired_reads > _MAX_EXPIRED_READS:
                    raise
                self._follower.on_lapsed(self._reads, exc.first)
                continue
            if self._apply_batch(batch, watched):
                return

    def _apply_batch(self, batch: ports.Batch, watched: str) -> bool:
        """Folds a batch; returns whether it was the last one."""
        if batch.end < self.state.offset:
            raise UnknownStateError(
                'the log ends before the offset already read'
            )
        searching = self._follower.next_offset != self.state.offset
        searching = searching or batch.first > self.state.offset
        self._reads += 1
        self._follower.on_batch(self._reads, batch)
        if searching:
            self.covered_from = max(0, self.state.offset - fold.VERDICT_WINDOW)
        verdict = self.state.verdict(watched)
        if verdict is not None:
            self.verdicts[watched] = verdict
        if self._follower.vouched(self._reads):
            return True
        if not batch.records:
            raise UnknownStateError(
                'old records have expired and no checkpoint is left'
            )
        return False
