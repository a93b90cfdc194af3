"""Orders engines to change between the stages prefill and decode.

The coordinator of a service knows its load and which engines should change
(`stage_balance`). Before it orders a change, it claims a lease in the store
(`lease`). The outcome of an order is read from the list of backend servers and
not from the reply: an order whose reply was lost may be executed seconds later.
"""

import logging
from typing import Final

from foxtaildale import errors
from foxtaildale import lease
from foxtaildale import ports
from foxtaildale import positions
from foxtaildale import stage_balance
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import placement_client
from foxtaildaled import router_state

# Polling interval, seconds. A surplus must have lasted for one interval.
POLL_S: Final = 0.5
# Minimum interval between two claims for one service, seconds. The effect of an
# order is in the list of servers one heartbeat of 1.2 s later.
MIN_CLAIM_INTERVAL_S: Final = 2.0


class StageOrders:
    """Orders stage changes; `order_due_changes` is called by a loop."""

    __slots__ = (
        '_client',
        '_clock',
        '_codec',
        '_entry_vm',
        '_holder',
        '_lease_s',
        '_leases',
        '_next_claim_at',
        '_owner',
        '_store',
        '_workers',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        holder: str,
        lease_s: float,
        owner: actors.StateOwner[router_state.RouterState],
        client: placement_client.PlacementClient,
        codec: ports.RecordCodec,
        store: ports.KeyedTopics,
        workers: ports.ServerClient,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        # Identifies this incarnation of this entry VM in its claims.
        self._holder = holder
        self._lease_s = lease_s
        self._owner = owner
        self._client = client
        self._codec = codec
        self._store = store
        self._workers = workers
        self._clock = clock
        self._leases: dict[str, lease.Lease] = {}
        # Earliest time of the next claim by service, seconds.
        self._next_claim_at: dict[str, float] = {}

    def order_due_changes(self) -> None:
        """Orders the due stage changes of each service that is planned here."""
        wanted = self._owner.run(
            lambda state, now: state.plans.stage_changes(now)
        )
        for service, changes in wanted.items():
            if self._clock() < self._next_claim_at.get(service, 0.0):
                continue
            if changes and self._client.is_coordinator(service):
                self._order_changes(service, changes)

    def _order_changes(
        self, service: str, changes: tuple[stage_balance.Change, ...]
    ) -> None:
        service_lease = self._leases.setdefault(
            service, lease.Lease(self._holder, self._lease_s)
        )
        try:
            fence = self._claim(service, service_lease)
        except errors.PortError as exc:
            logs.event(
                logging.INFO, 'claim failed', service=service, error=str(exc)
            )
            self._next_claim_at[service] = self._clock() + MIN_CLAIM_INTERVAL_S
            return
        if fence is None:
            return
        self._next_claim_at[service] = self._clock() + MIN_CLAIM_INTERVAL_S
        for change in changes:
            if service_lease.may_order(self._clock()):
                self._order(service, change, fence)

    def _claim(self, service: str, service_lease: lease.Lease) -> int | None:
        """Returns a fencing token; None while another VM may order changes.

        Raises:
            errors.PortError: The store refused the claim, or the outcome is
                not known.
        """
        topic = self._codec.holders_topic
        holders = self._store.read_newest(topic)
        offset, holder = None, ''
        for entry in holders.entries:
            if entry.key == service:
                offset, holder = (
                    entry.offset,
                    entry.value.decode(errors='replace'),
                )
        epoch = positions.epoch(holders.end)
        if not service_lease.may_claim(self._clock(), epoch, offset, holder):
            return None
        service_lease.start_claim(self._clock())
        value = self._holder.encode()
        return (
            self._store.put_if_unchanged(topic, service, value, holders.end) + 1
        )

    def _order(
        self, service: str, change: stage_balance.Change, fence: int
    ) -> None:
        server = change.backend
        # The order is recorded before it is sent, since it may be executed
        # whatever the reply is.
        self._owner.run(
            lambda state, now: state.plans.record_order(service, server.id, now)
        )
        try:
            reply = self._workers.order_stage(
                server, change.stage, self._entry_vm, fence
            ).text
        except errors.PortError as exc:
            reply = str(exc)
        logs.event(
            logging.INFO,
            'stage ordered',
            server=server.id,
            service=service,
            stage=change.stage,
            fence=fence,
            answer=reply,
        )
