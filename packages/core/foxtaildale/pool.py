"""Joint scheduling of all workers of one service at its coordinator.

The keeper that coordinates a service (see `homes`) runs one pool for it. An
entry sends one request and gets the reply at once: granted (workers, and when
to start the prefill), queued (when to request again) or refused (why, and when
to retry). A grant covers prefill time, link time and a decode slot together. The
prefill is started so that it ends when the slot becomes free: an engine evicts
a prefill result within a second, and a result that is not fetched by then is
wasted.

Flow: `ask` -> `planning` finds the earliest joint time -> `admission` grants,
queues or refuses -> `_book`. `end` releases a grant and updates the estimates.
`keep` and `expire` make the ledger match what the holders report.
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
            worker = self._planner.listed.get(server.name)
            if worker is None or worker.server.address != server.address:
                worker = workers.Worker(server)
            worker.server = server
            listed[server.name] = worker
        self._planner.listed = listed
        if self._planner.born_at is None and listed:
            self._planner.born_at = now

    def on_load(self, now: float, server: str, load: backends.Load) -> None:
        """Applies a delayed load report of one backend server."""
        worker = self._planner.listed.get(server)
        if worker is None:
            return
        worker.load = load
        reported_at = now - load.age_ms / 1000
        busy_s = self._planner.rates.prefill_s(server, load.backlog_tokens)
        # Only the load report shows that prefills run slower than planned.
        worker.free_at = max(worker.free_at, reported_at + busy_s)

    def on_cache(
        self, server: str, events: Sequence[backends.CacheEvent]
    ) -> None:
        """Applies cache events of one worker; they are late and have gaps."""
        for event in events:
            self._planner.hints.on_event(server, event)

    def ask(
        self, now: float, msg: messages.AskSlot
    ) -> messages.Granted | messages.Queued | messages.Refused:
        """Grants, queues or refuses a request for a slot; idempotent."""
        planner = self._planner
        grant = planner.grants.get(ledger.name(msg.request, msg.attempt))
        if grant is not None and grant.decode in planner.listed:
            if msg.ready_at:
                self._move_to_free_worker(now, grant)
            return self._granted_reply(now, grant)
        if now >= self._expire_at:
            # Grants expire on the time scale of a heartbeat. In a large pool,
            # a check at every request would cost more than everything else.
            self._expire_at = now + _EXPIRE_S
            self.expire(now)
        waiting = self._admission.waiting
        arrived_at = now - msg.waited_ms / 1000
        ahead_count, ahead_tokens = waiting.ahead(msg.request, arrived_at)
        plan = planner.plan(now, msg, ahead_count, ahead_tokens)
        if plan is None:
            waiting.drop(msg.request)
            return messages.Refused(
                code=codes.NO_BACKEND.name, figures=(), retry_after_ms=1000
            )
        reply = self._admission.decide(now, msg, plan)
        return reply or self._granted_reply(now, self._book(now, msg, plan))

    def end(self, now: float, msg: messages.EndSlot) -> None:
        """Releases a grant and applies the times that its holder measured."""
        grant = self._planner.grants.get(msg.grant)
        if grant is None:
            request, _, _ = msg.grant.rpartition('/')
            self._admission.waiting.drop(request)
            return
        batch = self._planner.grants.held(grant.decode)
        self._planner.grants.remove(msg.grant)
        self._release_booked_time(now, grant)
        self._update_estimates(grant, msg, batch)
        self._update_suspensions(now, grant, msg.result)

    def keep(self, now: float, msg: messages.KeepSlots) -> None:
        """Renews the grants that a holder reports."""
        self._planner.grants.keep(now, msg.holder, msg.grants)

    def expire(self, now: float) -> tuple[str, ...]:
        """Removes expired grants and waiting requests; returns the grants."""
        self._admission.waiting.expire(now)
        return self._planner.grants.expire(now)

    def dump(self) -> dict[str, object]:
        """Returns the state for the state dump."""
        planner = self._planner
        return {
            'service': self._name,
            'granted': len(planner.grants),
            'waiting': len(self._admission.waiting),
            'decode_s': round(planner.rates.decode.value, 3),
            'workers': {
                name: {
                    'role': worker.server.role,
                    'state': worker.server.state,
                    'held': planner.grants.held(name),
                    'limit': planner.limit(worker),
                }
                for name, worker in sorted(planner.listed.items())
            },
        }

    def _book(
        self, now: float, msg: messages.AskSlot, plan: planning.Plan
    ) -> ledger.Grant:
        prefill = plan.prefill
        grant = ledger.Grant(
            request=msg.request,
            attempt=msg.attempt,
            holder=msg.holder,
            prefill=prefill.server.name if prefill else msg.ready_at,
            decode=plan.decode.server.name,
            prompt_tokens=msg.prompt_tokens,
            given_at=now,
            start_at=plan.start_at,
            transfer_at=plan.transfer_at,
            decode_at=plan.decode_at,
        )
        self._planner.grants.add(grant)
        if prefill is not None:
            prefill.free_at = plan.transfer_at
            grant.prefixes = msg.prefixes
            self._planner.hints.placed(prefill.server.name, msg.prefixes)
        source = prefill or self._planner.listed.get(msg.ready_at)
        if source is not None:
            source.link_at = plan.decode_at
        return grant

    def _granted_reply(
        self, now: float, grant: ledger.Grant
    ) -> messages.Granted:
        prefill = self._planner.listed.get(grant.prefill)
        decode = self._planner.listed[grant.decode]
        return messages.Granted(
            grant=grant.grant,
            prefill=grant.prefill,
            prefill_address=prefill.server.address if prefill else '',
            decode=grant.decode,
            decode_address=decode.server.address,
            start_in_ms=max(0, round((grant.start_at - now) * 1000)),
            lapses_ms=round(ledger.LAPSE_S * 1000),
        )

    def _move_to_free_worker(self, now: float, grant: ledger.Grant) -> None:
        """Moves a grant whose prefill is done to a worker with a free slot.

        Which of the full workers frees a slot first is not known when the
        prefill starts. If the grant stayed at its first worker, the result
        could be evicted while another worker has a free slot.
        """
        grant.parked = True
        worker = self._planner.free_now(now)
        if worker is not None:
            # Grants booked there whose prefill still runs are moved when
            # their own prefill is done.
            grant.parked = False
            self._planner.grants.move(now, grant, worker.server.name)

    def _release_booked_time(self, now: float, grant: ledger.Grant) -> None:
        """Frees the unused booked time of a grant's prefill worker."""
        worker = self._planner.listed.get(grant.prefill)
        if worker is None or grant.transfer_at <= now:
            return
        booked = [
            other
            for other in self._planner.grants.grants()
            if other.prefill == grant.prefill and other.transfer_at > now
        ]
        worker.free_at = max((g.transfer_at for g in booked), default=now)
        worker.link_at = max((g.decode_at for g in booked), default=now)

    def _update_estimates(
        self, grant: ledger.Grant, msg: messages.EndSlot, batch: int
    ) -> None:
        rates = self._planner.rates
        if grant.prefill and grant.prompt_tokens:
            if msg.prefill_ms:
                self._planner.hints.checked(
                    grant.prefill, grant.prefixes, msg.cached_tokens
                )
                rates.measured_prefill(
                    grant.prefill,
                    grant.prompt_tokens - msg.cached_tokens,
                    msg.prefill_ms / 1000,
                )
            if msg.transfer_ms:
                rates.measured_transfer(
                    grant.prefill, grant.prompt_tokens, msg.transfer_ms / 1000
                )
        if msg.result == 'done' and msg.decode_ms:
            rates.measured_decode(
                batch, msg.output_tokens, msg.decode_ms / 1000
            )

    def _update_suspensions(
        self, now: float, grant: ledger.Grant, result: str
    ) -> None:
        """Suspends workers that failed and reinstates those that succeeded."""
        prefill = self._planner.listed.get(grant.prefill)
        decode = self._planner.listed.get(grant.decode)
        suspects: tuple[workers.Worker | None, ...] = {
            'prefill-failed': (prefill,),
            # One failed transfer does not show which side failed. The next
            # success of the working side ends its suspension.
            'transfer-failed': (prefill, decode),
            'decode-failed': (decode,),
        }.get(result, ())
        for worker in (prefill, decode) if result == 'done' else ():
            if worker is not None:
                worker.worked()
        for worker in suspects:
            if worker is not None:
                worker.failed(now)
