"""The state of an entry: preset, VM list and keepers, reported by its keeper.

The view is one immutable snapshot that is replaced about once a second. The
thread of a caller reads the snapshot once and uses it until the request ends,
so a preset switch during a request can't mix two presets.
"""

import threading

import msgspec

from foxtaildale import accounts
from foxtaildale import coordinator_choice
from foxtaildale import errors
from foxtaildale import members
from foxtaildale import messages
from foxtaildale import options
from foxtaildale import ports
from foxtaildale import values


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Immutable state of an entry at one time."""

    # None while no keeper vouches for a preset.
    in_force: values.InForce | None = None
    listing: values.Listing = values.Listing(0, (), ())
    keepers: tuple[values.Keeper, ...] = ()
    # Prefix of new idempotency keys; empty while it is not known.
    key_prefix: str = ''
    # Client accounts of the preset in force, by key.
    holders: accounts.Accounts = accounts.Accounts(())

    def service(self, name: str) -> values.Service | None:
        """Returns a service of the preset in force; None if it has none."""
        if self.in_force is None:
            return None
        return self.in_force.preset.services.get(name)

    @property
    def revision(self) -> int:
        """Revision of the preset in force; 0 if none is known."""
        return self.in_force.revision if self.in_force else 0

    def coordinator_address(self, service: str) -> str | None:
        """Returns the address of the keeper that coordinates a service."""
        if not self.keepers:
            return None
        names = tuple(keeper.name for keeper in self.keepers)
        name = coordinator_choice.choose_coordinator(service, names)
        return next(k.address for k in self.keepers if k.name == name)

    def live_servers(
        self, service: str, role: values.Role
    ) -> tuple[values.BackendServer, ...]:
        """Returns the backend servers that may receive new requests."""
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

    def choose_witness(self, me: options.Options) -> values.Keeper | None:
        """Returns a keeper that can witness tickets; None if there is none.

        The keeper is on another VM, since the failure of a VM stops all its
        processes, and in another data centre if a keeper exists there.
        """
        others = [k for k in self.keepers if k.name != me.entry_vm]
        elsewhere = [k for k in others if k.data_centre != me.data_centre]
        for group in (elsewhere, others):
            if group:
                names = tuple(keeper.name for keeper in group)
                name = coordinator_choice.choose_coordinator(me.entry_vm, names)
                return next(k for k in group if k.name == name)
        return None


class View:
    """Updates the snapshot; a loop of the entry calls its `refresh`."""

    __slots__ = (
        '_address',
        '_cfg',
        '_clock',
        '_confirmed_at',
        '_incarnation',
        '_leaving',
        '_lock',
        '_max_revision',
        '_peers',
        '_snapshot',
    )

    _cfg: options.Options
    _incarnation: str
    _address: str
    _peers: ports.Peers
    _clock: ports.Clock
    _snapshot: Snapshot
    # When the last request that the keeper replied to was sent; None before
    # the first reply.
    _confirmed_at: float | None
    _lock: threading.Lock
    # Backend servers that refused requests because they are leaving; the keys
    # are those of `members.server_key`.
    _leaving: dict[str, None]
    # Highest revision that this entry has used. It is retained while the keeper
    # vouches for no preset, so that its next reply can't revert this entry to
    # a lower revision.
    _max_revision: int

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
        self._confirmed_at = None
        self._lock = threading.Lock()
        self._leaving = {}
        self._max_revision = 0

    @property
    def snapshot(self) -> Snapshot:
        """The current snapshot.

        If the keeper has not replied for longer than the freshness bound, a
        preset switch may have been missed. Further use of the old preset would
        put two presets in force at once, so the snapshot then contains no
        preset.
        """
        with self._lock:
            snapshot, confirmed_at = self._snapshot, self._confirmed_at
        if confirmed_at is None:
            return snapshot
        if self._clock() - confirmed_at <= self._cfg.freshness_s:
            return snapshot
        return msgspec.structs.replace(snapshot, in_force=None)

    def refresh(self) -> None:
        """Requests the state from the keeper once and applies the reply."""
        msg = messages.EntryHeartbeat(
            incarnation=self._incarnation,
            address=self._address,
            revision=self._max_revision,
            leaving=tuple(self._leaving),
        )
        requested_at = self._clock()
        try:
            reply = self._peers.request(
                self._cfg.keeper, msg, self._cfg.silence_s
            )
        except errors.PortError:
            return
        if isinstance(reply, messages.EntryHeartbeatReply):
            self._apply(reply, requested_at)

    def report_leaving(self, server: values.BackendServer) -> None:
        """Records that a backend server refused a request as it is leaving."""
        key = members.server_key(server)
        with self._lock:
            self._leaving[key] = None
            previous = self._snapshot
            self._snapshot = msgspec.structs.replace(
                previous, listing=_mark_leaving(previous.listing, self._leaving)
            )

    def report_stop(self) -> None:
        """Notifies the keeper that this entry stops as planned."""
        try:
            self._peers.request(
                self._cfg.keeper,
                messages.StopNotice(incarnation=self._incarnation),
                self._cfg.silence_s,
            )
        except errors.PortError:
            return

    def _apply(
        self, reply: messages.EntryHeartbeatReply, requested_at: float
    ) -> None:
        with self._lock:
            previous = self._snapshot
            in_force = reply.in_force
            # A keeper that was just restarted may have an older state than this
            # entry. A lower revision would revert an accepted preset.
            if in_force and in_force.revision < self._max_revision:
                return
            self._max_revision = max(self._max_revision, _revision_of(in_force))
            listing = reply.listing or previous.listing
            if listing.version < previous.listing.version:
                listing = previous.listing
            listed = {members.server_key(s) for s in listing.backend_servers}
            self._leaving = {k: None for k in self._leaving if k in listed}
            self._snapshot = Snapshot(
                in_force=in_force,
                listing=_mark_leaving(listing, self._leaving),
                keepers=reply.keepers,
                key_prefix=reply.key_prefix,
                holders=_client_accounts(previous, in_force),
            )
            self._confirmed_at = requested_at


def _client_accounts(
    previous: Snapshot, in_force: values.InForce | None
) -> accounts.Accounts:
    """Returns the client accounts of a preset; computed once per preset."""
    if in_force is None:
        return accounts.Accounts(())
    if (
        previous.in_force is not None
        and previous.in_force.digest == in_force.digest
    ):
        return previous.holders
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


def _revision_of(in_force: values.InForce | None) -> int:
    return in_force.revision if in_force else 0


def _mark_leaving(
    listing: values.Listing, leaving: dict[str, None]
) -> values.Listing:
    """Returns the list with the given backend servers marked as leaving."""
    return msgspec.structs.replace(
        listing,
        backend_servers=tuple(
            msgspec.structs.replace(server, state='leaving')
            if members.server_key(server) in leaving
            else server
            for server in listing.backend_servers
        ),
    )
