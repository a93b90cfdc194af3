"""One plan of a service's engines: decode memory, prefill time, who waits.

Load answered: bursts of two to three times the usual traffic, in which decode
memory is full for seconds. One entry VM, the home of the service, plans for
all; so nobody asks a full engine, requests go first come first served over the
whole deployment, and a prompt is read only when its place is sure.

Who is next is `queues`; where a request fits, `packing`; who reads its prompt,
`prefills` and `ownreads`.

`ask` grants or queues; `end` gives back; `keep` and `expire` keep the plan true
to the holders. A wrong plan costs time and never correctness: engines refuse
what they have no room for.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Final

from foxtaildale import balance
from foxtaildale import fleet
from foxtaildale import growth
from foxtaildale import holdings
from foxtaildale import lengths
from foxtaildale import messages
from foxtaildale import ownreads
from foxtaildale import packing
from foxtaildale import prefills
from foxtaildale import queues
from foxtaildale import refusals
from foxtaildale import reports
from foxtaildale import room
from foxtaildale import routes
from foxtaildale import speeds

# Waiters that fit nowhere and are passed over by smaller ones behind them. For
# each of them the worker is kept that it will fit at first, so that none
# starves behind a row of small ones.
PASSED: Final = 4
# Time between looks at the plan while requests wait, seconds. A look goes through
# all engines; done at every ask, a home with many waiters did nothing else.
LOOK_S: Final = 0.02
# A grant whose holder did not repeat it for this long has lapsed, seconds.
KEEP_S: Final = 4.0
# Time of one token until some are measured, seconds.
TOKEN_S: Final = 0.0007
# How much a new measurement counts.
_LEARN: Final = 0.1

# Decode workers and prefill workers.
Engines = Callable[[], tuple[Sequence[fleet.Tally], Sequence[fleet.Tally]]]


class Plan:
    """The engines of one service; the time is an argument."""

    __slots__ = (
        '_decode_speeds',
        '_held',
        '_lengths',
        '_look_at',
        '_own_reads',
        '_prefills',
        '_queue',
        '_refusals',
        '_reports',
        '_token_s',
        'balance',
    )

    def __init__(self) -> None:
        # Of the stages of the service's engines.
        self.balance = balance.Balance()
        # By request.
        self._held: dict[str, holdings.Held] = {}
        self._queue = queues.Queue()
        self._lengths = lengths.Lengths()
        # When the plan is next looked at, seconds.
        self._look_at = 0.0
        self._own_reads = ownreads.OwnReads()
        self._prefills = prefills.Prefills()
        self._token_s = TOKEN_S
        self._decode_speeds = speeds.Speeds()
        self._refusals = refusals.Refusals()
        self._reports = reports.Reports()

    def ask(
        self,
        now: float,
        msg: messages.AskPlace,
        service: routes.Service,
        engines: Engines,
    ) -> messages.Place | messages.Queued | messages.TooLate:
        """Grants a place or queues; asking again is harmless.

        Args:
            now: Seconds.
            msg: The request.
            service: What the operators say of the engines.
            engines: Returns the decode workers and the prefill workers that
                may get work, best first.
        """
        waiter = self._queue.get(msg.request)
        if waiter is None or waiter.place is None:
            too_late = self._too_late(msg)
            if too_late is not None:
                self._queue.leave(msg.request)
                return too_late
        if waiter is None:
            waiter = self._queue.join(now, msg)
            guess = msg.hinted or self._lengths.expected(0, msg.longest)
            self.balance.note(msg.prompt, guess)
            if not waiter.position:
                self._look_at = now
        waiter.asked_at = now
        waiter.msg = msg
        if now >= self._look_at:
            self._look_at = now + LOOK_S
            self._forget(now)
            failed = self._reports.failed(now) | self.balance.changing(now)
            decoders, prefillers = engines()
            self._grant(
                now,
                service,
                _sound(_sound(decoders, failed), self._refusals.closed(now)),
                _sound(prefillers, failed),
            )
        if waiter.place is not None:
            self._queue.leave(msg.request)
            return waiter.place
        return self._queue.told(waiter)

    def _too_late(self, msg: messages.AskPlace) -> messages.TooLate | None:
        """Returns what ends a request whose answer can't be whole in time."""
        if not msg.left_ms or msg.started:
            return None
        tokens = self._lengths.expected(msg.hinted, msg.longest)
        token_s = self._decode_speeds.usual_s() or self._token_s
        needs_s = self._prefills.usual_s(msg.prompt) + tokens * token_s
        if not room.unfinished(needs_s, msg.left_ms / 1000):
            return None
        return messages.TooLate(needs_ms=int(needs_s * 1000))

    def end(self, now: float, msg: messages.EndPlace) -> None:
        """Takes a place back, with what its holder measured."""
        self._queue.leave(msg.request)
        held = self._held.pop(msg.request, None)
        if held is None:
            return
        self._look_at = min(self._look_at, now)
        if msg.whole:
            self._queue.served(held.digest)
        if msg.refused or msg.tokens:
            place, taken = held.place, not msg.refused
            self._refusals.note(now, place.worker, place.prefiller, taken=taken)
        if msg.prefill_ms:
            prompt, took_s = held.running.prompt, msg.prefill_ms / 1000
            self._prefills.note(
                now,
                held.place.prefiller,
                prompt,
                took_s,
                alone=held.read_alone,
            )
            if held.place.prefiller and (msg.refused or msg.tokens):
                taken = not msg.refused
                self._prefills.note_use(now, held.place.prefiller, taken=taken)
        if msg.tokens and msg.decode_ms and msg.whole:
            token_s = msg.decode_ms / 1000 / msg.tokens
            self._token_s += _LEARN * (token_s - self._token_s)
            self._decode_speeds.note(now, held.place.worker, token_s)
            self._lengths.note(msg.tokens)

    def restarted(self, server: str) -> None:
        """Forgets what was known of a worker that started again."""
        for request, held in list(self._held.items()):
            if held.place.worker == server:
                del self._held[request]
        self._prefills.forget(server)
        self._decode_speeds.forget(server)
        self._refusals.forget(server)
        self._own_reads.forget(server)
        self._reports.forget(server)
        self.balance.settled(server)

    def failed(self, now: float, msg: messages.ServerFailed) -> None:
        """Takes a holder's report of a failed server."""
        self._reports.note(now, msg.server, msg.holder, replaced=msg.replaced)

    def keep(self, now: float, msg: messages.KeepPlaces) -> None:
        """Takes a holder's repeat of all that it holds."""
        named = {place.request for place in msg.places}
        for request, held in list(self._held.items()):
            # Its end was lost, unless it is still on its way to its holder.
            lost = held.holder == msg.holder and request not in named
            if lost and now - held.kept_at > queues.WAITER_S:
                del self._held[request]
        for place in msg.places:
            known = self._held.get(place.request)
            if known is not None:
                known.kept_at = now
                continue
            running = growth.Running(
                prompt=place.prompt,
                expected=self._lengths.expected(place.hinted, place.longest),
                longest=place.longest,
                started_at=now - place.age_ms / 1000,
            )
            self._held[place.request] = holdings.Held(
                msg.holder,
                messages.Place(worker=place.worker, prefiller=''),
                running,
                now,
            )

    def stage_changes(
        self, now: float, service: routes.Service, engines: Engines
    ) -> tuple[balance.Change, ...]:
        """Returns which engines should change their stage now."""
        token_s = self._decode_speeds.usual_s() or self._token_s
        share = self.balance.share(
            service, self._prefills.reading.per_s, token_s
        )
        waiting = self._prefills.waiting(self.balance.prompt)
        decoders, prefillers = engines()
        # A slow engine is no help to prefill, and to decode it is some.
        sound = [
            tally
            for tally in prefillers
            if not self._prefills.slow(now, tally.backend.id)
        ]
        return self.balance.changes(
            now, share, decoders, sound, waiting=waiting
        )

    def holders(self) -> set[str]:
        """Returns the entry VMs that hold places."""
        return {held.holder for held in self._held.values()}

    def waiting(self) -> int:
        """Returns how many wait."""
        return len(self._queue)

    def planned(self) -> dict[str, int]:
        """Returns how many requests each decode worker is planned with."""
        found: dict[str, int] = {}
        for held in self._held.values():
            found[held.place.worker] = found.get(held.place.worker, 0) + 1
        return found

    def _grant(
        self,
        now: float,
        service: routes.Service,
        decoders: Sequence[fleet.Tally],
        prefillers: Sequence[fleet.Tally],
    ) -> None:
        """Grants to the first waiters for as long as there is room."""
        found = packing.Packing(
            now,
            service,
            decoders,
            ((h.place.worker, h.running) for h in self._held.values()),
            lambda worker: self._token_s_at(now, worker),
        )
        passed = 0
        position = 0
        for waiter in self._queue.ranked(now, self._prefills.mean_s):
            if passed <= PASSED and not found.full:
                passed += not self._try(now, waiter, found, prefillers)
            if waiter.place is not None:
                self._queue.granted(now)
                continue
            waiter.position = position
            position += 1

    def _try(
        self,
        now: float,
        waiter: holdings.Waiter,
        found: packing.Packing,
        prefillers: Sequence[fleet.Tally],
    ) -> bool:
        """Grants a place, or keeps the worker that it will fit at first."""
        msg = waiter.msg
        turn = self._prefills.choose(now, msg.prompt, prefillers, msg.avoid)
        # Where every prefill worker loses prompts, either their memory lets go
        # of them or the decode workers are fuller than planned. A prompt that is
        # read where it is decoded is lost to neither.
        losing = self._prefills.losing(now, turn.worker)
        if losing and self._try_reading_there(now, waiter, found):
            return True
        if self._prefills.too_busy(now, msg.prompt, turn):
            waiter.short_of = 'prefill'
            return self._try_reading_there(now, waiter, found)
        running = self._running(msg, turn.ready_at)
        near = _data_centre(prefillers, turn.worker)
        worker, fits = found.roomiest(running, msg.avoid, near)
        waiter.short_of = 'memory'
        if not worker:
            return False
        if not fits:
            found.keep(worker)
            return False
        if turn.worker:
            self._prefills.give(turn)
        place = messages.Place(worker=worker, prefiller=turn.worker)
        self._hold(now, waiter, place, running, found)
        self._held[msg.request].read_alone = turn.starts_at <= now
        return True

    def _try_reading_there(
        self, now: float, waiter: holdings.Waiter, found: packing.Packing
    ) -> bool:
        """Grants a place at a decode worker that reads the prompt itself."""
        msg = waiter.msg
        reading_s = ownreads.read_s(msg.prompt, self._prefills.reading.per_s)
        event_s = self._token_s * found.event_tokens
        gap_s = msg.gap_ms / 1000
        if not ownreads.unseen(reading_s, event_s, gap_s):
            return False
        running = self._running(msg, now + reading_s)
        busy = self._own_reads.busy(now)
        worker, fits = found.roomiest(running, (*msg.avoid, *busy))
        if not worker or not fits:
            return False
        self._own_reads.give(now, worker, reading_s, gap_s)
        place = messages.Place(worker=worker, prefiller='', reads_itself=True)
        self._hold(now, waiter, place, running, found)
        return True

    def _running(
        self, msg: messages.AskPlace, started_at: float
    ) -> growth.Running:
        return growth.Running(
            prompt=msg.prompt,
            expected=self._lengths.expected(msg.hinted, msg.longest),
            longest=msg.longest,
            started_at=started_at,
        )

    def _hold(
        self,
        now: float,
        waiter: holdings.Waiter,
        place: messages.Place,
        running: growth.Running,
        found: packing.Packing,
    ) -> None:
        found.give(place.worker, running)
        waiter.place = place
        msg = waiter.msg
        self._held[msg.request] = holdings.Held(
            msg.holder, place, running, now, msg.digest
        )

    def _token_s_at(self, now: float, worker: str) -> float:
        return self._token_s * self._decode_speeds.slowness(now, worker)

    def _forget(self, now: float) -> None:
        """Drops waiters that stopped asking and places that lapsed."""
        for waiter in self._queue.expire(now):
            if waiter.place is not None:
                self._held.pop(waiter.msg.request, None)
        for request, held in list(self._held.items()):
            if now - held.kept_at > KEEP_S:
                del self._held[request]


def _data_centre(tallies: Sequence[fleet.Tally], server: str) -> str:
    for tally in tallies:
        if tally.backend.id == server:
            return tally.backend.data_centre
    return ''


def _sound(
    tallies: Sequence[fleet.Tally], failed: frozenset[str]
) -> Sequence[fleet.Tally]:
    """Returns those that did not fail; all where all did.

    What all of a stage share is then rather at fault, and they are tried.
    """
    found = [tally for tally in tallies if tally.backend.id not in failed]
    return found or tallies
