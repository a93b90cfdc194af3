"""Loops by which a keeper exchanges data with its peers and the workers.

`GossipLoop` sends the keeper's offset and digest to the other keepers, and
requests the state of one that is ahead. `LoadLoop` reads the load of the
workers whose pools this keeper coordinates. `ReapLoop` cancels what dead
holders left in the workers' memory. `OrderLoop` sends engines the orders that
the preset in force requires.
"""

from collections.abc import Callable
from concurrent import futures
import functools
from typing import Final

from foxtaildale import abandoned_holdings
from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import values
from foxtaildaled import actors
from foxtaildaled import keeper
from foxtaildaled import platform_loops

# Maximum number of concurrent calls to peers or workers.
_MAX_CALLS: Final = 16


class CallPool:
    """Makes concurrent calls, at most one for each address.

    A peer that hangs would otherwise delay the heartbeats to all others, and a
    second call to it would only wait behind the first.
    """

    __slots__ = ('_last_calls', '_pool')

    _pool: futures.ThreadPoolExecutor
    # The last call to each address.
    _last_calls: dict[str, futures.Future[None]]

    def __init__(self, name: str) -> None:
        self._pool = futures.ThreadPoolExecutor(
            _MAX_CALLS, thread_name_prefix=name
        )
        self._last_calls = {}

    def start(self, address: str, call: Callable[[], None]) -> None:
        """Starts a call unless one to the address is in progress."""
        running = self._last_calls.get(address)
        if running is not None and not running.done():
            return
        self._last_calls[address] = self._pool.submit(call)

    def close(self) -> None:
        """Waits for the calls in progress."""
        self._pool.shutdown(wait=True)


