"""The exception tree.

Outcomes of requests are values (`values.Outcome`), not exceptions. Exceptions
are for ports that could not do what was asked, for bad settings, and for
broken invariants; only the last kind may stop a process.
"""


class FoxtaildaleError(Exception):
    """Root of every exception that this project raises."""


class InvariantError(FoxtaildaleError):
    """Something that must always hold did not; the process stops."""


class SettingsError(FoxtaildaleError):
    """Settings or a preset are wrong; carries every fault found at once.

    Attributes:
        faults: One line a fault: file, field, what was found, what is allowed.
    """

    def __init__(self, faults: tuple[str, ...]) -> None:
        super().__init__('\n'.join(faults))
        self.faults = faults


class DecodeError(FoxtaildaleError):
    """Bytes from outside are not a message of the expected form."""


class PortError(FoxtaildaleError):
    """A system outside this process did not do what was asked."""


class UnreachableError(PortError):
    """Nothing was sent: the other side can't have acted on it."""


class AnswerLostError(PortError):
    """Something was sent and no answer came: the effect is unknown."""


class BrokenOffError(AnswerLostError):
    """The connection broke after something was sent."""


class RejectedError(PortError):
    """The other side answered that it did not do what was asked.

    Attributes:
        code: The other side's own word for the reason.
    """

    def __init__(self, code: str, message: str = '') -> None:
        super().__init__(f'{code}: {message}' if message else code)
        self.code = code


class LapsedError(PortError):
    """Records were asked for that the platform's log no longer keeps.

    Attributes:
        first: The oldest offset that can still be read.
    """

    def __init__(self, first: int) -> None:
        super().__init__(f'oldest offset is {first}')
        self.first = first
