"""Results of the commands, printed as text, or as JSON with `--json`.

Each result provides its text and its exit status. The fields are the JSON
interface; a script should read those, not the text.
"""

from typing import Final

import msgspec

from foxtaildale import values
from foxtaildale_client import exits
from foxtaildale_client import submit
from foxtaildale_client import text

_REASON_TEXTS: Final = {
    'other-revision': 'the revision in force is not the one it expects',
    'not-published': 'no such preset is published',
    'bad-preset': 'the preset is invalid',
    'stale': 'it was appended to the log too late',
    'ahead': 'it was made from another log; its base is beyond this log',
    'never-landed': 'it is not in the log and would be stale by now',
}
_EXIT_STATUSES: Final = {
    'accepted': exits.Exit.OK,
    'rejected': exits.Exit.REJECTED,
    'not-known': exits.Exit.NOT_KNOWN,
    'forgotten': exits.Exit.NOT_KNOWN,
    'not-sent': exits.Exit.UNAVAILABLE,
}


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the results of commands."""

    @property
    def exit(self) -> exits.Exit:
        """Exit status of the program."""
        return exits.Exit.OK

    def text(self) -> str:
        """Returns the human-readable output."""
        raise NotImplementedError


class Problem(Result, frozen=True):
    """The reasons why a command failed."""

    status: exits.Exit
    # One line per problem.
    problems: tuple[str, ...]

    @property
    def exit(self) -> exits.Exit:
        """Exit status of the program."""
        return self.status

    def text(self) -> str:
        """Returns the human-readable output."""
        return '\n'.join(self.problems)


class Checked(Result, frozen=True):
    """A valid preset file."""

    file: str
    name: str
    digest: str

    def text(self) -> str:
        """Returns the human-readable output."""
        short = self.digest[: text.DIGEST_CHARS]
        return f'{self.file}: preset {self.name} {short}, no fault'


class KeyDigest(Result, frozen=True):
    """Digest that represents a client account's key in a preset."""

    digest: str

    def text(self) -> str:
        """Returns the human-readable output."""
        return self.digest


class Changed(Result, frozen=True):
    """The outcome of a publish or a switch."""

    result: submit.Result
    id: str
    base: int
    reason: str = ''
    # Revision in force after the record; 0 for none.
    revision: int = 0
    # Kind of change: publish, switch, or empty when only the id is known.
    change: str = ''
    # Name of the preset; empty when only the id is known.
    name: str = ''
    digest: str = ''

    @property
    def exit(self) -> exits.Exit:
        """Exit status of the program."""
        return _EXIT_STATUSES[self.result]

    def text(self) -> str:
        """Returns the human-readable output."""
        subject = self.id
        if self.name:
            subject = f'{self.name} {self.digest[: text.DIGEST_CHARS]}'
        return f'{subject}: {self._sentence()}'

    def _sentence(self) -> str:
        match self.result:
            case 'accepted' if self.change == 'publish':
                return f'published, not switched to; {self._in_force()}'
            case 'accepted':
                return f'accepted; {self._in_force()}'
            case 'rejected':
                reason_text = _REASON_TEXTS.get(self.reason, self.reason)
                return f'rejected: {reason_text}; {self._in_force()}'
            case 'not-sent':
                return 'not done: the log could not be reached'
            case 'forgotten':
                return (
                    'not known: the log no longer shows the outcome;'
                    ' see `foxtaildale preset current`'
                )
        return (
            'not known yet: the log did not answer in time; ask again:\n'
            f'  foxtaildale preset outcome {self.id} --base {self.base}'
        )

    def _in_force(self) -> str:
        if not self.revision:
            return 'no preset is in force'
        return f'revision {self.revision} is in force'


class PublishedLine(msgspec.Struct, frozen=True, kw_only=True):
    """One published preset."""

    name: str
    digest: str
    offset: int
    in_force: bool


class Listed(Result, frozen=True):
    """The published presets, oldest first."""

    presets: tuple[PublishedLine, ...]

    def text(self) -> str:
        """Returns the human-readable output."""
        if not self.presets:
            return 'no preset is published'
        rows = [('', 'NAME', 'DIGEST', 'OFFSET')]
        for line in self.presets:
            mark = '*' if line.in_force else ''
            short = line.digest[: text.DIGEST_CHARS]
            rows.append((mark, line.name, short, str(line.offset)))
        return text.format_table(rows)


class ShownPreset(Result, frozen=True):
    """A complete preset."""

    digest: str
    # Revision if the preset is in force; 0 otherwise.
    revision: int
    preset: values.Preset

    def text(self) -> str:
        """Returns the human-readable output; valid JSON with comments."""
        state = 'not in force'
        if self.revision:
            state = f'in force, revision {self.revision}'
        body = msgspec.json.encode(self.preset, order='deterministic')
        return (
            f'// {self.preset.name} {self.digest}, {state}\n'
            f'{msgspec.json.format(body, indent=2).decode()}'
        )


class Current(Result, frozen=True):
    """The preset in force."""

    # 0 before the first switch.
    revision: int
    offset: int = 0
    name: str = ''
    digest: str = ''

    @property
    def exit(self) -> exits.Exit:
        """Exit status of the program."""
        return exits.Exit.OK if self.revision else exits.Exit.NOT_FOUND

    def text(self) -> str:
        """Returns the human-readable output."""
        if not self.revision:
            return 'no preset is in force'
        return (
            f'{self.name} {self.digest[: text.DIGEST_CHARS]}, revision'
            f' {self.revision}, since offset {self.offset}'
        )


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """A field that differs; None where one preset lacks the field."""

    field: str
    old: str | float | None
    new: str | float | None


class Differences(Result, frozen=True):
    """The fields in which two presets differ."""

    old: str
    new: str
    differences: tuple[Difference, ...]

    def text(self) -> str:
        """Returns the human-readable output."""
        if not self.differences:
            return f'{self.old} and {self.new} are the same'
        lines = [f'{self.old} -> {self.new}']
        for item in self.differences:
            old, new = text.format_value(item.old), text.format_value(item.new)
            lines.append(f'{item.field}: {old} -> {new}')
        return '\n'.join(lines)
