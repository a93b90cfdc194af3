"""Tracks the members of the system: entry VMs and backend servers.

A keeper merges several sources, since each may be outdated: the platform's
list lags, engines refuse requests as leaving while the list still shows them
as live, and peers may have an older list. The rules are:

- A list never replaces a newer one.
- A member that any source reported as leaving counts as leaving as long as the
  list names it at that address.
- A keeper counts as present while its heartbeats arrive.
"""

from typing import Final

import msgspec

from foxtaildale import gossip
from foxtaildale import messages
from foxtaildale import values

# Maximum number of replaced incarnations remembered for each peer.
_MAX_REPLACED: Final = 8
# Maximum number of reports of leaving members; limits the memory that peers
# can fill.
_MAX_REPORTS: Final = 1000
# Rounds of heartbeats that a peer may miss before it counts as removed.
_MAX_MISSED_ROUNDS: Final = 2


def server_key(server: values.BackendServer) -> str:
    """Returns the key of a backend server in reports, `NAME@ADDRESS`."""
    return f'{server.name}@{server.address}'


class _Peer:
    """The last heartbeat and the incarnations of another keeper."""

    __slots__ = ('heartbeat', 'received_at', 'replaced')

    heartbeat: messages.KeeperHeartbeat
    received_at: float
    # Earlier incarnations, oldest first.
    replaced: tuple[str, ...]

    def __init__(
        self, heartbeat: messages.KeeperHeartbeat, received_at: float
    ) -> None:
        self.heartbeat = heartbeat
        self.received_at = received_at
        self.replaced = ()


