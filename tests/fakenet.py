"""Processes, a lossy network and a clock that only the test moves.

A process may be killed (it comes back as another incarnation), frozen (all
that is meant for it waits) or suspended (its own clock stands still as well).
Messages are delayed, lost on either way, or come twice.
"""

from collections.abc import Callable
import heapq
import itertools
import random

from foxtaildale import messages

Done = Callable[[messages.Message | None], None]


class Clock:
    """The test's time and what is to happen, in order."""

    __slots__ = ('_events', '_order', 'now')

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls something later."""
        event = (self.now + delay_s, next(self._order), call)
        heapq.heappush(self._events, event)

    def run(self, until: float) -> None:
        """Lets everything happen up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until


class Process:
    """Base of a process: an address, an incarnation and a clock of its own."""

    def __init__(self, clock: Clock, address: str) -> None:
        self._clock = clock
        self.address = address
        self.lives = 1
        self._frozen_until = 0.0
        self._stood_still_s = 0.0

    @property
    def incarnation(self) -> str:
        return f'{self.address}#{self.lives}'

    @property
    def now(self) -> float:
        """What the process's own clock reads."""
        return self._clock.now - self._stood_still_s

    def start(self) -> None:
        """Makes the objects of a new incarnation."""

    def handle(self, msg: messages.Message, done: Done) -> None:
        """Serves a message; `done` takes the reply."""

    def kill(self) -> None:
        """Dies and comes back with nothing."""
        self.lives += 1
        self._frozen_until = 0.0
        self.start()

    def freeze(self, for_s: float, suspend: bool) -> None:
        """Stands still; a suspended process doesn't even see time pass."""
        self._frozen_until = max(self._frozen_until, self._clock.now + for_s)
        if suspend:
            self._stood_still_s += for_s

    def act(self, call: Callable[[], None]) -> None:
        """Does something in this incarnation, once it isn't frozen."""
        self.act_after(0.0, call)

    def act_after(self, delay_s: float, call: Callable[[], None]) -> None:
        """The same, later; never if the incarnation dies before."""
        life = self.lives

        def attempt() -> None:
            if self.lives != life:
                return
            wait_s = self._frozen_until - self._clock.now
            if wait_s > 0:
                self._clock.after(wait_s, attempt)
            else:
                call()

        self._clock.after(delay_s, attempt)


class Net:
    """Carries messages between processes."""

    def __init__(
        self, clock: Clock, rng: random.Random, loss: float, double: float
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._loss = loss
        self._double = double
        self._processes: dict[str, Process] = {}
        self._cuts: set[frozenset[str]] = set()
        self.messages = 0

    def add(self, process: Process) -> None:
        """Makes a process reachable."""
        self._processes[process.address] = process

    def cut(self, one: str, other: str, for_s: float) -> None:
        """Lets nothing pass between two addresses for a while."""
        pair = frozenset((one, other))
        self._cuts.add(pair)
        self._clock.after(for_s, lambda: self._cuts.discard(pair))

    def ask(
        self,
        asker: Process,
        address: str,
        msg: messages.Message,
        timeout_s: float,
        done: Done,
    ) -> None:
        """Sends a message; `done` gets its reply or, in time, None."""
        open_asks = [done]

        def settle(reply: messages.Message | None) -> None:
            if open_asks:
                open_asks.pop()(reply)

        def answer(reply: messages.Message | None) -> None:
            self._carry(
                address, asker.address, lambda: asker.act(lambda: settle(reply))
            )

        target = self._processes[address]

        def arrive() -> None:
            target.act(lambda: target.handle(msg, answer))

        asker.act_after(timeout_s, lambda: settle(None))
        self._carry(asker.address, address, arrive)

    def _carry(self, one: str, other: str, arrive: Callable[[], None]) -> None:
        copies = 2 if self._rng.random() < self._double else 1
        for _ in range(copies):
            self.messages += 1
            cut = frozenset((one, other)) in self._cuts
            if not cut and self._rng.random() >= self._loss:
                slow = self._rng.random() < 0.05
                delay_s = self._rng.uniform(0.001, 3.0 if slow else 0.02)
                self._clock.after(delay_s, arrive)
