"""Loops that keep a router's beliefs fresh.

The configuration is waited for, since it must be in force soon after it was
accepted. Entries of servers change with every heartbeat, so waiting for them
would return at once; they are read at a pace that leaves most of the bound for
leaving servers unused. While the store fails, other entry VMs are asked.
"""

import logging
import random
from typing import Final

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import beliefs

# Wait of one read for the configuration, seconds. A connection that went
# silent is noticed this long plus an answer's bound later.
CONFIG_WAIT_S: Final = 1.5
# Reads of the servers in the time after which a leaving one must be left
# alone: three, so that one may be lost and the next still be in time.
READS_PER_BOUND: Final = 3.0
# Wait after a failed call to the store, seconds: short against the two seconds
# within which a change must be in force, long against the price of a call.
RETRY_S: Final = 0.3
# Time between reads of the list of entry VMs, seconds; it only counts them.
MEMBERS_S: Final = 8.0
# Age of the last answer of the store at which peers are asked, seconds.
STALE_S: Final = 1.0
# Time between asks, and the longest wait for an answer, seconds.
PEER_S: Final = 0.5
PEER_ANSWER_S: Final = 0.6


class Topic:
    """Follows one keyed topic; `step` is called by a loop."""

    __slots__ = ('_clock', '_owner', '_store', '_topic', '_wait_s', '_well')

    def __init__(
        self,
        topic: str,
        owner: actors.Owner[beliefs.Beliefs],
        store: ports.Topics,
        clock: ports.Clock,
        wait_s: float,
    ) -> None:
        self._topic = topic
        self._owner = owner
        self._store = store
        self._clock = clock
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
            self._note(False, error=str(exc))
            return False
        self._owner.run(
            lambda state, now: state.take(self._topic, keyed, now, whole=whole)
        )
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
    """Lists this entry VM, and counts the others."""

    __slots__ = ('_codec', '_member', '_name', '_owner', '_store', '_topic')

    def __init__(
        self,
        *,
        name: str,
        member: forwarding.EntryVm,
        codec: ports.RecordCodec,
        owner: actors.Owner[beliefs.Beliefs],
        store: ports.Topics,
        topic: Topic,
    ) -> None:
        self._name = name
        self._member = member
        self._codec = codec
        self._owner = owner
        self._store = store
        self._topic = topic

    def step(self) -> bool:
        """Reads the list, and writes this entry VM's entry if it lacks it.

        Returns:
            Whether this entry VM was listed as it should be.
        """
        if not self._topic.step():
            return False
        known = self._owner.run(
            lambda state, _: state.entry_vms.get(self._name)
        )
        if known == self._member:
            return True
        value = self._codec.encode_member(self._member)
        try:
            self._store.put(self._codec.members_topic, self._name, value)
        except errors.PortError as exc:
            logs.event(logging.WARNING, 'listing failed', error=str(exc))
        # Read again soon: those that start together have listed themselves
        # by then, and a home must be chosen among all of them.
        return False


class PeerSync:
    """Asks another entry VM while the store fails."""

    __slots__ = ('_clock', '_owner', '_peers', '_rng')

    def __init__(
        self,
        owner: actors.Owner[beliefs.Beliefs],
        peers: ports.Peers,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._clock = clock
        self._rng = rng

    def step(self) -> None:
        """Asks one of them if the store's last answer is too old."""
        now = self._clock()
        read_at, ask, addresses = self._owner.run(
            lambda state, _: (state.read_at, state.ask(), state.peers())
        )
        if read_at is not None and now - read_at < STALE_S:
            return
        if not addresses:
            return
        address = self._rng.choice(addresses)
        try:
            reply = self._peers.ask(address, ask, PEER_ANSWER_S)
        except errors.PortError as exc:
            logs.event(
                logging.INFO, 'peer lost', address=address, error=str(exc)
            )
            return
        if isinstance(reply, messages.RecordsReply):
            self._owner.run(lambda state, at: state.take_reply(reply, at))
