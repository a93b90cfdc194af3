"""The history checker is red on each kind of bad history, and green on good.

A checker that misses a kind would call a run proved in which an aircraft was
treated twice.
"""

import msgspec
import pytest

from tests import history


def _sent(
    request: str, at: float = 0.0, rule: str = 'ticket', body: str = 'b'
) -> history.Invocation:
    inv = history.Invocation(
        request=request,
        caller='c',
        service='desk',
        at=at,
        identity='' if rule == 'none' else 'id-1',
        body=body,
    )
    return msgspec.structs.replace(inv, rule=rule)


def _ran(
    request: str, at: float = 1.0, rule: str = 'ticket', body: str = 'b'
) -> history.Execution:
    return history.Execution(
        backend_server='s1',
        request=request,
        service='desk',
        at=at,
        identity='' if rule == 'none' else 'id-1',
        body=body,
        result='d',
    )


def _got(request: str, code: str = 'ok', at: float = 2.0) -> history.Response:
    answer = None
    if code == 'ok':
        answer = history.Answer(
            request=request,
            positions=(0, 1),
            digest='d',
            said_count=2,
            said_digest='d',
        )
    return history.Response(request=request, at=at, code=code, answer=answer)


def _whole(sent: str, **change: object) -> history.Response:
    response = _got(sent)
    assert response.answer is not None
    answer = msgspec.structs.replace(response.answer, **change)
    return msgspec.structs.replace(response, answer=answer)


def _seen(by: str, at: float, revision: int, digest: str) -> history.Seen:
    return history.Seen(by=by, at=at, revision=revision, digest=digest)


def _check(events: list[history.Event]) -> list[str]:
    run = history.History()
    for event in events:
        run.add(event)
    return [verdict.rule for verdict in history.check(run)]


_GOOD: dict[str, list[history.Event]] = {
    'one run, one answer': [_sent('r1'), _ran('r1'), _got('r1')],
    'refused and never run': [_sent('r1'), _got('r1', 'ticket-void')],
    'unknown, run or not': [_sent('r1'), _ran('r1'), _got('r1', 'failed')],
    'a repeated key after "not run"': [
        _sent('r1', 0.0, 'claim'),
        _got('r1', 'log-down', 0.5),
        _sent('r2', 0.6, 'claim'),
        _ran('r2', 1.0, 'claim'),
        _got('r2'),
    ],
    'an old outcome to a second try': [
        _sent('r1'),
        _ran('r1'),
        _sent('r2', 1.5),
        _whole('r2', request='r1'),
    ],
    'another body under the identity': [
        _sent('r1'),
        _ran('r1'),
        _sent('r2', 0.5, body='other'),
        _got('r2', 'other-body'),
    ],
    'requests without identity run freely': [
        _sent('r1', rule='none'),
        _sent('r2', rule='none'),
        _ran('r1', rule='none'),
        _ran('r2', rule='none'),
    ],
    'presets in order': [
        _seen('vm-1', 0.0, 1, 'a'),
        _seen('vm-2', 0.1, 1, 'a'),
        _seen('vm-1', 0.2, 3, 'c'),
        _seen('vm-2', 0.3, 2, 'b'),
    ],
}

_BAD: dict[str, tuple[list[history.Event], list[str]]] = {
    'run twice': (
        [_sent('r1'), _sent('r2'), _ran('r1'), _ran('r2', 5.0)],
        ['at-most-once'],
    ),
    'refused after the run': (
        [_sent('r1'), _ran('r1'), _got('r1', 'ticket-void')],
        ['true-refusal'],
    ),
    'refused before the run': (
        [_sent('r1'), _got('r1', 'ticket-void', 0.5), _ran('r1')],
        ['true-refusal'],
    ),
    'a ticket refused at one VM and run by a later try': (
        [
            _sent('r1'),
            _got('r1', 'ticket-void', 0.5),
            _sent('r2', 0.6),
            _ran('r2'),
        ],
        ['true-refusal'],
    ),
    'a key refused while an earlier try runs': (
        [
            _sent('r1', 0.0, 'claim'),
            _sent('r2', 0.1, 'claim'),
            _got('r2', 'log-down', 0.5),
            _ran('r1', 1.0, 'claim'),
        ],
        ['true-refusal'],
    ),
    'a repeatable request refused and run': (
        [
            _sent('r1', rule='none'),
            _ran('r1', rule='none'),
            _got('r1', 'no-capacity'),
        ],
        ['true-refusal'],
    ),
    'an answer to what never ran': (
        [_sent('r1'), _got('r1')],
        ['true-run'],
    ),
    "another request's answer": (
        [_sent('r1'), _ran('r1'), _whole('r1', request='r9')],
        ['whole-answer'],
    ),
    'a piece is missing': (
        [_sent('r1'), _ran('r1'), _whole('r1', positions=(0, 2))],
        ['whole-answer'],
    ),
    'a piece comes twice': (
        [_sent('r1'), _ran('r1'), _whole('r1', positions=(0, 0, 1))],
        ['whole-answer'],
    ),
    'the answer breaks off': (
        [_sent('r1'), _ran('r1'), _whole('r1', positions=(0,))],
        ['whole-answer'],
    ),
    'the digest differs': (
        [_sent('r1'), _ran('r1'), _whole('r1', said_digest='e')],
        ['whole-answer'],
    ),
    'not what the backend server made': (
        [
            _sent('r1'),
            _ran('r1'),
            _whole('r1', digest='e', said_digest='e'),
        ],
        ['whole-answer'],
    ),
    'answered twice': (
        [_sent('r1'), _ran('r1'), _got('r1'), _got('r1', at=3.0)],
        ['one-answer'],
    ),
    'an answer nobody asked for': ([_got('r1')], ['known-request']),
    'a run nobody asked for': ([_ran('r1')], ['known-request']),
    'two presets with one revision': (
        [_seen('vm-1', 0.0, 1, 'a'), _seen('vm-2', 0.0, 1, 'b')],
        ['one-preset'],
    ),
    'a VM goes back': (
        [_seen('vm-1', 0.0, 2, 'b'), _seen('vm-1', 1.0, 1, 'a')],
        ['no-reverting'],
    ),
}


@pytest.mark.parametrize('name', _GOOD)
def test_a_good_history_is_green(name: str) -> None:
    assert _check(_GOOD[name]) == []


@pytest.mark.parametrize('name', _BAD)
def test_a_bad_history_is_red(name: str) -> None:
    """Something that must not happen is in the events."""
    events, rules = _BAD[name]
    assert _check(events) == rules


def test_a_verdict_shows_its_events() -> None:
    run = history.History()
    for event in (_sent('r1'), _ran('r1'), _got('r1', 'ticket-void')):
        run.add(event)
    (verdict,) = history.check(run)
    lines = str(verdict).splitlines()
    assert lines[0] == 'true-refusal: r1 was said not to have run'
    assert len(lines) == 4


def test_unknown_and_unanswered_are_counted() -> None:
    run = history.History()
    for event in (_sent('r1'), _sent('r2'), _got('r1', 'outcome-unknown')):
        run.add(event)
    assert [response.request for response in run.unknown()] == ['r1']
    assert [inv.request for inv in run.unanswered()] == ['r2']
