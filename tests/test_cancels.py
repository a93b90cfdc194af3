"""A cancel is repeated until an engine has answered it."""

from typing import Any

from foxtaildale import backends
from foxtaildale import errors
from foxtaildaled import cancels

_REQ = backends.CancelReq(request='r', holder='entry@vm-1#a')


class Engines:
    """Stands for the engines; fails as often as the test says."""

    def __init__(self, failures: list[errors.PortError]) -> None:
        self.failures = failures
        self.asked: list[str] = []

    def cancel(
        self, address: str, req: backends.CancelReq
    ) -> backends.CancelReply:
        del req
        self.asked.append(address)
        if self.failures:
            raise self.failures.pop()
        return backends.CancelReply(1)


class Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def _make(
    *failures: errors.PortError,
) -> tuple[cancels.CancelQueue, Engines, Clock]:
    engines: Any = Engines(list(failures))
    clock = Clock()
    return cancels.CancelQueue(engines, clock), engines, clock


def test_a_lost_cancel_is_sent_again() -> None:
    """The engine is cut off for a moment just when a caller leaves.

    Its entry is alive, so no reaper comes: the stream would be kept for good.
    """
    queue, engines, clock = _make(
        errors.NoReplyError('cut'), errors.UnreachableError('refused')
    )
    queue.add('e:1', _REQ)
    for _ in range(4):
        queue.send_due()
        clock.now += 1.0
    assert engines.asked == ['e:1'] * 3
    assert len(queue) == 0


def test_an_engine_that_knows_nothing_of_it_is_not_asked_again() -> None:
    queue, engines, _clock = _make(errors.RejectedError('gone'))
    queue.add('e:1', _REQ)
    queue.send_due()
    queue.send_due()
    assert engines.asked == ['e:1']


def test_a_callers_return_in_time_keeps_its_stream() -> None:
    """A connection is lost and the caller comes back within the grace time."""
    queue, engines, clock = _make()
    queue.add('e:1', _REQ, delay_s=5.0)
    clock.now = 4.0
    queue.send_due()
    queue.remove_request('r')
    clock.now = 6.0
    queue.send_due()
    assert engines.asked == []


def test_a_caller_that_does_not_return_frees_the_engine() -> None:
    queue, engines, clock = _make()
    queue.add('e:1', _REQ, delay_s=5.0)
    clock.now = 5.0
    queue.send_due()
    assert engines.asked == ['e:1']


def test_an_engine_that_is_no_longer_listed_is_given_up() -> None:
    """An engine died for good; asking it for ever would fill the queue."""
    queue, engines, clock = _make(errors.UnreachableError('refused'))
    queue.add('e:1', _REQ)
    queue.send_due()
    queue.remove_unlisted(frozenset({'e:2'}))
    clock.now += 1.0
    queue.send_due()
    assert engines.asked == ['e:1']


def test_an_engine_that_hangs_does_not_hold_up_the_others() -> None:
    """One engine hangs; ten callers of it and one of another leave.

    Each cancel for the first would wait for a time-out of its own before the
    other engine hears of its caller.
    """
    queue, engines, clock = _make(errors.NoReplyError('hangs'))
    for _ in range(10):
        queue.add('e:1', _REQ)
    queue.add('e:2', _REQ)
    queue.send_due()
    assert engines.asked == ['e:1', 'e:2']
    clock.now += 1.0
    queue.send_due()
    assert len(queue) == 0
