"""Loops that keep a router's beliefs fresh.

One entry VM, or one a data centre, reads the store, the others ask it
(`storereaders`). A process that starts asks first (`introductions`). The
configuration is waited for, since it must be in force soon after it was
accepted. Entries of servers change with every heartbeat, so waiting for them
would return at once; they are read at a pace that leaves most of the bound for
leaving servers unused. While the store fails, any other entry VM is asked.
"""

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
from foxtaildaled import beliefs
from foxtaildaled import storereaders

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
        readers: storereaders.Readers,
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
        reads = not known or self._readers.choose(known) == self._name
        if reads and not self._topic.step():
            return False
        name, member = self._name, self._member
        if self._owner.run(lambda state, _: state.is_listed(name, member)):
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
        readers: storereaders.Readers,
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
        readers: storereaders.Readers,
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
        ask = self._owner.run(lambda state, now: state.ask(now))
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
