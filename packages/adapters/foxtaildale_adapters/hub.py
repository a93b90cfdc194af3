"""One thread that reads many streams.

A thread a stream is woken for each token, and each time fights the others for
the interpreter lock; that costs more than reading and parsing together. The hub
wakes once for all streams that have something, and hands their events to a
function of each stream. The thread that asked sleeps until its stream ends.

That function must not block, or every other stream waits with it. If it would
have to (a slow caller's connection is full) it returns False: the hub lets the
stream go, and the thread that asked goes on by itself.
"""

from collections.abc import Callable
import contextlib
import select
import socket
import threading
import time
from typing import Final

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import ports
from foxtaildale_adapters import events

# Takes an event; False means: no more from the hub.
Take = Callable[[backends.Piece | backends.Last], bool]

_BLOCK: Final = 65536
# Pause behind each wake-up, seconds: how much later a token may come, for
# fewer wake-ups. Small against the target between tokens.
PACE_S: Final = 0.002
# How often streams are searched for silent ones, seconds.
_SWEEP_S: Final = 0.25


class _Driven:
    """A stream that the hub reads."""

    __slots__ = ('done', 'error', 'fd', 'heard_at', 'sock', 'stream', 'take')

    def __init__(
        self,
        stream: events.Stream,
        sock: socket.socket,
        take: Take,
        now: float,
    ) -> None:
        self.stream = stream
        self.sock = sock
        self.fd = sock.fileno()
        self.take = take
        # When its last event came.
        self.heard_at = now
        self.done = threading.Event()
        # What ended it, for the thread that waits.
        self.error: BaseException | None = None


class Hub:
    """Reads streams for the threads that call `drive`."""

    __slots__ = ('_clock', '_driven', '_epoll', '_pace_s', '_swept_at')

    def __init__(
        self,
        pace_s: float = PACE_S,
        clock: ports.Clock = time.monotonic,
    ) -> None:
        self._pace_s = pace_s
        self._clock = clock
        self._epoll = select.epoll()
        # By file descriptor; callers add, the hub's thread takes off.
        self._driven: dict[int, _Driven] = {}
        self._swept_at = clock()
        threading.Thread(target=self._run, name='hub', daemon=True).start()

    def drive(self, stream: events.Stream, take: Take) -> bool:
        """Hands events to `take`, from this thread or the hub's.

        Returns:
            True after the stream's last event; False if `take` said so, in
            which case the stream may be iterated on.

        Raises:
            errors.AnswerLostError: The stream broke or fell silent.
        """
        for event in stream:
            if not take(event):
                return False
            sock = stream.lend()
            if sock is not None:
                return self._drive(_Driven(stream, sock, take, self._clock()))
        return True

    def _drive(self, driven: _Driven) -> bool:
        try:
            self._driven[driven.fd] = driven
            self._epoll.register(driven.fd, select.EPOLLIN)
            driven.done.wait()
        finally:
            self._driven.pop(driven.fd, None)
            driven.stream.give_back()
        if driven.error is not None:
            driven.stream.close()
            raise driven.error
        return driven.stream.ended

    def _run(self) -> None:
        while True:
            ready = self._epoll.poll(_SWEEP_S)
            now = self._clock()
            for fd, _ in ready:
                driven = self._driven.get(fd)
                if driven is not None:
                    self._read(driven, now)
            if ready:
                # Lets more streams become ready before the next wake-up.
                time.sleep(self._pace_s)
            if now - self._swept_at >= _SWEEP_S:
                self._sweep(now)

    def _read(self, driven: _Driven, now: float) -> None:
        stream = driven.stream
        try:
            block = driven.sock.recv(_BLOCK, socket.MSG_DONTWAIT)
            stream.feed(block)
            while stream.pending:
                driven.heard_at = now
                if not driven.take(next(stream)):
                    self._finish(driven)
                    return
            if stream.ended:
                self._finish(driven)
        except BlockingIOError:
            pass
        except OSError as exc:
            self._finish(driven, errors.AnswerLostError(str(exc)))
        except BaseException as exc:
            # Whatever `take` raises belongs to the thread that asked; the
            # hub goes on for the other streams.
            self._finish(driven, exc)

    def _sweep(self, now: float) -> None:
        self._swept_at = now
        for driven in list(self._driven.values()):
            if now - driven.heard_at > driven.stream.silence_s:
                self._finish(driven, errors.AnswerLostError('no event in time'))

    def _finish(
        self, driven: _Driven, error: BaseException | None = None
    ) -> None:
        # Before the waiting thread may close the descriptor, since a new
        # stream may get the same number.
        with contextlib.suppress(OSError):
            self._epoll.unregister(driven.fd)
        self._driven.pop(driven.fd, None)
        driven.error = error
        driven.done.set()
