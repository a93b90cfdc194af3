"""Entry VMs that keep up with a store, under a virtual clock.

The loops of the router run as they are, each in its own thread. Only one thread
runs at a time, and the clock jumps to the next moment at which one wakes up.
Replies take as long as the links of both VMs need for their bytes.
"""

from collections.abc import Callable
from collections.abc import Sequence
import heapq
import itertools
import random
import threading
from typing import Any
from typing import cast

import msgspec
import pytest

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import options
from foxtaildale import ports
from foxtaildale_adapters import metrics
from foxtaildale_platform import records
from foxtaildaled import actors
from foxtaildaled import initial_state
from foxtaildaled import loops
from foxtaildaled import process
from foxtaildaled import router_state

CODEC = records.Codec()
# One way between two VMs, or a VM and the store, seconds.
LATENCY_S = 0.002
# Time limit of a response of the store beyond the wait that it asks for.
STORE_TIMEOUT_S = 0.9
_LOOPS = ('config', 'servers', 'members', 'peers')


class _EndedError(BaseException):
    """Ends a thread of a world that is closed."""


class _Task:
    """A thread that runs only while the clock lets it."""

    def __init__(self, vm: 'Vm | None') -> None:
        self.vm = vm
        self.turn = threading.Semaphore(0)
        # Number of times that it was woken; a later wake-up is outdated.
        self.woken = 0


class Clock:
    """Virtual seconds, and the threads that wait for them."""

    def __init__(self) -> None:
        self.now = 100.0
        self._heap: list[tuple[float, int, _Task, int]] = []
        self._order = itertools.count()
        self._yielded = threading.Semaphore(0)
        self._local = threading.local()
        self._closed = False
        self._threads: list[tuple[_Task, threading.Thread]] = []

    def spawn(self, target: Callable[[], None], vm: 'Vm | None') -> None:
        """Starts a thread that takes its first turn now."""
        task = _Task(vm)

        def run() -> None:
            self._local.task = task
            task.turn.acquire()
            try:
                if not self._closed:
                    target()
            except _EndedError:
                pass
            self._yielded.release()

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append((task, thread))
        thread.start()
        self._push(self.now, task)

    def call_at(self, when: float, call: Callable[[], None]) -> None:
        """Has something done at a time."""

        def run() -> None:
            self.sleep(max(0.0, when - self.now))
            call()

        self.spawn(run, None)

    def sleep(self, seconds: float) -> None:
        """Waits, in a thread of this clock."""
        task = self._local.task
        self._push(self.now + max(0.0, seconds), task)
        self._yield(task)

    def run(self, until: float) -> None:
        """Lets everything happen up to a time."""
        while self._heap and self._heap[0][0] <= until:
            when, _, task, woken = heapq.heappop(self._heap)
            if woken != task.woken:
                continue
            if task.vm is not None and task.vm.frozen_until > when:
                self._push(task.vm.frozen_until, task)
                continue
            self.now = max(self.now, when)
            task.woken += 1
            task.turn.release()
            self._yielded.acquire()
        self.now = until

    def close(self) -> None:
        """Ends all threads."""
        self._closed = True
        for task, thread in self._threads:
            if thread.is_alive():
                task.turn.release()
                thread.join()

    def wait(self, event: 'Event', timeout_s: float | None) -> bool:
        """Waits until an event is set."""
        task = self._local.task
        if not event.flag and timeout_s != 0:
            event.waiting[task] = None
            if timeout_s is not None:
                self._push(self.now + max(0.0, timeout_s), task)
            self._yield(task)
            event.waiting.pop(task, None)
        return event.flag

    def wake(self, event: 'Event') -> None:
        """Sets an event."""
        event.flag = True
        for task in tuple(event.waiting):
            self._push(self.now, task)

    def _push(self, when: float, task: _Task) -> None:
        item = (when, next(self._order), task, task.woken)
        heapq.heappush(self._heap, item)

    def _yield(self, task: _Task) -> None:
        self._yielded.release()
        task.turn.acquire()
        if self._closed:
            raise _EndedError


class Event:
    """Stands in for `threading.Event`."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.flag = False
        # In order of arrival.
        self.waiting: dict[_Task, None] = {}

    def set(self) -> None:
        self._clock.wake(self)

    def clear(self) -> None:
        self.flag = False

    def is_set(self) -> bool:
        return self.flag

    def wait(self, timeout_s: float | None = None) -> bool:
        return self._clock.wait(self, timeout_s)


class _Thread:
    """Stands in for `threading.Thread`."""

    def __init__(
        self, world: 'World', target: Callable[[], None], **_: object
    ) -> None:
        self._world = world
        self._vm = world.making
        self._target = target

    def start(self) -> None:
        self._world.clock.spawn(self._target, self._vm)


class _Threading:
    """Stands in for the module `threading`."""

    def __init__(self, world: 'World') -> None:
        self.Event = lambda: Event(world.clock)
        self.Thread = lambda **fields: _Thread(world, **fields)


class _Time:
    """Stands in for the module `time`."""

    def __init__(self, clock: Clock) -> None:
        self.sleep = clock.sleep


class Link:
    """One direction of a VM's link."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        # Longest time that bytes waited behind others, seconds, and how many
        # were sent.
        self.worst_wait_s = 0.0
        self.bytes = 0

    def transfer(self, now: float, size: int) -> float:
        """Returns when the last byte has passed."""
        start = max(now, self._free_at)
        self.worst_wait_s = max(self.worst_wait_s, start - now)
        self.bytes += size
        self._free_at = start + size / self._bytes_per_s
        return self._free_at


