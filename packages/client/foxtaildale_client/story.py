"""Follows one request through the log lines of several entry VMs.

The lines may be mixed and in any order, with other text between. The story has
every line on the request in order of time, and before each one what its VM had
last come to believe of the servers that it names.
"""

from collections.abc import Iterable
from typing import Any
from typing import Final

import msgspec

from foxtaildale import codes
from foxtaildale import logevents
from foxtaildale_client import exits
from foxtaildale_client import results

# Fields that name a server.
_NAMES: Final = ('server', 'prefill')
# Fields of every line, which the story shows in its own way.
_COMMON: Final = frozenset(
    ('at', 'level', 'role', 'entry_vm', 'event', 'request', 'age_ms')
)

Line = dict[str, Any]


class Story(results.Result, frozen=True):
    """What was decided on a request."""

    request: str
    # Seconds since the first line, VM, sentence and other fields of each.
    steps: tuple[tuple[float, str, str, str], ...]
    conclusion: str

    def text(self) -> str:
        """Lines for people."""
        lines = [f'request {self.request}']
        for after_s, entry_vm, sentence, rest in self.steps:
            lines.append(f'{after_s:+9.3f} s  {entry_vm}  {sentence}{rest}')
        return '\n'.join([*lines, self.conclusion])


def parse(texts: Iterable[str]) -> list[Line]:
    """Returns the log lines in a text, oldest first; skips all else."""
    found = []
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:])
        except (msgspec.DecodeError, UnicodeDecodeError):
            # A line that was cut while it was written.
            continue
        if isinstance(line, dict) and isinstance(line.get('at'), int | float):
            found.append(line)
    return sorted(found, key=lambda line: line['at'])


def tell(lines: list[Line], request: str) -> results.Result:
    """Returns the story of a request; a problem if no line names it."""
    mine = [line for line in lines if line.get('request') == request]
    if not mine:
        return results.Problem(
            status=exits.Exit.NOT_FOUND,
            problems=(f'no line names request {request}',),
        )
    began = mine[0]['at']
    steps = []
    shown: set[int] = set()
    for line in mine:
        for belief in _beliefs(lines, line):
            if id(belief) not in shown:
                shown.add(id(belief))
                steps.append(_step(belief, began))
        steps.append(_step(line, began))
    return Story(
        request=request, steps=tuple(steps), conclusion=_conclusion(mine[-1])
    )


def _beliefs(lines: list[Line], line: Line) -> list[Line]:
    """Returns what the VM last learned of the servers that a line names."""
    found = []
    for name in {line.get(field) for field in _NAMES} - {None, ''}:
        last = None
        for other in lines:
            if other['at'] > line['at']:
                break
            if (
                other.get('entry_vm') == line.get('entry_vm')
                and other.get('server') == name
                and other.get('event') in logevents.STATE_EVENTS
            ):
                last = other
        if last is not None:
            found.append(last)
    return found


class _Fields(dict[str, Any]):
    """Shows a question mark for a field that a line lacks."""

    def __missing__(self, _key: str) -> str:
        return '?'


def _step(line: Line, began: float) -> tuple[float, str, str, str]:
    name = str(line.get('event', ''))
    event = logevents.ALL.get(name)
    template = event.sentence if event else name
    rest = [
        f'{field}={value}'
        for field, value in line.items()
        if field not in _COMMON and f'{{{field}}}' not in template
    ]
    tail = f'  ({", ".join(rest)})' if rest else ''
    sentence = template.format_map(_Fields(line))
    return line['at'] - began, str(line.get('entry_vm', '?')), sentence, tail


def _conclusion(last: Line) -> str:
    name = last.get('event')
    if name == 'answered':
        whole = 'its whole answer' if last.get('whole') else 'a part of it'
        return f'The caller got {whole}, status {last.get("status")}.'
    code = codes.ALL.get(str(last.get('code')))
    if code is None:
        return 'The log does not tell how it ended.'
    return f'The caller was told: {code.sentence.format_map(_Fields(last))}'
