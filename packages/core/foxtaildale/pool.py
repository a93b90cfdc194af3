"""The home of a service: one place that plans all its workers jointly.

The keeper that is home (see `homes`) runs one pool for the service. An entry
asks once and learns at once: granted (workers, and when to start the prefill),
queued (when to ask again) or refused (why, and when to come back). A grant
covers prefill time, link time and a decode slot together, and prefill starts
so that its end meets the slot: an engine evicts a result within a second, and
a result that nobody fetched was work for nobody.

Flow: `ask` -> `_plan` finds the earliest joint time -> `_decide` grants,
queues or refuses. `end` gives back and feeds the estimates. `keep` and
`expire` keep the ledger true to the holders.
"""

from collections.abc import Sequence
from typing import Final

from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import estimates
from foxtaildale import ledger
from foxtaildale import messages
from foxtaildale import values
from foxtaildale import waiting
from foxtaildale import workers

# Prefills are booked at most this far ahead, seconds. Farther, the estimate of
# the slot is worth less than asking again.
HORIZON_S: Final = 0.6
# Shortest and longest time until a queued request asks again, seconds.
_AGAIN_S: Final = 0.02
_AGAIN_MOST_S: Final = 1.0
# A new home trusts load reports beside its ledger for so long, seconds: by
# then every holder has repeated its grants.
_REBUILD_S: Final = 2.5
# Share of the target up to which a new request is admitted by the estimate.
# At the whole target every answer of an overloaded pool would come at the edge
# of it, and half of them behind it; a shorter queue keeps the workers as busy.
_ADMIT_SHARE: Final = 0.5
# Longest time that a refusal tells a caller to stay away, seconds.
_RETRY_MOST_S: Final = 30.0


class Plan:
    """The earliest joint time for one request."""

    __slots__ = (
        'decode',
        'decode_at',
        'prefill',
        'start_at',
        'transfer_at',
    )

    # None where the prefill is done, or for a plain service.
    prefill: workers.Worker | None
    decode: workers.Worker
    # Seconds on the home's clock.
    start_at: float
    transfer_at: float
    decode_at: float

    def __init__(
        self,
        prefill: workers.Worker | None,
        decode: workers.Worker,
        start_at: float,
        transfer_at: float,
        decode_at: float,
    ) -> None:
        self.prefill = prefill
        self.decode = decode
        self.start_at = start_at
        self.transfer_at = transfer_at
        self.decode_at = decode_at