class GossipLoop:
    """Sends heartbeats to the other keepers."""

    __slots__ = ('_calls', '_owner', '_peers', '_timeout_s')

    _owner: actors.StateOwner[keeper.Keeper]
    _peers: ports.Peers
    _timeout_s: float
    _calls: CallPool

    def __init__(
        self,
        owner: actors.StateOwner[keeper.Keeper],
        peers: ports.Peers,
        silence_s: float,
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._timeout_s = silence_s
        self._calls = CallPool('gossip')

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to each target and expires old state."""
        self._owner.run(lambda state, now: state.expire(now))
        heartbeat = self._owner.run(lambda state, _now: state.make_heartbeat())
        for address in self._owner.run(
            lambda state, now: state.heartbeat_targets(now)
        ):
            self._calls.start(
                address,
                functools.partial(self._send_heartbeat, address, heartbeat),
            )
        for address in self._owner.run(
            lambda state, _now: state.drain_peers_ahead()
        ):
            self._calls.start(
                address, functools.partial(self._request_state, address)
            )

    def announce_stop(self) -> None:
        """Notifies the peers that this keeper stops as planned."""
        own_entry = self._owner.run(lambda state, _now: state.me)
        notice = messages.StopNotice(incarnation=own_entry.incarnation)
        for address in self._owner.run(
            lambda state, now: state.heartbeat_targets(now)
        ):
            self._calls.start(
                address,
                functools.partial(self._send_stop_notice, address, notice),
            )
        self._calls.close()

    def _send_heartbeat(
        self, address: str, heartbeat: messages.KeeperHeartbeat
    ) -> None:
        reply = self._request(address, heartbeat)
        if not isinstance(reply, messages.KeeperHeartbeat):
            return
        is_behind = self._owner.run(
            lambda state, now: state.on_heartbeat(now, reply)
        )
        if is_behind:
            self._request_state(address)

    def _request_state(self, address: str) -> None:
        offset = self._owner.run(lambda state, _now: state.follower.offset)
        reply = self._request(address, messages.StateRequest(offset=offset))
        if isinstance(reply, messages.StateReply):
            self._owner.run(lambda state, now: state.on_pull_reply(now, reply))

    def _send_stop_notice(
        self, address: str, notice: messages.StopNotice
    ) -> None:
        self._request(address, notice)

    def _request(
        self, address: str, msg: messages.Message
    ) -> messages.Message | None:
        return platform_loops.call_or_none(
            lambda: self._peers.request(address, msg, self._timeout_s)
        )


class LoadLoop:
    """Reads the load of the workers that this keeper coordinates."""

    __slots__ = ('_calls', '_engines', '_last_event', '_owner')

    _owner: actors.StateOwner[keeper.Keeper]
    _engines: ports.Engines
    _calls: CallPool
    # Number of the last cache event that was read, by address.
    _last_event: dict[str, int]

    def __init__(
        self, owner: actors.StateOwner[keeper.Keeper], engines: ports.Engines
    ) -> None:
        self._owner = owner
        self._engines = engines
        self._calls = CallPool('watch')
        self._last_event = {}

    def read_loads(self) -> None:
        """Reads the load of each worker once."""
        for server in self._owner.run(
            lambda state, now: state.coordinated_workers(now)
        ):
            self._calls.start(
                server.address, functools.partial(self._read, server)
            )

    def _read(self, server: values.BackendServer) -> None:
        load = platform_loops.call_or_none(
            lambda: self._engines.load(server.address)
        )
        if load is not None:
            self._owner.run(
                lambda state, now: state.pools.on_load(now, server.name, load)
            )
        if server.role == 'prefill':
            self._read_cache(server)

    def _read_cache(self, server: values.BackendServer) -> None:
        after = self._last_event.get(server.address, 0)
        events = platform_loops.call_or_none(
            lambda: self._engines.cache_events(server.address, after)
        )
        if events is None or not events.events:
            return
        self._last_event[server.address] = events.events[-1].number
        self._owner.run(
            lambda state, _now: state.pools.on_cache(
                server.name, server.service, events
            )
        )


class ReapLoop:
    """Cancels what dead holders left in the workers' memory."""

    __slots__ = ('_calls', '_engines', '_owner', '_reaper')

    _owner: actors.StateOwner[keeper.Keeper]
    _engines: ports.Engines
    _reaper: abandoned_holdings.AbandonedHoldings
    _calls: CallPool

    def __init__(
        self,
        owner: actors.StateOwner[keeper.Keeper],
        engines: ports.Engines,
        orphan_reaper: abandoned_holdings.AbandonedHoldings,
    ) -> None:
        self._owner = owner
        self._engines = engines
        self._reaper = orphan_reaper
        self._calls = CallPool('reap')

    def reap_workers(self) -> None:
        """Checks once each worker that this keeper is responsible for."""
        self._owner.run(lambda _state, now: self._reaper.prune(now))
        for server in self._owner.run(
            lambda state, now: state.assigned_workers(now)
        ):
            self._calls.start(
                server.address,
                functools.partial(self._cancel_abandoned, server),
            )

    def _cancel_abandoned(self, server: values.BackendServer) -> None:
        reply = platform_loops.call_or_none(
            lambda: self._engines.holdings(server.address)
        )
        if reply is None:
            return
        census = self._owner.run(
            lambda state, now: state.liveness_snapshot(now)
        )
        for holding in reply.holdings:
            if self._reaper.is_abandoned(holding, census):
                self._cancel(server, holding)

    def _cancel(
        self, server: values.BackendServer, holding: backends.Holding
    ) -> None:
        req = backends.CancelReq(
            request=holding.request,
            attempt=holding.attempt,
            holder=holding.holder,
        )
        try:
            self._engines.cancel(server.address, req)
        except errors.PortError:
            # The next round tries again, since the holding is still listed.
            return


class OrderLoop:
    """Sends engines the orders that the preset in force requires."""

    __slots__ = ('_calls', '_engines', '_owner')

    _owner: actors.StateOwner[keeper.Keeper]
    _engines: ports.Orders
    _calls: CallPool

    def __init__(
        self, owner: actors.StateOwner[keeper.Keeper], engines: ports.Orders
    ) -> None:
        self._owner = owner
        self._engines = engines
        self._calls = CallPool('steer')

    def send_orders(self) -> None:
        """Reads the settings of each due worker and orders the changes."""
        for server in self._owner.run(
            lambda state, now: state.due_workers(now)
        ):
            self._calls.start(
                server.address,
                functools.partial(self._send_worker_orders, server),
            )

    def _send_worker_orders(self, server: values.BackendServer) -> None:
        name = server.name
        try:
            observed = self._engines.observe(server.address)
        except errors.PortError:
            self._owner.run(
                lambda state, now: state.orders.on_poll_failed(name, now)
            )
            return
        worker_orders = self._owner.run(
            lambda state, now: state.orders.on_observed(
                name, observed, state.follower.offset, now
            )
        )
        for order in worker_orders:
            # The reply does not prove that the order took effect; the next
            # observation of the worker does.
            platform_loops.call_or_none(
                functools.partial(self._engines.order, server.address, order)
            )
