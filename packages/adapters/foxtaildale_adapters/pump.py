"""One thread that reads many streams from engines.

With a thread for each stream every token costs a wake-up, a fight for the
interpreter lock and a sleep, which is most of its price. Here each stream's
own thread is parked and one thread takes whatever came, stream by stream.

It must never wait for a single stream: it receives without blocking, and what
it feeds must not block either. A stream whose caller reads too slowly is given
back to its own thread, which may wait; see `flow`.
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

# Most that is taken from a stream before the next one's turn, bytes.
BLOCK: Final = 65536
# Time between looks for silent streams, seconds.
SWEEP_S: Final = 0.5


class Feed(Protocol):
    """Takes the bytes of one stream."""

    def feed(self, block: bytes) -> bool:
        """Takes bytes without blocking; False if the pump shall let go."""


class _Stream:
    """One stream in the pump's care."""

    __slots__ = ('done', 'exc', 'feed', 'heard_at', 'silence_s', 'sock')

    def __init__(
        self, sock: socket.socket, feed: Feed, silence_s: float, now: float
    ) -> None:
        self.sock = sock
        self.feed = feed
        self.silence_s = silence_s
        self.heard_at = now
        # Why the stream's thread must not go on; raised there.
        self.exc: BaseException | None = None
        self.done = threading.Event()


class Pump:
    """Feeds streams as their bytes come.

    Args:
        clock: Monotonic seconds.
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
        # No stream may be added once the thread has let go of all.
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._wake = wakes.Wake()
        self._epoll.register(self._wake.fileno(), select.EPOLLIN)
        # By descriptor; a stream's thread adds, the pump's removes.
        self._streams: dict[int, _Stream] = {}
        self._thread = threading.Thread(
            target=self._run, name='pump', daemon=True
        )

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def close(self) -> None:
        """Ends the thread; streams still carried end as lost."""
        with self._lock:
            self._closing = True
        self._wake.set()
        self._thread.join()

    def carry(self, sock: socket.socket, feed: Feed, silence_s: float) -> None:
        """Feeds what comes on a socket until `feed` has enough.

        Another thread ends it by shutting the connection down. Nobody may
        close this handle of it meanwhile: its number could become another
        stream's, whose bytes would then be fed here.

        Raises:
            errors.AnswerLostError: The stream broke, ended, or was silent
                for `silence_s` seconds.
        """
        stream = _Stream(sock, feed, silence_s, self._clock())
        with self._lock:
            if self._closing:
                raise errors.NoReplyError('closed')
            self._streams[sock.fileno()] = stream
            self._epoll.register(sock.fileno(), select.EPOLLIN)
        stream.done.wait()
        if stream.exc is not None:
            raise stream.exc

    def _run(self) -> None:
        next_sweep = self._clock() + SWEEP_S
        while not self._closing:
            wait_s = max(0.0, next_sweep - self._clock())
            for fd, _ in self._epoll.poll(wait_s):
                stream = self._streams.get(fd)
                if stream is not None:
                    self._take(fd, stream)
            if self._clock() >= next_sweep:
                self._sweep(self._clock())
                next_sweep = self._clock() + SWEEP_S
        for fd, stream in list(self._streams.items()):
            self._end(fd, stream, errors.NoReplyError('closed'))
        self._epoll.close()
        self._wake.close()

    def _take(self, fd: int, stream: _Stream) -> None:
        try:
            block = stream.sock.recv(BLOCK, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError as exc:
            self._end(fd, stream, errors.NoReplyError(str(exc)))
            return
        if not block:
            text = 'stream ended before its last'
            self._end(fd, stream, errors.NoReplyError(text))
            return
        stream.heard_at = self._clock()
        try:
            going = stream.feed.feed(block)
        except BaseException as exc:
            # The fault is one stream's; the others go on.
            self._end(fd, stream, exc)
            return
        if not going:
            self._end(fd, stream, None)

    def _sweep(self, now: float) -> None:
        for fd, stream in list(self._streams.items()):
            if now - stream.heard_at > stream.silence_s:
                self._end(fd, stream, errors.NoReplyError('silent'))

    def _end(self, fd: int, stream: _Stream, exc: BaseException | None) -> None:
        del self._streams[fd]
        self._epoll.unregister(fd)
        stream.exc = exc
        stream.done.set()
