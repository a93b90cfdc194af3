"""One request for a model engine while it is being served.

`Refused` ends it with an outcome, `Answer` is what its caller has so far, and
`Spot` is where one attempt of it runs.
"""

import math

from foxtaildale import codes
from foxtaildale import forwarding
from foxtaildale import sse


class Refused(Exception):  # noqa: N818
    """Ends a request with an outcome; never reaches the handler."""

    def __init__(
        self,
        code: codes.Code,
        reason: str = '',
        *,
        retry_after_s: float = 0.0,
        **figures: float | str,
    ) -> None:
        super().__init__(code.name)
        # When to come back, seconds; 0 if that is to be worked out.
        self.retry_after_s = retry_after_s
        if reason:
            figures['reason'] = reason
        self.code = code
        self.figures = figures


def check_held(left_s: float) -> None:
    """Ends a request that must be sent to no server.

    Args:
        left_s: For how long; 0 if it may be sent.

    Raises:
        Refused: It must not.
    """
    if left_s:
        raise Refused(
            codes.QUARANTINED, retry_after_s=left_s, left_s=math.ceil(left_s)
        )


class Answer:
    """What the caller has of its answer."""

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
        # Whether a decode worker may have begun to work on it.
        self.may_have_run = False
        # A prefilled prompt that no decode worker has taken yet, and since
        # when its worker holds it.
        self.prefilled: forwarding.Prefilled | None = None
        self.prefilled_at = 0.0
        # How often its prompt was read.
        self.prefills = 0
        # Whether the last attempt ended before anything was sent to a decode
        # worker, and how often connections did not open.
        self.unsent = False
        self.unopened = 0

    def unfinished(
        self, reason: str = 'no further try is allowed'
    ) -> tuple[codes.Code, str]:
        """Returns why it ends without another try, and the reason."""
        if self.may_have_run:
            return codes.BROKEN, ''
        return codes.BACKEND_REFUSED, reason


class Spot:
    """Where a request is to run, and what was measured there."""

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
        # Its name in the home's plan; empty without one.
        self.request = request
        self.prefiller = prefiller
        # Whether the decode worker is to read the prompt.
        self.reads_itself = False
        self.prefill_s = 0.0
        self.decode_s = 0.0
        self.events = 0
        self.whole = False
        # Whether the decode worker did not take what was read for it.
        self.refused = False
