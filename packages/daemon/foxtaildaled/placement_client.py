"""Requests placements from the coordinator of a service.

It also reports the placements that this entry VM uses. A coordinator that does
not reply is skipped and the next one is asked (`coordinator_client`). A
coordinator asks all VMs for the placements that its plan lacks (`inventories`).
"""

import threading
from typing import Final

import msgspec

from foxtaildale import messages
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import coordinator_client
from foxtaildaled import router_state

# Timeout for the coordinator's reply, seconds. The coordinator decides without
# waiting and a round trip takes two milliseconds; after a timeout, much of a
# target of 0.9 s is left.
REPLY_TIMEOUT_S: Final = 0.25
# Interval between checks for suspects to probe, seconds.
PROBE_INTERVAL_S: Final = 0.2

Reply = messages.PlacementGrant | messages.Queued | messages.DeadlineUnreachable
_REPLY_TYPES: Final[tuple[type[Reply], ...]] = (
    messages.PlacementGrant,
    messages.Queued,
    messages.DeadlineUnreachable,
)


class PlacementClient:
    """Client of the coordinators for placements; safe for concurrent use."""

    __slots__ = (
        '_clock',
        '_coordinators',
        '_entry_vm',
        '_lock',
        '_owner',
        '_placements',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        owner: actors.StateOwner[router_state.RouterState],
        coordinators: coordinator_client.CoordinatorClient,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._owner = owner
        self._coordinators = coordinators
        self._clock = clock
        self._lock = threading.Lock()
        # Placements that this entry VM uses and since when, by service and
        # request.
        self._placements: dict[
            str, dict[str, tuple[messages.ActivePlacement, float]]
        ] = {}

    def request(self, msg: messages.PlacementRequest) -> Reply | None:
        """Requests a placement; None if no coordinator replies."""
        return self._coordinators.request(
            msg.service, msg, _REPLY_TYPES, REPLY_TIMEOUT_S
        )

    def record(self, service: str, placement: messages.ActivePlacement) -> None:
        """Records a placement that is in use from now on."""
        with self._lock:
            placements = self._placements.setdefault(service, {})
            placements[placement.request] = (placement, self._clock())

    def release(self, msg: messages.PlacementRelease) -> None:
        """Releases a placement; the coordinator is notified asynchronously."""
        with self._lock:
            self._placements.get(msg.service, {}).pop(msg.request, None)
        self._coordinators.notify(msg.service, msg)

    def report_failure(
        self, service: str, server: str, *, replaced: bool = False
    ) -> None:
        """Reports a failed server to the coordinator asynchronously.

        Args:
            service: Its service.
            server: Its id.
            replaced: Whether another server responded at its address.
        """
        self._coordinators.notify(
            service,
            messages.ServerFailureReport(
                service=service,
                server=server,
                holder=self._entry_vm,
                replaced=replaced,
            ),
        )

    def current_placements(self, service: str) -> messages.PlacementRenewal:
        """Returns the placements of a service that this entry VM uses."""
        now = self._clock()
        with self._lock:
            placements = list(self._placements.get(service, {}).values())
        return messages.PlacementRenewal(
            service=service,
            holder=self._entry_vm,
            places=tuple(
                msgspec.structs.replace(
                    placement, age_ms=int((now - since) * 1000)
                )
                for placement, since in placements
            ),
        )

    def probe_coordinators(self) -> None:
        """Probes new coordinators and suspects; called by a loop."""
        services = self._owner.run(
            lambda state, _: state.plans.planned_services()
        )
        for service in services:
            self._coordinators.probe_coordinator(service)
        self._coordinators.probe_suspects()

    def is_coordinator(self, service: str) -> bool:
        """Whether this entry VM is the coordinator of a service."""
        return self._coordinators.is_coordinator(service)
