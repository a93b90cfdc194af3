"""The stream of claims: its records and the state folded from them.

The order of the records decides which request may run a key. The first claim
holds the key. A release by the same request frees the key, because that request
was never started and never will be. A done record has the outcome. A release
may precede its claim: an append whose reply was lost can take effect late, and
a claim after its own release is ignored.
"""

import sys
from typing import Final
from typing import Literal

import msgspec

from foxtaildale import bounded_records
from foxtaildale import codes
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import values

STREAM: Final = 'claims'

_DEFAULT_LIMIT: Final = 20_000
# Maximum number of released requests remembered per key.
_MAX_RELEASED: Final = 8


class Item(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base class of the items of a record."""

    # From `idempotency_keys.key_digest`.
    identity: bytes
    # The log offset that the key contains.
    stamp: int
    request: str


class Claim(Item, frozen=True, tag='c'):
    """Claims the right of a request to run its key."""

    # Digest of the body, hexadecimal.
    body: str


class Release(Item, frozen=True, tag='r'):
    """Frees a key: the request was not started and never will be."""


class Done(Item, frozen=True, tag='d'):
    """Outcome of a request that held its key."""

    outcome: values.Outcome


class Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One record of the log: the items that one keeper appended together."""

    # Incarnation and address of the keeper.
    owner: str
    address: str
    items: tuple[Claim | Release | Done, ...]


# Result of a claim. Old: it is the first known one, but an earlier one may have
# been forgotten.
ClaimResult = Literal['won', 'lost', 'other-body', 'bad', 'old', 'void']

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Returns the bytes of a record."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record | None:
    """Returns the record in `data`; None if it is not a valid record."""
    try:
        return decoding.decode(_decoder.decode, data)
    except errors.DecodeError:
        return None


class KeyState:
    """The state of one key according to the log."""

    __slots__ = (
        'address',
        'body',
        'complete',
        'outcome',
        'owner',
        'released',
        'request',
        'stamp',
    )

    def __init__(self, offset: int, *, complete: bool) -> None:
        # Offset of the first record read for the key.
        self.stamp: float = offset
        # Whether no earlier record of the key can have been missed.
        self.complete = complete
        # Digest of the first body; a claim with another one is an error. Empty
        # if there was no claim yet.
        self.body = ''
        # The request that holds the key; empty if none does.
        self.request = ''
        # Incarnation of the keeper that claimed the key.
        self.owner = ''
        self.address = ''
        self.outcome: values.Outcome | None = None
        # Requests whose claims are ignored.
        self.released: tuple[str, ...] = ()


class ClaimFold:
    """Folds records into the state of each key, in log order."""

    __slots__ = ('_holdings', '_limit')

    def __init__(self, first: int, limit: int = _DEFAULT_LIMIT) -> None:
        """Initializes an empty state before the record at offset `first`."""
        self._limit = limit
        # A key that contains the offset `first` or a later one has no earlier
        # records.
        self._holdings: bounded_records.BoundedRecords[bytes, KeyState] = (
            bounded_records.BoundedRecords(limit, floor=first - 1)
        )

    def __len__(self) -> int:
        return len(self._holdings)

    def get(self, identity: bytes) -> KeyState | None:
        """Returns the state of a key; None if it has no record."""
        return self._holdings.get(identity)

    def is_old(self, identity: bytes, stamp: int) -> bool:
        """Whether records of this key may have been missed or forgotten."""
        holding = self._holdings.get(identity)
        if holding is not None:
            return not holding.complete
        return not self._holdings.was_never_added(identity, stamp)

    def expire(self, first: int) -> None:
        """Evicts keys whose first record the log no longer has."""
        self._holdings.expire(first)

    def apply(self, offset: int, record: Record, item: Item) -> ClaimResult:
        """Applies one item of a record; the result matters only for claims."""
        if item.stamp > offset:
            # A key with a later offset than its own record would be remembered
            # longer than its records.
            return 'bad'
        holding = self._holding(offset, item)
        match item:
            case Claim():
                return self._claim(holding, record, item)
            case Release():
                self._release(holding, item)
            case Done():
                self._done(holding, item)
        return 'void'

    def _holding(self, offset: int, item: Item) -> KeyState:
        holding = self._holdings.get(item.identity)
        if holding is None:
            complete = self._holdings.was_never_added(item.identity, item.stamp)
            holding = KeyState(offset, complete=complete)
            self._holdings.put(item.identity, holding)
        return holding

    def _claim(
        self, holding: KeyState, record: Record, item: Claim
    ) -> ClaimResult:
        if item.request in holding.released:
            return 'void'
        if holding.body not in ('', item.body):
            return 'other-body'
        if holding.request == item.request:
            # The same append took effect twice.
            return 'void'
        if holding.request:
            return 'lost'
        holding.body = item.body
        holding.request = item.request
        holding.owner = sys.intern(record.owner)
        holding.address = sys.intern(record.address)
        return 'won' if holding.complete else 'old'

    def _release(self, holding: KeyState, item: Release) -> None:
        if item.request not in holding.released:
            released = (*holding.released, item.request)
            holding.released = released[-_MAX_RELEASED:]
        if holding.request == item.request and holding.outcome is None:
            holding.request = ''

    def _done(self, holding: KeyState, item: Done) -> None:
        if holding.request != item.request:
            return
        # A keeper records "unknown" for a holder that does not reply, and the
        # holder may still report its outcome later. A known outcome never
        # changes.
        old = holding.outcome
        if old is None or codes.ran(old.code) == 'unknown':
            holding.outcome = values.intern_strings(item.outcome)
