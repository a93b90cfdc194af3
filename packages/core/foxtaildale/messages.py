"""Messages between the system's own processes.

Each message is a tagged struct in array form, so the bytes hold no field names.
Every request has one reply; `Fail` may replace any reply.
"""

from typing import Final

import msgspec

from foxtaildale import errors
from foxtaildale import values


class Wire(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base class of every message."""


class Fail(Wire, frozen=True, tag='Fail'):
    """Error reply: the receiver could not handle the message."""

    code: str
    message: str = ''


class Ping(Wire, frozen=True):
    """Heartbeat of a connection; the reply is `Pong`."""


class Pong(Wire, frozen=True):
    """Reply to `Ping` and to each message that needs no data in return."""


class Hello(Wire, frozen=True, tag='Hello'):
    """Heartbeat of an entry to the keeper of its VM, about once a second."""

    incarnation: str
    # Address at which other entries reach the sender.
    address: str
    # Configuration revision that the sender uses.
    revision: int
    # Backend servers that refused requests because they are leaving, as
    # `NAME@ADDRESS`.
    leaving: tuple[str, ...] = ()


class HelloReply(Wire, frozen=True, tag='HelloReply'):
    """The state that an entry needs for routing."""

    keeper: str
    # None until the keeper knows it.
    in_force: values.InForce | None
    listing: values.Listing | None
    # Keepers with a recent heartbeat, including the sender.
    keepers: tuple[values.Keeper, ...] = ()
    # Prefix of new idempotency keys; empty until it is known.
    key_prefix: str = ''


class Bye(Wire, frozen=True, tag='Bye'):
    """Announces that the sending process stops as planned.

    Receivers treat it as removed from now on.
    """

    incarnation: str


class Beat(Wire, frozen=True, tag='Beat'):
    """Heartbeat between keepers, about once a second.

    The reply is the heartbeat of the receiver.
    """

    entry_vm: str
    incarnation: str
    data_centre: str
    address: str
    # Log offset up to which records are folded, and the digest of the state.
    offset: int
    digest: str
    listing_version: int
    # Incarnations of the entries on this VM.
    entries: tuple[str, ...] = ()
    # Whether the sending process is being stopped as planned.
    stopping: bool = False
    # Backend servers reported as leaving before the listing shows it, as
    # `NAME@ADDRESS`.
    leaving: tuple[str, ...] = ()


class Pull(Wire, frozen=True, tag='Pull'):
    """Requests the folded state of a keeper with a higher log offset."""

    offset: int


class PullReply(Wire, frozen=True, tag='PullReply'):
    """The folded state of a keeper, in checkpoint format."""

    offset: int
    digest: str
    state: bytes
    listing: values.Listing | None


class AskSlot(Wire, frozen=True, tag='AskSlot'):
    """Request of an entry for a decode slot.

    The receiver is the coordinator of the service's pool.
    """

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
    # Prefill worker that has finished the prefill of this request. If set, only
    # link time and a decode slot are requested.
    ready_at: str = ''
    # Decode worker on which an earlier attempt failed; it is not granted again.
    avoid: str = ''


class Granted(Wire, frozen=True, tag='Granted'):
    """Slot and link time are reserved; prefill starts after `start_in_ms`."""

    grant: str
    prefill: str
    prefill_address: str
    decode: str
    decode_address: str
    start_in_ms: int
    # Time after the start at which an unused grant expires.
    lapses_ms: int


class Queued(Wire, frozen=True):
    """The request is queued; the sender retries after `again_in_ms`."""

    again_in_ms: int
    position: int
    # Estimated remaining wait; 0 if it is not known.
    wait_ms: int = 0
    # Whether an earlier attempt of the request was not served.
    came_back: bool = False
    # The resource that the request waits for; empty if it is not known.
    short_of: str = ''


class Refused(Wire, frozen=True):
    """The request is not admitted; nothing is reserved."""

    code: str
    figures: tuple[values.Figure, ...]
    retry_after_ms: int


class EndSlot(Wire, frozen=True, tag='EndSlot'):
    """Releases a grant, whatever its result."""

    service: str
    grant: str
    # done, cancelled, prefill-failed, transfer-failed, decode-failed, or
    # evicted: the prefill result was evicted before its transfer began.
    result: str
    # Durations that the holder measured, for the coordinator's estimates; 0 for
    # a phase that was not reached.
    prefill_ms: int = 0
    transfer_ms: int = 0
    decode_ms: int = 0
    # Tokens of the response, and prompt tokens found in the prefix cache.
    output_tokens: int = 0
    cached_tokens: int = 0


class KeepSlots(Wire, frozen=True, tag='KeepSlots'):
    """Renews the grants of a holder at the coordinator.

    A coordinator that lost its ledger rebuilds it from these messages.
    """

    service: str
    holder: str
    # Pairs of grant and decode worker.
    grants: tuple[tuple[str, str], ...]


class AskClaim(Wire, frozen=True, tag='AskClaim'):
    """Request of an entry to its keeper for the right to run a key."""

    service: str
    key: str
    # Digest of the request body, hexadecimal.
    body: str
    request: str
    holder: str


class ClaimReply(Wire, frozen=True):
    """The state of a key according to the log.

    The status is one of won, lost, other-body, bad, log-down, old.
    """

    status: str
    owner: str = ''
    owner_address: str = ''
    request: str = ''
    retry_after_ms: int = 0
    # Outcome of the claim that won, if the status is lost and the log already
    # has the outcome.
    outcome: values.Outcome | None = None


class EndClaim(Wire, frozen=True, tag='EndClaim'):
    """Report of the owner of a claim to its keeper on the outcome."""

    service: str
    key: str
    outcome: values.Outcome
    # The complete response as JSON, stored for a caller that did not get it.
    answer: bytes = b''


class Ticket(Wire, frozen=True):
    """Names the only process that may run a request, and its witness."""

    identity: str
    service: str
    # Incarnation that may run the request, and its address.
    executor: str
    executor_address: str
    # Incarnation of the keeper that records the start, and its address.
    witness: str
    witness_address: str
    # Time of issue in seconds on the executor's own monotonic clock.
    minted_at: float
    # Reading of the witness's own monotonic clock, taken before the issue,
    # seconds.
    witness_at: float
    # Hex HMAC-SHA256 of the fields above.
    mac: str = ''


class Note(Wire, frozen=True, tag='Note'):
    """Request of the executor to the witness to record a start.

    The executor sends it before the first byte of the request.
    """

    identity: str
    witness: str
    body: str
    # Copied from the ticket; from it the witness decides whether it may have
    # forgotten the identity.
    witness_at: float


class Void(Wire, frozen=True, tag='Void'):
    """Request to the witness to void an identity, so that it never runs.

    Any process may send it.
    """

    identity: str
    witness: str
    body: str
    witness_at: float


class Tell(Wire, frozen=True, tag='Tell'):
    """Report of the executor to the witness on the outcome."""

    identity: str
    witness: str
    body: str
    witness_at: float
    outcome: values.Outcome
    answer: bytes = b''


class AskReading(Wire, frozen=True, tag='AskReading'):
    """Request of an executor for the clock of a witness."""

    witness: str


class WitnessReply(Wire, frozen=True):
    """Reply of a witness.

    The status is one of noted, voided, told, other-body, old, reading,
    stranger. Old means that the witness may have known the identity and
    forgotten it. Stranger means that the incarnation of the keeper is not the
    one that the ticket names.
    """

    status: str
    # The witness's clock, seconds; each reply has it for later tickets.
    at: float = 0.0
    outcome: values.Outcome | None = None
    answer: bytes = b''


class RunTicket(Wire, frozen=True, tag='RunTicket'):
    """Passes a ticket and its request from an entry to the executor."""

    ticket: Ticket
    call: str
    body: bytes
    request: str


class RunReply(Wire, frozen=True):
    """The outcome of a ticket, with the response if there is one."""

    outcome: values.Outcome
    answer: bytes = b''


class AskOutcome(Wire, frozen=True, tag='AskOutcome'):
    """Request of an entry to the owner of a claim for its outcome."""

    service: str
    key: str


class Dump(Wire, frozen=True, tag='Dump'):
    """Requests the state of a process."""


class DumpReply(Wire, frozen=True):
    """The state of a process as JSON."""

    state: bytes


class AskRecords(Wire, frozen=True, tag='AskRecords'):
    """Requests newer records of the store's keyed topics from an entry VM."""

    # Position up to which the sender knows each topic.
    ends: dict[str, int]
    # Requests that the sender sent to plain servers since its last message, and
    # how many of them failed, by server id.
    seen: dict[str, tuple[float, float]] = {}
    # Recent updates on servers that leave or no longer leave
    # (`departures.Word`), by server id.
    departures: dict[str, tuple[int, int]] = {}
    # Backoff requests of servers (`backoffs.Word`), by server id.
    backoffs: dict[str, tuple[int, float]] = {}


class RecordsReply(Wire, frozen=True):
    """The records of an entry VM after the requested positions."""

    # Key, position and value of each newer record of a topic, and for a removal
    # the rank of the removed record.
    records: dict[str, tuple[tuple[str, int, bytes, tuple[int, int]], ...]]
    # Position up to which the sender knows each topic.
    ends: dict[str, int]
    # Time since the store's last reply to the sender, seconds.
    age_s: float
    # Ratio of recent requests to plain servers that failed, by server id, over
    # all entry VMs that report to the sender.
    failing: dict[str, float] = {}
    # Whether a call of the sender to the store failed since the store's last
    # reply.
    store_lost: bool = False
    # Quarantined requests, which are sent to no server, and requests that can't
    # be quarantined: remaining time in seconds by fingerprint.
    held: dict[int, float] = {}
    cleared: dict[int, float] = {}
    # Updates on servers that announced that they leave (`departures.Word`), and
    # backoff requests (`backoffs.Word`), by server id.
    departures: dict[str, tuple[int, int]] = {}
    backoffs: dict[str, tuple[int, float]] = {}


class AskPlace(Wire, frozen=True, tag='AskPlace'):
    """Request of an entry VM for a placement on the engines of a service.

    The receiver is the coordinator of the service.
    """

    service: str
    request: str
    # The entry VM that sends the request.
    holder: str
    # Prompt tokens, and the estimated and maximum tokens of the response.
    prompt: int
    hinted: int
    longest: int
    # Time since the request arrived, and time within which its first event is
    # due, milliseconds.
    waited_ms: int
    target_ms: int
    # 0 is the highest priority.
    priority: int
    # Ids of backend servers that must not get the request.
    avoid: tuple[str, ...] = ()
    # The same for all attempts of one request; 0 if it is not known.
    digest: int = 0
    # Whether the caller already has a part of the response.
    started: bool = False
    # Longest allowed pause between two events; 0 if there is no limit.
    gap_ms: int = 0
    # How long the caller still waits for the complete response; 0 if it is not
    # known.
    left_ms: int = 0


class Place(Wire, frozen=True, tag='Place'):
    """A placement: decode worker memory and prefill worker time, by id."""

    worker: str
    # Empty if the decode worker has to prefill the prompt itself.
    prefiller: str
    # Whether the decode worker prefills because all prefill workers are busy.
    reads_itself: bool = False


class TooLate(Wire, frozen=True, tag='TooLate'):
    """No placement would complete the response in time."""

    needs_ms: int


class EndPlace(Wire, frozen=True, tag='EndPlace'):
    """Releases a placement, whatever its result."""

    service: str
    request: str
    # Durations and output tokens that the holder measured; 0 for a phase that
    # was not reached.
    prefill_ms: int = 0
    decode_ms: int = 0
    tokens: int = 0
    # Whether the response was complete.
    whole: bool = False
    # Whether the decode worker rejected the result of the prefill worker.
    refused: bool = False


class ServerFailed(Wire, frozen=True, tag='ServerFailed'):
    """Reports a refused connection or a broken response of a server."""

    service: str
    # Id of the backend server.
    server: str
    # The entry VM that sends the report.
    holder: str
    # Whether another server replied at its address, which proves that this one
    # is removed.
    replaced: bool = False


class Crash(Wire, frozen=True):
    """A request that was running on a server when the server crashed."""

    # The server's id, and its start time, Unix milliseconds.
    server: str
    born: int
    # Digest of the request; the same for all attempts.
    fingerprint: int
    # How long the server had run the request, or had it if the run time is not
    # known.
    ran_ms: int
    # Time between the crash and the sending of this report, milliseconds.
    age_ms: int = 0


class CrashReports(Wire, frozen=True):
    """Reports of an entry VM to the coordinator of crash reports."""

    crashes: tuple[Crash, ...] = ()
    # Fingerprints of quarantined requests that completed on the sending VM.
    cleared: tuple[int, ...] = ()
    # Whether the receiver is a possible successor and not the coordinator.
    copy: bool = False


class Quarantined(Wire, frozen=True, tag='Quarantined'):
    """The quarantined requests, which are sent to no server.

    It is the reply to `CrashReports`, and is announced to all entry VMs.
    """

    # Identifies the coordinator process that sends it.
    judge: int
    # Remaining quarantine in seconds by fingerprint.
    held: dict[int, float] = {}
    # For other requests, remaining time during which they can't be quarantined,
    # seconds by fingerprint.
    cleared: dict[int, float] = {}


class SendAsk(Wire, frozen=True, tag='SendAsk'):
    """A VM's record of one server's limit, and the sends it requests."""

    # Requests per second; None if the server no longer reports a limit.
    limit: float | None
    # Time since the server reported the limit, seconds.
    age_s: float
    # Number of sends requested.
    wants: int
    # Number of granted sends that expired unused.
    lapsed: int = 0


class SendGrant(Wire, frozen=True, tag='SendGrant'):
    """The coordinator's record of a server's limit, and the granted sends."""

    limit: float | None
    age_s: float
    # Number of sends granted.
    tokens: int = 0


class AskSends(Wire, frozen=True, tag='AskSends'):
    """Request of an entry VM to the coordinator of server limits."""

    holder: str
    # By server id.
    asks: dict[str, SendAsk]


class Sends(Wire, frozen=True, tag='Sends'):
    """Reply to `AskSends`.

    It is also announced to all entry VMs, without tokens, when a limit begins
    or ends.
    """

    grants: dict[str, SendGrant]


class KeptPlace(Wire, frozen=True, tag='KeptPlace'):
    """A placement in use."""

    request: str
    worker: str
    prompt: int
    hinted: int
    longest: int
    age_ms: int = 0
    # Start time of the worker, Unix milliseconds; 0 if it is not reported.
    born: int = 0


class AskCredit(Wire, frozen=True, tag='AskCredit'):
    """Request of an entry VM to admit a request of a client account.

    The receiver is the coordinator of the account.
    """

    account: str
    # Cost of the request, in units of the account's limit.
    cost: float


class Credit(Wire, frozen=True, tag='Credit'):
    """Reply to `AskCredit`."""

    # 0 if the request is admitted; otherwise the time until it would be,
    # milliseconds.
    wait_ms: int
    # Credit that the account has left, units.
    level: float


class GiveBack(Wire, frozen=True, tag='GiveBack'):
    """Refunds the cost of an admitted request that did not run.

    The receiver is the coordinator of the client account.
    """

    account: str
    cost: float


class LetIn(Wire, frozen=True, tag='LetIn'):
    """Usage that a coordinator of client accounts admitted.

    The coordinator sends it to its possible successors.
    """

    # Admitted units less refunded units, by account.
    used: dict[str, float]


class AskHome(Wire, frozen=True, tag='AskHome'):
    """Requests whether an entry VM may be a coordinator."""


class HomeReply(Wire, frozen=True, tag='HomeReply'):
    """Reply to `AskHome`."""

    fit: bool
    # Whether the process has been up long enough to be preferred over a new
    # one.
    grown: bool


class AskHeld(Wire, frozen=True, tag='AskHeld'):
    """Request of a service's coordinator for the placements of an entry VM.

    A new coordinator sends it to all entry VMs.
    """

    service: str


class KeepPlaces(Wire, frozen=True, tag='KeepPlaces'):
    """Renews all placements of one entry VM at the coordinator.

    A new coordinator rebuilds its plan from these messages.
    """

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

# Longest message between processes, bytes; a longer one is not decoded.
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
