"""The exception hierarchy.

Outcomes of requests are values (`values.Outcome`), not exceptions. Exceptions
are raised for ports that could not do what was requested, for invalid settings
and for violated invariants; only the last kind may stop a process.
"""


class FoxtaildaleError(Exception):
    """Base class of all exceptions of this project."""


class InvariantError(FoxtaildaleError):
    """An invariant is violated; the process stops."""


class SettingsError(FoxtaildaleError):
    """Settings or a preset are invalid; contains all faults found.

    Attributes:
        faults: One line per fault: file, field, actual value, allowed values.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__('\n'.join(faults))
        self.faults = faults


class DecodeError(FoxtaildaleError):
    """Received bytes are not a message of the expected form."""


class PortError(FoxtaildaleError):
    """A system outside this process did not do what was requested."""


class UnreachableError(PortError):
    """Nothing was sent, so the other side can't have acted on it."""


class NoPathError(UnreachableError):
    """Nothing was sent, as this VM does not reach the backend servers."""


class NoReplyError(PortError):
    """Something was sent and no reply came, so the effect is unknown."""


class ConnectionBrokenError(NoReplyError):
    """The connection broke after something was sent."""


class RejectedError(PortError):
    """The other side replied that it did not do what was requested.

    Attributes:
        code: Reason code of the other side.
    """

    def __init__(self, code: str, message: str = '') -> None:
        super().__init__(f'{code}: {message}' if message else code)
        self.code = code


class RecordsExpiredError(PortError):
    """The requested records are no longer in the platform's log.

    Attributes:
        first: The oldest offset that can still be read.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f'oldest offset is {first}')
        self.first = first
