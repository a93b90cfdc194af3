"""Measures what reading a stream costs, in processor time a token.

    python -m tests.bench.reading --streams 100 --interval-ms 29

`parse` is the parsing alone, of bytes that are there already. `read` is all of
it, a thread a stream, one token a wake-up. `floor` is threads that do nothing
but receive the same bytes from bare sockets; no reader with a thread a stream
can be cheaper. What one thread for all streams costs, `bench.relay` measures.
"""

from collections.abc import Callable
import socket
import threading
import time

import defopt

from foxtaildale import backends
from foxtaildale_adapters import engines
from foxtaildale_adapters import events
from tests import fleet
from tests.bench import sender

_REQ = backends.DecodeReq(
    request='r', attempt=1, holder='h', stream='s', max_tokens=1
)


class _Body:
    """One piece at each read, without a socket."""

    def __init__(self, blocks: list[bytes]) -> None:
        self._blocks = blocks[::-1]

    def read(self) -> bytes:
        return self._blocks.pop()

    def acquire_socket(self) -> None:
        return None

    def release_socket(self) -> None:
        pass

    def close(self) -> None:
        pass


def parse_us(tokens: int) -> float:
    """Returns the cost of parsing, microseconds a token."""
    blocks = sender.blocks('r', tokens)
    began = time.process_time()
    for _ in events.Stream(_Body(blocks), 60.0):
        pass
    return (time.process_time() - began) * 1e6 / tokens


def _read(address: str) -> None:
    for _ in engines.Engines().decode(address, _REQ, 30.0):
        pass


def _receive(address: str) -> None:
    host, _, port = address.rpartition(':')
    with socket.create_connection((host, int(port))) as conn:
        conn.sendall(b'GET / HTTP/1.0\r\n\r\n')
        while conn.recv(65536):
            pass


def streams_us(
    reader: Callable[[str], None], address: str, streams: int, tokens: int
) -> float:
    """Returns the cost of reading streams, microseconds a token."""
    threads = [
        threading.Thread(target=reader, args=(address,), daemon=True)
        for _ in range(streams)
    ]
    began = time.process_time()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return (time.process_time() - began) * 1e6 / (streams * tokens)


def main(
    *,
    streams: int = 100,
    tokens: int = 200,
    interval_ms: float = 29.0,
    rounds: int = 3,
) -> None:
    """Prints the figures.

    Args:
        streams: Streams at once.
        tokens: Pieces of each stream.
        interval_ms: Time between pieces of a stream, milliseconds.
        rounds: Repeats; each is printed.
    """
    with fleet.Fleet() as procs:
        source = procs.module(
            'tests.bench.sender',
            f'--tokens={tokens}',
            f'--interval-ms={interval_ms}',
        )
        for _ in range(rounds):
            parse = parse_us(50_000)
            floor, read = (
                streams_us(reader, source.address, streams, tokens)
                for reader in (_receive, _read)
            )
            print(
                f'us a token: parse {parse:.2f}, floor {floor:.1f},'
                f' read {read:.1f}',
                flush=True,
            )


if __name__ == '__main__':
    defopt.run(main)
