"""The state space of one ticket, for the exhaustive search.

A sent message stays in transit: it may arrive now, later, again or never, so
loss, duplication, delay and reordering need no separate moves. The executor
and the witness have separate clocks that advance independently of each other
and of all other moves.
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

TICKET_LIFETIME_S = 10.0
RETENTION_S = 20.0
# Clock readings: at the start, after the ticket's lifetime, and after every
# retention period.
EXECUTOR_TIMES = (0.0, TICKET_LIFETIME_S + 1, 2 * TICKET_LIFETIME_S + 1)
WITNESS_TIMES = (0.0, RETENTION_S + 1)
BODIES = (b'a', b'b')
CALL = 'log'


class CallerResponse(msgspec.Struct, frozen=True):
    """What the response to a caller says about the request with `body`."""

    body: bytes
    ran: str
    # Content of the response: the body of the run that produced it. Empty if
    # the response carries no result.
    content: bytes = b''


class Rules(msgspec.Struct, frozen=True):
    """The classes and rules that a world uses; tests replace some of them."""

    executor_type: type[tickets.Executor] = tickets.Executor
    witness_type: type[witness.Witness] = witness.Witness
    verdict: Callable[[messages.WitnessReply | None], tickets.Verdict] = (
        tickets.verdict_on_void
    )
    # Whether a restarted process gets a new name, as a new incarnation does.
    new_executor_name: bool = True
    new_witness_name: bool = True


def outcome(code: codes.Code) -> values.Outcome:
    """Returns an outcome in the form in which an entry records it."""
    return values.Outcome(
        request='r',
        code=code.name,
        sentence='',
        revision=0,
        entry_vm='vm',
        at=0.0,
    )


class World:
    """State of one ticket, its executor, its witness and its callers."""

    __slots__ = (
        'executor',
        'executor_at',
        'in_transit',
        'incarnation',
        'ready_to_send',
        'responses',
        'rules',
        'running',
        'started',
        'ticket',
        'ticket_used',
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
        self.executor = rules.executor_type(
            'e', 'e:1', b'secret', TICKET_LIFETIME_S
        )
        self.witness = rules.witness_type('w', RETENTION_S)
        reading = self.witness.read_clock(
            0.0, messages.ClockRequest(witness='w')
        )
        self.executor.on_witness_clock(0.0, 'w', reading)
        ticket = self.executor.issue(0.0, 'desk', 'w', 'w:1')
        assert ticket is not None
        self.ticket = ticket
        # Messages to the witness, and the witness's replies to the executor.
        self.in_transit: frozenset[
            messages.StartRequest
            | messages.OutcomeReport
            | messages.WitnessReply
        ] = frozenset()
        # Bodies that the executor is permitted to send, but has not sent.
        self.ready_to_send: tuple[bytes, ...] = ()
        # Bodies sent to the backend server, and the one that runs there now.
        self.started: tuple[bytes, ...] = ()
        self.running = b''
        self.responses: frozenset[CallerResponse] = frozenset()
        # Whether a caller has used the ticket.
        self.ticket_used = False

    def respond(
        self,
        body: bytes,
        code: codes.Code,
        result: values.Outcome | None = None,
        content: bytes = b'',
    ) -> None:
        """Records the response to the caller of `body`."""
        ran = codes.ran(result.code) if result else code.ran
        if ran == 'unknown':
            # "unknown" can't be false; recording it would only add states.
            return
        response = CallerResponse(body, ran, content if ran == 'yes' else b'')
        self.responses |= {response}


def moves(world: World) -> Iterator[search.Move[World]]:
    """Yields every move that is possible in `world`."""
    # The bodies are interchangeable, so only `a` can be used first.
    for body in BODIES if world.ticket_used else BODIES[:1]:
        yield _move('request to the executor', _admit, body)
        yield _move('void', _void, body)
    for msg in sorted(world.in_transit, key=repr):
        yield _move('deliver', _deliver, msg)
    yield _move('no reply to the note', _no_reply, b'')
    if world.ready_to_send:
        yield _move('send to the backend server', _send_request, b'')
    if world.running:
        yield _move('the run completes', _complete_run, b'')
        yield _move('the run fails', _fail_run, b'')
    if world.incarnation in ('e', 'e0'):
        yield _move('executor crashes', _restart_executor, b'')
    if world.witness_name in ('w', 'w0'):
        yield _move('witness crashes', _restart_witness, b'')
    if world.executor_at < EXECUTOR_TIMES[-1]:
        yield _move('advance executor clock', _advance_executor, b'')
    if world.witness_at < WITNESS_TIMES[-1]:
        yield _move('advance witness clock', _advance_witness, b'')


def fault(world: World) -> str:
    """Returns the invariant that `world` violates; empty if there is none."""
    if len(world.started) > 1:
        return f'started {len(world.started)} times'
    for response in world.responses:
        if response.ran == 'no' and response.body in world.started:
            return 'told "not run" of a request that was started'
        if response.content and response.content != response.body:
            return 'told the answer of another request'
        if response.ran == 'yes' and response.body not in world.started:
            return 'told that a request ran which was not started'
    return ''


def _move(
    name: str, change: Callable[..., None], arg: object
) -> search.Move[World]:
    label = f'{name} {arg!r}' if arg else name
    return search.Move(label, functools.partial(_apply, change, arg))


def _apply(change: Callable[..., None], arg: object, world: World) -> None:
    change(world, arg)


def _admit(world: World, body: bytes) -> None:
    world.ticket_used = True
    admission = world.executor.admit(
        world.executor_at, world.ticket, CALL, body
    )
    match admission:
        case tickets.SendStart(note=note):
            world.in_transit |= {note}
        case tickets.AlreadyFinished(outcome=result, answer=content):
            world.respond(body, codes.DONE_BEFORE, result, content)
        case tickets.Refuse(code=code):
            world.respond(body, code)


def _void(world: World, body: bytes) -> None:
    world.ticket_used = True
    reply = world.witness.void(
        world.witness_at, tickets.void_request(world.ticket, CALL, body)
    )
    verdict = world.rules.verdict(reply)
    world.respond(body, verdict.code, verdict.outcome, verdict.answer)


def _deliver(
    world: World,
    msg: messages.StartRequest | messages.OutcomeReport | messages.WitnessReply,
) -> None:
    match msg:
        case messages.StartRequest():
            world.in_transit |= {
                world.witness.record_start(world.witness_at, msg)
            }
        case messages.OutcomeReport():
            world.witness.record_outcome(world.witness_at, msg)
        case messages.WitnessReply():
            _handle_reply(world, msg)


def _no_reply(world: World, _: object) -> None:
    _handle_reply(world, None)


def _handle_reply(world: World, reply: messages.WitnessReply | None) -> None:
    identity = world.ticket.identity
    decision = world.executor.on_start_reply(world.executor_at, identity, reply)
    match decision:
        case tickets.Run():
            world.ready_to_send = (*world.ready_to_send, _noted_body(world))
        case tickets.Abandon(code=code) if code is not codes.UNKNOWN:
            _finish_run(world, _noted_body(world), outcome(code), b'')


def _noted_body(world: World) -> bytes:
    """Returns the body that the executor's note was sent for."""
    noted = {
        msg.body_digest
        for msg in world.in_transit
        if isinstance(msg, messages.StartRequest)
    }
    for body in BODIES:
        if tickets.digest(CALL, body) in noted:
            return body
    raise AssertionError('the witness replied although no note was sent')


