"""The state of one request to a model engine while it is served.

`RequestRefused` ends the request with an outcome, `ResponseState` is the state
of the response to its caller, and `AttemptPlacement` is the placement of one
attempt.
"""

from foxtaildale import codes
from foxtaildale import forwarding
from foxtaildale import quarantine
from foxtaildale import sse


class RequestRefused(Exception):  # noqa: N818
    """Ends a request with an outcome; is caught before the HTTP handler."""

    def __init__(
        self,
        code: codes.Code,
        reason: str = '',
        *,
        retry_after_s: float = 0.0,
        **figures: float | str,
    ) -> None:
        super().__init__(code.name)
        # Delay before a retry, seconds; 0 if it is computed later.
        self.retry_after_s = retry_after_s
        if reason:
            figures['reason'] = reason
        self.code = code
        self.figures = figures


def check_quarantined(entry: quarantine.Entry | None) -> None:
    """Refuses a quarantined request, which must not be sent to any server.

    Args:
        entry: What the request matches; None if it is not quarantined.

    Raises:
        RequestRefused: The request is quarantined.
    """
    if entry is not None:
        refused = RequestRefused(codes.QUARANTINED, retry_after_s=entry.left_s)
        refused.figures |= entry.figures()
        raise refused


class ResponseState:
    """The state of the response to the caller, over all attempts."""

    __slots__ = (
        'may_have_run',
        'prefill_count',
        'prefilled',
        'prefilled_at',
        'replacement',
        'server_version',
        'splitter',
        'started',
        'unopened_connections',
        'unsent',
    )

    def __init__(self, position: int | None) -> None:
        self.splitter = sse.Splitter(position)
        self.started = False
        # Software version of the decode worker that streams the response.
        self.server_version = ''
        # Whether a decode worker may have begun to run the request.
        self.may_have_run = False
        # A prefilled prompt that no decode worker has fetched yet, and the time
        # since which its prefill worker holds it.
        self.prefilled: forwarding.Prefilled | None = None
        self.prefilled_at = 0.0
        # Number of prefills of the prompt.
        self.prefill_count = 0
        # Placement of the next attempt, which the retry budget has counted, in
        # place of a decode worker that is silent; None if there is none.
        self.replacement: AttemptPlacement | None = None
        # Whether the last attempt ended before anything was sent to a decode
        # worker, and the number of connections that could not be opened.
        self.unsent = False
        self.unopened_connections = 0

    def unfinished_code(
        self, reason: str = 'no further attempt is allowed'
    ) -> tuple[codes.Code, str]:
        """Returns the code and reason of a request that is not retried."""
        if self.may_have_run:
            return codes.BROKEN, ''
        return codes.BACKEND_REFUSED, reason


class AttemptPlacement:
    """The placement of one attempt and its measurements."""

    __slots__ = (
        'complete',
        'decode_s',
        'event_count',
        'local_prefill',
        'plan_request',
        'prefill_refused',
        'prefill_s',
        'prefill_worker',
        'reserved',
    )

    def __init__(
        self,
        reserved: forwarding.Reserved,
        plan_request: str = '',
        prefill_worker: forwarding.Backend | None = None,
    ) -> None:
        self.reserved = reserved
        # Name of the request in the coordinator's plan; empty without a plan.
        self.plan_request = plan_request
        self.prefill_worker = prefill_worker
        # Whether the decode worker prefills the prompt itself.
        self.local_prefill = False
        self.prefill_s = 0.0
        self.decode_s = 0.0
        self.event_count = 0
        self.complete = False
        # Whether the decode worker did not accept the prefilled prompt.
        self.prefill_refused = False
