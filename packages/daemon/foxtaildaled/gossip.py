"""Loops by which a keeper speaks with its peers and with the workers.

`Gossip` tells the other keepers its offset and digest, and pulls the state of
one that is ahead. `Watch` reads the load of the workers whose pools are at
home here. `Reap` cancels what dead holders left in the workers' memory. `Steer`
sets engines to what the preset in force says.
"""

from collections.abc import Callable
from concurrent import futures
import functools
from typing import Final

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import reaper
from foxtaildale import values
from foxtaildaled import actors
from foxtaildaled import follow
from foxtaildaled import keeper

# Calls to peers or workers that may be under way at once.
_CALLS: Final = 16


class Fan:
    """Makes calls side by side, at most one for each address.

    A peer that hangs would otherwise hold up the beat to all others, and a
    second call to it would only pile up behind the first.
    """

    __slots__ = ('_busy', '_pool')

    _pool: futures.ThreadPoolExecutor
    # Addresses that a call is under way to.
    _busy: dict[str, futures.Future[None]]

    def __init__(self, name: str) -> None:
        self._pool = futures.ThreadPoolExecutor(_CALLS, thread_name_prefix=name)
        self._busy = {}

    def call(self, address: str, step: Callable[[], None]) -> None:
        """Starts a call unless one to the address is under way."""
        under_way = self._busy.get(address)
        if under_way is not None and not under_way.done():
            return
        self._busy[address] = self._pool.submit(step)

    def close(self) -> None:
        """Waits for the calls under way."""
        self._pool.shutdown(wait=True)


class Gossip:
    """Beats to the other keepers."""

    __slots__ = ('_fan', '_owner', '_peers', '_silence_s')

    _owner: actors.Owner[keeper.Keeper]
    _peers: ports.Peers
    _silence_s: float
    _fan: Fan

    def __init__(
        self,
        owner: actors.Owner[keeper.Keeper],
        peers: ports.Peers,
        silence_s: float,
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._silence_s = silence_s
        self._fan = Fan('gossip')

    def step(self) -> None:
        """Sends one beat to each peer and lets old state lapse."""
        self._owner.run(lambda state, now: state.tick(now))
        beat = self._owner.run(lambda state, _now: state.beat())
        for address in self._owner.run(lambda state, now: state.targets(now)):
            self._fan.call(
                address, functools.partial(self._beat, address, beat)
            )
        for address in self._owner.run(lambda state, _now: state.take_ahead()):
            self._fan.call(address, functools.partial(self._pull, address))

    def goodbye(self) -> None:
        """Tells the peers that this keeper ends by plan."""
        me = self._owner.run(lambda state, _now: state.me)
        bye = messages.Bye(incarnation=me.incarnation)
        for address in self._owner.run(lambda state, now: state.targets(now)):
            self._fan.call(address, functools.partial(self._bye, address, bye))
        self._fan.close()

    def _beat(self, address: str, beat: messages.Beat) -> None:
        reply = self._ask(address, beat)
        if not isinstance(reply, messages.Beat):
            return
        behind = self._owner.run(lambda state, now: state.on_beat(now, reply))
        if behind:
            self._pull(address)

    def _pull(self, address: str) -> None:
        offset = self._owner.run(lambda state, _now: state.follower.offset)
        pulled = self._ask(address, messages.Pull(offset=offset))
        if isinstance(pulled, messages.PullReply):
            self._owner.run(lambda state, now: state.on_pull(now, pulled))

    def _bye(self, address: str, bye: messages.Bye) -> None:
        self._ask(address, bye)

    def _ask(self, address: str, msg: messages.Any) -> messages.Any | None:
        return follow.quietly(
            lambda: self._peers.ask(address, msg, self._silence_s)
        )


class Watch:
    """Reads the load of the workers at home here."""

    __slots__ = ('_engines', '_fan', '_owner', '_seen')

    _owner: actors.Owner[keeper.Keeper]
    _engines: ports.Engines
    _fan: Fan
    # Number of the last cache event read, by address.
    _seen: dict[str, int]

    def __init__(
        self, owner: actors.Owner[keeper.Keeper], engines: ports.Engines
    ) -> None:
        self._owner = owner
        self._engines = engines
        self._fan = Fan('watch')
        self._seen = {}

    def step(self) -> None:
        """Reads each worker's load once."""
        for server in self._owner.run(lambda state, now: state.homed(now)):
            self._fan.call(
                server.address, functools.partial(self._read, server)
            )

    def _read(self, server: values.BackendServer) -> None:
        load = follow.quietly(lambda: self._engines.load(server.address))
        if load is not None:
            self._owner.run(
                lambda state, now: state.pools.on_load(now, server.name, load)
            )
        if server.role == 'prefill':
            self._read_cache(server)

    def _read_cache(self, server: values.BackendServer) -> None:
        after = self._seen.get(server.address, 0)
        events = follow.quietly(
            lambda: self._engines.cache(server.address, after)
        )
        if events is None or not events.events:
            return
        self._seen[server.address] = events.events[-1].number
        self._owner.run(
            lambda state, _now: state.pools.on_cache(
                server.name, server.service, events
            )
        )


class Reap:
    """Cancels what dead holders left in the workers' memory."""

    __slots__ = ('_engines', '_fan', '_owner', '_reaper')

    _owner: actors.Owner[keeper.Keeper]
    _engines: ports.Engines
    _reaper: reaper.Reaper
    _fan: Fan

    def __init__(
        self,
        owner: actors.Owner[keeper.Keeper],
        engines: ports.Engines,
        judge: reaper.Reaper,
    ) -> None:
        self._owner = owner
        self._engines = engines
        self._reaper = judge
        self._fan = Fan('reap')

    def step(self) -> None:
        """Looks once at each worker that this keeper reaps."""
        self._owner.run(lambda _state, now: self._reaper.forget(now))
        for server in self._owner.run(lambda state, now: state.reaped(now)):
            self._fan.call(
                server.address, functools.partial(self._reap, server)
            )

    def _reap(self, server: values.BackendServer) -> None:
        held = follow.quietly(lambda: self._engines.holdings(server.address))
        if held is None:
            return
        census = self._owner.run(lambda state, now: state.census(now))
        for holding in held.holdings:
            if self._reaper.abandoned(holding, census):
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
            # The next round finds the holding again.
            return


class Steer:
    """Sets engines to what the preset in force says."""

    __slots__ = ('_engines', '_fan', '_owner')

    _owner: actors.Owner[keeper.Keeper]
    _engines: ports.Orders
    _fan: Fan

    def __init__(
        self, owner: actors.Owner[keeper.Keeper], engines: ports.Orders
    ) -> None:
        self._owner = owner
        self._engines = engines
        self._fan = Fan('steer')

    def step(self) -> None:
        """Looks at each worker that is due, and orders what differs."""
        for server in self._owner.run(lambda state, now: state.orders_due(now)):
            self._fan.call(
                server.address, functools.partial(self._steer, server)
            )

    def _steer(self, server: values.BackendServer) -> None:
        name = server.name
        try:
            observed = self._engines.observe(server.address)
        except errors.PortError:
            self._owner.run(lambda state, now: state.orders.unseen(name, now))
            return
        given = self._owner.run(
            lambda state, now: state.orders.seen(
                name, observed, state.follower.offset, now
            )
        )
        for order in given:
            # Its answer proves nothing: the next look shows what came of it.
            follow.quietly(
                functools.partial(self._engines.order, server.address, order)
            )
