"""Routers are stopped in turn while a client goes on on its kept connection."""

import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import case
from lib import clients
from lib import wire
from lib import workers

_ROUTERS = 3
_DEADLINE_S = 14.0
_GRACE_S = 8.0
# A step of an engine takes 3.27 ms and 0.0823 ms for each request that runs; an
# event has twelve tokens. A response has 70 events in the mean, 170 at most.
_EVENT_TOKENS = 12
_PACE_S = _EVENT_TOKENS * (0.00327 + 0.0000823)
_EVENTS = 120
_TOKENS = '3200,2040'
_HINT = '1440'
# SIGTERM follows the begin of a stream after this time, seconds, so that the
# stream ends before four seconds of the grace time are over.
_SIGTERM_AFTER_S = 1.0
# What is sent later than this after SIGTERM must not be cut, seconds.
_LATE_S = 3.0
_CALM_S = 4.0


class _Client:
    """Asks for one stream after the other on a kept connection."""

    def __init__(self, site: case.Site, number: int) -> None:
        self._site = site
        self._number = number
        self._conn = wire.connect(site.routers.front(number), 1.0)
        # When each request was sent, seconds, and its answer.
        self.answers: list[tuple[float, clients.Answer]] = []

    def ask(self) -> clients.Answer:
        """Asks for a stream and reads its answer."""
        sent_at = time.monotonic()
        answer = clients.send(
            self._site.routers.front(self._number),
            '/audit/x',
            self._site.notes,
            deadline_s=_DEADLINE_S,
            headers=clients.stream_headers()
            | {
                'Foxtaildale-Token-Count': _TOKENS,
                'Foxtaildale-Length-Hint': _HINT,
            },
            body=b'a log',
            conn=self._conn,
        )
        self.answers.append((sent_at, answer))
        return answer

    def play(self) -> None:
        """Goes on as long as the connection is open."""
        while True:
            answer = self.ask()
            closes = answer.headers.get('connection', '').lower() == 'close'
            if closes or not answer.complete:
                self._conn.close()
                return


def _stop(site: case.Site, number: int) -> int:
    """Stops a router in the middle of a stream; returns what was cut."""
    client = _Client(site, number)
    stopped_at = 0.0

    def stop() -> None:
        nonlocal stopped_at
        time.sleep(_SIGTERM_AFTER_S)
        stopped_at = time.monotonic()
        site.routers.signal(number, signal.SIGTERM)
        while site.routers.is_running(number):
            if time.monotonic() - stopped_at > _GRACE_S:
                site.routers.kill(number)
            time.sleep(0.02)
        site.notes.note(
            'stopped',
            router=number,
            after_s=round(time.monotonic() - stopped_at, 2),
        )

    if case.has_trouble():
        case.in_threads([client.play, stop])
        site.routers.start(number, first=False)
        site.routers.wait_ready(number)
    else:
        for _ in range(2):
            client.ask()
        stopped_at = time.monotonic()
    cut = 0
    ran = site.notes.attempts_run_by({one.id for one in site.workers})
    for sent_at, answer in client.answers:
        late_s = sent_at - stopped_at
        if answer.complete or answer.attempt not in ran or late_s <= _LATE_S:
            continue
        cut += 1
        site.notes.note(
            'cut',
            router=number,
            attempt=answer.attempt,
            sent_after_sigterm_s=round(late_s, 2),
        )
    return cut


def _play(site: case.Site) -> int:
    workers.DecodeWorker.events = _EVENTS
    workers.DecodeWorker.pace_s = _PACE_S
    site.add(workers.PrefillWorker, 'model-1', 'prefill', slots=64)
    for _ in range(2):
        site.add(workers.DecodeWorker, 'model-1', 'decode', slots=64)
    for _ in range(2):
        site.add(workers.PlainWorker, 'plain-1')
    site.routers.start_all(first=True)
    time.sleep(_CALM_S)
    cut = 0
    for number in range(_ROUTERS):
        cut += _stop(site, number)
        time.sleep(_CALM_S)
    print(f'{cut} requests cut that were sent late')
    return case.BROKEN if cut else case.HELD


if __name__ == '__main__':
    case.main(__file__, _play, count=_ROUTERS, event_tokens=_EVENT_TOKENS)
