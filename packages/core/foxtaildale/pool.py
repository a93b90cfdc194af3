"""Joint scheduling of all workers of one service at its coordinator.

The keeper that coordinates a service (see `coordinator_choice`) runs one pool
for it. An entry sends one request and gets the reply at once: granted (workers,
and when to start the prefill), queued (when to request again) or refused (why,
and when to retry). A grant covers prefill time, link time and a decode slot
together. The prefill is started so that it ends when the slot becomes free: an
engine evicts a prefill result within a second, and a result that is not fetched
by then is wasted.

Flow: `request_slot` -> `planning` finds the earliest joint time -> `admission`
grants, queues or refuses -> `_book`. `release` releases a grant and updates the
estimates. `renew` and `expire` make the ledger match what the holders report.
"""

from collections.abc import Sequence
from typing import Final

from foxtaildale import admission
from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import estimates
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import planning
from foxtaildale import values
from foxtaildale import workers

# Time between checks for expired grants and waiting requests, seconds.
_EXPIRE_S: Final = 0.1


class Pool:
    """Slots, prefill time and link time of one service."""

    __slots__ = ('_admission', '_expire_at', '_name', '_planner')

    _name: str
    _planner: planning.Planner
    _admission: admission.Admission
    # Time of the next check for expired grants and waiting requests, seconds.
    _expire_at: float

    def __init__(self, service_name: str) -> None:
        self._name = service_name
        self._planner = planning.Planner(values.Service(kind='model'))
        self._admission = admission.Admission(self._planner)
        self._expire_at = 0.0

    def on_service(
        self, service: values.Service, weights: values.Weights
    ) -> None:
        """Applies the service settings of the preset in force."""
        planner = self._planner
        if service.expected_tokens != planner.service.expected_tokens:
            planner.rates = estimates.Estimates(service.expected_tokens)
        planner.service = service
        planner.weights = weights

    def on_servers(
        self, now: float, servers: Sequence[values.BackendServer]
    ) -> None:
        """Updates the workers of the service from the newest list."""
        listed = {}
        for server in servers:
            if server.service != self._name:
                continue
            worker = self._planner.workers_by_name.get(server.name)
            if worker is None or worker.server.address != server.address:
                worker = workers.Worker(server)
            worker.server = server
            listed[server.name] = worker
        self._planner.workers_by_name = listed
        if self._planner.first_worker_at is None and listed:
            self._planner.first_worker_at = now

    def on_load(self, now: float, server: str, load: backends.Load) -> None:
        """Applies a delayed load report of one backend server."""
        worker = self._planner.workers_by_name.get(server)
        if worker is None:
            return
        worker.load = load
        reported_at = now - load.age_ms / 1000
        busy_s = self._planner.rates.prefill_s(server, load.backlog_tokens)
        # Only the load report shows that prefills run slower than planned.
        worker.prefills_end_at = max(
            worker.prefills_end_at, reported_at + busy_s
        )

    def on_cache(
        self, server: str, events: Sequence[backends.CacheEvent]
    ) -> None:
        """Applies cache events of one worker; they are late and have gaps."""
        for event in events:
            self._planner.hints.on_event(server, event)

    def request_slot(
        self, now: float, msg: messages.SlotRequest
    ) -> messages.SlotGrant | messages.Queued | messages.Refused:
        """Grants, queues or refuses a request for a slot; idempotent."""
        planner = self._planner
        grant = planner.grants.get(ledger.grant_name(msg.request, msg.attempt))
        if grant is not None and grant.decode in planner.workers_by_name:
            if msg.prefilled_at:
                self._move_to_free_worker(now, grant)
            return self._granted_reply(now, grant)
        if now >= self._expire_at:
            # Grants expire on the time scale of a heartbeat. In a large pool,
            # a check at every request would cost more than everything else.
            self._expire_at = now + _EXPIRE_S
            self.expire(now)
        waiting = self._admission.queue
        arrived_at = now - msg.waited_ms / 1000
        ahead_count, ahead_tokens = waiting.count_ahead(msg.request, arrived_at)
        plan = planner.plan(now, msg, ahead_count, ahead_tokens)
        if plan is None:
            waiting.remove(msg.request)
            return messages.Refused(
                code=codes.NO_BACKEND.name, figures=(), retry_after_ms=1000
            )
        reply = self._admission.decide(now, msg, plan)
        return reply or self._granted_reply(now, self._book(now, msg, plan))

    def release(self, now: float, msg: messages.SlotRelease) -> None:
        """Releases a grant and applies the times that its holder measured."""
        grant = self._planner.grants.get(msg.grant)
        if grant is None:
            request, _, _ = msg.grant.rpartition('/')
            self._admission.queue.remove(request)
            return
        batch = self._planner.grants.granted_slots(grant.decode)
        self._planner.grants.remove(msg.grant)
        self._release_booked_time(now, grant)
        self._update_estimates(grant, msg, batch)
        self._update_suspensions(now, grant, msg.result)

    def renew(self, now: float, msg: messages.SlotRenewal) -> None:
        """Renews the grants that a holder reports."""
        self._planner.grants.renew(now, msg.holder, msg.grants)

    def expire(self, now: float) -> tuple[str, ...]:
        """Removes expired grants and waiting requests; returns the grants."""
        self._admission.queue.expire(now)
        return self._planner.grants.expire(now)

    def dump(self) -> dict[str, object]:
        """Returns the state for the state dump."""
        planner = self._planner
        return {
            'service': self._name,
            'granted': len(planner.grants),
            'waiting': len(self._admission.queue),
            'decode_s': round(planner.rates.decode_time.value, 3),
            'workers': {
                name: {
                    'role': worker.server.role,
                    'state': worker.server.state,
                    'held': planner.grants.granted_slots(name),
                    'limit': planner.slot_limit(worker),
                }
                for name, worker in sorted(planner.workers_by_name.items())
            },
        }

    def _book(
        self, now: float, msg: messages.SlotRequest, plan: planning.Plan
    ) -> ledger.Grant:
        prefill = plan.prefill
        grant = ledger.Grant(
            request=msg.request,
            attempt=msg.attempt,
            holder=msg.holder,
            prefill=prefill.server.name if prefill else msg.prefilled_at,
            decode=plan.decode.server.name,
            prompt_tokens=msg.prompt_tokens,
            granted_at=now,
            start_at=plan.start_at,
            transfer_at=plan.transfer_at,
            decode_at=plan.decode_at,
        )
        self._planner.grants.add(grant)
        if prefill is not None:
            prefill.prefills_end_at = plan.transfer_at
            grant.prefixes = msg.prefix_digests
            self._planner.hints.record_placement(
                prefill.server.name, msg.prefix_digests
            )
        source = prefill or self._planner.workers_by_name.get(msg.prefilled_at)
        if source is not None:
            source.link_free_at = plan.decode_at
        return grant

    def _granted_reply(
        self, now: float, grant: ledger.Grant
    ) -> messages.SlotGrant:
        prefill = self._planner.workers_by_name.get(grant.prefill)
        decode = self._planner.workers_by_name[grant.decode]
        return messages.SlotGrant(
            grant=grant.name,
            prefill_worker=grant.prefill,
            prefill_address=prefill.server.address if prefill else '',
            decode_worker=grant.decode,
            decode_address=decode.server.address,
            start_in_ms=max(0, round((grant.start_at - now) * 1000)),
            expires_ms=round(ledger.GRANT_TTL_S * 1000),
        )

    def _move_to_free_worker(self, now: float, grant: ledger.Grant) -> None:
        """Moves a grant whose prefill is done to a worker with a free slot.

        Which of the full workers frees a slot first is not known when the
        prefill starts. If the grant stayed at its first worker, the result
        could be evicted while another worker has a free slot.
        """
        grant.awaiting_slot = True
        worker = self._planner.worker_with_free_slot(now)
        if worker is not None:
            # Grants booked there whose prefill still runs are moved when
            # their own prefill is done.
            grant.awaiting_slot = False
            self._planner.grants.move(now, grant, worker.server.name)

    def _release_booked_time(self, now: float, grant: ledger.Grant) -> None:
        """Frees the unused booked time of a grant's prefill worker."""
        worker = self._planner.workers_by_name.get(grant.prefill)
        if worker is None or grant.transfer_at <= now:
            return
        booked = [
            other
            for other in self._planner.grants.grants()
            if other.prefill == grant.prefill and other.transfer_at > now
        ]
        worker.prefills_end_at = max(
            (g.transfer_at for g in booked), default=now
        )
        worker.link_free_at = max((g.decode_at for g in booked), default=now)

    def _update_estimates(
        self, grant: ledger.Grant, msg: messages.SlotRelease, batch: int
    ) -> None:
        rates = self._planner.rates
        if grant.prefill and grant.prompt_tokens:
            if msg.prefill_ms:
                self._planner.hints.update_accuracy(
                    grant.prefill, grant.prefixes, msg.cached_tokens
                )
                rates.record_prefill(
                    grant.prefill,
                    grant.prompt_tokens - msg.cached_tokens,
                    msg.prefill_ms / 1000,
                )
            if msg.transfer_ms:
                rates.record_transfer(
                    grant.prefill, grant.prompt_tokens, msg.transfer_ms / 1000
                )
        if msg.result == 'done' and msg.decode_ms:
            rates.record_decode(batch, msg.output_tokens, msg.decode_ms / 1000)

    def _update_suspensions(
        self, now: float, grant: ledger.Grant, result: str
    ) -> None:
        """Suspends workers that failed and reinstates those that succeeded."""
        prefill = self._planner.workers_by_name.get(grant.prefill)
        decode = self._planner.workers_by_name.get(grant.decode)
        suspects: tuple[workers.Worker | None, ...] = {
            'prefill-failed': (prefill,),
            # One failed transfer does not show which side failed. The next
            # success of the working side ends its suspension.
            'transfer-failed': (prefill, decode),
            'decode-failed': (decode,),
        }.get(result, ())
        for worker in (prefill, decode) if result == 'done' else ():
            if worker is not None:
                worker.record_success()
        for worker in suspects:
            if worker is not None:
                worker.record_failure(now)
