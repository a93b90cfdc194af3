"""Opens connections to backend servers for other entry VMs.

An entry VM that reaches no backend server opens its connections through one
that does: it connects to that VM's `Relay`, names the server in a
`messages.RelayRequest`, and after a positive `messages.RelayReply` the bytes of
both connections are passed on unchanged. Each message follows its length in
four bytes.

If one end closes or breaks, so does the other one. A reset of the server is
passed on as a reset: a response without a length that ends in a close would
look complete.

One thread handles all connections; it never blocks on one of them.
"""

import collections
from concurrent import futures
import contextlib
import logging
import selectors
import socket
import struct
import threading
from typing import Final
from typing import Protocol

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import connectors
from foxtaildale_adapters import logs
from foxtaildale_adapters import wakes

# Time for the request to arrive, and for the server to be connected to,
# seconds. Round trips take a few milliseconds, and the requesting VM waits.
REQUEST_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.1
# Time without any bytes after which a connection is closed, seconds. Requests
# have ended by then; the VM that sent them may have lost power.
IDLE_TIMEOUT_S: Final = 60.0
# Time for a relay to open another connection after one has ended, seconds.
PROBE_TIMEOUT_S: Final = 0.3
# Number of times that it is asked; a lost packet delays one of them.
MAX_PROBES: Final = 3
# Maximum number of connections that are opened at the same time.
MAX_CONNECTING: Final = 8
# Maximum number of relayed connections; each has two descriptors.
MAX_CONNECTIONS: Final = 256
# Bytes that wait for one end above which the other end is not read.
MAX_BUFFERED_BYTES: Final = 262_144
# Maximum of that for all connections together. A half of it is shared, and the
# other one is divided among all connections that there may be, so that slow
# readers take nothing from connections that are opened later.
MAX_TOTAL_BUFFERED_BYTES: Final = 8 * 1024 * 1024
MAX_SHARED_BYTES: Final = MAX_TOTAL_BUFFERED_BYTES // 2
# Each connection has two ends.
MIN_BUFFERED_BYTES: Final = MAX_SHARED_BYTES // (2 * MAX_CONNECTIONS)
_POLL_S: Final = 1.0
_MAX_REQUEST_BYTES: Final = 1024
_READ_BYTES: Final = 65_536
_LENGTH: Final = struct.Struct('>I')
_ABORT: Final = struct.pack('ii', 1, 0)


class RelayError(OSError):
    """Another entry VM did not open the connection.

    Attributes:
        result: Its reply; empty if there was none.
        incarnation: Name of the process that replied.
    """

    def __init__(self, result: str, text: str, incarnation: str = '') -> None:
        super().__init__(text)
        self.result = result
        self.incarnation = incarnation


def connect_through(
    relay: str, address: str, timeout_s: float
) -> connectors.Opened:
    """Opens a connection to a backend server through another entry VM.

    Args:
        relay: 'IP:PORT' of the `Relay` of that VM.
        address: 'IP:PORT' of the backend server.
        timeout_s: Time limit of the connection and of the reply, seconds.

    Raises:
        RelayError: No connection was opened, and nothing was sent.
    """
    try:
        sock = connectors.open_socket(relay, timeout_s)
    except OSError as exc:
        raise RelayError('', f'{relay}: {exc}') from exc
    try:
        payload = messages.encode(messages.RelayRequest(address=address))
        sock.sendall(_LENGTH.pack(len(payload)) + payload)
        (length,) = _LENGTH.unpack(_read_exactly(sock, _LENGTH.size))
        reply = messages.decode(
            _read_exactly(sock, min(length, _MAX_REQUEST_BYTES))
        )
    except (OSError, errors.DecodeError) as exc:
        sock.close()
        raise RelayError('', f'{relay}: {exc}') from exc
    if not isinstance(reply, messages.RelayReply) or reply.result != 'open':
        sock.close()
        result = getattr(reply, 'result', '')
        raise RelayError(
            result,
            f'{relay}: {result or "no relay reply"}',
            getattr(reply, 'incarnation', ''),
        )
    return connectors.Opened(sock, relay=relay, incarnation=reply.incarnation)


def is_running(opened: connectors.Opened, address: str) -> bool:
    """Returns whether the process that relays a connection is known to go on.

    Args:
        opened: A connection through the relay, which has ended. It ends
            regularly, too, if the relaying process is killed.
        address: 'IP:PORT' of the backend server.
    """
    if not opened.incarnation:
        # Relays of older builds name no process.
        return False
    for _ in range(MAX_PROBES):
        try:
            again = connect_through(opened.relay, address, PROBE_TIMEOUT_S)
        except RelayError as exc:
            if exc.incarnation:
                return exc.incarnation == opened.incarnation
            continue
        again.sock.close()
        return again.incarnation == opened.incarnation
    return False


