"""The plans of the services that this entry VM is the home of.

A home plans the engines of a service for all entry VMs (`placing`). One that is
new knows nothing of what is held, and gives no place before it has asked the
others (`surveys`). Owned by the actor of `beliefs`.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Protocol

import msgspec

from foxtaildale import balance
from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import placing
from foxtaildale import routes

# A service is surveyed as long as places of it were asked for within this time,
# at this pace (a little under the time between looks, so that none is left out),
# and its home gives none when it was surveyed longer ago, seconds.
_ASKED_S = 2.0
_SURVEY_S = 0.9
_SURVEYED_S = 3.0
# VMs that are surveyed beside those that hold places by the plan, each second in
# turn, so that the home of a large site is not busy with the answers of all.
_SURVEY_SAMPLE = 16


class Known(Protocol):
    """What the plans need of what the router believes."""

    fleet: fleet.Fleet
    matcher: routes.Matcher | None
    entry_vms: dict[str, forwarding.EntryVm]

    def peers(self) -> list[str]:
        """Returns the peer addresses of the other entry VMs."""


class Plans:
    """Plans by service; the time is an argument."""

    __slots__ = (
        '_asked',
        '_known',
        '_peer_address',
        '_plans',
        '_survey_from',
        '_surveyed',
        'on_unsurveyed',
    )

    def __init__(self, known: Known, peer_address: str) -> None:
        self._known = known
        self._peer_address = peer_address
        self._plans: dict[str, placing.Plan] = {}
        # When places were last asked for here, and when it was last known what
        # all entry VMs hold, by service.
        self._asked: dict[str, float] = {}
        self._surveyed: dict[str, float] = {}
        # Where the sample of VMs to survey goes on.
        self._survey_from = 0
        # Called when a survey is needed at once.
        self.on_unsurveyed: Callable[[], None] = lambda: None

    def ask(self, msg: messages.AskPlace, now: float) -> messages.Any:
        """Answers as the home of a service."""
        if self._known.matcher is None:
            return messages.Fail(code='not-ready')
        name = msg.service
        service = self._known.matcher.table.service(name)
        plan = self._plans.setdefault(name, placing.Plan())
        self._asked[name] = now
        engines = self._engines(name, now)
        if not self._is_surveyed(name, now):
            # Asked as a waiter it loses no time: its place is granted as soon
            # as it is known what there is to grant.
            self.on_unsurveyed()
            engines = _no_engines
        return plan.ask(now, msg, service, engines)

    def surveys_due(self, now: float) -> list[str]:
        """Returns the services of which it should be asked what is held."""
        return [
            service
            for service, asked_at in self._asked.items()
            if now - asked_at < _ASKED_S
            and now - self._surveyed.get(service, -math.inf) >= _SURVEY_S
        ]

    def survey_peers(self, service: str, now: float) -> list[str]:
        """Returns the addresses of those to ask what they hold.

        All of them if that was not known lately; else those that hold places
        by the plan, and a sample of the others.
        """
        addresses = self._known.peers()
        if not self._is_surveyed(service, now):
            return addresses
        names = self._plans[service].holders() if service in self._plans else ()
        holders = {
            self._known.entry_vms[name].peer_address
            for name in names
            if name in self._known.entry_vms
        }
        others = [address for address in addresses if address not in holders]
        if len(others) > _SURVEY_SAMPLE:
            start = self._survey_from % len(others)
            self._survey_from = start + _SURVEY_SAMPLE
            others = (others + others)[start : start + _SURVEY_SAMPLE]
        holders.discard(self._peer_address)
        return sorted({*holders, *others})

    def surveyed(
        self, service: str, found: Iterable[messages.KeepPlaces], now: float
    ) -> bool:
        """Takes what entry VMs hold.

        Returns:
            Whether that was not known here.
        """
        first = not self._is_surveyed(service, now)
        for held in found:
            self.keep(held, now)
        self._surveyed[service] = now
        return first

    def _is_surveyed(self, service: str, now: float) -> bool:
        return now - self._surveyed.get(service, -math.inf) < _SURVEYED_S

    def stage_changes(
        self, now: float
    ) -> dict[str, tuple[balance.Change, ...]]:
        """Returns which engines should change their stage, by service."""
        if self._known.matcher is None:
            return {}
        table = self._known.matcher.table
        return {
            name: plan.stage_changes(
                now, table.service(name), self._engines(name, now)
            )
            for name, plan in self._plans.items()
        }

    def stage_ordered(self, service: str, server: str, now: float) -> None:
        """Notes that an engine was ordered to change."""
        self._plans[service].balance.ordered(now, server)

    def end(self, msg: messages.EndPlace, now: float) -> None:
        """Takes a place back as the home of a service."""
        plan = self._plans.get(msg.service)
        if plan is not None:
            plan.end(now, msg)

    def failed(self, msg: messages.ServerFailed, now: float) -> None:
        """Takes a report of a failed server as the home of its service."""
        plan = self._plans.setdefault(msg.service, placing.Plan())
        plan.failed(now, msg)

    def keep(self, msg: messages.KeepPlaces, now: float) -> None:
        """Takes what an entry VM holds as the home of a service."""
        # What is held at an earlier start of a worker is lost there.
        places = tuple(
            place
            for place in msg.places
            if place.born >= self._known.fleet.born(place.worker)
        )
        plan = self._plans.setdefault(msg.service, placing.Plan())
        plan.keep(now, msgspec.structs.replace(msg, places=places))

    def planned_services(self) -> tuple[str, ...]:
        """Returns the services whose engines are planned by a home."""
        if self._known.matcher is None:
            return ()
        services = self._known.matcher.table.services
        return tuple(item.name for item in services if item.kv_tokens)

    def planned(self) -> dict[str, dict[str, object]]:
        """Returns the plans for a person to read."""
        return {
            name: {'waiting': plan.waiting(), 'planned': plan.planned()}
            for name, plan in self._plans.items()
        }

    def _engines(self, service: str, now: float) -> placing.Engines:
        return lambda: (
            # Those in backoff for this entry VM may take requests of others.
            self._known.fleet.candidates(
                service, now, 'decode', in_backoff=True
            ),
            self._known.fleet.candidates(
                service, now, 'prefill', in_backoff=True
            ),
        )

    def restarted(self, server: str) -> None:
        """Forgets what was known of a server that started again."""
        for plan in self._plans.values():
            plan.restarted(server)


def _no_engines() -> tuple[Sequence[fleet.Tally], Sequence[fleet.Tally]]:
    return (), ()
