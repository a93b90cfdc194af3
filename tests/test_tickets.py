"""Tests executors and witnesses in cases the state search doesn't cover."""

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale import values
from foxtaildale import witness

_LIFETIME_S = 10.0


def _executor(
    limit: int = 100, max_response_bytes: int = 100
) -> tickets.Executor:
    executor = tickets.Executor(
        'e',
        '127.0.0.1:1',
        b'secret',
        _LIFETIME_S,
        limit=limit,
        max_response_bytes=max_response_bytes,
    )
    executor.on_witness_clock(0.0, 'w', messages.WitnessReply(status='reading'))
    return executor


def _ticket(executor: tickets.Executor, now: float = 0.0) -> messages.Ticket:
    ticket = executor.issue(now, 'desk', 'w', '127.0.0.1:2')
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


def _admit_and_finish(
    executor: tickets.Executor, ticket: messages.Ticket, response: bytes
) -> None:
    assert isinstance(executor.admit(0.0, ticket, 'c', b''), tickets.SendStart)
    noted = messages.WitnessReply(status='noted')
    run = executor.on_start_reply(0.0, ticket.identity, noted)
    assert isinstance(run, tickets.Run)
    assert executor.finish(0.0, ticket.identity, _outcome(), response)


def test_a_ticket_round_trips_through_a_header() -> None:
    ticket = _ticket(_executor())
    text = tickets.to_text(ticket)
    assert text.isascii()
    assert tickets.from_text(text) == ticket


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text(max_size=300) | strategies.binary().map(str))
def test_garbage_is_no_ticket(text: str) -> None:
    """A caller may send arbitrary text in the ticket header.

    A crash of the entry process would fail other callers' requests too.
    """
    ticket = tickets.from_text(text)
    assert ticket is None or isinstance(ticket, messages.Ticket)


@pytest.mark.parametrize(
    'change',
    [
        {'identity': 'e.2'},
        {'executor': 'other'},
        {'witness': 'other'},
        {'issued_at': 99.0},
        {'witness_clock': 99.0},
        {'mac': 'é'},
        {'mac': ''},
    ],
)
def test_a_forged_ticket_is_refused(change: dict[str, object]) -> None:
    """A caller alters a ticket to extend its lifetime or change its witness."""
    executor = _executor()
    forged = msgspec.structs.replace(_ticket(executor), **change)
    assert executor.verify(forged, 'desk') is codes.TICKET_BAD


def test_a_ticket_of_another_service_is_refused() -> None:
    """A caller presents the ticket of one service to another service."""
    executor = _executor()
    assert executor.verify(_ticket(executor), 'desk') is None
    assert executor.verify(_ticket(executor), 'queue') is codes.TICKET_BAD


def test_another_vm_checks_the_same_secret() -> None:
    other = tickets.Executor('x', '127.0.0.1:3', b'secret', _LIFETIME_S)
    assert other.verify(_ticket(_executor()), 'desk') is None


def test_no_ticket_is_minted_without_a_recent_reading() -> None:
    """The witness has not replied for a ticket lifetime, or was replaced.

    It would refuse a ticket that carries its outdated clock reading.
    """
    executor = _executor()
    assert executor.issue(0.0, 'desk', 'other', '127.0.0.1:2') is None
    assert executor.issue(_LIFETIME_S, 'desk', 'w', '127.0.0.1:2') is None
    stranger = messages.WitnessReply(status='stranger')
    executor.on_witness_clock(0.0, 'w', stranger)
    assert executor.issue(0.0, 'desk', 'w', '127.0.0.1:2') is None


def test_an_expired_ticket_did_not_run_and_an_evicted_one_is_unknown() -> None:
    """A caller presents an expired ticket, used or unused.

    The executor may report "not run" only while it retains the ticket's
    entry; after that the outcome is unknown.
    """
    executor = _executor()
    ticket = _ticket(executor)
    late = executor.admit(_LIFETIME_S + 1, ticket, 'c', b'')
    assert late == tickets.Refuse(codes.TICKET_OLD)
    used = _ticket(executor)
    _admit_and_finish(executor, used, b'')
    after_eviction = executor.admit(2 * _LIFETIME_S + 1, used, 'c', b'')
    assert after_eviction == tickets.Refuse(codes.UNKNOWN)


