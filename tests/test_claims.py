"""Claims at the edges that the search doesn't reach."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import claimlog
from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import keys
from foxtaildale import messages
from foxtaildale import values
from tests import fakelog


def _ask(request: str, key: str = 'c0.k', body: str = 'b') -> messages.AskClaim:
    return messages.AskClaim(
        service='reader', key=key, body=body, request=request, holder='e1'
    )


def _end(request: str, code: codes.Code = codes.OK) -> messages.EndClaim:
    outcome = values.Outcome(
        request=request,
        code=code.name,
        sentence='',
        revision=1,
        entry_vm='vm-1',
        at=0.0,
    )
    return messages.EndClaim(service='reader', key='c0.k', outcome=outcome)


def _keeper(log: fakelog.FakeLog, name: str = 'x') -> claims.Claims:
    keeper = claims.Claims(name, f'{name}:1')
    keeper.on_records(0.0, log.read(0))
    return keeper


def _status(settled: list[claims.Settled]) -> list[tuple[str, str]]:
    return [(request, reply.status) for request, reply in settled]


def test_many_claims_take_one_append() -> None:
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    for n in range(100):
        assert keeper.ask(0.0, _ask(f'r{n}', f'c0.k{n}')) is None
    settled = fakelog.step(log, keeper, 0.0)
    assert _status(settled) == [(f'r{n}', 'won') for n in range(100)]
    assert log.appends == 1


def test_the_loser_learns_owner_and_outcome() -> None:
    """A caller sends its summary to a second VM after an answer got lost."""
    log = fakelog.FakeLog()
    first = _keeper(log, 'x')
    second = _keeper(log, 'y')
    first.ask(0.0, _ask('r1'))
    second.ask(0.0, _ask('r2'))
    fakelog.step(log, first, 0.0)
    ((_, lost),) = fakelog.step(log, second, 0.0)
    assert (lost.status, lost.owner_address) == ('lost', 'x:1')
    question = messages.AskOutcome(service='reader', key='c0.k')
    assert first.outcome(question) is codes.IN_PROGRESS
    first.end(1.0, _end('r1'))
    assert first.outcome(question) == _end('r1').outcome
    fakelog.step(log, first, 1.0)
    fakelog.step(log, second, 1.0)
    known = second.ask(1.0, _ask('r3'))
    assert known is not None
    assert known.outcome == _end('r1').outcome


def test_another_body_is_an_error_for_good() -> None:
    """A caller's program uses one key for two patrol logs."""
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.ask(0.0, _ask('r1'))
    fakelog.step(log, keeper, 0.0)
    keeper.end(0.0, _end('r1', codes.NO_BACKEND))
    fakelog.step(log, keeper, 1.0)
    other = keeper.ask(1.0, _ask('r2', body='other'))
    assert other is not None
    assert other.status == 'other-body'
    assert keeper.ask(1.0, _ask('r3')) is None


def test_a_log_that_is_down_refuses_at_once_with_when_to_come_back() -> None:
    """The platform's log has an outage while summaries arrive.

    The caller must not wait in vain, and one that was refused may be sent
    again under the same key when the log is back.
    """
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.ask(0.0, _ask('r1'))
    assert keeper.batch(0.0)
    keeper.ask(0.0, _ask('r2', 'c0.other'))
    refused = keeper.on_append_failed(0.1, sent=False)
    assert _status(refused) == [('r1', 'log-down'), ('r2', 'log-down')]
    again = keeper.ask(0.2, _ask('r3'))
    assert again is not None
    assert again.status == 'log-down'
    assert 0 < again.retry_after_ms <= 1_000
    keeper.on_records(0.9, log.read(0))
    assert keeper.ask(0.9, _ask('r4')) is None
    assert _status(fakelog.step(log, keeper, 0.9)) == [('r4', 'won')]


@pytest.mark.parametrize('effect', ['before', 'after', 'twice'])
def test_a_lost_append_never_runs_and_does_not_keep_the_key(
    effect: str,
) -> None:
    """The answer to an append is lost, and its effect comes sooner or later.

    The claim must not run, for its caller was refused; and its key must not
    stay taken, or the summary would never be made.
    """
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.ask(0.0, _ask('r1'))
    ghost = keeper.batch(0.0)
    if effect != 'after':
        log.append(ghost)
    assert _status(keeper.on_append_failed(0.0, sent=True)) == [
        ('r1', 'log-down')
    ]
    if effect == 'twice':
        log.append(ghost)
    assert fakelog.step(log, keeper, 1.0) == []
    if effect != 'before':
        log.append(ghost)
    keeper.on_records(1.5, log.read(keeper.next_offset()))
    other = _keeper(log, 'y')
    other.ask(2.0, _ask('r2'))
    other.on_records(2.0, log.read(other.next_offset()))
    assert _status(fakelog.step(log, other, 2.0)) == [('r2', 'won')]


def test_a_silent_reader_refuses_at_once() -> None:
    """Appends work but reads hang, so no claim could be read back."""
    keeper = _keeper(fakelog.FakeLog())
    reply = keeper.ask(60.0, _ask('r1'))
    assert reply is not None
    assert reply.status == 'log-down'


def test_a_keeper_that_has_not_read_to_the_end_wins_nothing() -> None:
    """A VM starts anew and takes requests before it knows earlier claims."""
    reply = claims.Claims('x', 'x:1').ask(0.0, _ask('r1'))
    assert reply is not None
    assert reply.status == 'log-down'


