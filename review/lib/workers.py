"""Workers: plain servers and model engines."""

import contextlib
import secrets
import threading
import time

from lib import record
from lib import store
from lib import wire

HEARTBEAT_S = 1.2
ATTEMPT = 'foxtaildale-attempt-id'
_EXPECT = 'foxtaildale-expect-instance'


class Worker:
    """One start of a worker; it lists itself in the store."""

    def __init__(
        self,
        platform: store.Store,
        notes: record.Record,
        *,
        service: str,
        stage: str = '',
        version: str = 'v1',
        slots: int = 6,
    ) -> None:
        self.id = f'i-{secrets.token_hex(4)}'
        self.service = service
        self.stage = stage
        self.version = version
        self.slots = slots
        self.notes = notes
        self._platform = platform
        self._born = int(time.time() * 1000)
        self._seq_no = 0
        self._state = 'ready'
        self._lock = threading.Lock()
        self.running = 0
        # Number of each attempt among the requests that came here.
        self.begun: dict[str, int] = {}
        self.free_slots = threading.BoundedSemaphore(slots)
        self._ended = threading.Event()
        self._server = wire.Server(self._handle)
        self.address = self._server.address
        self._beat()
        threading.Thread(target=self._heartbeats, daemon=True).start()

    def announce_leaving(self) -> None:
        """Reports that the worker is draining."""
        self._state = 'draining'
        self._beat()
        self.notes.note('worker draining', worker=self.id)

    def leave(self) -> None:
        """Ends the worker and removes its entry."""
        with self._lock:
            self._ended.set()
            self._platform.put('keyed.servers', self.id, None)
        self._server.close()
        self.notes.note('worker gone', worker=self.id)

    def close(self) -> None:
        """Ends the worker at the end of the run."""
        self._ended.set()
        self._server.close()

    def run(self, conn: wire.Connection, req: wire.Request) -> None:
        """Runs a request; implemented by each kind of worker."""
        raise NotImplementedError

    def stamped(self, req: wire.Request) -> dict[str, str]:
        """Returns the headers of a response to a request that ran."""
        attempt = req.headers.get(ATTEMPT, '')
        running = min(self.running, self.slots)
        waiting = self.running - running
        return {
            'Foxtaildale-Attempt-Id': attempt,
            'Foxtaildale-Response-Stamp': f'{self.id}.{attempt}',
            'Foxtaildale-Instance-Id': self.id,
            'Foxtaildale-Server-Load': f'{running},{waiting},{self.slots}',
        }

    def _handle(self, conn: wire.Connection, req: wire.Request) -> None:
        if req.headers.get(_EXPECT, self.id) != self.id:
            found = {'Foxtaildale-Instance-Id': self.id}
            if ATTEMPT in req.headers:
                found['Foxtaildale-Attempt-Id'] = req.headers[ATTEMPT]
            conn.respond(421, b'', found)
        elif req.path == '/health':
            conn.respond(200, b'', {'Foxtaildale-Instance-Id': self.id})
        elif req.path == '/api/hold-take':
            conn.respond_json(200, {'hold': secrets.token_hex(4)})
        elif req.path == '/api/order':
            conn.respond(400)
        elif req.path.startswith('/api/'):
            conn.respond(200)
        else:
            self._run(conn, req)

    def _run(self, conn: wire.Connection, req: wire.Request) -> None:
        with self._lock:
            self.running += 1
            attempt = req.headers.get(ATTEMPT, '')
            self.begun[attempt] = len(self.begun) + 1
        try:
            self.run(conn, req)
        finally:
            with self._lock:
                self.running -= 1

    def _beat(self) -> None:
        with self._lock:
            if self._ended.is_set():
                return
            self._seq_no += 1
            entry = {
                'service': self.service,
                'address': self.address,
                'zone': 'a',
                'version': self.version,
                'slots': self.slots,
                'state': self._state,
                'cold_left_ms': 0,
                'seq_no': self._seq_no,
                'born': self._born,
            }
            if self.stage:
                entry['stage'] = self.stage
                entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
            self._platform.put('keyed.servers', self.id, entry)

    def _heartbeats(self) -> None:
        while not self._ended.wait(HEARTBEAT_S):
            self._beat()


