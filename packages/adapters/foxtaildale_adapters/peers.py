"""ZeroMQ between the system's own processes: the asking side.

Any thread calls `Peers.ask`. One background thread owns the sockets: it opens
a DEALER for each address when it is first asked for, sends what waits, and
matches replies to askers by sequence number.

A socket is one connection and never reconnects. When it closes, or when
nothing was heard for the silence bound although heartbeats were sent, it is
dropped, and the next ask opens a fresh one. That is what helps against
connections that go silent for good while new ones work: waiting longer on the
old one never ends, and libzmq's own reconnect would not notice.

What can be said of effects is decided by one state for each ask, changed under
one lock: the asker may abandon it only while it waits, and it counts as sent
before libzmq gets to see it.
"""

import collections
from collections.abc import Sequence
import contextlib
import itertools
import threading
import time
from typing import Final

import zmq

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import connections
from foxtaildale_adapters import wakes

# A connection that nobody asked over for this long is closed, seconds.
IDLE_S: Final = 60.0
# Sequence number of heartbeats; asks count from 1.
_SEQUENCE: Final = connections.SEQUENCE_BYTES
_HEARTBEAT: Final = bytes(_SEQUENCE)
_PING: Final = messages.encode(messages.Ping())


class Peers:
    """Implements `ports.Peers` over ZeroMQ.

    Args:
        heartbeat_s: Time between heartbeats of a connection, seconds.
        silence_s: A connection that was not heard for this long is replaced.
        clock: Monotonic seconds.
    """

    __slots__ = (
        '_clock',
        '_closing',
        '_connections',
        '_context',
        '_heartbeat_s',
        '_incoming',
        '_lock',
        '_numbers',
        '_poller',
        '_silence_s',
        '_sockets',
        '_thread',
        '_wake',
        'counts',
    )

    def __init__(
        self,
        heartbeat_s: float,
        silence_s: float,
        clock: ports.Clock = time.monotonic,
    ) -> None:
        # What passed, for metrics and the state dump.
        self.counts = connections.Counts()
        self._heartbeat_s = heartbeat_s
        self._silence_s = silence_s
        self._clock = clock
        self._closing = False
        self._numbers = itertools.count(1)
        # Guards the state of every ask.
        self._lock = threading.Lock()
        # Asks that the background thread has not seen yet.
        self._incoming: collections.deque[tuple[str, connections.Ask]] = (
            collections.deque()
        )
        # Owned by the background thread.
        self._context: zmq.Context[connections.Dealer] = zmq.Context()
        self._connections: dict[str, connections.Connection] = {}
        # Both sockets of each connection.
        self._sockets: dict[connections.Dealer, connections.Connection] = {}
        self._poller = zmq.Poller()
        self._wake = wakes.Wake()
        self._thread = threading.Thread(
            target=self._run, name='peers', daemon=True
        )
        self._thread.start()

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends a message and waits for its reply.

        Args:
            address: 'IP:PORT' of a `wire.Responder`.
            msg: What to ask.
            timeout_s: Longest wait, seconds.

        Raises:
            errors.UnreachableError: Surely nothing was sent.
            errors.AnswerLostError: It may have been sent; no answer came.
            errors.RejectedError: The reply is a `Fail`.
        """
        ask = self._put(address, _payload(msg))
        return self._wait(address, ask, timeout_s)

    def request_all(
        self, addresses: Sequence[str], msg: messages.Message, timeout_s: float
    ) -> dict[str, messages.Message]:
        """Sends a message to several and waits for their replies together.

        Args:
            addresses: Each 'IP:PORT' of a `wire.Responder`.
            msg: What to ask.
            timeout_s: Longest wait for all of them, seconds.

        Returns:
            The replies that came in time, by address; no `Fail`.
        """
        payload = _payload(msg)
        end = self._clock() + timeout_s
        asks = [(address, self._put(address, payload)) for address in addresses]
        replies = {}
        for address, ask in asks:
            left_s = max(0.0, end - self._clock())
            with contextlib.suppress(errors.PortError):
                replies[address] = self._wait(address, ask, left_s)
        return replies

    def close(self) -> None:
        """Ends every ask and closes every connection."""
        with self._lock:
            if self._closing:
                return
            self._closing = True
        self._wake.set()
        self._thread.join()
        self._context.destroy(linger=0)

    def _put(self, address: str, payload: bytes) -> connections.Ask:
        """Hands an ask to the background thread.

        Raises:
            errors.UnreachableError: The asking side was closed.
        """
        ask = connections.Ask(next(self._numbers), payload)
        if self._closing:
            raise errors.UnreachableError('closed')
        self._incoming.append((address, ask))
        self._wake.set()
        return ask

    def _wait(
        self, address: str, ask: connections.Ask, timeout_s: float
    ) -> messages.Message:
        if not ask.done.wait(timeout_s):
            self._give_up(address, ask)
        if ask.exc is not None:
            raise ask.exc
        return self._read(address, ask.reply or b'')

    def _give_up(self, address: str, ask: connections.Ask) -> None:
        """Settles an ask whose time is over, unless it was settled just now."""
        with self._lock:
            if ask.done.is_set():
                return
            ask.exc = ask.lost(f'{address}: no answer in time')
            ask.done.set()

    def _read(self, address: str, data: bytes) -> messages.Message:
        try:
            reply = messages.decode(data)
        except errors.DecodeError as exc:
            self.counts.dropped += 1
            raise errors.NoReplyError(f'{address}: {exc}') from exc
        if isinstance(reply, messages.ErrorReply):
            raise errors.RejectedError(reply.code, reply.message)
        return reply

    # All below runs in the background thread.

    def _run(self) -> None:
        self._poller.register(self._wake.fileno(), zmq.POLLIN)
        next_beat = self._clock() + self._heartbeat_s
        while not self._closing:
            wait_s = max(0.0, next_beat - self._clock())
            for key, _ in self._poller.poll(int(wait_s * 1000) + 1):
                self._serve(key)
            now = self._clock()
            if now >= next_beat:
                self._beat(now)
                next_beat = now + self._heartbeat_s
        for conn in list(self._connections.values()):
            self._drop(conn, 'closed')
        self._take_incoming()
        self._wake.close()

    def _serve(self, key: connections.Dealer | int) -> None:
        if isinstance(key, int):
            self._wake.clear()
            self._take_incoming()
            return
        conn = self._sockets.get(key)
        if conn is None:
            # Dropped earlier in this round.
            return
        if key is conn.monitor:
            # Replies that came before the end still count.
            self._receive(conn)
            self._drop(conn, 'connection closed')
            return
        self._receive(conn)
        self._send(conn)

    def _take_incoming(self) -> None:
        now = self._clock()
        while self._incoming:
            address, ask = self._incoming.popleft()
            if self._closing:
                self._settle(ask, errors.UnreachableError('closed'))
                continue
            conn = self._connections.get(address)
            if conn is None:
                conn = self._open(address, now)
            if conn is None:
                self._settle(ask, errors.UnreachableError(f'bad {address!r}'))
                continue
            conn.asked_at = now
            conn.waiting.append(ask)
            self._send(conn)

    def _open(self, address: str, now: float) -> connections.Connection | None:
        conn = connections.Connection(
            self._context, address, self._silence_s, now
        )
        try:
            conn.sock.connect(f'tcp://{address}')
        except zmq.ZMQError:
            conn.close()
            return None
        self._connections[address] = conn
        self._sockets[conn.sock] = conn
        self._sockets[conn.monitor] = conn
        self._poller.register(conn.sock, zmq.POLLIN | zmq.POLLOUT)
        self._poller.register(conn.monitor, zmq.POLLIN)
        self.counts.opened += 1
        return conn

    def _send(self, conn: connections.Connection) -> None:
        """Sends what waits, as far as the connection takes it."""
        while conn.waiting:
            ask = conn.waiting[0]
            with self._lock:
                if ask.done.is_set():
                    conn.waiting.popleft()
                    continue
                if not self._push(conn, ask.sequence, ask.payload):
                    break
                ask.sent = True
            conn.waiting.popleft()
            conn.pending[ask.sequence] = ask
        wanted = zmq.POLLIN | (zmq.POLLOUT if conn.waiting else 0)
        self._poller.modify(conn.sock, wanted)

    def _push(
        self, conn: connections.Connection, sequence: bytes, data: bytes
    ) -> bool:
        try:
            conn.sock.send(sequence + data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        self.counts.sent += 1
        self.counts.sent_bytes += len(data)
        return True

    def _receive(self, conn: connections.Connection) -> None:
        while True:
            try:
                frames = conn.sock.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            conn.heard_at = self._clock()
            if len(frames) != 1 or len(frames[0]) < _SEQUENCE:
                self.counts.dropped += 1
                continue
            sequence, data = frames[0][:_SEQUENCE], frames[0][_SEQUENCE:]
            self.counts.received += 1
            self.counts.received_bytes += len(data)
            if sequence != _HEARTBEAT:
                self._match(conn, sequence, data)

    def _match(
        self, conn: connections.Connection, sequence: bytes, data: bytes
    ) -> None:
        """Hands a reply to the one who asked, and to nobody else."""
        ask = conn.pending.pop(sequence, None)
        if ask is None:
            self.counts.late += 1
            return
        with self._lock:
            if ask.done.is_set():
                self.counts.late += 1
                return
            ask.reply = data
            ask.done.set()

    def _beat(self, now: float) -> None:
        """Sends heartbeats; replaces the silent, closes the unused."""
        for conn in list(self._connections.values()):
            if now - conn.heard_at > self._silence_s:
                # One would notice asks to this address failing one after
                # the other while a fresh process reaches it well.
                self.counts.silent += 1
                self._drop(conn, 'connection silent')
            elif now - conn.asked_at > IDLE_S and not conn.pending:
                self._drop(conn, 'unused')
            else:
                self._forget_abandoned(conn)
                self._push(conn, _HEARTBEAT, _PING)

    def _forget_abandoned(self, conn: connections.Connection) -> None:
        """Drops given-up asks, which an unanswering peer would pile up."""
        conn.waiting = collections.deque(
            ask for ask in conn.waiting if not ask.done.is_set()
        )
        conn.pending = {
            ask.sequence: ask
            for ask in conn.pending.values()
            if not ask.done.is_set()
        }

    def _drop(self, conn: connections.Connection, reason: str) -> None:
        """Closes a connection and settles its asks."""
        self._poller.unregister(conn.sock)
        self._poller.unregister(conn.monitor)
        del self._sockets[conn.sock]
        del self._sockets[conn.monitor]
        del self._connections[conn.address]
        conn.close()
        text = f'{conn.address}: {reason}'
        for ask in conn.pending.values():
            self._settle(ask, errors.NoReplyError(text))
        for ask in conn.waiting:
            self._settle(ask, errors.UnreachableError(text))

    def _settle(self, ask: connections.Ask, exc: errors.PortError) -> None:
        with self._lock:
            if not ask.done.is_set():
                ask.exc = exc
                ask.done.set()


def _payload(msg: messages.Message) -> bytes:
    payload = messages.encode(msg)
    if len(payload) > messages.MAX_BYTES:
        raise errors.UnreachableError(
            f'message of {len(payload)} bytes, limit {messages.MAX_BYTES}'
        )
    return payload
