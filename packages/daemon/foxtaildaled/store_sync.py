"""Loops that keep a router's state up to date.

One entry VM, or one per data centre, reads the store, and the others send it
requests (`reader_choice`). A process that starts first requests the state from
other VMs (`initial_state`). Reads of the configuration wait for a change, since
it must be in force soon after it was accepted. Entries of servers change with
every heartbeat, so such a wait would return at once. They are read at an
interval that is a small part of the time bound for leaving servers. While the
store fails, requests go to any other entry VM.
"""

from collections.abc import Callable
import logging
import math
import random
from typing import Final

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics
from foxtaildaled import actors
from foxtaildaled import reader_choice
from foxtaildaled import router_state

# How long one read of the configuration waits for a change, seconds. A
# connection that went silent is detected after this time plus the time limit of
# a response.
CONFIG_WAIT_S: Final = 1.5
# Reads of the servers within the time after which a leaving server must get no
# more requests. With four, one read may fail and the next is still in time.
READS_PER_LEAVING_BOUND: Final = 4.0
# Wait after a failed call to the store, seconds. It is short compared with the
# two seconds within which a change must be in force, and long compared with the
# cost of a call. It doubles with each consecutive failure.
MIN_RETRY_S: Final = 0.3
# Longest wait between attempts, seconds: of a reader and of a VM without a
# configuration, and of all other VMs, which learn from the reader that the
# store has recovered. Each call to a store that is down adds to its backlog.
READER_MAX_RETRY_S: Final = 0.6
MAX_RETRY_S: Final = 2.4
# Interval between the reader's reads of the list of entry VMs, seconds. The
# other VMs get the list from the reader.
MEMBERS_INTERVAL_S: Final = 3.0
# Time after which an entry that was written but not seen is written again,
# seconds: two intervals of the reads, and two more in case the reader fails.
RELIST_INTERVAL_S: Final = 12.0
# Part of the time bound for leaving servers after which the known state is too
# old and the store is read. A reader gets a request every 0.4 s and reads every
# 0.5 s, so its data is at most 0.9 s old; the bound is two seconds or more.
MAX_AGE_FRACTION: Final = 0.55
# Interval between requests to a peer, and longest wait for its reply, seconds.
PEER_INTERVAL_S: Final = 0.4
PEER_TIMEOUT_S: Final = 0.3
# Time limit of a peer's reply with records of any size, seconds. A megabyte
# takes 1.6 s at 5 Mbit/s.
LARGE_REPLY_TIMEOUT_S: Final = 3.0
# Shortest pause of a loop that has nothing to read, seconds. It checks again
# when the known state may be too old.
MIN_PAUSE_S: Final = 0.1


class TopicReader:
    """Reads the changes of one keyed topic; a loop calls `read_once`."""

    __slots__ = (
        '_counts',
        '_is_up',
        '_owner',
        '_store',
        '_wait_s',
        'topic',
    )

    def __init__(
        self,
        topic: str,
        owner: actors.StateOwner[router_state.RouterState],
        store: ports.KeyedTopics,
        counts: metrics.Metrics,
        wait_s: float,
    ) -> None:
        self.topic = topic
        self._owner = owner
        self._store = store
        self._counts = counts
        self._wait_s = wait_s
        # Whether the last read succeeded; None before the first.
        self._is_up: bool | None = None

    def read_once(self) -> bool:
        """Reads once; returns whether the store responded."""
        try:
            requested_at, offset = self._owner.run(
                lambda state, now: (now, state.applied_offset(self.topic))
            )
            keyed, is_snapshot = self._read(offset)
        except (errors.PortError, errors.DecodeError) as exc:
            self._owner.run(lambda state, now: state.record_store_failure(now))
            self._counts.store_calls.add(1, self.topic, 'failed')
            self._log_change(False, error=str(exc))
            return False
        self._owner.run(
            lambda state, now: state.apply_store_reply(
                self.topic,
                keyed,
                now,
                requested_at=requested_at,
                is_snapshot=is_snapshot,
            )
        )
        self._counts.store_calls.add(1, self.topic, 'answered')
        self._log_change(True, offset=keyed.end)
        return True

    def _read(self, offset: int) -> tuple[ports.KeyedRecords, bool]:
        if not offset:
            return self._store.read_newest(self.topic), True
        try:
            wait_s = self._wait_s
            return self._store.wait_for_records(
                self.topic, offset, wait_s
            ), False
        except errors.RecordsExpiredError:
            return self._store.read_newest(self.topic), True

    def _log_change(self, is_up: bool, **fields: object) -> None:
        if is_up == self._is_up:
            return
        if is_up:
            event = 'store reached' if self._is_up is None else 'store regained'
        else:
            event = 'store lost'
        self._is_up = is_up
        logs.event(logging.INFO, event, topic=self.topic, **fields)


