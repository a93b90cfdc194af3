"""Processor time of relaying one token, on the product's own streaming path.

    python -m bench.relay [--streams 100] [--seconds 5] [--rate 40]
                          [--way pump|threads]

Three processes: engines that send tokens of many streams as server-sent
events, twenty streams an engine in step; the relay, which is what is measured;
and callers that read. Each token carries the time of its sending, so that the
callers also tell how long it took and how far apart tokens came.

Wall-clock figures of a shared machine: for people, not for CI.
"""

import argparse
from collections.abc import Iterator
import contextlib
import json
import selectors
import socket
import subprocess
import sys
import threading
import time
from typing import Final

import msgspec
import xxhash

from foxtaildale import backends
from foxtaildale import ports
from foxtaildale import streams
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import engines
from foxtaildale_adapters import events
from foxtaildale_adapters import stream_reader
from foxtaildaled import response_reading
from foxtaildaled import sinks

# Streams that one engine decodes in step.
BATCH: Final = 20
_HEAD: Final = b'HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
_LIMIT_S: Final = 60.0


class Source:
    """Plays the engines: one thread that sends to all streams in time."""

    def __init__(self, count: int, rate: float, seconds: float) -> None:
        self._count = count
        self._tokens = int(rate * seconds)
        self._gap_s = 1 / rate
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=512)

    def run(self) -> None:
        """Takes every stream, then sends them all to their end."""
        print(self._listener.getsockname()[1], flush=True)
        conns = [self._accept(number) for number in range(self._count)]
        digests = [xxhash.xxh64() for _ in conns]
        batches = [
            range(first, min(first + BATCH, len(conns)))
            for first in range(0, len(conns), BATCH)
        ]
        start = time.monotonic()
        for position in range(self._tokens):
            for number, batch in enumerate(batches):
                due = start + self._gap_s * (position + number / len(batches))
                time.sleep(max(0.0, due - time.monotonic()))
                for index in batch:
                    text = f'{time.monotonic():.6f}'
                    digests[index].update(text.encode())
                    event = _piece(index, position, text)
                    conns[index].sendall(event)
        for index, conn in enumerate(conns):
            last = _last(index, self._tokens, digests[index].hexdigest())
            conn.sendall(last)
            conn.close()
        sys.stdin.read()

    def _accept(self, number: int) -> socket.socket:
        del number
        conn, _ = self._listener.accept()
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        data = b''
        while b'max_tokens' not in data:
            data += conn.recv(65536)
        conn.sendall(_HEAD)
        return conn


def _piece(index: int, position: int, text: str) -> bytes:
    piece = backends.Chunk(
        request='r', attempt=1, stream='s', position=position, text=text
    )
    data = msgspec.json.encode(piece)
    return b'id: w%d/s/%d\ndata: %b\n\n' % (index, position, data)


def _last(index: int, count: int, digest: str) -> bytes:
    last = backends.StreamEnd(
        request='r', attempt=1, stream='s', count=count, digest=digest
    )
    data = msgspec.json.encode(last)
    return b'id: w%d/s/%d\ndata: %b\n\n' % (index, count, data)


class Relay:
    """The measured process: the product's server, reader, checker, sink."""

    def __init__(self, source: str, count: int, *, pumped: bool) -> None:
        self._source = source
        self._count = count
        self._engines = engines.Engines()
        self._lock = threading.Lock()
        self._begun = 0
        self._pieces = 0
        self._whole = 0
        self._cpu = 0.0
        self.done = threading.Event()
        self._pumped = pumped
        self._pump = stream_reader.StreamReader()
        self._pump.start()

    def handle(self, exchange: caller_server.Exchange) -> None:
        """Relays one stream."""
        req = backends.DecodeReq(
            request='r', attempt=1, holder='h', stream='s', max_tokens=1
        )
        pieces = self._engines.decode(self._source, req, _LIMIT_S)
        with self._lock:
            self._begun += 1
            if self._begun == self._count:
                # Set-up of the streams is not what is measured.
                self._cpu = time.process_time()
        times: list[float] = []
        checker = streams.Checker('r', 1, 's')
        sink = sinks.EventSink(exchange, 'r', 'm')
        sink.begin_attempt('w', 's')
        reader = response_reading.ResponseReader(
            caller_disconnected=threading.Event(),
            sink=sink,
            checker=checker,
            clock=time.monotonic,
            sent_times=times,
            stream_pump=self._pump,
            max_silence_s=_LIMIT_S,
        )
        pumped: ports.EventStream = (
            pieces if self._pumped else _Iterated(pieces)
        )
        fault = reader.read(pumped)
        exchange.finish()
        pieces.close()
        with self._lock:
            self._pieces += len(times)
            self._whole += not fault
            if self._whole == self._count:
                self.done.set()

    def report(self) -> str:
        """Returns the figures as JSON."""
        spent = time.process_time() - self._cpu
        return json.dumps(
            {'pieces': self._pieces, 'us': spent / self._pieces * 1e6}
        )


