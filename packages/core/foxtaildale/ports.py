"""Ports: what the decisions and roles need from outside.

Adapters implement these protocols; tests put small fakes in their place. Each
method may raise `errors.UnreachableError` (nothing was sent) or
`errors.AnswerLostError` (sent, no answer) unless it says otherwise.
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

    # Oldest offset still kept.
    first: int
    # Offset that the next append will get.
    end: int
    records: tuple[Record, ...]


class Log(Protocol):
    """The platform's append-only log; each stream has its own offsets."""

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Appends all records at once and returns the first one's offset."""

    def read(self, stream: str, offset: int, limit: int = 1000) -> Batch:
        """Reads from an offset.

        Raises:
            errors.LapsedError: The offset is older than what is kept.
        """


class Keyed(msgspec.Struct, frozen=True):
    """What a keyed topic gave."""

    # Position that the next record will get, as far as this answer knows.
    end: int
    entries: tuple[mirror.Entry, ...]


class Topics(Protocol):
    """Keyed topics of the platform's store: the newest record of each key."""

    def newest(self, topic: str) -> Keyed:
        """Reads the newest record of every key."""

    def follow(self, topic: str, offset: int, wait_s: float) -> Keyed:
        """Waits for records from a position on; none if none came in time.

        Raises:
            errors.LapsedError: The position is older than what is kept, or of an
                epoch that is over.
        """

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes the newest record of a key; an empty value removes it."""

    def claim(self, topic: str, key: str, value: bytes, end: int) -> int:
        """Writes a record if the topic still ends at a position; returns it.

        Raises:
            errors.RejectedError: Something else was written meanwhile, or the store
                came back from a copy.
        """

    def move(self, address: str) -> None:
        """Goes to another address from the next call on."""


class RecordCodec(Protocol):
    """What the records of the keyed topics mean.

    Each decoder raises `errors.DecodeError` for a value that is none.
    """

    # Names of the topics: the operators' configuration, under one key; the
    # backend servers, under their ids; the entry VMs, under their names; who
    # may order the engines of a service, under its name.
    config_topic: str
    config_key: str
    servers_topic: str
    members_topic: str
    holders_topic: str

    def rank(self, topic: str, key: str, value: bytes) -> mirror.Rank:
        """Ranks a record among those of its writer; raises nothing."""

    def seal(self, topic: str, value: bytes) -> bytes:
        """Returns a record with digests in place of secrets; raises nothing."""

    def table(self, value: bytes) -> routes.Table:
        """Decodes a version of the configuration."""

    def server(self, key: str, value: bytes) -> forwarding.Backend:
        """Decodes a backend server."""

    def member(self, key: str, value: bytes) -> forwarding.EntryVm:
        """Decodes an entry VM."""

    def held(self, value: bytes) -> forwarding.Held:
        """Decodes a request that is held back."""

    def held_request(self, key: str) -> int | None:
        """Returns the fingerprint that a key names; None for other keys."""

    def held_key(self, fingerprint: int) -> str:
        """Returns the key of a request that is held back."""

    def encode_held(self, held: forwarding.Held) -> tuple[str, bytes]:
        """Returns the key and value that keep a request back."""

    def encode_member(self, member: forwarding.EntryVm) -> bytes:
        """Encodes an entry VM."""


class Flight(Protocol):
    """One request on its way to one backend server."""

    def send(self, timeout_s: float) -> None:
        """Connects and sends.

        Raises:
            errors.UnreachableError: Nothing was sent.
            errors.AnswerLostError: A part may have been.
        """

    def head(self, timeout_s: float) -> forwarding.Head:
        """Waits for the head of the answer."""

    def read(self, timeout_s: float) -> bytes:
        """Waits for a piece of the body; empty at its proper end."""

    def cancel(self) -> None:
        """Ends it now, from any thread; the backend server sees a close."""

    def close(self) -> None:
        """Frees the connection; only the thread that reads calls it."""


class Workers(Protocol):
    """Backend servers that take requests as they came."""

    def plain(
        self,
        call: forwarding.Call,
        server: forwarding.Backend,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> Flight:
        """Prepares a request as the caller sent it.

        Args:
            call: The request.
            server: Where it goes.
            left_s: How long the server may work on it, seconds.
            repeatable: Whether it may be sent again if it is not known whether
                it arrived.
        """

    def prefill(
        self, call: forwarding.Call, server: forwarding.Backend, left_s: float
    ) -> Flight:
        """Prepares a prefill of a request's prompt."""

    def decode(
        self,
        call: forwarding.Call,
        reserved: forwarding.Reserved,
        prefilled: forwarding.Prefilled | None,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> Flight:
        """Prepares the decoding of a request; see `plain`."""

    def handle(self, body: bytes) -> str:
        """Returns the handle that the answer of a prefill names.

        Raises:
            errors.DecodeError: It names none.
        """

    def reserve(
        self, server: forwarding.Backend, tokens: int, ttl_s: float
    ) -> forwarding.Reply:
        """Reserves a slot and memory; the reply's text names the reservation."""

    def release(self, reserved: forwarding.Reserved) -> forwarding.Reply:
        """Gives up a reservation that was not used."""

    def free(self, prefilled: forwarding.Prefilled) -> forwarding.Reply:
        """Frees a prefilled prompt that was not taken."""

    def order_stage(
        self,
        server: forwarding.Backend,
        stage: forwarding.Stage,
        holder: str,
        fence: int,
    ) -> forwarding.Reply:
        """Orders an engine to do another stage; the text is what it said.

        Args:
            server: The engine.
            stage: What it is to do.
            holder: The entry VM that orders.
            fence: Its fencing token.
        """


# What became of a connection that was opened to see whether a server is up.
Reach = Literal['open', 'refused', 'silent']


class Probe(Protocol):
    """Looks whether a backend server is up."""

    def reach(self, address: str) -> Reach:
        """Returns what became of a connection to 'IP:PORT'."""


class Tidy(Protocol):
    """Gives back what engines keep, without making anybody wait."""

    def release(self, reserved: forwarding.Reserved) -> None:
        """Gives up a reservation."""

    def free(self, prefilled: forwarding.Prefilled) -> None:
        """Frees a prefilled prompt."""


class Directory(Protocol):
    """The platform's lagging list of VMs."""

    def listing(self) -> values.Listing:
        """Reads the list."""


class Pieces(Protocol):
    """The events of one stream; iterating raises as the other calls do."""

    def __iter__(self) -> Iterator[backends.Piece | backends.Last]:
        """Iterates up to the `Last`."""

    def __next__(self) -> backends.Piece | backends.Last:
        """Waits for the next event."""

    def close(self) -> None:
        """Ends the connection; any thread may call it, also while one waits."""


class Engines(Protocol):
    """Model engines, by address.

    Every method may raise `errors.RejectedError` with the engine's code.
    """

    def prefill(
        self, address: str, req: backends.PrefillReq, timeout_s: float
    ) -> backends.PrefillReply:
        """Runs a prefill and returns when its result is ready."""

    def fetch(
        self, address: str, req: backends.ImportReq, timeout_s: float
    ) -> backends.ImportReply:
        """Transfers a KV cache to the decode worker at `address`."""

    def decode(
        self, address: str, req: backends.DecodeReq, silence_s: float
    ) -> Pieces:
        """Starts a stream; fails when silent for `silence_s`."""

    def resume(
        self,
        address: str,
        stream: str,
        position: int,
        holder: str,
        silence_s: float,
    ) -> Pieces:
        """Reads a stream on from a position."""

    def cancel(
        self, address: str, req: backends.CancelReq
    ) -> backends.CancelReply:
        """Frees what is held."""

    def load(self, address: str) -> backends.Load:
        """Reads the lagging load report."""

    def holdings(self, address: str) -> backends.Holdings:
        """Reads what the engine holds."""

    def cache(self, address: str, after: int) -> backends.CacheEvents:
        """Reads cache events after a number."""

    def order(self, address: str, order: backends.Order) -> backends.OrderReply:
        """Orders a wanted state."""


class Orders(Protocol):
    """Orders to backend servers, by address."""

    def order(self, address: str, order: backends.Order) -> backends.OrderReply:
        """Orders a wanted state."""

    def observe(self, address: str) -> backends.Observed:
        """Reads what the backend server is in fact set to."""


class Reply(msgspec.Struct, frozen=True):
    """A plain service's answer."""

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
        """Sends one call; `request` lets the service recognise it."""


class Peers(Protocol):
    """Other processes of the system, by address."""

    def ask(
        self, address: str, msg: messages.Any, timeout_s: float
    ) -> messages.Any:
        """Sends a message and waits for its reply."""


class PeerGroup(Peers, Protocol):
    """Other processes that can be asked together."""

    def ask_all(
        self, addresses: Sequence[str], msg: messages.Any, timeout_s: float
    ) -> dict[str, messages.Any]:
        """Sends a message to several; returns the replies that came."""
