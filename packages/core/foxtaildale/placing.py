"""The plan of a service's engines: decode memory, prefill time and the queue.

The plan is made for bursts of two to three times the usual traffic, in which
decode memory is full for seconds. One entry VM, the coordinator of the service,
plans for all VMs. No request is therefore sent to a full engine, requests of
the whole deployment are served in order of arrival, and a prompt is prefilled
only when its placement is certain.

`queues` decides which request is next, `packing` where it fits, and `prefills`
and `ownreads` which worker prefills its prompt.

`Plan.ask` grants a placement or queues the request, and `Plan.end` releases a
placement. `Plan.keep` and the expiry of old entries make the plan agree with
the holders. A wrong plan costs time and never correctness: engines refuse
requests for which they have no memory.
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

# Maximum number of waiters that fit nowhere and are overtaken by smaller ones
# behind them. For each of them, the worker with the most room is closed to all
# others for the pass, so that it does not starve behind many small requests.
PASSED: Final = 4
# Time between scheduling passes while requests wait, seconds. A pass goes
# through all engines. A coordinator with many waiters would do nothing else if
# each poll started a pass.
LOOK_S: Final = 0.02
# Time after which a placement expires if its holder does not renew it, seconds.
KEEP_S: Final = 4.0
# Initial time of one token before the first measurement, seconds.
TOKEN_S: Final = 0.0007
# Weight of a new measurement in the moving average.
_NEW_WEIGHT: Final = 0.1

# Returns the decode workers and the prefill workers.
Engines = Callable[[], tuple[Sequence[fleet.Tally], Sequence[fleet.Tally]]]


class Plan:
    """The plan of one service's engines; the time is an argument."""

    __slots__ = (
        '_decode_speeds',
        '_lengths',
        '_local_prefills',
        '_look_at',
        '_placed',
        '_prefills',
        '_queue',
        '_refusals',
        '_reports',
        '_token_s',
        'balance',
    )

    def __init__(self) -> None:
        # Shares of the stages in the service's engines.
        self.balance = balance.Balance()
        # By request.
        self._placed: dict[str, holdings.Held] = {}
        self._queue = queues.Queue()
        self._lengths = lengths.Lengths()
        # When the next scheduling pass is due, seconds.
        self._look_at = 0.0
        self._local_prefills = ownreads.OwnReads()
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
        """Grants a placement or queues the request; may be called repeatedly.

        Args:
            now: Seconds.
            msg: The placement request.
            service: The operators' settings of the engines.
            engines: Returns the decode workers and the prefill workers that
                may get work, best first.
        """
        waiter = self._queue.get(msg.request)
        if waiter is None or waiter.place is None:
            too_late = self._check_deadline(msg)
            if too_late is not None:
                self._queue.leave(msg.request)
                return too_late
        if waiter is None:
            waiter = self._queue.join(now, msg)
            expected = msg.hinted or self._lengths.expected(0, msg.longest)
            self.balance.note(msg.prompt, expected)
            if not waiter.position:
                self._look_at = now
        waiter.asked_at = now
        waiter.msg = msg
        if now >= self._look_at:
            self._look_at = now + LOOK_S
            self._remove_expired(now)
            unusable = self._reports.failed(now) | self.balance.changing(now)
            decoders, prefillers = engines()
            self._grant_placements(
                now,
                service,
                _exclude(
                    _exclude(decoders, unusable), self._refusals.closed(now)
                ),
                _exclude(prefillers, unusable),
            )
        if waiter.place is not None:
            self._queue.leave(msg.request)
            return waiter.place
        return self._queue.told(waiter)

    def _check_deadline(
        self, msg: messages.AskPlace
    ) -> messages.TooLate | None:
        """Returns the refusal of a request that can't be completed in time."""
        if not msg.left_ms or msg.started:
            return None
        tokens = self._lengths.expected(msg.hinted, msg.longest)
        token_s = self._decode_speeds.usual_s() or self._token_s
        needs_s = self._prefills.usual_s(msg.prompt) + tokens * token_s
        if not room.unfinished(needs_s, msg.left_ms / 1000):
            return None
        return messages.TooLate(needs_ms=int(needs_s * 1000))

    def end(self, now: float, msg: messages.EndPlace) -> None:
        """Releases a placement and records its holder's measurements."""
        self._queue.leave(msg.request)
        placed = self._placed.pop(msg.request, None)
        if placed is None:
            return
        self._look_at = min(self._look_at, now)
        if msg.whole:
            self._queue.served(placed.digest)
        if msg.refused or msg.tokens:
            placement, accepted = placed.place, not msg.refused
            self._refusals.note(
                now, placement.worker, placement.prefiller, taken=accepted
            )
        if msg.prefill_ms:
            prompt_tokens, took_s = placed.running.prompt, msg.prefill_ms / 1000
            self._prefills.note(
                now,
                placed.place.prefiller,
                prompt_tokens,
                took_s,
                alone=placed.read_alone,
            )
            if placed.place.prefiller and (msg.refused or msg.tokens):
                accepted = not msg.refused
                self._prefills.note_use(
                    now, placed.place.prefiller, taken=accepted
                )
        if msg.tokens and msg.decode_ms and msg.whole:
            token_s = msg.decode_ms / 1000 / msg.tokens
            self._token_s += _NEW_WEIGHT * (token_s - self._token_s)
            self._decode_speeds.note(now, placed.place.worker, token_s)
            self._lengths.note(msg.tokens)

    def restarted(self, server: str) -> None:
        """Discards what is known of a worker that has restarted."""
        for request, placed in list(self._placed.items()):
            if placed.place.worker == server:
                del self._placed[request]
        self._prefills.forget(server)
        self._decode_speeds.forget(server)
        self._refusals.forget(server)
        self._local_prefills.forget(server)
        self._reports.forget(server)
        self.balance.settled(server)

    def failed(self, now: float, msg: messages.ServerFailed) -> None:
        """Records a holder's report of a failed server."""
        self._reports.note(now, msg.server, msg.holder, replaced=msg.replaced)

    def keep(self, now: float, msg: messages.KeepPlaces) -> None:
        """Renews all placements of a holder, which lists them.

        A listed placement that is not known is added. One that is known and not
        listed is removed.
        """
        listed = {entry.request for entry in msg.places}
        for request, placed in list(self._placed.items()):
            # Its release was lost, unless the grant is still on its way to the
            # holder.
            is_unlisted = placed.holder == msg.holder and request not in listed
            if is_unlisted and now - placed.kept_at > queues.WAITER_S:
                del self._placed[request]
        for entry in msg.places:
            existing = self._placed.get(entry.request)
            if existing is not None:
                existing.kept_at = now
                continue
            running = growth.Running(
                prompt=entry.prompt,
                expected=self._lengths.expected(entry.hinted, entry.longest),
                longest=entry.longest,
                started_at=now - entry.age_ms / 1000,
            )
            self._placed[entry.request] = holdings.Held(
                msg.holder,
                messages.Place(worker=entry.worker, prefiller=''),
                running,
                now,
            )

    def stage_changes(
        self, now: float, service: routes.Service, engines: Engines
    ) -> tuple[balance.Change, ...]:
        """Returns the engines that should change their stage now."""
        token_s = self._decode_speeds.usual_s() or self._token_s
        share = self.balance.share(
            service, self._prefills.reading.per_s, token_s
        )
        has_queue = self._prefills.waiting(self.balance.prompt)
        decoders, prefillers = engines()
        # A slow engine is of no use as a prefill worker, but of some use as a
        # decode worker.
        healthy = [
            tally
            for tally in prefillers
            if not self._prefills.slow(now, tally.backend.id)
        ]
        return self.balance.changes(
            now, share, decoders, healthy, waiting=has_queue
        )

    def holders(self) -> set[str]:
        """Returns the entry VMs that hold placements."""
        return {placed.holder for placed in self._placed.values()}

    def waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue)

    def planned(self) -> dict[str, int]:
        """Returns the number of planned requests by decode worker."""
        counts: dict[str, int] = {}
        for placed in self._placed.values():
            counts[placed.place.worker] = counts.get(placed.place.worker, 0) + 1
        return counts

    def _grant_placements(
        self,
        now: float,
        service: routes.Service,
        decoders: Sequence[fleet.Tally],
        prefillers: Sequence[fleet.Tally],
    ) -> None:
        """Grants placements to the first waiters as long as there is room."""
        decode_workers = packing.Packing(
            now,
            service,
            decoders,
            ((h.place.worker, h.running) for h in self._placed.values()),
            lambda worker: self._token_s_at(now, worker),
        )
        passed_over = 0
        position = 0
        for waiter in self._queue.ranked(now, self._prefills.mean_s):
            if passed_over <= PASSED and not decode_workers.full:
                passed_over += not self._place(
                    now, waiter, decode_workers, prefillers
                )
            if waiter.place is not None:
                self._queue.granted(now)
                continue
            waiter.position = position
            position += 1

    def _place(
        self,
        now: float,
        waiter: holdings.Waiter,
        decode_workers: packing.Packing,
        prefillers: Sequence[fleet.Tally],
    ) -> bool:
        """Grants a placement; returns whether there was room.

        If memory is lacking, the worker with the most room is closed to all
        other waiters of this pass, since the request will fit there first.
        """
        msg = waiter.msg
        turn = self._prefills.choose(now, msg.prompt, prefillers, msg.avoid)
        # If every prefill worker loses prompts, either their memory evicts the
        # prompts or the decode workers are fuller than planned. Neither can
        # lose a prompt that is prefilled at its decode worker.
        is_losing = self._prefills.losing(now, turn.worker)
        if is_losing and self._place_with_local_prefill(
            now, waiter, decode_workers
        ):
            return True
        if self._prefills.too_busy(now, msg.prompt, turn):
            waiter.short_of = 'prefill'
            return self._place_with_local_prefill(now, waiter, decode_workers)
        running = self._running_request(msg, turn.ready_at)
        near = _data_centre(prefillers, turn.worker)
        worker, fits = decode_workers.roomiest(running, msg.avoid, near)
        waiter.short_of = 'memory'
        if not worker:
            return False
        if not fits:
            decode_workers.keep(worker)
            return False
        if turn.worker:
            self._prefills.give(turn)
        placement = messages.Place(worker=worker, prefiller=turn.worker)
        self._record_placement(now, waiter, placement, running, decode_workers)
        self._placed[msg.request].read_alone = turn.starts_at <= now
        return True

    def _place_with_local_prefill(
        self,
        now: float,
        waiter: holdings.Waiter,
        decode_workers: packing.Packing,
    ) -> bool:
        """Grants a placement at a decode worker that prefills the prompt."""
        msg = waiter.msg
        prefill_s = ownreads.read_s(msg.prompt, self._prefills.reading.per_s)
        event_s = self._token_s * decode_workers.event_tokens
        gap_s = msg.gap_ms / 1000
        if not ownreads.unseen(prefill_s, event_s, gap_s):
            return False
        running = self._running_request(msg, now + prefill_s)
        busy = self._local_prefills.busy(now)
        worker, fits = decode_workers.roomiest(running, (*msg.avoid, *busy))
        if not worker or not fits:
            return False
        self._local_prefills.give(now, worker, prefill_s, gap_s)
        placement = messages.Place(
            worker=worker, prefiller='', reads_itself=True
        )
        self._record_placement(now, waiter, placement, running, decode_workers)
        return True

    def _running_request(
        self, msg: messages.AskPlace, started_at: float
    ) -> growth.Running:
        return growth.Running(
            prompt=msg.prompt,
            expected=self._lengths.expected(msg.hinted, msg.longest),
            longest=msg.longest,
            started_at=started_at,
        )

    def _record_placement(
        self,
        now: float,
        waiter: holdings.Waiter,
        placement: messages.Place,
        running: growth.Running,
        decode_workers: packing.Packing,
    ) -> None:
        decode_workers.give(placement.worker, running)
        waiter.place = placement
        msg = waiter.msg
        self._placed[msg.request] = holdings.Held(
            msg.holder, placement, running, now, msg.digest
        )

    def _token_s_at(self, now: float, worker: str) -> float:
        return self._token_s * self._decode_speeds.slowness(now, worker)

    def _remove_expired(self, now: float) -> None:
        """Removes waiters that stopped polling and expired placements."""
        for waiter in self._queue.expire(now):
            if waiter.place is not None:
                self._placed.pop(waiter.msg.request, None)
        for request, placed in list(self._placed.items()):
            if now - placed.kept_at > KEEP_S:
                del self._placed[request]


def _data_centre(tallies: Sequence[fleet.Tally], server: str) -> str:
    for tally in tallies:
        if tally.backend.id == server:
            return tally.backend.data_centre
    return ''


def _exclude(
    tallies: Sequence[fleet.Tally], excluded: frozenset[str]
) -> Sequence[fleet.Tally]:
    """Returns the servers that are not excluded; all if all are.

    If all servers of a stage are excluded, the cause is probably common to all
    of them, so they are used nevertheless.
    """
    usable = [tally for tally in tallies if tally.backend.id not in excluded]
    return usable or tallies
