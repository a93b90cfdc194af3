"""ZeroMQ between the system's own processes: the replying side.

A message is sent as one frame: a sequence number of eight bytes that the
requester chose, then the bytes of `messages.encode`. A reply carries the
sequence number of its request. `Responder` is the replying side; `Peers`, the
requesting side, is defined in `peers.py` and exported here too.

One thread reads the ROUTER socket and passes messages to a few worker threads,
so a slow handler delays neither heartbeats nor other requesters.
"""

import collections
from collections.abc import Callable
import contextlib
import logging
import math
import queue
import threading
import time
from typing import Final

import zmq

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale_adapters import connections
from foxtaildale_adapters import logs
from foxtaildale_adapters import peers
from foxtaildale_adapters import wakes

Peers = peers.Peers

Handler = Callable[[messages.Message], messages.Message]

# Maximum number of messages that wait for a worker thread. Further messages are
# replied to with `ErrorReply` immediately, so that requesters learn of the
# overload without waiting for a timeout.
MAX_QUEUED_MESSAGES: Final = 10_000
# Timeout of `close` for handlers to return and for replies to be sent, seconds.
CLOSE_TIMEOUT_S: Final = 5.0
# Time for which connections stay open after the last replies, seconds.
LAST_REPLIES_S: Final = 0.1
# Maximum frame size, bytes. It leaves room for frames just above the message
# limit, which are counted. For a longer frame, libzmq closes the connection
# before it stores the frame in memory.
_MAX_FRAME_BYTES: Final = messages.MAX_BYTES + 1024
_PONG_REPLY: Final = messages.encode(messages.Pong())
# These codes say nothing of a request of a caller; none of them is one of
# `codes`, where a refusal promises that the request did not run.
_BUSY_REPLY: Final = messages.encode(messages.ErrorReply(code='busy'))
_CLOSING_REPLY: Final = messages.encode(messages.ErrorReply(code='closing'))
_POLL_MS: Final = 500

