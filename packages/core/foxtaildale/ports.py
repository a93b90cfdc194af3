"""Ports: what the decisions and roles need from outside.

Adapters implement these protocols; tests put small fakes in their place. Each
method may raise `errors.UnreachableError` (nothing was sent) or
`errors.AnswerLostError` (sent, no answer) unless it says otherwise.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Protocol

import msgspec

from foxtaildale import backends
from foxtaildale import messages
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
