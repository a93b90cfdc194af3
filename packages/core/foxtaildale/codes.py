"""Registry of outcome codes and their sentences.

Every final answer that is not a plain success names one of these codes. The
sentence is a template over the outcome's figures, so that a caller, the log
and `foxtaildale explain` all read the same words.
"""

from typing import Final
from typing import Literal

import msgspec

Ran = Literal['no', 'yes', 'unknown']


class Code(msgspec.Struct, frozen=True):
    """One kind of outcome."""

    # Stable name, part of the callers' interface.
    name: str
    # HTTP status of the answer.
    status: int
    # Whether the request ran at a backend server; `no` is a promise.
    ran: Ran
    # Template over the figures of the outcome.
    sentence: str


OK: Final = Code('ok', 200, 'yes', 'The whole answer was given.')
NO_CAPACITY: Final = Code(
    'no-capacity',
    503,
    'no',
    'Not run: the first answer would take {estimate_ms} ms, the target is'
    ' {target_ms} ms.',
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
    'Not run: the first answer would take {estimate_ms} ms, a request of this'
    ' service waits at most {patience_ms} ms.',
)
NO_TIME: Final = Code(
    'no-time',
    503,
    'no',
    'Not run: the answer is thought to take {needs_ms} ms, and its caller waits'
    ' for {left_ms} ms more.',
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
    'stopping', 503, 'no', 'Not run: this entry VM is being stopped.'
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
    'ticket-bad', 400, 'no', 'Not run: the ticket is not one of ours.'
)
TICKET_OLD: Final = Code(
    'ticket-old', 409, 'no', 'Not run: the ticket is older than its life.'
)
TICKET_VOID: Final = Code(
    'ticket-void', 409, 'no', 'Not run: the ticket was given up.'
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
    'Refused: the Idempotency-Key is older than what is remembered; whether'
    ' it ran before is not known, it will not run again.',
)
CLAIM_UNSURE: Final = Code(
    'claim-unsure',
    503,
    'unknown',
    'This try was refused and did not run; whether an earlier try under the'
    ' same key ran is not known.',
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
    # Its start may still be given up.
    'unknown',
    'This identity is being run already; its outcome is not known yet.',
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
    'The request was started and did not end; it may have run in part.',
)
BROKEN: Final = Code(
    'broken',
    502,
    'yes',
    'The answer broke off and could not be resumed; what came is not whole.',
)
CANCELLED: Final = Code(
    'cancelled', 499, 'unknown', 'The caller went away; work was cancelled.'
)
GONE: Final = Code(
    'gone', 499, 'no', 'Not run: the caller went away while it waited.'
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
    'No outcome of this request is kept here: {reason}.',
)
BACKEND_REFUSED: Final = Code(
    'backend-refused',
    503,
    'no',
    'Not run: the backend servers did not take it ({reason}).',
)
QUARANTINED: Final = Code(
    'quarantined',
    503,
    'no',
    'Not run: backend servers ended each time they began to run this request; it'
    ' is sent to none for {left_s} s more.',
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
    'Not run: the request did not arrive whole within {limit_s} s.',
)
ENTRY_BUSY: Final = Code(
    'entry-busy',
    503,
    'no',
    'Not run: this entry VM serves {limit} requests already.',
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
    # Of this try alone it is sure; an earlier one may have had a key that was
    # taken away since.
    'unknown',
    'Refused: {reason}; this try did not run.',
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
    'No answer within {limit_ms} ms; the request may have run.',
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
    'No backend server holds the stream any more.',
)

ALL: Final[dict[str, Code]] = {
    code.name: code for code in list(vars().values()) if isinstance(code, Code)
}


def ran(name: str) -> Ran:
    """Returns whether a request with this outcome ran at a backend server."""
    code = ALL.get(name)
    return code.ran if code else 'unknown'
