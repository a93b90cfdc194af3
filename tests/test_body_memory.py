"""The memory of bodies under way, of callers and of backend servers."""

import contextlib
import fcntl
import pathlib
import socket
import struct
import termios
import threading
import time
from typing import Final

from foxtaildale_adapters import allocator
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import connectors
from tests import site as sites

_MB: Final = 1_000_000
_BODY_BYTES: Final = 4 * _MB
# Bytes that a sender offers, and time in which they arrive if there is room for
# them, seconds.
_OFFERED_BYTES: Final = 64 * _MB
_ARRIVAL_S: Final = 0.3
# What may be unread, bytes; the kernel doubles the size that it is told.
_UNREAD_BYTES: Final = 300_000
_BLOCK_THREADS: Final = 16
_TIMEOUT_S: Final = 6.0


def _unread(sock: socket.socket) -> int:
    """Returns the bytes that arrived and were not read."""
    found = fcntl.ioctl(sock, termios.FIONREAD, bytes(4))
    return int(struct.unpack('i', found)[0])


def _offer(sock: socket.socket) -> None:
    """Sends many bytes, until the other side closes."""
    with contextlib.suppress(OSError):
        sock.sendall(bytes(_OFFERED_BYTES))


def test_a_server_connection_holds_few_unread_bytes() -> None:
    """Guards against responses that fill the kernel's memory unread."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        host, port = listener.getsockname()
        sock = connectors.open_socket(f'{host}:{port}', _TIMEOUT_S)
        accepted, _ = listener.accept()
        sender = threading.Thread(target=_offer, args=(accepted,))
        sender.start()
        with accepted, sock:
            # The kernel enlarges the buffer of a connection that is read.
            size = 0
            while size < _OFFERED_BYTES // 2:
                size += len(sock.recv(65_536))
            time.sleep(_ARRIVAL_S)
            unread = _unread(sock)
            sock.shutdown(socket.SHUT_RDWR)
            sock.close()
            sender.join(_TIMEOUT_S)
    assert 0 < unread <= _UNREAD_BYTES


class _Pausing:
    """Handles a request late, and looks at what else has arrived."""

    def __init__(self) -> None:
        self.unread: list[int] = []

    def handle(self, exchange: caller_server.Exchange) -> None:
        time.sleep(_ARRIVAL_S)
        self.unread.append(_unread(exchange._sock))
        exchange.respond(200, {}, b'')


def test_a_caller_connection_holds_few_unread_bytes() -> None:
    """Guards against requests that fill the kernel's memory unread."""
    handler = _Pausing()
    server = caller_server.Server('127.0.0.1:0', handler, 4, 5.0, _BODY_BYTES)
    host, _, port = server.start().rpartition(':')
    try:
        with socket.create_connection((host, int(port)), _TIMEOUT_S) as sock:
            head = (
                f'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {_BODY_BYTES}'
            )
            sock.sendall(head.encode() + b'\r\n\r\n')
            sender = threading.Thread(target=_offer, args=(sock,))
            sender.start()
            sites.until(lambda: bool(handler.unread))
            sock.shutdown(socket.SHUT_RDWR)
            sender.join(_TIMEOUT_S)
    finally:
        server.close(0.0)
    assert 0 < handler.unread[0] <= _UNREAD_BYTES


def _resident_bytes() -> int:
    pages = pathlib.Path('/proc/self/statm').read_text(encoding='ascii')
    return int(pages.split()[1]) * 4096


def test_freed_bodies_are_returned_to_the_kernel() -> None:
    """Guards against each thread's heap that keeps the size of a large body."""
    assert allocator.return_large_blocks()
    ready = threading.Barrier(_BLOCK_THREADS + 1)

    def use() -> None:
        for size in range(_BODY_BYTES - 5000, _BODY_BYTES, 1000):
            ready.wait(_TIMEOUT_S)
            block = b'x' * size
            del block
        ready.wait(_TIMEOUT_S)
        ready.wait(_TIMEOUT_S)

    before = _resident_bytes()
    threads = [threading.Thread(target=use) for _ in range(_BLOCK_THREADS)]
    for thread in threads:
        thread.start()
    for _ in range(6):
        ready.wait(_TIMEOUT_S)
    kept = _resident_bytes() - before
    ready.wait(_TIMEOUT_S)
    for thread in threads:
        thread.join(_TIMEOUT_S)
    assert kept < 4 * _BODY_BYTES
