"""Asks the home of a service for places, and says what is held.

One that does not answer is passed over and the next one asked (`asking`); what
its plan lacks it asks all VMs for (`surveys`).
"""

import threading
from typing import Final

import msgspec

from foxtaildale import messages
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import asking
from foxtaildaled import beliefs

# Longest wait for the home's answer, seconds. It decides without waiting; a
# round trip takes two milliseconds, and much of a target of 0.9 s is left.
ANSWER_S: Final = 0.25
# Time between looks for suspects to probe, seconds.
PROBE_S: Final = 0.2

Answer = messages.Place | messages.Queued | messages.TooLate
_ANSWERS: Final[tuple[type[Answer], ...]] = (
    messages.Place,
    messages.Queued,
    messages.TooLate,
)


class Places:
    """The asking side; safe for concurrent use."""

    __slots__ = (
        '_asking',
        '_clock',
        '_entry_vm',
        '_held',
        '_lock',
        '_owner',
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
        self._asking = homes
        self._clock = clock
        self._lock = threading.Lock()
        # What this entry VM holds, and since when; by service and request.
        self._held: dict[str, dict[str, tuple[messages.KeptPlace, float]]] = {}

    def ask(self, msg: messages.AskPlace) -> Answer | None:
        """Asks for a place; None if no home answers."""
        return self._asking.ask(msg.service, msg, _ANSWERS, ANSWER_S)

    def hold(self, service: str, place: messages.KeptPlace) -> None:
        """Notes a place that is in use from now on."""
        with self._lock:
            held = self._held.setdefault(service, {})
            held[place.request] = (place, self._clock())

    def end(self, msg: messages.EndPlace) -> None:
        """Gives a place back; the home hears of it a moment later."""
        with self._lock:
            self._held.get(msg.service, {}).pop(msg.request, None)
        self._asking.tell(msg.service, msg)

    def report(
        self, service: str, server: str, *, replaced: bool = False
    ) -> None:
        """Reports a failed server; the home hears of it a moment later.

        Args:
            service: Its service.
            server: Its id.
            replaced: Whether another server answered at its address.
        """
        self._asking.tell(
            service,
            messages.ServerFailed(
                service=service,
                server=server,
                holder=self._entry_vm,
                replaced=replaced,
            ),
        )

    def held(self, service: str) -> messages.KeepPlaces:
        """Returns what this entry VM holds of a service."""
        now = self._clock()
        with self._lock:
            found = list(self._held.get(service, {}).values())
        return messages.KeepPlaces(
            service=service,
            holder=self._entry_vm,
            places=tuple(
                msgspec.structs.replace(place, age_ms=int((now - since) * 1000))
                for place, since in found
            ),
        )

    def step(self) -> None:
        """Probes homes that are not heard of yet and suspects, as a loop."""
        services = self._owner.run(
            lambda state, _: state.plans.planned_services()
        )
        for service in services:
            self._asking.greet(service)
        self._asking.probe()

    def is_home(self, service: str) -> bool:
        """Whether this entry VM is the home of a service."""
        return self._asking.is_home(service)
