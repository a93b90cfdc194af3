"""Orders engines to change between reading prompts and making tokens.

The home of a service knows its load and what should change (`balance`); before
it orders anything it claims the right to in the store (`lease`). What came of
an order is seen in the list of backend servers, not in its answer: an order
without one may be carried out seconds later.
"""

import logging
from typing import Final

from foxtaildale import balance
from foxtaildale import errors
from foxtaildale import lease
from foxtaildale import ports
from foxtaildale import positions
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import beliefs
from foxtaildaled import places

# Time between looks, seconds; a surplus must have lasted one.
LOOK_S: Final = 0.5
# Time between two claims for one service, seconds: what one order did is in
# the list of servers a heartbeat of 1.2 s later.
PAUSE_S: Final = 2.0


class Balancing:
    """Looks and orders; `step` is called by a loop."""

    __slots__ = (
        '_clock',
        '_codec',
        '_entry_vm',
        '_holder',
        '_lease_s',
        '_leases',
        '_next_at',
        '_owner',
        '_plan',
        '_store',
        '_workers',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        holder: str,
        lease_s: float,
        owner: actors.Owner[beliefs.Beliefs],
        plan: places.Places,
        codec: ports.RecordCodec,
        store: ports.Topics,
        workers: ports.Workers,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        # Names this start of this entry VM in its claims.
        self._holder = holder
        self._lease_s = lease_s
        self._owner = owner
        self._plan = plan
        self._codec = codec
        self._store = store
        self._workers = workers
        self._clock = clock
        self._leases: dict[str, lease.Lease] = {}
        # No claim for a service before, seconds.
        self._next_at: dict[str, float] = {}

    def step(self) -> None:
        """Looks once at every service that is planned here."""
        wanted = self._owner.run(
            lambda state, now: state.plans.stage_changes(now)
        )
        for service, changes in wanted.items():
            if self._clock() < self._next_at.get(service, 0.0):
                continue
            if changes and self._plan.is_home(service):
                self._change(service, changes)

    def _change(
        self, service: str, changes: tuple[balance.Change, ...]
    ) -> None:
        held = self._leases.setdefault(
            service, lease.Lease(self._holder, self._lease_s)
        )
        try:
            fence = self._claim(service, held)
        except errors.PortError as exc:
            logs.event(
                logging.INFO, 'claim failed', service=service, error=str(exc)
            )
            self._next_at[service] = self._clock() + PAUSE_S
            return
        if fence is None:
            return
        self._next_at[service] = self._clock() + PAUSE_S
        for change in changes:
            if held.may_order(self._clock()):
                self._order(service, change, fence)

    def _claim(self, service: str, held: lease.Lease) -> int | None:
        """Returns a fencing token; None while another VM may be ordering.

        Raises:
            errors.PortError: The store did not take the claim, or may have.
        """
        topic = self._codec.holders_topic
        found = self._store.newest(topic)
        offset, holder = None, ''
        for entry in found.entries:
            if entry.key == service:
                offset, holder = entry.offset, entry.value.decode()
        epoch = positions.epoch(found.end)
        if not held.may_claim(self._clock(), epoch, offset, holder):
            return None
        held.claiming(self._clock())
        value = self._holder.encode()
        return self._store.claim(topic, service, value, found.end) + 1

    def _order(self, service: str, change: balance.Change, fence: int) -> None:
        server = change.backend
        # Noted first: whatever its answer, it may be carried out.
        self._owner.run(
            lambda state, now: state.plans.stage_ordered(
                service, server.id, now
            )
        )
        try:
            answer = self._workers.order_stage(
                server, change.stage, self._entry_vm, fence
            ).text
        except errors.PortError as exc:
            answer = str(exc)
        logs.event(
            logging.INFO,
            'stage ordered',
            server=server.id,
            service=service,
            stage=change.stage,
            fence=fence,
            answer=answer,
        )
