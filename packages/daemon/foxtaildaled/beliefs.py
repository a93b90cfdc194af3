"""What a router believes of configuration, backend servers and entry VMs.

All of it comes from records of the store's keyed topics, read from the store
or, while that can't be reached, from other entry VMs. Owned by one actor.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import math
import random

import msgspec

from foxtaildale import balance
from foxtaildale import errors
from foxtaildale import experience
from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import placing
from foxtaildale import ports
from foxtaildale import routes
from foxtaildale_adapters import logs

# A service is surveyed as long as places of it were asked for within this time,
# at this pace (a little under the time between looks, so that none is left out),
# and its home gives none when it was surveyed longer ago, seconds.
_ASKED_S = 2.0
_SURVEY_S = 0.9
_SURVEYED_S = 3.0
# VMs that are surveyed beside those that hold places by the plan, each second in
# turn, so that the home of a large site is not busy with the answers of all.
_SURVEY_SAMPLE = 16
# A store that failed within this time may have let entries of living servers
# lapse, seconds: servers write every 1.2 s, entries lapse after three of
# those, and living ones are back two seconds after the store is.
_UNWELL_S = 4.0


class Beliefs:
    """State of a router; the time is an argument."""

    __slots__ = (
        '_asked',
        '_codec',
        '_mirrors',
        '_peer_address',
        '_plans',
        '_seeds',
        '_survey_from',
        '_surveyed',
        '_unreadable',
        'entry_vms',
        'experience',
        'failed_at',
        'fleet',
        'fresh_at',
        'matcher',
        'on_restarted',
        'on_unsurveyed',
        'servers_known',
    )

    def __init__(
        self,
        codec: ports.RecordCodec,
        peer_address: str,
        seeds: tuple[str, ...],
        data_centre: str,
        rng: random.Random,
    ) -> None:
        self._codec = codec
        self._peer_address = peer_address
        self._seeds = seeds
        self._mirrors = {
            codec.config_topic: mirror.Mirror(),
            codec.servers_topic: mirror.Mirror(),
            codec.members_topic: mirror.Mirror(),
        }
        # Of the services that this entry VM is the home of.
        self._plans: dict[str, placing.Plan] = {}
        # When places were last asked for here, and when it was last known what
        # all entry VMs hold, by service.
        self._asked: dict[str, float] = {}
        self._surveyed: dict[str, float] = {}
        # Where the sample of VMs to survey goes on.
        self._survey_from = 0
        # Called when a survey is needed at once.
        self.on_unsurveyed: Callable[[], None] = lambda: None
        # Called with a server that started again under its id; ends what was
        # sent to it before, and returns how many requests that were.
        self.on_restarted: Callable[[forwarding.Backend], int] = lambda _: 0
        # Servers whose newest entry can't be read; told once each.
        self._unreadable: set[str] = set()
        self.fleet = fleet.Fleet(data_centre, rng)
        self.experience = experience.Experience()
        # The configuration in force; None while none is known.
        self.matcher: routes.Matcher | None = None
        # Whether the list of servers was read once.
        self.servers_known = False
        # The entry VMs, by name; replaced and never changed, so that whoever
        # has it may keep it, and see that nothing changed since.
        self.entry_vms: dict[str, forwarding.EntryVm] = {}
        # As of when the list of servers is known, and when the store last
        # failed to answer.
        self.fresh_at: float | None = None
        self.failed_at: float | None = None

    def end(self, topic: str) -> int:
        """Returns the offset up to which a topic is known."""
        return self._mirrors[topic].end

    def take(
        self, topic: str, keyed: ports.Keyed, now: float, *, whole: bool
    ) -> None:
        """Takes an answer of the store."""
        known = self._mirrors[topic]
        take = known.snapshot if whole else known.apply
        entries = tuple(self._sealed(topic, entry) for entry in keyed.entries)
        since = self._since(topic, entries)
        news = take(entries, keyed.end)
        if topic == self._codec.servers_topic:
            self.servers_known = True
            self.fresh_at = now
        self._learn(topic, news, now, 'store', since)

    def take_reply(self, reply: messages.RecordsReply, now: float) -> None:
        """Takes what another entry VM knows."""
        for topic, records in reply.records.items():
            known = self._mirrors.get(topic)
            if known is None:
                continue
            entries = [mirror.Entry(*record) for record in records]
            end = reply.ends.get(topic, 0)
            since = self._since(topic, entries)
            news = known.apply(entries, end)
            if topic == self._codec.servers_topic and end:
                self.servers_known = True
            self._learn(topic, news, now, 'peer', since)
        if self.servers_known:
            self.fresh_at = max(self.fresh_at or 0.0, now - reply.age_s)
        self.fleet.told_failing(reply.failing, now)

    def reply(
        self, ask: messages.AskRecords, now: float
    ) -> messages.RecordsReply:
        """Returns what another entry VM lacks."""
        records = {
            topic: tuple(
                (entry.key, entry.offset, entry.value)
                for entry in known.since(ask.ends.get(topic, 0))
            )
            for topic, known in self._mirrors.items()
        }
        ends = {topic: known.end for topic, known in self._mirrors.items()}
        age_s = now - self.fresh_at if self.fresh_at is not None else 1e9
        self.experience.told(now, ask.seen)
        return messages.RecordsReply(
            records=records,
            ends=ends,
            age_s=age_s,
            failing=self.experience.rates(now),
        )

    def ask(self) -> messages.AskRecords:
        """Returns the question for another entry VM."""
        return messages.AskRecords(
            ends={topic: known.end for topic, known in self._mirrors.items()},
            seen=self.experience.news(),
        )

    def ask_self(self, now: float) -> None:
        """Takes what was seen here, as the one that others ask."""
        self.experience.told(now, self.experience.news())
        self.fleet.told_failing(self.experience.rates(now), now)

    def handle(self, msg: messages.Any, now: float) -> messages.Any:
        """Answers a message of another entry VM."""
        if isinstance(msg, messages.AskRecords):
            return self.reply(msg, now)
        if isinstance(msg, messages.AskPlace):
            return self.ask_place(msg, now)
        if isinstance(msg, messages.EndPlace):
            self.end_place(msg, now)
            return messages.Pong()
        if isinstance(msg, messages.ServerFailed):
            self.server_failed(msg, now)
            return messages.Pong()
        return messages.Fail(code='not-for-a-router')

    def ask_place(self, msg: messages.AskPlace, now: float) -> messages.Any:
        """Answers as the home of a service."""
        if self.matcher is None:
            return messages.Fail(code='not-ready')
        name = msg.service
        service = self.matcher.table.service(name)
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
        addresses = self.peers()
        if not self._is_surveyed(service, now):
            return addresses
        names = self._plans[service].holders() if service in self._plans else ()
        holders = {
            self.entry_vms[name].peer_address
            for name in names
            if name in self.entry_vms
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
            self.keep_places(held, now)
        self._surveyed[service] = now
        return first

    def _is_surveyed(self, service: str, now: float) -> bool:
        return now - self._surveyed.get(service, -math.inf) < _SURVEYED_S

    def stage_changes(
        self, now: float
    ) -> dict[str, tuple[balance.Change, ...]]:
        """Returns which engines should change their stage, by service."""
        if self.matcher is None:
            return {}
        table = self.matcher.table
        return {
            name: plan.stage_changes(
                now, table.service(name), self._engines(name, now)
            )
            for name, plan in self._plans.items()
        }

    def stage_ordered(self, service: str, server: str, now: float) -> None:
        """Notes that an engine was ordered to change."""
        self._plans[service].balance.ordered(now, server)

    def end_place(self, msg: messages.EndPlace, now: float) -> None:
        """Takes a place back as the home of a service."""
        plan = self._plans.get(msg.service)
        if plan is not None:
            plan.end(now, msg)

    def server_failed(self, msg: messages.ServerFailed, now: float) -> None:
        """Takes a report of a failed server as the home of its service."""
        plan = self._plans.setdefault(msg.service, placing.Plan())
        plan.failed(now, msg)

    def plain_failed(self, server: str, now: float) -> None:
        """Takes a failure of a plain server under a request of this VM."""
        self.fleet.failed(server, now)
        self.experience.note(server, failed=True)

    def keep_places(self, msg: messages.KeepPlaces, now: float) -> None:
        """Takes what an entry VM holds as the home of a service."""
        # What is held at an earlier start of a worker is lost there.
        places = tuple(
            place
            for place in msg.places
            if place.born >= self.fleet.born(place.worker)
        )
        plan = self._plans.setdefault(msg.service, placing.Plan())
        plan.keep(now, msgspec.structs.replace(msg, places=places))

    def planned_services(self) -> tuple[str, ...]:
        """Returns the services whose engines are planned by a home."""
        if self.matcher is None:
            return ()
        services = self.matcher.table.services
        return tuple(item.name for item in services if item.kv_tokens)

    def planned(self) -> dict[str, dict[str, object]]:
        """Returns the plans for a person to read."""
        return {
            name: {'waiting': plan.waiting(), 'planned': plan.planned()}
            for name, plan in self._plans.items()
        }

    def _engines(self, service: str, now: float) -> placing.Engines:
        return lambda: (
            self.fleet.candidates(service, now, 'decode'),
            self.fleet.candidates(service, now, 'prefill'),
        )

    def on_seeds(self, seeds: tuple[str, ...]) -> None:
        """Takes changed settings."""
        self._seeds = seeds

    def is_fresh(self, now: float, limit_s: float) -> bool:
        """Whether the list of servers is younger than a limit."""
        return self.fresh_for(now, limit_s) > 0

    def fresh_for(self, now: float, limit_s: float) -> float:
        """Returns how long the list of servers stays younger than a limit."""
        if self.fresh_at is None:
            return 0.0
        return max(0.0, self.fresh_at + limit_s - now)

    def failed(self, now: float) -> None:
        """Takes a failed call to the store."""
        self.failed_at = now

    def peers(self) -> list[str]:
        """Returns the peer addresses of the other entry VMs."""
        listed = (vm.peer_address for vm in self.entry_vms.values())
        addresses = {*listed, *self._seeds}
        addresses.discard(self._peer_address)
        return sorted(addresses)

    def _sealed(self, topic: str, entry: mirror.Entry) -> mirror.Entry:
        value = self._codec.seal(topic, entry.value)
        if value is entry.value:
            return entry
        return mirror.Entry(entry.key, entry.offset, value)

    def _since(
        self, topic: str, entries: Iterable[mirror.Entry]
    ) -> dict[str, int]:
        """Returns since when the servers of some records say what they say."""
        if topic != self._codec.servers_topic:
            return {}
        known = self._mirrors[topic]
        return {
            entry.key: since
            for entry in entries
            if (since := known.changed_at(entry.key)) is not None
        }

    def _learn(
        self,
        topic: str,
        news: list[mirror.Entry],
        now: float,
        source: str,
        since: dict[str, int],
    ) -> None:
        for entry in news:
            try:
                if topic == self._codec.config_topic:
                    self._learn_table(entry, source)
                elif topic == self._codec.servers_topic:
                    if self._learn_server(entry, now, source):
                        continue
                    if entry.key in since:
                        before = since[entry.key]
                        self._mirrors[topic].repeats(entry, before)
                else:
                    self._learn_member(entry)
            except errors.DecodeError as exc:
                if topic == self._codec.servers_topic:
                    # Its newest entry names no server to use, whoever wrote
                    # it; a living server writes again within seconds.
                    self.fleet.remove(entry.key, now, store_well=True)
                    if entry.key in self._unreadable:
                        continue
                    self._unreadable.add(entry.key)
                # What was known of a configuration or an entry VM stays.
                logs.event(
                    logging.ERROR,
                    'record not readable',
                    topic=topic,
                    key=entry.key,
                    offset=entry.offset,
                    source=source,
                    error=str(exc),
                )

    def _learn_table(self, entry: mirror.Entry, source: str) -> None:
        if entry.key != self._codec.config_key or not entry.value:
            return
        table = self._codec.table(entry.value)
        if self.matcher and table.version <= self.matcher.table.version:
            return
        self.matcher = routes.Matcher(table)
        logs.event(
            logging.INFO,
            'configuration in force',
            version=table.version,
            offset=entry.offset,
            routes=len(table.routes),
            accounts=len(table.client_accounts),
            source=source,
        )

    def _learn_server(
        self, entry: mirror.Entry, now: float, source: str
    ) -> bool:
        """Takes a record; returns whether it says something new."""
        tally = self.fleet.tally(entry.key)
        before = tally.backend if tally is not None else None
        if not entry.value:
            self._unreadable.discard(entry.key)
            if before is None:
                return True
            well = self.failed_at is None or now - self.failed_at > _UNWELL_S
            self.fleet.remove(entry.key, now, store_well=well)
            event = 'backend server gone' if well else 'backend server vanished'
            logs.event(
                logging.INFO,
                event,
                server=entry.key,
                offset=entry.offset,
                source=source,
            )
            return True
        backend = self._codec.server(entry.key, entry.value)
        unreadable = entry.key in self._unreadable
        self._unreadable.discard(entry.key)
        known = self.fleet.born(entry.key)
        if not self.fleet.put(backend):
            logs.event(
                logging.INFO,
                'old entry passed over',
                server=entry.key,
                born=backend.born,
                known=known,
                offset=entry.offset,
                source=source,
            )
            return True
        if known and backend.born > known:
            self._restart(backend, known, entry.offset, source)
        if before is None or _differs(before, backend):
            logs.event(
                logging.INFO,
                'backend server leaving'
                if backend.leaving
                else 'backend server known',
                server=entry.key,
                service=backend.service,
                address=backend.address,
                stage=backend.stage,
                offset=entry.offset,
                source=source,
            )
        return unreadable or tally is None or before != backend

    def _restart(
        self, backend: forwarding.Backend, before: int, offset: int, source: str
    ) -> None:
        """Forgets all that was known of the starts before."""
        for plan in self._plans.values():
            plan.restarted(backend.id)
        logs.event(
            logging.INFO,
            'backend server started again',
            server=backend.id,
            born=backend.born,
            before=before,
            lost=self.on_restarted(backend),
            offset=offset,
            source=source,
        )

    def _learn_member(self, entry: mirror.Entry) -> None:
        if entry.value:
            member = self._codec.member(entry.key, entry.value)
            self.entry_vms = {**self.entry_vms, entry.key: member}
        else:
            left = dict(self.entry_vms)
            left.pop(entry.key, None)
            self.entry_vms = left


def _no_engines() -> tuple[Sequence[fleet.Tally], Sequence[fleet.Tally]]:
    return (), ()


def _differs(before: forwarding.Backend, after: forwarding.Backend) -> bool:
    """Whether a server's entry changed in what requests depend on."""
    return (before.leaving, before.stage) != (after.leaving, after.stage)
