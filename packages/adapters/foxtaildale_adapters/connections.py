"""A ZeroMQ connection to another process and the requests sent over it."""

import collections
import threading
from typing import Final

import zmq

from foxtaildale import errors
from foxtaildale import messages

SEQUENCE_BYTES: Final = 8
_CLOSE_EVENTS: Final = (
    zmq.EVENT_CLOSED
    | zmq.EVENT_DISCONNECTED
    | zmq.EVENT_CONNECT_RETRIED
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)

Dealer = zmq.Socket[bytes]


class Counts:
    """Message counts of one side since its start."""

    __slots__ = (
        'dropped',
        'late',
        'opened',
        'received',
        'received_bytes',
        'sent',
        'sent_bytes',
        'silent',
    )

    def __init__(self) -> None:
        # Numbers of messages, and bytes of their payload.
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        # Invalid messages, oversized frames and failed handshakes.
        self.dropped = 0
        # Replies that arrived after their request was abandoned.
        self.late = 0
        # Connections opened, and those closed because nothing was received.
        self.opened = 0
        self.silent = 0


class PendingRequest:
    """A request message that waits for its reply."""

    __slots__ = ('done', 'exc', 'payload', 'reply', 'sent', 'sequence')

    def __init__(self, sequence: int, payload: bytes) -> None:
        self.sequence = sequence.to_bytes(SEQUENCE_BYTES, 'big')
        self.payload = payload
        # True as soon as a byte of the request may have left this process.
        self.sent = False
        self.reply: bytes | None = None
        self.exc: errors.PortError | None = None
        # Set together with `reply` or `exc`, and when the request is abandoned.
        self.done = threading.Event()

    def no_reply_error(self, text: str) -> errors.PortError:
        """Returns the error for a request that got no reply."""
        if self.sent:
            return errors.NoReplyError(text)
        return errors.UnreachableError(text)


class Connection:
    """A socket that is connected once and never reconnects."""

    __slots__ = (
        'address',
        'last_ping_at',
        'last_received_at',
        'last_request_at',
        'monitor',
        'pending',
        'sock',
        'unsent',
    )

    def __init__(
        self,
        context: zmq.Context[Dealer],
        address: str,
        silence_s: float,
        now: float,
    ) -> None:
        self.address = address
        self.sock = context.socket(zmq.DEALER)
        self.sock.setsockopt(zmq.LINGER, 0)
        # Messages are queued to established connections only, so a message
        # that was not passed to libzmq was certainly not sent.
        self.sock.setsockopt(zmq.IMMEDIATE, 1)
        self.sock.setsockopt(zmq.RECONNECT_IVL, -1)
        self.sock.setsockopt(zmq.CONNECT_TIMEOUT, max(1, int(silence_s * 1000)))
        self.sock.setsockopt(zmq.MAXMSGSIZE, messages.MAX_BYTES + 1024)
        self.monitor = self.sock.get_monitor_socket(_CLOSE_EVENTS)
        # Requests not yet passed to libzmq.
        self.unsent: collections.deque[PendingRequest] = collections.deque()
        # Sent requests by sequence number.
        self.pending: dict[bytes, PendingRequest] = {}
        self.last_request_at = now
        self.last_received_at = now
        self.last_ping_at = now

    def close(self) -> None:
        """Closes the socket; messages queued in libzmq are discarded."""
        self.sock.disable_monitor()
        self.monitor.close(0)
        self.sock.close(0)
