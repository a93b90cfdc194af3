"""What the soak checks of servers that leave, or ask for rest, in their answers."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Final

from tests.standins import wireworker

# Time from an answer that says that its server leaves until its router must send
# nothing there, seconds.
LEAVES_S: Final = 2.0
# The same for a server that asks for rest, and the sends that are excused.
RESTS_S: Final = 0.5
_EXCUSED: Final = 2


@dataclasses.dataclass(frozen=True)
class Span:
    """A time in which a router, or a worker's link or connections, was disturbed."""

    what: str
    begin: float
    end: float


class Checks:
    """What was seen; callers' threads and faults add to it."""

    def __init__(self) -> None:
        # By request: when its caller sent it, and had its whole good answer.
        self.sent_at: dict[str, float] = {}
        self.served_at: dict[str, float] = {}
        self.disturbed: list[Span] = []

    def judge(self, workers: Sequence[wireworker.WireWorker]) -> list[str]:
        """Returns what was wrong."""
        runs: dict[str, int] = {}
        for worker in workers:
            for request in worker.ids():
                runs[request] = runs.get(request, 0) + 1
        found = []
        for number, worker in enumerate(workers):
            by_sender: dict[tuple[str, str], list[wireworker.Arrival]] = {}
            for arrival in worker.came:
                sender = arrival.attempt.rpartition('-r')[2]
                by_sender.setdefault((sender, arrival.server), []).append(
                    arrival
                )
            for (sender, server), came in by_sender.items():
                found += [
                    f'{server} from router {sender}: {fault}'
                    for fault in (
                        *self._judge_leave(sender, came, runs),
                        *self._judge_rest(sender, number, came),
                    )
                ]
        return found

    def _judge_leave(
        self,
        sender: str,
        came: Sequence[wireworker.Arrival],
        runs: Mapping[str, int],
    ) -> list[str]:
        told_at: float | None = None
        for arrival in came:
            if not arrival.leaving:
                told_at = None
                continue
            sent_at = self.sent_at.get(arrival.attempt, 0.0)
            if (
                told_at is not None
                and sent_at > told_at + LEAVES_S
                and not self._disturbed(f'router {sender}', told_at, arrival.at)
            ):
                return [f'{sent_at - told_at:.2f} s after it heard the leave']
            served_at = self.served_at.get(arrival.attempt)
            if served_at is not None and runs.get(arrival.attempt) == 1:
                told_at = min(told_at or served_at, served_at)
        return []

    def _judge_rest(
        self, sender: str, number: int, came: Sequence[wireworker.Arrival]
    ) -> list[str]:
        for asked in came:
            if asked.rest_s is None:
                continue
            end = asked.at + asked.rest_s
            late = sum(asked.at + RESTS_S < item.at < end for item in came)
            if late > _EXCUSED and not (
                self._disturbed(f'router {sender}', asked.at, end)
                or self._disturbed(f'link {number}', asked.at - RESTS_S, end)
                # The answer may have been lost with its connection.
                or self._disturbed(
                    f'connections {number}', asked.at, asked.at + RESTS_S
                )
            ):
                return [f'{late} requests within {asked.rest_s} s of rest']
        return []

    def _disturbed(self, what: str, begin: float, end: float) -> bool:
        return any(
            span.what == what and span.begin <= end and span.end >= begin
            for span in self.disturbed
        )
