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
from foxtaildaled import beliefs

# Interval between checks for due inventories, seconds. A first request for a
# placement wakes the loop.
LOOK_S: Final = 1.0
# Timeout for the replies, seconds. Queued requests poll every 40 ms; a VM that
# just crashed must not delay all of them for longer than a prefill.
ANSWER_S: Final = 0.15


class Surveys:
    """Takes the inventories; `step` is called by a loop."""

    __slots__ = ('_clock', '_own_placements', '_owner', '_peers')

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        peers: ports.PeerGroup,
        held: Callable[[str], messages.KeepPlaces],
        clock: ports.Clock,
    ) -> None:
        self._owner = owner
        self._peers = peers
        # Returns the placements of this entry VM itself for a service.
        self._own_placements = held
        self._clock = clock

    def step(self) -> None:
        """Takes the inventories of the services that are due."""
        due = self._owner.run(lambda state, now: state.plans.surveys_due(now))
        for service in due:
            self._take_inventory(service)

    def _take_inventory(self, service: str) -> None:
        started_at = self._clock()
        addresses = self._owner.run(
            lambda state, now: state.plans.survey_peers(service, now)
        )
        request = messages.AskHeld(service=service)
        replies = self._peers.ask_all(addresses, request, ANSWER_S)
        reports = [
            reply
            for reply in (*replies.values(), self._own_placements(service))
            if isinstance(reply, messages.KeepPlaces)
        ]
        is_first = self._owner.run(
            lambda state, now: state.plans.surveyed(service, reports, now)
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
