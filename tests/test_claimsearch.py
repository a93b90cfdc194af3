"""A key runs at most once, whatever becomes of the log and its readers.

The search goes through every state of one key that two VMs claim, with a
number of failures at any points: appends that are lost, late or doubled,
keepers that restart, entries that give up, and records that lapse. Each proof
takes one mechanism out and shows that the search finds what then goes wrong.
"""

import msgspec
import pytest

from foxtaildale import claimlog
from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import messages
from tests import claimworld
from tests import search

_STARTED = 'told "not run" of a request that was started'
_TWICE = 'started 2 times'
_THREE_TRIES = (
    claimworld.Try('r1', 'x'),
    claimworld.Try('r2', 'y'),
    claimworld.Try('r3', 'y'),
)


def _won(request: str) -> claims.Settled:
    return request, messages.ClaimReply(status='won', request=request)


class _RunUnread(claims.Claims):
    """Runs as soon as the append is answered, without reading it back."""

    __slots__ = ()

    def ask(
        self, now: float, msg: messages.AskClaim
    ) -> messages.ClaimReply | None:
        reply = super().ask(now, msg)
        if reply is None and self._appends.take(now):
            return _won(msg.request)[1]
        return reply


class RunAfterLostAppend(claims.Claims):
    """Takes an append without an answer for one that took effect."""

    __slots__ = ()

    def on_append_failed(self, now: float, sent: bool) -> list[claims.Settled]:
        waiting = list(self._waiting)
        settled = super().on_append_failed(now, sent)
        return [_won(request) for request in waiting] if sent else settled


class _NoStart(claims.Claims):
    """Takes what it never read for what never was."""

    __slots__ = ()

    def _start(self, first: int) -> None:
        super()._start(first)
        self._fold = claimlog.Fold(0)


class _FirstComeNoFold(claimlog.Fold):
    """Takes a key that carries an offset from the future."""

    __slots__ = ()

    def apply(
        self, offset: int, record: claimlog.Record, item: claimlog.Item
    ) -> claimlog.Result:
        return super().apply(max(offset, item.stamp), record, item)


class _ReleaseOfAnother(claimlog.Fold):
    """Lets a release free the key whoever holds it."""

    __slots__ = ()

    def _release(
        self, holding: claimlog.Holding, item: claimlog.Release
    ) -> None:
        own = msgspec.structs.replace(item, request=holding.request)
        super()._release(holding, own)


def _not_run(code: codes.Code, first_try: bool) -> codes.Code:
    return code


def _search(rules: claimworld.Rules) -> search.Result:
    return search.search(
        claimworld.World(rules), claimworld.moves, claimworld.fault
    )


def test_no_state_of_a_key_is_false_with_one_failure() -> None:
    """A summary's caller tries at two VMs while one thing goes wrong.

    A user would pay for the summary twice, or be told that it did not run and
    find it on the bill. A search with two failures takes minutes; see
    docs/design/once.md for its command.
    """
    result = _search(claimworld.Rules(failures=1))
    assert not result.fault, str(result)
    # Fewer would mean that moves are no longer tried.
    assert result.states > 4_000


@pytest.mark.parametrize(
    ('rules', 'fault', 'steps'),
    [
        (claimworld.Rules(keeper=_RunUnread, failures=0), _TWICE, 4),
        (
            claimworld.Rules(keeper=RunAfterLostAppend, failures=1),
            _TWICE,
            8,
        ),
        (claimworld.Rules(keeper=_NoStart, failures=1), _TWICE, 10),
        (claimworld.Rules(covering=_not_run, failures=1), _STARTED, 6),
    ],
)
def test_the_search_finds_what_each_mechanism_prevents(
    rules: claimworld.Rules, fault: str, steps: int
) -> None:
    """One mechanism is missing; a double bill is a few steps away."""
    result = _search(rules)
    assert result.fault == fault, str(result)
    assert len(result.trace) == steps, str(result)


@pytest.mark.parametrize(
    ('fold', 'rules', 'fault', 'steps'),
    [
        (
            _FirstComeNoFold,
            claimworld.Rules(key='c2.tower', failures=1),
            _TWICE,
            10,
        ),
        (
            _ReleaseOfAnother,
            claimworld.Rules(tries=_THREE_TRIES, failures=1),
            _TWICE,
            10,
        ),
    ],
)
def test_the_search_finds_a_fold_that_forgets(
    fold: type[claimlog.Fold],
    rules: claimworld.Rules,
    fault: str,
    steps: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The records are added up by other rules; a double bill is near."""
    monkeypatch.setattr(claimlog, 'Fold', fold)
    result = _search(rules)
    assert result.fault == fault, str(result)
    assert len(result.trace) == steps, str(result)


def test_a_future_key_is_safe_in_every_state() -> None:
    """A caller forges a key that carries an offset to come."""
    result = _search(claimworld.Rules(key='c2.tower', failures=1))
    assert not result.fault, str(result)
