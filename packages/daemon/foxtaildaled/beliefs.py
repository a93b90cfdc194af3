"""What a router believes of configuration, backend servers and entry VMs.

All of it comes from records of the store's keyed topics, read from the store
or, while that can't be reached, from other entry VMs. Owned by one actor.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import logging
import math
import random
import time

import msgspec

from foxtaildale import errors
from foxtaildale import experience
from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale import positions
from foxtaildale import routes
from foxtaildale_adapters import logs
from foxtaildaled import announcements
from foxtaildaled import plans
from foxtaildaled import verdicts

# A store that failed within this time may have let entries of living servers
# lapse, seconds: servers write every 1.2 s, entries lapse after three of
# those, and living ones are back two seconds after the store is.
_UNWELL_S = 4.0
# Time after the store came back from a copy in which what it lacks is written again,
# seconds; above `syncing.LISTED_S`, after which an entry VM lists itself again.
_REWRITTEN_S = 20.0


class Beliefs:
    """State of a router; the time is an argument."""

    __slots__ = (
        '_codec',
        '_epoch_at',
        '_mirrors',
        '_peer_address',
        '_seeds',
        '_unreadable',
        'announcements',
        'entry_vms',
        'experience',
        'failed_at',
        'fleet',
        'fresh_at',
        'matcher',
        'on_restarted',
        'plans',
        'servers_known',
        'verdicts',
    )

    def __init__(
        self,
        codec: ports.RecordCodec,
        peer_address: str,
        seeds: tuple[str, ...],
        data_centre: str,
        rng: random.Random,
        *,
        wall: ports.Clock = time.time,
    ) -> None:
        self._codec = codec
        self._peer_address = peer_address
        self._seeds = seeds
        self._mirrors = {
            topic: mirror.Mirror(
                functools.partial(codec.rank, topic),
                # Servers are back within seconds if they live.
                keeps=topic != codec.servers_topic,
            )
            for topic in (
                codec.config_topic,
                codec.servers_topic,
                codec.members_topic,
            )
        }
        # When the store was seen to have come back from a copy, seconds.
        self._epoch_at = -math.inf
        # Called with a server that started again under its id; ends what was
        # sent to it before, and returns how many requests that were.
        self.on_restarted: Callable[[forwarding.Backend], int] = lambda _: 0
        # Servers whose newest entry can't be read; told once each.
        self._unreadable: set[str] = set()
        self.fleet = fleet.Fleet(data_centre, rng)
        self.announcements = announcements.Announcements(self.fleet)
        self.experience = experience.Experience()
        self.verdicts = verdicts.Verdicts(codec, wall)
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
        # Of the services that this entry VM is the home of.
        self.plans = plans.Plans(self, peer_address)

    def end(self, topic: str) -> int:
        """Returns the offset up to which a topic is known."""
        return self._mirrors[topic].end

    def take(
        self, topic: str, keyed: ports.Keyed, now: float, *, whole: bool
    ) -> None:
        """Takes an answer of the store."""
        known = self._mirrors[topic]
        before = known.end
        if positions.epoch(keyed.end) < positions.epoch(before):
            logs.event(
                logging.INFO,
                'old answer passed over',
                topic=topic,
                offset=keyed.end,
                known=before,
            )
            return
        take = known.snapshot if whole else known.apply
        entries = tuple(self._sealed(topic, entry) for entry in keyed.entries)
        since = self._since(topic, entries)
        news = take(entries, keyed.end)
        self._note_epoch(topic, before, now, 'store')
        if (
            topic != self._codec.config_topic
            and now - self._epoch_at > _REWRITTEN_S
        ):
            news += known.drop_carried()
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
            before = known.end
            news = known.apply(entries, end)
            self._note_epoch(topic, before, now, 'peer')
            if topic == self._codec.servers_topic and end:
                self.servers_known = True
            self._learn(topic, news, now, 'peer', since)
        if self.servers_known:
            self.fresh_at = max(self.fresh_at or 0.0, now - reply.age_s)
        self.fleet.told_failing(reply.failing, now)
        self.announcements.take(reply, now)
        self.verdicts.take(now, reply.held, reply.cleared, 'peer')

    def reply(
        self, ask: messages.AskRecords, now: float
    ) -> messages.RecordsReply:
        """Returns what another entry VM lacks."""
        records = {
            topic: tuple(
                (entry.key, entry.offset, entry.value, entry.removed)
                for entry in known.since(ask.ends.get(topic, 0))
            )
            for topic, known in self._mirrors.items()
        }
        ends = {topic: known.end for topic, known in self._mirrors.items()}
        age_s = now - self.fresh_at if self.fresh_at is not None else 1e9
        self.experience.told(now, ask.seen)
        self.announcements.take(ask, now)
        departures = self.fleet.departures
        return messages.RecordsReply(
            records=records,
            ends=ends,
            age_s=age_s,
            failing=self.experience.rates(now),
            store_lost=self.store_lost(),
            held=self.verdicts.quarantine.held(now),
            cleared=self.verdicts.quarantine.cleared(now),
            # One that starts knows no topic yet.
            departures=departures.news(now)
            if any(ask.ends.values())
            else departures.words(),
            backoffs=self.fleet.backoffs.words(now),
        )

    def ask(self, now: float) -> messages.AskRecords:
        """Returns the question for another entry VM."""
        return messages.AskRecords(
            ends={topic: known.end for topic, known in self._mirrors.items()},
            seen=self.experience.news(),
            departures=self.fleet.departures.news(now),
            backoffs=self.fleet.backoffs.words(now),
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
            return self.plans.ask(msg, now)
        if isinstance(msg, messages.EndPlace):
            self.plans.end(msg, now)
            return messages.Pong()
        if isinstance(msg, messages.ServerFailed):
            self.plans.failed(msg, now)
            return messages.Pong()
        return messages.Fail(code='not-for-a-router')

    def plain_failed(self, server: str, now: float) -> None:
        """Takes a failure of a plain server under a request of this VM."""
        self.fleet.failed(server, now)
        self.experience.note(server, failed=True)

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

    def store_lost(self) -> bool:
        """Whether the store failed this entry VM since it last answered."""
        if self.failed_at is None:
            return False
        return self.fresh_at is None or self.failed_at > self.fresh_at

    def failed(self, now: float) -> None:
        """Takes a failed call to the store."""
        self.failed_at = now

    def is_listed(self, name: str, member: forwarding.EntryVm) -> bool:
        """Whether the store lists an entry VM as it should."""
        listed = self._mirrors[self._codec.members_topic]
        return self.entry_vms.get(name) == member and not listed.is_carried(
            name
        )

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
        return msgspec.structs.replace(entry, value=value)

    def _note_epoch(
        self, topic: str, before: int, now: float, source: str
    ) -> None:
        """Notes that a topic is of a later epoch than it was, if it is."""
        known = self._mirrors[topic]
        end = known.end
        epoch = positions.epoch(end)
        if not before and known.carries():
            # Others saw it come back before this process started.
            self._epoch_at = now
        if not before or epoch == positions.epoch(before):
            return
        self._epoch_at = now
        if topic == self._codec.members_topic:
            self.verdicts.store_changed()
        logs.event(
            logging.INFO,
            'store epoch',
            topic=topic,
            epoch=epoch,
            before=positions.epoch(before),
            offset=positions.offset(end),
            known=positions.offset(before),
            source=source,
        )

    def _is_well(self, now: float) -> bool:
        """Whether the store has answered and kept its records of late."""
        if now - self._epoch_at <= _UNWELL_S:
            return False
        return self.failed_at is None or now - self.failed_at > _UNWELL_S

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
                elif not self.verdicts.learn(entry, now, source):
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
            accounts=len(table.client_accounts or ()),
            source=source,
        )

    def _learn_server(
        self, entry: mirror.Entry, now: float, source: str
    ) -> bool:
        """Takes a record; returns whether it says something new."""
        tally = self.fleet.tally(entry.key)
        before = tally.listed if tally is not None else None
        if not entry.value:
            self._unreadable.discard(entry.key)
            if before is None:
                return True
            well = self._is_well(now)
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
        self.announcements.listed(backend, now, source)
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
        self.plans.restarted(backend.id)
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


def _differs(before: forwarding.Backend, after: forwarding.Backend) -> bool:
    """Whether a server's entry changed in what requests depend on."""
    return (before.leaving, before.stage) != (after.leaving, after.stage)
