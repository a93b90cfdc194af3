"""Checks the history of a concurrent run against what must always hold.

A run records what callers and operators sent and got, and what the backend
servers themselves say they executed. `check` returns a verdict for each thing
that is not as it must be, with the events that show it; none means that all is
well. Times are seconds on one clock of the test.

"Not run" speaks of the try that it answers and of all that its caller sent
under the same identity before; of a ticket it speaks for ever.
"""

import collections
from collections.abc import Iterator
from typing import Literal

import msgspec

from foxtaildale import codes
from foxtaildale import values


class Invocation(msgspec.Struct, frozen=True, kw_only=True):
    """A caller sent a request; each try has a request id of its own."""

    request: str
    caller: str
    service: str
    at: float
    # Ticket or key; empty if the request may be repeated freely.
    identity: str = ''
    rule: values.Once = 'none'
    # The request itself, or its digest.
    body: str = ''


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """What reached a caller of an answer, and what its last event said."""

    # The request that the answer itself says it belongs to.
    request: str
    # Positions of the pieces in the order in which they came.
    positions: tuple[int, ...]
    # Digest of the pieces as they came.
    digest: str
    # From the last event.
    said_count: int
    said_digest: str


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """The final answer to a try; `answer` is there if it is a whole one."""

    request: str
    at: float
    code: str
    answer: Answer | None = None


class Execution(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server's own record."""

    backend_server: str
    # The try that it was sent for.
    request: str
    service: str
    at: float
    identity: str = ''
    body: str = ''
    # Digest of the result; empty if there is none.
    result: str = ''


class Seen(msgspec.Struct, frozen=True, kw_only=True):
    """A VM or an operator saw a preset in force."""

    by: str
    at: float
    revision: int
    digest: str


Event = Invocation | Response | Execution | Seen
Rule = Literal[
    'at-most-once',
    'true-refusal',
    'true-run',
    'whole-answer',
    'one-answer',
    'known-request',
    'one-preset',
    'no-reverting',
]


class Verdict(msgspec.Struct, frozen=True):
    """Something that must not be, and the events that show it."""

    rule: Rule
    text: str
    events: tuple[Event, ...]

    def __str__(self) -> str:
        lines = [f'{self.rule}: {self.text}']
        lines += [f'  {event}' for event in self.events]
        return '\n'.join(lines)


class History:
    """The events of one run, in any order."""

    __slots__ = ('executions', 'invocations', 'responses', 'seen')

    def __init__(self) -> None:
        self.invocations: list[Invocation] = []
        self.responses: list[Response] = []
        self.executions: list[Execution] = []
        self.seen: list[Seen] = []

    def add(self, event: Event) -> None:
        """Records an event; lists take appends from several threads."""
        match event:
            case Invocation():
                self.invocations.append(event)
            case Response():
                self.responses.append(event)
            case Execution():
                self.executions.append(event)
            case Seen():
                self.seen.append(event)

    def unknown(self) -> list[Response]:
        """Returns the responses that leave open whether the request ran."""
        return [
            response
            for response in self.responses
            if codes.ran(response.code) == 'unknown'
        ]

    def unanswered(self) -> list[Invocation]:
        """Returns the tries that got no final answer."""
        answered = {response.request for response in self.responses}
        return [inv for inv in self.invocations if inv.request not in answered]


def check(history: History) -> list[Verdict]:
    """Returns everything that is not as it must be."""
    verdicts = [
        *_at_most_once(history),
        *_known_requests(history),
        *_one_answer(history),
        *_presets(history),
    ]
    by_request = {inv.request: inv for inv in history.invocations}
    for response in history.responses:
        inv = by_request.get(response.request)
        if inv is not None:
            verdicts += _truth(history, inv, response)
            verdicts += _whole(history, inv, response)
    return verdicts


def _at_most_once(history: History) -> Iterator[Verdict]:
    groups = collections.defaultdict(list)
    for run in history.executions:
        if run.identity:
            groups[run.service, run.identity].append(run)
    for (_, identity), runs in groups.items():
        if len(runs) > 1:
            text = f'{identity} was executed {len(runs)} times'
            yield Verdict('at-most-once', text, tuple(runs))


def _known_requests(history: History) -> Iterator[Verdict]:
    sent = {inv.request for inv in history.invocations}
    events: list[Response | Execution] = [
        *history.responses,
        *history.executions,
    ]
    for event in events:
        if event.request not in sent:
            text = f'nobody sent {event.request}'
            yield Verdict('known-request', text, (event,))


def _one_answer(history: History) -> Iterator[Verdict]:
    groups = collections.defaultdict(list)
    for response in history.responses:
        groups[response.request].append(response)
    for request, responses in groups.items():
        if len(responses) > 1:
            text = f'{request} was answered {len(responses)} times'
            yield Verdict('one-answer', text, tuple(responses))


def _truth(
    history: History, inv: Invocation, response: Response
) -> Iterator[Verdict]:
    """Compares what a response says of the run with the backend's records."""
    ran = codes.ran(response.code)
    runs = [run for run in history.executions if _is_same(inv, run)]
    if ran == 'yes' and not runs:
        text = f'{inv.request} was said to have run, and nothing ran'
        yield Verdict('true-run', text, (inv, response))
    if ran != 'no':
        return
    covered = _covered(history, inv)
    for run in runs:
        if inv.rule == 'ticket' or run.request in covered:
            text = f'{inv.request} was said not to have run'
            yield Verdict('true-refusal', text, (inv, response, run))


def _is_same(inv: Invocation, run: Execution) -> bool:
    """Whether an execution is of the request that was asked for."""
    if not inv.identity:
        return run.request == inv.request
    return (run.service, run.identity, run.body) == (
        inv.service,
        inv.identity,
        inv.body,
    )


def _covered(history: History, inv: Invocation) -> set[str]:
    """Returns the tries that a "not run" to this one speaks of."""
    return {inv.request} | {
        other.request
        for other in history.invocations
        if inv.identity
        and (other.service, other.identity) == (inv.service, inv.identity)
        and other.at < inv.at
    }


def _whole(
    history: History, inv: Invocation, response: Response
) -> Iterator[Verdict]:
    answer = response.answer
    if answer is None:
        return
    runs = [run for run in history.executions if _is_same(inv, run)]
    faults = []
    if answer.request not in {inv.request, *(run.request for run in runs)}:
        faults.append(f'the answer belongs to {answer.request}')
    if answer.positions != tuple(range(len(answer.positions))):
        faults.append('pieces are missing, doubled or out of order')
    if len(answer.positions) != answer.said_count:
        faults.append(f'{len(answer.positions)} pieces came')
    if answer.digest != answer.said_digest:
        faults.append('the digest differs')
    results = {run.result for run in runs if run.result}
    if results and answer.digest not in results:
        faults.append('the backend server made another answer')
    if faults:
        events: list[Event] = [inv, response, *runs]
        yield Verdict('whole-answer', '; '.join(faults), tuple(events))


def _presets(history: History) -> Iterator[Verdict]:
    first: dict[int, Seen] = {}
    latest: dict[str, Seen] = {}
    for seen in sorted(history.seen, key=lambda event: event.at):
        other = first.setdefault(seen.revision, seen)
        if other.digest != seen.digest:
            text = f'two presets are revision {seen.revision}'
            yield Verdict('one-preset', text, (other, seen))
        before = latest.get(seen.by)
        if before and before.revision > seen.revision:
            text = f'{seen.by} went back'
            yield Verdict('no-reverting', text, (before, seen))
        latest[seen.by] = seen
