"""Loops that keep a router's beliefs fresh.

One entry VM, or one a data centre, reads the store, the others ask it
(`Readers`). A process that starts asks first (`Introduction`). The
configuration is waited for, since it must be in force soon after it was
accepted. Entries of servers change with every heartbeat, so waiting for them
would return at once; they are read at a pace that leaves most of the bound for
leaving servers unused. While the store fails, any other entry VM is asked.
"""

from collections.abc import Callable
import logging
import math
import random
import threading
import time
from typing import Final

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import homes
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics
from foxtaildaled import actors
from foxtaildaled import beliefs

# Wait of one read for the configuration, seconds. A connection that went
# silent is noticed this long plus an answer's bound later.
CONFIG_WAIT_S: Final = 1.5
# Reads of the servers in the time after which a leaving one must be left
# alone: four, so that one may be lost and the next still be in time.
READS_PER_BOUND: Final = 4.0
# Wait after a failed call to the store, seconds: short against the two seconds
# within which a change must be in force, long against the price of a call. It
# doubles with each failure in a row.
RETRY_S: Final = 0.3
# The longest wait of the VM that reads for its data centre, and of one that knows
# no configuration; and that of all others, which hear of the store's return from
# the reader. Each call to a store that is down is one more for it to get through.
RETRY_READER_S: Final = 0.6
RETRY_MOST_S: Final = 2.4
# Time between the reader's reads of the list of entry VMs, seconds; the others
# get it from the reader.
MEMBERS_S: Final = 3.0
# Time after which an entry that was written and not seen is written again,
# seconds: two of the reads, and as much for a reader that is lost meanwhile.
LISTED_S: Final = 12.0
# Part of the time for leaving servers at which what is known is too old, and
# the store is read. A reader is asked every 0.4 s and reads every 0.5 s, so
# that its word is 0.9 s old at most; the bound is two seconds or more.
STALE_PART: Final = 0.55
# Time between asks, and the longest wait for an answer, seconds.
PEER_S: Final = 0.4
PEER_ANSWER_S: Final = 0.3
# How long a reader that failed is passed over, seconds.
PASSED_S: Final = 3.0
# Entry VMs up to which one reads for all; more than those would be a quarter of
# a core for it, and much that goes between data centres.
ONE_READER: Final = 120
# How long a process that starts asks others before it reads the store itself,
# seconds: at the first start of all, long before callers come, and else as long
# as an answer of one that is up takes. Then the longest wait for one answer, and
# the pause after all were asked.
FIRST_START_S: Final = 2.0
ANSWERED_S: Final = 0.1
SEED_ANSWER_S: Final = 0.12
SEED_PAUSE_S: Final = 0.03
# Shortest pause of a loop that has nothing to read, seconds; it looks again when
# what is known may be too old.
LAZY_S: Final = 0.1


class Topic:
    """Follows one keyed topic; `step` is called by a loop."""

    __slots__ = ('_counts', '_owner', '_store', '_topic', '_wait_s', '_well')

    def __init__(
        self,
        topic: str,
        owner: actors.Owner[beliefs.Beliefs],
        store: ports.Topics,
        counts: metrics.Metrics,
        wait_s: float,
    ) -> None:
        self._topic = topic
        self._owner = owner
        self._store = store
        self._counts = counts
        self._wait_s = wait_s
        # None until the first answer or failure.
        self._well: bool | None = None

    def step(self) -> bool:
        """Reads once; returns whether the store answered."""
        try:
            offset = self._owner.run(lambda state, _: state.end(self._topic))
            keyed, whole = self._read(offset)
        except (errors.PortError, errors.DecodeError) as exc:
            self._owner.run(lambda state, now: state.failed(now))
            self._counts.store_calls.add(1, self._topic, 'failed')
            self._note(False, error=str(exc))
            return False
        self._owner.run(
            lambda state, now: state.take(self._topic, keyed, now, whole=whole)
        )
        self._counts.store_calls.add(1, self._topic, 'answered')
        self._note(True, offset=keyed.end)
        return True

    def _read(self, offset: int) -> tuple[ports.Keyed, bool]:
        if not offset:
            return self._store.newest(self._topic), True
        try:
            wait_s = self._wait_s
            return self._store.follow(self._topic, offset, wait_s), False
        except errors.LapsedError:
            return self._store.newest(self._topic), True

    def _note(self, well: bool, **fields: object) -> None:
        if well == self._well:
            return
        if well:
            event = 'store reached' if self._well is None else 'store regained'
        else:
            event = 'store lost'
        self._well = well
        logs.event(logging.INFO, event, topic=self._topic, **fields)


