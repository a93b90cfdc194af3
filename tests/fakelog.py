"""An in-memory fake of one stream of the platform log."""

from foxtaildale import claims
from foxtaildale import ports


class FakeLog:
    """Holds the appended records; `expire_all_but` expires the oldest ones."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.append_count = 0

    def append(self, records: list[bytes]) -> None:
        self.records += records
        self.append_count += 1

    def expire_all_but(self, count: int) -> None:
        self.first = max(self.first, len(self.records) - count)

    def read(self, offset: int) -> ports.Batch:
        start = max(offset, self.first)
        records = tuple(
            ports.Record(start + index, data)
            for index, data in enumerate(self.records[start:])
        )
        return ports.Batch(self.first, len(self.records), records)


def append_and_read(
    log: FakeLog, keeper: claims.Claims, now: float
) -> list[claims.SettledClaim]:
    """Appends the pending records of a `Claims` object and reads the log."""
    records = keeper.take_batch(now)
    if records:
        log.append(records)
        keeper.on_appended(now)
    return keeper.on_records(now, log.read(keeper.next_offset()))
