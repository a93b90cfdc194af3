"""Ports: interfaces of the core to the outside.

Adapters implement these protocols, and small fakes can replace them. Each
method may raise `errors.UnreachableError` (nothing was sent) or
`errors.NoReplyError` (sent, but no reply) unless its docstring says
otherwise.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Literal
from typing import Protocol

import msgspec

from foxtaildale import backends
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import routes
from foxtaildale import values

# Seconds on a monotonic clock.
Clock = Callable[[], float]


class Record(msgspec.Struct, frozen=True):
    """One record of the platform's log."""

    offset: int
    data: bytes


class Batch(msgspec.Struct, frozen=True):
    """Records read from the platform's log."""

    # Oldest offset that the log still has.
    first: int
    # Offset that the next append will get.
    end: int
    records: tuple[Record, ...]


class Log(Protocol):
    """The platform's append-only log; each stream has its own offsets."""

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Appends all records at once and returns the first one's offset."""

    def read(self, stream: str, offset: int, limit: int = 1000) -> Batch:
        """Reads records from an offset on.

        Raises:
            errors.RecordsExpiredError: The log no longer has the offset.
        """


class KeyedRecords(msgspec.Struct, frozen=True):
    """Records read from a keyed topic."""

    # Position that the next record gets, as of this reply.
    end: int
    entries: tuple[mirror.Entry, ...]


class KeyedTopics(Protocol):
    """Keyed topics of the platform's store: the newest record of each key."""

    def read_newest(self, topic: str) -> KeyedRecords:
        """Reads the newest record of every key."""

    def wait_for_records(
        self, topic: str, offset: int, wait_s: float
    ) -> KeyedRecords:
        """Waits for records from a position on; returns none after a timeout.

        Raises:
            errors.RecordsExpiredError: The topic no longer has the position, or
                it is of an earlier epoch.
        """

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes the newest record of a key; an empty value removes it."""

    def put_if_unchanged(
        self, topic: str, key: str, value: bytes, end: int
    ) -> int:
        """Writes a record if the topic still ends at `end`.

        Returns the position of the record.

        Raises:
            errors.RejectedError: Another record was written meanwhile, or the
                store was restored from a copy.
        """

    def set_address(self, address: str) -> None:
        """Sets the address that is used from the next call on."""


class RecordCodec(Protocol):
    """Encodes and decodes the records of the keyed topics.

    Each decoder raises `errors.DecodeError` for a value that is not valid.
    """

    # Names of the topics, with the key of a record: the operators'
    # configuration (one key), the backend servers (server id), the entry VMs
    # (VM name), and the holder of the right to order the engines of a service
    # (service name).
    config_topic: str
    config_key: str
    servers_topic: str
    members_topic: str
    holders_topic: str

    def rank(self, topic: str, key: str, value: bytes) -> mirror.Rank:
        """Returns the rank of a record among its writer's; raises nothing."""

    def redact(self, topic: str, value: bytes) -> bytes:
        """Returns a record with digests in place of secrets; raises nothing."""

    def decode_table(self, value: bytes) -> routes.RoutingTable:
        """Decodes a version of the configuration."""

    def decode_server(self, key: str, value: bytes) -> forwarding.Backend:
        """Decodes a backend server."""

    def decode_member(self, key: str, value: bytes) -> forwarding.EntryVm:
        """Decodes an entry VM."""

    def decode_quarantined(self, value: bytes) -> forwarding.QuarantinedRequest:
        """Decodes a quarantined request."""

    def quarantined_fingerprint(self, key: str) -> int | None:
        """Returns the fingerprint in the key of a quarantined request.

        Returns None for other keys.
        """

    def quarantined_key(self, fingerprint: int) -> str:
        """Returns the key of a quarantined request."""

    def encode_quarantined(
        self, held: forwarding.QuarantinedRequest
    ) -> tuple[str, bytes]:
        """Returns the key and value of a quarantined request."""

    def encode_member(self, member: forwarding.EntryVm) -> bytes:
        """Encodes an entry VM."""


class ServerExchange(Protocol):
    """One exchange of a request and its response with a backend server."""

    @property
    def via(self) -> str:
        """Name of the entry VM that relays it, or ''; known after `send`."""

    def send(self, timeout_s: float) -> None:
        """Connects and sends the request.

        Raises:
            errors.NoPathError: Nothing was sent, as this VM does not reach the
                servers; the server is not to blame.
            errors.UnreachableError: Nothing was sent.
            errors.NoReplyError: A part may have been sent.
        """

    def await_response(self, timeout_s: float) -> bool:
        """Waits until `read_head` has something to read; False if nothing came.

        The exchange goes on either way.
        """

    def read_head(self, timeout_s: float) -> forwarding.ResponseHead:
        """Waits for the head of the response."""

    def read_chunk(self, timeout_s: float) -> bytes:
        """Waits for a chunk of the body; empty when the body is complete."""

    def cancel(self) -> None:
        """Cancels the exchange from any thread; the server sees a close."""

    def close(self) -> None:
        """Frees the connection; only the reading thread may call it."""