class Members:
    """Lists this entry VM, and reads the list for the others."""

    __slots__ = (
        '_clock',
        '_codec',
        '_list_at',
        '_member',
        '_name',
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
        owner: actors.Owner[beliefs.Beliefs],
        store: ports.Topics,
        topic: Topic,
        readers: 'Readers',
        clock: ports.Clock,
    ) -> None:
        self._name = name
        self._member = member
        self._readers = readers
        self._clock = clock
        # When the entry is written again if it was not seen, seconds.
        self._list_at = -math.inf
        self._codec = codec
        self._owner = owner
        self._store = store
        self._topic = topic

    def step(self) -> bool:
        """Reads the list for the others, and writes this entry VM's entry.

        Returns:
            Whether this entry VM was seen listed as it should be.
        """
        known = self._known()
        if not known or self._readers.choose(known) == self._name:
            if not self._topic.step():
                return False
            known = self._known()
        if known.get(self._name) == self._member:
            return True
        self._list()
        return False

    def _known(self) -> dict[str, forwarding.EntryVm]:
        return self._owner.run(lambda state, _: state.entry_vms)

    def _list(self) -> None:
        """Writes the entry, unless it was written a moment before.

        Until it is seen, it may be on its way: the VM that reads the list for
        the others does so every few seconds.
        """
        if self._clock() < self._list_at:
            return
        value = self._codec.encode_member(self._member)
        try:
            self._store.put(self._codec.members_topic, self._name, value)
        except errors.PortError as exc:
            logs.event(logging.WARNING, 'listing failed', error=str(exc))
            return
        self._list_at = self._clock() + LISTED_S


