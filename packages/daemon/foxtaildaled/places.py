"""Requests placements from the coordinator of a service.

It also reports the placements that this entry VM uses. A coordinator that does
not reply is skipped and the next one is asked (`asking`). A coordinator asks
all VMs for the placements that its plan lacks (`surveys`).
"""

import threading
from typing import Final

import msgspec

from foxtaildale import messages
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import asking
from foxtaildaled import beliefs

# Timeout for the coordinator's reply, seconds. The coordinator decides without
# waiting and a round trip takes two milliseconds; after a timeout, much of a
# target of 0.9 s is left.
ANSWER_S: Final = 0.25
# Interval between checks for suspects to probe, seconds.
PROBE_S: Final = 0.2

Answer = messages.Place | messages.Queued | messages.TooLate
_REPLY_TYPES: Final[tuple[type[Answer], ...]] = (
    messages.Place,
    messages.Queued,
    messages.TooLate,
)


class Places:
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
        owner: actors.Owner[beliefs.Beliefs],
        homes: asking.Asking,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._owner = owner
        self._coordinators = homes
        self._clock = clock
        self._lock = threading.Lock()
        # Placements that this entry VM uses and since when, by service and
        # request.
        self._placements: dict[
            str, dict[str, tuple[messages.KeptPlace, float]]
        ] = {}

    def ask(self, msg: messages.AskPlace) -> Answer | None:
        """Requests a placement; None if no coordinator replies."""
        return self._coordinators.ask(msg.service, msg, _REPLY_TYPES, ANSWER_S)

    def hold(self, service: str, place: messages.KeptPlace) -> None:
        """Records a placement that is in use from now on."""
        with self._lock:
            placements = self._placements.setdefault(service, {})
            placements[place.request] = (place, self._clock())

    def end(self, msg: messages.EndPlace) -> None:
        """Releases a placement; the coordinator is notified asynchronously."""
        with self._lock:
            self._placements.get(msg.service, {}).pop(msg.request, None)
        self._coordinators.tell(msg.service, msg)

    def report(
        self, service: str, server: str, *, replaced: bool = False
    ) -> None:
        """Reports a failed server to the coordinator asynchronously.

        Args:
            service: Its service.
            server: Its id.
            replaced: Whether another server responded at its address.
        """
        self._coordinators.tell(
            service,
            messages.ServerFailed(
                service=service,
                server=server,
                holder=self._entry_vm,
                replaced=replaced,
            ),
        )

    def held(self, service: str) -> messages.KeepPlaces:
        """Returns the placements of a service that this entry VM uses."""
        now = self._clock()
        with self._lock:
            placements = list(self._placements.get(service, {}).values())
        return messages.KeepPlaces(
            service=service,
            holder=self._entry_vm,
            places=tuple(
                msgspec.structs.replace(
                    placement, age_ms=int((now - since) * 1000)
                )
                for placement, since in placements
            ),
        )

    def step(self) -> None:
        """Probes new coordinators and suspects; called by a loop."""
        services = self._owner.run(
            lambda state, _: state.plans.planned_services()
        )
        for service in services:
            self._coordinators.greet(service)
        self._coordinators.probe()

    def is_home(self, service: str) -> bool:
        """Whether this entry VM is the coordinator of a service."""
        return self._coordinators.is_home(service)
