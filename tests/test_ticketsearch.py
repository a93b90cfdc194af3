"""Tickets run at most once, whatever comes late, twice or never.

The search goes through every state of one ticket that asks, voids, notes and
replies can reach while executor and witness die and their clocks drift or
stand still. Each proof takes one mechanism out and shows that the search finds
what then goes wrong.
"""

from collections.abc import Callable

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


class _StartWithoutNote(tickets.Executor):
    """Starts without hearing from the witness."""

    __slots__ = ()

    def on_witness(
        self, now: float, identity: str, reply: messages.WitnessReply | None
    ) -> tickets.Run | tickets.GiveUp | None:
        noted = messages.WitnessReply(status='noted')
        return super().on_witness(now, identity, noted)


class _TakeEveryReply(tickets.Executor):
    """Starts for each "noted", also when it decided before."""

    __slots__ = ()

    def on_witness(
        self, now: float, identity: str, reply: messages.WitnessReply | None
    ) -> tickets.Run | tickets.GiveUp | None:
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


def _rules() -> ticketworld.Rules:
    return ticketworld.Rules()


def _start_without_note() -> ticketworld.Rules:
    rules = _rules()
    rules.executor = _StartWithoutNote
    return rules


def _take_every_reply() -> ticketworld.Rules:
    rules = _rules()
    rules.executor = _TakeEveryReply
    return rules


def _no_floor() -> ticketworld.Rules:
    rules = _rules()
    rules.executor = _NoFloor
    return rules


def _forgetful_witness() -> ticketworld.Rules:
    rules = _rules()
    rules.witness = _ForgetfulWitness
    return rules


def _arrival_witness() -> ticketworld.Rules:
    rules = _rules()
    rules.witness = _ArrivalWitness
    return rules


def _loose_verdict() -> ticketworld.Rules:
    rules = _rules()
    rules.verdict = _unknown_is_not_run
    return rules


def _same_executor() -> ticketworld.Rules:
    rules = _rules()
    rules.fresh_executor = False
    return rules


def _same_witness() -> ticketworld.Rules:
    rules = _rules()
    rules.fresh_witness = False
    return rules


def _search(rules: ticketworld.Rules) -> search.Result:
    return search.search(
        ticketworld.World(rules), ticketworld.moves, ticketworld.fault
    )


def test_no_state_of_a_ticket_is_false() -> None:
    """A check-in's messages are lost, doubled and late while processes die.

    A user would see a check-in logged twice, or repeat one that was called
    "not run" and is in the roster all the same.
    """
    result = _search(_rules())
    assert not result.fault, str(result)
    # Fewer would mean that moves are no longer tried.
    assert result.states > 5_000


@pytest.mark.parametrize(
    ('rules', 'fault', 'steps'),
    [
        (_start_without_note, _STARTED, 4),
        (_take_every_reply, _STARTED, 5),
        (_no_floor, _STARTED, 7),
        (_forgetful_witness, _STARTED, 6),
        (_arrival_witness, _STARTED, 6),
        (_loose_verdict, _STARTED, 5),
        (_same_executor, _STARTED, 7),
        (_same_witness, _STARTED, 6),
    ],
)
def test_the_search_finds_what_each_mechanism_prevents(
    rules: Callable[[], ticketworld.Rules], fault: str, steps: int
) -> None:
    """One mechanism is missing; a false answer is a few steps away."""
    result = _search(rules())
    assert result.fault == fault, str(result)
    assert len(result.trace) == steps, str(result)


@pytest.mark.parametrize(
    ('rules', 'steps'),
    [(_take_every_reply, 6), (_same_executor, 8)],
)
def test_the_search_finds_a_second_start(
    rules: Callable[[], ticketworld.Rules], steps: int
) -> None:
    """A reply counts twice, or a restart keeps its name; two trucks go out."""
    result = search.search(
        ticketworld.World(rules()), ticketworld.moves, _second_start
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
    result = _search(_rules())
    assert result.fault == _CROSSED, str(result)
    assert len(result.trace) == 6, str(result)