class MemberListing:
    """Lists this entry VM and, as reader, reads the list for the others."""

    __slots__ = (
        '_clock',
        '_codec',
        '_member',
        '_name',
        '_next_write_at',
        '_owner',
        '_readers',
        '_store',
        '_topic',
    )

    def __init__(
        self,
        *,
        name: str,
        member: forwarding.EntryVm,
        codec: ports.RecordCodec,
        owner: actors.StateOwner[router_state.RouterState],
        store: ports.KeyedTopics,
        topic: TopicReader,
        readers: reader_choice.ReaderChoice,
        clock: ports.Clock,
    ) -> None:
        self._name = name
        self._member = member
        self._readers = readers
        self._clock = clock
        # Earliest time at which the entry is written again, seconds.
        self._next_write_at = -math.inf
        self._codec = codec
        self._owner = owner
        self._store = store
        self._topic = topic

    def list_once(self) -> bool:
        """Reads the list if it is the reader, and writes a missing entry.

        Returns:
            Whether this entry VM is listed with its current entry.
        """
        vms = self._entry_vms()
        is_reader = not vms or self._readers.choose_reader(vms) == self._name
        if is_reader and not self._topic.read_once():
            return False
        name, member = self._name, self._member
        if self._owner.run(lambda state, _: state.is_listed(name, member)):
            return True
        self._write_entry()
        return False

    def _entry_vms(self) -> dict[str, forwarding.EntryVm]:
        return self._owner.run(lambda state, _: state.entry_vms)

    def _write_entry(self) -> None:
        """Writes the entry, unless it was written recently.

        A written entry may not be seen for a while, since the VM that reads the
        list for the others does so every few seconds.
        """
        if self._clock() < self._next_write_at:
            return
        value = self._codec.encode_member(self._member)
        try:
            self._store.put(self._codec.members_topic, self._name, value)
        except errors.PortError as exc:
            logs.event(logging.WARNING, 'listing failed', error=str(exc))
            return
        self._next_write_at = self._clock() + RELIST_INTERVAL_S


class FallbackReader:
    """Reads a topic from the store unless the reader's data is fresh.

    It also reads the large records that the reader's replies leave out. If the
    store does not reply, it requests them from another entry VM.
    """

    __slots__ = (
        '_entry_vm',
        '_failures',
        '_interval_s',
        '_max_age_s',
        '_owner',
        '_peers',
        '_readers',
        '_rng',
        '_topic',
    )

    def __init__(
        self,
        *,
        topic: TopicReader,
        owner: actors.StateOwner[router_state.RouterState],
        peers: ports.Peers,
        readers: reader_choice.ReaderChoice,
        entry_vm: str,
        interval_s: float,
        max_age_s: float,
        rng: random.Random,
    ) -> None:
        """Initializes the reader.

        Args:
            topic: Reads the topic from the store.
            owner: Owner of the router state.
            peers: The other entry VMs.
            readers: Chooses the entry VM that reads the store for the others.
            entry_vm: Name of this entry VM.
            interval_s: Time between two reads of the store, seconds.
            max_age_s: Age above which the known state is too old, seconds.
            rng: Spreads retries and chooses among peers.
        """
        self._topic = topic
        self._owner = owner
        self._peers = peers
        self._readers = readers
        self._entry_vm = entry_vm
        self._interval_s = interval_s
        self._max_age_s = max_age_s
        self._rng = rng
        # Number of consecutive failed calls.
        self._failures = 0

    def read_if_stale(self) -> float:
        """Reads once if needed.

        Returns:
            The time until the next call, seconds.
        """
        topic = self._topic.topic

        def read_state(
            state: router_state.RouterState, now: float
        ) -> tuple[float, bool, dict[str, forwarding.EntryVm], bool]:
            fresh_s = state.fresh_for(topic, now, self._max_age_s)
            is_behind = state.is_behind(topic)
            return fresh_s, is_behind, state.entry_vms, state.matcher is None

        fresh_s, is_behind, vms, is_unconfigured = self._owner.run(read_state)
        reader = self._readers.choose_reader(vms)
        is_reader = reader == self._entry_vm
        if fresh_s > 0 and not is_reader and not is_behind:
            return max(MIN_PAUSE_S, fresh_s)
        if not is_reader:
            self._log_direct_read(reader, is_behind=is_behind)
        if self._topic.read_once():
            self._failures = 0
            return self._interval_s
        self._failures += 1
        if is_behind:
            self._fetch_from_peer()
        return self._retry_s(
            is_urgent=is_reader or is_unconfigured or is_behind
        )

    def _log_direct_read(self, reader: str, *, is_behind: bool) -> None:
        logs.event(
            logging.INFO,
            'store read directly',
            topic=self._topic.topic,
            reader=reader,
            list_age_ms=self._owner.run(
                lambda state, now: state.list_age_ms(now)
            ),
            left_out=is_behind,
        )

    def _fetch_from_peer(self) -> None:
        """Requests records of any size from one entry VM.

        Either from the VM that announced them or from a random one: if all VMs
        requested them from the same one, its link would be the bottleneck.
        """
        topic = self._topic.topic
        announced_by, addresses = self._owner.run(
            lambda state, _: (
                state.large_records.announced_by(topic),
                state.peers(),
            )
        )
        candidates = [announced_by] if announced_by else []
        if addresses:
            candidates.append(self._rng.choice(addresses))
        if not candidates:
            return
        _request_records(
            self._owner,
            self._peers,
            self._rng.choice(candidates),
            LARGE_REPLY_TIMEOUT_S,
            lambda state, _: state.build_large_request(),
        )

    def _retry_s(self, *, is_urgent: bool) -> float:
        max_wait_s = READER_MAX_RETRY_S if is_urgent else MAX_RETRY_S
        doublings = min(self._failures - 1, 8)
        wait_s = min(max_wait_s, MIN_RETRY_S * float(2**doublings))
        # Random, since all VMs lose the store at the same moment.
        return wait_s * self._rng.uniform(0.75, 1.25)


