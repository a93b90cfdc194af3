"""Registry of outcome codes and their sentences.

Every final response that is not a plain success has one of these codes. The
sentence is a template over the outcome's figures, so that the caller, the log
and `foxtaildale explain` show the same text.
"""

from typing import Final
from typing import Literal

import msgspec

Ran = Literal['no', 'yes', 'unknown']


class Code(msgspec.Struct, frozen=True):
    """One kind of outcome."""

    # Stable name, part of the callers' interface.
    name: str
    # HTTP status of the response.
    status: int
    # Whether the request ran at a backend server; `no` is guaranteed.
    ran: Ran
    # Template over the figures of the outcome.
    sentence: str


OK: Final = Code('ok', 200, 'yes', 'The complete response was sent.')
NO_CAPACITY: Final = Code(
    'no-capacity',
    503,
    'no',
    'Not run: the start of the response would take {estimate_ms} ms, the target'
    ' is {target_ms} ms.',
)
QUEUE_FULL: Final = Code(
    'queue-full',
    503,
    'no',
    'Not run: {queued} requests wait for this service, the limit is {limit}.',
)
PATIENCE_OVER: Final = Code(
    'patience-over',
    503,
    'no',
    'Not run: no slot came free within {patience_ms} ms of waiting.',
)
LONG_WAIT: Final = Code(
    'long-wait',
    503,
    'no',
    'Not run: the start of the response would take {estimate_ms} ms, a request'
    ' of this service waits at most {patience_ms} ms.',
)
NO_TIME: Final = Code(
    'no-time',
    503,
    'no',
    'Not run: the response is estimated to take {needs_ms} ms, and its caller'
    ' waits for {left_ms} ms more.',
)
NO_BACKEND: Final = Code(
    'no-backend',
    503,
    'no',
    'Not run: no live backend server is listed for this service.',
)
NO_PRESET: Final = Code(
    'no-preset',
    503,
    'no',
    'Not run: this entry VM does not know which preset is in force.',
)
STOPPING: Final = Code(
    'stopping', 503, 'no', 'Not run: this entry VM is stopping.'
)
LOG_DOWN: Final = Code(
    'log-down',
    503,
    'no',
    'Not run: the claim could not be written to the platform log.',
)
TICKET_NEEDED: Final = Code(
    'ticket-needed',
    428,
    'no',
    'Not run: this service takes a ticket; tickets are enclosed.',
)
TICKET_BAD: Final = Code(
    'ticket-bad', 400, 'no', 'Not run: the ticket was not issued here.'
)
TICKET_OLD: Final = Code(
    'ticket-old', 409, 'no', 'Not run: the ticket has expired.'
)
TICKET_VOID: Final = Code(
    'ticket-void', 409, 'no', 'Not run: the ticket was voided.'
)
KEY_NEEDED: Final = Code(
    'key-needed',
    428,
    'no',
    'Not run: this service takes an Idempotency-Key header.',
)
KEY_BAD: Final = Code(
    'key-bad', 400, 'no', 'Not run: the Idempotency-Key is not valid.'
)
KEY_OLD: Final = Code(
    'key-old',
    409,
    'unknown',
    'Refused: the Idempotency-Key is older than the stored history; it is not'
    ' known whether the request ran before, and it will not run again.',
)
CLAIM_UNSURE: Final = Code(
    'claim-unsure',
    503,
    'unknown',
    'This attempt was refused and did not run; it is not known whether an'
    ' earlier attempt with the same key ran.',
)
OTHER_BODY: Final = Code(
    'other-body',
    422,
    'no',
    'Not run: this identity was first used with another body.',
)
IN_PROGRESS: Final = Code(
    'in-progress',
    409,
    # The start of the run may still be voided.
    'unknown',
    'This identity is already running; its outcome is not known yet.',
)
DONE_BEFORE: Final = Code(
    'done-before', 200, 'yes', 'This identity ran before; this is its outcome.'
)
UNKNOWN: Final = Code(
    'outcome-unknown',
    502,
    'unknown',
    'It is not known whether the request ran.',
)
FAILED: Final = Code(
    'failed',
    502,
    'unknown',
    'The request was started and did not complete; it may have run in part.',
)
BROKEN: Final = Code(
    'broken',
    502,
    'yes',
    'The answer broke off and could not be resumed; what came is not whole.',
)
CANCELLED: Final = Code(
    'cancelled', 499, 'unknown', 'The caller disconnected; work was cancelled.'
)
GONE: Final = Code(
    'gone', 499, 'no', 'Not run: the caller disconnected while it waited.'
)
NO_WITNESS: Final = Code(
    'no-witness',
    503,
    'no',
    'Not run: no other entry VM can be reached to witness a ticket.',
)
NO_OUTCOME: Final = Code(
    'no-outcome',
    404,
    'unknown',
    'No outcome of this request is stored here: {reason}.',
)
BACKEND_REFUSED: Final = Code(
    'backend-refused',
    503,
    'no',
    'Not run: the backend servers did not take it ({reason}).',
)
VERSION_GONE: Final = Code(
    'version-gone',
    503,
    'no',
    'Not run: the stream began at software version {software}, of which no live'
    ' backend server is listed.',
)
ORIGIN_UNKNOWN: Final = Code(
    'origin-unknown',
    503,
    'no',
    'Not run: it is not known at which software version the stream began'
    ' (versions: {versions}, age of the list of servers: {list_age_ms} ms).',
)
ORIGIN_UNSAVED: Final = Code(
    'origin-unsaved',
    503,
    'no',
    'Not run: the store takes no writes, so it could not be told later at which'
    ' software version the stream began, and no version whose streams need no'
    ' write is known to have a live backend server.',
)
QUARANTINED: Final = Code(
    'quarantined',
    503,
    'no',
    'Not run: backend servers crashed each time they began to run this request'
    ' or others with the same parts in their prompts (fingerprint {fingerprint}); it is sent'
    ' to none for {left_s} s more.',
)
BAD_REQUEST: Final = Code('bad-request', 400, 'no', 'Not run: {reason}.')
TOO_LARGE: Final = Code(
    'too-large',
    413,
    'no',
    'Not run: the body has {found} bytes, the limit is {limit}.',
)
SLOW_REQUEST: Final = Code(
    'slow-request',
    408,
    'no',
    'Not run: the request did not arrive completely within {limit_s} s.',
)
ENTRY_BUSY: Final = Code(
    'entry-busy',
    503,
    'no',
    'Not run: this entry VM already serves {limit} requests.',
)
MEMORY_FULL: Final = Code(
    'memory-full',
    503,
    'no',
    'Not run: this entry VM has no memory left for a body of {found} bytes'
    ' (all bodies may use {limit} bytes).',
)
NO_ROUTE: Final = Code(
    'no-route', 404, 'no', 'Not run: version {version} has no such route.'
)
UNAUTHORIZED: Final = Code(
    'unauthorized',
    401,
    'no',
    'Not run: {reason}.',
)
ACCOUNT_UNKNOWN: Final = Code(
    'account-unknown',
    401,
    # Only this attempt certainly did not run. An earlier attempt may have used
    # a key that has been removed since.
    'unknown',
    'Refused: {reason}; this attempt did not run.',
)
OVER_LIMIT: Final = Code(
    'over-limit',
    429,
    'no',
    'Not run: client account {account} may take {rate} {unit}s a second and'
    ' {burst} at once; this request counts as {cost} and {remaining} are left.',
)
TIMED_OUT: Final = Code(
    'timed-out',
    504,
    'unknown',
    'No response within {limit_ms} ms; the request may have run.',
)
NO_SERVICE: Final = Code(
    'no-service',
    404,
    'no',
    'Not run: the preset in force has no service {service}.',
)
NO_STREAM: Final = Code(
    'no-stream',
    404,
    'unknown',
    'No backend server has the stream any more.',
)

ALL: Final[dict[str, Code]] = {
    code.name: code for code in list(vars().values()) if isinstance(code, Code)
}


def ran(name: str) -> Ran:
    """Returns whether a request with this outcome ran at a backend server."""
    code = ALL.get(name)
    return code.ran if code else 'unknown'
