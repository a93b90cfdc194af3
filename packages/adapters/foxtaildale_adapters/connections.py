"""One ZeroMQ connection to another process, and what is asked over it."""

import collections
import threading
from typing import Final

import zmq

from foxtaildale import errors
from foxtaildale import messages

SEQUENCE_BYTES: Final = 8
_ENDED: Final = (
    zmq.EVENT_CLOSED
    | zmq.EVENT_DISCONNECTED
    | zmq.EVENT_CONNECT_RETRIED
    | zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)

Dealer = zmq.Socket[bytes]


class Counts:
    """What passed over one side of the wire since the start."""

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
        # Messages, and bytes of their payload.
        self.sent = 0
        self.sent_bytes = 0
        self.received = 0
        self.received_bytes = 0
        # Garbage, oversized frames and failed handshakes.
        self.dropped = 0
        # Replies whose asker had given up.
        self.late = 0
        # Connections opened, and of those given up for their silence.
        self.opened = 0
        self.silent = 0


class Ask:
    """One message on its way."""

    __slots__ = ('done', 'exc', 'payload', 'reply', 'sent', 'sequence')

    def __init__(self, sequence: int, payload: bytes) -> None:
        self.sequence = sequence.to_bytes(SEQUENCE_BYTES, 'big')
        self.payload = payload
        # True as soon as a byte of it may leave this process.
        self.sent = False
        self.reply: bytes | None = None
        self.exc: errors.PortError | None = None
        # Set when reply or exc is there; also marks an abandoned ask.
        self.done = threading.Event()

    def lost(self, text: str) -> errors.PortError:
        """Returns what can be said of an ask without an answer."""
        if self.sent:
            return errors.NoReplyError(text)
        return errors.UnreachableError(text)


class Connection:
    """One socket, connected once."""

    __slots__ = (
        'address',
        'asked_at',
        'heard_at',
        'monitor',
        'pending',
        'pinged_at',
        'sock',
        'waiting',
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
        # Messages go to completed connections only, so what was not handed
        # over to libzmq was surely not sent.
        self.sock.setsockopt(zmq.IMMEDIATE, 1)
        self.sock.setsockopt(zmq.RECONNECT_IVL, -1)
        self.sock.setsockopt(zmq.CONNECT_TIMEOUT, max(1, int(silence_s * 1000)))
        self.sock.setsockopt(zmq.MAXMSGSIZE, messages.MAX_BYTES + 1024)
        self.monitor = self.sock.get_monitor_socket(_ENDED)
        # Not handed to libzmq yet.
        self.waiting: collections.deque[Ask] = collections.deque()
        # Sent, by sequence number.
        self.pending: dict[bytes, Ask] = {}
        self.asked_at = now
        self.heard_at = now
        self.pinged_at = now

    def close(self) -> None:
        """Closes the socket; what libzmq still holds is thrown away."""
        self.sock.disable_monitor()
        self.monitor.close(0)
        self.sock.close(0)
