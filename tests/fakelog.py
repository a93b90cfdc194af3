"""A fake of one stream of the platform's log, driven by hand."""

from foxtaildale import claims
from foxtaildale import ports


class FakeLog:
    """Keeps records; `keep` lets the oldest ones lapse."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.appends = 0

    def append(self, records: list[bytes]) -> None:
        self.records += records
        self.appends += 1

    def keep(self, count: int) -> None:
        self.first = max(self.first, len(self.records) - count)

    def read(self, offset: int) -> ports.Batch:
        start = max(offset, self.first)
        records = tuple(
            ports.Record(start + n, data)
            for n, data in enumerate(self.records[start:])
        )
        return ports.Batch(self.first, len(self.records), records)


def step(
    log: FakeLog, keeper: claims.Claims, now: float
) -> list[claims.Settled]:
    """Appends what a keeper has to say and lets it read."""
    records = keeper.batch(now)
    if records:
        log.append(records)
        keeper.on_appended(now)
    return keeper.on_records(now, log.read(keeper.next_offset()))