class Topics:
    """What the store holds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, list[tuple[str, bytes]]] = {
            topic: []
            for topic in (
                CODEC.config_topic,
                CODEC.servers_topic,
                CODEC.members_topic,
            )
        }
        self.changed = {topic: Event(clock) for topic in self._records}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record."""
        self._records[topic].append((key, value))
        self.changed[topic].set()

    def end(self, topic: str) -> int:
        """Returns how many records a topic has."""
        return len(self._records[topic])

    def read(self, topic: str, offset: int) -> ports.KeyedRecords:
        """Returns the records from an offset on."""
        found = tuple(
            mirror.Entry(key=key, offset=number, value=value)
            for number, (key, value) in enumerate(self._records[topic])
            if number >= offset
        )
        return ports.KeyedRecords(self.end(topic), found)


class _Store:
    """A VM's client of the store."""

    def __init__(self, world: 'World', vm: 'Vm') -> None:
        self._world = world
        self._vm = vm

    def read_newest(self, topic: str) -> ports.KeyedRecords:
        return self._respond(topic, 0, 0.0)

    def wait_for_records(
        self, topic: str, offset: int, wait_s: float
    ) -> ports.KeyedRecords:
        return self._respond(topic, offset, wait_s)

    def put(self, topic: str, key: str, value: bytes) -> None:
        self._check()
        self._world.clock.sleep(2 * LATENCY_S)
        self._world.topics.put(topic, key, value)

    def put_if_unchanged(
        self, topic: str, key: str, value: bytes, end: int
    ) -> int:
        raise NotImplementedError

    def set_address(self, address: str) -> None:
        raise NotImplementedError

    def _respond(
        self, topic: str, offset: int, wait_s: float
    ) -> ports.KeyedRecords:
        self._check()
        clock, topics = self._world.clock, self._world.topics
        clock.sleep(LATENCY_S)
        if wait_s and topics.end(topic) <= offset:
            topics.changed[topic].clear()
            topics.changed[topic].wait(wait_s)
        found = topics.read(topic, offset)
        size = sum(len(entry.value) + 20 for entry in found.entries) + 200
        self._vm.store_reads += 1
        arrives = self._vm.down.transfer(clock.now, size)
        delay_s = arrives - clock.now + LATENCY_S + self._vm.store_delay_s
        limit_s = wait_s + STORE_TIMEOUT_S
        if delay_s > limit_s:
            clock.sleep(limit_s)
            raise errors.NoReplyError('response not complete in time')
        clock.sleep(delay_s)
        return found

    def _check(self) -> None:
        if self._vm.store_down:
            self._world.clock.sleep(2 * LATENCY_S)
            raise errors.NoReplyError('down')


class _Peers:
    """A VM's requests to the others."""

    def __init__(self, world: 'World', vm: 'Vm') -> None:
        self._world = world
        self._vm = vm

    def request(
        self, address: str, msg: messages.Message, timeout_s: float
    ) -> messages.Message:
        clock = self._world.clock
        began_at = clock.now
        peer = self._world.vms[address]
        size = len(messages.encode(msg))
        arrives = max(
            self._vm.up.transfer(began_at, size),
            peer.down.transfer(began_at, size),
        )
        clock.sleep(arrives - began_at + LATENCY_S)
        stalled_s = max(0.0, peer.frozen_until - clock.now)
        is_cut = self._vm.cut_off or peer.cut_off
        if is_cut or clock.now + stalled_s - began_at > timeout_s:
            return self._time_out(began_at, timeout_s)
        clock.sleep(stalled_s + peer.reply_delay_s)
        reply = messages.encode(
            peer.owner.run(lambda state, now: state.handle(msg, now))
        )
        size = len(reply)
        arrives = max(
            peer.up.transfer(clock.now, size),
            self._vm.down.transfer(clock.now, size),
        )
        if arrives + LATENCY_S - began_at > timeout_s:
            return self._time_out(began_at, timeout_s)
        clock.sleep(arrives - clock.now + LATENCY_S)
        return messages.decode(reply)

    def request_all(
        self, addresses: Sequence[str], msg: messages.Message, timeout_s: float
    ) -> dict[str, messages.Message]:
        raise NotImplementedError

    def _time_out(self, began_at: float, timeout_s: float) -> messages.Message:
        clock = self._world.clock
        clock.sleep(began_at + timeout_s - clock.now)
        raise errors.NoReplyError('no reply in time')


