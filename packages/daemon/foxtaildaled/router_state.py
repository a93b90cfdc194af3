"""A router's view of the configuration, the backend servers and the entry VMs.

The view is built from the records of the store's keyed topics. They are read
from the store or, while it is unreachable, from other entry VMs. One actor owns
the view.
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
from foxtaildale import failure_rates
from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import positions
from foxtaildale import routes
from foxtaildale_adapters import logs
from foxtaildaled import large_records
from foxtaildaled import quarantine_state
from foxtaildaled import server_announcements
from foxtaildaled import service_plans

# Time after a store failure during which a missing entry does not mean that the
# server was removed, seconds. Servers write their entries every 1.2 s and
# entries expire after three such intervals, so entries of live servers may have
# expired during the failure. They are back two seconds after the store is.
_STORE_GRACE_S = 4.0
# Time after the store was restored from a copy within which missing records are
# written again, seconds. It is longer than `store_sync.RELIST_INTERVAL_S`, the
# time after which an entry VM lists itself again.
_REWRITE_S = 20.0

# Longest time between two states of the list of servers within which no server
# can come, begin streams and go unnoticed, seconds.
_MAX_LIST_GAP_S = 10.0

# How far the clocks of machines may differ, seconds. A server that started later
# than that after the present time did not write its entry itself.
_MAX_CLOCK_SKEW_S = 86_400.0
# A clock that shows an earlier time was never set, seconds since the Unix epoch.
_MIN_WALL_S = 1_600_000_000.0


class RouterState:
    """State of a router; the current time is passed as an argument."""

    __slots__ = (
        '_codec',
        '_epoch_at',
        '_mirrors',
        '_peer_address',
        '_seeds',
        '_unreadable',
        '_unreadable_vms',
        '_wall',
        'announcements',
        'entry_vms',
        'failure_rates',
        'fleet',
        'large_records',
        'list_known_since',
        'matcher',
        'on_restarted',
        'peer_current_at',
        'plans',
        'quarantine_state',
        'servers_current_at',
        'servers_received',
        'store_failed_at',
        'store_replied_at',
    )

    def __init__(
        self,
        codec: ports.RecordCodec,
        peer_address: str,
        seeds: tuple[str, ...],
        data_centre: str,
        rng: random.Random,
        *,
        link_bytes_per_s: float = options.DEFAULT_LINK_BYTES_PER_S,
        wall: ports.Clock = time.time,
    ) -> None:
        self._codec = codec
        # Returns seconds since the Unix epoch.
        self._wall = wall
        self._peer_address = peer_address
        self._seeds = seeds
        self._mirrors = {
            topic: mirror.Mirror(
                functools.partial(self._rank, topic),
                # Live servers write their entries again within seconds.
                retain_carried=topic != codec.servers_topic,
            )
            for topic in (
                codec.config_topic,
                codec.servers_topic,
                codec.members_topic,
            )
        }
        # When this process noticed that the store was restored from a copy,
        # seconds.
        self._epoch_at = -math.inf
        # Called with a server that restarted under the same id. It ends the
        # requests that were sent to the earlier incarnation and returns their
        # number.
        self.on_restarted: Callable[[forwarding.Backend], int] = lambda _: 0
        # Servers whose newest entry can't be decoded; each is logged once.
        self._unreadable: set[str] = set()
        # Entry VMs whose newest entry can't be decoded.
        self._unreadable_vms: set[str] = set()
        self.fleet = fleet.Fleet(data_centre, rng)
        self.announcements = server_announcements.ServerAnnouncements(
            self.fleet
        )
        self.failure_rates = failure_rates.FailureRates()
        self.large_records = large_records.LargeRecords(link_bytes_per_s)
        self.quarantine_state = quarantine_state.QuarantineState(codec, wall)
        # The configuration in force; None until one is received.
        self.matcher: routes.Matcher | None = None
        # Whether the list of servers was received at least once.
        self.servers_received = False
        # The entry VMs by name. The dictionary is replaced and never modified,
        # so that callers may store it and detect changes by identity.
        self.entry_vms: dict[str, forwarding.EntryVm] = {}
        # The time as of which the list of servers is current, and when the
        # store last replied with a part of it, and last failed to reply.
        self.servers_current_at: float | None = None
        # Since when the list of servers has been followed without a long gap,
        # seconds.
        self.list_known_since = math.inf
        self.store_replied_at = -math.inf
        # The time as of which another entry VM has told all that it knows of
        # the store. Own reads of one topic say nothing of the others.
        self.peer_current_at = -math.inf
        self.store_failed_at: float | None = None
        # The plans of the services that this entry VM coordinates.
        self.plans = service_plans.ServicePlans(self, peer_address)

    def applied_offset(self, topic: str) -> int:
        """Returns the offset up to which a topic was applied."""
        return self._mirrors[topic].end

    def apply_store_reply(
        self,
        topic: str,
        keyed: ports.KeyedRecords,
        now: float,
        *,
        requested_at: float,
        is_snapshot: bool,
    ) -> None:
        """Applies a reply of the store.

        Args:
            topic: The topic.
            keyed: The reply.
            now: Seconds.
            requested_at: When the request was sent, seconds. The store may have
                replied as soon as that, however late the reply is applied.
            is_snapshot: Whether the reply has all keys of the topic.
        """
        topic_mirror = self._mirrors[topic]
        before = topic_mirror.end
        if positions.epoch(keyed.end) < positions.epoch(before):
            logs.event(
                logging.INFO,
                'old answer passed over',
                topic=topic,
                offset=keyed.end,
                known=before,
            )
            return
        apply_entries = (
            topic_mirror.snapshot if is_snapshot else topic_mirror.apply
        )
        entries = tuple(
            self._seal_entry(topic, entry) for entry in keyed.entries
        )
        positions_before = self._changed_positions(topic, entries)
        changes = apply_entries(entries, keyed.end)
        self._record_epoch(topic, before, now, 'store')
        if (
            topic != self._codec.config_topic
            and now - self._epoch_at > _REWRITE_S
        ):
            changes += topic_mirror.remove_carried()
        if topic == self._codec.servers_topic:
            self.servers_received = True
            self.store_replied_at = now
            self._record_current_list(requested_at)
        self._apply_changes(topic, changes, now, 'store', positions_before)

    def is_behind(self, topic: str) -> bool:
        """Whether another VM has records that it did not send."""
        announced = self.large_records.announced_end(topic)
        return announced > self.applied_offset(topic)

    def apply_peer_reply(
        self,
        reply: messages.RecordsReply,
        now: float,
        *,
        requested_at: float,
        sender: str,
    ) -> None:
        """Applies the records and reports of another entry VM.

        Args:
            reply: The reply.
            now: Seconds.
            requested_at: When the request was sent, seconds.
            sender: Peer address of that VM.
        """
        for topic, records in reply.records.items():
            topic_mirror = self._mirrors.get(topic)
            if topic_mirror is None:
                continue
            entries = [
                mirror.Entry(
                    key, offset, value, self._usable_rank(topic, removed)
                )
                for key, offset, value, removed in records
            ]
            end = reply.positions.get(topic, 0)
            positions_before = self._changed_positions(topic, entries)
            before = topic_mirror.end
            changes = topic_mirror.apply(entries, end)
            self._record_epoch(topic, before, now, 'peer')
            if topic == self._codec.servers_topic and end:
                self.servers_received = True
            self._apply_changes(topic, changes, now, 'peer', positions_before)
        for topic, end in reply.left_out.items():
            if topic in self._mirrors and end > self.applied_offset(topic):
                self.large_records.announce(topic, end, sender)
        current_at = requested_at - reply.store_age_s
        self.peer_current_at = max(self.peer_current_at, current_at)
        if self.servers_received:
            self._record_current_list(current_at)
        self.fleet.update_failure_rates(reply.failure_ratios, now)
        self.announcements.merge(reply, now)
        self.quarantine_state.merge(
            now,
            reply.quarantined,
            reply.cleared,
            'peer',
            part_sets=reply.part_sets,
        )

    def build_reply(
        self, ask: messages.RecordsRequest, now: float
    ) -> messages.RecordsReply:
        """Returns the records that another entry VM lacks."""
        records = {}
        ends = {}
        left_out = {}
        for topic, topic_mirror in self._mirrors.items():
            entries, large = self.large_records.select(
                topic_mirror.entries_since(ask.positions.get(topic, 0)),
                ask.max_value_bytes,
                now,
            )
            records[topic] = tuple(
                (entry.key, entry.offset, entry.value, entry.removed)
                for entry in entries
            )
            ends[topic] = min(
                (entry.offset for entry in large), default=topic_mirror.end
            )
            if large:
                left_out[topic] = topic_mirror.end
        age_s = (
            now - self.servers_current_at
            if self.servers_current_at is not None
            else 1e9
        )
        self.failure_rates.merge(now, ask.request_counts)
        self.announcements.merge(ask, now)
        departures = self.fleet.departures
        return messages.RecordsReply(
            records=records,
            positions=ends,
            store_age_s=age_s,
            failure_ratios=self.failure_rates.rates(now),
            store_failed=self.is_store_lost(),
            quarantined=self.quarantine_state.quarantine.quarantined(now),
            cleared=self.quarantine_state.quarantine.cleared(now),
            part_sets=self.quarantine_state.part_sets(now),
            # A VM that has just started has no topic yet and needs all
            # departures.
            departures=departures.recent_changes(now)
            if any(ask.positions.values())
            else departures.all_states(),
            backoffs=self.fleet.backoffs.report(now),
            left_out=left_out,
        )

    def build_request(
        self, now: float, timeout_s: float
    ) -> messages.RecordsRequest:
        """Returns the request to another entry VM for its records.

        Args:
            now: Seconds.
            timeout_s: Time limit of the reply, seconds.
        """
        return messages.RecordsRequest(
            positions=self._positions(),
            request_counts=self.failure_rates.take_unsent(),
            departures=self.fleet.departures.recent_changes(now),
            backoffs=self.fleet.backoffs.report(now),
            max_value_bytes=self.large_records.max_value_bytes(timeout_s),
        )

    def build_large_request(self) -> messages.RecordsRequest:
        """Returns the request for records of any size."""
        return messages.RecordsRequest(positions=self._positions())

    def apply_own_failures(self, now: float) -> None:
        """Applies own observations where this VM collects those of others."""
        self.failure_rates.merge(now, self.failure_rates.take_unsent())
        self.fleet.update_failure_rates(self.failure_rates.rates(now), now)

    def handle(self, msg: messages.Message, now: float) -> messages.Message:
        """Handles a message of another entry VM and returns the reply."""
        if isinstance(msg, messages.RecordsRequest):
            return self.build_reply(msg, now)
        if isinstance(msg, messages.PlacementRequest):
            return self.plans.request_placement(msg, now)
        if isinstance(msg, messages.PlacementRelease):
            self.plans.release(msg, now)
            return messages.Pong()
        if isinstance(msg, messages.ServerFailureReport):
            self.plans.record_failure(msg, now)
            return messages.Pong()
        return messages.ErrorReply(code='not-for-a-router')

    def record_plain_failure(self, server: str, now: float) -> None:
        """Records that a plain server failed a request of this VM."""
        self.fleet.record_failure(server, now)
        self.failure_rates.record(server, failed=True)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Applies the seeds of changed settings."""
        self._seeds = seeds

    def is_fresh(self, now: float, limit_s: float) -> bool:
        """Whether the list of servers is younger than a limit."""
        topic = self._codec.servers_topic
        return self.fresh_for(topic, now, limit_s) > 0

    def fresh_for(self, topic: str, now: float, limit_s: float) -> float:
        """Returns how long a topic stays younger than a limit, seconds.

        Own reads keep the list of servers fresh. Any other topic is fresh while
        another entry VM tells what it knows.
        """
        if topic != self._codec.servers_topic:
            current_at = self.peer_current_at
        elif self.servers_current_at is not None:
            current_at = self.servers_current_at
        else:
            return 0.0
        return max(0.0, current_at + limit_s - now)

    def list_age_ms(self, now: float) -> int | None:
        """Returns the age of the list of servers, milliseconds, if known."""
        if self.servers_current_at is None:
            return None
        return round((now - self.servers_current_at) * 1000)

    def list_known_s(self, now: float) -> float:
        """Returns how long the list of servers has been followed, seconds."""
        return max(0.0, now - self.list_known_since)

    def servers_position(self) -> int:
        """Returns the position up to which the list of servers was applied."""
        return self.applied_offset(self._codec.servers_topic)

    def is_store_lost(self) -> bool:
        """Whether the store failed after its last reply to this entry VM."""
        if self.store_failed_at is None:
            return False
        return self.servers_current_at is None or self.store_failed_at > max(
            self.servers_current_at, self.store_replied_at
        )

    def record_store_failure(self, now: float) -> None:
        """Records a failed call to the store."""
        self.store_failed_at = now

    def is_listed(self, name: str, member: forwarding.EntryVm) -> bool:
        """Whether the store lists an entry VM with the given data."""
        members = self._mirrors[self._codec.members_topic]
        return (
            self.entry_vms.get(name) == member
            and name not in self._unreadable_vms
            and not members.is_carried(name)
        )

    def seeds(self) -> list[str]:
        """Returns the peer addresses of the settings, without this VM's."""
        return [seed for seed in self._seeds if seed != self._peer_address]

    def peers(self) -> list[str]:
        """Returns the peer addresses of the other entry VMs."""
        listed = (vm.peer_address for vm in self.entry_vms.values())
        addresses = {*listed, *self._seeds}
        addresses.discard(self._peer_address)
        return sorted(addresses)

    def _record_current_list(self, at: float) -> None:
        """Records that the list of servers is current as of a time."""
        before = self.servers_current_at
        if before is None or at - before > _MAX_LIST_GAP_S:
            self.list_known_since = at
        self.servers_current_at = max(before or 0.0, at)

    def _positions(self) -> dict[str, int]:
        return {
            topic: topic_mirror.end
            for topic, topic_mirror in self._mirrors.items()
        }

    def _rank(self, topic: str, key: str, value: bytes) -> mirror.Rank:
        try:
            return self._usable_rank(topic, self._codec.rank(topic, key, value))
        except Exception as exc:
            # Without a rank, the record is ordered by its position.
            _log_fault('rank', topic, key, None, exc)
            return mirror.UNRANKED

    def _usable_rank(self, topic: str, rank: mirror.Rank) -> mirror.Rank:
        """Returns the rank, unless it would outrank all later records."""
        if topic == self._codec.servers_topic and self._is_in_future(rank[0]):
            return mirror.UNRANKED
        return rank

    def _is_in_future(self, started_at_ms: int) -> bool:
        wall_s = self._wall()
        if wall_s < _MIN_WALL_S:
            return False
        return started_at_ms > (wall_s + _MAX_CLOCK_SKEW_S) * 1000

    def _seal_entry(self, topic: str, entry: mirror.Entry) -> mirror.Entry:
        try:
            value = self._codec.redact(topic, entry.value)
        except Exception as exc:
            # The record may contain keys.
            _log_fault('redact', topic, entry.key, entry.offset, exc)
            value = b''
        if value is entry.value:
            return entry
        return msgspec.structs.replace(entry, value=value)

    def _record_epoch(
        self, topic: str, before: int, now: float, source: str
    ) -> None:
        """Records that a topic is in a later epoch than before, if it is."""
        topic_mirror = self._mirrors[topic]
        end = topic_mirror.end
        epoch = positions.epoch(end)
        if not before and topic_mirror.has_carried():
            # Other VMs noticed the restore before this process started.
            self._epoch_at = now
        if not before or epoch == positions.epoch(before):
            return
        self._epoch_at = now
        if topic == self._codec.members_topic:
            self.quarantine_state.forget_stored()
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

    def _is_store_healthy(self, now: float) -> bool:
        """Whether the store had no recent failure and was not just restored."""
        if now - self._epoch_at <= _STORE_GRACE_S:
            return False
        return (
            self.store_failed_at is None
            or now - self.store_failed_at > _STORE_GRACE_S
        )

    def _changed_positions(
        self, topic: str, entries: Iterable[mirror.Entry]
    ) -> dict[str, int]:
        """Returns the last changed positions of the servers of some records."""
        if topic != self._codec.servers_topic:
            return {}
        topic_mirror = self._mirrors[topic]
        return {
            entry.key: position
            for entry in entries
            if (position := topic_mirror.changed_position(entry.key))
            is not None
        }

    def _apply_changes(
        self,
        topic: str,
        changes: list[mirror.Entry],
        now: float,
        source: str,
        positions_before: dict[str, int],
    ) -> None:
        for entry in changes:
            try:
                if topic == self._codec.config_topic:
                    self._apply_table(entry, source)
                elif topic == self._codec.servers_topic:
                    if self._apply_server(entry, now, source):
                        continue
                    if entry.key in positions_before:
                        before = positions_before[entry.key]
                        self._mirrors[topic].mark_repeated(entry, before)
                elif not self.quarantine_state.apply_record(entry, now, source):
                    self._apply_member(entry)
            except errors.DecodeError as exc:
                if topic == self._codec.servers_topic:
                    # The newest entry defines no usable server, whoever wrote
                    # it. A live server writes its entry again within seconds.
                    self.fleet.remove(entry.key, now, store_healthy=True)
                    if entry.key in self._unreadable:
                        continue
                    self._unreadable.add(entry.key)
                elif topic == self._codec.members_topic:
                    self._unreadable_vms.add(entry.key)
                # The previous configuration or entry VM stays in use.
                logs.event(
                    logging.ERROR,
                    'record not readable',
                    topic=topic,
                    key=entry.key,
                    offset=entry.offset,
                    source=source,
                    error=str(exc),
                )
            except errors.InvariantError:
                raise
            except Exception as exc:
                # The position is already behind all records of the reply, so
                # the others would never be applied.
                _log_fault('apply', topic, entry.key, entry.offset, exc)

    def _apply_table(self, entry: mirror.Entry, source: str) -> None:
        if entry.key != self._codec.config_key or not entry.value:
            return
        table = self._codec.decode_table(entry.value)
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
            bytes=len(entry.value),
            source=source,
        )

    def _apply_server(
        self, entry: mirror.Entry, now: float, source: str
    ) -> bool:
        """Applies a server's record; returns whether it changed anything."""
        server_state = self.fleet.server_state(entry.key)
        before = server_state.listed if server_state is not None else None
        if not entry.value:
            self._unreadable.discard(entry.key)
            if before is None:
                return True
            healthy = self._is_store_healthy(now)
            self.fleet.remove(entry.key, now, store_healthy=healthy)
            event = (
                'backend server gone' if healthy else 'backend server vanished'
            )
            logs.event(
                logging.INFO,
                event,
                server=entry.key,
                offset=entry.offset,
                source=source,
            )
            return True
        backend = self._codec.decode_server(entry.key, entry.value)
        if self._is_in_future(backend.born):
            raise errors.DecodeError(
                f'backend server {entry.key}: start time {backend.born} ms'
            )
        unreadable = entry.key in self._unreadable
        self._unreadable.discard(entry.key)
        known_start = self.fleet.started_at(entry.key)
        if not self.fleet.put(backend, now):
            logs.event(
                logging.INFO,
                'old entry passed over',
                server=entry.key,
                born=backend.born,
                known=known_start,
                offset=entry.offset,
                source=source,
            )
            return True
        if known_start and backend.born > known_start:
            self._apply_restart(backend, known_start, entry.offset, source)
        self.announcements.apply_entry(backend, now, source)
        if before is None or _differs(before, backend):
            logs.event(
                logging.INFO,
                'backend server leaving'
                if backend.leaving
                else 'backend server known',
                server=entry.key,
                service=backend.service,
                software=backend.version,
                address=backend.address,
                stage=backend.stage,
                offset=entry.offset,
                source=source,
            )
        return unreadable or server_state is None or before != backend

    def _apply_restart(
        self, backend: forwarding.Backend, before: int, offset: int, source: str
    ) -> None:
        """Removes what was recorded about earlier incarnations of a server."""
        self.plans.record_restart(backend.id)
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

    def _apply_member(self, entry: mirror.Entry) -> None:
        if entry.value:
            member = self._codec.decode_member(entry.key, entry.value)
            self._unreadable_vms.discard(entry.key)
            self.entry_vms = {**self.entry_vms, entry.key: member}
        else:
            self._unreadable_vms.discard(entry.key)
            remaining = dict(self.entry_vms)
            remaining.pop(entry.key, None)
            self.entry_vms = remaining


def _log_fault(
    step: str, topic: str, key: str, offset: int | None, exc: Exception
) -> None:
    logs.event(
        logging.ERROR,
        'record not applied',
        step=step,
        topic=topic,
        key=key,
        offset=offset,
        error=repr(exc),
    )


def _differs(before: forwarding.Backend, after: forwarding.Backend) -> bool:
    """Whether a server's entry changed in a way that affects requests."""
    return (before.leaving, before.stage, before.version) != (
        after.leaving,
        after.stage,
        after.version,
    )
