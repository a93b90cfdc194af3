"""The home of a service: one place that plans all its workers jointly.

The keeper that is home (see `homes`) runs one pool for the service. An entry
asks once and learns at once: granted (workers, and when to start the prefill),
queued (when to ask again) or refused (why, and when to come back). A grant
covers prefill time, link time and a decode slot together, and prefill starts
so that its end meets the slot: an engine evicts a result within a second, and
a result that nobody fetched was work for nobody.

Flow: `ask` -> `planning` finds the earliest joint time -> `admission` grants,
queues or refuses -> `_book`. `end` gives back and feeds the estimates. `keep`
and `expire` keep the ledger true to the holders.
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

# Time between looks for lapsed grants and waiters, seconds.
_EXPIRE_S: Final = 0.1


class Pool:
    """Slots, prefill time and link time of one service."""

    __slots__ = ('_admission', '_expire_at', '_name', '_planner')

    _name: str
    _planner: planning.Planner
    _admission: admission.Admission
    # When lapsed grants and waiters are next looked for, seconds.
    _expire_at: float

    def __init__(self, service_name: str) -> None:
        self._name = service_name
        self._planner = planning.Planner(values.Service(kind='model'))
        self._admission = admission.Admission(self._planner)
        self._expire_at = 0.0

    def on_service(
        self, service: values.Service, weights: values.Weights
    ) -> None:
        """Takes what the preset in force says."""
        planner = self._planner
        if service.expected_tokens != planner.service.expected_tokens:
            planner.rates = estimates.Estimates(service.expected_tokens)
        planner.service = service
        planner.weights = weights

    def on_servers(
        self, now: float, servers: Sequence[values.BackendServer]
    ) -> None:
        """Takes the service's backend servers from the newest list."""
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
        """Takes a lagging report of one backend server."""
        worker = self._planner.listed.get(server)
        if worker is None:
            return
        worker.load = load
        reported_at = now - load.age_ms / 1000
        busy_s = self._planner.rates.prefill_s(server, load.backlog_tokens)
        # Prefills that run slower than planned show up here only.
        worker.free_at = max(worker.free_at, reported_at + busy_s)

    def on_cache(
        self, server: str, events: Sequence[backends.CacheEvent]
    ) -> None:
        """Takes cache events of one prefill worker, late and with gaps."""
        for event in events:
            self._planner.hints.on_event(server, event)

    def ask(
        self, now: float, msg: messages.AskSlot
    ) -> messages.Granted | messages.Queued | messages.Refused:
        """Grants, queues or refuses; asking again is harmless."""
        planner = self._planner
        grant = planner.grants.get(ledger.name(msg.request, msg.attempt))
        if grant is not None and grant.decode in planner.listed:
            if msg.ready_at:
                self._move(now, grant)
            return self._granted(now, grant)
        if now >= self._expire_at:
            # Lapsing matters at the scale of a beat; done at every ask it
            # would cost more than all the rest in a large pool.
            self._expire_at = now + _EXPIRE_S
            self.expire(now)
        waiting = self._admission.waiting
        arrived_at = now - msg.waited_ms / 1000
        count, tokens = waiting.ahead(msg.request, arrived_at)
        plan = planner.plan(now, msg, count, tokens)
        if plan is None:
            waiting.drop(msg.request)
            return messages.Refused(
                code=codes.NO_BACKEND.name, figures=(), retry_after_ms=1000
            )
        answer = self._admission.decide(now, msg, plan)
        return answer or self._granted(now, self._book(now, msg, plan))

    def end(self, now: float, msg: messages.EndSlot) -> None:
        """Takes a grant back, with what its holder measured."""
        grant = self._planner.grants.get(msg.grant)
        if grant is None:
            request, _, _ = msg.grant.rpartition('/')
            self._admission.waiting.drop(request)
            return
        batch = self._planner.grants.held(grant.decode)
        self._planner.grants.remove(msg.grant)
        self._give_back(now, grant)
        self._learn(grant, msg, batch)
        self._judge(now, grant, msg.result)

    def keep(self, now: float, msg: messages.KeepSlots) -> None:
        """Takes a holder's repeat of what it holds."""
        self._planner.grants.keep(now, msg.holder, msg.grants)

    def expire(self, now: float) -> tuple[str, ...]:
        """Ends lapsed grants, forgets late waiters; returns the grants."""
        self._admission.waiting.expire(now)
        return self._planner.grants.expire(now)

    def dump(self) -> dict[str, object]:
        """Returns the state for a person to read."""
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

    def _granted(self, now: float, grant: ledger.Grant) -> messages.Granted:
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

    def _move(self, now: float, grant: ledger.Grant) -> None:
        """Moves a grant whose prefill is done to a worker with a free slot.

        Which of the full workers frees a slot first is not known when a
        prefill starts. Left at the granted one, the result would be evicted
        while a slot stands empty elsewhere.
        """
        grant.parked = True
        worker = self._planner.free_now(now)
        if worker is not None:
            # What is booked there and not yet done moves in its turn.
            grant.parked = False
            self._planner.grants.move(now, grant, worker.server.name)

    def _give_back(self, now: float, grant: ledger.Grant) -> None:
        """Frees booked time that was not used."""
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

    def _learn(
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

    def _judge(self, now: float, grant: ledger.Grant, result: str) -> None:
        """Suspends workers that fail and trusts those that work."""
        prefill = self._planner.listed.get(grant.prefill)
        decode = self._planner.listed.get(grant.decode)
        blamed: tuple[workers.Worker | None, ...] = {
            'prefill-failed': (prefill,),
            # Whose side failed can't be told from one transfer. The worker
            # that is well clears its name with the next success.
            'transfer-failed': (prefill, decode),
            'decode-failed': (decode,),
        }.get(result, ())
        for worker in (prefill, decode) if result == 'done' else ():
            if worker is not None:
                worker.worked()
        for worker in blamed:
            if worker is not None:
                worker.failed(now)
