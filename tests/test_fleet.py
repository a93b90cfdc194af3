"""Which backend server a request is sent to."""

import random

import pytest

from foxtaildale import fleet
from foxtaildale import forwarding


def _backend(
    name: str, stage: forwarding.Stage = '', *, leaving: bool = False
) -> forwarding.Backend:
    return forwarding.Backend(
        id=name,
        service='s',
        address='127.0.0.1:1',
        data_centre='here',
        slots=6,
        leaving=leaving,
        stage=stage,
    )


def _fleet(*names: str) -> fleet.Fleet:
    found = fleet.Fleet('here', random.Random(1))
    for name in names:
        found.put(_backend(name))
    return found


def _order(found: fleet.Fleet, now: float = 0.0) -> list[str]:
    return [tally.backend.id for tally in found.candidates('s', now)]


def test_the_least_loaded_goes_first() -> None:
    found = _fleet('a', 'b', 'c')
    for name in ('a', 'a', 'b'):
        found.sent(name)
    assert _order(found) == ['c', 'b', 'a']


def test_a_fresh_report_tells_of_the_requests_of_others() -> None:
    found = _fleet('a', 'b')
    found.loaded('a', 0.0, forwarding.Load(running=5, waiting=0, slots=6))
    assert _order(found, 0.1) == ['b', 'a']


def test_an_old_report_tells_nothing() -> None:
    """A server was busy for a moment, half a second ago.

    Passing it over for longer would load the others for nothing.
    """
    found = _fleet('a', 'b')
    found.loaded('a', 0.0, forwarding.Load(running=5, waiting=0, slots=6))
    found.sent('b')
    assert _order(found, fleet.LOAD_FRESH_S + 0.1) == ['a', 'b']


def test_a_failing_server_is_passed_over_and_tried_again() -> None:
    """A server fails a part of its requests while its health check is good.

    Callers see errors for as long as it gets its full share.
    """
    found = _fleet('a', 'b')
    found.failed('a', 0.0)
    for _ in range(3):
        found.sent('b')
    assert _order(found, 0.1) == ['b', 'a']
    assert _order(found, 4 * fleet.FAULT_HALF_S) == ['a', 'b']


def test_a_slow_server_gets_less() -> None:
    found = _fleet('a', 'b', 'c')
    for name, took_s in (('a', 0.5), ('b', 0.06), ('c', 0.06)):
        for _ in range(20):
            found.answered(name, 0.0, took_s)
    for name in ('b', 'c'):
        for _ in range(3):
            found.sent(name)
    assert _order(found)[-1] == 'a'


def test_a_leaving_server_gets_nothing() -> None:
    found = _fleet('a', 'b')
    found.put(_backend('a', leaving=True))
    assert _order(found) == ['b']
    assert found.usable('a', 0.0) is None


@pytest.mark.parametrize(('well', 'left'), [(True, []), (False, ['a'])])
def test_an_entry_that_lapsed_while_the_store_was_away(
    well: bool, left: list[str]
) -> None:
    """The store was down for longer than entries live, and lost them all.

    The servers live on and register again within two seconds; taken for gone,
    they would leave every caller refused meanwhile. With a store that was
    well, a lapsed entry means a dead server.
    """
    found = _fleet('a')
    found.remove('a', 10.0, store_well=well)
    assert _order(found, 10.5) == left
    assert _order(found, 10.0 + fleet.VANISHED_S + 0.1) == []


def test_an_entry_that_came_back_stays() -> None:
    found = _fleet('a')
    found.remove('a', 10.0, store_well=False)
    found.put(_backend('a'))
    assert _order(found, 20.0) == ['a']


def test_a_server_that_announced_to_leave_is_gone_at_once() -> None:
    found = _fleet('a')
    found.put(_backend('a', leaving=True))
    found.remove('a', 10.0, store_well=False)
    assert found.tally('a') is None


def test_no_stage_is_taken_out_whole() -> None:
    """A fault that all workers of a stage share makes each of them fail.

    Without any left the service would refuse everybody.
    """
    found = fleet.Fleet('here', random.Random(1))
    for name in ('d1', 'd2'):
        found.put(_backend(name, 'decode'))
        found.failed(name, 0.0)
    for name in ('p1', 'p2'):
        found.put(_backend(name, 'prefill'))
    found.failed('p1', 0.0)
    assert found.faulty('s', 0.1) == ('p1',)
    assert found.faulty('s', 10 * fleet.FAULT_HALF_S) == ()


def test_counts_of_unknown_servers_are_ignored() -> None:
    found = _fleet('a')
    for call in (found.sent, found.ended):
        call('x')
    found.failed('x', 0.0)
    found.full('x', 0.0)
    found.answered('x', 0.0)
    assert _order(found) == ['a']


@pytest.mark.parametrize(('status', 'left'), [(421, ['b']), (503, ['b', 'a'])])
def test_a_server_that_promised_not_to_have_run(
    status: int, left: list[str]
) -> None:
    """Another server has its address, or it had no room for a moment."""
    found = _fleet('a', 'b')
    head = forwarding.Head(status=status, headers=(), ran='no')
    found.not_run('a', 0.0, misdirected=head.misdirected)
    assert _order(found, 0.01) == left
