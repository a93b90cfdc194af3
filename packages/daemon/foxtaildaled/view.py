"""What an entry knows: preset, VM list and keepers, as its keeper tells them.

The view is one immutable snapshot, replaced about once a second; a caller's
thread reads it once and works by it to the end of its request, so a switch in
the middle of a request can't mix two presets.
"""

import threading

import msgspec

from foxtaildale import accounts
from foxtaildale import errors
from foxtaildale import homes
from foxtaildale import members
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import values


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """What was known at one moment."""

    # None while no keeper vouches for a preset.
    in_force: values.InForce | None = None
    listing: values.Listing = values.Listing(0, (), ())
    keepers: tuple[values.Keeper, ...] = ()
    # Beginning of new idempotency keys; empty while it is not known.
    key_prefix: str = ''
    # Client accounts of the preset in force, by key.
    holders: accounts.Accounts = accounts.Accounts(())

    def service(self, name: str) -> values.Service | None:
        """Returns what the preset in force says of a service."""
        if self.in_force is None:
            return None
        return self.in_force.preset.services.get(name)

    @property
    def revision(self) -> int:
        """Revision of the preset in force; 0 if none is known."""
        return self.in_force.revision if self.in_force else 0

    def home(self, service: str) -> str | None:
        """Returns the address of the keeper that is home of a service."""
        if not self.keepers:
            return None
        names = tuple(keeper.name for keeper in self.keepers)
        name = homes.home(service, names)
        return next(k.address for k in self.keepers if k.name == name)

    def live(
        self, service: str, role: values.Role
    ) -> tuple[values.BackendServer, ...]:
        """Returns the backend servers that may get new work."""
        return tuple(
            server
            for server in self.listing.backend_servers
            if server.service == service
            and server.role == role
            and server.state == 'live'
        )

    def server(self, name: str) -> values.BackendServer | None:
        """Returns a backend server by its name."""
        return next(
            (s for s in self.listing.backend_servers if s.name == name), None
        )

    def witness(self, me: options.Options) -> values.Keeper | None:
        """Returns a keeper to witness tickets.

        It is on another VM, since a VM dies with all its processes, and in
        another data centre where there is one.
        """
        others = [k for k in self.keepers if k.name != me.entry_vm]
        far = [k for k in others if k.data_centre != me.data_centre]
        for group in (far, others):
            if group:
                names = tuple(keeper.name for keeper in group)
                name = homes.home(me.entry_vm, names)
                return next(k for k in group if k.name == name)
        return None


class View:
    """Keeps the snapshot fresh; its step is a loop of the entry."""

    __slots__ = (
        '_address',
        '_cfg',
        '_clock',
        '_heard_at',
        '_highest',
        '_incarnation',
        '_leaving',
        '_lock',
        '_peers',
        '_snapshot',
    )

    _cfg: options.Options
    _incarnation: str
    _address: str
    _peers: ports.Peers
    _clock: ports.Clock
    _snapshot: Snapshot
    # When the keeper was last heard; None before the first time.
    _heard_at: float | None
    _lock: threading.Lock
    # Backend servers that refused as leaving, as `members.key_of` names them.
    _leaving: dict[str, None]
    # Highest revision that was ever worked by; kept also while the keeper
    # vouches for none, so that its next word can't take this entry back.
    _highest: int

    def __init__(
        self,
        cfg: options.Options,
        incarnation: str,
        address: str,
        peers: ports.Peers,
        clock: ports.Clock,
    ) -> None:
        self._cfg = cfg
        self._incarnation = incarnation
        self._address = address
        self._peers = peers
        self._clock = clock
        self._snapshot = Snapshot()
        self._heard_at = None
        self._lock = threading.Lock()
        self._leaving = {}
        self._highest = 0

    @property
    def now(self) -> Snapshot:
        """The snapshot to work by.

        A keeper that has been silent for longer than the freshness bound may
        have missed a switch; working on by the old preset would put two
        presets in force at once, so the snapshot then names none.
        """
        with self._lock:
            snapshot, heard_at = self._snapshot, self._heard_at
        if heard_at is None:
            return snapshot
        if self._clock() - heard_at <= self._cfg.freshness_s:
            return snapshot
        return msgspec.structs.replace(snapshot, in_force=None)

    def step(self) -> None:
        """Asks the keeper once."""
        msg = messages.Hello(
            incarnation=self._incarnation,
            address=self._address,
            revision=self._highest,
            leaving=tuple(self._leaving),
        )
        asked_at = self._clock()
        try:
            reply = self._peers.ask(self._cfg.keeper, msg, self._cfg.silence_s)
        except errors.PortError:
            return
        if isinstance(reply, messages.HelloReply):
            self._take(reply, asked_at)

    def report_leaving(self, server: values.BackendServer) -> None:
        """Notes that a backend server refused work because it is leaving."""
        key = members.key_of(server)
        with self._lock:
            self._leaving[key] = None
            old = self._snapshot
            self._snapshot = msgspec.structs.replace(
                old, listing=_without(old.listing, self._leaving)
            )

    def goodbye(self) -> None:
        """Tells the keeper that this entry ends by plan."""
        try:
            self._peers.ask(
                self._cfg.keeper,
                messages.Bye(incarnation=self._incarnation),
                self._cfg.silence_s,
            )
        except errors.PortError:
            return

    def _take(self, reply: messages.HelloReply, asked_at: float) -> None:
        with self._lock:
            old = self._snapshot
            in_force = reply.in_force
            # A keeper that was just restarted may know less than this entry:
            # going back to a lower revision would revert an accepted preset.
            if in_force and in_force.revision < self._highest:
                return
            self._highest = max(self._highest, _revision(in_force))
            listing = reply.listing or old.listing
            if listing.version < old.listing.version:
                listing = old.listing
            named = {members.key_of(s) for s in listing.backend_servers}
            self._leaving = {k: None for k in self._leaving if k in named}
            self._snapshot = Snapshot(
                in_force=in_force,
                listing=_without(listing, self._leaving),
                keepers=reply.keepers,
                key_prefix=reply.key_prefix,
                holders=_holders(old, in_force),
            )
            self._heard_at = asked_at


def _holders(
    old: Snapshot, in_force: values.InForce | None
) -> accounts.Accounts:
    """Returns the accounts of a preset; worked out once for each."""
    if in_force is None:
        return accounts.Accounts(())
    if old.in_force is not None and old.in_force.digest == in_force.digest:
        return old.holders
    return accounts.Accounts(
        tuple(
            accounts.Account(
                name=name,
                keys=frozenset(bytes.fromhex(key) for key in account.keys),
                limit=accounts.Limit(
                    rate=account.requests_per_s, burst=account.burst
                ),
            )
            for name, account in in_force.preset.accounts.items()
        )
    )


def _revision(in_force: values.InForce | None) -> int:
    return in_force.revision if in_force else 0


def _without(
    listing: values.Listing, leaving: dict[str, None]
) -> values.Listing:
    """Returns the list with more backend servers called leaving."""
    return msgspec.structs.replace(
        listing,
        backend_servers=tuple(
            msgspec.structs.replace(server, state='leaving')
            if members.key_of(server) in leaving
            else server
            for server in listing.backend_servers
        ),
    )
