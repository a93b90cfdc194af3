"""Messages of the backend servers' HTTP interface.

The router meets model engines that batch continuously:

    POST /prefill        PrefillReq -> PrefillReply   (prefill workers)
    GET  /kv/ID          KV cache, fetched by the decode worker
    POST /import         ImportReq -> ImportReply     (decode workers)
    POST /decode         DecodeReq -> events of Piece, then one Last
    GET  /streams/ID?from=N&holder=H   the same events from position N
    POST /cancel         CancelReq -> CancelReply     (both)
    GET  /load           Load, lagging
    GET  /holdings       Holdings
    GET  /cache?after=N  CacheEvents, late and with gaps
    POST /orders         Order -> OrderReply          (both)
    GET  /orders         Observed                     (both)

Errors are an HTTP status of 400 or above with a `Fault` as the body. Events
have an `id` line `WORKER/STREAM/POSITION` and a `data` line with JSON.
"""

from typing import Final
from typing import Literal

import msgspec
import xxhash

# Engines cache prompt prefixes in blocks of so many tokens.
PREFIX_TOKENS: Final = 128


def prefixes(tokens: list[str]) -> tuple[str, ...]:
    """Returns the digests of a prompt's whole blocks, shortest first."""
    hasher = xxhash.xxh64()
    found = []
    for start in range(0, len(tokens) - PREFIX_TOKENS + 1, PREFIX_TOKENS):
        block = tokens[start : start + PREFIX_TOKENS]
        hasher.update((' '.join(block) + ' ').encode())
        found.append(hasher.hexdigest())
    return tuple(found)


class Fault(msgspec.Struct, frozen=True):
    """Why a backend server did not do what was asked."""

    # full, leaving, gone, cancelled, stale-order, bad-request, wrong-role
    code: str
    message: str = ''


class PrefillReq(msgspec.Struct, frozen=True, kw_only=True):
    """Computes the KV cache of a prompt."""

    request: str
    attempt: int
    # Incarnation of the daemon that works for the caller.
    holder: str
    model: str
    prompt: str
    priority: int = 5


class PrefillReply(msgspec.Struct, frozen=True, kw_only=True):
    """The KV cache is ready, and evicted soon."""

    request: str
    attempt: int
    kv: str
    # Prompt length in tokens.
    tokens: int
    # Tokens of it that the prefix cache already had.
    cached: int
    # How long the result lives unless fetched, milliseconds.
    lives_ms: int


class ImportReq(msgspec.Struct, frozen=True, kw_only=True):
    """Fetches a KV cache from a prefill worker into a decode slot."""

    request: str
    attempt: int
    holder: str
    # Address of the prefill worker.
    source: str
    kv: str


class ImportReply(msgspec.Struct, frozen=True, kw_only=True):
    """The KV cache is in the decode worker's memory and holds a slot."""

    request: str
    attempt: int
    tokens: int


class DecodeReq(msgspec.Struct, frozen=True, kw_only=True):
    """Starts the stream of an imported request."""

    request: str
    attempt: int
    holder: str
    stream: str
    max_tokens: int
    priority: int = 5


class Piece(msgspec.Struct, frozen=True, kw_only=True):
    """One token of an answer."""

    request: str
    attempt: int
    stream: str
    # Counts from 0.
    position: int
    text: str


class Last(msgspec.Struct, frozen=True, kw_only=True):
    """Ends a whole answer."""

    request: str
    attempt: int
    stream: str
    # Number of pieces.
    count: int
    # xxh64 hex digest of all texts joined, UTF-8.
    digest: str


class CancelReq(msgspec.Struct, frozen=True, kw_only=True):
    """Frees everything held for a request, an attempt or a holder.

    Empty fields match everything; at least one is set. An attempt of 0 means
    every attempt.
    """

    request: str = ''
    attempt: int = 0
    holder: str = ''


class CancelReply(msgspec.Struct, frozen=True):
    """How many holdings were freed."""

    freed: int


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """A lagging report."""

    name: str
    slots: int
    running: int
    queued: int
    # Tokens of prompt still to prefill.
    backlog_tokens: int
    # Age of the report, milliseconds.
    age_ms: int


HoldingKind = Literal['queued', 'prefill', 'kv', 'slot', 'stream']


class Holding(msgspec.Struct, frozen=True, kw_only=True):
    """Something an engine keeps in memory for a request."""

    request: str
    attempt: int
    holder: str
    kind: HoldingKind
    # Since it was made, or since its last reader went.
    age_ms: int
    # Whether a connection is at work on it.
    attached: bool = False


class Holdings(msgspec.Struct, frozen=True):
    """Everything an engine holds."""

    holdings: tuple[Holding, ...]


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A prefix entered or left the prefix cache."""

    number: int
    kind: Literal['stored', 'evicted']
    # One of `prefixes` of the prompt.
    prefix: str
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Late, and numbers may be missing."""

    events: tuple[CacheEvent, ...]


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """States the wanted state of a backend server."""

    kind: Literal['load', 'adapter', 'version', 'role']
    value: str
    # Offset of the log record that asks for it: the fencing number.
    fence: int


class OrderReply(msgspec.Struct, frozen=True, kw_only=True):
    """The observed state after an order."""

    kind: str
    value: str
    fence: int


class Observed(msgspec.Struct, frozen=True):
    """What a backend server is in fact set to, one entry a kind."""

    orders: tuple[OrderReply, ...]