def _read_exactly(sock: socket.socket, size: int) -> bytes:
    data = b''
    while len(data) < size:
        part = sock.recv(size - len(data))
        if not part:
            raise ConnectionError('closed')
        data += part
    return data


class Gate(Protocol):
    """Decides which connections a relay opens."""

    def refusal(self, address: str) -> messages.RelayResult | None:
        """Returns why no connection to a server is opened; None if it is."""

    def record(
        self, address: str, result: messages.RelayResult
    ) -> messages.RelayResult:
        """Records the outcome of a connection; returns the result to send."""


class _Connection:
    """A connection of another VM and the one to a backend server."""

    __slots__ = (
        'active_at',
        'address',
        'far',
        'far_broken',
        'far_ended',
        'far_reset',
        'is_connecting',
        'near',
        'request',
        'shared_bytes',
        'to_far',
        'to_near',
    )

    def __init__(self, near: socket.socket, now: float) -> None:
        self.near = near
        # None until the server is connected to, and whether that is under way.
        self.far: socket.socket | None = None
        self.is_connecting = False
        self.address = ''
        # What has arrived of the request; None once the server is connected.
        self.request: bytearray | None = bytearray()
        # Bytes to be sent to each end.
        self.to_far = bytearray()
        self.to_near = bytearray()
        # How many of them are in the shared part.
        self.shared_bytes = 0
        # Whether the server closed its end regularly, and whether it takes no
        # more bytes; its response may still be read then.
        self.far_ended = False
        self.far_broken = False
        # Whether a send reported a reset by the server. The kernel reports it
        # once, so that a read finds a regular end.
        self.far_reset = False
        # When bytes were last passed on, seconds.
        self.active_at = now


