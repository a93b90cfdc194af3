"""All routers lose power while half of the workers of a service are replaced."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lib import case
from lib import clients
from lib import workers

_ROUTERS = 3
_STREAMS = 12
_DEADLINE_S = 14.0
# A stream lasts for nine seconds.
_EVENTS = 110
_PACE_S = 0.08
# How long the routers serve before the streams begin, seconds.
_CALM_S = 15.0
# Times after the begin of the streams, seconds.
_POWER_LOSS_S = 2.0
_POWER_BACK_S = 7.0
# Pause between two steps of the release, between the start of a new worker and
# the report of the old one that it is draining, and the time that this one
# serves afterwards, seconds.
_RELEASE_GAP_S = 1.0
_HAND_OVER_S = 0.2
_DRAIN_S = 2.1
# Pauses before a client tries again, seconds.
_PAUSES_S = (0.2, 1.0, 2.5, 4.0)


def _ask(site: case.Site, number: int, tries: list[clients.Answer]) -> None:
    """Asks for a stream and takes it up again until it is whole."""
    until = time.monotonic() + _DEADLINE_S
    events: dict[int, str] = {}
    headers = clients.stream_headers()
    first_attempt = ''
    for pause_s in (0.0, *_PAUSES_S):
        time.sleep(pause_s)
        left_s = until - time.monotonic()
        if left_s <= 0:
            return
        added = {}
        if events:
            added = {
                'Last-Event-Id': str(max(events)),
                'Resumes': first_attempt,
            }
        answer = clients.send(
            site.routers.front((number + len(tries)) % _ROUTERS),
            '/review/x',
            site.notes,
            deadline_s=left_s,
            headers=headers | added,
            body=b'a log',
        )
        tries.append(answer)
        ids = answer.event_ids()
        if ids and not events:
            first_attempt = answer.attempt
        events.update(zip(ids, answer.event_words(0), strict=True))
        if answer.status == 200 and answer.complete:
            return


def _release(site: case.Site, old: list[workers.Worker]) -> None:
    """Replaces workers one after the other; the new one starts first."""

    def retire(worker: workers.Worker) -> None:
        worker.announce_leaving()
        time.sleep(_DRAIN_S)
        worker.leave()

    retiring = []
    for worker in old:
        new = site.add(
            type(worker), worker.service, worker.stage, 'v2', slots=64
        )
        site.notes.note('worker of v2 started', worker=new.id)
        time.sleep(_HAND_OVER_S)
        retiring.append(threading.Thread(target=retire, args=(worker,)))
        retiring[-1].start()
        time.sleep(_RELEASE_GAP_S - _HAND_OVER_S)
    for thread in retiring:
        thread.join()


def _play(site: case.Site) -> int:
    workers.DecodeWorker.events = _EVENTS
    workers.DecodeWorker.pace_s = _PACE_S
    for _ in range(2):
        site.add(workers.PrefillWorker, 'model-1', 'prefill', slots=64)
    decoders = [
        site.add(workers.DecodeWorker, 'model-1', 'decode', slots=64)
        for _ in range(2)
    ]
    for _ in range(2):
        site.add(workers.PlainWorker, 'plain-1')
    site.routers.start_all(first=True)
    time.sleep(_CALM_S)
    all_tries: list[list[clients.Answer]] = [[] for _ in range(_STREAMS)]
    asking = [
        threading.Thread(target=_ask, args=(site, number, tries))
        for number, tries in enumerate(all_tries)
    ]
    begun_at = time.monotonic()
    for thread in asking:
        thread.start()

    def until(at_s: float) -> None:
        time.sleep(max(0.0, begun_at + at_s - time.monotonic()))

    until(_POWER_LOSS_S)
    if case.has_trouble():
        for number in range(_ROUTERS):
            site.routers.kill(number)
    releasing = threading.Thread(target=_release, args=(site, decoders))
    releasing.start()
    if case.has_trouble():
        until(_POWER_BACK_S)
        for number in range(_ROUTERS):
            site.routers.start(number, first=False)
    for thread in [*asking, releasing]:
        thread.join()
    mixed = 0
    began = 0
    for tries in all_tries:
        versions: set[str] = set()
        for answer in tries:
            versions.update(answer.event_words(0))
        began += bool(versions)
        if len(versions) > 1:
            mixed += 1
            site.notes.note(
                'holds events of two versions',
                attempts=','.join(answer.attempt for answer in tries),
            )
    print(f'{began} streams began, {mixed} hold events of two versions')
    if began < _STREAMS // 2:
        return case.NOT_RUN
    return case.BROKEN if mixed > 2 else case.HELD


if __name__ == '__main__':
    case.main(__file__, _play, count=_ROUTERS)
