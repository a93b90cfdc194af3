"""Traces one request through the log lines of several entry VMs.

The lines may be mixed and in any order, with other text between them.
The trace contains every line of the request in order of time. Each line is
preceded by the last state that its VM recorded for the servers it names.
"""

from collections.abc import Iterable
from typing import Any
from typing import Final

import msgspec

from foxtaildale import codes
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import logevents
from foxtaildale_client import exits
from foxtaildale_client import results

# Fields that name a server.
_SERVER_FIELDS: Final = ('server', 'prefill')
# Fields of every line; the trace formats them itself or omits them.
_COMMON_FIELDS: Final = frozenset(
    ('at', 'level', 'role', 'entry_vm', 'event', 'request', 'age_ms')
)

Line = dict[str, Any]


class RequestTrace(results.Result, frozen=True):
    """The logged decisions on a request."""

    request: str
    # For each line: seconds since the first line, VM, sentence, other fields.
    steps: tuple[tuple[float, str, str, str], ...]
    conclusion: str

    def text(self) -> str:
        """Returns the human-readable output."""
        lines = [f'request {self.request}']
        for after_s, entry_vm, sentence, rest in self.steps:
            lines.append(f'{after_s:+9.3f} s  {entry_vm}  {sentence}{rest}')
        return '\n'.join([*lines, self.conclusion])


def parse(texts: Iterable[str]) -> list[Line]:
    """Returns the log lines of a text, oldest first; skips other text."""
    parsed = []
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            line = decoding.decode(
                msgspec.json.decode, text[start:].encode(errors='replace')
            )
        except errors.DecodeError:
            # The line was truncated while it was written.
            continue
        if isinstance(line, dict) and isinstance(line.get('at'), int | float):
            parsed.append(line)
    return sorted(parsed, key=lambda line: line['at'])


def trace_request(lines: list[Line], request: str) -> results.Result:
    """Returns the trace of a request; a `Problem` if no line names it."""
    request_lines = [line for line in lines if line.get('request') == request]
    if not request_lines:
        return results.Problem(
            status=exits.Exit.NOT_FOUND,
            problems=(f'no line names request {request}',),
        )
    started_at = request_lines[0]['at']
    steps = []
    shown: set[int] = set()
    for line in request_lines:
        for server_state in _last_server_states(lines, line):
            if id(server_state) not in shown:
                shown.add(id(server_state))
                steps.append(_format_step(server_state, started_at))
        steps.append(_format_step(line, started_at))
    return RequestTrace(
        request=request,
        steps=tuple(steps),
        conclusion=_conclusion(request_lines[-1]),
    )


def _last_server_states(lines: list[Line], line: Line) -> list[Line]:
    """Returns the VM's last recorded states of the servers a line names."""
    states = []
    for name in {line.get(field) for field in _SERVER_FIELDS} - {None, ''}:
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
            states.append(last)
    return states


class _Fields(dict[str, Any]):
    """Substitutes a question mark for a field that a line lacks."""

    def __missing__(self, _key: str) -> str:
        return '?'


def _format_step(line: Line, started_at: float) -> tuple[float, str, str, str]:
    name = str(line.get('event', ''))
    event = logevents.ALL.get(name)
    template = event.sentence if event else name
    rest = [
        f'{field}={value}'
        for field, value in line.items()
        if field not in _COMMON_FIELDS and f'{{{field}}}' not in template
    ]
    tail = f'  ({", ".join(rest)})' if rest else ''
    sentence = template.format_map(_Fields(line))
    return (
        line['at'] - started_at,
        str(line.get('entry_vm', '?')),
        sentence,
        tail,
    )


def _conclusion(last: Line) -> str:
    name = last.get('event')
    if name == 'answered':
        whole = 'its whole answer' if last.get('whole') else 'a part of it'
        return f'The caller got {whole}, status {last.get("status")}.'
    code = codes.ALL.get(str(last.get('code')))
    if code is None:
        return 'The log does not tell how it ended.'
    return f'The caller was told: {code.sentence.format_map(_Fields(last))}'
