"""The policy of the product: a home per service, and shares without it.

Runs `foxtaildale.pool.Pool` and `foxtaildale.share.Share`, the objects that
the daemons run, between fake VMs.
"""

from collections.abc import Callable
from typing import Final

from bench import entry
from bench import world
from foxtaildale import backends
from foxtaildale import homes
from foxtaildale import messages
from foxtaildale import pool
from foxtaildale import share
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
        self._weights = weights or values.Weights()
        self._members = list(wld.vms)
        self._pools: dict[str, pool.Pool] = {}
        self._shares = [self._share(vm) for vm in wld.vms]
        # Per entry VM: grants held and their decode workers.
        self._held: list[dict[str, str]] = [{} for _ in wld.vms]
        # Entry VMs whose last ask of the home timed out.
        self._cut_off: set[int] = set()
        # Asks without a reply, by entry VM and ask number.
        self._open: dict[int, Callable[[entry.Reply], None]] = {}
        self._asked = 0
        wld.on_load.append(self._on_load)
        wld.on_servers.append(self._on_servers)
        wld.clock.every(_BEAT_S, self._beat)

    def home(self) -> int:
        """Returns the number of the entry VM whose keeper is home."""
        name = homes.home(self._world.dep.model, self._members)
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
        msg: messages.AskSlot,
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
            answer = self._pool(home).ask(self._world.clock.now, msg)
            self._world.send(home, vm, answer, lambda: arrive(answer))

        def arrive(answer: entry.Reply) -> None:
            if self._open.pop(number, None) is None:
                return
            if isinstance(answer, messages.Granted):
                self._held[vm][answer.grant] = answer.decode
                now = self._world.clock.now
                self._shares[vm].granted(now, msg, answer)
            reply(answer)

        def late() -> None:
            if self._open.pop(number, None) is not None:
                self._cut_off.add(vm)
                self._fall_back(vm, msg, reply)

        self._world.send(vm, home, msg, at_home)
        self._world.clock.after(_HOME_TIMEOUT_S, late)

    def end(self, vm: int, msg: messages.EndSlot) -> None:
        """Tells the home and the share."""
        self._held[vm].pop(msg.grant, None)
        self._shares[vm].end(self._world.clock.now, msg)
        home = self.home()

        def at_home() -> None:
            self._pool(home).end(self._world.clock.now, msg)
            self._world.send(home, vm, messages.Pong(), lambda: None)

        self._world.send(vm, home, msg, at_home)

    def dump(self) -> dict[str, object]:
        """Returns the home's state."""
        return self._pool(self.home()).dump()

    def _fall_back(
        self,
        vm: int,
        msg: messages.AskSlot,
        reply: Callable[[entry.Reply], None],
    ) -> None:
        answer = self._shares[vm].ask(self._world.clock.now, msg)
        if isinstance(answer, messages.Granted):
            self._held[vm][answer.grant] = answer.decode
        reply(answer)

    def _pool(self, home: int) -> pool.Pool:
        name = self._world.vms[home]
        if name not in self._pools:
            made = pool.Pool(self._world.dep.model)
            made.on_service(self._world.dep.service, self._weights)
            made.on_servers(self._world.clock.now, self._world.listed)
            self._pools[name] = made
        return self._pools[name]

    def _share(self, vm: str) -> share.Share:
        made = share.Share(self._world.dep.model, vm)
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

    def _beat(self) -> None:
        """Every entry VM repeats what it holds; the home's answer ends a cut."""
        home = self.home()
        for vm in range(len(self._world.vms)):
            if vm not in self._world.dead_vms:
                self._keep(vm, home)
        now = self._world.clock.now
        for grant in self._pool(home).expire(now):
            request, _, _ = grant.rpartition('/')
            self._reap(request)

    def _keep(self, vm: int, home: int) -> None:
        msg = messages.KeepSlots(
            service=self._world.dep.model,
            holder=f'e{vm}',
            grants=tuple(self._held[vm].items()),
        )

        def at_home() -> None:
            self._pool(home).keep(self._world.clock.now, msg)
            self._world.send(home, vm, messages.Pong(), back)

        def back() -> None:
            self._cut_off.discard(vm)

        self._world.send(vm, home, msg, at_home)

    def _reap(self, request: str) -> None:
        """A lapsed grant's holdings at the engines are cancelled."""
        for attempt in (1, 2, 3):
            key = f'{request}/{attempt}'
            for prefill in self._world.prefills.values():
                prefill.cancel(key)
            for decode in self._world.decodes.values():
                decode.cancel(key)
