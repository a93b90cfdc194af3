"""Decisions of a keeper, behind one actor.

A keeper follows the platform's log, speaks with the other keepers, tells the
entries of its VM which preset is in force, witnesses tickets, settles claims,
and is the home of some services' pools. `Keeper` holds that state and answers
messages; it does no I/O, so a test drives it under a paused clock. The
process keeps it behind an `actors.Owner`, which gives each message its turn.
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

# Longest wait of an entry for its claim to be read back, seconds.
CLAIM_WAIT_S: Final = 5.0
# Incarnations that are remembered as ended.
_DEPARTED: Final = 256


class EntryState:
    """An entry of this VM."""

    __slots__ = ('address', 'heard_at', 'incarnation', 'revision')

    incarnation: str
    address: str
    # Revision it says it works by.
    revision: int
    heard_at: float

    def __init__(self, msg: messages.Hello, now: float) -> None:
        self.incarnation = msg.incarnation
        self.address = msg.address
        self.revision = msg.revision
        self.heard_at = now


class Keeper:
    """State of a keeper and its answers."""

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
    # What the log and the peers say of presets.
    follower: spread.Follower
    # What the VM list and the peers say of VMs.
    members: members.Members
    claims: claims.Claims
    # Whole answers of claims, for callers that lost theirs.
    answers: kept.Answers
    witness: witness.Witness
    pools: pools.Pools
    # Entries of this VM, by incarnation.
    entries: dict[str, EntryState]
    # Claims not settled yet, by request.
    waiting: dict[str, pykka.Future[messages.ClaimReply]]
    orders: orders.Orders
    # Offset of the switch whose settings are ordered now; -1 before one.
    ordered_by: int
    gossip: gossip.Gossip
    homes: homes.Homes
    # Incarnations that ended by plan, oldest first; their last beats may
    # still be on the way.
    departed: dict[str, None]
    # Addresses of peers that beat to this keeper and are ahead of it.
    ahead: dict[str, None]
    # Keepers to beat to while no list is known.
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
        """Answers a message from another process."""
        # Each handler takes its own kind of message, which no type of a
        # table can say.
        handlers: dict[type, Callable[[float, Any], messages.Any]] = {
            messages.Hello: self._hello,
            messages.Beat: self._beat,
            messages.Bye: self._bye,
            messages.Pull: self._pull,
            messages.AskSlot: self.pools.ask,
            messages.EndSlot: self.pools.end,
            messages.KeepSlots: self.pools.keep,
            messages.EndClaim: self._end_claim,
            messages.AskOutcome: self._ask_outcome,
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
        """Answers a claim, now or when the log has settled it."""
        fut: pykka.Future[messages.ClaimReply] = pykka.ThreadingFuture()
        reply = self.claims.ask(now, msg)
        if reply is None:
            self.waiting[msg.request] = fut
        else:
            fut.set(reply)
        return fut

    def settle(self, settled: list[tuple[str, messages.ClaimReply]]) -> None:
        """Hands out the claims that the log has settled."""
        for request, reply in settled:
            fut = self.waiting.pop(request, None)
            if fut is not None:
                fut.set(reply)

    def beat(self) -> messages.Beat:
        """Returns what this keeper tells its peers."""
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
        """Takes a peer's beat; returns whether to pull its state."""
        self.members.on_beat(now, beat)
        return self.follower.on_peer(now, beat)

    def on_listing(self, now: float, listing: values.Listing | None) -> None:
        """Takes the platform's or a peer's list of VMs."""
        if self.members.on_listing(now, listing):
            self.pools.serve(now)

    def on_config(self, now: float, batch: ports.Batch) -> None:
        """Takes records of the configuration stream."""
        if self.follower.on_batch(now, batch):
            self.pools.serve(now)

    def on_pull(self, now: float, reply: messages.PullReply) -> None:
        """Takes the folded state of a peer that is ahead."""
        if self.follower.on_pull(now, reply):
            self.pools.serve(now)
        self.on_listing(now, reply.listing)

    def tick(self, now: float) -> None:
        """Lets what is old lapse."""
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
        """Returns the model workers of the pools that are at home here."""
        names = self._keeper_names(now)
        return tuple(
            server
            for server in self.members.backend_servers()
            if server.role != 'plain'
            and self.homes.home(server.service, names) == self.me.name
        )

    def reaped(self, now: float) -> tuple[values.BackendServer, ...]:
        """Returns the workers whose abandoned work this keeper cancels."""
        names = self._keeper_names(now)
        return tuple(
            server
            for server in self.members.backend_servers()
            if server.role != 'plain'
            and self.homes.home(server.name, names) == self.me.name
        )

    def targets(self, now: float) -> tuple[str, ...]:
        """Returns the addresses of the keepers to beat to."""
        del now
        addresses = [vm.keeper for vm in self.members.peers()]
        return self.gossip.targets(addresses or self.seeds)

    def keepers(self, now: float) -> tuple[values.Keeper, ...]:
        """Returns the keepers that are there, this one among them."""
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
        """Returns which entries are known to be alive."""
        alive = set(self.entries)
        heard = {self.me.name}
        for beat in self.members.keepers(now):
            heard.add(beat.entry_vm)
            alive.update(beat.entries)
        return reaper.Census(
            alive=frozenset(alive), heard=frozenset(heard), at=now
        )

    def orders_due(self, now: float) -> tuple[values.BackendServer, ...]:
        """Returns the workers to look at for their settings now.

        None while the preset in force may be an old one: an order by it would
        undo the newer one's.
        """
        if not self.follower.vouched(now):
            return ()
        self._want(now)
        due = frozenset(self.orders.due(now))
        return tuple(s for s in self.reaped(now) if s.name in due)

    def _want(self, now: float) -> None:
        """Wants what the preset in force says of the workers at home here."""
        in_force = self.follower.in_force
        if in_force is None:
            return
        if in_force.offset != self.ordered_by:
            # What an earlier preset wanted and this one does not mention is
            # wanted no more.
            self.orders = orders.Orders()
            self.ordered_by = in_force.offset
        mine = self.reaped(now)
        for name in self.orders.servers() - {server.name for server in mine}:
            self.orders.forget(name)
        for server in mine:
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

    def _hello(self, now: float, msg: messages.Hello) -> messages.Any:
        self.entries[msg.incarnation] = EntryState(msg, now)
        self.follower.on_revision(msg.revision)
        news = [self.members.on_leaving(key) for key in msg.leaving]
        if any(news):
            self.pools.serve(now)
        vouched = self.follower.vouched(now)
        return messages.HelloReply(
            keeper=self.me.incarnation,
            in_force=self.follower.in_force if vouched else None,
            listing=self.members.merged(),
            keepers=self.keepers(now),
            key_prefix=self.claims.key_prefix() or '',
        )

    def _beat(self, now: float, msg: messages.Beat) -> messages.Any:
        if self.on_beat(now, msg):
            # A VM that was started in an outage has no list and so beats to
            # nobody; its peers' beats are all that it hears.
            self.ahead[msg.address] = None
        return self.beat()

    def take_ahead(self) -> tuple[str, ...]:
        """Returns the peers to pull from that beat to this keeper, once."""
        ahead = tuple(self.ahead)
        self.ahead.clear()
        return ahead

    def _bye(self, _now: float, msg: messages.Bye) -> messages.Any:
        self.entries.pop(msg.incarnation, None)
        self.departed[msg.incarnation] = None
        while len(self.departed) > _DEPARTED:
            del self.departed[next(iter(self.departed))]
        return messages.Pong()

    def _pull(self, _now: float, _msg: messages.Pull) -> messages.Any:
        return msgspec.structs.replace(
            self.follower.pull_reply(), listing=self.members.listing
        )

    def _end_claim(self, now: float, msg: messages.EndClaim) -> messages.Any:
        self.claims.end(now, msg)
        if msg.answer:
            self.answers.put(msg.service, msg.key, msg.answer)
        return messages.Pong()

    def _ask_outcome(
        self, _now: float, msg: messages.AskOutcome
    ) -> messages.Any:
        found = self.claims.outcome(msg)
        if isinstance(found, values.Outcome):
            answer = self.answers.get(msg.service, msg.key)
            return messages.RunReply(outcome=found, answer=answer)
        return messages.Fail(code=found.name)