class Vm:
    """One entry VM: its state, its loops and its links."""

    def __init__(
        self,
        world: 'World',
        name: str,
        *,
        link_bytes_per_s: float,
        cores: float,
        leaving_s: float,
        seeds: tuple[str, ...],
    ) -> None:
        self.name = name
        self.up = Link(link_bytes_per_s)
        self.down = Link(link_bytes_per_s)
        self.frozen_until = 0.0
        # Whether it is partitioned from all other VMs.
        self.cut_off = False
        # Time that each of its replies takes, and each reply of the store to
        # it, beyond what the links need, seconds.
        self.reply_delay_s = 0.0
        self.store_delay_s = 0.0
        self.store_down = False
        self.store_reads = 0
        self.state = router_state.RouterState(
            CODEC,
            name,
            seeds,
            'here',
            random.Random(name),
            link_bytes_per_s=link_bytes_per_s,
        )
        self.owner = actors.StateOwner(self.state, lambda: world.clock.now)
        cfg = options.RouterOptions(
            entry_vm=name,
            data_centre='here',
            caller_address='',
            ready_address='',
            peer_address=name,
            admin_host='',
            store='',
            cores=cores,
            seeds=seeds,
            leaving_s=leaving_s,
            first_start=True,
        )
        self._loops = loops.make_loops(
            cfg,
            relay_address='',
            codec=CODEC,
            store=lambda: _Store(world, self),
            workers=cast(Any, None),
            owner=self.owner,
            peers=_Peers(world, self),
            client=cast(Any, _NoClient()),
            eligibility=cast(Any, _NoEligibility()),
            router_metrics=metrics.Metrics(),
            stopping=cast(Any, Event(world.clock)),
            on_read=lambda: None,
            clock=lambda: world.clock.now,
            rng=random.Random(name),
        )

    def start(self) -> None:
        """Starts the loops that follow the store."""
        for loop in self._loops:
            if loop.name in _LOOPS:
                loop.start()

    @property
    def version(self) -> int:
        """The configuration in force; -1 if there is none."""
        matcher = self.state.matcher
        return -1 if matcher is None else matcher.table.version

    def may_send_to(self, server: str) -> bool:
        """Whether it would send a request to a server now."""
        return self.owner.run(
            lambda state, now: state.fleet.usable(server, now) is not None
        )


class _NoClient:
    """Placements, which nobody requests here."""

    current_placements = None

    def probe_coordinators(self) -> None:
        raise NotImplementedError


class _NoEligibility:
    def check_older_vms(self) -> None:
        raise NotImplementedError


class World:
    """The store and the VMs; modules of the loops use its clock."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *, leaving_s: float = 2.0
    ) -> None:
        self.clock = Clock()
        self.topics = Topics(self.clock)
        self.vms: dict[str, Vm] = {}
        # The VM whose threads are being made.
        self.making: Vm | None = None
        self._leaving_s = leaving_s
        fake = _Threading(self)
        monkeypatch.setattr(process, 'threading', fake)
        monkeypatch.setattr(loops, 'threading', fake)
        monkeypatch.setattr(loops, 'time', _Time(self.clock))
        monkeypatch.setattr(initial_state, 'threading', fake)
        monkeypatch.setattr(initial_state, 'time', _Time(self.clock))

    def add(
        self,
        name: str,
        *,
        link_mbps: float = 5.0,
        cores: float = 0.5,
        seeds: tuple[str, ...] = (),
    ) -> Vm:
        """Adds an entry VM; its name is its address too."""
        vm = Vm.__new__(Vm)
        self.making = vm
        vm.__init__(  # type: ignore[misc]
            self,
            name,
            link_bytes_per_s=link_mbps * 125_000,
            cores=cores,
            leaving_s=self._leaving_s,
            seeds=seeds,
        )
        self.vms[name] = vm
        return vm

    def start(self) -> None:
        """Starts all VMs, and waits until they know each other."""
        for vm in self.vms.values():
            self.making = vm
            vm.start()
        self.making = None
        self.clock.run(self.clock.now + 12.0)

    def put_config(self, version: int, routes: int) -> None:
        """Publishes a configuration."""
        table = {
            'version': version,
            'routes': [
                {
                    'name': f'route-{number:05d}',
                    'host': f'host{number % 7}.example',
                    'path_prefix': f'/prefix{number:05d}/',
                    'kind': 'idempotent',
                    'timeout_ms': 1200,
                    'target_latency_ms': 208,
                    'priority': 2,
                    'service': 'plain',
                    'max_attempts': 2,
                    'public': False,
                    'sticky_sessions': False,
                    'resumable': False,
                    'target_gap_ms': 0,
                }
                for number in range(routes)
            ],
            'services': [{'name': 'plain'}],
        }
        self.topics.put(
            CODEC.config_topic, CODEC.config_key, msgspec.json.encode(table)
        )

    def put_server(self, name: str, seq_no: int, state: str = 'ready') -> None:
        """Writes the entry of a backend server."""
        entry = {
            'service': 'plain',
            'address': '10.0.0.1:80',
            'zone': 'here',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_left_ms': 0,
            'seq_no': seq_no,
        }
        self.topics.put(CODEC.servers_topic, name, msgspec.json.encode(entry))

    def close(self) -> None:
        """Ends all threads."""
        self.clock.close()
        for vm in self.vms.values():
            vm.owner.stop()
