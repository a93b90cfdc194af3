"""Tests that a ticket runs at most once under message loss and crashes.

The search visits every state of one ticket that requests, voids, notes and
replies can reach while the executor and the witness crash and their clocks
drift or stand still. Further tests remove one mechanism each and check that
the search detects the resulting fault.
"""

import msgspec
import pytest

from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale import witness
from tests import search
from tests import ticketworld

_FALSE_NOT_RUN = 'told "not run" of a request that was started'
_STARTED_TWICE = 'started 2 times'
_WRONG_RESPONSE = 'told the answer of another request'


class StartWithoutNote(tickets.Executor):
    """Starts a request whatever the witness replies, or without a reply."""

    __slots__ = ()

    def on_start_reply(
        self, now: float, identity: str, reply: messages.WitnessReply | None
    ) -> tickets.Run | tickets.Abandon:
        noted = messages.WitnessReply(status='noted')
        return super().on_start_reply(now, identity, noted)


class _StartOnEveryReply(tickets.Executor):
    """Starts a request for each "noted" reply, even after its decision."""

    __slots__ = ()

    def on_start_reply(
        self, now: float, identity: str, reply: messages.WitnessReply | None
    ) -> tickets.Run | tickets.Abandon:
        if reply is not None and reply.status == 'noted':
            return tickets.Run(identity)
        return super().on_start_reply(now, identity, reply)


class _NoFloor(tickets.Executor):
    """Treats tickets with evicted entries as new tickets."""

    __slots__ = ()

    def expire(self, now: float) -> None:
        super().expire(now)
        self._entries.floor = float('-inf')


class _NoAgeLimitWitness(witness.Witness):
    """Accepts notes for unknown identities of any age."""

    __slots__ = ()

    def _is_decidable(self, now: float, identity: str, stamp: float) -> bool:
        return True


class _ArrivalWitness(witness.Witness):
    """Measures the age of an identity from the arrival of its note."""

    __slots__ = ()

    def record_start(
        self, now: float, msg: messages.StartRequest
    ) -> messages.WitnessReply:
        arrived = msgspec.structs.replace(msg, witness_clock=now)
        return super().record_start(now, arrived)


def _unknown_is_not_run(
    reply: messages.WitnessReply | None,
) -> tickets.Verdict:
    verdict = tickets.verdict_on_void(reply)
    if verdict.code is codes.UNKNOWN:
        return tickets.Verdict(codes.TICKET_VOID)
    return verdict


_START_WITHOUT_NOTE = ticketworld.Rules(executor_type=StartWithoutNote)
_START_ON_EVERY_REPLY = ticketworld.Rules(executor_type=_StartOnEveryReply)
_NO_FLOOR = ticketworld.Rules(executor_type=_NoFloor)
_NO_AGE_LIMIT_WITNESS = ticketworld.Rules(witness_type=_NoAgeLimitWitness)
_ARRIVAL_WITNESS = ticketworld.Rules(witness_type=_ArrivalWitness)
_UNKNOWN_IS_NOT_RUN = ticketworld.Rules(verdict=_unknown_is_not_run)
_REUSED_EXECUTOR_NAME = ticketworld.Rules(new_executor_name=False)
_REUSED_WITNESS_NAME = ticketworld.Rules(new_witness_name=False)


def _search(rules: ticketworld.Rules) -> search.Result:
    return search.search(
        ticketworld.World(rules), ticketworld.moves, ticketworld.fault
    )


def test_no_reachable_state_of_a_ticket_has_a_fault() -> None:
    """Messages are lost, duplicated and delayed while processes crash.

    A fault would run a request twice, or make a caller repeat one that was
    reported as "not run" although it ran.
    """
    result = _search(ticketworld.Rules())
    assert not result.fault, str(result)
    # A lower count means that the search no longer tries some moves.
    assert result.states > 5_000


@pytest.mark.parametrize(
    ('rules', 'fault', 'steps'),
    [
        (_START_WITHOUT_NOTE, _FALSE_NOT_RUN, 4),
        (_START_ON_EVERY_REPLY, _FALSE_NOT_RUN, 5),
        (_NO_FLOOR, _FALSE_NOT_RUN, 7),
        (_NO_AGE_LIMIT_WITNESS, _FALSE_NOT_RUN, 6),
        (_ARRIVAL_WITNESS, _FALSE_NOT_RUN, 6),
        (_UNKNOWN_IS_NOT_RUN, _FALSE_NOT_RUN, 5),
        (_REUSED_EXECUTOR_NAME, _FALSE_NOT_RUN, 7),
        (_REUSED_WITNESS_NAME, _FALSE_NOT_RUN, 6),
    ],
)
def test_the_search_detects_a_removed_mechanism(
    rules: ticketworld.Rules, fault: str, steps: int
) -> None:
    """Without one mechanism, a caller gets a false response after few moves."""
    result = _search(rules)
    assert result.fault == fault, str(result)
    assert len(result.trace) == steps, str(result)


@pytest.mark.parametrize(
    ('rules', 'steps'),
    [(_START_ON_EVERY_REPLY, 6), (_REUSED_EXECUTOR_NAME, 8)],
)
def test_the_search_detects_a_second_start(
    rules: ticketworld.Rules, steps: int
) -> None:
    """A repeated reply or a reused executor name starts a request twice."""
    result = search.search(
        ticketworld.World(rules), ticketworld.moves, _second_start
    )
    assert result.fault == _STARTED_TWICE, str(result)
    assert len(result.trace) == steps, str(result)


def _second_start(world: ticketworld.World) -> str:
    return _STARTED_TWICE if len(world.started) > 1 else ''


def test_the_search_detects_an_unbound_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller uses one ticket for two requests with different bodies.

    If the ticket isn't bound to a body, the second request gets the response
    to the first.
    """
    monkeypatch.setattr(tickets, 'digest', lambda call, body: 'same')
    result = _search(ticketworld.Rules())
    assert result.fault == _WRONG_RESPONSE, str(result)
    assert len(result.trace) == 6, str(result)