_HANDSHAKE_FAILURES: Final = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class Responder:
    """Replies to the messages that arrive at one address.

    An exception of the handler becomes an `ErrorReply`, except for
    `InvariantError`: it ends the worker thread through `threading.excepthook`,
    where the composition root stops the process.
    """

    __slots__ = (
        '_address',
        '_closing',
        '_context',
        '_draining',
        '_handler',
        '_monitor',
        '_outbox',
        '_requests',
        '_router',
        '_thread',
        '_wake',
        '_workers',
        'counts',
    )

    def __init__(
        self, address: str, handler: Handler, workers: int = 4
    ) -> None:
        # Message counts for metrics and the state dump.
        self.counts = connections.Counts()
        self._address = address
        self._handler = handler
        # Whether the socket is closing.
        self._closing = False
        # Whether the workers are ending, so that they take no more requests.
        self._draining = False
        # Identity, sequence number and message of each waiting request.
        self._requests: queue.SimpleQueue[
            tuple[bytes, bytes, messages.Message] | None
        ] = queue.SimpleQueue()
        # Replies to be sent by the thread that owns the socket.
        self._outbox: collections.deque[tuple[bytes, bytes, bytes]] = (
            collections.deque()
        )
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._router = self._context.socket(zmq.ROUTER)
        self._monitor = self._router.get_monitor_socket(_HANDSHAKE_FAILURES)
        self._wake = wakes.WakeEvent()
        self._thread = threading.Thread(
            target=self._run, name='responder', daemon=True
        )
        self._workers = [
            threading.Thread(
                target=self._run_worker, name=f'responder-{number}', daemon=True
            )
            for number in range(workers)
        ]

    def start(self) -> str:
        """Binds the address and starts serving.

        Returns:
            The bound address. With port 0 the kernel chooses the port.

        Raises:
            errors.UnreachableError: The address can't be bound.
        """
        self._router.setsockopt(zmq.MAXMSGSIZE, _MAX_FRAME_BYTES)
        try:
            self._router.bind(f'tcp://{self._address}')
        except zmq.ZMQError as exc:
            raise errors.UnreachableError(f'{self._address}: {exc}') from exc
        bound = self._router.getsockopt(zmq.LAST_ENDPOINT)
        assert isinstance(bound, bytes)
        self._thread.start()
        for worker in self._workers:
            worker.start()
        return bound.rstrip(b'\x00').decode().removeprefix('tcp://')

    def close(self) -> None:
        """Refuses further requests, waits for handlers and unbinds."""
        started = self._thread.ident is not None
        if started:
            self._draining = True
            for _ in self._workers:
                self._requests.put(None)
            for worker in self._workers:
                worker.join(CLOSE_TIMEOUT_S)
            self._closing = True
            self._wake.set()
            self._thread.join(CLOSE_TIMEOUT_S)
        self._router.disable_monitor()
        self._context.destroy(
            linger=int(CLOSE_TIMEOUT_S * 1000) if started else 0
        )
        self._wake.close()

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._router, zmq.POLLIN)
        poller.register(self._monitor, zmq.POLLIN)
        poller.register(self._wake.fileno(), zmq.POLLIN)
        while not self._closing:
            self._poll(poller, _POLL_MS)
        self._refuse_queued()
        self._flush()
        # A requester loses replies that it has not read when it learns that the
        # connection has ended.
        ends_at = time.monotonic() + LAST_REPLIES_S
        while (left_s := ends_at - time.monotonic()) > 0:
            self._poll(poller, math.ceil(left_s * 1000))

    def _poll(self, poller: zmq.Poller, timeout_ms: int) -> None:
        """Waits for messages and replies, and processes them."""
        ready = dict(poller.poll(timeout_ms))
        if self._wake.fileno() in ready:
            self._wake.clear()
        self._flush()
        if self._router in ready:
            self._read_all()
        if self._monitor in ready:
            # The content of the event is not needed, and the library's parser
            # of events would import asyncio at each startup.
            self._monitor.recv_multipart()
            self.counts.dropped += 1

    def _refuse_queued(self) -> None:
        """Refuses requests that were queued just as the workers ended."""
        with contextlib.suppress(queue.Empty):
            while True:
                request = self._requests.get_nowait()
                if request is not None:
                    identity, sequence, _ = request
                    self._outbox.append((identity, sequence, _CLOSING_REPLY))

    def _read_all(self) -> None:
        """Reads all messages that wait at the socket."""
        while True:
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._receive(frames)

    def _receive(self, frames: list[bytes]) -> None:
        # Any process may connect to the port. Invalid input gets no reply: its
        # sequence number can't be trusted, and its sender could not decode a
        # reply.
        if len(frames) != 2 or len(frames[1]) < connections.SEQUENCE_BYTES:
            self.counts.dropped += 1
            return
        identity, frame = frames
        sequence = frame[: connections.SEQUENCE_BYTES]
        payload = frame[connections.SEQUENCE_BYTES :]
        try:
            msg = messages.decode(payload)
        except errors.DecodeError as exc:
            self.counts.dropped += 1
            logs.event(logging.WARNING, 'message not readable', error=str(exc))
            return
        self.counts.received += 1
        self.counts.received_bytes += len(payload)
        if isinstance(msg, messages.Ping):
            self._send(identity, sequence, _PONG_REPLY)
        elif self._draining:
            self._send(identity, sequence, _CLOSING_REPLY)
        elif self._requests.qsize() >= MAX_QUEUED_MESSAGES:
            self._send(identity, sequence, _BUSY_REPLY)
        else:
            self._requests.put((identity, sequence, msg))

    def _flush(self) -> None:
        while self._outbox:
            self._send(*self._outbox.popleft())

    def _send(self, identity: bytes, sequence: bytes, payload: bytes) -> None:
        try:
            self._router.send_multipart(
                [identity, sequence + payload], zmq.NOBLOCK
            )
        except zmq.Again:
            # The requester reads too slowly. Its own timeout reports the loss
            # of the reply.
            self.counts.dropped += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(payload)

    def _run_worker(self) -> None:
        while (request := self._requests.get()) is not None:
            identity, sequence, msg = request
            self._outbox.append((identity, sequence, self._reply_to(msg)))
            self._wake.set()

    def _reply_to(self, msg: messages.Message) -> bytes:
        try:
            data = messages.encode(self._handler(msg))
        except errors.InvariantError:
            raise
        except errors.RejectedError as exc:
            return messages.encode(
                messages.ErrorReply(code=exc.code, message=str(exc))
            )
        except Exception as exc:
            return messages.encode(
                messages.ErrorReply(
                    code='error', message=f'{type(exc).__name__}: {exc}'
                )
            )
        if len(data) > messages.MAX_BYTES:
            return messages.encode(
                messages.ErrorReply(
                    code='reply-too-large', message=f'{len(data)} bytes'
                )
            )
        return data