def test_a_full_executor_never_runs_a_ticket_it_may_have_evicted() -> None:
    """More requests arrive than the executor can retain entries for."""
    executor = _executor(limit=2)
    used = [_ticket(executor, now=0.001 * n) for n in range(3)]
    for ticket in used:
        _admit_and_finish(executor, ticket, b'')
    second_reply = executor.admit(0.0, used[0], 'c', b'')
    assert second_reply == tickets.Refuse(codes.UNKNOWN)
    latest_reply = executor.admit(0.0, used[2], 'c', b'')
    assert latest_reply == tickets.AlreadyFinished(_outcome())


def test_retained_responses_share_a_memory_limit() -> None:
    """Beyond the limit for response bytes, only outcomes are retained.

    Long responses would otherwise exhaust the memory.
    """
    executor = _executor(max_response_bytes=10)
    first = _ticket(executor)
    second = _ticket(executor)
    _admit_and_finish(executor, first, b'12345678')
    _admit_and_finish(executor, second, b'12345678')
    retained = executor.admit(0.0, first, 'c', b'')
    assert retained == tickets.AlreadyFinished(_outcome(), b'12345678')
    evicted = executor.admit(0.0, second, 'c', b'')
    assert evicted == tickets.AlreadyFinished(_outcome())
    executor.expire(2 * _LIFETIME_S + 1)
    assert executor.dump()['answer_bytes'] == 0


def test_a_full_witness_reports_identities_it_may_have_evicted_as_old() -> None:
    """More identities are voided than the witness can retain.

    If it treated an evicted void as a new identity, a late note of the
    executor would start a request that was reported as "not run".
    """
    keeper = witness.Witness('w', remember_s=100.0, limit=2)
    for n in range(3):
        at = float(n)
        void = messages.VoidRequest(
            identity=f'i{n}', witness='w', body_digest='b', witness_clock=at
        )
        assert keeper.void(at, void).status == 'voided'
    note = messages.StartRequest(
        identity='i0', witness='w', body_digest='b', witness_clock=0.0
    )
    assert keeper.record_start(3.0, note).status == 'old'


def test_a_replaced_witness_records_no_note() -> None:
    """A new witness runs at the address of the one that the ticket names."""
    keeper = witness.Witness('w2')
    note = messages.StartRequest(
        identity='i', witness='w', body_digest='b', witness_clock=0.0
    )
    assert keeper.record_start(0.0, note).status == 'stranger'
    void = messages.VoidRequest(
        identity='i', witness='w', body_digest='b', witness_clock=0.0
    )
    verdict = tickets.verdict_on_void(keeper.void(0.0, void))
    assert verdict.code is codes.UNKNOWN


def test_the_witness_returns_a_response_that_the_executor_reported() -> None:
    """The executor crashes after the run; the caller retries at another VM."""
    executor = _executor()
    keeper = witness.Witness('w')
    ticket = _ticket(executor)
    admission = executor.admit(0.0, ticket, 'c', b'')
    assert isinstance(admission, tickets.SendStart)
    noted = keeper.record_start(0.0, admission.note)
    executor.on_start_reply(0.0, ticket.identity, noted)
    void = tickets.void_request(ticket, 'c', b'')
    assert tickets.verdict_on_void(keeper.void(0.0, void)).code is codes.UNKNOWN
    tell = executor.finish(0.0, ticket.identity, _outcome(), b'answer')
    assert tell is not None
    keeper.record_outcome(0.0, tell)
    verdict = tickets.verdict_on_void(keeper.void(0.0, void))
    assert verdict == tickets.Verdict(codes.DONE_BEFORE, _outcome(), b'answer')
    other = tickets.void_request(ticket, 'c', b'other')
    assert (
        tickets.verdict_on_void(keeper.void(0.0, other)).code
        is codes.OTHER_BODY
    )


def test_an_identity_evicted_before_its_note_reply_never_runs() -> None:
    """An entry is evicted under load while its note awaits the reply.

    The executor no longer knows whether it started the request, so it must
    not start it.
    """
    executor = _executor(limit=1)
    first = _ticket(executor)
    executor.admit(0.0, first, 'c', b'')
    executor.admit(0.0, _ticket(executor), 'c', b'')
    noted = messages.WitnessReply(status='noted')
    decision = executor.on_start_reply(0.0, first.identity, noted)
    assert decision == tickets.Abandon(first.identity, codes.UNKNOWN)
    assert executor.finish(0.0, first.identity, _outcome()) is None
