"""The world of one ticket, for the exhaustive search.

A message once sent stays under way: it may arrive now, later, again or never,
so loss, doubling, delay and reordering need no moves of their own. Executor
and witness have clocks of their own that any move may advance, or not.
"""

from collections.abc import Callable
from collections.abc import Iterator
import functools

import msgspec

from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildale import values
from foxtaildale import witness
from tests import search

LIFE_S = 10.0
REMEMBER_S = 20.0
# Readings that the clocks can show: fresh, past the life, past every memory.
EXECUTOR_TIMES = (0.0, LIFE_S + 1, 2 * LIFE_S + 1)
WITNESS_TIMES = (0.0, REMEMBER_S + 1)
BODIES = (b'a', b'b')
CALL = 'log'


class Told(msgspec.Struct, frozen=True):
    """What a caller was told of the request with `body`."""

    body: bytes
    ran: str
    # The run that the answer belongs to; empty if it is no answer.
    answer: bytes = b''


class Rules:
    """Which objects and which rules a world uses; proofs take some out."""

    __slots__ = (
        'executor',
        'fresh_executor',
        'fresh_witness',
        'verdict',
        'witness',
    )

    def __init__(self) -> None:
        self.executor: type[tickets.Executor] = tickets.Executor
        self.witness: type[witness.Witness] = witness.Witness
        self.verdict: Callable[
            [messages.WitnessReply | None], tickets.Verdict
        ] = tickets.verdict
        # Whether a restart makes a new incarnation.
        self.fresh_executor = True
        self.fresh_witness = True


def outcome(code: codes.Code) -> values.Outcome:
    """Returns an outcome as an entry would make it."""
    return values.Outcome(
        request='r',
        code=code.name,
        sentence='',
        revision=0,
        entry_vm='vm',
        at=0.0,
    )


class World:
    """One ticket, its executor and witness, and everybody who asks."""

    __slots__ = (
        'executor',
        'executor_at',
        'in_hand',
        'incarnation',
        'net',
        'rules',
        'running',
        'starts',
        'ticket',
        'told',
        'used',
        'witness',
        'witness_at',
        'witness_name',
    )

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        self.executor_at = 0.0
        self.witness_at = 0.0
        self.incarnation = 'e'
        self.witness_name = 'w'
        self.executor = rules.executor('e', 'e:1', b'secret', LIFE_S)
        self.witness = rules.witness('w', REMEMBER_S)
        reading = self.witness.read(0.0, messages.AskReading(witness='w'))
        self.executor.on_reading(0.0, 'w', reading)
        ticket = self.executor.mint(0.0, 'desk', 'w', 'w:1')
        assert ticket is not None
        self.ticket = ticket
        # Messages to the witness, and its replies to the executor's note.
        self.net: frozenset[
            messages.Note | messages.Tell | messages.WitnessReply
        ] = frozenset()
        # Bodies that the executor has the right to send, but did not yet.
        self.in_hand: tuple[bytes, ...] = ()
        # Bodies sent to the backend server, and one that runs there now.
        self.starts: tuple[bytes, ...] = ()
        self.running = b''
        self.told: frozenset[Told] = frozenset()
        # Whether anybody asked yet.
        self.used = False

    def tell(
        self,
        body: bytes,
        code: codes.Code,
        result: values.Outcome | None = None,
        answer: bytes = b'',
    ) -> None:
        """Answers the caller of `body`."""
        ran = codes.ran(result.code) if result else code.ran
        if ran == 'unknown':
            # It can't be false, and would only multiply the states.
            return
        told = Told(body, ran, answer if ran == 'yes' else b'')
        self.told |= {told}


def moves(world: World) -> Iterator[search.Move[World]]:
    """Yields everything that can happen next."""
    # The bodies are alike, so that `a` is always the first to be used.
    for body in BODIES if world.used else BODIES[:1]:
        yield _move('ask executor', _ask, body)
        yield _move('void', _void, body)
    for msg in sorted(world.net, key=repr):
        yield _move('deliver', _deliver, msg)
    yield _move('no reply to the note', _no_reply, b'')
    if world.in_hand:
        yield _move('send to the backend server', _send, b'')
    if world.running:
        yield _move('the run ends', _end, b'')
        yield _move('the run breaks off', _break_off, b'')
    if world.incarnation in ('e', 'e0'):
        yield _move('executor dies', _restart_executor, b'')
    if world.witness_name in ('w', 'w0'):
        yield _move('witness dies', _restart_witness, b'')
    if world.executor_at < EXECUTOR_TIMES[-1]:
        yield _move('executor clock', _advance_executor, b'')
    if world.witness_at < WITNESS_TIMES[-1]:
        yield _move('witness clock', _advance_witness, b'')


