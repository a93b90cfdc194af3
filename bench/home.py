"""The policy of the product: a home per service, and shares without it.

Runs `foxtaildale.pool.Pool` and `foxtaildale.fallback_share.FallbackShare`, the
objects that the daemons run, between fake VMs.
"""

from collections.abc import Callable
from typing import Final

from bench import entry
from bench import world
from foxtaildale import backends
from foxtaildale import coordinator_choice
from foxtaildale import fallback_share
from foxtaildale import messages
from foxtaildale import pool
from foxtaildale import values

# Heartbeat between processes, and the silence after which one is gone.
_BEAT_S: Final = 1.0
_SILENCE_S: Final = 3.0
# An entry that waits this long for the home falls back to its share, seconds.
_HOME_TIMEOUT_S: Final = 0.1


class HomePlacer:
    """Asks the home; falls back to the entry VM's share."""

    recovers = True

    def __init__(
        self, wld: world.World, weights: values.Weights | None = None
    ) -> None:
        self._world = wld
        self._weights = weights or wld.dep.weights
        self._members = list(wld.vms)
        self._pools: dict[str, pool.Pool] = {}
        self._shares = [self._share(vm) for vm in wld.vms]
        # Per entry VM: grants held and their decode workers.
        self._held: list[dict[str, str]] = [{} for _ in wld.vms]
        # Entry VMs whose last ask of the home timed out.
        self._cut_off: set[int] = set()
        # When the home heard of each entry VM, and since when it is home.
        self._heard = dict.fromkeys(range(len(wld.vms)), 0.0)
        self._reaper = self.home()
        # Asks without a reply, by entry VM and ask number.
        self._open: dict[int, Callable[[entry.Reply], None]] = {}
        self._asked = 0
        wld.on_load.append(self._on_load)
        wld.on_cache.append(self._on_cache)
        wld.on_servers.append(self._on_servers)
        wld.clock.every(_BEAT_S, self._beat)

    def home(self) -> int:
        """Returns the number of the entry VM whose keeper is home."""
        name = coordinator_choice.choose_coordinator(
            self._world.dep.model, self._members
        )
        return self._world.vms.index(name)

    def lose(self, vm: int) -> None:
        """The others notice a silent keeper after the bound."""

        def gone() -> None:
            name = self._world.vms[vm]
            if name in self._members:
                self._members.remove(name)
            self._cut_off.clear()

        self._world.clock.after(_SILENCE_S, gone)

    def regain(self, vm: int) -> None:
        """A keeper is heard again at the next beat."""

        def back() -> None:
            self._members.append(self._world.vms[vm])
            self._members.sort()

        self._world.clock.after(_BEAT_S, back)

    def ask(
        self,
        vm: int,
        msg: messages.SlotRequest,
        reply: Callable[[entry.Reply], None],
    ) -> None:
        """Asks the home, or the share where the home does not answer."""
        if vm in self._cut_off:
            self._fall_back(vm, msg, reply)
            return
        self._asked += 1
        number = self._asked
        self._open[number] = reply
        home = self.home()

        def at_home() -> None:
            answer = self._pool(home).request_slot(self._world.clock.now, msg)
            self._world.send(home, vm, answer, lambda: arrive(answer))

        def arrive(answer: entry.Reply) -> None:
            if self._open.pop(number, None) is None:
                return
            if isinstance(answer, messages.SlotGrant):
                self._held[vm][answer.grant] = answer.decode_worker
                now = self._world.clock.now
                self._shares[vm].count_grant(now, msg, answer)
            reply(answer)

        def late() -> None:
            if self._open.pop(number, None) is not None:
                self._cut_off.add(vm)
                self._fall_back(vm, msg, reply)

        self._world.send(vm, home, msg, at_home)
        self._world.clock.after(_HOME_TIMEOUT_S, late)

    def end(self, vm: int, msg: messages.SlotRelease) -> None:
        """Tells the home and the share."""
        self._held[vm].pop(msg.grant, None)
        self._shares[vm].release(self._world.clock.now, msg)
        home = self.home()

        def at_home() -> None:
            self._pool(home).release(self._world.clock.now, msg)
            self._world.send(home, vm, messages.Pong(), lambda: None)

        self._world.send(vm, home, msg, at_home)

    def dump(self) -> dict[str, object]:
        """Returns the home's state."""
        return self._pool(self.home()).dump()

    def _fall_back(
        self,
        vm: int,
        msg: messages.SlotRequest,
        reply: Callable[[entry.Reply], None],
    ) -> None:
        answer = self._shares[vm].request_slot(self._world.clock.now, msg)
        if isinstance(answer, messages.SlotGrant):
            self._held[vm][answer.grant] = answer.decode_worker
        reply(answer)

    def _pool(self, home: int) -> pool.Pool:
        name = self._world.vms[home]
        if name not in self._pools:
            made = pool.Pool(self._world.dep.model)
            made.on_service(self._world.dep.service, self._weights)
            made.on_servers(self._world.clock.now, self._world.listed)
            self._pools[name] = made
        return self._pools[name]

    def _share(self, vm: str) -> fallback_share.FallbackShare:
        made = fallback_share.FallbackShare(self._world.dep.model, vm)
        made.on_service(self._world.dep.service)
        made.on_listing(self._listing())
        return made

    def _listing(self) -> values.Listing:
        return values.Listing(
            version=1,
            entry_vms=tuple(
                values.EntryVm(name=vm, data_centre='', keeper='127.0.0.1:1')
                for vm in self._world.vms
            ),
            backend_servers=self._world.listed,
        )

    def _on_servers(self) -> None:
        for made in self._pools.values():
            made.on_servers(self._world.clock.now, self._world.listed)
        for part in self._shares:
            part.on_listing(self._listing())

    def _on_load(self, name: str, load: backends.Load) -> None:
        now = self._world.clock.now
        self._pool(self.home()).on_load(now, name, load)
        for part in self._shares:
            part.on_load(name, load)

    def _on_cache(self, name: str, event: backends.CacheEvent) -> None:
        self._pool(self.home()).on_cache(name, (event,))

    def _beat(self) -> None:
        """Every entry VM repeats what it holds; the home's answer ends a cut."""
        home = self.home()
        for vm in range(len(self._world.vms)):
            if vm not in self._world.dead_vms:
                self._keep(vm, home)
        self._pool(home).expire(self._world.clock.now)
        self._reap(home)

    def _keep(self, vm: int, home: int) -> None:
        msg = messages.SlotRenewal(
            service=self._world.dep.model,
            holder=f'e{vm}',
            grants=tuple(self._held[vm].items()),
        )

        def at_home() -> None:
            self._heard[vm] = self._world.clock.now
            self._pool(home).renew(self._world.clock.now, msg)
            self._world.send(home, vm, messages.Pong(), back)

        def back() -> None:
            self._cut_off.discard(vm)

        self._world.send(vm, home, msg, at_home)

    def _reap(self, home: int) -> None:
        """Cancels what silent holders left at the engines.

        The ledger can't tell: with home and holder on one VM both are gone at
        once, and the new home never hears of the grants. So it goes by what
        the engines hold. A holder that is only cut off still reads its
        streams, which an engine sees; those are left alone.
        """
        now = self._world.clock.now
        if home != self._reaper:
            self._reaper = home
            self._heard = dict.fromkeys(range(len(self._world.vms)), now)
        for vm in sorted(self._world.dead_vms):
            if self._heard[vm] <= now - _SILENCE_S:
                self._world.cancel_holder(vm)
