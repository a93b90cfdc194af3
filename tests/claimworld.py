"""The state space of a key that several VMs claim, for the exhaustive search.

Two keepers share a fake log. Bytes sent to the log stay in transit: they may
be appended now, after every entry stopped waiting, twice or never. Records
expire, keepers restart, and entries time out, pause after they won a claim, or
repeat a request.
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
# Times in seconds. The world needs no clock: it reports failures with a time
# far in the past, and expires waiting requests with a time far in the future.
NOW = 0.0
FAR_PAST = -1_000.0
FAR_FUTURE = 1_000.0


class Attempt(msgspec.Struct, frozen=True):
    """One attempt of a caller to run a request under the key."""

    request: str
    # Name of the keeper at the VM that received the attempt.
    keeper: str


class Rules(msgspec.Struct, frozen=True):
    """The classes and rules that a world uses; tests replace some of them."""

    keeper: type[claims.Claims] = claims.Claims
    refusal: Callable[[messages.ClaimReply, bool], codes.Code | None] = (
        claims.refusal_of_reply
    )
    covering: Callable[[codes.Code, bool], codes.Code] = claims.refusal_code
    key: str = 'c0.tower'
    attempts: tuple[Attempt, ...] = (Attempt('r1', 'x'), Attempt('r2', 'y'))
    # Maximum number of failures in one trace.
    failures: int = 3


class World:
    """State of the log, the keepers, and the entries with their attempts."""

    __slots__ = (
        'failures',
        'finished',
        'first_offset',
        'in_flight',
        'keepers',
        'log',
        'reported_not_run',
        'rules',
        'sent',
        'started',
        'submitted',
        'waiting',
        'won',
    )

    def __init__(self, rules: Rules) -> None:
        self.rules = rules
        # Records of the log, and the offset of the oldest unexpired one.
        self.log: tuple[bytes, ...] = ()
        self.first_offset = 0
        self.keepers = {
            name: rules.keeper(f'{name}1', name, stale_s=FAR_FUTURE)
            for name in ('x', 'y')
        }
        for keeper in self.keepers.values():
            read(self, keeper)
        # Data of each keeper's append in flight; empty if there is none.
        self.in_flight = {'x': b'', 'y': b''}
        # Data that may still be appended to the log.
        self.sent: frozenset[bytes] = frozenset()
        self.failures = 0
        # Attempts in the order in which callers sent them.
        self.submitted: tuple[str, ...] = ()
        # Attempts whose entry still waits for its keeper.
        self.waiting: frozenset[str] = frozenset()
        # Attempts that won the claim, but were not started.
        self.won: frozenset[str] = frozenset()
        self.started: tuple[str, ...] = ()
        self.finished: frozenset[str] = frozenset()
        # Attempts that were reported to their callers as "not run".
        self.reported_not_run: frozenset[str] = frozenset()

    def earlier_did_not_run(self, request: str) -> bool:
        """Returns whether each earlier attempt was reported as "not run"."""
        earlier = self.submitted[: self.submitted.index(request)]
        return self.reported_not_run.issuperset(earlier)

    def respond(self, request: str, code: codes.Code) -> None:
        """Records the response to a caller."""
        self.waiting -= {request}
        if code.ran == 'no':
            self.reported_not_run |= {request}


def read(world: World, keeper: claims.Claims) -> list[claims.SettledClaim]:
    """Makes a keeper read the log to its end."""
    start = max(keeper.next_offset(), world.first_offset)
    records = tuple(
        ports.Record(offset, data)
        for offset, data in enumerate(world.log)
        if offset >= start
    )
    batch = ports.Batch(world.first_offset, len(world.log), records)
    return keeper.on_records(NOW, batch)


def moves(world: World) -> Iterator[search.Move[World]]:
    """Yields every move that is possible in `world`."""
    # The VMs are interchangeable, so only the first attempt can be sent first.
    for attempt in world.rules.attempts[: len(world.submitted) + 1]:
        yield _move('request', _request_claim, attempt)
        if attempt.request in world.won:
            yield _move('start', _start, attempt)
            yield _move('refuse before the start', _refuse, attempt)
        if attempt.request in world.started:
            yield _move('finish', _finish, attempt)
    for name in world.keepers:
        if world.in_flight[name]:
            yield _move('append reply lost at', _lose_append_reply, name)
        if world.in_flight[name] in world.log:
            yield _move('append acknowledged at', _acknowledge_append, name)
        if not world.in_flight[name]:
            yield _move('append by', _append, name)
        yield _move('read by', _read, name)
    for data in sorted(world.sent):
        if world.log.count(data) < 2:
            yield _move('log appends', _append_in_transit, data)
    if world.failures < world.rules.failures:
        yield from _failures(world)


def _failures(world: World) -> Iterator[search.Move[World]]:
    for attempt in world.rules.attempts:
        if attempt.request in world.waiting:
            yield _failure('entry times out', _time_out, attempt)
    for name in world.keepers:
        yield _failure('requests expire at', _expire_requests, name)
        yield _failure('keeper crashes', _restart, name)
        if not world.in_flight[name]:
            yield _failure('slow append by', _append_slowly, name)
            yield _failure('append cannot be sent by', _fail_append, name)
    if world.first_offset < len(world.log):
        yield _failure('all records expire', _expire_records, '')


def fault(world: World) -> str:
    """Returns the invariant that `world` violates; empty if there is none.

    A "not run" response covers its own attempt and all earlier attempts.
    """
    if len(world.started) > 1:
        return f'started {len(world.started)} times'
    for start in world.started:
        later = world.submitted[world.submitted.index(start) :]
        if world.reported_not_run.intersection(later):
            return 'told "not run" of a request that was started'
    return ''


def _move(
    name: str, change: Callable[..., None], arg: object
) -> search.Move[World]:
    return search.Move(f'{name} {arg}', functools.partial(_apply, change, arg))


def _failure(
    name: str, change: Callable[..., None], arg: object
) -> search.Move[World]:
    return search.Move(
        f'{name} {arg}', functools.partial(_apply_failure, change, arg)
    )


def _apply_failure(
    change: Callable[..., None], arg: object, world: World
) -> None:
    world.failures += 1
    change(world, arg)


def _apply(change: Callable[..., None], arg: object, world: World) -> None:
    change(world, arg)


def _settle(world: World, settled: list[claims.SettledClaim]) -> None:
    for request, reply in settled:
        if request not in world.waiting:
            continue
        code = world.rules.refusal(reply, world.earlier_did_not_run(request))
        if code is not None:
            world.respond(request, code)
        elif reply.status == 'won':
            world.waiting -= {request}
            world.won |= {request}
        else:
            world.respond(request, codes.IN_PROGRESS)


def _request_claim(world: World, attempt: Attempt) -> None:
    if attempt.request not in world.submitted:
        world.submitted = (*world.submitted, attempt.request)
        world.waiting |= {attempt.request}
    reply = world.keepers[attempt.keeper].request_claim(
        NOW,
        messages.ClaimRequest(
            service=SERVICE,
            key=world.rules.key,
            body_digest='b',
            request=attempt.request,
            holder='h',
        ),
    )
    if reply:
        _settle(world, [(attempt.request, reply)])


def _record_outcome(world: World, attempt: Attempt, code: codes.Code) -> None:
    outcome = values.Outcome(
        request=attempt.request,
        code=code.name,
        sentence='',
        revision=0,
        entry_vm='vm',
        at=0.0,
    )
    msg = messages.ClaimReport(
        service=SERVICE, key=world.rules.key, outcome=outcome
    )
    world.keepers[attempt.keeper].record_outcome(NOW, msg)


def _time_out(world: World, attempt: Attempt) -> None:
    first_attempt = world.earlier_did_not_run(attempt.request)
    world.respond(
        attempt.request,
        world.rules.covering(codes.LOG_DOWN, first_attempt),
    )
    _record_outcome(world, attempt, codes.LOG_DOWN)


def _refuse(world: World, attempt: Attempt) -> None:
    world.won -= {attempt.request}
    first_attempt = world.earlier_did_not_run(attempt.request)
    world.respond(
        attempt.request,
        world.rules.covering(codes.NO_BACKEND, first_attempt),
    )
    _record_outcome(world, attempt, codes.NO_BACKEND)


def _start(world: World, attempt: Attempt) -> None:
    world.won -= {attempt.request}
    world.started = (*world.started, attempt.request)


def _finish(world: World, attempt: Attempt) -> None:
    if attempt.request not in world.finished:
        world.finished |= {attempt.request}
        _record_outcome(world, attempt, codes.OK)


def _append_slowly(world: World, name: str) -> None:
    records = world.keepers[name].take_batch(NOW)
    if records:
        world.in_flight[name] = records[0]
        world.sent |= {records[0]}


def _append(world: World, name: str) -> None:
    for data in world.keepers[name].take_batch(NOW):
        world.log = (*world.log, data)
        world.keepers[name].on_appended(NOW)


def _acknowledge_append(world: World, name: str) -> None:
    world.in_flight[name] = b''
    world.keepers[name].on_appended(NOW)


def _lose_append_reply(world: World, name: str) -> None:
    world.in_flight[name] = b''
    settled = world.keepers[name].on_append_failed(FAR_PAST, sent=True)
    _settle(world, settled)


def _fail_append(world: World, name: str) -> None:
    if world.keepers[name].take_batch(NOW):
        settled = world.keepers[name].on_append_failed(FAR_PAST, sent=False)
        _settle(world, settled)


def _read(world: World, name: str) -> None:
    _settle(world, read(world, world.keepers[name]))


def _expire_requests(world: World, name: str) -> None:
    _settle(world, world.keepers[name].expire(FAR_FUTURE))


def _restart(world: World, name: str) -> None:
    incarnation = f'{name}{world.failures + 1}'
    keeper = world.rules.keeper(incarnation, name, stale_s=FAR_FUTURE)
    world.keepers[name] = keeper
    world.in_flight[name] = b''


def _append_in_transit(world: World, data: bytes) -> None:
    world.log = (*world.log, data)


def _expire_records(world: World, _: object) -> None:
    world.first_offset = len(world.log)
