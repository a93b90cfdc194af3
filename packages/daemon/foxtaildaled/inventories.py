"""Asks entry VMs for their placements, as the coordinator of a service.

A coordinator without this inventory would grant memory that is in use: the
prompts of the placed requests would be prefilled and the decode workers would
then reject the requests. A new coordinator therefore grants no placement before
it has asked all VMs, which takes some milliseconds. Afterwards it asks once a
second the VMs that have placements as far as it knows, and some of the others
in rotation. If some VMs still use another coordinator, the placements of these
VMs show it.
"""

from collections.abc import Callable
import logging
from typing import Final

from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import router_state

# Interval between checks for due inventories, seconds. A first request for a
# placement wakes the loop.
POLL_S: Final = 1.0
# Timeout for the replies, seconds. Queued requests poll every 40 ms; a VM that
# just crashed must not delay all of them for longer than a prefill.
REPLY_TIMEOUT_S: Final = 0.15


class Inventories:
    """Takes the inventories; `take_due` is called by a loop."""

    __slots__ = ('_clock', '_own_placements', '_owner', '_peers')

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        peers: ports.PeerGroup,
        own_placements: Callable[[str], messages.PlacementRenewal],
        clock: ports.Clock,
    ) -> None:
        self._owner = owner
        self._peers = peers
        # Returns the placements of this entry VM itself for a service.
        self._own_placements = own_placements
        self._clock = clock

    def take_due(self) -> None:
        """Takes the inventories of the services that are due."""
        due = self._owner.run(
            lambda state, now: state.plans.due_inventories(now)
        )
        for service in due:
            self._take_inventory(service)

    def _take_inventory(self, service: str) -> None:
        started_at = self._clock()
        addresses = self._owner.run(
            lambda state, now: state.plans.inventory_peers(service, now)
        )
        request = messages.InventoryRequest(service=service)
        replies = self._peers.request_all(addresses, request, REPLY_TIMEOUT_S)
        reports = [
            reply
            for reply in (*replies.values(), self._own_placements(service))
            if isinstance(reply, messages.PlacementRenewal)
        ]
        is_first = self._owner.run(
            lambda state, now: state.plans.apply_inventory(
                service, reports, now
            )
        )
        if not is_first:
            return
        logs.event(
            logging.INFO,
            'home taken',
            service=service,
            asked=len(addresses),
            answered=len(replies),
            places=sum(len(report.places) for report in reports),
            took_ms=int((self._clock() - started_at) * 1000),
        )
