"""Values of a request that is forwarded to backend servers as it came.

The product's own interface has `backends`; these are for deployments whose
callers and backend servers share a protocol, so that method, path, headers and
body pass through and only what the system decides is added.
"""

from typing import Final
from typing import Literal

import msgspec

Stage = Literal['', 'prefill', 'decode']
# 'no' is a promise of the backend server; anything else may have run.
Ran = Literal['no', 'maybe']
# Status of a server that is not the one that the request was meant for.
MISDIRECTED: Final = 421
# Status of a server that turns a request away.
UNAVAILABLE: Final = 503


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """One start of one backend server, as the store lists it."""

    id: str
    # When it started, Unix milliseconds; a later start under the same id knows
    # nothing of the ones before. 0 where entries don't tell it.
    born: int = 0
    service: str
    address: str
    data_centre: str = ''
    slots: int = 1
    # Whether it announced that it leaves; it takes no new work.
    leaving: bool = False
    # What a model engine does; empty for a plain service.
    stage: Stage = ''


class EntryVm(msgspec.Struct, frozen=True):
    """One entry VM, as it lists itself for the others."""

    # Where the others ask it.
    peer_address: str
    data_centre: str = ''
    # Processor time that it may use, cores.
    cores: float = 1.0


class Held(msgspec.Struct, frozen=True):
    """A request that is sent to no server, as the store keeps it."""

    # Digest of the request; the same for all sends of it.
    fingerprint: int
    # Seconds since the epoch.
    until: float


class Call(msgspec.Struct, kw_only=True):
    """One request of a caller."""

    # The caller's id of this try.
    id: str
    method: str
    # Path and query, byte by byte as they came.
    target: str
    path: str
    host: str
    # What is passed on, in the order that it came.
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # How long the caller waits from the start of the request, seconds.
    patience_s: float | None = None
    # Prompt and largest answer of a request for a model, tokens.
    prompt_tokens: int = 0
    output_tokens: int = 0
    # The caller's guess of the length of the answer, tokens; 0 if none.
    hinted_tokens: int = 0
    # Position that a resumed stream goes on after; None at its start.
    after_event: int | None = None
    # The same for each try of one request: a digest of what its caller asks.
    digest: int = 0
    # Digest of the key that its caller sent; None if it sent none that can be
    # read.
    key: bytes | None = None
    # Name of the client account that it is for, told to backend servers; empty
    # where no account is known.
    account: str = ''


class Load(msgspec.Struct, frozen=True):
    """What a backend server said of its load with an answer."""

    running: int
    waiting: int
    slots: int


class SelfReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server says of itself with an answer."""

    load: Load | None = None
    # Requests a second that the server takes from all entry VMs together; None
    # if it names no limit.
    limit: float | None = None
    # Whether it leaves, and takes no new work.
    leaving: bool = False
    # For how long it wants no requests from this entry VM, seconds; None if it
    # does not say.
    backoff_s: float | None = None


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What answers of every kind tell of their backend server."""

    status: int
    report: SelfReport = SelfReport()
    # Id of the server that answered; empty if it does not say.
    server: str = ''

    @property
    def ok(self) -> bool:
        """Whether it is a success."""
        return 200 <= self.status < 300

    @property
    def misdirected(self) -> bool:
        """Whether another server than the one that was meant answered."""
        return self.status == MISDIRECTED

    @property
    def not_run(self) -> bool:
        """Whether the server did not do what was asked, and won't."""
        return self.status in (MISDIRECTED, UNAVAILABLE)

    def replaces(self, server: str) -> bool:
        """Whether another server answered at the address of one that is gone.

        One that is itself there may refuse as well what its stage does not do.
        """
        return self.misdirected and bool(self.server) and self.server != server


class Head(Answer, frozen=True, kw_only=True):
    """Status and headers of a backend server's answer to a request."""

    headers: tuple[tuple[str, str], ...]
    ran: Ran = 'maybe'
    # Whether the answer is for the request that was sent.
    matches: bool = True

    @property
    def not_run(self) -> bool:
        """Whether the server promises that the request did not run."""
        return self.ran == 'no'


class Reply(Answer, frozen=True, kw_only=True):
    """A backend server's answer to a call that carries no request."""

    # What was asked for: the name of a reservation, or what came of an order.
    text: str = ''


class Prefilled(msgspec.Struct, frozen=True):
    """A prompt that a prefill worker holds for a decode worker."""

    worker: Backend
    handle: str


class Reserved(msgspec.Struct, frozen=True):
    """Memory and a slot that a decode worker keeps for one request."""

    worker: Backend
    hold: str
    tokens: int
