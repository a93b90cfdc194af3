"""Asks all entry VMs what they hold, as the home of a service.

A home that knows nothing gives memory away that is in use: the prompts of those
that it places are read, and the decode workers turn them away. A new home
therefore gives no place before all VMs were asked, which takes some
milliseconds, and goes on asking every second those that hold something, as far
as it knows, and some of the others in turn: another home that some VMs still
ask is then seen by what those VMs hold.
"""

from collections.abc import Callable
import logging
from typing import Final

from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import beliefs

# Time between looks at what is due, seconds; a first ask wakes the loop.
LOOK_S: Final = 1.0
# Longest wait for the answers, seconds. Waiters ask again every 40 ms; a VM
# that just died must not hold all of them up for longer than a prefill.
ANSWER_S: Final = 0.15


class Surveys:
    """The asking side; `step` is called by a loop."""

    __slots__ = ('_clock', '_held', '_owner', '_peers')

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
        # Returns what this entry VM itself holds of a service.
        self._held = held
        self._clock = clock

    def step(self) -> None:
        """Asks for the services that are due."""
        due = self._owner.run(lambda state, now: state.plans.surveys_due(now))
        for service in due:
            self._survey(service)

    def _survey(self, service: str) -> None:
        began = self._clock()
        addresses = self._owner.run(
            lambda state, now: state.plans.survey_peers(service, now)
        )
        ask = messages.AskHeld(service=service)
        replies = self._peers.ask_all(addresses, ask, ANSWER_S)
        found = [
            reply
            for reply in (*replies.values(), self._held(service))
            if isinstance(reply, messages.KeepPlaces)
        ]
        first = self._owner.run(
            lambda state, now: state.plans.surveyed(service, found, now)
        )
        if not first:
            return
        logs.event(
            logging.INFO,
            'home taken',
            service=service,
            asked=len(addresses),
            answered=len(replies),
            places=sum(len(keep.places) for keep in found),
            took_ms=int((self._clock() - began) * 1000),
        )
