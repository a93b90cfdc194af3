"""The stream of claims: its records and what they add up to.

The order of the records decides who may run a key. The first claim holds it;
a release by the same request gives it free again, because that request was
never started and never will be; a done record keeps the outcome. A release may
stand before its claim: an append whose answer was lost can take effect late,
and a claim that comes after its own release counts for nothing.
"""

from typing import Final
from typing import Literal

import msgspec

from foxtaildale import codes
from foxtaildale import memory
from foxtaildale import values

STREAM: Final = 'claims'

_DEFAULT_LIMIT: Final = 200_000
# Released requests remembered for one key.
_MAX_RELEASED: Final = 8


class Item(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of what a record holds."""

    # From `keys.identity`.
    identity: bytes
    # The offset that the key carries.
    stamp: int
    request: str


class Claim(Item, frozen=True, tag='c'):
    """A request asks for the right to run its key."""

    # Digest of the body, hex.
    body: str


class Release(Item, frozen=True, tag='r'):
    """A request was not started and never will be."""


class Done(Item, frozen=True, tag='d'):
    """What came of a request that held its key."""

    outcome: values.Outcome


class Record(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One record of the log: what one keeper had to say at one time."""

    # Incarnation and address of the keeper.
    owner: str
    address: str
    items: tuple[Claim | Release | Done, ...]


# What a claim came to. Old: it came first, but an earlier one may be forgotten.
Result = Literal['won', 'lost', 'other-body', 'bad', 'old', 'void']

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Returns the bytes of a record."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record | None:
    """Returns the record in `data`; None if something else wrote it."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None


class Holding:
    """What the log says of one key."""

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
        # Offset of the first record seen of it.
        self.stamp: float = offset
        # Whether no earlier record of it can have been missed.
        self.complete = complete
        # Digest of the first body; another is an error. Empty: none yet.
        self.body = ''
        # The request that holds it; empty if none does.
        self.request = ''
        # The keeper that claimed it.
        self.owner = ''
        self.address = ''
        self.outcome: values.Outcome | None = None
        # Requests whose claims count for nothing.
        self.released: tuple[str, ...] = ()


class Fold:
    """Adds up records in the order of the log."""

    __slots__ = ('_holdings', '_limit')

    def __init__(self, first: int, limit: int = _DEFAULT_LIMIT) -> None:
        """Starts with the record at offset `first`."""
        self._limit = limit
        # A key that carries `first` or more has no earlier records.
        self._holdings: memory.Memory[bytes, Holding] = memory.Memory(
            limit, floor=first - 1
        )

    def __len__(self) -> int:
        return len(self._holdings)

    def get(self, identity: bytes) -> Holding | None:
        """Returns what is known of a key."""
        return self._holdings.get(identity)

    def is_old(self, identity: bytes, stamp: int) -> bool:
        """Whether records of this key may have been missed or forgotten."""
        holding = self._holdings.get(identity)
        if holding is not None:
            return not holding.complete
        return not self._holdings.never_knew(identity, stamp)

    def expire(self, first: int) -> None:
        """Forgets what the log no longer keeps."""
        self._holdings.expire(first)

    def apply(self, offset: int, record: Record, item: Item) -> Result:
        """Adds one item of a record; the result is of use for claims."""
        if item.stamp > offset:
            # A key from the future would outlive its own records here.
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

    def _holding(self, offset: int, item: Item) -> Holding:
        holding = self._holdings.get(item.identity)
        if holding is None:
            complete = self._holdings.never_knew(item.identity, item.stamp)
            holding = Holding(offset, complete=complete)
            self._holdings.put(item.identity, holding)
        return holding

    def _claim(self, holding: Holding, record: Record, item: Claim) -> Result:
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
        holding.owner = record.owner
        holding.address = record.address
        return 'won' if holding.complete else 'old'

    def _release(self, holding: Holding, item: Release) -> None:
        if item.request not in holding.released:
            released = (*holding.released, item.request)
            holding.released = released[-_MAX_RELEASED:]
        if holding.request == item.request and holding.outcome is None:
            holding.request = ''

    def _done(self, holding: Holding, item: Done) -> None:
        if holding.request != item.request:
            return
        # A keeper writes "unknown" for a silent holder, which may yet wake
        # and know better; a known outcome never changes.
        old = holding.outcome
        if old is None or codes.ran(old.code) == 'unknown':
            holding.outcome = item.outcome
