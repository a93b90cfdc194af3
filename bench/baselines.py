"""Policies that the pool is measured against.

Round robin, least reported load and two random choices decide at the entry
on lagging reports and reserve nothing. Home per worker reserves a slot at the
worker's own ledger, then asks the prefill worker's home: two round trips, and
neither home sees what the other does.
"""

from collections.abc import Callable
import random
from typing import Final

from bench import entry
from bench import workload
from bench import world
from foxtaildale import backends
from foxtaildale import codes
from foxtaildale import messages
from foxtaildale import values
from foxtaildale import workers

_RETRY_MS: Final = 1_000
# Home per worker: time until a request that found every worker full asks
# again, milliseconds.
_AGAIN_MS: Final = 50


class Local:
    """Decides at the entry, by turns or by lagging reports."""

    recovers = False

    def __init__(self, wld: world.World) -> None:
        self._world = wld
        self._loads: dict[str, backends.Load] = {}
        # Per entry VM, what it knows of each worker's failures.
        self._known: list[dict[str, workers.Worker]] = [{} for _ in wld.vms]
        self._rng = random.Random('baseline')
        self._turn = [vm for vm, _ in enumerate(wld.vms)]
        self._grants: dict[str, messages.SlotGrant] = {}
        wld.on_load.append(self._on_load)

    def ask(
        self,
        vm: int,
        msg: messages.SlotRequest,
        reply: Callable[[entry.Reply], None],
    ) -> None:
        """Grants at once, without reserving anything."""
        prefills = self._usable(vm, 'prefill')
        decodes = self._usable(vm, 'decode')
        if not prefills or not decodes:
            reply(entry.refused(codes.NO_BACKEND, _RETRY_MS))
            return
        self._turn[vm] += 1
        decode = self._decode(vm, decodes)
        if self._full(decode):
            reply(entry.refused(codes.NO_CAPACITY, _RETRY_MS))
            return
        prefill = self._prefill(vm, prefills)
        grant = f'{msg.request}/{msg.attempt}'
        self._grants[grant] = messages.SlotGrant(
            grant=grant,
            prefill_worker=prefill,
            prefill_address='',
            decode_worker=decode,
            decode_address='',
            start_in_ms=0,
            expires_ms=3_000,
        )
        reply(self._grants[grant])

    def end(self, vm: int, msg: messages.SlotRelease) -> None:
        """Learns which worker failed."""
        granted = self._grants.pop(msg.grant, None)
        if granted is None:
            return
        failed = {
            'prefill-failed': granted.prefill_worker,
            'transfer-failed': granted.decode_worker,
            'decode-failed': granted.decode_worker,
        }.get(msg.result)
        worker = self._known[vm].get(failed or '')
        if worker is not None:
            worker.record_failure(self._world.clock.now)

    def _decode(self, vm: int, names: list[str]) -> str:
        raise NotImplementedError

    def _prefill(self, vm: int, names: list[str]) -> str:
        raise NotImplementedError

    def _full(self, decode: str) -> bool:
        """Whether the last report says so."""
        load = self._loads.get(decode)
        return load is not None and load.running >= load.slots

    def _running(self, name: str) -> int:
        load = self._loads.get(name)
        return load.running if load else 0

    def _backlog(self, name: str) -> int:
        load = self._loads.get(name)
        return load.backlog_tokens if load else 0

    def _on_load(self, name: str, load: backends.Load) -> None:
        self._loads[name] = load

    def _usable(self, vm: int, role: values.Role) -> list[str]:
        known = self._known[vm]
        names = []
        for server in self._world.listed:
            worker = known.setdefault(server.name, workers.Worker(server))
            if server.role == role and worker.is_usable(self._world.clock.now):
                names.append(server.name)
        return names


class RoundRobin(Local):
    """Each entry VM takes the workers in turn and refuses nobody."""

    def _decode(self, vm: int, names: list[str]) -> str:
        return names[self._turn[vm] % len(names)]

    def _prefill(self, vm: int, names: list[str]) -> str:
        return names[self._turn[vm] % len(names)]

    def _full(self, decode: str) -> bool:
        del decode
        return False


class LeastLoad(Local):
    """The least reported load; refuses when it is reported full."""

    def _decode(self, vm: int, names: list[str]) -> str:
        del vm
        return min(names, key=self._running)

    def _prefill(self, vm: int, names: list[str]) -> str:
        del vm
        return min(names, key=self._backlog)