class PeerSync:
    """Requests state from the reader, or from any VM while it is stale."""

    __slots__ = (
        '_entry_vm',
        '_max_age_s',
        '_owner',
        '_peers',
        '_readers',
        '_rng',
    )

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        peers: ports.Peers,
        readers: reader_choice.ReaderChoice,
        entry_vm: str,
        max_age_s: float,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._readers = readers
        self._entry_vm = entry_vm
        self._max_age_s = max_age_s
        self._rng = rng

    def sync_once(self) -> None:
        """Sends one round of requests, as a loop."""
        vms = self._owner.run(lambda state, _: state.entry_vms)
        reader = self._readers.choose_reader(vms)
        if reader != self._entry_vm:
            reply = self._request_state(vms[reader].peer_address)
            if reply is None or reply.store_age_s > self._max_age_s:
                self._readers.record_failure(reader)
                _log_excluded(reader, answered=reply is not None)
            elif reply.store_failed and self._readers.record_store_lost(reader):
                _log_excluded(reader, answered=True)
        else:
            self._owner.run(lambda state, now: state.apply_own_failures(now))
            is_store_lost = self._owner.run(
                lambda state, _: state.is_store_lost()
            )
            if is_store_lost and self._readers.record_store_lost(reader):
                _log_excluded(reader, answered=True)
        if self._owner.run(
            lambda state, now: state.is_fresh(now, self._max_age_s)
        ):
            return
        addresses = self._owner.run(lambda state, _: state.peers())
        if addresses:
            self._request_state(self._rng.choice(addresses))

    def _request_state(self, address: str) -> messages.RecordsReply | None:
        """Requests and applies the state of one entry VM; None on failure."""
        return _request_records(
            self._owner,
            self._peers,
            address,
            PEER_TIMEOUT_S,
            lambda state, now: state.build_request(now, PEER_TIMEOUT_S),
        )


def _request_records(
    owner: actors.StateOwner[router_state.RouterState],
    peers: ports.Peers,
    address: str,
    timeout_s: float,
    build: Callable[[router_state.RouterState, float], messages.RecordsRequest],
) -> messages.RecordsReply | None:
    """Requests and applies records of one entry VM; None on failure."""
    requested_at, request = owner.run(
        lambda state, now: (now, build(state, now))
    )
    try:
        reply = peers.request(address, request, timeout_s)
    except errors.PortError as exc:
        logs.event(logging.INFO, 'peer lost', address=address, error=str(exc))
        return None
    if not isinstance(reply, messages.RecordsReply):
        return None
    owner.run(
        lambda state, now: state.apply_peer_reply(
            reply, now, requested_at=requested_at, sender=address
        )
    )
    return reply


def _log_excluded(reader: str, *, answered: bool) -> None:
    logs.event(
        logging.INFO, 'reader passed over', reader=reader, answered=answered
    )
