"""The plan of a service's engines: decode memory, prefill time and the queue.

The plan is made for bursts of two to three times the usual traffic, in which
decode memory is full for seconds. One entry VM, the coordinator of the service,
plans for all VMs. No request is therefore sent to a full engine, requests of
the whole deployment are served in order of arrival, and a prompt is prefilled
only when its placement is certain.

`queues` decides which request is next, `packing` where it fits, and `prefills`
and `local_prefills` which worker prefills its prompt.

`Plan.request_placement` grants a placement or queues the request, and
`Plan.release` releases a placement. `Plan.renew` and the expiry of old entries
make the plan agree with the holders. A wrong plan costs time and never
correctness: engines refuse requests for which they have no memory.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
from typing import Final

from foxtaildale import engine_speeds
from foxtaildale import failure_reports
from foxtaildale import fleet
from foxtaildale import local_prefills
from foxtaildale import memory_growth
from foxtaildale import messages
from foxtaildale import packing
from foxtaildale import plan_entries
from foxtaildale import prefills
from foxtaildale import queues
from foxtaildale import refusals
from foxtaildale import response_lengths
from foxtaildale import routes
from foxtaildale import stage_balance
from foxtaildale import wait_limits

# Maximum number of waiters that fit nowhere and are overtaken by smaller ones
# behind them. For each of them, the worker with the most room is closed to all
# others for the pass, so that it does not starve behind many small requests.
MAX_PASSED_OVER: Final = 4
# Time between scheduling passes while requests wait, seconds. A pass goes
# through all engines. A coordinator with many waiters would do nothing else if
# each poll started a pass.
PASS_INTERVAL_S: Final = 0.02
# Time after which a placement expires if its holder does not renew it, seconds.
RENEWAL_TIMEOUT_S: Final = 4.0
# Initial time of one token before the first measurement, seconds. It is for
# planning only: a response that must be complete in time is not promised by it.
INITIAL_TOKEN_S: Final = 0.0007
# Weight of a new measurement in the moving average.
_NEW_WEIGHT: Final = 0.1

# Returns the decode workers and the prefill workers.
Engines = Callable[
    [], tuple[Sequence[fleet.ServerState], Sequence[fleet.ServerState]]
]


class Plan:
    """The plan of one service's engines; the time is an argument."""

    __slots__ = (
        '_decode_speeds',
        '_lengths',
        '_local_prefills',
        '_next_pass_at',
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
        self.balance = stage_balance.StageBalance()
        # By request.
        self._placed: dict[str, plan_entries.PlacedRequest] = {}
        self._queue = queues.Queue()
        self._lengths = response_lengths.ResponseLengths()
        # When the next scheduling pass is due, seconds.
        self._next_pass_at = 0.0
        self._local_prefills = local_prefills.LocalPrefills()
        self._prefills = prefills.Prefills()
        self._token_s = INITIAL_TOKEN_S
        self._decode_speeds = engine_speeds.EngineSpeeds()
        self._refusals = refusals.Refusals()
        self._reports = failure_reports.FailureReports()

    def request_placement(
        self,
        now: float,
        msg: messages.PlacementRequest,
        service: routes.Service,
        engines: Engines,
    ) -> (
        messages.PlacementGrant | messages.Queued | messages.DeadlineUnreachable
    ):
        """Grants a placement or queues the request; may be called repeatedly.

        Args:
            now: Seconds.
            msg: The placement request.
            service: The operators' settings of the engines.
            engines: Returns the decode workers and the prefill workers that
                may get work, best first.
        """
        waiter = self._queue.get(msg.request)
        if waiter is None or waiter.placement is None:
            too_late = self._check_deadline(msg)
            if too_late is not None:
                self._queue.leave(msg.request)
                return too_late
        if waiter is None:
            waiter = self._queue.join(now, msg)
            expected = msg.hinted_tokens or self._lengths.expected_tokens(
                0, msg.max_output_tokens
            )
            self.balance.record_request(msg.prompt_tokens, expected)
            if not waiter.position:
                self._next_pass_at = now
        waiter.polled_at = now
        waiter.msg = msg
        if now >= self._next_pass_at:
            self._next_pass_at = now + PASS_INTERVAL_S
            self._remove_expired(now)
            unusable = self._reports.failed_servers(
                now
            ) | self.balance.changing_engines(now)
            decoders, prefillers = engines()
            self._grant_placements(
                now,
                service,
                decoders,
                _exclude(
                    _exclude(decoders, unusable),
                    self._refusals.closed_workers(now),
                ),
                _exclude(prefillers, unusable),
            )
        if waiter.placement is not None:
            self._queue.leave(msg.request)
            return waiter.placement
        return self._queue.reply_for(waiter)

    def _check_deadline(
        self, msg: messages.PlacementRequest
    ) -> messages.DeadlineUnreachable | None:
        """Returns the refusal of a request that can't be completed in time."""
        if not msg.remaining_ms or msg.response_started:
            return None
        tokens = self._lengths.expected_tokens(
            msg.hinted_tokens, msg.max_output_tokens
        )
        token_s = self._decode_speeds.median_s()
        prefill_s = self._prefills.unqueued_s(msg.prompt_tokens)
        left_s = msg.remaining_ms / 1000
        if msg.must_finish:
            # A coordinator that is new has no measurements.
            token_s = token_s or msg.token_s
            if not token_s:
                return messages.DeadlineUnreachable(required_ms=0)
            if not self._prefills.speed.is_measured:
                prefill_s = max(prefill_s, msg.target_ms / 1000)
            needs_s = prefill_s + tokens * token_s
            longest_s = prefill_s + (
                (msg.max_output_tokens or math.inf) * token_s
            )
            is_late = wait_limits.may_outlast(needs_s, longest_s, left_s)
        else:
            needs_s = prefill_s + tokens * (token_s or self._token_s)
            is_late = wait_limits.cannot_finish(needs_s, left_s)
        if not is_late:
            return None
        return messages.DeadlineUnreachable(required_ms=int(needs_s * 1000))

    def release(self, now: float, msg: messages.PlacementRelease) -> None:
        """Releases a placement and records its holder's measurements."""
        self._queue.leave(msg.request)
        placed = self._placed.pop(msg.request, None)
        if placed is None:
            return
        self._next_pass_at = min(self._next_pass_at, now)
        if msg.complete:
            self._queue.record_served(placed.digest)
        if msg.prefill_rejected or msg.output_tokens:
            placement, accepted = placed.placement, not msg.prefill_rejected
            self._refusals.record(
                now,
                placement.decode_worker,
                placement.prefill_worker,
                accepted=accepted,
            )
        if msg.prefill_ms:
            prompt_tokens, took_s = placed.running.prompt, msg.prefill_ms / 1000
            self._prefills.record_prefill(
                now,
                placed.placement.prefill_worker,
                prompt_tokens,
                took_s,
                alone=placed.prefilled_alone,
            )
            if placed.placement.prefill_worker and (
                msg.prefill_rejected or msg.output_tokens
            ):
                accepted = not msg.prefill_rejected
                self._prefills.record_use(
                    now, placed.placement.prefill_worker, accepted=accepted
                )
        if msg.output_tokens and msg.decode_ms and msg.complete:
            token_s = msg.decode_ms / 1000 / msg.output_tokens
            self._token_s += _NEW_WEIGHT * (token_s - self._token_s)
            self._decode_speeds.record(
                now, placed.placement.decode_worker, token_s
            )
            self._lengths.record(msg.output_tokens)

    def forget(self, server: str) -> None:
        """Discards what is known of a worker that has restarted."""
        for request, placed in list(self._placed.items()):
            if placed.placement.decode_worker == server:
                del self._placed[request]
        self._prefills.forget(server)
        self._decode_speeds.forget(server)
        self._refusals.forget(server)
        self._local_prefills.forget(server)
        self._reports.forget(server)
        self.balance.record_restart(server)

    def record_failure(
        self, now: float, msg: messages.ServerFailureReport
    ) -> None:
        """Records a holder's report of a failed server."""
        self._reports.record(now, msg.server, msg.holder, replaced=msg.replaced)

    def renew(self, now: float, msg: messages.PlacementRenewal) -> None:
        """Renews all placements of a holder, which lists them.

        A listed placement that is not known is added. One that is known and not
        listed is removed.
        """
        listed = {entry.request for entry in msg.places}
        for request, placed in list(self._placed.items()):
            # Its release was lost, unless the grant is still on its way to the
            # holder.
            is_unlisted = placed.holder == msg.holder and request not in listed
            if is_unlisted and now - placed.renewed_at > queues.WAITER_TTL_S:
                del self._placed[request]
        for entry in msg.places:
            existing = self._placed.get(entry.request)
            if existing is not None:
                existing.renewed_at = now
                continue
            running = memory_growth.Running(
                prompt=entry.prompt_tokens,
                expected=self._lengths.expected_tokens(
                    entry.hinted_tokens, entry.max_output_tokens
                ),
                longest=entry.max_output_tokens,
                started_at=now - entry.age_ms / 1000,
            )
            self._placed[entry.request] = plan_entries.PlacedRequest(
                msg.holder,
                messages.PlacementGrant(
                    decode_worker=entry.decode_worker, prefill_worker=''
                ),
                running,
                now,
            )

    def stage_changes(
        self, now: float, service: routes.Service, engines: Engines
    ) -> tuple[stage_balance.Change, ...]:
        """Returns the engines that should change their stage now."""
        token_s = self._decode_speeds.median_s() or self._token_s
        share = self.balance.prefill_share(
            service, self._prefills.speed.tokens_per_s, token_s
        )
        has_queue = self._prefills.has_queue(
            now, self.balance.mean_prompt_tokens
        )
        decoders, prefillers = engines()
        # A slow engine is of no use as a prefill worker, but of some use as a
        # decode worker.
        healthy = [
            tally
            for tally in prefillers
            if not self._prefills.is_slow(now, tally.backend.id)
        ]
        return self.balance.changes(
            now, share, decoders, healthy, has_queue=has_queue
        )

    def holders(self) -> set[str]:
        """Returns the entry VMs that hold placements."""
        return {placed.holder for placed in self._placed.values()}

    def waiting_count(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue)

    def planned_counts(self) -> dict[str, int]:
        """Returns the number of planned requests by decode worker."""
        counts: dict[str, int] = {}
        for placed in self._placed.values():
            counts[placed.placement.decode_worker] = (
                counts.get(placed.placement.decode_worker, 0) + 1
            )
        return counts

    def _grant_placements(
        self,
        now: float,
        service: routes.Service,
        all_decoders: Sequence[fleet.ServerState],
        decoders: Sequence[fleet.ServerState],
        prefillers: Sequence[fleet.ServerState],
    ) -> None:
        """Grants placements to the first waiters as long as there is room."""
        decode_workers = packing.Packing(
            now,
            service,
            decoders,
            (
                (h.placement.decode_worker, h.running)
                for h in self._placed.values()
            ),
            lambda worker: self._token_s_at(now, worker),
            spare=all_decoders,
        )
        passed_over = 0
        position = 0
        for waiter in self._queue.ranked(now, self._prefills.mean_prefill_s):
            if passed_over <= MAX_PASSED_OVER and not decode_workers.is_full:
                has_room = self._place(now, waiter, decode_workers, prefillers)
                # A waiter for one software version holds up only its version.
                passed_over += not has_room and not waiter.msg.version
            if waiter.placement is not None:
                self._queue.record_grant(now)
                continue
            waiter.position = position
            position += 1

    def _place(
        self,
        now: float,
        waiter: plan_entries.Waiter,
        decode_workers: packing.Packing,
        prefillers: Sequence[fleet.ServerState],
    ) -> bool:
        """Grants a placement; returns whether there was room.

        If memory is lacking, the worker with the most room is closed to all
        other waiters of this pass, since the request will fit there first.
        """
        msg = waiter.msg
        turn = self._prefills.choose_worker(
            now, msg.prompt_tokens, prefillers, msg.excluded_servers
        )
        # If every prefill worker loses prompts, either their memory evicts the
        # prompts or the decode workers are fuller than planned. Neither can
        # lose a prompt that is prefilled at its decode worker.
        is_losing = self._prefills.is_losing_prompts(now, turn.worker)
        if is_losing and self._place_with_local_prefill(
            now, waiter, decode_workers
        ):
            return True
        if self._prefills.is_too_busy(now, msg.prompt_tokens, turn):
            waiter.missing_resource = 'prefill'
            return self._place_with_local_prefill(now, waiter, decode_workers)
        running = self._running_request(msg, turn.ready_at)
        near = _data_centre(prefillers, turn.worker)
        worker, fits = decode_workers.find_roomiest(
            running, msg.excluded_servers, near, msg.version
        )
        waiter.missing_resource = 'memory'
        if not worker:
            return False
        if not fits:
            decode_workers.close(worker)
            return False
        if turn.worker:
            self._prefills.assign(turn)
        placement = messages.PlacementGrant(
            decode_worker=worker, prefill_worker=turn.worker
        )
        self._record_placement(now, waiter, placement, running, decode_workers)
        self._placed[msg.request].prefilled_alone = turn.starts_at <= now
        return True

    def _place_with_local_prefill(
        self,
        now: float,
        waiter: plan_entries.Waiter,
        decode_workers: packing.Packing,
    ) -> bool:
        """Grants a placement at a decode worker that prefills the prompt."""
        msg = waiter.msg
        prefill_s = local_prefills.local_prefill_s(
            msg.prompt_tokens, self._prefills.speed.tokens_per_s
        )
        event_s = self._token_s * decode_workers.event_tokens
        gap_s = msg.max_gap_ms / 1000
        if not local_prefills.is_unnoticed(prefill_s, event_s, gap_s):
            return False
        running = self._running_request(msg, now + prefill_s)
        busy = self._local_prefills.busy_workers(now)
        worker, fits = decode_workers.find_roomiest(
            running, (*msg.excluded_servers, *busy), version=msg.version
        )
        if not worker or not fits:
            return False
        self._local_prefills.record(now, worker, prefill_s, gap_s)
        placement = messages.PlacementGrant(
            decode_worker=worker, prefill_worker='', local_prefill=True
        )
        self._record_placement(now, waiter, placement, running, decode_workers)
        return True

    def _running_request(
        self, msg: messages.PlacementRequest, started_at: float
    ) -> memory_growth.Running:
        return memory_growth.Running(
            prompt=msg.prompt_tokens,
            expected=self._lengths.expected_tokens(
                msg.hinted_tokens, msg.max_output_tokens
            ),
            longest=msg.max_output_tokens,
            started_at=started_at,
        )

    def _record_placement(
        self,
        now: float,
        waiter: plan_entries.Waiter,
        placement: messages.PlacementGrant,
        running: memory_growth.Running,
        decode_workers: packing.Packing,
    ) -> None:
        decode_workers.add(placement.decode_worker, running)
        waiter.placement = placement
        msg = waiter.msg
        self._placed[msg.request] = plan_entries.PlacedRequest(
            msg.holder, placement, running, now, msg.request_digest
        )

    def _token_s_at(self, now: float, worker: str) -> float:
        return self._token_s * self._decode_speeds.slowness(now, worker)

    def _remove_expired(self, now: float) -> None:
        """Removes waiters that stopped polling and expired placements."""
        for waiter in self._queue.expire(now):
            if waiter.placement is not None:
                self._placed.pop(waiter.msg.request, None)
        for request, placed in list(self._placed.items()):
            if now - placed.renewed_at > RENEWAL_TIMEOUT_S:
                del self._placed[request]


def _data_centre(tallies: Sequence[fleet.ServerState], server: str) -> str:
    for tally in tallies:
        if tally.backend.id == server:
            return tally.backend.data_centre
    return ''


def _exclude(
    tallies: Sequence[fleet.ServerState], excluded: frozenset[str]
) -> Sequence[fleet.ServerState]:
    """Returns the servers that are not excluded; all if all are.

    If all servers of a stage are excluded, the cause is probably common to all
    of them, so they are used nevertheless.
    """
    usable = [tally for tally in tallies if tally.backend.id not in excluded]
    return usable or tallies
