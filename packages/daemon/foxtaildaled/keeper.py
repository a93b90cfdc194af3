"""Decisions of a keeper; one actor owns its state.

A keeper follows the platform's log, exchanges heartbeats with the other
keepers, reports the preset in force to the entries of its VM, witnesses
tickets, settles claims, and coordinates the pools of some services. `Keeper`
holds that state and replies to messages. It does no I/O and receives the time
as an argument, so its decisions don't depend on a real clock. The process
accesses it through an `actors.StateOwner`, which handles one message at a time.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

import msgspec
import pykka

from foxtaildale import abandoned_holdings
from foxtaildale import claims
from foxtaildale import config_follower
from foxtaildale import coordinator_choice
from foxtaildale import gossip
from foxtaildale import members
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import orders
from foxtaildale import ports
from foxtaildale import stored_responses
from foxtaildale import values
from foxtaildale import witness
from foxtaildaled import pools

# Maximum time that an entry waits until its claim has been read back from the
# log, seconds.
CLAIM_TIMEOUT_S: Final = 5.0
# Maximum number of stopped incarnations that are stored.
_MAX_DEPARTED: Final = 256


class EntryState:
    """An entry of this VM."""

    __slots__ = ('address', 'incarnation', 'last_hello_at', 'revision')

    incarnation: str
    address: str
    # Highest preset revision that the entry has used, as it reported.
    revision: int
    # Time of its last `EntryHeartbeat`.
    last_hello_at: float

    def __init__(self, msg: messages.EntryHeartbeat, now: float) -> None:
        self.incarnation = msg.incarnation
        self.address = msg.address
        self.revision = msg.revision
        self.last_hello_at = now


class Keeper:
    """State of a keeper and its replies to messages."""

    __slots__ = (
        'claims',
        'coordinators',
        'departed_incarnations',
        'entries',
        'follower',
        'me',
        'members',
        'ordered_offset',
        'orders',
        'peer_selector',
        'peers_ahead',
        'pending_claims',
        'pools',
        'responses',
        'seeds',
        'silence_s',
        'stopping',
        'witness',
    )

    me: values.Keeper
    silence_s: float
    # Presets, as read from the log and reported by peers.
    follower: config_follower.Follower
    # VMs, as reported by the VM list and the peers.
    members: members.Members
    claims: claims.Claims
    # Complete responses of claims, for callers that did not receive theirs.
    responses: stored_responses.StoredResponses
    witness: witness.Witness
    pools: pools.Pools
    # Entries of this VM, by incarnation.
    entries: dict[str, EntryState]
    # Claims that are not settled yet, by request.
    pending_claims: dict[str, pykka.Future[messages.ClaimReply]]
    orders: orders.Orders
    # Offset of the preset switch whose engine settings are ordered; -1 before
    # the first one.
    ordered_offset: int
    peer_selector: gossip.PeerSelector
    coordinators: coordinator_choice.CoordinatorCache
    # Incarnations that stopped as planned, oldest first; their last heartbeats
    # may still be in transit.
    departed_incarnations: dict[str, None]
    # Addresses of peers that sent a heartbeat to this keeper and are ahead of
    # it.
    peers_ahead: dict[str, None]
    # Addresses of keepers that receive heartbeats while no VM list is known.
    seeds: tuple[str, ...]
    # Whether this process is being stopped.
    stopping: bool

    def __init__(self, me: values.Keeper, cfg: options.Options) -> None:
        self.me = me
        self.silence_s = cfg.silence_s
        self.follower = config_follower.Follower(
            me.name, freshness_s=cfg.freshness_s
        )
        self.members = members.Members(me.name, cfg.silence_s, cfg.heartbeat_s)
        self.peer_selector = gossip.PeerSelector(me.name)
        self.orders = orders.Orders()
        self.ordered_offset = -1
        self.coordinators = coordinator_choice.CoordinatorCache()
        self.claims = claims.Claims(me.incarnation, me.address)
        self.responses = stored_responses.StoredResponses()
        self.witness = witness.Witness(
            me.incarnation, remember_s=2 * cfg.ticket_life_s
        )
        self.pools = pools.Pools(self.follower, self.members)
        self.entries = {}
        self.pending_claims = {}
        self.departed_incarnations = {}
        self.peers_ahead = {}
        self.seeds = cfg.seeds
        self.stopping = False

    def handle(self, now: float, msg: messages.Message) -> messages.Message:
        """Returns the reply to a message from another process."""
        # Each handler accepts its own message type; the type of a dictionary
        # can't express that.
        handlers: dict[type, Callable[[float, Any], messages.Message]] = {
            messages.EntryHeartbeat: self._handle_hello,
            messages.KeeperHeartbeat: self._handle_heartbeat,
            messages.StopNotice: self._handle_bye,
            messages.StateRequest: self._handle_pull,
            messages.SlotRequest: self.pools.request_slot,
            messages.SlotRelease: self.pools.release,
            messages.SlotRenewal: self.pools.renew,
            messages.ClaimReport: self._handle_end_claim,
            messages.OutcomeRequest: self._handle_ask_outcome,
            messages.ClockRequest: self.witness.read_clock,
            messages.StartRequest: self.witness.record_start,
            messages.VoidRequest: self.witness.void,
            messages.OutcomeReport: self.witness.record_outcome,
        }
        handler = handlers.get(type(msg))
        if handler is None:
            return messages.ErrorReply(code='not-for-a-keeper')
        return handler(now, msg)

    def handle_claim(
        self, now: float, msg: messages.ClaimRequest
    ) -> 'pykka.Future[messages.ClaimReply]':
        """Returns a future reply, completed when the claim is settled.

        It is already complete if the reply is known at once.
        """
        fut: pykka.Future[messages.ClaimReply] = pykka.ThreadingFuture()
        reply = self.claims.request_claim(now, msg)
        if reply is None:
            self.pending_claims[msg.request] = fut
        else:
            fut.set(reply)
        return fut

    def complete_claims(
        self, settled: list[tuple[str, messages.ClaimReply]]
    ) -> None:
        """Completes the futures of claims that the log has settled."""
        for request, reply in settled:
            fut = self.pending_claims.pop(request, None)
            if fut is not None:
                fut.set(reply)

    def make_heartbeat(self) -> messages.KeeperHeartbeat:
        """Returns the heartbeat that this keeper sends to its peers."""
        return messages.KeeperHeartbeat(
            entry_vm=self.me.name,
            incarnation=self.me.incarnation,
            data_centre=self.me.data_centre,
            address=self.me.address,
            offset=self.follower.offset,
            digest=self.follower.digest,
            listing_version=self.members.version,
            entries=tuple(self.entries),
            leaving=self.members.reported_leaving,
            stopping=self.stopping,
        )

    def on_heartbeat(
        self, now: float, heartbeat: messages.KeeperHeartbeat
    ) -> bool:
        """Handles a peer's heartbeat; returns whether to pull its state."""
        self.members.on_heartbeat(now, heartbeat)
        return self.follower.on_heartbeat(now, heartbeat)

    def on_listing(self, now: float, listing: values.Listing | None) -> None:
        """Applies a list of VMs from the platform or a peer."""
        if self.members.on_listing(now, listing):
            self.pools.update(now)

    def on_config(self, now: float, batch: ports.Batch) -> None:
        """Applies records of the configuration stream."""
        if self.follower.on_batch(now, batch):
            self.pools.update(now)

    def on_pull_reply(self, now: float, reply: messages.StateReply) -> None:
        """Applies the folded state of a peer that is ahead."""
        if self.follower.on_pull_reply(now, reply):
            self.pools.update(now)
        self.on_listing(now, reply.listing)

    def expire(self, now: float) -> None:
        """Expires old state and removes silent entries and peers."""
        self.witness.expire(now)
        self.members.remove_silent_peers(now)
        self.claims.set_keeper_count(len(self.available_keepers(now)))
        self.complete_claims(self.claims.expire(now))
        self.pools.expire(now)
        silent = [
            name
            for name, entry in self.entries.items()
            if now - entry.last_hello_at > self.silence_s
        ]
        for name in silent:
            del self.entries[name]
            self.claims.remove_holder(name)

    def coordinated_workers(
        self, now: float
    ) -> tuple[values.BackendServer, ...]:
        """Returns the model workers whose pools this keeper coordinates."""
        names = self._keeper_names(now)
        return tuple(
            server
            for server in self.members.backend_servers()
            if server.role != 'plain'
            and self.coordinators.coordinator_of(server.service, names)
            == self.me.name
        )

    def assigned_workers(self, now: float) -> tuple[values.BackendServer, ...]:
        """Returns the workers whose abandoned requests this keeper cancels.

        It also orders the engine settings of these workers.
        """
        names = self._keeper_names(now)
        return tuple(
            server
            for server in self.members.backend_servers()
            if server.role != 'plain'
            and self.coordinators.coordinator_of(server.name, names)
            == self.me.name
        )

    def heartbeat_targets(self, now: float) -> tuple[str, ...]:
        """Returns the addresses of the keepers for the next heartbeats."""
        del now
        addresses = [vm.keeper for vm in self.members.peers()]
        return self.peer_selector.next_targets(addresses or self.seeds)

    def available_keepers(self, now: float) -> tuple[values.Keeper, ...]:
        """Returns the available keepers, with this one unless it stops."""
        others = tuple(
            values.Keeper(
                name=heartbeat.entry_vm,
                incarnation=heartbeat.incarnation,
                address=heartbeat.address,
                data_centre=heartbeat.data_centre,
            )
            for heartbeat in self.members.keeper_heartbeats(now)
            if not heartbeat.stopping
            and heartbeat.incarnation not in self.departed_incarnations
        )
        return others if self.stopping else (self.me, *others)

    def liveness_snapshot(
        self, now: float
    ) -> abandoned_holdings.LivenessSnapshot:
        """Returns which entries are alive and which VMs reported theirs."""
        alive = set(self.entries)
        heard = {self.me.name}
        for heartbeat in self.members.keeper_heartbeats(now):
            heard.add(heartbeat.entry_vm)
            alive.update(heartbeat.entries)
        return abandoned_holdings.LivenessSnapshot(
            alive=frozenset(alive), heard=frozenset(heard), at=now
        )

    def due_workers(self, now: float) -> tuple[values.BackendServer, ...]:
        """Returns the workers whose engine settings are due for a check.

        Returns none while the preset in force may be outdated: an order for it
        would revert the settings of the newer preset.
        """
        if not self.follower.vouched(now):
            return ()
        self._update_orders(now)
        due = frozenset(self.orders.due_servers(now))
        return tuple(s for s in self.assigned_workers(now) if s.name in due)

    def _update_orders(self, now: float) -> None:
        """Sets the wanted engine settings of the workers of this keeper.

        They come from the preset in force.
        """
        in_force = self.follower.in_force
        if in_force is None:
            return
        if in_force.offset != self.ordered_offset:
            # A setting that only an earlier preset specifies is no longer
            # ordered.
            self.orders = orders.Orders()
            self.ordered_offset = in_force.offset
        assigned = self.assigned_workers(now)
        for name in self.orders.servers() - {
            server.name for server in assigned
        }:
            self.orders.remove(name)
        for server in assigned:
            service = in_force.preset.services.get(server.service)
            if service is None:
                continue
            for kind, value in service.engine_settings.items():
                self.orders.set_wanted(
                    server.name, kind, value, in_force.offset
                )

    def dump(self, now: float) -> bytes:
        """Returns the state as JSON."""
        state: dict[str, object] = {
            'role': 'keeper',
            'me': self.me,
            'stopping': self.stopping,
            'listing_version': self.members.version,
            'keepers': self.available_keepers(now),
            'leaving': self.members.reported_leaving,
            'entries': sorted(self.entries),
            'pools': self.pools.dump(),
            'claims': self.claims.dump(),
            'witness': self.witness.dump(),
            'orders': self.orders.status(),
        } | self.follower.dump(now)
        return msgspec.json.encode(state, order='sorted')

    def _keeper_names(self, now: float) -> tuple[str, ...]:
        return tuple(keeper.name for keeper in self.available_keepers(now))

    def _handle_hello(
        self, now: float, msg: messages.EntryHeartbeat
    ) -> messages.Message:
        self.entries[msg.incarnation] = EntryState(msg, now)
        self.follower.on_entry_revision(msg.revision)
        leaving_changes = [self.members.on_leaving(key) for key in msg.leaving]
        if any(leaving_changes):
            self.pools.update(now)
        vouched = self.follower.vouched(now)
        return messages.EntryHeartbeatReply(
            keeper=self.me.incarnation,
            in_force=self.follower.in_force if vouched else None,
            listing=self.members.merged_listing(),
            keepers=self.available_keepers(now),
            key_prefix=self.claims.key_prefix() or '',
        )

    def _handle_heartbeat(
        self, now: float, msg: messages.KeeperHeartbeat
    ) -> messages.Message:
        if self.on_heartbeat(now, msg):
            # A VM that was started during an outage has no VM list and thus
            # sends no heartbeats; it learns only from its peers' heartbeats.
            self.peers_ahead[msg.address] = None
        return self.make_heartbeat()

    def drain_peers_ahead(self) -> tuple[str, ...]:
        """Returns and clears the addresses of peers that are ahead."""
        ahead = tuple(self.peers_ahead)
        self.peers_ahead.clear()
        return ahead

    def _handle_bye(
        self, _now: float, msg: messages.StopNotice
    ) -> messages.Message:
        self.entries.pop(msg.incarnation, None)
        self.departed_incarnations[msg.incarnation] = None
        while len(self.departed_incarnations) > _MAX_DEPARTED:
            del self.departed_incarnations[
                next(iter(self.departed_incarnations))
            ]
        return messages.Pong()

    def _handle_pull(
        self, _now: float, _msg: messages.StateRequest
    ) -> messages.Message:
        return msgspec.structs.replace(
            self.follower.pull_reply(), listing=self.members.listing
        )

    def _handle_end_claim(
        self, now: float, msg: messages.ClaimReport
    ) -> messages.Message:
        self.claims.record_outcome(now, msg)
        if msg.response:
            self.responses.put(msg.service, msg.key, msg.response)
        return messages.Pong()

    def _handle_ask_outcome(
        self, _now: float, msg: messages.OutcomeRequest
    ) -> messages.Message:
        outcome_or_code = self.claims.outcome(msg)
        if isinstance(outcome_or_code, values.Outcome):
            answer = self.responses.get(msg.service, msg.key)
            return messages.RunReply(outcome=outcome_or_code, response=answer)
        return messages.ErrorReply(code=outcome_or_code.name)
