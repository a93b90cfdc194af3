"""Stand-ins and process control for the scripts of the second review.

Only the standard library is used. The store, the backend servers and the
clients speak what the platform's pages say; the routers are the project's own
processes, started with the command of the deploy file.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Exit statuses of a script.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Interval at which a worker writes its entry, seconds.
HEARTBEAT_S = 1.2
# Bounds of a small deployment, as in the site file `saifai-lanna.toml`.
BOUNDS = {
    'stable_window_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_ms': 2000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 52,
    'lease_ms': 3000,
    'thaw_ms': 300,
}
ENGINE = {
    'slots': 12,
    'kv_capacity_tokens': 106978,
    'token_kv_bytes': 35136,
    'stride': 72,
    'kv_hold_s': 0.5,
    'stage_switch_s': 6.0,
    'models': [{'name': 'm'}],
}
MODEL = {'name': 'm', 'version': 1, 'adapters': []}
STAMP = 'Foxtaildale-Response-Stamp'
ATTEMPT = 'Foxtaildale-Attempt-Id'
_MAX_HEAD_BYTES = 65536


class Record:
    """What was sent, answered and run, with the time of each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._started_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open('w', encoding='utf-8')

    def now(self) -> float:
        """Returns the seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def note(self, text: str) -> None:
        """Adds a line."""
        with self._lock:
            self._file.write(f'{self.now():8.3f} s  {text}\n')
            self._file.flush()


class Request:
    """A request as a server received it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        # Names are in lower case.
        self.headers = headers
        self.body = body

    @property
    def attempt(self) -> str:
        """Returns the id of the client attempt."""
        return self.headers.get(ATTEMPT.lower(), '')


class Connection:
    """A connection that a server accepted."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self._file = sock.makefile('rb')

    def read_request(self) -> Request | None:
        """Reads a request; None at the end."""
        line = self._file.readline(_MAX_HEAD_BYTES)
        if not line.strip():
            return None
        method, target, _ = line.decode('latin-1').split(' ', 2)
        headers: dict[str, str] = {}
        while (line := self._file.readline(_MAX_HEAD_BYTES)).strip():
            name, _, value = line.decode('latin-1').partition(':')
            headers[name.strip().lower()] = value.strip()
        if 'transfer-encoding' in headers:
            body = self._read_chunks()
        else:
            body = self._file.read(int(headers.get('content-length', '0')))
        return Request(method, target, headers, body)

    def _read_chunks(self) -> bytes:
        body = b''
        while size := int(self._file.readline(_MAX_HEAD_BYTES), 16):
            body += self._file.read(size)
            self._file.readline(_MAX_HEAD_BYTES)
        while self._file.readline(_MAX_HEAD_BYTES).strip():
            pass  # A trailer.
        return body

    def respond(
        self, status: int, headers: dict[str, str], body: bytes = b''
    ) -> None:
        """Sends a response with a length."""
        self.sock.sendall(
            head(status, {**headers, 'Content-Length': str(len(body))}) + body
        )

    def reset(self) -> None:
        """Resets the connection; any thread may call it."""
        with contextlib.suppress(OSError):
            self.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            # Disconnects at once, even while another thread reads.
            self.sock.shutdown(socket.SHUT_RD)
            os.close(self.sock.detach())

    def close(self) -> None:
        """Closes the connection."""
        with contextlib.suppress(OSError):
            self._file.close()
            self.sock.close()


def head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of a response."""
    lines = [f'HTTP/1.1 {status} X', *(f'{k}: {v}' for k, v in headers.items())]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


class Server:
    """Accepts connections and serves each in a thread."""

    def __init__(self, ip: str) -> None:
        self._ip = ip
        self._open: set[Connection] = set()
        self._listen(0)
        self.port: int = self._listener.getsockname()[1]
        self.address = f'{ip}:{self.port}'

    def serve(self, conn: Connection) -> None:
        """Serves one connection until its end."""
        raise NotImplementedError

    def close(self) -> None:
        """Accepts no further connections."""
        # Wakes the thread that accepts.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def reset_all(self) -> None:
        """Ends as a crashed process does: it resets all that is open."""
        self.close()
        for conn in list(self._open):
            conn.reset()

    def _listen(self, port: int) -> None:
        self._listener = socket.create_server((self._ip, port), backlog=256)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            conn = Connection(sock)
            self._open.add(conn)
            threading.Thread(
                target=self._serve_to_end, args=(conn,), daemon=True
            ).start()

    def _serve_to_end(self, conn: Connection) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.serve(conn)
        self._open.discard(conn)
        conn.close()