class Members:
    """One keeper's view of the members."""

    __slots__ = (
        '_heartbeat_s',
        '_leaving_servers',
        '_leaving_vms',
        '_peers',
        '_silence_s',
        'entry_vm',
        'listing',
        'listing_received_at',
    )

    # Name of the keeper's own VM.
    entry_vm: str
    # Newest list received, with its own states; None before the first.
    listing: values.Listing | None
    # When the list was received; shows how old it is.
    listing_received_at: float
    # By VM name.
    _peers: dict[str, _Peer]
    # Keys of the entry VMs that a list named as leaving.
    _leaving_vms: set[str]
    # Keys of the backend servers that any source reported as leaving,
    # `NAME@ADDRESS`; in order of arrival.
    _leaving_servers: dict[str, None]

    def __init__(
        self, entry_vm: str, silence_s: float, heartbeat_s: float = 1.0
    ) -> None:
        self.entry_vm = entry_vm
        self.listing = None
        self.listing_received_at = 0.0
        self._silence_s = silence_s
        self._heartbeat_s = heartbeat_s
        self._peers = {}
        self._leaving_vms = set()
        self._leaving_servers = {}

    @property
    def version(self) -> int:
        """Version of the newest list received; -1 before the first."""
        return -1 if self.listing is None else self.listing.version

    @property
    def reported_leaving(self) -> tuple[str, ...]:
        """Reported servers that the list shows as live, to forward to peers."""
        return tuple(
            server_key(server)
            for server in self._listed_servers()
            if server.state == 'live'
            and server_key(server) in self._leaving_servers
        )

    def on_listing(self, now: float, listing: values.Listing | None) -> bool:
        """Handles a list of the platform or of a peer.

        Returns:
            Whether the list is newer than the last one.
        """
        if listing is None or listing.version <= self.version:
            return False
        self.listing = listing
        self.listing_received_at = now
        named = {server_key(server) for server in listing.backend_servers}
        # The name of a removed server may be assigned again.
        self._leaving_servers = {
            key: None for key in self._leaving_servers if key in named
        }
        for server in listing.backend_servers:
            if server.state == 'leaving':
                self._leaving_servers[server_key(server)] = None
        self._leaving_vms &= {_entry_vm_key(vm) for vm in listing.entry_vms}
        self._leaving_vms |= {
            _entry_vm_key(vm)
            for vm in listing.entry_vms
            if vm.state == 'leaving'
        }
        return True

    def on_leaving(self, key: str) -> bool:
        """Handles a report that a server is leaving; returns whether it is new.

        The report originates from an engine's refusal. The list may show the
        server as live for some more minutes; each request sent to it during
        that time would be refused and restarted elsewhere.
        """
        if (
            key in self._leaving_servers
            or len(self._leaving_servers) >= _MAX_REPORTS
        ):
            return False
        named = {server_key(server) for server in self._listed_servers()}
        if self.listing is not None and key not in named:
            # A peer with an older list reports a removed server; if recorded,
            # the report would exclude a new server of that name. A server
            # that this list does not name yet is reported again with the
            # peer's next heartbeat.
            return False
        self._leaving_servers[key] = None
        return True

    def on_heartbeat(
        self, now: float, heartbeat: messages.KeeperHeartbeat
    ) -> None:
        """Handles a peer's heartbeat."""
        for key in heartbeat.leaving:
            self.on_leaving(key)
        if heartbeat.entry_vm == self.entry_vm:
            return
        peer = self._peers.get(heartbeat.entry_vm)
        if peer is None:
            self._peers[heartbeat.entry_vm] = _Peer(heartbeat, now)
            return
        if heartbeat.incarnation in peer.replaced:
            # A delayed heartbeat of a process that has been replaced. Tickets
            # that name its witness would go to one that has not recorded
            # their start.
            return
        if heartbeat.incarnation != peer.heartbeat.incarnation:
            replaced = (*peer.replaced, peer.heartbeat.incarnation)
            peer.replaced = replaced[-_MAX_REPLACED:]
        peer.heartbeat = heartbeat
        peer.received_at = now

    def available_servers(
        self, service: str, role: values.Role
    ) -> tuple[values.BackendServer, ...]:
        """Returns the backend servers that may receive new work."""
        return tuple(
            server
            for server in self._listed_servers()
            if server.service == service
            and server.role == role
            and not self.is_leaving(server)
        )

    def backend_servers(self) -> tuple[values.BackendServer, ...]:
        """Returns all listed backend servers with their merged states."""
        return tuple(
            msgspec.structs.replace(server, state='leaving')
            if self.is_leaving(server)
            else server
            for server in self._listed_servers()
        )

    def merged_listing(self) -> values.Listing | None:
        """Returns the newest list with the merged states, for entries."""
        if self.listing is None:
            return None
        return msgspec.structs.replace(
            self.listing, backend_servers=self.backend_servers()
        )

    def is_leaving(self, server: values.BackendServer) -> bool:
        """Whether a backend server is leaving and must not get new work."""
        return server_key(server) in self._leaving_servers

    def peers(self) -> tuple[values.EntryVm, ...]:
        """Returns the other entry VMs to exchange heartbeats with.

        These include leaving VMs, which still follow the preset, and VMs that
        are known from their heartbeats only. A keeper that starts while the
        platform is unavailable has no list. Other keepers send it heartbeats,
        and it can pull their state only if it sends heartbeats to them.
        """
        listed = self.listing.entry_vms if self.listing else ()
        by_name = {vm.name: vm for vm in listed}
        for name, peer in self._peers.items():
            if name not in by_name:
                by_name[name] = values.EntryVm(
                    name=name,
                    data_centre=peer.heartbeat.data_centre,
                    keeper=peer.heartbeat.address,
                )
        by_name.pop(self.entry_vm, None)
        return tuple(by_name.values())

    def keeper_heartbeats(
        self, now: float
    ) -> tuple[messages.KeeperHeartbeat, ...]:
        """Returns the last heartbeats of the present keepers, sorted by name.

        Keepers of leaving VMs are excluded, since they accept no new work.
        """
        max_silence_s = self._max_silence_s()
        return tuple(
            peer.heartbeat
            for name, peer in sorted(self._peers.items())
            if now - peer.received_at <= max_silence_s
            and f'{name}@{peer.heartbeat.address}' not in self._leaving_vms
        )

    def remove_silent_peers(self, now: float) -> None:
        """Removes peers that are not listed and have been silent for long.

        Hundreds of VMs are replaced each day; otherwise their last heartbeats
        would stay in memory for ever.
        """
        listed = self.listing.entry_vms if self.listing else ()
        named = {vm.name for vm in listed}
        max_age_s = 10 * self._max_silence_s()
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if name in named or now - peer.received_at <= max_age_s
        }

    def _max_silence_s(self) -> float:
        """Returns the silence, seconds, after which a peer counts as removed.

        With many keepers a peer is contacted only once in a round of
        heartbeats.
        """
        heartbeats = gossip.heartbeats_per_round(len(self.peers()) + 1)
        if heartbeats == 1:
            return self._silence_s
        return max(
            self._silence_s, _MAX_MISSED_ROUNDS * heartbeats * self._heartbeat_s
        )

    def _listed_servers(self) -> tuple[values.BackendServer, ...]:
        return () if self.listing is None else self.listing.backend_servers


def _entry_vm_key(vm: values.EntryVm) -> str:
    return f'{vm.name}@{vm.keeper}'