def _send_request(world: World, _: object) -> None:
    body, *rest = world.ready_to_send
    world.ready_to_send = tuple(rest)
    world.started = (*world.started, body)
    world.running = body


def _complete_run(world: World, _: object) -> None:
    body, world.running = world.running, b''
    _finish_run(world, body, outcome(codes.OK), body)


def _fail_run(world: World, _: object) -> None:
    body, world.running = world.running, b''
    _finish_run(world, body, outcome(codes.FAILED), b'')


def _finish_run(
    world: World, body: bytes, result: values.Outcome, content: bytes
) -> None:
    world.respond(body, codes.OK, result, content)
    tell = world.executor.finish(
        world.executor_at, world.ticket.identity, result, content
    )
    if tell:
        world.in_transit |= {tell}


def _restart_executor(world: World, _: object) -> None:
    world.incarnation = 'e2'
    name = 'e2' if world.rules.new_executor_name else 'e'
    world.executor = world.rules.executor_type(
        name, 'e:1', b'secret', TICKET_LIFETIME_S
    )
    # Requests that were not sent are lost; the backend server continues a
    # run, but its response is lost.
    world.ready_to_send = ()
    world.running = b''


def _restart_witness(world: World, _: object) -> None:
    world.witness_name = 'w2'
    name = 'w2' if world.rules.new_witness_name else 'w'
    world.witness = world.rules.witness_type(name, RETENTION_S)


def _advance_executor(world: World, _: object) -> None:
    world.executor_at = _next_time(EXECUTOR_TIMES, world.executor_at)


def _advance_witness(world: World, _: object) -> None:
    world.witness_at = _next_time(WITNESS_TIMES, world.witness_at)


def _next_time(times: tuple[float, ...], now: float) -> float:
    return times[times.index(now) + 1]
