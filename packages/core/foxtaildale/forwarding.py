"""Types for requests that are forwarded to backend servers unchanged.

`backends` has the product's own interface. The types here are for deployments
whose callers and backend servers share a protocol: method, path, headers and
body pass through, and the router adds only its decisions.
"""

from typing import Final
from typing import Literal

import msgspec

Stage = Literal['', 'prefill', 'decode']
# Whether a request ran. 'no' is guaranteed by the backend server; with 'maybe'
# the request may have run.
Ran = Literal['no', 'maybe']
# What tells where the body of a response ends: its length, the last chunk, or
# only the end of its connection.
Framing = Literal['length', 'chunks', 'connection']
# HTTP status of a server that is not the intended receiver of a request.
MISDIRECTED: Final = 421
# HTTP status of a server that refuses a request.
UNAVAILABLE: Final = 503


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a backend server, as listed in the store."""

    id: str
    # When it started, Unix milliseconds; 0 if the entry does not state it. A
    # later incarnation under the same id has no state of earlier ones.
    born: int = 0
    service: str
    address: str
    # Version of its software; what two versions stream can't be combined.
    version: str = ''
    data_centre: str = ''
    slots: int = 1
    # Whether it announced that it leaves; it accepts no new requests.
    leaving: bool = False
    # Stage of a model engine; empty for a plain service.
    stage: Stage = ''


class EntryVm(msgspec.Struct, frozen=True):
    """One entry VM, as it lists itself for the other VMs."""

    # Address for requests of other entry VMs.
    peer_address: str
    data_centre: str = ''
    # Processor capacity that it may use, cores.
    cores: float = 1.0
    # Address at which it relays connections to backend servers; empty if it
    # does not.
    relay_address: str = ''


class QuarantinedRequest(msgspec.Struct, frozen=True):
    """A quarantined request or set of parts, as stored in the store."""

    # Digest of the request, which is the same for all its attempts, or of the
    # set of parts.
    fingerprint: int
    # End of the quarantine, seconds since the Unix epoch.
    until: float
    # Fingerprints of the parts of the set; empty for a request.
    parts: tuple[int, ...] = ()


class CallerRequest(msgspec.Struct, kw_only=True):
    """One request of a caller."""

    # The caller's id of this attempt.
    id: str
    method: str
    # Path and query, byte for byte as received.
    target: str
    path: str
    host: str
    # Headers that are forwarded, in the order received.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # How long the caller waits, from the start of the request, seconds.
    patience_s: float | None = None
    # Length of the prompt and maximum length of the output of a model request,
    # tokens.
    prompt_tokens: int = 0
    output_tokens: int = 0
    # The caller's estimate of the output length, tokens; 0 if it gave none.
    hinted_tokens: int = 0
    # Ids of the parts of the prompt that it may share with other requests: all
    # but the last, each once.
    shared_parts: tuple[str, ...] = ()
    # Description of the whole prompt as the caller sent it, which the body may
    # not contain; empty if it sent none.
    prompt: str = ''
    # Position after which a stream is resumed; None for a new stream.
    after_event: int | None = None
    # Id of the attempt that brought the first event of the resumed stream; empty
    # if it is not stated.
    resumes: str = ''
    # Digest of the content of the request; the same for all its attempts.
    digest: int = 0
    # Digest of the caller's key; None if it sent no valid key.
    key: bytes | None = None
    # Name of its client account, which is sent to backend servers; empty if no
    # account is known.
    account: str = ''


class Load(msgspec.Struct, frozen=True):
    """The load that a backend server reports with a response."""

    running: int
    waiting: int
    slots: int


class SelfReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server reports about itself with a response."""

    load: Load | None = None
    # Requests a second that the server accepts from all entry VMs together;
    # None if it names no limit.
    limit: float | None = None
    # Whether it leaves and accepts no new requests.
    leaving: bool = False
    # Backoff that it requests from this entry VM, seconds; None if it requests
    # none.
    backoff_s: float | None = None


class BackendResponse(msgspec.Struct, frozen=True, kw_only=True):
    """What every response of a backend server contains."""

    status: int
    report: SelfReport = SelfReport()
    # Id of the server that responded; empty if it is not stated.
    server: str = ''

    @property
    def ok(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300

    @property
    def misdirected(self) -> bool:
        """Whether a server other than the intended one responded."""
        return self.status == MISDIRECTED

    @property
    def not_run(self) -> bool:
        """Whether the server did not run the request and will not run it."""
        return self.status in (MISDIRECTED, UNAVAILABLE)

    def replaces(self, server: str) -> bool:
        """Whether another server responded at the address of a removed server.

        The status alone does not show this: the intended server may also refuse
        a request that its stage does not handle.
        """
        return self.misdirected and bool(self.server) and self.server != server


class ResponseHead(BackendResponse, frozen=True, kw_only=True):
    """Status and headers of a backend server's response to a request."""

    headers: tuple[tuple[str, str], ...]
    ran: Ran = 'maybe'
    # Whether the response belongs to the request that was sent.
    matches: bool = True
    framing: Framing = 'length'
    # Whether its connection had served another request before.
    reused: bool = False

    @property
    def not_run(self) -> bool:
        """Whether the server guarantees that the request did not run."""
        return self.ran == 'no'

    def log_fields(self) -> dict[str, object]:
        """Returns what a log line says of the way the response came."""
        return {'framing': self.framing, 'reused': self.reused}


class ControlResponse(BackendResponse, frozen=True, kw_only=True):
    """A backend server's response to a call without a caller's request."""

    # Result of the call: the name of a reservation, or the outcome of an order.
    text: str = ''


class Prefilled(msgspec.Struct, frozen=True):
    """A prefilled prompt that a prefill worker holds for a decode worker."""

    worker: Backend
    handle: str


class Reserved(msgspec.Struct, frozen=True):
    """Memory and a slot that a decode worker reserves for one request."""

    worker: Backend
    hold: str
    tokens: int
