"""Messages of the backend servers' HTTP interface.

Model engines with continuous batching provide these endpoints:

    POST /prefill        PrefillReq -> PrefillReply   (prefill workers)
    GET  /kv/ID          KV cache, fetched by the decode worker
    POST /import         ImportReq -> ImportReply     (decode workers)
    POST /decode         DecodeReq -> events of Chunk, then one StreamEnd
    GET  /streams/ID?from=N&holder=H   the same events from position N
    POST /cancel         CancelReq -> CancelReply     (both)
    GET  /load           Load, not up to date
    GET  /holdings       Holdings
    GET  /cache?after=N  CacheEvents, delayed and with gaps
    POST /orders         Order -> OrderReply          (both)
    GET  /orders         Observed                     (both)

Errors are an HTTP status of 400 or above with a `BackendError` as the body.
Events have an `id` line `WORKER/STREAM/POSITION` and a `data` line with JSON.
"""

from typing import Final
from typing import Literal

import msgspec
import xxhash

# Number of tokens in one block of the prefix cache of an engine.
PREFIX_TOKENS: Final = 128


def prefixes(tokens: list[str]) -> tuple[str, ...]:
    """Returns digests of a prompt's block-aligned prefixes, shortest first."""
    hasher = xxhash.xxh64()
    digests = []
    for start in range(0, len(tokens) - PREFIX_TOKENS + 1, PREFIX_TOKENS):
        block = tokens[start : start + PREFIX_TOKENS]
        hasher.update((' '.join(block) + ' ').encode())
        digests.append(hasher.hexdigest())
    return tuple(digests)


class BackendError(msgspec.Struct, frozen=True):
    """Why a backend server did not perform a request."""

    # One of: full, leaving, gone, cancelled, stale-order, bad-request,
    # wrong-role.
    code: str
    message: str = ''


class PrefillReq(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the computation of the KV cache of a prompt."""

    request: str
    attempt: int
    # Incarnation of the daemon that handles the caller's request.
    holder: str
    model: str
    prompt: str
    priority: int = 5


class PrefillReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reports that the KV cache is ready. It is evicted after `lives_ms`."""

    request: str
    attempt: int
    kv: str
    # Prompt length in tokens.
    tokens: int
    # Tokens of the prompt that were already in the prefix cache.
    cached: int
    # Lifetime of the result if it is not fetched, milliseconds.
    lives_ms: int


class ImportReq(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the transfer of a KV cache from a prefill worker to a slot."""

    request: str
    attempt: int
    holder: str
    # Address of the prefill worker.
    source: str
    kv: str


class ImportReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reports that the KV cache is in the decode worker and uses a slot."""

    request: str
    attempt: int
    tokens: int


class DecodeReq(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the start of the stream of an imported request."""

    request: str
    attempt: int
    holder: str
    stream: str
    max_tokens: int
    priority: int = 5


class Chunk(msgspec.Struct, frozen=True, kw_only=True):
    """One chunk of a response: one token."""

    request: str
    attempt: int
    stream: str
    # Counts from 0.
    position: int
    text: str


class StreamEnd(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a complete response."""

    request: str
    attempt: int
    stream: str
    # Number of chunks.
    count: int
    # xxh64 hex digest of the concatenated texts in UTF-8.
    digest: str


class CancelReq(msgspec.Struct, frozen=True, kw_only=True):
    """Requests the release of everything held for a request, attempt or holder.

    Empty fields match everything; at least one field is set. An attempt of 0
    matches every attempt.
    """

    request: str = ''
    attempt: int = 0
    holder: str = ''


class CancelReply(msgspec.Struct, frozen=True):
    """The number of holdings that were released."""

    freed: int


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """A load report, which is not up to date."""

    name: str
    slots: int
    running: int
    queued: int
    # Prompt tokens that are still to be prefilled.
    backlog_tokens: int
    # Age of the report, milliseconds.
    age_ms: int


HoldingKind = Literal['queued', 'prefill', 'kv', 'slot', 'stream']


class Holding(msgspec.Struct, frozen=True, kw_only=True):
    """A resource that an engine holds for a request."""

    request: str
    attempt: int
    holder: str
    kind: HoldingKind
    # Time since it was created or since its last reader disconnected,
    # milliseconds.
    age_ms: int
    # Whether a connection uses it now.
    attached: bool = False


class Holdings(msgspec.Struct, frozen=True):
    """All resources that an engine holds."""

    holdings: tuple[Holding, ...]


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """A prefix was stored in the prefix cache or evicted from it."""

    number: int
    kind: Literal['stored', 'evicted']
    # One of the digests that `prefixes` returns for the prompt.
    prefix: str
    tokens: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events, which are delayed; event numbers may be missing."""

    events: tuple[CacheEvent, ...]


OrderKind = Literal['load', 'adapter', 'version', 'role']


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """An order that sets one part of the desired state of a backend server."""

    kind: OrderKind
    value: str
    # Offset of the log record that requests it, used as the fencing number.
    fence: int


class OrderReply(msgspec.Struct, frozen=True, kw_only=True):
    """The observed state after an order."""

    kind: str
    value: str
    fence: int


class Observed(msgspec.Struct, frozen=True):
    """The actual state of a backend server, one entry for each order kind."""

    orders: tuple[OrderReply, ...]
