"""Sends streams of events at a steady rate, as cheaply as it can.

Each connection gets one piece every interval, so that each piece wakes its
reader once; in chunked coding, unless it asked by HTTP/1.0.
"""

import json
import selectors
import signal
import socket
import sys
import time
from typing import Final

import defopt
import msgspec

from foxtaildale import backends

_PLAIN: Final = b'HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n'
_CHUNKED: Final = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def blocks(request: str, tokens: int, *, chunked: bool = False) -> list[bytes]:
    """Returns the blocks of one stream."""
    events: list[msgspec.Struct] = [
        backends.Chunk(
            request=request, attempt=1, stream='s', position=i, text=f'word{i} '
        )
        for i in range(tokens)
    ]
    events.append(
        backends.StreamEnd(
            request=request, attempt=1, stream='s', count=tokens, digest='0'
        )
    )
    found = []
    for i, event in enumerate(events):
        data = b'id: w/s/%d\ndata: %s\n\n' % (i, msgspec.json.encode(event))
        found.append(b'%x\r\n%s\r\n' % (len(data), data) if chunked else data)
    if chunked:
        found[-1] += b'0\r\n\r\n'
    return found


def main(*, tokens: int = 200, interval_ms: float = 29.0) -> None:
    """Serves until it is told to stop.

    Args:
        tokens: Pieces of each stream.
        interval_ms: Time between pieces of a stream, milliseconds.
    """
    signal.signal(signal.SIGTERM, lambda _num, _frame: sys.exit(0))
    listener = socket.create_server(('127.0.0.1', 0), backlog=2048)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    print(json.dumps({'address': address}), flush=True)
    ready = selectors.DefaultSelector()
    ready.register(listener, selectors.EVENT_READ, listener)
    plain = blocks('r', tokens)
    chunked = blocks('r', tokens, chunked=True)
    # Time of the next block, its number, all blocks, and the connection.
    due: list[tuple[float, int, list[bytes], socket.socket]] = []
    while True:
        wait = max(0.0, due[0][0] - time.monotonic()) if due else None
        for key, _ in ready.select(wait):
            if key.data is listener:
                conn, _ = listener.accept()
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                ready.register(conn, selectors.EVENT_READ, conn)
            else:
                conn = key.data
                ready.unregister(conn)
                old = b'HTTP/1.0' in conn.recv(65536)
                conn.sendall(_PLAIN if old else _CHUNKED)
                stream = plain if old else chunked
                at = time.monotonic() + interval_ms / 1000
                due.append((at, 0, stream, conn))
                due.sort(key=lambda item: item[0])
        while due and due[0][0] <= time.monotonic():
            at, i, stream, conn = due.pop(0)
            try:
                conn.sendall(stream[i])
            except OSError:
                continue
            if i + 1 < len(stream):
                due.append((at + interval_ms / 1000, i + 1, stream, conn))
            else:
                conn.close()


if __name__ == '__main__':
    defopt.run(main)
