"""Who takes part: entry VMs and backend servers, merged from all that tells.

The platform's list lags, engines refuse while it still calls them live, and
peers may hold an older list. The rules: a list never replaces a newer one; a
member that anybody reported leaving stays so for as long as lists name it at
that address; a keeper counts as there while its beats are heard.
"""

from typing import Final

import msgspec

from foxtaildale import gossip
from foxtaildale import messages
from foxtaildale import values

# Incarnations of one VM that are remembered as replaced.
_REPLACED: Final = 8
# Reports kept about members that no list names; bounds what peers can fill.
_MAX_REPORTS: Final = 1000
# Rounds of beats that a peer may miss before it counts as gone.
_ROUNDS: Final = 2


def key_of(server: values.BackendServer) -> str:
    """Returns how reports name a backend server, `NAME@ADDRESS`."""
    return f'{server.name}@{server.address}'


class _Peer:
    """What is known of another keeper."""

    __slots__ = ('beat', 'heard_at', 'replaced')

    beat: messages.Beat
    heard_at: float
    # Earlier incarnations, oldest first.
    replaced: tuple[str, ...]

    def __init__(self, beat: messages.Beat, heard_at: float) -> None:
        self.beat = beat
        self.heard_at = heard_at
        self.replaced = ()


class Members:
    """One keeper's view of the members."""

    __slots__ = (
        '_heartbeat_s',
        '_left',
        '_peers',
        '_reports',
        '_silence_s',
        'entry_vm',
        'listed_at',
        'listing',
    )

    # Name of the keeper's own VM.
    entry_vm: str
    # Newest list seen, with the states that it gave itself; None before one.
    listing: values.Listing | None
    # When it was taken; shows how far the list lags.
    listed_at: float
    # By VM name.
    _peers: dict[str, _Peer]
    # Entry VMs that a list called leaving, by name and address.
    _left: set[str]
    # Backend servers that anybody called leaving, `NAME@ADDRESS`; ordered.
    _reports: dict[str, None]

    def __init__(
        self, entry_vm: str, silence_s: float, heartbeat_s: float = 1.0
    ) -> None:
        self.entry_vm = entry_vm
        self.listing = None
        self.listed_at = 0.0
        self._silence_s = silence_s
        self._heartbeat_s = heartbeat_s
        self._peers = {}
        self._left = set()
        self._reports = {}

    @property
    def version(self) -> int:
        """Version of the newest list seen; -1 before one."""
        return -1 if self.listing is None else self.listing.version

    @property
    def leaving(self) -> tuple[str, ...]:
        """Reports that the list does not bear out yet, to be passed on."""
        return tuple(
            key_of(server)
            for server in self._listed()
            if server.state == 'live' and key_of(server) in self._reports
        )

    def on_listing(self, now: float, listing: values.Listing | None) -> bool:
        """Takes a list of the platform or of a peer; returns whether newer."""
        if listing is None or listing.version <= self.version:
            return False
        self.listing = listing
        self.listed_at = now
        named = {key_of(server) for server in listing.backend_servers}
        # A name that a newer list has dropped may be given out again.
        self._reports = {key: None for key in self._reports if key in named}
        for server in listing.backend_servers:
            if server.state == 'leaving':
                self._reports[key_of(server)] = None
        self._left &= {_vm_key(vm) for vm in listing.entry_vms}
        self._left |= {
            _vm_key(vm) for vm in listing.entry_vms if vm.state == 'leaving'
        }
        return True

    def on_leaving(self, key: str) -> bool:
        """Takes an engine's refusal as leaving; returns whether it is news.

        The list may call it live for minutes more; each request sent there in
        that time would be refused and start anew elsewhere.
        """
        if key in self._reports or len(self._reports) >= _MAX_REPORTS:
            return False
        named = {key_of(server) for server in self._listed()}
        if self.listing is not None and key not in named:
            # A peer with an older list reports one that has gone; kept, it
            # would bar a new server of that name. One that our list does not
            # name yet is reported again with the peer's next beat.
            return False
        self._reports[key] = None
        return True

    def on_beat(self, now: float, beat: messages.Beat) -> None:
        """Takes a peer's beat."""
        for key in beat.leaving:
            self.on_leaving(key)
        if beat.entry_vm == self.entry_vm:
            return
        peer = self._peers.get(beat.entry_vm)
        if peer is None:
            self._peers[beat.entry_vm] = _Peer(beat, now)
            return
        if beat.incarnation in peer.replaced:
            # Late from a process that has been replaced; tickets that name
            # its witness would go to one that never noted their start.
            return
        if beat.incarnation != peer.beat.incarnation:
            replaced = (*peer.replaced, peer.beat.incarnation)
            peer.replaced = replaced[-_REPLACED:]
        peer.beat = beat
        peer.heard_at = now

    def servers(
        self, service: str, role: values.Role
    ) -> tuple[values.BackendServer, ...]:
        """Returns the backend servers that may be given new work."""
        return tuple(
            server
            for server in self._listed()
            if server.service == service
            and server.role == role
            and not self.is_leaving(server)
        )

    def backend_servers(self) -> tuple[values.BackendServer, ...]:
        """Returns all that are listed, with their merged state."""
        return tuple(
            msgspec.structs.replace(server, state='leaving')
            if self.is_leaving(server)
            else server
            for server in self._listed()
        )

    def merged(self) -> values.Listing | None:
        """Returns the newest list with the merged states, for entries."""
        if self.listing is None:
            return None
        return msgspec.structs.replace(
            self.listing, backend_servers=self.backend_servers()
        )

    def is_leaving(self, server: values.BackendServer) -> bool:
        """Tells whether a backend server may get no new work."""
        return key_of(server) in self._reports

    def peers(self) -> tuple[values.EntryVm, ...]:
        """Returns the other entry VMs to exchange beats with.

        Leaving ones are among them: they still follow the preset.
        """
        if self.listing is None:
            return ()
        return tuple(
            vm for vm in self.listing.entry_vms if vm.name != self.entry_vm
        )

    def keepers(self, now: float) -> tuple[messages.Beat, ...]:
        """Returns the last beats of the keepers that are there, by name.

        Those of leaving VMs are not among them: they take nothing new on.
        """
        bound = self._bound()
        return tuple(
            peer.beat
            for name, peer in sorted(self._peers.items())
            if now - peer.heard_at <= bound
            and f'{name}@{peer.beat.address}' not in self._left
        )

    def forget(self, now: float) -> None:
        """Drops peers that no list names and nobody has heard for long.

        VMs are replaced by the hundred a day; without this their last beats
        would be kept for ever.
        """
        named = {vm.name for vm in self.peers()}
        bound = 10 * self._bound()
        self._peers = {
            name: peer
            for name, peer in self._peers.items()
            if name in named or now - peer.heard_at <= bound
        }

    def _bound(self) -> float:
        """Returns the silence after which a peer counts as gone.

        With many keepers a peer is met only once in a round of beats.
        """
        beats = gossip.round_beats(len(self.peers()) + 1)
        if beats == 1:
            return self._silence_s
        return max(self._silence_s, _ROUNDS * beats * self._heartbeat_s)

    def _listed(self) -> tuple[values.BackendServer, ...]:
        return () if self.listing is None else self.listing.backend_servers


def _vm_key(vm: values.EntryVm) -> str:
    return f'{vm.name}@{vm.keeper}'
