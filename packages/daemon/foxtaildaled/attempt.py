"""The state of one request to a model engine while it is served.

`Refused` ends the request with an outcome, `Answer` is the state of the
response to its caller, and `Spot` is the placement of one attempt.
"""

import math

from foxtaildale import codes
from foxtaildale import forwarding
from foxtaildale import sse


class Refused(Exception):  # noqa: N818
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


def check_held(left_s: float) -> None:
    """Refuses a quarantined request, which must not be sent to any server.

    Args:
        left_s: Remaining time of the quarantine, seconds; 0 if the request is
            not quarantined.

    Raises:
        Refused: The request is quarantined.
    """
    if left_s:
        raise Refused(
            codes.QUARANTINED, retry_after_s=left_s, left_s=math.ceil(left_s)
        )


class Answer:
    """The state of the response to the caller, over all attempts."""

    __slots__ = (
        'may_have_run',
        'prefilled',
        'prefilled_at',
        'prefills',
        'splitter',
        'started',
        'unopened',
        'unsent',
    )

    def __init__(self, position: int | None) -> None:
        self.splitter = sse.Splitter(position)
        self.started = False
        # Whether a decode worker may have begun to run the request.
        self.may_have_run = False
        # A prefilled prompt that no decode worker has fetched yet, and the time
        # since which its prefill worker holds it.
        self.prefilled: forwarding.Prefilled | None = None
        self.prefilled_at = 0.0
        # Number of prefills of the prompt.
        self.prefills = 0
        # Whether the last attempt ended before anything was sent to a decode
        # worker, and the number of connections that could not be opened.
        self.unsent = False
        self.unopened = 0

    def unfinished(
        self, reason: str = 'no further attempt is allowed'
    ) -> tuple[codes.Code, str]:
        """Returns the code and reason of a request that is not retried."""
        if self.may_have_run:
            return codes.BROKEN, ''
        return codes.BACKEND_REFUSED, reason


class Spot:
    """The placement of one attempt and its measurements."""

    __slots__ = (
        'decode_s',
        'events',
        'prefill_s',
        'prefiller',
        'reads_itself',
        'refused',
        'request',
        'reserved',
        'whole',
    )

    def __init__(
        self,
        reserved: forwarding.Reserved,
        request: str = '',
        prefiller: forwarding.Backend | None = None,
    ) -> None:
        self.reserved = reserved
        # Name of the request in the coordinator's plan; empty without a plan.
        self.request = request
        self.prefiller = prefiller
        # Whether the decode worker prefills the prompt itself.
        self.reads_itself = False
        self.prefill_s = 0.0
        self.decode_s = 0.0
        self.events = 0
        self.whole = False
        # Whether the decode worker did not accept the prefilled prompt.
        self.refused = False
