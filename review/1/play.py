"""Streams without a length whose connection is reset between two events."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import case
from lib import clients
from lib import wire
from lib import workers

# Number of clients, and of streams that each asks for, one after the other.
_CLIENTS = 10
_STREAMS = 12
_DEADLINE_S = 14.0
# One worker of two breaks off one of so many answers, after this event.
_BREAKS_OFF_ONE_IN = 20
_LAST_EVENT = 15


class _UnframedWorker(workers.DecodeWorker):
    """Its answers have neither a length nor chunks and end with a close."""

    is_faulty = False

    def run(self, conn: wire.Connection, req: wire.Request) -> None:
        """Runs a request."""
        super().run(conn, req)
        conn.close()

    def framing(self) -> dict[str, str]:
        """Returns the headers that tell where the body ends."""
        return {'Connection': 'close'}

    def send_event(self, conn: wire.Connection, event: bytes) -> None:
        """Sends an event."""
        conn.send(event)

    def send_end(self, conn: wire.Connection) -> None:
        """Ends the body."""
        conn.close()

    def breaks_off(self, attempt: str, number: int) -> bool:
        """Whether the connection is reset after an event."""
        return (
            self.is_faulty
            and number == _LAST_EVENT
            and self.begun[attempt] % _BREAKS_OFF_ONE_IN == 0
        )


def _play(site: case.Site) -> int:
    site.add(workers.PrefillWorker, 'model-1', 'prefill', slots=64)
    decoders = [
        site.add(_UnframedWorker, 'model-1', 'decode', slots=64)
        for _ in range(2)
    ]
    for _ in range(2):
        site.add(workers.PlainWorker, 'plain-1')
    if case.has_trouble():
        decoders[0].is_faulty = True
    site.routers.start_all(first=True)
    answers: list[clients.Answer] = []

    def ask(number: int) -> None:
        for _ in range(_STREAMS):
            answers.append(
                clients.send(
                    site.routers.front(number % 2),
                    '/review/x',
                    site.notes,
                    deadline_s=_DEADLINE_S,
                    headers=clients.stream_headers(),
                    body=b'a log',
                )
            )

    case.in_threads(
        [lambda number=number: ask(number) for number in range(_CLIENTS)]
    )
    broken = 0
    served = 0
    for answer in answers:
        if answer.status != 200 or not answer.complete:
            continue
        ids = answer.event_ids()
        if ids == list(range(1, workers.DecodeWorker.events + 1)):
            served += 1
            continue
        broken += 1
        site.notes.note(
            'ends as complete before its last piece',
            attempt=answer.attempt,
            last=ids[-1] if ids else 0,
        )
    print(f'{len(answers)} streams, {served} whole, {broken} cut short')
    if served < len(answers) // 2:
        return case.NOT_RUN
    return case.BROKEN if broken else case.HELD


if __name__ == '__main__':
    case.main(__file__, _play, count=2)