class Relay:
    """Accepts connections of other entry VMs and passes them on."""

    __slots__ = (
        '_clock',
        '_closing',
        '_connections',
        '_connector',
        '_gate',
        '_incarnation',
        '_listener',
        '_opened',
        '_pool',
        '_selector',
        '_shared_bytes',
        '_stopping',
        '_thread',
        '_wake',
        'address',
    )

    def __init__(
        self,
        address: str,
        connector: connectors.Connector,
        gate: Gate,
        clock: ports.Clock,
        incarnation: str = '',
    ) -> None:
        """Binds the address; connections are accepted after `start`.

        Args:
            address: 'IP:PORT' to listen on; with port 0 the kernel chooses.
            connector: Connects to the servers.
            gate: Decides which connections are opened.
            clock: Returns the time, seconds.
            incarnation: Names this start of the process in replies.

        Raises:
            OSError: The address can't be bound.
        """
        host, _, port = address.rpartition(':')
        self._listener = socket.create_server((host, int(port)), backlog=128)
        self._listener.setblocking(False)
        bound = self._listener.getsockname()
        # The bound address.
        self.address = f'{bound[0]}:{bound[1]}'
        self._connector = connector
        self._gate = gate
        self._clock = clock
        self._incarnation = incarnation
        # Connecting may wait, so it is done in threads of their own.
        self._pool = futures.ThreadPoolExecutor(
            MAX_CONNECTING, thread_name_prefix='relay-connect'
        )
        self._opened: collections.deque[
            tuple[_Connection, socket.socket | None, messages.RelayResult]
        ] = collections.deque()
        self._selector = selectors.DefaultSelector()
        self._connections: set[_Connection] = set()
        # Waiting bytes of all connections in the shared part.
        self._shared_bytes = 0
        self._stopping = False
        self._closing = False
        self._wake = wakes.WakeEvent()
        self._thread = threading.Thread(
            target=self._run, name='relay', daemon=True
        )

    def start(self) -> None:
        """Starts to accept connections."""
        self._thread.start()

    def stop_accepting(self) -> None:
        """Refuses new connections from now on; open ones go on."""
        self._stopping = True

    def open_connections(self) -> int:
        """Returns the number of relayed connections."""
        return len(self._connections)

    def buffered_bytes(self) -> int:
        """Returns the number of bytes that wait to be sent."""
        return sum(
            len(conn.to_near) + len(conn.to_far)
            for conn in tuple(self._connections)
        )

    def close(self) -> None:
        """Closes everything."""
        self._closing = True
        self._wake.set()
        if self._thread.ident is not None:
            self._thread.join()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._wake.close()
        self._listener.close()

    # All methods below run in the thread of the relay.

    def _run(self) -> None:
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake.fileno(), selectors.EVENT_READ)
        while not self._closing:
            ready = self._selector.select(_POLL_S)
            for key, events in ready:
                self._handle_event(key, events)
            self._close_expired()
        for conn in list(self._connections):
            self._close(conn, abort=True)
        self._selector.close()

    def _handle_event(self, key: selectors.SelectorKey, events: int) -> None:
        if key.fileobj is self._listener:
            self._accept()
            return
        conn = key.data
        if conn is None:
            self._wake.clear()
            self._take_opened()
            return
        if conn not in self._connections:
            # It was closed earlier in this round.
            return
        try:
            self._handle_connection(conn, key.fileobj, events)
        except BlockingIOError:
            pass  # Nothing was to be read after all.
        except OSError as exc:
            logs.event(
                logging.INFO,
                'relayed connection broken',
                address=conn.address,
                error=str(exc),
            )
            self._close(conn, abort=True)

    def _handle_connection(
        self, conn: _Connection, sock: object, events: int
    ) -> None:
        if conn.request is not None:
            self._read_request(conn)
            return
        if events & selectors.EVENT_READ:
            if sock is conn.near:
                self._read_near(conn)
            else:
                self._read_far(conn)
        if conn in self._connections:
            self._flush(conn)

    def _accept(self) -> None:
        try:
            near, _ = self._listener.accept()
        except OSError as exc:
            logs.event(logging.WARNING, 'relay accept failed', error=str(exc))
            return
        near.setblocking(False)
        connectors.set_options(near)
        conn = _Connection(near, self._clock())
        self._connections.add(conn)
        self._selector.register(near, selectors.EVENT_READ, conn)

    def _read_request(self, conn: _Connection) -> None:
        data = conn.near.recv(_MAX_REQUEST_BYTES)
        if not data:
            self._close(conn)
            return
        if conn.is_connecting:
            # Nothing may be sent before the reply.
            self._close(conn, abort=True)
            return
        assert conn.request is not None
        conn.request += data
        if len(conn.request) < _LENGTH.size:
            return
        (length,) = _LENGTH.unpack_from(conn.request)
        if length > _MAX_REQUEST_BYTES:
            self._close(conn, abort=True)
            return
        if len(conn.request) < _LENGTH.size + length:
            return
        try:
            msg = messages.decode(bytes(conn.request[_LENGTH.size :]))
        except errors.DecodeError:
            self._close(conn, abort=True)
            return
        if isinstance(msg, messages.RelayRequest):
            self._connect(conn, msg.address)
        else:
            self._close(conn, abort=True)

    def _connect(self, conn: _Connection, address: str) -> None:
        conn.address = address
        refusal = self._refusal(address)
        if refusal is not None:
            self._refuse(conn, refusal)
            return
        conn.is_connecting = True
        self._pool.submit(self._open, conn, address)

    def _refusal(self, address: str) -> messages.RelayResult | None:
        if self._stopping:
            return 'closing'
        if len(self._connections) > MAX_CONNECTIONS:
            return 'busy'
        return self._gate.refusal(address)

    def _open(self, conn: _Connection, address: str) -> None:
        """Connects to the server, in a thread of the pool."""
        far: socket.socket | None = None
        result: messages.RelayResult = 'open'
        try:
            far = self._connector.connect(address, CONNECT_TIMEOUT_S).sock
            far.setblocking(False)
        except ConnectionRefusedError:
            result = 'refused'
        except OSError:
            result = 'silent'
        self._opened.append((conn, far, self._gate.record(address, result)))
        self._wake.set()

    def _take_opened(self) -> None:
        """Continues with the connections that the pool has opened."""
        while self._opened:
            conn, far, result = self._opened.popleft()
            if conn not in self._connections:
                # The other VM has given up.
                if far is not None:
                    far.close()
                continue
            if far is None:
                self._refuse(conn, result)
                continue
            conn.far = far
            conn.request = None
            conn.active_at = self._clock()
            conn.to_near += self._encode_reply('open')
            self._flush(conn)

    def _refuse(self, conn: _Connection, result: messages.RelayResult) -> None:
        # The reply fits into the empty send buffer of a new connection.
        with contextlib.suppress(OSError):
            conn.near.send(self._encode_reply(result))
        self._close(conn)

    def _encode_reply(self, result: messages.RelayResult) -> bytes:
        reply = messages.RelayReply(
            result=result, incarnation=self._incarnation
        )
        payload = messages.encode(reply)
        return _LENGTH.pack(len(payload)) + payload

    def _read_near(self, conn: _Connection) -> None:
        data = conn.near.recv(self._room(conn.to_far))
        if not data:
            # The requesting side never closes only its sending direction.
            self._close(conn)
            return
        conn.active_at = self._clock()
        if not conn.far_broken:
            conn.to_far += data
            self._count_shared(conn)

    def _read_far(self, conn: _Connection) -> None:
        assert conn.far is not None
        data = conn.far.recv(self._room(conn.to_near))
        conn.active_at = self._clock()
        if data:
            conn.to_near += data
            self._count_shared(conn)
        else:
            conn.far_ended = True

    def _count_shared(self, conn: _Connection) -> None:
        """Counts the bytes of a connection that are in the shared part."""
        self._shared_bytes -= conn.shared_bytes
        conn.shared_bytes = sum(
            max(0, len(waiting) - MIN_BUFFERED_BYTES)
            for waiting in (conn.to_far, conn.to_near)
        )
        self._shared_bytes += conn.shared_bytes

    def _free_bytes(self, waiting_bytes: int) -> int:
        """Returns how many more bytes may wait for one end."""
        own = max(0, MIN_BUFFERED_BYTES - waiting_bytes)
        shared = max(0, MAX_SHARED_BYTES - self._shared_bytes)
        return min(own + shared, MAX_BUFFERED_BYTES - waiting_bytes)

    def _room(self, waiting: bytearray) -> int:
        """Returns how many bytes to read for one end; at least one."""
        return max(1, min(_READ_BYTES, self._free_bytes(len(waiting))))

    def _flush(self, conn: _Connection) -> None:
        """Sends what is buffered, and waits for what is to come."""
        assert conn.far is not None
        _send_some(conn.near, conn.to_near)
        try:
            _send_some(conn.far, conn.to_far)
        except (BrokenPipeError, ConnectionResetError) as exc:
            conn.far_reset |= isinstance(exc, ConnectionResetError)
            conn.far_broken = True
            conn.to_far.clear()
        self._count_shared(conn)
        if conn.far_ended and not conn.to_near:
            self._close(conn, abort=conn.far_reset)
            return
        self._wait_for(
            conn, conn.near, conn.to_near, len(conn.to_far), ended=False
        )
        self._wait_for(
            conn, conn.far, conn.to_far, len(conn.to_near), ended=conn.far_ended
        )

    def _wait_for(
        self,
        conn: _Connection,
        sock: socket.socket,
        unsent: bytearray,
        received_bytes: int,
        *,
        ended: bool,
    ) -> None:
        """Registers for the events that let one end make progress."""
        wanted = 0
        if not ended and self._free_bytes(received_bytes) > 0:
            wanted |= selectors.EVENT_READ
        if unsent:
            wanted |= selectors.EVENT_WRITE
        registered = sock in self._selector.get_map()
        if wanted and registered:
            self._selector.modify(sock, wanted, conn)
        elif wanted:
            self._selector.register(sock, wanted, conn)
        elif registered:
            self._selector.unregister(sock)

    def _close_expired(self) -> None:
        now = self._clock()
        for conn in list(self._connections):
            idle_s = now - conn.active_at
            if conn.request is None:
                if idle_s > IDLE_TIMEOUT_S:
                    self._close(conn, abort=True)
            elif not conn.is_connecting and idle_s > REQUEST_TIMEOUT_S:
                self._close(conn)

    def _close(self, conn: _Connection, *, abort: bool = False) -> None:
        """Closes both ends.

        Args:
            conn: The connection.
            abort: Whether the requesting side is reset, so that it does not
                take what it received for a complete response.
        """
        if conn in self._connections:
            self._connections.discard(conn)
            self._shared_bytes -= conn.shared_bytes
        for sock in (conn.near, conn.far):
            if sock is None:
                continue
            with contextlib.suppress(KeyError, ValueError):
                self._selector.unregister(sock)
        if abort:
            with contextlib.suppress(OSError):
                conn.near.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _ABORT
                )
        conn.near.close()
        if conn.far is not None:
            conn.far.close()


def _send_some(sock: socket.socket, data: bytearray) -> None:
    """Sends as much as the socket takes."""
    if not data:
        return
    try:
        sent = sock.send(data)
    except BlockingIOError:
        return
    del data[:sent]