class _Iterated:
    """Hides a stream's connection, so that its own thread reads it."""

    def __init__(self, pieces: events.Stream) -> None:
        self._pieces = pieces

    def __iter__(self) -> Iterator[backends.Chunk | backends.StreamEnd]:
        return iter(self._pieces)

    def __next__(self) -> backends.Chunk | backends.StreamEnd:
        return next(self._pieces)

    def close(self) -> None:
        self._pieces.close()


def run_relay(source: str, count: int, *, pumped: bool) -> None:
    """Serves until every stream was relayed whole."""
    relay = Relay(source, count, pumped=pumped)
    server = caller_server.Server('127.0.0.1:0', relay, count + 4, 30.0, 1024)
    print(server.start(), flush=True)
    if not relay.done.wait(_LIMIT_S):
        print('{"us": null, "pieces": 0}', flush=True)
        return
    print(relay.report(), flush=True)
    sys.stdin.read()


class Reading:
    """One caller's stream as its reader sees it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.rest = b''
        self.came_at = 0.0
        self.ended = False


class Callers:
    """Reads every stream in one thread."""

    def __init__(self, address: str, count: int) -> None:
        host, _, port = address.rpartition(':')
        self.delays: list[float] = []
        self.gaps: list[float] = []
        self.whole = 0
        self._selector = selectors.DefaultSelector()
        for _ in range(count):
            sock = socket.create_connection((host, int(port)))
            sock.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            self._selector.register(
                sock, selectors.EVENT_READ, data=Reading(sock)
            )

    def run(self) -> None:
        """Reads until every stream ended."""
        while self._selector.get_map():
            for key, _ in self._selector.select():
                self._read(key.data)

    def _read(self, stream: Reading) -> None:
        data = stream.sock.recv(262144)
        now = time.monotonic()
        *events, stream.rest = (stream.rest + data).split(b'\n\n')
        for event in events:
            _, found, text = event.partition(b'"content":"')
            if found:
                self.delays.append(now - float(text[: text.index(b'"')]))
                if stream.came_at:
                    self.gaps.append(now - stream.came_at)
                stream.came_at = now
            elif event.endswith(b'data: [DONE]'):
                self.whole += 1
                stream.ended = True
        if not data or stream.ended:
            self._selector.unregister(stream.sock)
            stream.sock.close()


@contextlib.contextmanager
def _started(*args: str) -> Iterator[tuple[subprocess.Popen[str], str]]:
    """Runs one of the processes; gives it and its first line."""
    proc = subprocess.Popen(
        [sys.executable, '-m', 'bench.relay', *args],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    assert proc.stdout is not None
    try:
        yield proc, proc.stdout.readline().strip()
    finally:
        proc.kill()
        proc.wait()


def _percentile(values: list[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))] * 1000


def run(count: int, rate: float, seconds: float, way: str) -> None:
    """Measures once and prints one line of JSON."""
    shape = ['--streams', str(count), '--rate', str(rate)]
    shape += ['--seconds', str(seconds), '--way', way]
    with (
        _started('--role', 'source', *shape) as (_, port),
        _started('--role', f'127.0.0.1:{port}', *shape) as (relay, address),
    ):
        reader = Callers(address, count)
        reader.run()
        assert relay.stdout is not None
        found = json.loads(relay.stdout.readline())
    found |= {
        'way': way,
        'streams': count,
        'rate': rate,
        'whole': reader.whole,
        'us': round(found['us'] or 0, 1),
        'delay_ms_p50': round(_percentile(reader.delays, 0.5), 2),
        'delay_ms_p95': round(_percentile(reader.delays, 0.95), 2),
        'gap_ms_p95': round(_percentile(reader.gaps, 0.95), 2),
    }
    print(json.dumps(found))


def main() -> None:
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--streams', type=int, default=100)
    parser.add_argument('--rate', type=float, default=40.0)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--way', choices=['pump', 'threads'], default='pump')
    parser.add_argument('--role', default='run', help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.role == 'run':
        run(args.streams, args.rate, args.seconds, args.way)
    elif args.role == 'source':
        Source(args.streams, args.rate, args.seconds).run()
    else:
        run_relay(args.role, args.streams, pumped=args.way == 'pump')


if __name__ == '__main__':
    main()
