"""ZeroMQ between the system's own processes: the answering side.

A message travels as one frame: a sequence number of eight bytes that the asker
chose, then the bytes of `messages.encode`. A reply carries the sequence number
of what it answers. `Responder` is the answering side; `Peers`, the asking side, lives in
`peers.py` and is offered here too.

One thread reads the ROUTER socket and hands messages to a few workers, so a
slow handler holds up neither heartbeats nor other askers.
"""

import collections
from collections.abc import Callable
import queue
import threading
from typing import Final

import zmq

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale_adapters import connections
from foxtaildale_adapters import peers
from foxtaildale_adapters import wakes

Peers = peers.Peers

Handler = Callable[[messages.Message], messages.Message]

# Messages that may wait for a worker; more are answered `Fail` at once, so
# that askers hear of the overload instead of waiting it out.
QUEUE_LIMIT: Final = 10_000
# How long `close` waits for handlers and for replies to leave, seconds.
CLOSE_S: Final = 5.0
# Room for frames just above the limit, which are counted; libzmq drops the
# connection of anything longer before it is held in memory.
_FRAME_BYTES: Final = messages.MAX_BYTES + 1024
_PONG: Final = messages.encode(messages.Pong())
_BUSY: Final = messages.encode(messages.ErrorReply(code='busy'))
_POLL_MS: Final = 500

_HANDSHAKE_FAILED: Final = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class Responder:
    """Answers the messages that reach one address.

    An exception of the handler becomes a `Fail`, but for a broken invariant:
    that leaves the worker thread through `threading.excepthook`, where the
    composition root stops the process.
    """

    __slots__ = (
        '_address',
        '_closing',
        '_context',
        '_handler',
        '_jobs',
        '_monitor',
        '_outbox',
        '_router',
        '_thread',
        '_wake',
        '_workers',
        'counts',
    )

    def __init__(
        self, address: str, handler: Handler, workers: int = 4
    ) -> None:
        # What passed, for metrics and the state dump.
        self.counts = connections.Counts()
        self._address = address
        self._handler = handler
        self._closing = False
        # Identity, sequence number and message of each that waits.
        self._jobs: queue.SimpleQueue[
            tuple[bytes, bytes, messages.Message] | None
        ] = queue.SimpleQueue()
        # Replies that wait for the thread that owns the socket.
        self._outbox: collections.deque[tuple[bytes, bytes, bytes]] = (
            collections.deque()
        )
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._router = self._context.socket(zmq.ROUTER)
        self._monitor = self._router.get_monitor_socket(_HANDSHAKE_FAILED)
        self._wake = wakes.Wake()
        self._thread = threading.Thread(
            target=self._run, name='responder', daemon=True
        )
        self._workers = [
            threading.Thread(
                target=self._work, name=f'responder-{number}', daemon=True
            )
            for number in range(workers)
        ]

    def start(self) -> str:
        """Binds and serves.

        Returns:
            The bound address; port 0 lets the kernel choose.

        Raises:
            errors.UnreachableError: The address can't be bound.
        """
        self._router.setsockopt(zmq.MAXMSGSIZE, _FRAME_BYTES)
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
        """Reads no more, lets handlers end, sends their replies, unbinds."""
        started = self._thread.ident is not None
        if started:
            for _ in self._workers:
                self._jobs.put(None)
            for worker in self._workers:
                worker.join(CLOSE_S)
            self._closing = True
            self._wake.set()
            self._thread.join(CLOSE_S)
        self._router.disable_monitor()
        self._context.destroy(linger=int(CLOSE_S * 1000) if started else 0)
        self._wake.close()

    def _run(self) -> None:
        poller = zmq.Poller()
        poller.register(self._router, zmq.POLLIN)
        poller.register(self._monitor, zmq.POLLIN)
        poller.register(self._wake.fileno(), zmq.POLLIN)
        while not self._closing:
            ready = dict(poller.poll(_POLL_MS))
            if self._wake.fileno() in ready:
                self._wake.clear()
            self._flush()
            if self._router in ready:
                self._read()
            if self._monitor in ready:
                # What it says is not needed; the library's reader of it would
                # bring asyncio into each start.
                self._monitor.recv_multipart()
                self.counts.dropped += 1
        self._flush()

    def _read(self) -> None:
        """Takes everything that waits at the socket."""
        while True:
            try:
                frames = self._router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._take(frames)

    def _take(self, frames: list[bytes]) -> None:
        # Anything may be connected to the port. What is no message of ours
        # gets no reply: there is no sequence number to trust, and a reply to
        # garbage would be garbage to its sender.
        if len(frames) != 2 or len(frames[1]) < connections.SEQUENCE_BYTES:
            self.counts.dropped += 1
            return
        identity, frame = frames
        sequence = frame[: connections.SEQUENCE_BYTES]
        payload = frame[connections.SEQUENCE_BYTES :]
        try:
            msg = messages.decode(payload)
        except errors.DecodeError:
            self.counts.dropped += 1
            return
        self.counts.received += 1
        self.counts.received_bytes += len(payload)
        if isinstance(msg, messages.Ping):
            self._send(identity, sequence, _PONG)
        elif self._jobs.qsize() >= QUEUE_LIMIT:
            self._send(identity, sequence, _BUSY)
        else:
            self._jobs.put((identity, sequence, msg))

    def _flush(self) -> None:
        while self._outbox:
            self._send(*self._outbox.popleft())

    def _send(self, identity: bytes, sequence: bytes, payload: bytes) -> None:
        try:
            self._router.send_multipart(
                [identity, sequence + payload], zmq.NOBLOCK
            )
        except zmq.Again:
            # The asker reads too slowly; it learns by its own timeout that
            # the answer was lost.
            self.counts.dropped += 1
            return
        self.counts.sent += 1
        self.counts.sent_bytes += len(payload)

    def _work(self) -> None:
        while (job := self._jobs.get()) is not None:
            identity, sequence, msg = job
            self._outbox.append((identity, sequence, self._answer(msg)))
            self._wake.set()

    def _answer(self, msg: messages.Message) -> bytes:
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
                    code='too-large', message=f'{len(data)} bytes'
                )
            )
        return data
