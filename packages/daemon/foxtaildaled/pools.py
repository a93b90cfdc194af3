"""The pools of services that a keeper is the home of.

A pool is made when somebody first asks for a slot of its service; whoever asks
has worked out that this keeper is its home. It is kept up to date with the
preset in force and the members.
"""

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import members
from foxtaildale import messages
from foxtaildale import pool
from foxtaildale import spread


class Pools:
    """Pools by service, and the messages about them."""

    __slots__ = ('_follower', '_members', '_pools')

    _follower: spread.Follower
    _members: members.Members
    _pools: dict[str, pool.Pool]

    def __init__(
        self, follower: spread.Follower, listed: members.Members
    ) -> None:
        self._follower = follower
        self._members = listed
        self._pools = {}

    def ask(self, now: float, msg: messages.AskSlot) -> messages.Any:
        """Answers who wants a slot."""
        item = self._get(now, msg.service)
        if item is None:
            return messages.Fail(code='no-service')
        return item.ask(now, msg)

    def end(self, now: float, msg: messages.EndSlot) -> messages.Any:
        """Takes a grant back."""
        item = self._get(now, msg.service)
        if item is not None:
            item.end(now, msg)
        return messages.Pong()

    def keep(self, now: float, msg: messages.KeepSlots) -> messages.Any:
        """Takes a holder's repeat of what it holds."""
        item = self._get(now, msg.service)
        if item is not None:
            item.keep(now, msg)
        return messages.Pong()

    def on_load(self, now: float, server: str, load: backends.Load) -> None:
        """Takes a worker's load report."""
        for item in self._pools.values():
            item.on_load(now, server, load)

    def on_cache(
        self, server: str, service: str, events: backends.CacheEvents
    ) -> None:
        """Takes a prefill worker's cache events."""
        item = self._pools.get(service)
        if item is not None:
            item.on_cache(server, events.events)

    def serve(self, now: float) -> None:
        """Brings every pool up to date with the preset and the members."""
        for name in self._pools:
            self._serve(now, name)

    def expire(self, now: float) -> None:
        """Lets grants lapse that nobody repeats."""
        for item in self._pools.values():
            item.expire(now)

    def dump(self) -> dict[str, object]:
        """Returns the state for people."""
        return {name: item.dump() for name, item in self._pools.items()}

    def _get(self, now: float, name: str) -> pool.Pool | None:
        in_force = self._follower.in_force
        if in_force is None or name not in in_force.preset.services:
            return None
        if name not in self._pools:
            self._pools[name] = pool.Pool(name)
            self._serve(now, name)
        return self._pools[name]

    def _serve(self, now: float, name: str) -> None:
        in_force = self._follower.in_force
        if in_force is None:
            raise errors.InvariantError('a pool without a preset in force')
        item = self._pools[name]
        service = in_force.preset.services.get(name)
        if service is not None:
            item.on_service(service, in_force.preset.weights)
        servers = tuple(
            server
            for role in ('prefill', 'decode')
            for server in self._members.servers(name, role)
        )
        item.on_servers(now, servers)
