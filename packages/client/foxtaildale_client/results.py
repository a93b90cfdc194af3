"""What the commands give back: printed as text, or as JSON with `--json`.

Each result knows its text and its exit status. The fields are the JSON
interface; a script should read those, not the text.
"""

from typing import Final

import msgspec

from foxtaildale import values
from foxtaildale_client import exits
from foxtaildale_client import submit
from foxtaildale_client import text

_REASONS: Final = {
    'other-revision': 'the revision in force is not the one it expects',
    'not-published': 'no such preset is published',
    'bad-preset': 'the preset is not whole',
    'stale': 'it reached the log too late',
    'ahead': 'it was made from another log',
    'never-landed': 'it never reached the log and would not count any more',
}
_EXITS: Final = {
    'accepted': exits.Exit.OK,
    'rejected': exits.Exit.REJECTED,
    'not-known': exits.Exit.NOT_KNOWN,
    'forgotten': exits.Exit.NOT_KNOWN,
    'not-sent': exits.Exit.UNAVAILABLE,
}


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Base of what a command gives back."""

    @property
    def exit(self) -> exits.Exit:
        """Status of the program."""
        return exits.Exit.OK

    def text(self) -> str:
        """Lines for people."""
        raise NotImplementedError


class Problem(Result, frozen=True):
    """Why a command gave nothing else."""

    status: exits.Exit
    # One line each.
    problems: tuple[str, ...]

    @property
    def exit(self) -> exits.Exit:
        """Status of the program."""
        return self.status

    def text(self) -> str:
        """Lines for people."""
        return '\n'.join(self.problems)


class Checked(Result, frozen=True):
    """A preset file without faults."""

    file: str
    name: str
    digest: str

    def text(self) -> str:
        """Lines for people."""
        short = self.digest[: text.DIGEST]
        return f'{self.file}: preset {self.name} {short}, no fault'


class KeyDigest(Result, frozen=True):
    """What stands for a key of a client account in a preset."""

    digest: str

    def text(self) -> str:
        """Lines for people."""
        return self.digest


class Changed(Result, frozen=True):
    """What came of a publish or a switch."""

    result: submit.Result
    id: str
    base: int
    reason: str = ''
    # In force after the record; 0 for none.
    revision: int = 0
    # What was asked for: publish, switch, or empty when only the id is known.
    change: str = ''
    # The preset it was about; empty when only the id is known.
    name: str = ''
    digest: str = ''

    @property
    def exit(self) -> exits.Exit:
        """Status of the program."""
        return _EXITS[self.result]

    def text(self) -> str:
        """Lines for people."""
        what = self.id
        if self.name:
            what = f'{self.name} {self.digest[: text.DIGEST]}'
        return f'{what}: {self._sentence()}'

    def _sentence(self) -> str:
        match self.result:
            case 'accepted' if self.change == 'publish':
                return f'published, not switched to; {self._in_force()}'
            case 'accepted':
                return f'accepted; {self._in_force()}'
            case 'rejected':
                why = _REASONS.get(self.reason, self.reason)
                return f'rejected: {why}; {self._in_force()}'
            case 'not-sent':
                return 'not done: the log could not be reached'
            case 'forgotten':
                return (
                    'not known: the log no longer keeps what came of it;'
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


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """One published preset."""

    name: str
    digest: str
    offset: int
    in_force: bool


class Listed(Result, frozen=True):
    """The published presets, oldest first."""

    presets: tuple[Line, ...]

    def text(self) -> str:
        """Lines for people."""
        if not self.presets:
            return 'no preset is published'
        rows = [('', 'NAME', 'DIGEST', 'OFFSET')]
        for line in self.presets:
            mark = '*' if line.in_force else ''
            short = line.digest[: text.DIGEST]
            rows.append((mark, line.name, short, str(line.offset)))
        return text.table(rows)


class Shown(Result, frozen=True):
    """A preset, whole."""

    digest: str
    # Revision, if it is in force; 0 if not.
    revision: int
    preset: values.Preset

    def text(self) -> str:
        """Lines for people; valid JSON with comments."""
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
        """Status of the program."""
        return exits.Exit.OK if self.revision else exits.Exit.NOT_FOUND

    def text(self) -> str:
        """Lines for people."""
        if not self.revision:
            return 'no preset is in force'
        return (
            f'{self.name} {self.digest[: text.DIGEST]}, revision'
            f' {self.revision}, since offset {self.offset}'
        )


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """One field that differs; None where one side does not have it."""

    field: str
    old: str | float | None
    new: str | float | None


class Differences(Result, frozen=True):
    """What differs between two presets."""

    old: str
    new: str
    differences: tuple[Difference, ...]

    def text(self) -> str:
        """Lines for people."""
        if not self.differences:
            return f'{self.old} and {self.new} are the same'
        lines = [f'{self.old} -> {self.new}']
        for item in self.differences:
            old, new = text.shown(item.old), text.shown(item.new)
            lines.append(f'{item.field}: {old} -> {new}')
        return '\n'.join(lines)
