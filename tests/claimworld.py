"""The world of one key that several VMs claim, for the exhaustive search.

Two keepers share a fake log. Bytes once sent to the log stay under way: they
may take effect now, after everybody gave up, twice or never. Records lapse,
keepers restart, entries give up, pause with a win in hand, or ask again.
"""

from collections.abc import Callable
from collections.abc import Iterator
import functools

import msgspec

from foxtaildale import claims
from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values
from tests import search

SERVICE = 'reader'
# The world needs no clock: failures are reported as long past, and waiting
# asks expire as if it were much later.
NOW = 0.0
LONG_PAST = -1_000.0
MUCH_LATER = 1_000.0


class Try(msgspec.Struct, frozen=True):
    """One try of a caller under the key."""

    request: str
    # Name of the keeper of the VM that got it.
    keeper: str


class Rules(msgspec.Struct, frozen=True):
    """Which objects and which rules a world uses; proofs take some out."""

    keeper: type[claims.Claims] = claims.Claims
    refusal: Callable[[messages.ClaimReply, bool], codes.Code | None] = (
        claims.refusal
    )
    covering: Callable[[codes.Code, bool], codes.Code] = claims.covering
    key: str = 'c0.tower'
    tries: tuple[Try, ...] = (Try('r1', 'x'), Try('r2', 'y'))
    # Failures that may happen in one trace.
    failures: int = 3


class World:
    """The log, the keepers and the entries with their tries."""

    __slots__ = (
        'asked',
        'ended',
        'failures',
        'first',
        'in_flight',
        'in_hand',
        'keepers',
        'log',
        'open',
        'rules',
        'sent',
        'starts',
        'told_no',
    )

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        # Records of the log, and the offset of the oldest one kept.
        self.log: tuple[bytes, ...] = ()
        self.first = 0
        self.keepers = {
            name: rules.keeper(f'{name}1', name, stale_s=MUCH_LATER)
            for name in ('x', 'y')
        }
        for keeper in self.keepers.values():
            read(self, keeper)
        # What each keeper's append in flight holds; empty if there is none.
        self.in_flight = {'x': b'', 'y': b''}
        # Bytes that the log may still take.
        self.sent: frozenset[bytes] = frozenset()
        self.failures = 0
        # Tries in the order in which callers sent them.
        self.asked: tuple[str, ...] = ()
        # Tries whose entry still waits for its keeper.
        self.open: frozenset[str] = frozenset()
        self.in_hand: frozenset[str] = frozenset()
        self.starts: tuple[str, ...] = ()
        self.ended: frozenset[str] = frozenset()
        # Tries that were answered "not run".
        self.told_no: frozenset[str] = frozenset()

    def is_alone(self, request: str) -> bool:
        """Whether each earlier try was answered "not run"."""
        earlier = self.asked[: self.asked.index(request)]
        return self.told_no.issuperset(earlier)

    def tell(self, request: str, code: codes.Code) -> None:
        """Answers a caller."""
        self.open -= {request}
        if code.ran == 'no':
            self.told_no |= {request}


def read(world: World, keeper: claims.Claims) -> list[claims.Settled]:
    """Lets a keeper read the log to its end."""
    start = max(keeper.next_offset(), world.first)
    records = tuple(
        ports.Record(offset, data)
        for offset, data in enumerate(world.log)
        if offset >= start
    )
    batch = ports.Batch(world.first, len(world.log), records)
    return keeper.on_records(NOW, batch)


def moves(world: World) -> Iterator[search.Move[World]]:
    """Yields everything that can happen next."""
    # The VMs are alike, so that the first try is always the first to be sent.
    for attempt in world.rules.tries[: len(world.asked) + 1]:
        yield _move('ask', _ask, attempt)
        if attempt.request in world.in_hand:
            yield _move('start', _start, attempt)
            yield _move('refuse unstarted', _refuse, attempt)
        if attempt.request in world.starts:
            yield _move('end', _end, attempt)
    for name in world.keepers:
        if world.in_flight[name]:
            yield _move('answer lost of', _lose, name)
        if world.in_flight[name] in world.log:
            yield _move('append answered', _answer, name)
        if not world.in_flight[name]:
            yield _move('append', _append, name)
        yield _move('read', _read, name)
    for data in sorted(world.sent):
        if world.log.count(data) < 2:
            yield _move('log takes', _take, data)
    if world.failures < world.rules.failures:
        yield from _failures(world)


def _failures(world: World) -> Iterator[search.Move[World]]:
    for attempt in world.rules.tries:
        if attempt.request in world.open:
            yield _failure('the entry gives up', _give_up, attempt)
    for name in world.keepers:
        yield _failure('asks expire at', _expire, name)
        yield _failure('keeper dies', _restart, name)
        if not world.in_flight[name]:
            yield _failure('slow append', _append_slowly, name)
            yield _failure('append can not be sent', _fail, name)
    if world.first < len(world.log):
        yield _failure('all records lapse', _lapse, '')