class Store(Server):
    """The platform's store: keyed topics with one partition each.

    While `silent` it answers nothing, and what was sent meanwhile is not done.
    """

    def __init__(self, ip: str) -> None:
        self.silent = False
        self._changed = threading.Condition()
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        super().__init__(ip)

    def put(self, topic: str, key: str, value: object | None) -> None:
        """Writes a record as the operator or a server does; None removes."""
        data = b'' if value is None else json.dumps(value).encode()
        with self._changed:
            self._topics.setdefault(topic, []).append((key, data))
            self._changed.notify_all()

    def serve(self, conn: Connection) -> None:
        """Serves one connection; see `Server`."""
        while (req := conn.read_request()) is not None:
            if self.silent:
                # A connection on which an answer is lost returns nothing more.
                while conn.sock.recv(4096):
                    pass
                return
            status, kind, body = self._answer(req)
            conn.respond(status, {'Content-Type': kind}, body)

    def _answer(self, req: Request) -> tuple[int, str, bytes]:
        path, _, text = req.target.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        topic = query.get('topic', '')
        kind = 'application/json'
        if path == '/api/log-newest':
            return 200, kind, self._newest(topic)
        if path == '/api/log-read':
            wait_s = int(query.get('wait_ms', '0')) / 1000
            body = self._read(topic, int(query['from']), wait_s)
            return 200, 'application/octet-stream', body
        if path == '/api/log-append':
            status, found = self._append(topic, req.body, query.get('at'))
            return status, kind, json.dumps(found).encode()
        return 404, kind, b'{}'

    def _newest(self, topic: str) -> bytes:
        with self._changed:
            records = list(self._topics.get(topic, ()))
        newest = {
            key: {
                'key': key,
                'value': base64.b64encode(data).decode(),
                'offset': offset,
            }
            for offset, (key, data) in enumerate(records)
        }
        items = [newest[key] for key in sorted(newest) if newest[key]['value']]
        return json.dumps(
            {'items': items, 'more': False, 'end': len(records)}
        ).encode()

    def _read(self, topic: str, offset: int, wait_s: float) -> bytes:
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._topics.get(topic, ())) > offset, wait_s
            )
            records = self._topics.get(topic, [])
            end, found = len(records), records[offset:]
        body = struct.pack('>QQ', end, 0)
        for key, data in found:
            record = bytes((len(key),)) + key.encode() + data
            body += struct.pack('>I', len(record)) + record
        return body

    def _append(
        self, topic: str, body: bytes, at: str | None
    ) -> tuple[int, dict[str, int]]:
        size = body[4]
        key, data = body[5 : 5 + size].decode(), body[5 + size :]
        with self._changed:
            records = self._topics.setdefault(topic, [])
            end = len(records)
            if at is not None and int(at) != end:
                return 412, {'end': end}
            records.append((key, data))
            self._changed.notify_all()
        return 200, {'offset': end, 'end': end + 1}


Behave = Callable[['Worker', Connection, Request], bool]