def fault(world: World) -> str:
    """Returns what must never be; empty if all is well."""
    if len(world.starts) > 1:
        return f'started {len(world.starts)} times'
    for told in world.told:
        if told.ran == 'no' and told.body in world.starts:
            return 'told "not run" of a request that was started'
        if told.answer and told.answer != told.body:
            return 'told the answer of another request'
        if told.ran == 'yes' and told.body not in world.starts:
            return 'told that a request ran which was not started'
    return ''


def _move(
    name: str, make: Callable[..., None], arg: object
) -> search.Move[World]:
    label = f'{name} {arg!r}' if arg else name
    return search.Move(label, functools.partial(_call, make, arg))


def _call(make: Callable[..., None], arg: object, world: World) -> None:
    make(world, arg)


def _ask(world: World, body: bytes) -> None:
    world.used = True
    admission = world.executor.admit(
        world.executor_at, world.ticket, CALL, body
    )
    match admission:
        case tickets.SendNote(note=note):
            world.net |= {note}
        case tickets.Known(outcome=result, answer=answer):
            world.tell(body, codes.DONE_BEFORE, result, answer)
        case tickets.Refuse(code=code):
            world.tell(body, code)


def _void(world: World, body: bytes) -> None:
    world.used = True
    reply = world.witness.void(
        world.witness_at, tickets.void(world.ticket, CALL, body)
    )
    verdict = world.rules.verdict(reply)
    world.tell(body, verdict.code, verdict.outcome, verdict.answer)


def _deliver(
    world: World,
    msg: messages.Note | messages.Tell | messages.WitnessReply,
) -> None:
    match msg:
        case messages.Note():
            world.net |= {world.witness.note(world.witness_at, msg)}
        case messages.Tell():
            world.witness.tell(world.witness_at, msg)
        case messages.WitnessReply():
            _reply(world, msg)


def _no_reply(world: World, _: object) -> None:
    _reply(world, None)


def _reply(world: World, reply: messages.WitnessReply | None) -> None:
    identity = world.ticket.identity
    decided = world.executor.on_witness(world.executor_at, identity, reply)
    match decided:
        case tickets.Run():
            world.in_hand = (*world.in_hand, _noted_body(world))
        case tickets.GiveUp(code=code):
            _finish(world, _noted_body(world), outcome(code), b'')


def _noted_body(world: World) -> bytes:
    """Returns the body that this incarnation sent its note for."""
    noted = {msg.body for msg in world.net if isinstance(msg, messages.Note)}
    for body in BODIES:
        if tickets.digest(CALL, body) in noted:
            return body
    raise AssertionError('a reply without a note')


def _send(world: World, _: object) -> None:
    body, *rest = world.in_hand
    world.in_hand = tuple(rest)
    world.starts = (*world.starts, body)
    world.running = body


def _end(world: World, _: object) -> None:
    body, world.running = world.running, b''
    _finish(world, body, outcome(codes.OK), body)


def _break_off(world: World, _: object) -> None:
    body, world.running = world.running, b''
    _finish(world, body, outcome(codes.FAILED), b'')


def _finish(
    world: World, body: bytes, result: values.Outcome, answer: bytes
) -> None:
    world.tell(body, codes.OK, result, answer)
    tell = world.executor.finish(
        world.executor_at, world.ticket.identity, result, answer
    )
    if tell:
        world.net |= {tell}


def _restart_executor(world: World, _: object) -> None:
    world.incarnation = 'e2'
    name = 'e2' if world.rules.fresh_executor else 'e'
    world.executor = world.rules.executor(name, 'e:1', b'secret', LIFE_S)
    # What it had in hand died with it; a run at the backend server goes on.
    world.in_hand = ()
    world.running = b''


def _restart_witness(world: World, _: object) -> None:
    world.witness_name = 'w2'
    name = 'w2' if world.rules.fresh_witness else 'w'
    world.witness = world.rules.witness(name, REMEMBER_S)


def _advance_executor(world: World, _: object) -> None:
    world.executor_at = _next(EXECUTOR_TIMES, world.executor_at)


def _advance_witness(world: World, _: object) -> None:
    world.witness_at = _next(WITNESS_TIMES, world.witness_at)


def _next(times: tuple[float, ...], now: float) -> float:
    return times[times.index(now) + 1]