def test_a_key_older_than_the_log_is_refused() -> None:
    """A caller repeats a summary whose claim has lapsed from the log."""
    log = fakelog.FakeLog()
    first = _keeper(log, 'x')
    first.ask(0.0, _ask('r1'))
    fakelog.step(log, first, 0.0)
    log.keep(0)
    reply = _keeper(log, 'y').ask(0.0, _ask('r2'))
    assert reply is not None
    assert claims.refusal(reply, first_try=True) is codes.KEY_OLD
    first.on_records(0.0, log.read(first.next_offset()))
    reply = first.ask(0.0, _ask('r2'))
    assert reply is not None
    assert reply.status == 'old'


def test_a_fresh_key_is_won_after_records_lapsed() -> None:
    log = fakelog.FakeLog()
    first = _keeper(log, 'x')
    first.ask(0.0, _ask('r1'))
    fakelog.step(log, first, 0.0)
    log.keep(0)
    keeper = _keeper(log, 'y')
    prefix = keeper.key_prefix()
    assert prefix == 'c1.'
    keeper.ask(0.0, _ask('r2', f'{prefix}k'))
    assert _status(fakelog.step(log, keeper, 0.0)) == [('r2', 'won')]


def test_waiting_ends_at_its_bound() -> None:
    """The log takes the append, but nothing can be read for a while."""
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.ask(0.0, _ask('r1'))
    log.append(keeper.batch(0.0))
    keeper.on_appended(0.0)
    assert keeper.expire(1.0) == []
    assert _status(keeper.expire(5.0)) == [('r1', 'log-down')]
    late = keeper.on_records(6.0, log.read(keeper.next_offset()))
    assert late == []


def test_many_keepers_share_the_appends() -> None:
    """The deployment grows to hundreds of VMs that all claim.

    If each went on appending as often, the log would have no room left for
    a switch of presets.
    """
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.on_members(320)
    for tick in range(100):
        now = tick * 0.1
        keeper.ask(now, _ask(f'r{tick}', f'c0.k{tick}'))
        assert keeper.expire(now) == []
        fakelog.step(log, keeper, now)
    assert log.appends == 5


def test_an_ask_that_comes_after_its_end_wins_nothing() -> None:
    """A message from an entry overtakes an earlier one."""
    keeper = _keeper(fakelog.FakeLog())
    keeper.end(0.0, _end('r1', codes.LOG_DOWN))
    reply = keeper.ask(0.0, _ask('r1'))
    assert reply is not None
    assert reply.status == 'log-down'


def test_an_outage_does_not_fill_the_memory() -> None:
    """Appends are lost for an hour while callers keep asking."""
    keeper = _keeper(fakelog.FakeLog())
    now = 0.0
    for n in range(400):
        now += 10.0
        keeper.on_records(now, fakelog.FakeLog().read(0))
        for m in range(20):
            keeper.ask(now, _ask(f'r{n}-{m}', f'c0.k{n}-{m}'))
        if keeper.batch(now):
            keeper.on_append_failed(now, sent=True)
    assert keeper.unwritten() <= 1_000


def test_a_holder_that_dies_leaves_its_requests_by_name() -> None:
    """An entry dies with a summary in progress; its keeper closes the claim."""
    log = fakelog.FakeLog()
    keeper = _keeper(log)
    keeper.ask(0.0, _ask('r1'))
    fakelog.step(log, keeper, 0.0)
    assert keeper.held_by('e1') == ['r1']
    keeper.end(0.0, _end('r1', codes.UNKNOWN))
    fakelog.step(log, keeper, 1.0)
    question = messages.AskOutcome(service='reader', key='c0.k')
    found = keeper.outcome(question)
    assert isinstance(found, values.Outcome)
    assert found.code == 'outcome-unknown'
    # The entry was only silent, and knows better.
    keeper.end(2.0, _end('r1'))
    fakelog.step(log, keeper, 2.0)
    assert keeper.outcome(question) == _end('r1').outcome


@pytest.mark.parametrize('key', ['', 'k', 'c.k', 'cx.k', 'c0.', 'c0.ä', 'c0'])
def test_what_is_no_key_is_refused(key: str) -> None:
    """A caller brings a key of its own making."""
    assert keys.stamp(key) is None
    reply = _keeper(fakelog.FakeLog()).ask(0.0, _ask('r1', key))
    assert reply is not None
    assert claims.refusal(reply, first_try=True) is codes.KEY_BAD


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_foreign_bytes_in_the_stream_are_passed_over(data: bytes) -> None:
    """Something else writes to the stream of claims."""
    log = fakelog.FakeLog()
    log.append([data])
    keeper = _keeper(log)
    keeper.ask(0.0, _ask('r1', 'c1.k'))
    assert _status(fakelog.step(log, keeper, 0.0)) == [('r1', 'won')]


def test_a_record_is_small() -> None:
    claim = claimlog.Claim(
        identity=b'0' * 16, stamp=1_000_000, request='r' * 16, body='b' * 32
    )
    record = claimlog.Record(
        owner='vm-1.abcdef', address='10.0.0.1:7000', items=(claim,) * 100
    )
    assert len(claimlog.encode(record)) < 100 * 90
