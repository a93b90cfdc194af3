"""Tests claims in cases that the state search doesn't cover."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import claimlog
from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import idempotency_keys
from foxtaildale import messages
from foxtaildale import values
from tests import fakelog


def _claim_request(
    request: str, key: str = 'c0.k', body: str = 'b'
) -> messages.ClaimRequest:
    return messages.ClaimRequest(
        service='reader',
        key=key,
        body_digest=body,
        request=request,
        holder='e1',
    )


def _claim_end(
    request: str, code: codes.Code = codes.OK
) -> messages.ClaimReport:
    outcome = values.Outcome(
        request=request,
        code=code.name,
        sentence='',
        revision=1,
        entry_vm='vm-1',
        at=0.0,
    )
    return messages.ClaimReport(service='reader', key='c0.k', outcome=outcome)


def _keeper(log: fakelog.FakeLog, name: str = 'x') -> claims.Claims:
    keeper = claims.Claims(name, f'{name}:1')
    keeper.on_records(0.0, log.read(0))
    return keeper


def _statuses(settled: list[claims.SettledClaim]) -> list[tuple[str, str]]:
    return [(request, reply.status) for request, reply in settled]


def test_many_claims_share_one_append() -> None:
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    for n in range(100):
        assert (
            keeper.request_claim(0.0, _claim_request(f'r{n}', f'c0.k{n}'))
            is None
        )
    settled = fakelog.append_and_read(log, keeper, 0.0)
    assert _statuses(settled) == [(f'r{n}', 'won') for n in range(100)]
    assert log.append_count == 1


def test_a_lost_claim_reports_owner_and_outcome() -> None:
    """A caller retries at a second VM after it lost the first response."""
    log = fakelog.FakeLog()
    first = _keeper(log, 'x')
    second = _keeper(log, 'y')
    first.request_claim(0.0, _claim_request('r1'))
    second.request_claim(0.0, _claim_request('r2'))
    fakelog.append_and_read(log, first, 0.0)
    ((_, lost),) = fakelog.append_and_read(log, second, 0.0)
    assert (lost.status, lost.owner_address) == ('lost', 'x:1')
    question = messages.OutcomeRequest(service='reader', key='c0.k')
    assert first.outcome(question) is codes.IN_PROGRESS
    first.record_outcome(1.0, _claim_end('r1'))
    assert first.outcome(question) == _claim_end('r1').outcome
    fakelog.append_and_read(log, first, 1.0)
    fakelog.append_and_read(log, second, 1.0)
    reply = second.request_claim(1.0, _claim_request('r3'))
    assert reply is not None
    assert reply.outcome == _claim_end('r1').outcome


def test_another_body_under_a_key_is_a_permanent_error() -> None:
    """A caller uses one key for two requests with different bodies."""
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.request_claim(0.0, _claim_request('r1'))
    fakelog.append_and_read(log, keeper, 0.0)
    keeper.record_outcome(0.0, _claim_end('r1', codes.NO_BACKEND))
    fakelog.append_and_read(log, keeper, 1.0)
    other = keeper.request_claim(1.0, _claim_request('r2', body='other'))
    assert other is not None
    assert other.status == 'other-body'
    assert keeper.request_claim(1.0, _claim_request('r3')) is None


def test_an_unavailable_log_refuses_at_once_with_a_retry_delay() -> None:
    """The platform's log has an outage while requests arrive.

    A caller must not wait for a claim that can't be made, and may retry a
    refused request under the same key when the log is available again.
    """
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.request_claim(0.0, _claim_request('r1'))
    assert keeper.take_batch(0.0)
    keeper.request_claim(0.0, _claim_request('r2', 'c0.other'))
    refused = keeper.on_append_failed(0.1, sent=False)
    assert _statuses(refused) == [('r1', 'log-down'), ('r2', 'log-down')]
    second_reply = keeper.request_claim(0.2, _claim_request('r3'))
    assert second_reply is not None
    assert second_reply.status == 'log-down'
    assert 0 < second_reply.retry_after_ms <= 1_000
    keeper.on_records(0.9, log.read(0))
    assert keeper.request_claim(0.9, _claim_request('r4')) is None
    assert _statuses(fakelog.append_and_read(log, keeper, 0.9)) == [
        ('r4', 'won')
    ]


@pytest.mark.parametrize('effect', ['before', 'after', 'twice'])
def test_a_lost_append_never_runs_and_does_not_block_the_key(
    effect: str,
) -> None:
    """The reply to an append is lost; the append takes effect then or later.

    The claim must not run, since its caller was refused. Its key must not stay
    claimed, or the request could never run.
    """
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.request_claim(0.0, _claim_request('r1'))
    lost_append = keeper.take_batch(0.0)
    if effect != 'after':
        log.append(lost_append)
    assert _statuses(keeper.on_append_failed(0.0, sent=True)) == [
        ('r1', 'log-down')
    ]
    if effect == 'twice':
        log.append(lost_append)
    assert fakelog.append_and_read(log, keeper, 1.0) == []
    if effect != 'before':
        log.append(lost_append)
    keeper.on_records(1.5, log.read(keeper.next_offset()))
    other = _keeper(log, 'y')
    other.request_claim(2.0, _claim_request('r2'))
    other.on_records(2.0, log.read(other.next_offset()))
    assert _statuses(fakelog.append_and_read(log, other, 2.0)) == [
        ('r2', 'won')
    ]


def test_stalled_log_reads_refuse_at_once() -> None:
    """Appends work but reads hang, so no claim can be read back."""
    keeper = _keeper(fakelog.FakeLog())
    reply = keeper.request_claim(60.0, _claim_request('r1'))
    assert reply is not None
    assert reply.status == 'log-down'


def test_a_keeper_that_has_not_read_to_the_end_wins_nothing() -> None:
    """A restarted VM gets a request before it has read earlier claims."""
    reply = claims.Claims('x', 'x:1').request_claim(0.0, _claim_request('r1'))
    assert reply is not None
    assert reply.status == 'log-down'


def test_a_key_older_than_the_log_is_refused() -> None:
    """A caller repeats a request whose claim has expired from the log."""
    log = fakelog.FakeLog()
    first = _keeper(log, 'x')
    first.request_claim(0.0, _claim_request('r1'))
    fakelog.append_and_read(log, first, 0.0)
    log.expire_all_but(0)
    reply = _keeper(log, 'y').request_claim(0.0, _claim_request('r2'))
    assert reply is not None
    assert claims.refusal_of_reply(reply, first_attempt=True) is codes.KEY_OLD
    first.on_records(0.0, log.read(first.next_offset()))
    reply = first.request_claim(0.0, _claim_request('r2'))
    assert reply is not None
    assert reply.status == 'old'


def test_a_new_key_is_won_after_records_expired() -> None:
    log = fakelog.FakeLog()
    first = _keeper(log, 'x')
    first.request_claim(0.0, _claim_request('r1'))
    fakelog.append_and_read(log, first, 0.0)
    log.expire_all_but(0)
    keeper = _keeper(log, 'y')
    prefix = keeper.key_prefix()
    assert prefix == 'c1.'
    keeper.request_claim(0.0, _claim_request('r2', f'{prefix}k'))
    assert _statuses(fakelog.append_and_read(log, keeper, 0.0)) == [
        ('r2', 'won')
    ]


def test_a_waiting_request_times_out() -> None:
    """The log accepts the append, but reads are unavailable for a while."""
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.request_claim(0.0, _claim_request('r1'))
    log.append(keeper.take_batch(0.0))
    keeper.on_appended(0.0)
    assert keeper.expire(1.0) == []
    assert _statuses(keeper.expire(5.0)) == [('r1', 'log-down')]
    late = keeper.on_records(6.0, log.read(keeper.next_offset()))
    assert late == []


def test_many_keepers_share_the_append_rate() -> None:
    """Hundreds of VMs append claims to one log.

    If the append rate of each did not fall with their number, the log would
    have no capacity left for a switch of presets.
    """
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.set_keeper_count(320)
    for tick in range(100):
        now = tick * 0.1
        keeper.request_claim(now, _claim_request(f'r{tick}', f'c0.k{tick}'))
        assert keeper.expire(now) == []
        fakelog.append_and_read(log, keeper, now)
    assert log.append_count == 5


def test_a_request_that_arrives_after_its_end_wins_nothing() -> None:
    """The end of a claim arrives before its request, by reordering."""
    keeper = _keeper(fakelog.FakeLog())
    keeper.record_outcome(0.0, _claim_end('r1', codes.LOG_DOWN))
    reply = keeper.request_claim(0.0, _claim_request('r1'))
    assert reply is not None
    assert reply.status == 'log-down'


def test_unwritten_records_stay_bounded_in_an_outage() -> None:
    """Appends are lost for over an hour while callers keep sending requests."""
    keeper = _keeper(fakelog.FakeLog())
    now = 0.0
    for n in range(400):
        now += 10.0
        keeper.on_records(now, fakelog.FakeLog().read(0))
        for m in range(20):
            keeper.request_claim(
                now, _claim_request(f'r{n}-{m}', f'c0.k{n}-{m}')
            )
        if keeper.take_batch(now):
            keeper.on_append_failed(now, sent=True)
    assert keeper.pending_count() <= 1_000


def test_the_requests_of_a_crashed_holder_can_be_listed() -> None:
    """An entry crashes during a request; its keeper ends the claim."""
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.request_claim(0.0, _claim_request('r1'))
    fakelog.append_and_read(log, keeper, 0.0)
    assert keeper.won_by('e1') == ['r1']
    keeper.record_outcome(0.0, _claim_end('r1', codes.UNKNOWN))
    fakelog.append_and_read(log, keeper, 1.0)
    question = messages.OutcomeRequest(service='reader', key='c0.k')
    closed = keeper.outcome(question)
    assert isinstance(closed, values.Outcome)
    assert closed.code == 'outcome-unknown'
    # The entry was only unreachable; the outcome that it reports replaces
    # "unknown".
    keeper.record_outcome(2.0, _claim_end('r1'))
    fakelog.append_and_read(log, keeper, 2.0)
    assert keeper.outcome(question) == _claim_end('r1').outcome


@pytest.mark.parametrize('key', ['', 'k', 'c.k', 'cx.k', 'c0.', 'c0.ä', 'c0'])
def test_an_invalid_key_is_refused(key: str) -> None:
    """A caller sends a key that no keeper issued."""
    assert idempotency_keys.key_offset(key) is None
    reply = _keeper(fakelog.FakeLog()).request_claim(
        0.0, _claim_request('r1', key)
    )
    assert reply is not None
    assert claims.refusal_of_reply(reply, first_attempt=True) is codes.KEY_BAD


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_foreign_bytes_in_the_stream_are_passed_over(data: bytes) -> None:
    """Another program writes to the stream of claims."""
    log = fakelog.FakeLog()
    log.append([data])
    keeper = _keeper(log)
    keeper.request_claim(0.0, _claim_request('r1', 'c1.k'))
    assert _statuses(fakelog.append_and_read(log, keeper, 0.0)) == [
        ('r1', 'won')
    ]


def test_a_record_is_small() -> None:
    claim = claimlog.Claim(
        identity=b'0' * 16, stamp=1_000_000, request='r' * 16, body='b' * 32
    )
    record = claimlog.Record(
        owner='vm-1.abcdef', address='10.0.0.1:7000', items=(claim,) * 100
    )
    assert len(claimlog.encode(record)) < 100 * 90
