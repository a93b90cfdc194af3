"""A request that crashes its workers comes again now and then; see claim.txt."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

ROUTERS = 3
WORKERS = 3
DEADLY = '/status/deadly'
# Time until a crashed worker is back, and between two tries of the client that
# sends the deadly request, seconds.
BACK_AFTER_S = 2.5
TRY_EVERY_S = 5.0
TRIES = 14
# The rule: at most so many retries later than this after the third crash.
MAX_RETRIES = 3
STABLE_S = stand_ins.BOUNDS['stable_window_ms'] / 1000
# Sound clients of each router, their interval, and the work of a request,
# seconds.
CLIENTS = 4
INTERVAL_S = 0.05
WORK_S = 0.03


class Case:
    """A deadly request, and sound ones of other clients."""

    def __init__(
        self, deployment: stand_ins.Deployment, *, trouble: bool
    ) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._trouble = trouble
        self._lock = threading.Lock()
        self._stopped = False
        self._crashes: list[float] = []
        self._retries = 0
        self._served = 0

    def behave(
        self,
        worker: stand_ins.Worker,
        conn: stand_ins.Connection,
        req: stand_ins.Request,
    ) -> bool:
        """Runs a request."""
        if req.target == DEADLY and self._trouble:
            self._crash(worker, req)
            return False
        time.sleep(WORK_S)
        conn.respond(
            200,
            {
                stand_ins.ATTEMPT: req.attempt,
                stand_ins.STAMP: f'{worker.name}.{req.attempt}',
            },
            req.attempt.encode(),
        )
        return True

    def _crash(self, worker: stand_ins.Worker, req: stand_ins.Request) -> None:
        with self._lock:
            now = time.monotonic()
            late = len(self._crashes) >= 3 and now - self._crashes[2] > STABLE_S
            self._retries += late
            self._crashes.append(now)
            self._record.note(
                f'{req.attempt} ({DEADLY}) crashes {worker.name}, crash'
                f' {len(self._crashes)}'
                + (f', late retry {self._retries}' if late else '')
            )
        worker.crash(BACK_AFTER_S)

    def _send(self, router: stand_ins.Router, target: str, name: str) -> bytes:
        data = stand_ins.request_bytes('GET', target, name)
        try:
            parts = list(stand_ins.send((router.ip, router.front), data, 4.0))
        except OSError:
            parts = []
        return b''.join(parts)

    def send_on(self, router: stand_ins.Router, client: int) -> None:
        """Sends sound requests to a router until the end of the case."""
        number = 0
        while not self._stopped:
            number += 1
            answer = self._send(
                router,
                f'/status/{client}/{number}',
                f'{router.name}-{client}-{number}',
            )
            with self._lock:
                self._served += answer.startswith(b'HTTP/1.1 200')
            time.sleep(INTERVAL_S)

    def play(self) -> bool:
        """Plays the case; returns whether the rule held."""
        deployment = self._deployment
        deployment.configure([stand_ins.route('status', 'idempotent', 'desk')])
        for number in range(WORKERS):
            deployment.add_worker(f'i-{number}', 'desk', self.behave)
        deployment.start_routers(ROUTERS)
        clients = [
            threading.Thread(
                target=self.send_on, args=(router, number), daemon=True
            )
            for router in deployment.routers
            for number in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        time.sleep(4.0)
        for number in range(TRIES):
            router = deployment.routers[number % ROUTERS]
            answer = self._send(router, DEADLY, f'deadly-{number}')
            self._record.note(
                f'deadly-{number} at {router.name} gets {answer[:40]!r}'
                if answer
                else f'deadly-{number} gets no answer'
            )
            time.sleep(TRY_EVERY_S)
        self._stopped = True
        for client in clients:
            client.join(5.0)
        self._record.note(
            f'{len(self._crashes)} crashes, {self._retries} late retries,'
            f' {self._served} sound requests served'
        )
        if not self._served:
            raise stand_ins.NotReadyError('no request is served')
        return self._retries <= MAX_RETRIES


stand_ins.run(
    FOLDER,
    lambda deployment, trouble: Case(deployment, trouble=trouble).play(),
)
