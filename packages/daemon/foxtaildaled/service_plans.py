"""The plans of the services that this entry VM coordinates.

A coordinator plans the engines of a service for all entry VMs
(`placement_plan`). A new coordinator does not know which placements are in use,
and grants none before it has asked the other VMs (`inventories`). Owned by the
actor of `router_state`.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Protocol

import msgspec

from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import placement_plan
from foxtaildale import routes
from foxtaildale import stage_balance

# In seconds: inventories of a service are taken as long as placements were
# requested within `_REQUESTED_S`. `_INVENTORY_S` is the minimum interval
# between two inventories; it is slightly shorter than the interval of the loop,
# so that no iteration is skipped. The coordinator grants no placements if the
# last inventory is older than `_MAX_INVENTORY_AGE_S`.
_REQUESTED_S = 2.0
_INVENTORY_S = 0.9
_MAX_INVENTORY_AGE_S = 3.0
# Number of VMs that each inventory asks in rotation, in addition to the VMs
# that have placements according to the plan. It is limited so that the
# coordinator of a large site is not busy with the replies of all VMs.
_INVENTORY_SAMPLE = 16


class StateView(Protocol):
    """The part of the router state that the plans need."""

    fleet: fleet.Fleet
    matcher: routes.Matcher | None
    entry_vms: dict[str, forwarding.EntryVm]

    def peers(self) -> list[str]:
        """Returns the peer addresses of the other entry VMs."""


class ServicePlans:
    """The plans by service; the current time is passed as an argument."""

    __slots__ = (
        '_inventory_at',
        '_peer_address',
        '_plans',
        '_requested_at',
        '_sample_start',
        '_state',
        'on_inventory_needed',
    )

    def __init__(self, state: StateView, peer_address: str) -> None:
        self._state = state
        self._peer_address = peer_address
        self._plans: dict[str, placement_plan.Plan] = {}
        # By service: when placements were last requested from this VM, and
        # when the last inventory of all entry VMs was complete.
        self._requested_at: dict[str, float] = {}
        self._inventory_at: dict[str, float] = {}
        # Index at which the next sample of VMs starts.
        self._sample_start = 0
        # Called when an inventory is needed immediately.
        self.on_inventory_needed: Callable[[], None] = lambda: None

    def request_placement(
        self, msg: messages.PlacementRequest, now: float
    ) -> messages.Message:
        """Handles a placement request as the coordinator of a service."""
        if self._state.matcher is None:
            return messages.ErrorReply(code='not-ready')
        name = msg.service
        service = self._state.matcher.table.service(name)
        plan = self._plans.setdefault(name, placement_plan.Plan())
        self._requested_at[name] = now
        engines = self._engines(name, now)
        if not self._has_inventory(name, now):
            # The request is queued without engines, so that it loses no time:
            # its placement is granted as soon as the inventory is complete.
            self.on_inventory_needed()
            engines = _no_engines
        return plan.request_placement(now, msg, service, engines)

    def due_inventories(self, now: float) -> list[str]:
        """Returns the services whose inventory is due."""
        return [
            service
            for service, requested_at in self._requested_at.items()
            if now - requested_at < _REQUESTED_S
            and now - self._inventory_at.get(service, -math.inf) >= _INVENTORY_S
        ]

    def inventory_peers(self, service: str, now: float) -> list[str]:
        """Returns the addresses of the VMs to ask for their placements.

        These are all VMs if there is no recent inventory; otherwise the VMs
        that have placements according to the plan, and a sample of the others.
        """
        addresses = self._state.peers()
        if not self._has_inventory(service, now):
            return addresses
        names = self._plans[service].holders() if service in self._plans else ()
        holders = {
            self._state.entry_vms[name].peer_address
            for name in names
            if name in self._state.entry_vms
        }
        others = [address for address in addresses if address not in holders]
        if len(others) > _INVENTORY_SAMPLE:
            start = self._sample_start % len(others)
            self._sample_start = start + _INVENTORY_SAMPLE
            others = (others + others)[start : start + _INVENTORY_SAMPLE]
        holders.discard(self._peer_address)
        return sorted({*holders, *others})

    def apply_inventory(
        self,
        service: str,
        reports: Iterable[messages.PlacementRenewal],
        now: float,
    ) -> bool:
        """Applies the placements that entry VMs report.

        Returns:
            Whether there was no recent inventory before.
        """
        first = not self._has_inventory(service, now)
        for report in reports:
            self.renew(report, now)
        self._inventory_at[service] = now
        return first

    def _has_inventory(self, service: str, now: float) -> bool:
        return (
            now - self._inventory_at.get(service, -math.inf)
            < _MAX_INVENTORY_AGE_S
        )

    def stage_changes(
        self, now: float
    ) -> dict[str, tuple[stage_balance.Change, ...]]:
        """Returns the stage changes that are wanted, by service."""
        if self._state.matcher is None:
            return {}
        table = self._state.matcher.table
        return {
            name: plan.stage_changes(
                now, table.service(name), self._engines(name, now)
            )
            for name, plan in self._plans.items()
        }

    def record_order(self, service: str, server: str, now: float) -> None:
        """Records that an engine was ordered to change its stage."""
        self._plans[service].balance.record_order(now, server)

    def release(self, msg: messages.PlacementRelease, now: float) -> None:
        """Releases a placement as the coordinator of a service."""
        plan = self._plans.get(msg.service)
        if plan is not None:
            plan.release(now, msg)

    def record_failure(
        self, msg: messages.ServerFailureReport, now: float
    ) -> None:
        """Records a report of a failed server as the coordinator."""
        plan = self._plans.setdefault(msg.service, placement_plan.Plan())
        plan.record_failure(now, msg)

    def renew(self, msg: messages.PlacementRenewal, now: float) -> None:
        """Applies the placements that an entry VM reports."""
        # A placement at an earlier incarnation of a worker is lost.
        placements = tuple(
            placement
            for placement in msg.places
            if placement.started_at
            >= self._state.fleet.started_at(placement.decode_worker)
        )
        plan = self._plans.setdefault(msg.service, placement_plan.Plan())
        plan.renew(now, msgspec.structs.replace(msg, places=placements))

    def planned_services(self) -> tuple[str, ...]:
        """Returns the services whose engines are planned by a coordinator."""
        if self._state.matcher is None:
            return ()
        services = self._state.matcher.table.services
        return tuple(item.name for item in services if item.kv_tokens)

    def summary(self) -> dict[str, dict[str, object]]:
        """Returns a summary of the plans for operators."""
        return {
            name: {
                'waiting': plan.waiting_count(),
                'planned': plan.planned_counts(),
            }
            for name, plan in self._plans.items()
        }

    def _engines(self, service: str, now: float) -> placement_plan.Engines:
        return lambda: (
            # Engines in backoff for this entry VM may accept requests of other
            # VMs.
            self._state.fleet.candidates(
                service, now, 'decode', in_backoff=True
            ),
            self._state.fleet.candidates(
                service, now, 'prefill', in_backoff=True
            ),
        )

    def record_restart(self, server: str) -> None:
        """Removes what was recorded about a server that restarted."""
        for plan in self._plans.values():
            plan.forget(server)


def _no_engines() -> tuple[
    Sequence[fleet.ServerState], Sequence[fleet.ServerState]
]:
    return (), ()
