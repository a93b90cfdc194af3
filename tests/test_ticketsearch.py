"""Tickets run at most once, whatever comes late, twice or never.

The search goes through every state of one ticket that asks, voids, notes and
replies can reach while executor and witness die and their clocks drift or
stand still. Each proof takes one mechanism out and shows that the search finds
what then goes wrong.
"""

import msgspec
import pytest

from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale import witness
from tests import search
from tests import ticketworld

_STARTED = 'told "not run" of a request that was started'
_TWICE = 'started 2 times'
_CROSSED = 'told the answer of another request'


class StartWithoutNote(tickets.Executor):
    """Starts without hearing from the witness."""

    __slots__ = ()

    def on_witness(
        self, now: float, identity: str, reply: messages.WitnessReply | None
    ) -> tickets.Run | tickets.GiveUp:
        noted = messages.WitnessReply(status='noted')
        return super().on_witness(now, identity, noted)


class _TakeEveryReply(tickets.Executor):
    """Starts for each "noted", also when it decided before."""

    __slots__ = ()

    def on_witness(
        self, now: float, identity: str, reply: messages.WitnessReply | None
    ) -> tickets.Run | tickets.GiveUp:
        if reply is not None and reply.status == 'noted':
            return tickets.Run(identity)
        return super().on_witness(now, identity, reply)


class _NoFloor(tickets.Executor):
    """Takes what it forgot for what it never knew."""

    __slots__ = ()

    def expire(self, now: float) -> None:
        super().expire(now)
        self._entries.floor = float('-inf')


class _ForgetfulWitness(witness.Witness):
    """Notes whatever it doesn't know, however old."""

    __slots__ = ()

    def _is_judgeable(self, now: float, identity: str, stamp: float) -> bool:
        return True


class _ArrivalWitness(witness.Witness):
    """Counts lives from when it first hears of an identity."""

    __slots__ = ()

    def note(self, now: float, msg: messages.Note) -> messages.WitnessReply:
        arrived = msgspec.structs.replace(msg, witness_at=now)
        return super().note(now, arrived)


def _unknown_is_not_run(
    reply: messages.WitnessReply | None,
) -> tickets.Verdict:
    verdict = tickets.verdict(reply)
    if verdict.code is codes.UNKNOWN:
        return tickets.Verdict(codes.TICKET_VOID)
    return verdict


_START_WITHOUT_NOTE = ticketworld.Rules(executor_type=StartWithoutNote)
_TAKE_EVERY_REPLY = ticketworld.Rules(executor_type=_TakeEveryReply)
_NO_FLOOR = ticketworld.Rules(executor_type=_NoFloor)
_FORGETFUL_WITNESS = ticketworld.Rules(witness_type=_ForgetfulWitness)
_ARRIVAL_WITNESS = ticketworld.Rules(witness_type=_ArrivalWitness)
_LOOSE_VERDICT = ticketworld.Rules(verdict=_unknown_is_not_run)
_SAME_EXECUTOR = ticketworld.Rules(fresh_executor=False)
_SAME_WITNESS = ticketworld.Rules(fresh_witness=False)


def _search(rules: ticketworld.Rules) -> search.Result:
    return search.search(
        ticketworld.World(rules), ticketworld.moves, ticketworld.fault
    )


def test_no_state_of_a_ticket_is_false() -> None:
    """A check-in's messages are lost, doubled and late while processes die.

    A user would see a check-in logged twice, or repeat one that was called
    "not run" and is in the roster all the same.
    """
    result = _search(ticketworld.Rules())
    assert not result.fault, str(result)
    # Fewer would mean that moves are no longer tried.
    assert result.states > 5_000


@pytest.mark.parametrize(
    ('rules', 'fault', 'steps'),
    [
        (_START_WITHOUT_NOTE, _STARTED, 4),
        (_TAKE_EVERY_REPLY, _STARTED, 5),
        (_NO_FLOOR, _STARTED, 7),
        (_FORGETFUL_WITNESS, _STARTED, 6),
        (_ARRIVAL_WITNESS, _STARTED, 6),
        (_LOOSE_VERDICT, _STARTED, 5),
        (_SAME_EXECUTOR, _STARTED, 7),
        (_SAME_WITNESS, _STARTED, 6),
    ],
)
def test_the_search_finds_what_each_mechanism_prevents(
    rules: ticketworld.Rules, fault: str, steps: int
) -> None:
    """One mechanism is missing; a false answer is a few steps away."""
    result = _search(rules)
    assert result.fault == fault, str(result)
    assert len(result.trace) == steps, str(result)


@pytest.mark.parametrize(
    ('rules', 'steps'),
    [(_TAKE_EVERY_REPLY, 6), (_SAME_EXECUTOR, 8)],
)
def test_the_search_finds_a_second_start(
    rules: ticketworld.Rules, steps: int
) -> None:
    """A reply counts twice, or a restart keeps its name; two trucks go out."""
    result = search.search(
        ticketworld.World(rules), ticketworld.moves, _second_start
    )
    assert result.fault == _TWICE, str(result)
    assert len(result.trace) == steps, str(result)


def _second_start(world: ticketworld.World) -> str:
    return _TWICE if len(world.starts) > 1 else ''


def test_the_search_finds_an_unbound_body(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller uses one ticket for two different check-ins.

    Without the binding the second is answered with the first one's answer.
    """
    monkeypatch.setattr(tickets, 'digest', lambda call, body: 'same')
    result = _search(ticketworld.Rules())
    assert result.fault == _CROSSED, str(result)
    assert len(result.trace) == 6, str(result)
