"""Messages between the system's own processes.

Each message is a tagged struct in array form, so the bytes hold no field names.
Every request has one reply; `ErrorReply` may replace any reply.
"""

from typing import Annotated
from typing import Final
from typing import Literal

import msgspec

from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import values

# A decision on an infinite number, or on none, would raise an error or never
# end, so a message with one is not decoded.
_MAX_NUMBER: Final = 1e15
Number = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]


class Wire(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Base class of every message.

    Fields are encoded by their positions: a new field comes last and has a
    default, so that entry VMs of other versions read the message.
    """


class ErrorReply(Wire, frozen=True, tag='Fail'):
    """Error reply: the receiver could not handle the message."""

    code: str
    message: str = ''


class Ping(Wire, frozen=True):
    """Heartbeat of a connection; the reply is `Pong`."""


class Pong(Wire, frozen=True):
    """Reply to `Ping` and to each message that needs no data in return."""


class EntryHeartbeat(Wire, frozen=True, tag='Hello'):
    """Heartbeat of an entry to the keeper of its VM, about once a second."""

    incarnation: str
    # Address at which other entries reach the sender.
    address: str
    # Configuration revision that the sender uses.
    revision: int
    # Backend servers that refused requests because they are leaving, as
    # `NAME@ADDRESS`.
    leaving: tuple[str, ...] = ()


class EntryHeartbeatReply(Wire, frozen=True, tag='HelloReply'):
    """The state that an entry needs for routing."""

    keeper: str
    # None until the keeper knows it.
    in_force: values.InForce | None
    listing: values.Listing | None
    # Keepers with a recent heartbeat, including the sender.
    keepers: tuple[values.Keeper, ...] = ()
    # Prefix of new idempotency keys; empty until it is known.
    key_prefix: str = ''


class StopNotice(Wire, frozen=True, tag='Bye'):
    """Announces that the sending process stops as planned.

    Receivers treat it as removed from now on.
    """

    incarnation: str


class KeeperHeartbeat(Wire, frozen=True, tag='Beat'):
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


class StateRequest(Wire, frozen=True, tag='Pull'):
    """Requests the folded state of a keeper with a higher log offset."""

    offset: int


class StateReply(Wire, frozen=True, tag='PullReply'):
    """The folded state of a keeper, in checkpoint format."""

    offset: int
    digest: str
    state: bytes
    listing: values.Listing | None


class SlotRequest(Wire, frozen=True, tag='AskSlot'):
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
    prefix_digests: tuple[str, ...] = ()
    # Time since the request arrived, milliseconds.
    waited_ms: int = 0
    # Prefill worker that has finished the prefill of this request. If set, only
    # link time and a decode slot are requested.
    prefilled_at: str = ''
    # Decode worker on which an earlier attempt failed; it is not granted again.
    excluded_worker: str = ''


class SlotGrant(Wire, frozen=True, tag='Granted'):
    """Slot and link time are reserved; prefill starts after `start_in_ms`."""

    grant: str
    prefill_worker: str
    prefill_address: str
    decode_worker: str
    decode_address: str
    start_in_ms: int
    # Time after the start at which an unused grant expires.
    expires_ms: int


class Queued(Wire, frozen=True):
    """The request is queued; the sender retries after `retry_in_ms`."""

    retry_in_ms: int
    position: int
    # Estimated remaining wait; 0 if it is not known.
    wait_ms: int = 0
    # Whether an earlier attempt of the request was not served.
    is_retry: bool = False
    # The resource that the request waits for; empty if it is not known.
    missing_resource: str = ''


class Refused(Wire, frozen=True):
    """The request is not admitted; nothing is reserved."""

    code: str
    figures: tuple[values.Figure, ...]
    retry_after_ms: int


class SlotRelease(Wire, frozen=True, tag='EndSlot'):
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


class SlotRenewal(Wire, frozen=True, tag='KeepSlots'):
    """Renews the grants of a holder at the coordinator.

    A coordinator that lost its ledger rebuilds it from these messages.
    """

    service: str
    holder: str
    # Pairs of grant and decode worker.
    grants: tuple[tuple[str, str], ...]


class ClaimRequest(Wire, frozen=True, tag='AskClaim'):
    """Request of an entry to its keeper for the right to run a key."""

    service: str
    key: str
    # Digest of the request body, hexadecimal.
    body_digest: str
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


class ClaimReport(Wire, frozen=True, tag='EndClaim'):
    """Report of the owner of a claim to its keeper on the outcome."""

    service: str
    key: str
    outcome: values.Outcome
    # The complete response as JSON, stored for a caller that did not get it.
    response: bytes = b''


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
    issued_at: Number
    # Reading of the witness's own monotonic clock, taken before the issue,
    # seconds.
    witness_clock: Number
    # Hex HMAC-SHA256 of the fields above.
    mac: str = ''


class StartRequest(Wire, frozen=True, tag='Note'):
    """Request of the executor to the witness to record a start.

    The executor sends it before the first byte of the request.
    """

    identity: str
    witness: str
    body_digest: str
    # Copied from the ticket; from it the witness decides whether it may have
    # forgotten the identity.
    witness_clock: Number


class VoidRequest(Wire, frozen=True, tag='Void'):
    """Request to the witness to void an identity, so that it never runs.

    Any process may send it.
    """

    identity: str
    witness: str
    body_digest: str
    witness_clock: Number


class OutcomeReport(Wire, frozen=True, tag='Tell'):
    """Report of the executor to the witness on the outcome."""

    identity: str
    witness: str
    body_digest: str
    witness_clock: Number
    outcome: values.Outcome
    response: bytes = b''


class ClockRequest(Wire, frozen=True, tag='AskReading'):
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
    clock: Number = 0.0
    outcome: values.Outcome | None = None
    response: bytes = b''


class RunRequest(Wire, frozen=True, tag='RunTicket'):
    """Passes a ticket and its request from an entry to the executor."""

    ticket: Ticket
    call: str
    body: bytes
    request: str


class RunReply(Wire, frozen=True):
    """The outcome of a ticket, with the response if there is one."""

    outcome: values.Outcome
    response: bytes = b''


class OutcomeRequest(Wire, frozen=True, tag='AskOutcome'):
    """Request of an entry to the owner of a claim for its outcome."""

    service: str
    key: str


class DumpRequest(Wire, frozen=True, tag='Dump'):
    """Requests the state of a process."""


class DumpReply(Wire, frozen=True):
    """The state of a process as JSON."""

    state: bytes


class RecordsRequest(Wire, frozen=True, tag='AskRecords'):
    """Requests newer records of the store's keyed topics from an entry VM."""

    # Position up to which the sender knows each topic.
    positions: dict[str, int]
    # Requests that the sender sent to plain servers since its last message, and
    # how many of them failed, by server id.
    request_counts: dict[str, tuple[Number, Number]] = {}
    # Recent updates on servers that leave or no longer leave
    # (`departures.Departure`), by server id.
    departures: dict[str, tuple[int, int]] = {}
    # Backoff requests of servers (`backoffs.Backoff`), by server id.
    backoffs: dict[str, tuple[int, Number]] = {}
    # Largest value that the reply may contain, bytes; None for no limit.
    max_value_bytes: int | None = None


class RecordsReply(Wire, frozen=True):
    """The records of an entry VM after the requested positions."""

    # Key, position and value of each newer record of a topic, and for a removal
    # the rank of the removed record.
    records: dict[str, tuple[tuple[str, int, bytes, tuple[int, int]], ...]]
    # Position up to which the receiver knows each topic with these records.
    positions: dict[str, int]
    # Time since the store's last reply to the sender, seconds.
    store_age_s: Number
    # Ratio of recent requests to plain servers that failed, by server id, over
    # all entry VMs that report to the sender.
    failure_ratios: dict[str, Number] = {}
    # Whether a call of the sender to the store failed since the store's last
    # reply.
    store_failed: bool = False
    # Quarantined requests, which are sent to no server, and requests that can't
    # be quarantined: remaining time in seconds by fingerprint.
    quarantined: dict[int, Number] = {}
    cleared: dict[int, Number] = {}
    # Updates on servers that announced that they leave
    # (`departures.Departure`), and backoff requests (`backoffs.Backoff`), by
    # server id.
    departures: dict[str, tuple[int, int]] = {}
    backoffs: dict[str, tuple[int, Number]] = {}
    # Position up to which the sender knows each topic of which it left out
    # large records.
    left_out: dict[str, int] = {}
    # Parts of prompts by the fingerprint of their quarantined set.
    part_sets: dict[int, tuple[int, ...]] = {}


# Outcome of a request for a relayed connection. 'refused' and 'silent' tell of
# the server; 'isolated' means that the relay can't tell, since it reached no
# server lately.
RelayResult = Literal[
    'open', 'refused', 'silent', 'isolated', 'unknown', 'closing', 'busy'
]


class RelayRequest(Wire, frozen=True):
    """Requests a connection to a backend server through another entry VM."""

    # 'IP:PORT' of the backend server.
    address: str


class RelayReply(Wire, frozen=True):
    """Reply to `RelayRequest`."""

    result: RelayResult
    # Names the process that relays; empty if an earlier build sent the reply.
    incarnation: str = ''


class PlacementRequest(Wire, frozen=True, tag='AskPlace'):
    """Request of an entry VM for a placement on the engines of a service.

    The receiver is the coordinator of the service.
    """

    service: str
    request: str
    # The entry VM that sends the request.
    holder: str
    # Prompt tokens, and the estimated and maximum tokens of the response.
    prompt_tokens: int
    hinted_tokens: int
    max_output_tokens: int
    # Time since the request arrived, and time within which its first event is
    # due, milliseconds.
    waited_ms: int
    target_ms: int
    # 0 is the highest priority.
    priority: int
    # Ids of backend servers that must not get the request.
    excluded_servers: tuple[str, ...] = ()
    # The same for all attempts of one request; 0 if it is not known.
    request_digest: int = 0
    # Whether the caller already has a part of the response.
    response_started: bool = False
    # Longest allowed pause between two events; 0 if there is no limit.
    max_gap_ms: int = 0
    # How long the caller still waits for the complete response; 0 if it is not
    # known.
    remaining_ms: int = 0
    # Whether the response is cut after that time, since the holder stops.
    must_finish: bool = False
    # Software version of the decode worker; empty if any may get the request.
    version: str = ''
    # Whether the caller resumes a stream, and so has a part of the response.
    resumed: bool = False
    # Time of a token of the service as the holder measured it, seconds; 0 if
    # it measured none.
    token_s: float = 0.0


class PlacementGrant(Wire, frozen=True, tag='Place'):
    """A placement: decode worker memory and prefill worker time, by id."""

    decode_worker: str
    # Empty if the decode worker has to prefill the prompt itself.
    prefill_worker: str
    # Whether the decode worker prefills because all prefill workers are busy.
    local_prefill: bool = False


class DeadlineUnreachable(Wire, frozen=True, tag='TooLate'):
    """No placement would complete the response in time."""

    # 0 if it is not known.
    required_ms: int


class PlacementRelease(Wire, frozen=True, tag='EndPlace'):
    """Releases a placement, whatever its result."""

    service: str
    request: str
    # Durations and output tokens that the holder measured; 0 for a phase that
    # was not reached.
    prefill_ms: int = 0
    decode_ms: int = 0
    output_tokens: int = 0
    # Whether the response was complete.
    complete: bool = False
    # Whether the decode worker rejected the result of the prefill worker.
    prefill_rejected: bool = False


class ServerFailureReport(Wire, frozen=True, tag='ServerFailed'):
    """Reports a refused connection or a broken response of a server."""

    service: str
    # Id of the backend server.
    server: str
    # The entry VM that sends the report.
    holder: str
    # Whether another server replied at its address, which proves that this one
    # is removed.
    replaced: bool = False


class StreamOrigin(Wire, frozen=True):
    """Where a stream began."""

    # Key of the stream (`stream_origins.digest`).
    stream: int
    service: str
    # Software version of the server that sent its first event.
    version: str
    # Time since the first event, milliseconds.
    age_ms: int = 0


class OriginReport(Wire, frozen=True):
    """Reports the origins of streams to another entry VM."""

    origins: tuple[StreamOrigin, ...]
    # Whether the receiver saves them in the store.
    save: bool = False
    # Peer address of the VM that gets `OriginsSaved` then; empty if none waits
    # for it.
    reply_to: str = ''


class OriginsSaved(Wire, frozen=True):
    """Confirms that the origins of streams are saved in the store."""

    # Keys of the streams.
    streams: tuple[int, ...]


class OriginRequest(Wire, frozen=True):
    """Asks another entry VM for the origin of a stream."""

    # 0 if only the service matters.
    stream: int
    service: str


class OriginReply(Wire, frozen=True):
    """Reply to `OriginRequest`."""

    # Age of the sender's list of servers, and how long it has been followed,
    # milliseconds.
    list_age_ms: int
    known_ms: int
    # The versions of the service that may have begun recent streams.
    versions: tuple[str, ...] = ()
    # None if it is not known.
    origin: StreamOrigin | None = None


class DefaultVersionsRequest(Wire, frozen=True):
    """Asks another entry VM for the default versions that it has read."""


class ReadDefaultVersion(msgspec.Struct, frozen=True, array_like=True):
    """The default version of a service as an entry VM read it."""

    # Record of the topic of default versions.
    value: bytes
    # Versions that have had servers ever since then.
    listed: tuple[str, ...]


class DefaultVersionsReply(Wire, frozen=True):
    """Reply to `DefaultVersionsRequest`."""

    # Position in the topic of default versions as of the last read.
    end: int
    # Time since that read began, milliseconds; -1 if there was none.
    age_ms: int = -1
    # By service.
    defaults: dict[str, ReadDefaultVersion] = {}


class Crash(Wire, frozen=True):
    """A request that was running on a server when the server crashed."""

    # The server's id, and its start time, Unix milliseconds.
    server: str
    started_at: int
    # Digest of the request; the same for all attempts.
    fingerprint: int
    # How long the server had run the request, or had it if the run time is not
    # known.
    ran_ms: int
    # Time between the crash and the sending of this report, milliseconds.
    age_ms: int = 0
    # Service of the server, and fingerprints of parts of the request's prompt
    # that other requests may share.
    service: str = ''
    parts: tuple[int, ...] = ()
    # Whether the list named a later incarnation of the server; the request had
    # ended before, and `age_ms` counts from its end.
    is_proven: bool = False


class CrashReports(Wire, frozen=True):
    """Reports of an entry VM to the coordinator of crash reports."""

    crashes: tuple[Crash, ...] = ()
    # Fingerprints of quarantined requests that completed on the sending VM.
    cleared: tuple[int, ...] = ()
    # Whether the receiver is a possible successor and not the coordinator.
    to_successor: bool = False


class QuarantineUpdate(Wire, frozen=True, tag='Quarantined'):
    """The quarantined requests, which are sent to no server.

    It is the reply to `CrashReports`, and is announced to all entry VMs.
    """

    # Identifies the coordinator process that sends it.
    coordinator_id: int
    # Remaining quarantine in seconds by fingerprint.
    quarantined: dict[int, Number] = {}
    # For other requests, remaining time during which they can't be quarantined,
    # seconds by fingerprint.
    cleared: dict[int, Number] = {}
    # Parts of prompts by the fingerprint of their set, for sets in
    # `quarantined`: all requests that have all these parts are quarantined.
    part_sets: dict[int, tuple[int, ...]] = {}
    # Whether the sender also decides on parts of prompts.
    decides_on_parts: bool = False


class CrashedServer(msgspec.Struct, frozen=True, array_like=True):
    """A server that crashed by the reports of entry VMs."""

    # The server's id, and its start time, Unix milliseconds.
    server: str
    started_at: int
    # Time since the crash, milliseconds.
    age_ms: int
    # Tells crashes of one listed incarnation from each other.
    number: int = 0


class CrashEvidenceRequest(Wire, frozen=True):
    """Queries an entry VM for evidence against a decision on crashes."""

    # Servers that may not have crashed.
    servers: tuple[CrashedServer, ...]
    # Parts of prompts that may be to blame, and the service that they crash;
    # empty if there are none.
    service: str = ''
    parts: tuple[int, ...] = ()


class CrashEvidenceReply(Wire, frozen=True):
    """Reply to `CrashEvidenceRequest`."""

    # Ids of the servers in `refuted`; entry VMs of earlier versions know no more.
    running: tuple[str, ...]
    # Those of the parts that were in a request that completed recently.
    completed: tuple[int, ...] = ()
    # Whether any request of the service completed recently.
    service_completes: bool = False
    # Those of the servers that did not crash: the same incarnation completed a
    # response later.
    refuted: tuple[CrashedServer, ...] = ()


class ServerSendRequest(Wire, frozen=True, tag='SendAsk'):
    """A VM's record of one server's limit, and the sends it requests."""

    # Requests per second; None if the server no longer reports a limit.
    limit: Number | None
    # Time since the server reported the limit, seconds.
    age_s: Number
    # Number of sends requested.
    requested: int
    # Number of granted sends that expired unused.
    expired: int = 0


class ServerSendGrant(Wire, frozen=True, tag='SendGrant'):
    """The coordinator's record of a server's limit, and the granted sends."""

    limit: Number | None
    age_s: Number
    # Number of sends granted.
    granted: int = 0


class SendTokensRequest(Wire, frozen=True, tag='AskSends'):
    """Request of an entry VM to the coordinator of server limits."""

    holder: str
    # By server id.
    requests: dict[str, ServerSendRequest]


class SendTokensReply(Wire, frozen=True, tag='Sends'):
    """Reply to `SendTokensRequest`.

    It is also announced to all entry VMs, without tokens, when a limit begins
    or ends.
    """

    grants: dict[str, ServerSendGrant]


class ActivePlacement(Wire, frozen=True, tag='KeptPlace'):
    """A placement in use."""

    request: str
    decode_worker: str
    prompt_tokens: int
    hinted_tokens: int
    max_output_tokens: int
    age_ms: int = 0
    # Start time of the worker, Unix milliseconds; 0 if it is not reported.
    started_at: int = 0


class CreditRequest(Wire, frozen=True, tag='AskCredit'):
    """Request of an entry VM to admit a request of a client account.

    The receiver is the coordinator of the account.
    """

    account: str
    # Cost of the request, in units of the account's limit.
    cost: Number


class CreditReply(Wire, frozen=True, tag='Credit'):
    """Reply to `CreditRequest`."""

    # 0 if the request is admitted; otherwise the time until it would be,
    # milliseconds.
    wait_ms: int
    # Credit that the account has left, units.
    remaining: Number


class CreditRefund(Wire, frozen=True, tag='GiveBack'):
    """Refunds the cost of an admitted request that did not run.

    The receiver is the coordinator of the client account.
    """

    account: str
    cost: Number


class UsageReport(Wire, frozen=True, tag='LetIn'):
    """Usage that a coordinator of client accounts admitted.

    The coordinator sends it to its possible successors.
    """

    # Admitted units less refunded units, by account.
    admitted: dict[str, Number]


class EligibilityRequest(Wire, frozen=True, tag='AskHome'):
    """Requests whether an entry VM may be a coordinator."""


class EligibilityReply(Wire, frozen=True, tag='HomeReply'):
    """Reply to `EligibilityRequest`."""

    eligible: bool
    # Whether the process has been up long enough to be preferred over a new
    # one.
    established: bool


class InventoryRequest(Wire, frozen=True, tag='AskHeld'):
    """Request of a service's coordinator for the placements of an entry VM.

    A new coordinator sends it to all entry VMs.
    """

    service: str


class PlacementRenewal(Wire, frozen=True, tag='KeepPlaces'):
    """Renews all placements of one entry VM at the coordinator.

    A new coordinator rebuilds its plan from these messages.
    """

    service: str
    holder: str
    places: tuple[ActivePlacement, ...]


Message = (
    ErrorReply
    | Ping
    | Pong
    | EntryHeartbeat
    | EntryHeartbeatReply
    | StopNotice
    | KeeperHeartbeat
    | StateRequest
    | StateReply
    | SlotRequest
    | SlotGrant
    | Queued
    | Refused
    | SlotRelease
    | SlotRenewal
    | ClaimRequest
    | ClaimReply
    | ClaimReport
    | Ticket
    | StartRequest
    | VoidRequest
    | OutcomeReport
    | ClockRequest
    | WitnessReply
    | RunRequest
    | RunReply
    | OutcomeRequest
    | DumpRequest
    | DumpReply
    | RecordsRequest
    | RecordsReply
    | PlacementRequest
    | PlacementGrant
    | DeadlineUnreachable
    | PlacementRelease
    | OriginReport
    | OriginsSaved
    | OriginRequest
    | OriginReply
    | DefaultVersionsRequest
    | DefaultVersionsReply
    | ServerFailureReport
    | CrashReports
    | SendTokensRequest
    | SendTokensReply
    | QuarantineUpdate
    | CrashEvidenceRequest
    | CrashEvidenceReply
    | CreditRequest
    | CreditReply
    | CreditRefund
    | UsageReport
    | EligibilityRequest
    | EligibilityReply
    | InventoryRequest
    | PlacementRenewal
    | RelayRequest
    | RelayReply
)

# Longest message between processes, bytes; a longer one is not decoded.
MAX_BYTES: Final = 8 * 1024 * 1024

_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Message)


def encode(msg: Message) -> bytes:
    """Returns the bytes of a message."""
    return _encoder.encode(msg)


def decode(data: bytes) -> Message:
    """Returns the message in `data`.

    Raises:
        errors.DecodeError: The bytes are not one of the messages.
    """
    if len(data) > MAX_BYTES:
        raise errors.DecodeError(f'{len(data)} bytes, limit {MAX_BYTES}')
    return decoding.decode(_decoder.decode, data)