class ServerClient(Protocol):
    """Backend servers, which get requests in the form the caller sent."""

    def close_idle(self) -> None:
        """Closes the connections that are kept for reuse."""

    def forward(
        self,
        call: forwarding.CallerRequest,
        server: forwarding.Backend,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> ServerExchange:
        """Prepares a request as the caller sent it.

        Args:
            call: The request.
            server: The backend server to send it to.
            left_s: How long the server may work on it, seconds.
            repeatable: Whether it may be sent again if it is not known whether
                it arrived.
        """

    def prefill(
        self,
        call: forwarding.CallerRequest,
        server: forwarding.Backend,
        left_s: float,
    ) -> ServerExchange:
        """Prepares the prefill of a request."""

    def decode(
        self,
        call: forwarding.CallerRequest,
        reserved: forwarding.Reserved,
        prefilled: forwarding.Prefilled | None,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> ServerExchange:
        """Prepares the decode of a request; see `forward` for the arguments."""

    def decode_handle(self, body: bytes) -> str:
        """Returns the handle in the response to a prefill.

        Raises:
            errors.DecodeError: The response has no handle.
        """

    def reserve(
        self, server: forwarding.Backend, tokens: int, ttl_s: float
    ) -> forwarding.ControlResponse:
        """Reserves a slot and memory; the reply text is the reservation id."""

    def release_reservation(
        self, reserved: forwarding.Reserved
    ) -> forwarding.ControlResponse:
        """Releases a reservation that was not used."""

    def release_prefill(
        self, prefilled: forwarding.Prefilled
    ) -> forwarding.ControlResponse:
        """Releases a prefill result that was not used."""

    def order_stage(
        self,
        server: forwarding.Backend,
        stage: forwarding.Stage,
        holder: str,
        fence: int,
    ) -> forwarding.ControlResponse:
        """Orders an engine to change its stage.

        The reply text is the text that the engine sent.

        Args:
            server: The engine.
            stage: The new stage.
            holder: The entry VM that sends the order.
            fence: The fencing token of the holder.
        """


# Result of a connection attempt that checks whether a server is up.
ProbeResult = Literal['open', 'refused', 'silent']


class Probe(Protocol):
    """Checks whether a backend server is up."""

    def check(self, address: str) -> ProbeResult:
        """Returns the result of a connection attempt to 'IP:PORT'."""


class ResourceReleaser(Protocol):
    """Releases resources of engines without blocking the calling thread."""

    def release_reservation(self, reserved: forwarding.Reserved) -> None:
        """Releases a reservation."""

    def release_prefill(self, prefilled: forwarding.Prefilled) -> None:
        """Releases a prefill result."""


class Directory(Protocol):
    """The platform's list of VMs, which may lag behind."""

    def listing(self) -> values.Listing:
        """Reads the list."""


class EventStream(Protocol):
    """The events of one stream; iterating raises as the other calls do."""

    def __iter__(self) -> Iterator[backends.Chunk | backends.StreamEnd]:
        """Returns an iterator over the events; `StreamEnd` is the last."""

    def __next__(self) -> backends.Chunk | backends.StreamEnd:
        """Waits for the next event."""

    def close(self) -> None:
        """Closes the connection.

        Any thread may call it, also while another one waits for an event.
        """


class Engines(Protocol):
    """Model engines, by address.

    Every method may raise `errors.RejectedError` with the engine's code.
    """

    def prefill(
        self, address: str, req: backends.PrefillReq, timeout_s: float
    ) -> backends.PrefillReply:
        """Runs a prefill and returns when its result is ready."""

    def import_kv(
        self, address: str, req: backends.ImportReq, timeout_s: float
    ) -> backends.ImportReply:
        """Transfers a KV cache to the decode worker at `address`."""

    def decode(
        self, address: str, req: backends.DecodeReq, silence_s: float
    ) -> EventStream:
        """Starts a stream; it fails after `silence_s` without an event."""

    def resume(
        self,
        address: str,
        stream: str,
        position: int,
        holder: str,
        silence_s: float,
    ) -> EventStream:
        """Resumes a stream at a position."""

    def cancel(
        self, address: str, req: backends.CancelReq
    ) -> backends.CancelReply:
        """Cancels a request and frees its resources."""

    def load(self, address: str) -> backends.Load:
        """Reads the load report, which may lag behind."""

    def holdings(self, address: str) -> backends.Holdings:
        """Reads the resources that the engine holds."""

    def cache_events(self, address: str, after: int) -> backends.CacheEvents:
        """Reads the cache events after a sequence number."""

    def order(self, address: str, order: backends.Order) -> backends.OrderReply:
        """Orders the server to change to a wanted state."""


class Orders(Protocol):
    """Sends orders to backend servers, by address."""

    def order(self, address: str, order: backends.Order) -> backends.OrderReply:
        """Orders the server to change to a wanted state."""

    def observe(self, address: str) -> backends.Observed:
        """Reads the actual state of the backend server."""


class Reply(msgspec.Struct, frozen=True):
    """The response of a plain service."""

    status: int
    body: bytes


class Services(Protocol):
    """Plain services, by address."""

    def call(
        self,
        address: str,
        call: str,
        body: bytes,
        request: str,
        timeout_s: float,
    ) -> Reply:
        """Sends one call; `request` identifies it to the service."""


class Peers(Protocol):
    """Other processes of the system, by address."""

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Sends a message and waits for its reply."""


class PeerGroup(Peers, Protocol):
    """Other processes that can get a message at the same time."""

    def request_all(
        self, addresses: Sequence[str], msg: messages.Message, timeout_s: float
    ) -> dict[str, messages.Message]:
        """Sends a message to several; returns the received replies."""
