"""ZeroMQ between the system's own processes: the requesting side.

Any thread calls `Peers.request`. One background thread owns the sockets: it
opens a DEALER for each address on the first request to it, sends what is
queued, and matches replies to requests by sequence number.

A socket is one connection and never reconnects. It is closed when its
connection closes, or when nothing was received for the silence limit although
heartbeats were sent; the next request opens a new one. Some connections go
silent for good while new connections to the same address work: waiting longer
on the old one does not help, and the reconnect of libzmq would not detect it.

One state per request, changed under one lock, decides whether the request may
have had an effect: the calling thread may abandon it only while it waits, and
the request counts as sent before it is passed to libzmq.
"""

import collections
from collections.abc import Sequence
import contextlib
import itertools
import logging
import threading
import time
from typing import Final

import zmq

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import connections
from foxtaildale_adapters import logs
from foxtaildale_adapters import wakes

# Time without a request after which a connection is closed, seconds.
IDLE_TIMEOUT_S: Final = 60.0
# Sequence number of heartbeats; those of requests start at 1.
_SEQUENCE_BYTES: Final = connections.SEQUENCE_BYTES
_HEARTBEAT: Final = bytes(_SEQUENCE_BYTES)
_PING: Final = messages.encode(messages.Ping())


class Peers:
    """Implements `ports.Peers` over ZeroMQ.

    Args:
        heartbeat_s: Time between heartbeats of a connection, seconds.
        silence_s: Time without a received message after which a
            connection is closed, seconds.
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
        '_poller',
        '_sequence_numbers',
        '_silence_s',
        '_sockets',
        '_thread',
        '_wakeup',
        'counts',
    )

    def __init__(
        self,
        heartbeat_s: float,
        silence_s: float,
        clock: ports.Clock = time.monotonic,
    ) -> None:
        # Counts of messages and bytes, for metrics and the state dump.
        self.counts = connections.Counts()
        self._heartbeat_s = heartbeat_s
        self._silence_s = silence_s
        self._clock = clock
        self._closing = False
        self._sequence_numbers = itertools.count(1)
        # Guards the state of every request.
        self._lock = threading.Lock()
        # Requests that the background thread has not processed yet.
        self._incoming: collections.deque[
            tuple[str, connections.PendingRequest]
        ] = collections.deque()
        # Owned by the background thread.
        self._context: zmq.Context[connections.Dealer] = zmq.Context()
        self._connections: dict[str, connections.Connection] = {}
        # Both sockets of each connection.
        self._sockets: dict[connections.Dealer, connections.Connection] = {}
        self._poller = zmq.Poller()
        self._wakeup = wakes.WakeEvent()
        self._thread = threading.Thread(
            target=self._run, name='peers', daemon=True
        )
        self._thread.start()

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends a message and waits for its reply.

        Args:
            address: 'IP:PORT' of a `zmq_responder.Responder`.
            msg: The request.
            timeout_s: Maximum wait, seconds.

        Raises:
            errors.UnreachableError: Nothing was sent.
            errors.NoReplyError: The message may have been sent; no reply was
                received.
            errors.RejectedError: The reply is an `ErrorReply`.
        """
        request = self._enqueue(address, _encode_payload(msg))
        return self._wait_for_reply(address, request, timeout_s)

    def request_all(
        self, addresses: Sequence[str], msg: messages.Message, timeout_s: float
    ) -> dict[str, messages.Message]:
        """Sends a message to several addresses and waits for the replies.

        Args:
            addresses: Each 'IP:PORT' of a `zmq_responder.Responder`.
            msg: The request.
            timeout_s: Maximum wait for all replies together, seconds.

        Returns:
            The replies received in time, by address, without error replies.
        """
        payload = _encode_payload(msg)
        deadline = self._clock() + timeout_s
        requests = [
            (address, self._enqueue(address, payload)) for address in addresses
        ]
        replies = {}
        for address, request in requests:
            left_s = max(0.0, deadline - self._clock())
            with contextlib.suppress(errors.PortError):
                replies[address] = self._wait_for_reply(
                    address, request, left_s
                )
        return replies

    def close(self) -> None:
        """Fails every pending request and closes every connection."""
        with self._lock:
            if self._closing:
                return
            self._closing = True
        self._wakeup.set()
        self._thread.join()
        self._context.destroy(linger=0)

    def _enqueue(
        self, address: str, payload: bytes
    ) -> connections.PendingRequest:
        """Queues a request for the background thread.

        Raises:
            errors.UnreachableError: `close` was called.
        """
        request = connections.PendingRequest(
            next(self._sequence_numbers), payload
        )
        if self._closing:
            raise errors.UnreachableError('closed')
        self._incoming.append((address, request))
        self._wakeup.set()
        return request

    def _wait_for_reply(
        self,
        address: str,
        request: connections.PendingRequest,
        timeout_s: float,
    ) -> messages.Message:
        if not request.done.wait(timeout_s):
            self._abandon(address, request)
        if request.exc is not None:
            raise request.exc
        return self._decode_reply(address, request.reply or b'')

    def _abandon(
        self, address: str, request: connections.PendingRequest
    ) -> None:
        """Fails a request that timed out, unless it has just completed."""
        with self._lock:
            if request.done.is_set():
                return
            request.exc = request.no_reply_error(f'{address}: no reply in time')
            request.done.set()

    def _decode_reply(self, address: str, data: bytes) -> messages.Message:
        try:
            reply = messages.decode(data)
        except errors.DecodeError as exc:
            self.counts.dropped += 1
            raise errors.NoReplyError(f'{address}: {exc}') from exc
        if isinstance(reply, messages.ErrorReply):
            raise errors.RejectedError(reply.code, reply.message)
        return reply

    # All methods below run in the background thread.

    def _run(self) -> None:
        self._poller.register(self._wakeup.fileno(), zmq.POLLIN)
        next_heartbeat = self._clock() + self._heartbeat_s
        while not self._closing:
            wait_s = max(0.0, next_heartbeat - self._clock())
            for key, _ in self._poller.poll(int(wait_s * 1000) + 1):
                self._handle_event(key)
            now = self._clock()
            if now >= next_heartbeat:
                self._send_heartbeats(now)
                next_heartbeat = now + self._heartbeat_s
        for conn in list(self._connections.values()):
            self._close_connection(conn, 'closed')
        self._process_incoming()
        self._wakeup.close()

    def _handle_event(self, key: connections.Dealer | int) -> None:
        if isinstance(key, int):
            self._wakeup.clear()
            self._process_incoming()
            return
        conn = self._sockets.get(key)
        if conn is None:
            # The connection was closed earlier in this loop.
            return
        if key is conn.monitor:
            # Replies received before the connection closed are still valid.
            self._receive(conn)
            self._close_connection(conn, 'connection closed')
            return
        self._receive(conn)
        self._send(conn)

    def _process_incoming(self) -> None:
        now = self._clock()
        while self._incoming:
            address, request = self._incoming.popleft()
            if self._closing:
                self._fail_request(request, errors.UnreachableError('closed'))
                continue
            conn = self._connections.get(address)
            if conn is None:
                conn = self._open(address, now)
            if conn is None:
                self._fail_request(
                    request, errors.UnreachableError(f'bad address {address!r}')
                )
                continue
            conn.last_request_at = now
            conn.unsent.append(request)
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
        """Sends queued requests until the connection would block."""
        while conn.unsent:
            request = conn.unsent[0]
            with self._lock:
                if request.done.is_set():
                    conn.unsent.popleft()
                    continue
                if not self._try_send(conn, request.sequence, request.payload):
                    break
                request.sent = True
            conn.unsent.popleft()
            conn.pending[request.sequence] = request
        wanted = zmq.POLLIN | (zmq.POLLOUT if conn.unsent else 0)
        self._poller.modify(conn.sock, wanted)

    def _try_send(
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
            conn.last_received_at = self._clock()
            if len(frames) != 1 or len(frames[0]) < _SEQUENCE_BYTES:
                self.counts.dropped += 1
                continue
            sequence, data = (
                frames[0][:_SEQUENCE_BYTES],
                frames[0][_SEQUENCE_BYTES:],
            )
            self.counts.received += 1
            self.counts.received_bytes += len(data)
            if sequence != _HEARTBEAT:
                self._complete_request(conn, sequence, data)

    def _complete_request(
        self, conn: connections.Connection, sequence: bytes, data: bytes
    ) -> None:
        """Completes the pending request that has this sequence number."""
        request = conn.pending.pop(sequence, None)
        with self._lock:
            if request is not None and not request.done.is_set():
                request.reply = data
                request.done.set()
                return
        self.counts.late += 1
        logs.event(
            logging.INFO, 'late reply', address=conn.address, bytes=len(data)
        )

    def _send_heartbeats(self, now: float) -> None:
        """Sends heartbeats; closes silent and unused connections."""
        for conn in list(self._connections.values()):
            if now - conn.last_received_at > self._silence_s:
                # Otherwise every request to this address would fail while a
                # new connection to it works.
                self.counts.silent += 1
                self._close_connection(conn, 'connection silent')
            elif (
                now - conn.last_request_at > IDLE_TIMEOUT_S and not conn.pending
            ):
                self._close_connection(conn, 'unused')
            else:
                self._remove_abandoned(conn)
                self._try_send(conn, _HEARTBEAT, _PING)

    def _remove_abandoned(self, conn: connections.Connection) -> None:
        """Removes abandoned requests.

        They would accumulate while a peer does not reply.
        """
        conn.unsent = collections.deque(
            request for request in conn.unsent if not request.done.is_set()
        )
        conn.pending = {
            request.sequence: request
            for request in conn.pending.values()
            if not request.done.is_set()
        }

    def _close_connection(
        self, conn: connections.Connection, reason: str
    ) -> None:
        """Closes a connection and fails its requests."""
        self._poller.unregister(conn.sock)
        self._poller.unregister(conn.monitor)
        del self._sockets[conn.sock]
        del self._sockets[conn.monitor]
        del self._connections[conn.address]
        conn.close()
        text = f'{conn.address}: {reason}'
        for request in conn.pending.values():
            self._fail_request(request, errors.NoReplyError(text))
        for request in conn.unsent:
            self._fail_request(request, errors.UnreachableError(text))

    def _fail_request(
        self, request: connections.PendingRequest, exc: errors.PortError
    ) -> None:
        with self._lock:
            if not request.done.is_set():
                request.exc = exc
                request.done.set()


def _encode_payload(msg: messages.Message) -> bytes:
    payload = messages.encode(msg)
    if len(payload) > messages.MAX_BYTES:
        raise errors.UnreachableError(
            f'message of {len(payload)} bytes, limit {messages.MAX_BYTES}'
        )
    return payload
