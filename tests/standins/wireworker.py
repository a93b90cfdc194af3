"""A backend server that speaks the users' protocol, in this process.

It notes what ran. Faults are fields: `refuse` sheds everything, `error`
answers 500, `cut` closes after it ran without an answer, `break_after` breaks
a stream off after so many events, `framed` and `stutters` are about the ends of
responses and about second ones, `pace_s` is the time between events. `on_run`
is called as a request begins to run, behind the head of a stream, and `on_prefill`
as its prompt is read.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import itertools
import json
import threading
import time
from typing import Any

from tests.standins import serving

_STAMP = 'Foxtaildale-Response-Stamp'
_ATTEMPT = 'Foxtaildale-Attempt-Id'
# Size of a block of a body without end, bytes.
_BLOCK_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that came, whatever became of it."""

    at: float
    attempt: str
    # The name under which the server took it, and what it said of itself.
    server: str
    leaving: bool
    # For how long it wanted nothing more, seconds; None if it did not say.
    rest_s: float | None


class WireWorker:
    """One start of one server."""

    def __init__(
        self, name: str, service: str, stage: str = '', version: str = 'v1'
    ) -> None:
        self.name = name
        # Version of its software.
        self.version = version
        self.service = service
        self.stage = stage
        self.refuse = False
        self.error = False
        self.cut = False
        self.break_after: int | None = None
        # Whether the bodies of a plain server go on until the caller closes, and
        # bytes that it adds to them otherwise.
        self.endless = False
        self.more_bytes = 0
        # Bytes of an event that a stream begins with and ends only as
        # `unfinished_until` is set.
        self.unfinished_bytes = 0
        self.unfinished_until = threading.Event()
        # Number of events of a stream behind which it goes on with chunks of one
        # byte that end no event, as fast as they are read.
        self.endless_after: int | None = None
        # Whether its responses have a length or chunks, whether it responds
        # twice, with which status, 0 for the same, and how long after the first
        # response, seconds.
        self.framed = True
        self.stutters = False
        self.second_status = 0
        self.second_after_s: Callable[[], float] = lambda: 0.0
        self.pace_s = 0.0
        self.work_s = 0.0
        self.events = 5
        self.on_run: Callable[[serving.Request], None] = lambda _: None
        # Called before each event of a stream with its number and the request.
        self.on_event: Callable[[int, str], None] = lambda *_: None
        self.on_prefill: Callable[[serving.Request], None] = lambda _: None
        # Requests a second that it says it takes from all routers together.
        self.limit: float | None = None
        # Whether its answers say that it leaves, and for how long it wants nothing
        # more from a router that it refuses, seconds.
        self.leaving = False
        self.rest_s: float | None = None
        # When it started, Unix milliseconds.
        self.born = 0
        self._beats = 0
        # Requests that came, refused ones as well.
        self.came: list[Arrival] = []
        self._lock = threading.Lock()
        # Requests that ran, with their headers and targets.
        self.ran: list[serving.Request] = []
        self.ended: list[str] = []
        # Requests that were meant for another server.
        self.missed = 0
        # Handles read and not taken yet, holds, and prompts freed.
        self.freed: list[str] = []
        # Orders that came, in order.
        self.orders: list[dict[str, Any]] = []
        self._server, self.address = serving.start(
            self._handle, '127.0.0.1:0', 16
        )

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Returns its entry in the list, as it writes it next."""
        self._beats += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'here',
            'version': self.version,
            'cold_left_ms': 0,
            'slots': 8,
            'state': state,
            'stage': self.stage,
            'seq_no': self._beats,
            'born': self.born,
        }

    @property
    def came_at(self) -> list[float]:
        """Returns when requests came, refused ones as well, seconds."""
        return [arrival.at for arrival in list(self.came)]

    def ids(self) -> list[str]:
        """Returns the ids of the requests that ran, in order."""
        with self._lock:
            return [req.headers[_ATTEMPT.lower()] for req in self.ran]

    def close(self) -> None:
        """Ends the server."""
        self._server.stop()

    def _handle(self, req: serving.Request) -> serving.Response:
        response = self._respond(req)
        if not req.path.startswith('/api/'):
            response.framed = self.framed
        if self.stutters:
            response.second_status = self.second_status or response.status
            response.second_after_s = self.second_after_s()
        return response

    def _respond(self, req: serving.Request) -> serving.Response:
        if req.path == '/api/hold-take':
            refuse = self.refuse
            said = self._said(refuse=refuse)
            if refuse:
                return serving.Response(status=503, headers=said)
            hold = json.dumps({'hold': 'h1'}).encode()
            return serving.Response(hold, headers=said)
        if req.path == '/api/order':
            return self._order(req)
        if req.path.startswith('/api/'):
            self.freed.append(req.path.rpartition('/')[2])
            return serving.Response()
        return self._run(req)

    def _order(self, req: serving.Request) -> serving.Response:
        if req.headers.get('foxtaildale-expect-instance') != self.name:
            return serving.Response(status=421)
        self.orders.append(json.loads(req.body))
        return serving.Response(status=202)

    def _run(self, req: serving.Request) -> serving.Response:
        attempt = req.headers.get(_ATTEMPT.lower(), '')
        expected = req.headers.get('foxtaildale-expect-instance')
        # Looked at once: a fault may end while the request is looked at.
        misdirected = expected not in (None, self.name)
        refuse = self.refuse and not misdirected
        mine = ((_ATTEMPT, attempt), *self._said(refuse=refuse))
        self.came.append(
            Arrival(
                at=time.monotonic(),
                attempt=attempt,
                server=self.name,
                leaving=self.leaving,
                rest_s=self.rest_s if refuse else None,
            )
        )
        if misdirected:
            self.missed += 1
            found = (*mine, ('Foxtaildale-Instance-Id', self.name))
            return serving.Response(status=421, headers=found)
        if refuse:
            refused = (*mine, ('Foxtaildale-Not-Executed', '1'))
            return serving.Response(status=503, headers=refused)
        with self._lock:
            self.ran.append(req)
        if self.cut:
            raise serving.Cut
        if req.headers.get('foxtaildale-stage') == 'prefill':
            self.on_prefill(req)
            time.sleep(self.work_s)
            body = {'handle_id': f'kv-{attempt}', 'tokens': 1, 'version': 1}
            return serving.Response(json.dumps(body).encode(), headers=mine)
        return self._answer(req, attempt, mine)

    def _said(self, *, refuse: bool) -> tuple[tuple[str, str], ...]:
        found: list[tuple[str, str]] = []
        if self.limit is not None:
            found.append(('Server-Limit', str(self.limit)))
        if self.leaving:
            found.append(('Server-Leaving', '1'))
        if refuse and self.rest_s is not None:
            found.append(('Retry-After', str(self.rest_s)))
        return tuple(found)

    def _answer(
        self,
        req: serving.Request,
        attempt: str,
        mine: tuple[tuple[str, str], ...],
    ) -> serving.Response:
        stamped = (*mine, (_STAMP, f'{self.name}.{attempt}'))
        if self.error:
            return serving.Response(b'broken', 500, headers=stamped)
        if self.stage == 'decode':
            start = int(req.headers.get('last-event-id', '0'))
            return serving.Response(
                self._stream(req, attempt, start),
                kind='text/event-stream',
                headers=stamped,
            )
        self.on_run(req)
        time.sleep(self.work_s)
        if self.endless:
            blocks = itertools.repeat(bytes(_BLOCK_BYTES))
            return serving.Response(blocks, headers=stamped)
        self.ended.append(attempt)
        return serving.Response(
            f'{attempt}:{req.target}'.encode() + bytes(self.more_bytes),
            headers=stamped,
        )

    def _stream(
        self, req: serving.Request, attempt: str, start: int
    ) -> Iterator[bytes]:
        self.on_run(req)
        if self.unfinished_bytes:
            for _ in range(0, self.unfinished_bytes, _BLOCK_BYTES):
                yield b'a' * _BLOCK_BYTES
            self.unfinished_until.wait()
            yield b'\n\n'
        for number in range(start + 1, self.events + 1):
            if self.endless_after == number - 1:
                req.send_until_closed(100 * b'1\r\nx\r\n')
                raise serving.Cut
            if self.break_after is not None and number > self.break_after:
                # In the middle of an event.
                yield b'id: %d\nda' % number
                raise serving.Cut
            time.sleep(self.pace_s)
            self.on_event(number, attempt)
            yield b'id: %d\ndata: %s-%d\n\n' % (
                number,
                attempt.encode(),
                number,
            )
        self.ended.append(attempt)