class TwoChoices(Local):
    """The less loaded of two random workers; refuses when reported full."""

    def _decode(self, vm: int, names: list[str]) -> str:
        del vm
        return min(self._two(names), key=self._running)

    def _prefill(self, vm: int, names: list[str]) -> str:
        del vm
        return min(self._two(names), key=self._backlog)

    def _two(self, names: list[str]) -> list[str]:
        return self._rng.sample(names, min(2, len(names)))


class WorkerHomes(LeastLoad):
    """Each worker has a home of its own, with an exact count.

    Grants do not lapse here, so it is not run where an entry VM dies.
    """

    def __init__(self, wld: world.World) -> None:
        super().__init__(wld)
        self._held: dict[str, set[str]] = {}
        # When the booked prefills of a worker end, seconds.
        self._free_at: dict[str, float] = {}

    def ask(
        self,
        vm: int,
        msg: messages.SlotRequest,
        reply: Callable[[entry.Reply], None],
    ) -> None:
        """Asks the decode workers' homes in turn, then a prefill home."""
        decodes = sorted(
            self._usable(vm, 'decode'),
            key=lambda name: (self._running(name), self._rng.random()),
        )
        prefills = self._usable(vm, 'prefill')
        if not prefills or not decodes:
            reply(entry.refused(codes.NO_BACKEND, _RETRY_MS))
            return
        prefill = self._prefill(vm, prefills)
        self._next(vm, msg, decodes, prefill, reply)

    def end(self, vm: int, msg: messages.SlotRelease) -> None:
        """Gives the slot back to the decode worker's home."""
        granted = self._grants.get(msg.grant)
        super().end(vm, msg)
        if granted is None:
            return
        held = self._held[granted.decode_worker]
        self._world.send(
            vm,
            self._home(granted.decode_worker),
            msg,
            lambda: held.discard(msg.grant),
        )

    def _home(self, worker: str) -> int:
        return sum(worker.encode()) % len(self._world.vms)

    def _next(
        self,
        vm: int,
        msg: messages.SlotRequest,
        decodes: list[str],
        prefill: str,
        reply: Callable[[entry.Reply], None],
    ) -> None:
        if not decodes:
            self._full_everywhere(msg, reply)
            return
        decode, *rest = decodes
        held = self._held.setdefault(decode, set())
        granted = messages.SlotGrant(
            grant=f'{msg.request}/{msg.attempt}',
            prefill_worker=prefill,
            prefill_address='127.0.0.1:9000',
            decode_worker=decode,
            decode_address='127.0.0.1:9001',
            start_in_ms=0,
            expires_ms=3_000,
        )
        home = self._home(decode)

        def at_home() -> None:
            if len(held) >= workload.SLOTS:
                self._world.send(home, vm, granted, more)
            else:
                held.add(granted.grant)
                self._world.send(home, vm, granted, got)

        def more() -> None:
            self._next(vm, msg, rest, prefill, reply)

        def got() -> None:
            self._book(vm, msg, granted, reply)

        self._world.send(vm, home, msg, at_home)

    def _book(
        self,
        vm: int,
        msg: messages.SlotRequest,
        granted: messages.SlotGrant,
        reply: Callable[[entry.Reply], None],
    ) -> None:
        home = self._home(granted.prefill_worker)

        def at_home() -> None:
            now = self._world.clock.now
            took = msg.prompt_tokens / workload.PREFILL_RATE
            free_at = (
                max(now, self._free_at.get(granted.prefill_worker, 0.0)) + took
            )
            estimate = msg.waited_ms + (free_at - now) * 1000
            target = self._world.dep.service.first_answer_ms
            self._grants[granted.grant] = granted
            if target and estimate > target:
                self.end(
                    vm,
                    messages.SlotRelease(
                        service=msg.service,
                        grant=granted.grant,
                        result='cancelled',
                    ),
                )
                no = entry.refused(codes.NO_CAPACITY, _RETRY_MS)
                self._world.send(home, vm, no, lambda: reply(no))
                return
            self._free_at[granted.prefill_worker] = free_at
            self._world.send(home, vm, granted, lambda: reply(granted))

        self._world.send(vm, home, msg, at_home)

    def _full_everywhere(
        self, msg: messages.SlotRequest, reply: Callable[[entry.Reply], None]
    ) -> None:
        service = self._world.dep.service
        limit = service.first_answer_ms or service.patience_ms
        if msg.waited_ms + 4 * _AGAIN_MS > limit:
            reply(entry.refused(codes.NO_CAPACITY, _RETRY_MS))
        else:
            reply(messages.Queued(retry_in_ms=_AGAIN_MS, position=0))