class Introduction:
    """Learns at the start from an entry VM that is up, in place of the store.

    Each start would else read all there is, and with the store slow or down it
    would wait for it. The VMs that the settings name read the store; the others
    ask those. Where none knows enough at once, as when all VMs lost power, this
    one reads the store itself: callers wait for it. At the first start of all
    nobody does, and it can ask again.
    """

    __slots__ = (
        '_clock',
        '_done',
        '_limit_s',
        '_owner',
        '_patience_s',
        '_peers',
        '_seeds',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        peers: ports.Peers,
        own: str,
        seeds: tuple[str, ...],
        limit_s: float,
        first_start: bool,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        """Prepares it.

        Args:
            owner: Owns what the router believes.
            peers: The other entry VMs.
            own: Peer address of this entry VM.
            seeds: Peer addresses that the settings name.
            limit_s: Greatest age of what is taken, seconds.
            first_start: Whether all entry VMs start for the first time.
            clock: Seconds.
            rng: Chooses which seed is asked first.
        """
        self._owner = owner
        self._peers = peers
        # One that the settings name must read, since all others ask it.
        self._seeds = [] if own in seeds else rng.sample(seeds, len(seeds))
        self._limit_s = limit_s
        self._patience_s = FIRST_START_S if first_start else ANSWERED_S
        self._clock = clock
        self._done = threading.Event()

    def wait(self) -> None:
        """Returns when it is over, whatever came of it."""
        self._done.wait()

    def run(self) -> None:
        """Asks, for a while at most; does nothing once it is over."""
        if self._done.is_set():
            return
        end = self._clock() + self._patience_s
        asked = 0
        while self._seeds and (left_s := end - self._clock()) > 0:
            seed = self._seeds[asked % len(self._seeds)]
            if self._ask(seed, min(left_s, SEED_ANSWER_S)):
                break
            asked += 1
            if asked % len(self._seeds) == 0:
                time.sleep(SEED_PAUSE_S)
        self._done.set()

    def _ask(self, seed: str, answer_s: float) -> bool:
        """Asks one; returns whether it knew enough to begin with."""
        ask = self._owner.run(lambda state, _: state.ask())
        try:
            reply = self._peers.ask(seed, ask, answer_s)
        except errors.PortError as exc:
            logs.event(logging.INFO, 'peer lost', address=seed, error=str(exc))
            return False
        if not isinstance(reply, messages.RecordsReply):
            return False
        if reply.age_s > self._limit_s:
            return False

        def turn(state: beliefs.Beliefs, now: float) -> bool:
            state.take_reply(reply, now)
            return state.matcher is not None and bool(state.entry_vms)

        return self._owner.run(turn)


class Readers:
    """Which entry VM reads the store for others.

    Calls to the store are shared by all entry VMs and priced; were each to
    read for itself, they would grow with their number. One, by rendezvous hash,
    reads, and the others ask it; where there are many, one a data centre. One
    that does not answer or has nothing fresh is passed over for a while, and one
    that the store fails as soon as it says so: else all would wait until what they
    know is too old, and then read the store together. Where the next one says the
    same, the store fails everybody, and another reader is no help. Safe for
    concurrent use.
    """

    __slots__ = (
        '_all',
        '_clock',
        '_data_centre',
        '_entry_vm',
        '_homes',
        '_lock',
        '_lost_until',
        '_near',
        '_passed',
        'on_passed',
    )

    def __init__(
        self, entry_vm: str, data_centre: str, clock: ports.Clock
    ) -> None:
        self._entry_vm = entry_vm
        self._data_centre = data_centre
        self._clock = clock
        self._lock = threading.Lock()
        self._all = homes.Strong(lambda vm: vm.cores)
        # Of this data centre.
        self._near = homes.Strong(
            lambda vm: vm.cores if vm.data_centre == data_centre else 0.0
        )
        self._homes = homes.Homes()
        # Until when each one that failed is passed over, seconds.
        self._passed: dict[str, float] = {}
        # Until when no other one is for a store that fails it, seconds.
        self._lost_until = -math.inf
        # Called when another one reads from now on, maybe this entry VM.
        self.on_passed: Callable[[], None] = lambda: None

    def choose(self, known: dict[str, forwarding.EntryVm]) -> str:
        """Returns the name of the reader; this entry VM's own if none fits."""
        now = self._clock()
        alone = len(known) <= ONE_READER
        what = 'read' if alone else f'read {self._data_centre}'
        with self._lock:
            strong = self._all if alone else self._near
            fit = tuple(
                name
                for name in strong.among(known, frozenset())
                if self._passed.get(name, 0.0) <= now
            )
            reader = self._homes.home(what, fit)
        return reader or self._entry_vm

    def failed(self, name: str) -> None:
        """Takes a reader that did not answer or had nothing fresh."""
        with self._lock:
            self._passed[name] = self._clock() + PASSED_S
        self.on_passed()

    def store_lost(self, name: str) -> bool:
        """Takes a reader that the store fails; returns whether it is left."""
        with self._lock:
            now = self._clock()
            if now < self._lost_until:
                return False
            self._lost_until = now + PASSED_S
            self._passed[name] = now + PASSED_S
        self.on_passed()
        return True


class Lazy:
    """Reads a topic from the store unless a reader's word is fresh."""

    __slots__ = (
        '_entry_vm',
        '_failures',
        '_limit_s',
        '_owner',
        '_readers',
        '_rng',
        '_topic',
    )

    def __init__(
        self,
        *,
        topic: Topic,
        owner: actors.Owner[beliefs.Beliefs],
        readers: Readers,
        entry_vm: str,
        limit_s: float,
        rng: random.Random,
    ) -> None:
        self._topic = topic
        self._owner = owner
        self._readers = readers
        self._entry_vm = entry_vm
        self._limit_s = limit_s
        self._rng = rng
        # Calls that failed in a row.
        self._failures = 0

    def step(self) -> float:
        """Reads once if it must; returns when to look again, seconds."""

        def turn(
            state: beliefs.Beliefs, now: float
        ) -> tuple[float, dict[str, forwarding.EntryVm], bool]:
            fresh_s = state.fresh_for(now, self._limit_s)
            return fresh_s, state.entry_vms, state.matcher is None

        fresh_s, known, ignorant = self._owner.run(turn)
        reads = self._readers.choose(known) == self._entry_vm
        if fresh_s > 0 and not reads:
            return max(LAZY_S, fresh_s)
        if self._topic.step():
            self._failures = 0
            return 0.0
        self._failures += 1
        return self._retry_s(soon=reads or ignorant)

    def _retry_s(self, *, soon: bool) -> float:
        most_s = RETRY_READER_S if soon else RETRY_MOST_S
        doublings = min(self._failures - 1, 8)
        wait_s = min(most_s, RETRY_S * float(2**doublings))
        # Spread, since all VMs lose the store at the same moment.
        return wait_s * self._rng.uniform(0.75, 1.25)


class PeerSync:
    """Asks the reader, and any other entry VM while nothing is fresh."""

    __slots__ = (
        '_entry_vm',
        '_limit_s',
        '_owner',
        '_peers',
        '_readers',
        '_rng',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        peers: ports.Peers,
        readers: Readers,
        entry_vm: str,
        limit_s: float,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._readers = readers
        self._entry_vm = entry_vm
        self._limit_s = limit_s
        self._rng = rng

    def step(self) -> None:
        """Asks once, as a loop."""
        known = self._owner.run(lambda state, _: state.entry_vms)
        reader = self._readers.choose(known)
        if reader != self._entry_vm:
            reply = self._ask(known[reader].peer_address)
            if reply is None or reply.age_s > self._limit_s:
                self._readers.failed(reader)
                _log_passed(reader, answered=reply is not None)
            elif reply.store_lost and self._readers.store_lost(reader):
                _log_passed(reader, answered=True)
        else:
            self._owner.run(lambda state, now: state.ask_self(now))
            lost = self._owner.run(lambda state, _: state.store_lost())
            if lost and self._readers.store_lost(reader):
                _log_passed(reader, answered=True)
        if self._owner.run(
            lambda state, now: state.is_fresh(now, self._limit_s)
        ):
            return
        addresses = self._owner.run(lambda state, _: state.peers())
        if addresses:
            self._ask(self._rng.choice(addresses))

    def _ask(self, address: str) -> messages.RecordsReply | None:
        """Asks one entry VM and takes what it knows; None if it fails."""
        ask = self._owner.run(lambda state, _: state.ask())
        try:
            reply = self._peers.ask(address, ask, PEER_ANSWER_S)
        except errors.PortError as exc:
            logs.event(
                logging.INFO, 'peer lost', address=address, error=str(exc)
            )
            return None
        if not isinstance(reply, messages.RecordsReply):
            return None
        self._owner.run(lambda state, now: state.take_reply(reply, now))
        return reply


def _log_passed(reader: str, *, answered: bool) -> None:
    logs.event(
        logging.INFO, 'reader passed over', reader=reader, answered=answered
    )