class Pool:
    """Slots, prefill time and link time of one service."""

    __slots__ = (
        '_born_at',
        '_estimates',
        '_ledger',
        '_name',
        '_retry_at',
        '_service',
        '_waiting',
        '_weights',
        '_workers',
    )

    _name: str
    _service: values.Service
    _weights: values.Weights
    _workers: dict[str, workers.Worker]
    _ledger: ledger.Ledger
    _waiting: waiting.Waiting
    _estimates: estimates.Estimates
    # When this home learned of its first worker; None before.
    _born_at: float | None
    # When the next refused caller is told to come back.
    _retry_at: float

    def __init__(self, service_name: str) -> None:
        self._name = service_name
        self._service = values.Service(kind='model')
        self._weights = values.Weights()
        self._workers = {}
        self._ledger = ledger.Ledger()
        self._waiting = waiting.Waiting()
        self._estimates = estimates.Estimates(self._service.expected_tokens)
        self._born_at = None
        self._retry_at = 0.0

    def on_service(
        self, service: values.Service, weights: values.Weights
    ) -> None:
        """Takes what the preset in force says."""
        if service.expected_tokens != self._service.expected_tokens:
            self._estimates = estimates.Estimates(service.expected_tokens)
        self._service = service
        self._weights = weights

    def on_servers(
        self, now: float, servers: Sequence[values.BackendServer]
    ) -> None:
        """Takes the service's backend servers from the newest list."""
        listed = {}
        for server in servers:
            if server.service != self._name:
                continue
            worker = self._workers.get(server.name)
            if worker is None or worker.server.address != server.address:
                worker = workers.Worker(server)
            worker.server = server
            listed[server.name] = worker
        self._workers = listed
        if self._born_at is None and listed:
            self._born_at = now

    def on_load(self, now: float, server: str, load: backends.Load) -> None:
        """Takes a lagging report of one backend server."""
        worker = self._workers.get(server)
        if worker is None:
            return
        worker.load = load
        reported_at = now - load.age_ms / 1000
        busy_s = self._estimates.prefill_s(server, load.backlog_tokens)
        # Prefills that run slower than planned show up here only.
        worker.free_at = max(worker.free_at, reported_at + busy_s)

    def ask(
        self, now: float, msg: messages.AskSlot
    ) -> messages.Granted | messages.Queued | messages.Refused:
        """Grants, queues or refuses; asking again is harmless."""
        grant = self._ledger.get(ledger.name(msg.request, msg.attempt))
        if grant is not None and grant.decode in self._workers:
            if msg.ready_at:
                self._move(now, grant)
            return self._granted(now, grant)
        self.expire(now)
        plan = self._plan(now, msg)
        if plan is None:
            self._waiting.drop(msg.request)
            return messages.Refused(
                code=codes.NO_BACKEND.name, figures=(), retry_after_ms=1000
            )
        return self._decide(now, msg, plan)

    def end(self, now: float, msg: messages.EndSlot) -> None:
        """Takes a grant back, with what its holder measured."""
        grant = self._ledger.get(msg.grant)
        if grant is None:
            request, _, _ = msg.grant.rpartition('/')
            self._waiting.drop(request)
            return
        batch = self._ledger.held(grant.decode)
        self._ledger.remove(now, msg.grant)
        self._give_back(now, grant)
        self._learn(grant, msg, batch)
        self._judge(now, grant, msg.result)

    def keep(self, now: float, msg: messages.KeepSlots) -> None:
        """Takes a holder's repeat of what it holds."""
        self._ledger.keep(now, msg.holder, msg.grants)

    def expire(self, now: float) -> tuple[str, ...]:
        """Ends lapsed grants, forgets late waiters; returns the grants."""
        self._waiting.expire(now)
        return self._ledger.expire(now)

    def dump(self) -> dict[str, object]:
        """Returns the state for a person to read."""
        return {
            'service': self._name,
            'granted': len(self._ledger),
            'waiting': len(self._waiting),
            'decode_s': round(self._estimates.decode.value, 3),
            'workers': {
                name: {
                    'role': worker.server.role,
                    'state': worker.server.state,
                    'held': self._ledger.held(name),
                    'limit': self._limit(worker),
                }
                for name, worker in sorted(self._workers.items())
            },
        }

    def _plan(self, now: float, msg: messages.AskSlot) -> Plan | None:
        arrived_at = now - msg.waited_ms / 1000
        count, tokens = self._waiting.ahead(msg.request, arrived_at)
        found = self._slot(now, count, msg.avoid)
        if found is None:
            return None
        decode, slot_at = found
        if self._service.kind == 'plain':
            return Plan(None, decode, slot_at, slot_at, slot_at)
        if msg.ready_at:
            return self._plan_link(now, msg, decode, slot_at)
        prefill = self._prefill(now, msg.prompt_tokens)
        if prefill is None:
            return None
        name = prefill.server.name
        ahead_s = self._estimates.prefill_s(name, tokens) / len(
            self._usable(now, 'prefill')
        )
        prefill_s = self._estimates.prefill_s(name, msg.prompt_tokens)
        transfer_s = self._estimates.transfer_s(name, msg.prompt_tokens)
        ready_at = max(now, prefill.free_at) + ahead_s + prefill_s
        transfer_at = max(ready_at, slot_at, prefill.link_at)
        return Plan(
            prefill,
            decode,
            transfer_at - prefill_s,
            transfer_at,
            transfer_at + transfer_s,
        )

    def _plan_link(
        self,
        now: float,
        msg: messages.AskSlot,
        decode: workers.Worker,
        slot_at: float,
    ) -> Plan:
        """Plans for a prefill that is done: link time and a slot only."""
        source = self._workers.get(msg.ready_at)
        link_at = source.link_at if source else now
        transfer_at = max(now, slot_at, link_at)
        took_s = self._estimates.transfer_s(msg.ready_at, msg.prompt_tokens)
        return Plan(
            None, decode, transfer_at, transfer_at, transfer_at + took_s
        )

    def _usable(self, now: float, role: values.Role) -> list[workers.Worker]:
        return [
            worker
            for worker in self._workers.values()
            if worker.server.role == role and worker.usable(now)
        ]

    def _slot_role(self) -> values.Role:
        return 'plain' if self._service.kind == 'plain' else 'decode'

    def _slot(
        self, now: float, ahead: int, avoid: str
    ) -> tuple[workers.Worker, float] | None:
        """Returns the decode worker with the earliest slot, and its time."""
        usable = self._usable(now, self._slot_role())
        usable = [w for w in usable if w.server.name != avoid] or usable
        if not usable:
            return None
        worker = min(usable, key=lambda w: self._used(now, w) / self._limit(w))
        limit = self._limit(worker)
        short = self._used(now, worker) + ahead / len(usable) + 1 - limit
        if short <= 0:
            return worker, now
        # A full worker frees its slots one decode time after the other.
        return worker, now + short * self._estimates.decode.value / limit

    def _prefill(self, now: float, tokens: int) -> workers.Worker | None:
        """Returns the prefill worker that would be done first."""
        return min(
            self._usable(now, 'prefill'),
            key=lambda w: (
                max(now, w.free_at)
                + self._estimates.prefill_s(w.server.name, tokens)
            ),
            default=None,
        )

    def _limit(self, worker: workers.Worker) -> int:
        target_s = self._service.between_tokens_ms / 1000
        return self._estimates.token.largest_batch(
            worker.server.slots, target_s
        )

    def _used(self, now: float, worker: workers.Worker) -> int:
        """Returns the slots taken, known or only reported."""
        held = self._ledger.held(worker.server.name)
        rebuilding = (
            self._born_at is not None and now < self._born_at + _REBUILD_S
        )
        if rebuilding and worker.load is not None:
            return max(held, worker.load.running)
        return held

    def _decide(
        self, now: float, msg: messages.AskSlot, plan: Plan
    ) -> messages.Granted | messages.Queued | messages.Refused:
        token_s = self._estimates.token.at(self._limit(plan.decode))
        estimate_ms = msg.waited_ms + 1000 * (plan.decode_at - now + token_s)
        target_ms = self._service.first_answer_ms
        waits = msg.request in self._waiting
        share = 1.0 if waits else _ADMIT_SHARE
        if target_ms and estimate_ms > share * target_ms:
            return self._refuse(
                now,
                msg,
                codes.NO_CAPACITY,
                (estimate_ms - target_ms) / 1000,
                estimate_ms=round(estimate_ms),
                target_ms=target_ms,
            )
        patience_ms = self._service.patience_ms
        bounded = patience_ms and not target_ms and not waits
        if bounded and estimate_ms > patience_ms:
            return self._refuse(
                now,
                msg,
                codes.LONG_WAIT,
                (estimate_ms - patience_ms) / 1000,
                estimate_ms=round(estimate_ms),
                patience_ms=patience_ms,
            )
        if plan.start_at <= now + HORIZON_S:
            self._waiting.drop(msg.request)
            return self._granted(now, self._book(now, msg, plan))
        wait_s = plan.start_at - now
        if patience_ms and msg.waited_ms >= patience_ms:
            return self._refuse(
                now, msg, codes.PATIENCE_OVER, wait_s, patience_ms=patience_ms
            )
        limit = self._service.queue_limit
        if msg.request not in self._waiting and len(self._waiting) >= limit:
            return self._refuse(
                now,
                msg,
                codes.QUEUE_FULL,
                wait_s,
                queued=len(self._waiting),
                limit=limit,
            )
        return self._queue(now, msg, wait_s)

    def _queue(
        self, now: float, msg: messages.AskSlot, wait_s: float
    ) -> messages.Queued:
        again_s = min(max(wait_s - HORIZON_S / 2, _AGAIN_S), _AGAIN_MOST_S)
        arrived_at = now - msg.waited_ms / 1000
        self._waiting.put(
            msg.request, arrived_at, now + again_s, msg.prompt_tokens
        )
        position, _ = self._waiting.ahead(msg.request, arrived_at)
        return messages.Queued(
            again_in_ms=max(1, round(again_s * 1000)), position=position
        )

    def _refuse(
        self,
        now: float,
        msg: messages.AskSlot,
        code: codes.Code,
        over_s: float,
        **figures: float,
    ) -> messages.Refused:
        """Refuses at once.

        Callers told the same time would all come back together and be refused
        together. Each is told a later one, as slots come free.
        """
        self._waiting.drop(msg.request)
        slots = sum(
            self._limit(w) for w in self._usable(now, self._slot_role())
        )
        every_s = self._estimates.decode.value / max(1, slots)
        earliest = now + max(over_s, every_s)
        self._retry_at = max(self._retry_at + every_s, earliest)
        self._retry_at = min(self._retry_at, now + _RETRY_MOST_S)
        return messages.Refused(
            code=code.name,
            figures=tuple(
                values.Figure(name, value) for name, value in figures.items()
            ),
            retry_after_ms=max(1, round((self._retry_at - now) * 1000)),
        )

    def _book(
        self, now: float, msg: messages.AskSlot, plan: Plan
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
        self._ledger.add(grant)
        if prefill is not None:
            prefill.free_at = plan.transfer_at
        source = prefill or self._workers.get(msg.ready_at)
        if source is not None:
            source.link_at = plan.decode_at
        return grant

    def _granted(self, now: float, grant: ledger.Grant) -> messages.Granted:
        prefill = self._workers.get(grant.prefill)
        decode = self._workers[grant.decode]
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
        worker = min(
            self._usable(now, self._slot_role()),
            key=lambda w: (
                self._ledger.occupied(w.server.name, now) / self._limit(w)
            ),
            default=None,
        )
        if worker is None:
            return
        name = worker.server.name
        if self._ledger.occupied(name, now) < self._limit(worker):
            # What is booked there and not yet done moves in its turn.
            grant.parked = False
            self._ledger.move(now, grant, name)

    def _give_back(self, now: float, grant: ledger.Grant) -> None:
        """Frees booked time that was not used."""
        worker = self._workers.get(grant.prefill)
        if worker is None or grant.transfer_at <= now:
            return
        booked = [
            other
            for other in self._ledger.grants()
            if other.prefill == grant.prefill and other.transfer_at > now
        ]
        worker.free_at = max((g.transfer_at for g in booked), default=now)
        worker.link_at = max((g.decode_at for g in booked), default=now)

    def _learn(
        self, grant: ledger.Grant, msg: messages.EndSlot, batch: int
    ) -> None:
        if grant.prefill and grant.prompt_tokens:
            if msg.prefill_ms:
                self._estimates.measured_prefill(
                    grant.prefill, grant.prompt_tokens, msg.prefill_ms / 1000
                )
            if msg.transfer_ms:
                self._estimates.measured_transfer(
                    grant.prefill, grant.prompt_tokens, msg.transfer_ms / 1000
                )
        if msg.result == 'done' and msg.decode_ms:
            self._estimates.measured_decode(
                batch, msg.output_tokens, msg.decode_ms / 1000
            )

    def _judge(self, now: float, grant: ledger.Grant, result: str) -> None:
        """Suspends workers that fail and trusts those that work."""
        prefill = self._workers.get(grant.prefill)
        decode = self._workers.get(grant.decode)
        if result == 'done':
            for worker in (prefill, decode):
                if worker is not None:
                    worker.worked()
        elif result == 'prefill-failed' and prefill is not None:
            prefill.failed(now)
        elif result in ('transfer-failed', 'decode-failed') and decode:
            decode.failed(now)