class PlainWorker(Worker):
    """Runs as many requests at once as it has slots, and queues some more."""

    work_s = 0.09
    body_bytes = 800
    queue = 24

    def run(self, conn: wire.Connection, req: wire.Request) -> None:
        """Runs a request, or refuses it if the queue is full."""
        attempt = req.headers.get(ATTEMPT, '')
        if self.running > self.slots + self.queue:
            refused = {
                'Foxtaildale-Attempt-Id': attempt,
                'Foxtaildale-Not-Executed': '1',
            }
            conn.respond(503, b'', refused)
            return
        with self.free_slots:
            if conn.is_closed_by_peer():
                return
            self.notes.note('run', worker=self.id, attempt=attempt)
            self.work(conn, req)

    def work(self, conn: wire.Connection, req: wire.Request) -> None:
        """Works on a request and answers it."""
        time.sleep(self.work_s)
        conn.respond(200, b'x' * self.body_bytes, self.stamped(req))


class PrefillWorker(Worker):
    """Reads prompts; hands out a handle for each."""

    def run(self, conn: wire.Connection, req: wire.Request) -> None:
        """Reads a prompt."""
        if req.headers.get('foxtaildale-stage') != 'prefill':
            conn.respond(421, b'', {'Foxtaildale-Instance-Id': self.id})
            return
        time.sleep(0.03)
        attempt = req.headers.get(ATTEMPT, '')
        body = (
            b'{"handle_id":"%b","tokens":1460,"version":1}'
            % secrets.token_hex(6).encode()
        )
        conn.respond(
            200,
            body,
            {
                'Content-Type': 'application/json',
                'Foxtaildale-Attempt-Id': attempt,
            },
        )


class DecodeWorker(Worker):
    """Streams events with increasing ids."""

    events = 40
    pace_s = 0.03

    def run(self, conn: wire.Connection, req: wire.Request) -> None:
        """Streams the events after Last-Event-Id."""
        attempt = req.headers.get(ATTEMPT, '')
        begin = int(req.headers.get('last-event-id', '0'))
        self.notes.note('run', worker=self.id, attempt=attempt, after=begin)
        conn.send(
            wire.head(
                200,
                self.stamped(req)
                | {
                    'Content-Type': 'text/event-stream',
                    'Foxtaildale-Weight-Versions': '1',
                }
                | self.framing(),
            )
        )
        number = begin
        with contextlib.suppress(OSError):
            for number in range(begin + 1, self.events + 1):
                time.sleep(self.pace_s)
                self.send_event(
                    conn,
                    b'id: %d\ndata: %b %b %d\n\n'
                    % (
                        number,
                        self.version.encode(),
                        self.id.encode(),
                        number,
                    ),
                )
                if self.breaks_off(attempt, number):
                    self.notes.note(
                        'reset', worker=self.id, attempt=attempt, after=number
                    )
                    conn.reset()
                    return
            self.send_end(conn)
            self.notes.note('ended', worker=self.id, attempt=attempt)
            return
        self.notes.note(
            'dropped', worker=self.id, attempt=attempt, after=number
        )
        conn.close()

    def framing(self) -> dict[str, str]:
        """Returns the headers that tell where the body ends."""
        return {'Transfer-Encoding': 'chunked'}

    def send_event(self, conn: wire.Connection, event: bytes) -> None:
        """Sends an event."""
        conn.send(b'%x\r\n%b\r\n' % (len(event), event))

    def send_end(self, conn: wire.Connection) -> None:
        """Ends the body."""
        conn.send(b'0\r\n\r\n')

    def breaks_off(self, _attempt: str, _number: int) -> bool:
        """Whether the connection is reset after an event."""
        return False