class Worker(Server):
    """A backend server, which lists itself every 1.2 s while it is `listed`.

    `behave` answers a request and returns whether the connection goes on.
    """

    def __init__(
        self,
        ip: str,
        store: Store,
        name: str,
        service: str,
        behave: Behave,
        *,
        stage: str = '',
        version: str = 'v1',
        zone: str = 'z1',
    ) -> None:
        self.name = name
        self.service = service
        self.stage = stage
        self.version = version
        # The models that it has loaded.
        self.models: list[object] = [MODEL]
        self.listed = True
        self.is_up = True
        # Called as it starts again, before it writes its entry.
        self.on_start: Callable[[], None] = lambda: None
        # When it started, Unix milliseconds.
        self.born = int(time.time() * 1000)
        self._zone = zone
        self._store = store
        self._behave = behave
        self._beats = 0
        self._lock = threading.Lock()
        super().__init__(ip)
        self._begin_beats()

    def beat(self) -> None:
        """Writes its entry, unless it is no longer listed."""
        with self._lock:
            if not (self.listed and self.is_up) or self._store.silent:
                return
            self._beats += 1
            entry: dict[str, object] = {
                'service': self.service,
                'address': self.address,
                'zone': self._zone,
                'version': self.version,
                'slots': 12,
                'state': 'ready',
                'cold_left_ms': 0,
                'seq_no': self._beats,
                'born': self.born,
            }
            if self.stage:
                entry['stage'] = self.stage
                entry['models'] = self.models
            self._store.put('keyed.servers', self.name, entry)

    def crash(self, back_after_s: float) -> None:
        """Crashes; it starts again under its id and at its address later."""
        with self._lock:
            if not self.is_up:
                return
            self.is_up = False
        self.reset_all()
        timer = threading.Timer(back_after_s, self._start_again)
        timer.daemon = True
        timer.start()

    def _start_again(self) -> None:
        with self._lock:
            self._listen(self.port)
            self.born = int(time.time() * 1000)
            self._beats = 0
            self.is_up = True
        self.on_start()
        self._begin_beats()

    def unlist(self) -> None:
        """Removes its entry; it goes on serving, as a leaving server does."""
        with self._lock:
            self.listed = False
            self._store.put('keyed.servers', self.name, None)

    def serve(self, conn: Connection) -> None:
        """Serves one connection; see `Server`."""
        while (req := conn.read_request()) is not None:
            if not self._handle(conn, req):
                return

    def _handle(self, conn: Connection, req: Request) -> bool:
        expected = req.headers.get('foxtaildale-expect-instance', self.name)
        if expected != self.name:
            conn.respond(
                421,
                {ATTEMPT: req.attempt, 'Foxtaildale-Instance-Id': self.name},
            )
            return True
        if req.target == '/api/report':
            conn.respond(200, {'Content-Type': 'application/json'}, b'{}')
            return True
        if req.target.startswith('/api/'):
            conn.respond(200, {}, b'{}')
            return True
        return self._behave(self, conn, req)

    def _begin_beats(self) -> None:
        self.beat()
        threading.Thread(
            target=self._beat_on, args=(self.born,), daemon=True
        ).start()

    def _beat_on(self, born: int) -> None:
        """Writes the entry regularly until the end of this start."""
        while True:
            time.sleep(HEARTBEAT_S)
            if not self.listed or self.born != born:
                return
            self.beat()


