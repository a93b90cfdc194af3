"""A thread that reads the streams of many engine responses.

With one reading thread per stream, every token costs a wake-up, contention for
the interpreter lock and a sleep, which are most of the cost of a token. Here
the thread of each stream blocks, and one thread receives the available bytes of
all streams in turn.

This thread must never wait for a single stream: it receives without blocking,
and the `StreamConsumer` objects that it calls must not block either. A stream
whose caller reads too slowly is returned to its own thread, which may wait; see
`response_relay`.
"""

import select
import socket
import threading
import time
from typing import Final
from typing import Protocol

from foxtaildale import errors
from foxtaildale import ports
from foxtaildale_adapters import wakes

# Maximum read from one stream before the next stream is read, bytes.
READ_BYTES: Final = 65536
# Interval between checks for streams that timed out, seconds.
TIMEOUT_CHECK_S: Final = 0.5


class StreamConsumer(Protocol):
    """Consumes the bytes of one stream."""

    def feed(self, block: bytes) -> bool:
        """Consumes bytes without blocking; False to end the reading."""


class _Stream:
    """A registered stream."""

    __slots__ = (
        'consumer',
        'done',
        'exc',
        'last_received_at',
        'read_timeout_s',
        'sock',
    )

    def __init__(
        self,
        sock: socket.socket,
        consumer: StreamConsumer,
        read_timeout_s: float,
        now: float,
    ) -> None:
        self.sock = sock
        self.consumer = consumer
        self.read_timeout_s = read_timeout_s
        self.last_received_at = now
        # Exception to raise in the thread of the stream.
        self.exc: BaseException | None = None
        self.done = threading.Event()


class StreamReader:
    """Reads registered streams; passes the bytes to `StreamConsumer` objects.

    Args:
        clock: Returns monotonic seconds.
    """

    __slots__ = (
        '_clock',
        '_closing',
        '_epoll',
        '_lock',
        '_streams',
        '_thread',
        '_wake',
    )

    def __init__(self, clock: ports.Clock = time.monotonic) -> None:
        self._clock = clock
        self._closing = False
        # Prevents a stream from being added after the thread released all.
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._wake = wakes.WakeEvent()
        self._epoll.register(self._wake.fileno(), select.EPOLLIN)
        # Streams by file descriptor. The thread of a stream adds it, and the
        # reading thread removes it.
        self._streams: dict[int, _Stream] = {}
        self._thread = threading.Thread(
            target=self._run, name='pump', daemon=True
        )

    def start(self) -> None:
        """Starts the reading thread."""
        self._thread.start()

    def close(self) -> None:
        """Stops the reading thread; open streams fail with `NoReplyError`."""
        with self._lock:
            self._closing = True
        self._wake.set()
        self._thread.join()

    def read_stream(
        self,
        sock: socket.socket,
        consumer: StreamConsumer,
        read_timeout_s: float,
    ) -> None:
        """Passes the bytes of a socket to `consumer` until it returns False.

        Blocks the calling thread. Another thread may end the reading early by
        shutting the connection down. The socket must not be closed in the
        meantime: another stream could get the same file descriptor, and its
        bytes would then be passed to this `consumer`.

        Raises:
            errors.NoReplyError: The stream broke, ended, or sent nothing for
                `read_timeout_s` seconds.
        """
        stream = _Stream(sock, consumer, read_timeout_s, self._clock())
        with self._lock:
            if self._closing:
                raise errors.NoReplyError('closed')
            self._streams[sock.fileno()] = stream
            self._epoll.register(sock.fileno(), select.EPOLLIN)
        stream.done.wait()
        if stream.exc is not None:
            raise stream.exc

    def _run(self) -> None:
        next_check = self._clock() + TIMEOUT_CHECK_S
        while not self._closing:
            wait_s = max(0.0, next_check - self._clock())
            for fd, _ in self._epoll.poll(wait_s):
                stream = self._streams.get(fd)
                if stream is not None:
                    self._receive(fd, stream)
            if self._clock() >= next_check:
                self._check_timeouts(self._clock())
                next_check = self._clock() + TIMEOUT_CHECK_S
        for fd, stream in list(self._streams.items()):
            self._finish(fd, stream, errors.NoReplyError('closed'))
        self._epoll.close()
        self._wake.close()

    def _receive(self, fd: int, stream: _Stream) -> None:
        try:
            block = stream.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as exc:
            self._finish(fd, stream, errors.NoReplyError(str(exc)))
            return
        if not block:
            text = 'stream ended before its last event'
            self._finish(fd, stream, errors.NoReplyError(text))
            return
        stream.last_received_at = self._clock()
        try:
            wants_more = stream.consumer.feed(block)
        except BaseException as exc:
            # The fault affects this stream only; the others continue.
            self._finish(fd, stream, exc)
            return
        if not wants_more:
            self._finish(fd, stream, None)

    def _check_timeouts(self, now: float) -> None:
        for fd, stream in list(self._streams.items()):
            if now - stream.last_received_at > stream.read_timeout_s:
                self._finish(fd, stream, errors.NoReplyError('silent'))

    def _finish(
        self, fd: int, stream: _Stream, exc: BaseException | None
    ) -> None:
        del self._streams[fd]
        self._epoll.unregister(fd)
        stream.exc = exc
        stream.done.set()
