"""The pools of the services that a keeper coordinates.

A pool is created on the first request for a slot of its service. The requester
has determined that this keeper is the coordinator of the service. A pool is
updated when the preset in force or the members change.
"""

from foxtaildale import backends
from foxtaildale import config_follower
from foxtaildale import errors
from foxtaildale import members
from foxtaildale import messages
from foxtaildale import pool


class Pools:
    """Holds the pools by service and handles the messages for them."""

    __slots__ = ('_follower', '_members', '_pools')

    _follower: config_follower.Follower
    _members: members.Members
    _pools: dict[str, pool.Pool]

    def __init__(
        self, follower: config_follower.Follower, member_list: members.Members
    ) -> None:
        self._follower = follower
        self._members = member_list
        self._pools = {}

    def request_slot(
        self, now: float, msg: messages.SlotRequest
    ) -> messages.Message:
        """Returns the reply to a request for a slot."""
        service_pool = self._get(now, msg.service)
        if service_pool is None:
            return messages.ErrorReply(code='no-service')
        return service_pool.request_slot(now, msg)

    def release(
        self, now: float, msg: messages.SlotRelease
    ) -> messages.Message:
        """Releases a grant."""
        service_pool = self._get(now, msg.service)
        if service_pool is not None:
            service_pool.release(now, msg)
        return messages.Pong()

    def renew(self, now: float, msg: messages.SlotRenewal) -> messages.Message:
        """Renews the grants that a holder lists."""
        service_pool = self._get(now, msg.service)
        if service_pool is not None:
            service_pool.renew(now, msg)
        return messages.Pong()

    def on_load(self, now: float, server: str, load: backends.Load) -> None:
        """Applies a worker's load report."""
        for service_pool in self._pools.values():
            service_pool.on_load(now, server, load)

    def on_cache(
        self, server: str, service: str, events: backends.CacheEvents
    ) -> None:
        """Applies a prefill worker's cache events."""
        service_pool = self._pools.get(service)
        if service_pool is not None:
            service_pool.on_cache(server, events.events)

    def update(self, now: float) -> None:
        """Updates every pool from the preset in force and the members."""
        for name in self._pools:
            self._update(now, name)

    def expire(self, now: float) -> None:
        """Expires grants that are not renewed."""
        for service_pool in self._pools.values():
            service_pool.expire(now)

    def dump(self) -> dict[str, object]:
        """Returns the state for operators."""
        return {
            name: service_pool.dump()
            for name, service_pool in self._pools.items()
        }

    def _get(self, now: float, name: str) -> pool.Pool | None:
        in_force = self._follower.in_force
        if in_force is None or name not in in_force.preset.services:
            return None
        if name not in self._pools:
            self._pools[name] = pool.Pool(name)
            self._update(now, name)
        return self._pools[name]

    def _update(self, now: float, name: str) -> None:
        in_force = self._follower.in_force
        if in_force is None:
            raise errors.InvariantError(
                'a pool exists but no preset is in force'
            )
        service_pool = self._pools[name]
        service = in_force.preset.services.get(name)
        if service is not None:
            service_pool.on_service(service, in_force.preset.weights)
        servers = tuple(
            server
            for role in ('prefill', 'decode')
            for server in self._members.available_servers(name, role)
        )
        service_pool.on_servers(now, servers)
