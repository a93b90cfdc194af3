"""Messages between the system's own processes.

Each is a tagged struct in array form, so the bytes hold no field names. Every
request has one reply; `Fail` may stand for any reply.
"""

from typing import Final

import msgspec

from foxtaildale import errors
from foxtaildale import values


class Wire(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base of every message."""


class Fail(Wire, frozen=True):
    """The other side could not serve the message."""

    code: str
    message: str = ''


class Ping(Wire, frozen=True):
    """Heartbeat of a connection; answered by `Pong`."""


class Pong(Wire, frozen=True):
    """Answers `Ping` and any message that needs no more."""


class Hello(Wire, frozen=True):
    """From an entry to the keeper of its VM, about once a second."""

    incarnation: str
    # Address where other entries reach it.
    address: str
    # Revision it works by.
    revision: int
    # Backend servers that refused work as leaving, `NAME@ADDRESS`.
    leaving: tuple[str, ...] = ()


class HelloReply(Wire, frozen=True):
    """What an entry needs to know to route."""

    keeper: str
    # None while the keeper does not know.
    in_force: values.InForce | None
    listing: values.Listing | None
    # Keepers heard of lately, this one among them.
    keepers: tuple[values.Keeper, ...] = ()
    # Beginning of new idempotency keys; empty while it is not known.
    key_prefix: str = ''


class Bye(Wire, frozen=True):
    """From a process that ends by plan: it is gone from now on."""

    incarnation: str


class Beat(Wire, frozen=True):
    """Between keepers, about once a second; answered by the other's own."""

    entry_vm: str
    incarnation: str
    data_centre: str
    address: str
    # Log offset folded so far, and the digest of the folded state.
    offset: int
    digest: str
    listing_version: int
    # Incarnations of the entries on this VM.
    entries: tuple[str, ...] = ()
    # Whether this process is being stopped by plan.
    stopping: bool = False
    # Reported leaving, `NAME@ADDRESS`, before the listing says so.
    leaving: tuple[str, ...] = ()


class Pull(Wire, frozen=True):
    """Asks a keeper that is ahead for its folded state."""

    offset: int


class PullReply(Wire, frozen=True):
    """The folded state of a keeper, in its checkpoint form."""

    offset: int
    digest: str
    state: bytes
    listing: values.Listing | None


class AskSlot(Wire, frozen=True):
    """From an entry to the home of a service's pool."""

    service: str
    request: str
    attempt: int
    holder: str
    prompt_tokens: int
    output_tokens: int
    # Digests of the prompt's prefixes, shortest first, for cache hints.
    prefixes: tuple[str, ...] = ()
    # Time since the request arrived, milliseconds.
    waited_ms: int = 0
    # Prefill worker that holds a finished prefill of this request; only link
    # time and a decode slot are asked for then.
    ready_at: str = ''
    # Decode worker that an earlier attempt failed at; not granted again.
    avoid: str = ''


class Granted(Wire, frozen=True):
    """Slot and link time are reserved; prefill starts after `start_in_ms`."""

    grant: str
    prefill: str
    prefill_address: str
    decode: str
    decode_address: str
    start_in_ms: int
    # The grant lapses if unused for this long after its start.
    lapses_ms: int


class Queued(Wire, frozen=True):
    """No slot yet; ask again after `again_in_ms`."""

    again_in_ms: int
    position: int
    # How long the wait is thought to be from now on; 0 where it is not known.
    wait_ms: int = 0
    # Whether an earlier try of the request was not served.
    came_back: bool = False
    # What there is too little of for it; empty where that is not known.
    short_of: str = ''


class Refused(Wire, frozen=True):
    """Not admitted; nothing is reserved."""

    code: str
    figures: tuple[values.Figure, ...]
    retry_after_ms: int


class EndSlot(Wire, frozen=True):
    """A grant is used up, whatever came of it."""

    service: str
    grant: str
    # done, cancelled, prefill-failed, transfer-failed, decode-failed, or
    # evicted: the prefill's result had gone before its transfer began.
    result: str
    # What the holder measured, for the home's estimates; 0 for not reached.
    prefill_ms: int = 0
    transfer_ms: int = 0
    decode_ms: int = 0
    # Tokens of the answer, and prompt tokens that the prefix cache had.
    output_tokens: int = 0
    cached_tokens: int = 0


class KeepSlots(Wire, frozen=True):
    """From a holder to a home: what it holds; rebuilds a lost ledger."""

    service: str
    holder: str
    # Pairs of grant and decode worker.
    grants: tuple[tuple[str, str], ...]


class AskClaim(Wire, frozen=True):
    """From an entry to the keeper of its VM: may I run this key?"""

    service: str
    key: str
    # Hex digest of the body.
    body: str
    request: str
    holder: str


class ClaimReply(Wire, frozen=True):
    """What the log says of a key.

    Status is one of won, lost, other-body, bad, log-down, old.
    """

    status: str
    owner: str = ''
    owner_address: str = ''
    request: str = ''
    retry_after_ms: int = 0
    # Of a lost claim, if the log has its end already.
    outcome: values.Outcome | None = None


class EndClaim(Wire, frozen=True):
    """The owner tells its keeper what came of a claim."""

    service: str
    key: str
    outcome: values.Outcome
    # The whole answer as JSON, kept for a caller that lost it.
    answer: bytes = b''


class Ticket(Wire, frozen=True):
    """Names who alone may run a request, and who witnesses its start."""

    identity: str
    service: str
    # Incarnation that may run it, and where it is reached.
    executor: str
    executor_address: str
    # Incarnation of the keeper that notes the start, and where it is reached.
    witness: str
    witness_address: str
    # Seconds on the executor's own monotonic clock.
    minted_at: float
    # A reading of the witness's own monotonic clock from before the minting.
    witness_at: float
    # Hex HMAC-SHA256 of the fields above.
    mac: str = ''


class Note(Wire, frozen=True):
    """From the executor to the witness, before the first byte is sent."""

    identity: str
    witness: str
    body: str
    # From the ticket; the witness tells by it what it may have forgotten.
    witness_at: float


class Void(Wire, frozen=True):
    """From anyone to the witness: let this identity never run."""

    identity: str
    witness: str
    body: str
    witness_at: float


class Tell(Wire, frozen=True):
    """From the executor to the witness: what came of it."""

    identity: str
    witness: str
    body: str
    witness_at: float
    outcome: values.Outcome
    answer: bytes = b''


class AskReading(Wire, frozen=True):
    """From an executor to a witness: what does your clock read?"""

    witness: str


class WitnessReply(Wire, frozen=True):
    """Status is one of noted, voided, told, other-body, old, reading, stranger.

    Old means that the witness may have known the identity and forgotten it. A
    stranger is a keeper of another incarnation than the ticket names.
    """

    status: str
    # The witness's clock, seconds; each reply carries it for later tickets.
    at: float = 0.0
    outcome: values.Outcome | None = None
    answer: bytes = b''


class RunTicket(Wire, frozen=True):
    """From an entry that got a ticket to the one that may run it."""

    ticket: Ticket
    call: str
    body: bytes
    request: str


class RunReply(Wire, frozen=True):
    """The outcome of a ticket, with the answer if there is one."""

    outcome: values.Outcome
    answer: bytes = b''


class AskOutcome(Wire, frozen=True):
    """From an entry to a claim's owner: what came of it?"""

    service: str
    key: str


class Dump(Wire, frozen=True):
    """Asks for the state of a process."""


class DumpReply(Wire, frozen=True):
    """State of a process as JSON."""

    state: bytes


class AskRecords(Wire, frozen=True):
    """Asks another entry VM for newer records of the store's keyed topics."""

    # For each topic, the position up to which the asker knows it.
    ends: dict[str, int]
    # What the asker saw of plain servers since it last asked: requests, and
    # those that failed, by id.
    seen: dict[str, tuple[float, float]] = {}
    # Which servers it lately learned to leave or to stay (`departures.Word`), by id.
    departures: dict[str, tuple[int, int]] = {}
    # Which servers asked for backoff (`backoffs.Word`), by id.
    backoffs: dict[str, tuple[int, float]] = {}


class RecordsReply(Wire, frozen=True):
    """What an entry VM knows beyond that."""

    # For each topic: key, position, value of each newer record, and the rank of
    # what a removal removed.
    records: dict[str, tuple[tuple[str, int, bytes, tuple[int, int]], ...]]
    # For each topic, the position up to which this entry VM knows it.
    ends: dict[str, int]
    # Time since this entry VM last had an answer of the store, seconds.
    age_s: float
    # Part of their requests that plain servers failed lately, by id, as seen by
    # all that ask this entry VM.
    failing: dict[str, float] = {}
    # Whether the store failed this entry VM since it last answered.
    store_lost: bool = False
    # Requests that are sent to no server, and those that can't be held, for how
    # long, seconds, by fingerprint.
    held: dict[int, float] = {}
    cleared: dict[int, float] = {}
    # Which servers have said that they leave (`departures.Word`), and which asked for
    # backoff (`backoffs.Word`), by id.
    departures: dict[str, tuple[int, int]] = {}
    backoffs: dict[str, tuple[int, float]] = {}


class AskPlace(Wire, frozen=True):
    """From an entry VM to the home of a service: a place at its engines."""

    service: str
    request: str
    # The entry VM that asks.
    holder: str
    # Tokens of the prompt, guessed ones of the answer, and the most of it.
    prompt: int
    hinted: int
    longest: int
    # Time since the request came, and within which its first event is due.
    waited_ms: int
    target_ms: int
    # 0 is the most urgent.
    priority: int
    # Backend servers that it must not go to, by id.
    avoid: tuple[str, ...] = ()
    # Shared by all tries of one request; 0 if that is not known.
    digest: int = 0
    # Whether its caller has a part of the answer and waits for the rest.
    started: bool = False
    # Longest pause between events that is on time; 0 if there is no bound.
    gap_ms: int = 0
    # How long its caller still waits for the whole answer; 0 if not known.
    left_ms: int = 0


class Place(Wire, frozen=True):
    """Memory of a decode worker and time of a prefill worker, by id."""

    worker: str
    # Empty where the decode worker has to read the prompt.
    prefiller: str
    # Whether it should, although there are prefill workers: they are busy.
    reads_itself: bool = False


class TooLate(Wire, frozen=True):
    """No place is any use: the answer would not end in time."""

    needs_ms: int


class EndPlace(Wire, frozen=True):
    """A place is given back, whatever came of it."""

    service: str
    request: str
    # What the holder measured; 0 for what was not reached.
    prefill_ms: int = 0
    decode_ms: int = 0
    tokens: int = 0
    # Whether the answer came to its end.
    whole: bool = False
    # Whether the decode worker did not take what a prefill worker had read.
    refused: bool = False


class ServerFailed(Wire, frozen=True):
    """A backend server took no connection, or broke an answer off."""

    service: str
    # By id.
    server: str
    # The entry VM that reports it.
    holder: str
    # Whether another server answered at its address, so that it is surely gone.
    replaced: bool = False


class Crash(Wire, frozen=True):
    """A request that ran on a server as that ended."""

    # The server's id, and when it started, Unix milliseconds.
    server: str
    born: int
    # Digest of the request; the same for all sends of it.
    fingerprint: int
    # For how long the server had run it, or had it if that is not known.
    ran_ms: int
    # How long ago the server ended, as this is told, milliseconds.
    age_ms: int = 0


class CrashReports(Wire, frozen=True):
    """From an entry VM to the home of such reports."""

    crashes: tuple[Crash, ...] = ()
    # Fingerprints of requests that are held and ran to their end there.
    cleared: tuple[int, ...] = ()
    # Whether it goes to one that may be home next, and not to the home.
    copy: bool = False


class Quarantined(Wire, frozen=True):
    """Which requests are sent to no server; answers that, and told to all."""

    # Tells the process that says so from others.
    judge: int
    # For how long, seconds, by fingerprint.
    held: dict[int, float] = {}
    # For how long others can't be held, seconds.
    cleared: dict[int, float] = {}


class SendAsk(Wire, frozen=True):
    """What a VM heard of one server's limit, and what it wants to send there."""

    # Requests a second; None if the server named no limit any more.
    limit: float | None
    # How long ago the server said so, seconds.
    age_s: float
    # Sends.
    wants: int
    # Sends that it was lent and did not use in time.
    lapsed: int = 0


class SendGrant(Wire, frozen=True):
    """What the home of server limits knows of one, and lends."""

    limit: float | None
    age_s: float
    # Sends.
    tokens: int = 0


class AskSends(Wire, frozen=True):
    """From an entry VM to the home of server limits; by server."""

    holder: str
    asks: dict[str, SendAsk]


class Sends(Wire, frozen=True):
    """Answers it; without tokens, told to all when a limit begins or ends."""

    grants: dict[str, SendGrant]


class KeptPlace(Wire, frozen=True):
    """A place in use."""

    request: str
    worker: str
    prompt: int
    hinted: int
    longest: int
    age_ms: int = 0
    # When its worker started, Unix milliseconds; 0 if that is not told.
    born: int = 0


class AskCredit(Wire, frozen=True):
    """From an entry VM to the home of a client account: may a request run?"""

    account: str
    # What it counts as, in units of the account's limit.
    cost: float


class Credit(Wire, frozen=True):
    """Answers it."""

    # 0 if it may; else how long until it would, milliseconds.
    wait_ms: int
    # What the account has left, units.
    level: float


class GiveBack(Wire, frozen=True):
    """What was let in did not run; to the home of a client account."""

    account: str
    cost: float


class LetIn(Wire, frozen=True):
    """What one home of client accounts let in, told to those that may follow.

    By account, units, less what was given back.
    """

    used: dict[str, float]


class AskHome(Wire, frozen=True):
    """Asks an entry VM whether it may be a home."""


class HomeReply(Wire, frozen=True):
    """Says so."""

    fit: bool
    # Whether it has been up for long enough to go before a new process.
    grown: bool


class AskHeld(Wire, frozen=True):
    """From the home of a service to all entry VMs: what do they hold?"""

    service: str


class KeepPlaces(Wire, frozen=True):
    """All that one entry VM holds; rebuilds the plan of a new home."""

    service: str
    holder: str
    places: tuple[KeptPlace, ...]


Any = (
    Fail
    | Ping
    | Pong
    | Hello
    | HelloReply
    | Bye
    | Beat
    | Pull
    | PullReply
    | AskSlot
    | Granted
    | Queued
    | Refused
    | EndSlot
    | KeepSlots
    | AskClaim
    | ClaimReply
    | EndClaim
    | Ticket
    | Note
    | Void
    | Tell
    | AskReading
    | WitnessReply
    | RunTicket
    | RunReply
    | AskOutcome
    | Dump
    | DumpReply
    | AskRecords
    | RecordsReply
    | AskPlace
    | Place
    | TooLate
    | EndPlace
    | ServerFailed
    | CrashReports
    | AskSends
    | Sends
    | Quarantined
    | AskCredit
    | Credit
    | GiveBack
    | LetIn
    | AskHome
    | HomeReply
    | AskHeld
    | KeepPlaces
)

# Longest message between processes, bytes; a longer one is not looked at.
MAX_BYTES: Final = 8 * 1024 * 1024

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Any)


def encode(msg: Any) -> bytes:
    """Returns the bytes of a message."""
    return _encoder.encode(msg)


def decode(data: bytes) -> Any:
    """Returns the message in `data`.

    Raises:
        errors.DecodeError: The bytes are not one of the messages.
    """
    if len(data) > MAX_BYTES:
        raise errors.DecodeError(f'{len(data)} bytes, limit {MAX_BYTES}')
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise errors.DecodeError(str(exc)) from exc
