"""The fakes of one run, wired together."""

from collections.abc import Callable
import functools
import random
from typing import Final

from bench import clock
from bench import engines
from bench import meter
from bench import workload
from foxtaildale import backends
from foxtaildale import messages
from foxtaildale import values

# One way delays between processes, seconds: same VM, same data centre, other.
_SAME_VM_S: Final = 0.000_05
_SAME_PLACE_S: Final = 0.000_2
_OTHER_PLACE_S: Final = 0.000_5
# Load reports: how often, and their lag, seconds.
REPORT_S: Final = 0.5
REPORT_LAG_S: Final = 0.5
# Cache events: how often they are read, their lag, and the share that is lost.
_CACHE_LAG_S: Final = 1.0
_CACHE_LOST: Final = 0.2
# Time until the platform's list drops a dead worker, seconds.
LIST_LAG_S: Final = 4.0

OnLoad = Callable[[str, backends.Load], None]
OnCache = Callable[[str, backends.CacheEvent], None]
OnServers = Callable[[], None]


class World:
    """Engines, links, the network between VMs, and the meter."""

    def __init__(self, dep: workload.Deployment) -> None:
        self.dep = dep
        self.clock = clock.Clock()
        self.meter = meter.Meter(dep)
        self.rng = random.Random(f'{dep.name}-world')
        self.prefills = {
            f'p{i}': engines.PrefillWorker(f'p{i}', self.clock)
            for i in range(dep.prefills)
        }
        self.decodes = {
            f'd{i}': engines.DecodeWorker(f'd{i}', self.clock)
            for i in range(dep.decodes)
        }
        self.vms = [f'vm{i}' for i in range(dep.entry_vms)]
        self.dead_vms: set[int] = set()
        # VMs whose keeper no other VM reaches.
        self.cut_vms: set[int] = set()
        # Key of each attempt at the engines to the VM that works on it.
        self.holders: dict[str, int] = {}
        self.frozen = False
        self.listed = self._servers()
        self.on_load: list[OnLoad] = []
        self.on_cache: list[OnCache] = []
        self.on_servers: list[OnServers] = []
        self._reports: dict[str, backends.Load] = {}
        self.clock.every(REPORT_S, self._report)

    def send(
        self,
        sender: int,
        receiver: int,
        msg: messages.Message,
        deliver: Callable[[], None],
    ) -> None:
        """Sends a message from one VM to another; it may be lost."""
        delay = _SAME_VM_S
        if sender != receiver:
            places = len(self.dep.data_centres)
            same = sender % places == receiver % places
            delay = _SAME_PLACE_S if same else _OTHER_PLACE_S
            self.meter.messages += 1
            self.meter.bytes += len(messages.encode(msg))
            if {sender, receiver} & (self.cut_vms | self.dead_vms):
                return
        self.clock.after(delay, deliver)

    def cancel_holder(self, vm: int) -> None:
        """Cancels everything that the engines hold for an entry VM."""
        for key in [k for k, holder in self.holders.items() if holder == vm]:
            del self.holders[key]
            for prefill in self.prefills.values():
                prefill.link.cancel(key)
                prefill.cancel(key)
            for decode in self.decodes.values():
                decode.cancel(key)

    def drop(self, worker: str) -> None:
        """The platform's list drops a worker."""
        self.listed = tuple(s for s in self.listed if s.name != worker)
        for call in self.on_servers:
            call()

    def kill_worker(self, worker: str) -> None:
        """A worker dies; the list learns of it late."""
        if worker in self.prefills:
            self.prefills[worker].die()
        else:
            self.decodes[worker].die()
        self.clock.after(LIST_LAG_S, lambda: self.drop(worker))

    def _servers(self) -> tuple[values.BackendServer, ...]:
        return tuple(
            values.BackendServer(
                name=name,
                address=f'127.0.0.1:{9000 + number}',
                data_centre=self.dep.data_centres[0],
                service=self.dep.model,
                role='prefill' if name in self.prefills else 'decode',
                slots=workload.SLOTS,
            )
            for number, name in enumerate([*self.prefills, *self.decodes])
        )

    def _report(self) -> None:
        """Engines report; the report arrives late."""
        if not self.frozen:
            self._reports = self._loads()
        reports = self._reports

        def arrive() -> None:
            for name, load in reports.items():
                for call in self.on_load:
                    call(name, load)

        self.clock.after(REPORT_LAG_S, arrive)
        for name, prefill in self.prefills.items():
            self._publish(name, prefill)

    def _loads(self) -> dict[str, backends.Load]:
        lag_ms = round(REPORT_LAG_S * 1000)
        found = {}
        for name, prefill in self.prefills.items():
            if prefill.alive:
                found[name] = backends.Load(
                    name=name,
                    slots=workload.SLOTS,
                    running=0,
                    queued=prefill.queued(),
                    backlog_tokens=prefill.backlog(),
                    age_ms=lag_ms,
                )
        for name, decode in self.decodes.items():
            if decode.alive:
                found[name] = backends.Load(
                    name=name,
                    slots=workload.SLOTS,
                    running=decode.running(),
                    queued=0,
                    backlog_tokens=0,
                    age_ms=lag_ms,
                )
        return found

    def _publish(self, name: str, prefill: engines.PrefillWorker) -> None:
        """Cache events arrive late and with gaps."""
        events, prefill.events = prefill.events, []

        def arrive(event: backends.CacheEvent) -> None:
            for call in self.on_cache:
                call(name, event)

        for _, event in events:
            if self.rng.random() >= _CACHE_LOST:
                self.clock.after(_CACHE_LAG_S, functools.partial(arrive, event))