class Router:
    """A process of the project on an address of its own."""

    def __init__(
        self,
        name: str,
        ip: str,
        store: Store,
        folder: pathlib.Path,
        *,
        zone: str = 'z1',
        first_start: bool = True,
    ) -> None:
        self.name = name
        self.ip = ip
        self.front, self.ready, self.control, first = free_ports(ip, 4)
        self._zone = zone
        self._store = store
        self._folder = folder
        self.first_start = first_start
        self._first_port = first
        self.seeds: list[str] = []
        self._proc: subprocess.Popen[bytes] | None = None

    @property
    def control_address(self) -> str:
        """Returns the address for the other routers."""
        return f'{self.ip}:{self.control}'

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        settings = self._folder / f'{self.name}.toml'
        settings.write_text(self._settings(), encoding='utf-8')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (role,) = deploy['roles'].values()
        log = (self._folder / f'{self.name}.log').open('ab')
        self._proc = subprocess.Popen(
            shlex.split(role['run']),
            cwd=ROOT,
            env={
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', ''),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'FOXTAILDALE_BOOT': str(settings),
            },
            stdout=log,
            stderr=log,
        )

    def is_ready(self) -> bool:
        """Whether it says that it is ready."""
        try:
            with socket.create_connection((self.ip, self.ready), 1.0) as sock:
                sock.sendall(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
                return sock.recv(64).startswith(b'HTTP/1.1 200')
        except OSError:
            return False

    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._proc is not None and self._proc.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._proc is not None and self._proc.poll() is None:
            self._proc.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._proc is not None:
            self.signal(signal.SIGCONT)
            self._proc.kill()
            self._proc.wait()

    def log_text(self) -> str:
        """Returns what it has logged."""
        return (self._folder / f'{self.name}.log').read_text(errors='replace')

    def _settings(self) -> str:
        bounds = '\n'.join(f'{key} = {value}' for key, value in BOUNDS.items())
        return f"""
node_name = "{self.name}"
role = "router"
machine_class = "edge"
serves = ["edge","control"]
ip = "{self.ip}"
zone = "{self._zone}"
region = "r1"
port_range = [{self._first_port},{self._first_port}]
seeds = {json.dumps(self.seeds)}
bootstrap = {str(self.first_start).lower()}
heartbeat_ms = 1200
[listen]
front = "{self.ip}:{self.front}"
ready = "{self.ip}:{self.ready}"
control = "{self.control_address}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
{bounds}
[platform]
address = "{self._store.address}"
form = "log"
"""


def free_ports(ip: str, count: int) -> list[int]:
    """Returns ports that nobody listens on."""
    socks = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def route(
    name: str, kind: str, service: str, **fields: object
) -> dict[str, object]:
    """Returns a route of the configuration, with the path /NAME/."""
    return {
        'name': name,
        'host': 'h.example',
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 3000,
        'target_latency_ms': 300,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        **fields,
    }


class Deployment:
    """A store, workers and routers; a context manager."""

    def __init__(self, record: Record) -> None:
        self.record = record
        rng = random.SystemRandom()
        # Routers serve their metrics at one port, so each has its own address.
        self._net = f'127.{rng.randrange(1, 255)}.{rng.randrange(0, 255)}'
        self._count = 0
        self._stack = contextlib.ExitStack()
        self.folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        self.store = Store(self.next_ip())
        self.workers: list[Worker] = []
        self.routers: list[Router] = []

    def __enter__(self) -> Deployment:
        return self

    def __exit__(self, *_: object) -> None:
        for router in self.routers:
            router.kill()
        for worker in self.workers:
            worker.listed = False
            worker.close()
        self.store.close()
        self._stack.close()

    def next_ip(self) -> str:
        """Returns a loopback address that is not used yet."""
        self._count += 1
        return f'{self._net}.{self._count}'

    def configure(self, routes: list[dict[str, object]], *engines: str) -> None:
        """Writes the configuration; services in `engines` have models."""
        names = {str(one['service']) for one in routes}
        services = [
            {'name': name, 'health_path': '/health', 'max_conns': 144}
            | ({'engine': ENGINE} if name in engines else {})
            for name in sorted(names)
        ]
        config = {
            'version': 7,
            'routes': routes,
            'services': services,
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        self.store.put('keyed.op', 'config', config)

    def add_worker(
        self,
        name: str,
        service: str,
        behave: Behave,
        *,
        stage: str = '',
        version: str = 'v1',
    ) -> Worker:
        """Starts a worker."""
        worker = Worker(
            self.next_ip(),
            self.store,
            name,
            service,
            behave,
            stage=stage,
            version=version,
        )
        self.workers.append(worker)
        return worker

    def start_routers(self, count: int) -> None:
        """Starts routers and waits until all are ready."""
        first = len(self.routers)
        for number in range(first, first + count):
            router = Router(
                f'edge-{number + 1}', self.next_ip(), self.store, self.folder
            )
            self.routers.append(router)
        seeds = [router.control_address for router in self.routers[:3]]
        for router in self.routers[first:]:
            router.seeds = seeds
            router.start()
        until(
            lambda: all(router.is_ready() for router in self.routers), 'routers'
        )


class NotReadyError(Exception):
    """The case could not run."""


def until(check: Callable[[], bool], what: str, wait_s: float = 20.0) -> None:
    """Waits for a condition.

    Raises:
        NotReadyError: It did not come about in time.
    """
    end = time.monotonic() + wait_s
    while not check():
        if time.monotonic() > end:
            raise NotReadyError(what)
        time.sleep(0.05)


def send(
    address: tuple[str, int], data: bytes, timeout_s: float = 15.0
) -> Iterator[bytes]:
    """Sends bytes on a new connection; yields what comes until its end."""
    with socket.create_connection(address, timeout_s) as sock:
        sock.sendall(data)
        with contextlib.suppress(OSError):
            while part := sock.recv(65536):
                yield part


def request_bytes(
    method: str,
    target: str,
    attempt: str,
    *,
    deadline_ms: int = 1500,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
) -> bytes:
    """Returns a client's request, on a connection that closes after it."""
    fields = {
        'Host': 'h.example',
        ATTEMPT: attempt,
        'Foxtaildale-Deadline-Ms': str(deadline_ms),
        'Connection': 'close',
        **({'Content-Length': str(len(body))} if method == 'POST' else {}),
        **(headers or {}),
    }
    lines = [
        f'{method} {target} HTTP/1.1',
        *(f'{k}: {v}' for k, v in fields.items()),
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


def run(folder: pathlib.Path, case: Callable[[Deployment, bool], bool]) -> None:
    """Runs a case and ends the process with its status.

    Args:
        folder: Folder of the case, for `record.txt`.
        case: Plays the case, with or without the disruption; returns whether
            the rule held.
    """
    # Ends the processes that were started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'disruption: {"yes" if trouble else "no"}')
    status = NOT_RUN
    try:
        with Deployment(record) as deployment:
            status = HELD if case(deployment, trouble) else BROKEN
    except Exception as exc:
        # Status 1 is for a broken rule only.
        record.note(f'the case could not run: {exc!r}')
    record.note({HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'not run'}[status])
    sys.exit(status)
