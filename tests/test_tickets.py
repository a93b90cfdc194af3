"""Executors and witnesses at the edges that the search doesn't reach."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale import values
from foxtaildale import witness

_LIFE_S = 10.0


def _executor(limit: int = 100, answer_bytes: int = 100) -> tickets.Executor:
    executor = tickets.Executor(
        'e',
        '127.0.0.1:1',
        b'secret',
        _LIFE_S,
        limit=limit,
        answer_bytes=answer_bytes,
    )
    executor.on_reading(0.0, 'w', messages.WitnessReply(status='reading'))
    return executor


def _ticket(executor: tickets.Executor, now: float = 0.0) -> messages.Ticket:
    ticket = executor.mint(now, 'desk', 'w', '127.0.0.1:2')
    assert ticket is not None
    return ticket


def _outcome(request: str = 'r') -> values.Outcome:
    return values.Outcome(
        request=request,
        code='ok',
        sentence='',
        revision=1,
        entry_vm='vm-1',
        at=0.0,
    )


def _run(
    executor: tickets.Executor, ticket: messages.Ticket, answer: bytes
) -> None:
    assert isinstance(executor.admit(0.0, ticket, 'c', b''), tickets.SendNote)
    noted = messages.WitnessReply(status='noted')
    run = executor.on_witness(0.0, ticket.identity, noted)
    assert isinstance(run, tickets.Run)
    assert executor.finish(0.0, ticket.identity, _outcome(), answer)


def test_a_ticket_survives_a_header() -> None:
    ticket = _ticket(_executor())
    text = tickets.to_text(ticket)
    assert text.isascii()
    assert tickets.from_text(text) == ticket


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text(max_size=300) | strategies.binary().map(str))
def test_garbage_is_no_ticket(text: str) -> None:
    """A caller sends anything in the ticket's header.

    An entry that died of it would take other callers' requests with it.
    """
    ticket = tickets.from_text(text)
    assert ticket is None or isinstance(ticket, messages.Ticket)


@pytest.mark.parametrize(
    'change',
    [
        {'identity': 'e.2'},
        {'executor': 'other'},
        {'witness': 'other'},
        {'minted_at': 99.0},
        {'witness_at': 99.0},
        {'mac': 'é'},
        {'mac': ''},
    ],
)
def test_a_forged_ticket_is_refused(change: dict[str, object]) -> None:
    """A caller changes a ticket to give it a longer life or another witness."""
    executor = _executor()
    forged = msgspec.structs.replace(_ticket(executor), **change)
    assert executor.check(forged, 'desk') is codes.TICKET_BAD


def test_a_ticket_of_another_service_is_refused() -> None:
    """A caller sends a ticket of one service to another."""
    executor = _executor()
    assert executor.check(_ticket(executor), 'desk') is None
    assert executor.check(_ticket(executor), 'queue') is codes.TICKET_BAD


def test_another_vm_checks_the_same_secret() -> None:
    other = tickets.Executor('x', '127.0.0.1:3', b'secret', _LIFE_S)
    assert other.check(_ticket(_executor()), 'desk') is None


def test_no_ticket_is_minted_without_a_fresh_reading() -> None:
    """The witness has been silent for long, or was replaced.

    A ticket with its old reading would be refused by it when it is used.
    """
    executor = _executor()
    assert executor.mint(0.0, 'desk', 'other', '127.0.0.1:2') is None
    assert executor.mint(_LIFE_S, 'desk', 'w', '127.0.0.1:2') is None
    stranger = messages.WitnessReply(status='stranger')
    executor.on_reading(0.0, 'w', stranger)
    assert executor.mint(0.0, 'desk', 'w', '127.0.0.1:2') is None


def test_a_late_ticket_did_not_run_and_a_forgotten_one_is_unknown() -> None:
    """A caller keeps a ticket for too long, used or unused.

    While the executor remembers, it can still say that it did not run; after
    that it must not.
    """
    executor = _executor()
    ticket = _ticket(executor)
    late = executor.admit(_LIFE_S + 1, ticket, 'c', b'')
    assert late == tickets.Refuse(codes.TICKET_OLD)
    used = _ticket(executor)
    _run(executor, used, b'')
    forgotten = executor.admit(2 * _LIFE_S + 1, used, 'c', b'')
    assert forgotten == tickets.Refuse(codes.UNKNOWN)


def test_a_full_executor_never_runs_what_it_may_have_forgotten() -> None:
    """More check-ins arrive than an executor can remember."""
    executor = _executor(limit=2)
    used = [_ticket(executor, now=0.001 * n) for n in range(3)]
    for ticket in used:
        _run(executor, ticket, b'')
    again = executor.admit(0.0, used[0], 'c', b'')
    assert again == tickets.Refuse(codes.UNKNOWN)
    known = executor.admit(0.0, used[2], 'c', b'')
    assert known == tickets.Known(_outcome())


def test_answers_share_a_bounded_room() -> None:
    """Long answers would fill the memory; then only outcomes are kept."""
    executor = _executor(answer_bytes=10)
    first = _ticket(executor)
    second = _ticket(executor)
    _run(executor, first, b'12345678')
    _run(executor, second, b'12345678')
    kept = executor.admit(0.0, first, 'c', b'')
    assert kept == tickets.Known(_outcome(), b'12345678')
    dropped = executor.admit(0.0, second, 'c', b'')
    assert dropped == tickets.Known(_outcome())
    executor.expire(2 * _LIFE_S + 1)
    assert executor.dump()['answer_bytes'] == 0


def test_a_full_witness_calls_old_what_it_may_have_forgotten() -> None:
    """More identities are voided than a witness can remember.

    If it took a forgotten void for a new identity, the late note of the
    executor would start a request that was called "not run".
    """
    keeper = witness.Witness('w', remember_s=100.0, limit=2)
    for n in range(3):
        at = float(n)
        void = messages.Void(
            identity=f'i{n}', witness='w', body='b', witness_at=at
        )
        assert keeper.void(at, void).status == 'voided'
    note = messages.Note(identity='i0', witness='w', body='b', witness_at=0.0)
    assert keeper.note(3.0, note).status == 'old'


def test_a_stranger_notes_nothing() -> None:
    """A keeper restarts at the address of the one that a ticket names."""
    keeper = witness.Witness('w2')
    note = messages.Note(identity='i', witness='w', body='b', witness_at=0.0)
    assert keeper.note(0.0, note).status == 'stranger'
    void = messages.Void(identity='i', witness='w', body='b', witness_at=0.0)
    verdict = tickets.verdict(keeper.void(0.0, void))
    assert verdict.code is codes.UNKNOWN


def test_a_told_answer_reaches_who_asks_the_witness() -> None:
    """The executor dies after the run; the caller asks at another VM."""
    executor = _executor()
    keeper = witness.Witness('w')
    ticket = _ticket(executor)
    admission = executor.admit(0.0, ticket, 'c', b'')
    assert isinstance(admission, tickets.SendNote)
    noted = keeper.note(0.0, admission.note)
    executor.on_witness(0.0, ticket.identity, noted)
    void = tickets.void(ticket, 'c', b'')
    assert tickets.verdict(keeper.void(0.0, void)).code is codes.UNKNOWN
    tell = executor.finish(0.0, ticket.identity, _outcome(), b'answer')
    assert tell is not None
    keeper.tell(0.0, tell)
    verdict = tickets.verdict(keeper.void(0.0, void))
    assert verdict == tickets.Verdict(codes.DONE_BEFORE, _outcome(), b'answer')
    other = tickets.void(ticket, 'c', b'other')
    assert tickets.verdict(keeper.void(0.0, other)).code is codes.OTHER_BODY