def fault(world: World) -> str:
    """Returns what must never be; empty if all is well.

    "Not run" speaks of the try that it answers and of all earlier ones.
    """
    if len(world.starts) > 1:
        return f'started {len(world.starts)} times'
    for start in world.starts:
        later = world.asked[world.asked.index(start) :]
        if world.told_no.intersection(later):
            return 'told "not run" of a request that was started'
    return ''


def _move(
    name: str, make: Callable[..., None], arg: object
) -> search.Move[World]:
    return search.Move(f'{name} {arg}', functools.partial(_call, make, arg))


def _failure(
    name: str, make: Callable[..., None], arg: object
) -> search.Move[World]:
    return search.Move(f'{name} {arg}', functools.partial(_fail_by, make, arg))


def _fail_by(make: Callable[..., None], arg: object, world: World) -> None:
    world.failures += 1
    make(world, arg)


def _call(make: Callable[..., None], arg: object, world: World) -> None:
    make(world, arg)


def _settle(world: World, settled: list[claims.Settled]) -> None:
    for request, reply in settled:
        if request not in world.open:
            continue
        code = world.rules.refusal(reply, world.is_alone(request))
        if code is not None:
            world.tell(request, code)
        elif reply.status == 'won':
            world.open -= {request}
            world.in_hand |= {request}
        else:
            world.tell(request, codes.IN_PROGRESS)


def _ask(world: World, attempt: Try) -> None:
    if attempt.request not in world.asked:
        world.asked = (*world.asked, attempt.request)
        world.open |= {attempt.request}
    reply = world.keepers[attempt.keeper].ask(
        NOW,
        messages.AskClaim(
            service=SERVICE,
            key=world.rules.key,
            body='b',
            request=attempt.request,
            holder='h',
        ),
    )
    if reply:
        _settle(world, [(attempt.request, reply)])


def _end_claim(world: World, attempt: Try, code: codes.Code) -> None:
    outcome = values.Outcome(
        request=attempt.request,
        code=code.name,
        sentence='',
        revision=0,
        entry_vm='vm',
        at=0.0,
    )
    msg = messages.EndClaim(
        service=SERVICE, key=world.rules.key, outcome=outcome
    )
    world.keepers[attempt.keeper].end(NOW, msg)


def _give_up(world: World, attempt: Try) -> None:
    alone = world.is_alone(attempt.request)
    world.tell(attempt.request, world.rules.covering(codes.LOG_DOWN, alone))
    _end_claim(world, attempt, codes.LOG_DOWN)


def _refuse(world: World, attempt: Try) -> None:
    world.in_hand -= {attempt.request}
    alone = world.is_alone(attempt.request)
    world.tell(attempt.request, world.rules.covering(codes.NO_BACKEND, alone))
    _end_claim(world, attempt, codes.NO_BACKEND)


def _start(world: World, attempt: Try) -> None:
    world.in_hand -= {attempt.request}
    world.starts = (*world.starts, attempt.request)


def _end(world: World, attempt: Try) -> None:
    if attempt.request not in world.ended:
        world.ended |= {attempt.request}
        _end_claim(world, attempt, codes.OK)


def _append_slowly(world: World, name: str) -> None:
    records = world.keepers[name].batch(NOW)
    if records:
        world.in_flight[name] = records[0]
        world.sent |= {records[0]}


def _append(world: World, name: str) -> None:
    for data in world.keepers[name].batch(NOW):
        world.log = (*world.log, data)
        world.keepers[name].on_appended(NOW)


def _answer(world: World, name: str) -> None:
    world.in_flight[name] = b''
    world.keepers[name].on_appended(NOW)


def _lose(world: World, name: str) -> None:
    world.in_flight[name] = b''
    settled = world.keepers[name].on_append_failed(LONG_PAST, sent=True)
    _settle(world, settled)


def _fail(world: World, name: str) -> None:
    if world.keepers[name].batch(NOW):
        settled = world.keepers[name].on_append_failed(LONG_PAST, sent=False)
        _settle(world, settled)


def _read(world: World, name: str) -> None:
    _settle(world, read(world, world.keepers[name]))


def _expire(world: World, name: str) -> None:
    _settle(world, world.keepers[name].expire(MUCH_LATER))


def _restart(world: World, name: str) -> None:
    incarnation = f'{name}{world.failures + 1}'
    keeper = world.rules.keeper(incarnation, name, stale_s=MUCH_LATER)
    world.keepers[name] = keeper
    world.in_flight[name] = b''


def _take(world: World, data: bytes) -> None:
    world.log = (*world.log, data)


def _lapse(world: World, _: object) -> None:
    world.first = len(world.log)
