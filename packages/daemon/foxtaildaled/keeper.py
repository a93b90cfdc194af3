"""Decisions of a keeper; one actor owns its state.

A keeper follows the platform's log, exchanges heartbeats with the other
keepers, reports the preset in force to the entries of its VM, witnesses
tickets, settles claims, and coordinates the pools of some services. `Keeper`
holds that state and replies to messages. It does no I/O and receives the time
as an argument, so its decisions don't depend on a real clock. The process
accesses it through an `actors.Owner`, which handles one message at a time.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

import msgspec
import pykka

from foxtaildale import claims
from foxtaildale import gossip
from foxtaildale import homes
from foxtaildale import kept
from foxtaildale import members
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import orders
from foxtaildale import ports
from foxtaildale import reaper
from foxtaildale import spread
from foxtaildale import values
from foxtaildale import witness
from foxtaildaled import pools

# Maximum time that an entry waits until its claim has been read back from the
# log, seconds.
CLAIM_WAIT_S: Final = 5.0
# Maximum number of stopped incarnations that are stored.
_MAX_DEPARTED: Final = 256


class EntryState:
    """An entry of this VM."""

    __slots__ = ('address', 'heard_at', 'incarnation', 'revision')

    incarnation: str
    address: str
    # Highest preset revision that the entry has used, as it reported.
    revision: int
    # Time of its last `Hello`.
    heard_at: float

    def __init__(self, msg: messages.Hello, now: float) -> None:
        self.incarnation = msg.incarnation
        self.address = msg.address
        self.revision = msg.revision
        self.heard_at = now


class Keeper:
    """State of a keeper and its replies to messages."""

    __slots__ = (
        'ahead',
        'answers',
        'claims',
        'departed',
        'entries',
        'follower',
        'gossip',
        'homes',
        'me',
        'members',
        'ordered_by',
        'orders',
        'pools',
        'seeds',
        'silence_s',
        'stopping',
        'waiting',
        'witness',
    )

    me: values.Keeper
    silence_s: float
    # Presets, as read from the log and reported by peers.
    follower: spread.Follower
    # VMs, as reported by the VM list and the peers.
    members: members.Members
    claims: claims.Claims
    # Complete responses of claims, for callers that did not receive theirs.
    answers: kept.Answers
    witness: witness.Witness
    pools: pools.Pools
    # Entries of this VM, by incarnation.
    entries: dict[str, EntryState]
    # Claims that are not settled yet, by request.
    waiting: dict[str, pykka.Future[messages.ClaimReply]]
    orders: orders.Orders
    # Offset of the preset switch whose engine settings are ordered; -1 before
    # the first one.
    ordered_by: int
    gossip: gossip.Gossip
    homes: homes.Homes
    # Incarnations that stopped as planned, oldest first; their last heartbeats
    # may still be in transit.
    departed: dict[str, None]
    # Addresses of peers that sent a heartbeat to this keeper and are ahead of
    # it.
    ahead: dict[str, None]
    # Addresses of keepers that receive heartbeats while no VM list is known.
    seeds: tuple[str, ...]
    # Whether this process is being stopped.
    stopping: bool

    def __init__(self, me: values.Keeper, cfg: options.Options) -> None:
        self.me = me
        self.silence_s = cfg.silence_s
        self.follower = spread.Follower(me.name, freshness_s=cfg.freshness_s)
        self.members = members.Members(me.name, cfg.silence_s, cfg.heartbeat_s)
        self.gossip = gossip.Gossip(me.name)
        self.orders = orders.Orders()
        self.ordered_by = -1
        self.homes = homes.Homes()
        self.claims = claims.Claims(me.incarnation, me.address)
        self.answers = kept.Answers()
        self.witness = witness.Witness(
            me.incarnation, remember_s=2 * cfg.ticket_life_s
        )
        self.pools = pools.Pools(self.follower, self.members)
        self.entries = {}
        self.waiting = {}
        self.departed = {}
        self.ahead = {}
        self.seeds = cfg.seeds
        self.stopping = False

    def handle(self, now: float, msg: messages.Any) -> messages.Any:
        """Returns the reply to a message from another process."""
        # Each handler accepts its own message type; the type of a dictionary
        # can't express that.
        handlers: dict[type, Callable[[float, Any], messages.Any]] = {
            messages.Hello: self._handle_hello,
            messages.Beat: self._handle_heartbeat,
            messages.Bye: self._handle_bye,
            messages.Pull: self._handle_pull,
            messages.AskSlot: self.pools.ask,
            messages.EndSlot: self.pools.end,
            messages.KeepSlots: self.pools.keep,
            messages.EndClaim: self._handle_end_claim,
            messages.AskOutcome: self._handle_ask_outcome,
            messages.AskReading: self.witness.read,
            messages.Note: self.witness.note,
            messages.Void: self.witness.void,
            messages.Tell: self.witness.tell,
        }
        handler = handlers.get(type(msg))
        if handler is None:
            return messages.Fail(code='not-for-a-keeper')
        return handler(now, msg)

    def claim(
        self, now: float, msg: messages.AskClaim
    ) -> 'pykka.Future[messages.ClaimReply]':
        """Returns a future reply, completed when the claim is settled.

        It is already complete if the reply is known at once.
        """
        fut: pykka.Future[messages.ClaimReply] = pykka.ThreadingFuture()
        reply = self.claims.ask(now, msg)
        if reply is None:
            self.waiting[msg.request] = fut
        else:
            fut.set(reply)
        return fut

    def settle(self, settled: list[tuple[str, messages.ClaimReply]]) -> None:
        """Completes the futures of claims that the log has settled."""
        for request, reply in settled:
            fut = self.waiting.pop(request, None)
            if fut is not None:
                fut.set(reply)

    def beat(self) -> messages.Beat:
        """Returns the heartbeat that this keeper sends to its peers."""
        return messages.Beat(
            entry_vm=self.me.name,
            incarnation=self.me.incarnation,
            data_centre=self.me.data_centre,
            address=self.me.address,
            offset=self.follower.offset,
            digest=self.follower.digest,
            listing_version=self.members.version,
            entries=tuple(self.entries),
            leaving=self.members.leaving,
            stopping=self.stopping,
        )

    def on_beat(self, now: float, beat: messages.Beat) -> bool:
        """Handles a peer's heartbeat; returns whether to pull its state."""
        self.members.on_beat(now, beat)
        return self.follower.on_peer(now, beat)

    def on_listing(self, now: float, listing: values.Listing | None) -> None:
        """Applies a list of VMs from the platform or a peer."""
        if self.members.on_listing(now, listing):
            self.pools.serve(now)

    def on_config(self, now: float, batch: ports.Batch) -> None:
        """Applies records of the configuration stream."""
        if self.follower.on_batch(now, batch):
            self.pools.serve(now)

    def on_pull(self, now: float, reply: messages.PullReply) -> None:
        """Applies the folded state of a peer that is ahead."""
        if self.follower.on_pull(now, reply):
            self.pools.serve(now)
        self.on_listing(now, reply.listing)

    def tick(self, now: float) -> None:
        """Expires old state and removes silent entries and peers."""
        self.witness.expire(now)
        self.members.forget(now)
        self.claims.on_members(len(self.keepers(now)))
        self.settle(self.claims.expire(now))
        self.pools.expire(now)
        silent = [
            name
            for name, entry in self.entries.items()
            if now - entry.heard_at > self.silence_s
        ]
        for name in silent:
            del self.entries[name]
            self.claims.holder_gone(name)

    def homed(self, now: float) -> tuple[values.BackendServer, ...]:
        """Returns the model workers whose pools this keeper coordinates."""
        names = self._keeper_names(now)
        return tuple(
            server
            for server in self.members.backend_servers()
            if server.role != 'plain'
            and self.homes.home(server.service, names) == self.me.name
        )

    def reaped(self, now: float) -> tuple[values.BackendServer, ...]:
        """Returns the workers whose abandoned requests this keeper cancels.

        It also orders the engine settings of these workers.
        """
        names = self._keeper_names(now)
        return tuple(
            server
            for server in self.members.backend_servers()
            if server.role != 'plain'
            and self.homes.home(server.name, names) == self.me.name
        )

    def targets(self, now: float) -> tuple[str, ...]:
        """Returns the addresses of the keepers for the next heartbeats."""
        del now
        addresses = [vm.keeper for vm in self.members.peers()]
        return self.gossip.targets(addresses or self.seeds)

    def keepers(self, now: float) -> tuple[values.Keeper, ...]:
        """Returns the available keepers, with this one unless it stops."""
        others = tuple(
            values.Keeper(
                name=beat.entry_vm,
                incarnation=beat.incarnation,
                address=beat.address,
                data_centre=beat.data_centre,
            )
            for beat in self.members.keepers(now)
            if not beat.stopping and beat.incarnation not in self.departed
        )
        return others if self.stopping else (self.me, *others)

    def census(self, now: float) -> reaper.Census:
        """Returns which entries are alive and which VMs reported theirs."""
        alive = set(self.entries)
        heard = {self.me.name}
        for beat in self.members.keepers(now):
            heard.add(beat.entry_vm)
            alive.update(beat.entries)
        return reaper.Census(
            alive=frozenset(alive), heard=frozenset(heard), at=now
        )

    def orders_due(self, now: float) -> tuple[values.BackendServer, ...]:
        """Returns the workers whose engine settings are due for a check.

        Returns none while the preset in force may be outdated: an order for it
        would revert the settings of the newer preset.
        """
        if not self.follower.vouched(now):
            return ()
        self._update_orders(now)
        due = frozenset(self.orders.due(now))
        return tuple(s for s in self.reaped(now) if s.name in due)

    def _update_orders(self, now: float) -> None:
        """Sets the wanted engine settings of the workers of this keeper.

        They come from the preset in force.
        """
        in_force = self.follower.in_force
        if in_force is None:
            return
        if in_force.offset != self.ordered_by:
            # A setting that only an earlier preset specifies is no longer
            # ordered.
            self.orders = orders.Orders()
            self.ordered_by = in_force.offset
        assigned = self.reaped(now)
        for name in self.orders.servers() - {
            server.name for server in assigned
        }:
            self.orders.forget(name)
        for server in assigned:
            service = in_force.preset.services.get(server.service)
            if service is None:
                continue
            for kind, value in service.engine_settings.items():
                self.orders.want(server.name, kind, value, in_force.offset)

    def dump(self, now: float) -> bytes:
        """Returns the state as JSON."""
        state: dict[str, object] = {
            'role': 'keeper',
            'me': self.me,
            'stopping': self.stopping,
            'listing_version': self.members.version,
            'keepers': self.keepers(now),
            'leaving': self.members.leaving,
            'entries': sorted(self.entries),
            'pools': self.pools.dump(),
            'claims': self.claims.dump(),
            'witness': self.witness.dump(),
            'orders': self.orders.status(),
        } | self.follower.dump(now)
        return msgspec.json.encode(state, order='sorted')

    def _keeper_names(self, now: float) -> tuple[str, ...]:
        return tuple(keeper.name for keeper in self.keepers(now))

    def _handle_hello(self, now: float, msg: messages.Hello) -> messages.Any:
        self.entries[msg.incarnation] = EntryState(msg, now)
        self.follower.on_revision(msg.revision)
        leaving_changes = [self.members.on_leaving(key) for key in msg.leaving]
        if any(leaving_changes):
            self.pools.serve(now)
        vouched = self.follower.vouched(now)
        return messages.HelloReply(
            keeper=self.me.incarnation,
            in_force=self.follower.in_force if vouched else None,
            listing=self.members.merged(),
            keepers=self.keepers(now),
            key_prefix=self.claims.key_prefix() or '',
        )

    def _handle_heartbeat(self, now: float, msg: messages.Beat) -> messages.Any:
        if self.on_beat(now, msg):
            # A VM that was started during an outage has no VM list and thus
            # sends no heartbeats; it learns only from its peers' heartbeats.
            self.ahead[msg.address] = None
        return self.beat()

    def take_ahead(self) -> tuple[str, ...]:
        """Returns and clears the addresses of peers that are ahead."""
        ahead = tuple(self.ahead)
        self.ahead.clear()
        return ahead

    def _handle_bye(self, _now: float, msg: messages.Bye) -> messages.Any:
        self.entries.pop(msg.incarnation, None)
        self.departed[msg.incarnation] = None
        while len(self.departed) > _MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]
        return messages.Pong()

    def _handle_pull(self, _now: float, _msg: messages.Pull) -> messages.Any:
        return msgspec.structs.replace(
            self.follower.pull_reply(), listing=self.members.listing
        )

    def _handle_end_claim(
        self, now: float, msg: messages.EndClaim
    ) -> messages.Any:
        self.claims.end(now, msg)
        if msg.answer:
            self.answers.put(msg.service, msg.key, msg.answer)
        return messages.Pong()

    def _handle_ask_outcome(
        self, _now: float, msg: messages.AskOutcome
    ) -> messages.Any:
        outcome_or_code = self.claims.outcome(msg)
        if isinstance(outcome_or_code, values.Outcome):
            answer = self.answers.get(msg.service, msg.key)
            return messages.RunReply(outcome=outcome_or_code, answer=answer)
        return messages.Fail(code=outcome_or_code.name)
