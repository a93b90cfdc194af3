"""A plain service; each call that it executes is recorded.

It recognises nothing: a call that comes twice is executed twice, and that
shows in `GET /executions`. Of its calls, `check-in` may not be repeated, while
`queue` may. `GET /load` reports the load.

Faults: `lose_answers` executes and cuts the connection, for that many calls
(-1: all); `slow_ms` delays the answer after the execution; `late_ms` delays
the execution itself.
"""

import threading
import time

import defopt
import msgspec
import xxhash

from foxtaildale import backends
from tests.standins import serving


class Faults(msgspec.Struct):
    """What is wrong with the service just now."""

    lose_answers: int = 0
    slow_ms: float = 0.0
    late_ms: float = 0.0


class Service:
    """State of the stand-in, and its handler."""

    def __init__(self, name: str, workers: int) -> None:
        self._name = name
        self._workers = workers
        self._record = serving.Record()
        self._lock = threading.Lock()
        self._running = 0
        self._executed = 0
        self._faults = Faults()

    def handle(self, req: serving.Request) -> serving.Response:
        """Answers one request."""
        if req.path == '/faults':
            self._faults = serving.merge(self._faults, req.body)
            return serving.as_json(self._faults)
        if req.path == '/record':
            return serving.as_json(self._record.entries())
        if req.path == '/executions':
            begun = [e for e in self._record.entries() if e.phase == 'begun']
            return serving.as_json(begun)
        if req.path == '/load':
            return serving.as_json(self._load())
        if req.method != 'POST':
            return serving.Response(status=405)
        return self._call(req)

    def _call(self, req: serving.Request) -> serving.Response:
        request = req.headers.get('foxtaildale-request', '')
        call = req.path[1:]
        body = xxhash.xxh64_hexdigest(req.body)
        with self._lock:
            self._running += 1
        try:
            time.sleep(self._faults.late_ms / 1000)
            with self._lock:
                self._executed += 1
                number = self._executed
                lose = self._faults.lose_answers
                if lose > 0:
                    self._faults.lose_answers -= 1
            self._record.note('call', 'begun', request, call=call, body=body)
            time.sleep(self._faults.slow_ms / 1000)
            self._record.note('call', 'ended', request, call=call, body=body)
        finally:
            with self._lock:
                self._running -= 1
        if lose:
            raise serving.Cut
        return serving.as_json(
            {'call': call, 'request': request, 'number': number, 'body': body}
        )

    def _load(self) -> backends.Load:
        with self._lock:
            return backends.Load(
                name=self._name,
                slots=self._workers,
                running=self._running,
                queued=0,
                backlog_tokens=0,
                age_ms=0,
            )


def main(
    *, name: str = 'service', address: str = '127.0.0.1:0', workers: int = 20
) -> None:
    """Runs the plain service stand-in.

    Args:
        name: Name of the backend server.
        address: Where to listen; port 0 lets the kernel choose.
        workers: Calls that it works on at once.
    """
    serving.run(Service(name, workers).handle, address, threads=workers + 8)


if __name__ == '__main__':
    defopt.run(main)
