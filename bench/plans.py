"""Plays the plan of a service against engines that are bound by memory.

    python -m bench.plans [LAYOUT ...] [--seeds N]

The decision objects that a router's home runs (`placement_plan` and what it
uses) give places at simulated engines to callers that wait, leave, are refused
and come back. Prints for each layout the worth in parts of what callers could
have: an answer in time counts whole, a late one a fifth, and prompts that were
read for nothing are taken off as they are priced by the users; then what was
late, refused, and read for nothing. The paused time makes a play of forty
seconds take one, and the same figures on every run. Layouts differ in lengths,
memories and rates, so that a policy is judged beyond one deployment.
"""

import argparse
from collections.abc import Callable
import math
import random
import statistics
from typing import Final

import msgspec

from bench import clock as clock_lib
from foxtaildale import fleet
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import placement_plan
from foxtaildale import retry_delays
from foxtaildale import routes
from foxtaildale import wait_limits

# Worth of a late answer, against one in time.
LATE: Final = 0.2
# Price of a thousand prompt tokens that were read for nothing, in answers.
WASTE_PER_K: Final = 0.27
# Way of a message, and of a prompt's memory to another engine, seconds.
WAY_S: Final = 0.002
MOVE_S: Final = 0.006
# Silence that a caller bears, in targets.
SILENCE_TARGETS: Final = 4.0
END_S: Final = 40.0
# Longest prompts and answers, in means.
PROMPT_MOST: Final = 2.1
ANSWER_MOST: Final = 1.9
SERVICE: Final = 's'


class Layout(msgspec.Struct, frozen=True, kw_only=True):
    """Engines, requests and faults of one deployment."""

    name: str
    engines: int
    # Part of them that reads prompts at the start.
    prefill: float = 0.35
    kv_tokens: int
    slots: int
    # Time of a token, and what each further request adds to it, seconds.
    token_s: float
    slot_s: float
    # Prompt tokens that an engine reads in a second.
    read_per_s: float
    switch_s: float = 6.0
    handle_s: float = 0.5
    # Mean and spread (of its logarithm) of prompts and answers, tokens; none is
    # over 2.1 and 1.9 times the mean.
    prompt: float
    prompt_spread: float = 0.5
    answer: float
    answer_spread: float = 0.5
    event_tokens: int = 64
    # Spread of callers' guesses of the answer.
    guess_spread: float = 0.5
    # Requests a second at ordinary times; times the usual from, to.
    rate: float
    bursts: tuple[tuple[float, float, float], ...] = ()
    # Engines that crash: when, part of them, for how long.
    crashes: tuple[tuple[float, float, float], ...] = ()
    target_s: float = 0.913
    gap_s: float = 0.3
    deadline_s: float = 14.2


_BURSTS: Final = ((6.0, 11.0, 1.8), (17.0, 21.0, 2.2), (27.0, 31.0, 1.8))
_CRASHES: Final = ((8.4, 0.21, 4.6), (14.8, 0.25, 2.0))

_SHIFTED: Final = Layout(
    name='shifted',
    engines=23,
    kv_tokens=47_406,
    slots=16,
    token_s=0.00058,
    slot_s=0.000019,
    read_per_s=33_333,
    prompt=3_200,
    answer=4_480,
    rate=17.3,
    bursts=_BURSTS,
    crashes=_CRASHES,
)

LAYOUTS: Final = (
    _SHIFTED,
    msgspec.structs.replace(_SHIFTED, name='heavier', rate=26.0),
    Layout(
        name='small memory',
        engines=56,
        kv_tokens=25_072,
        slots=12,
        token_s=0.0033,
        slot_s=0.00002,
        read_per_s=33_333,
        prompt=3_000,
        answer=800,
        event_tokens=16,
        rate=60.0,
        bursts=_BURSTS,
        crashes=_CRASHES,
        target_s=0.913,
    ),
    Layout(
        name='few engines',
        engines=5,
        kv_tokens=102_942,
        slots=64,
        token_s=0.00058,
        slot_s=0.00002,
        read_per_s=55_556,
        prompt=5_200,
        answer=4_416,
        rate=5.2,
        bursts=_BURSTS,
        crashes=((14.8, 0.25, 4.0),),
        target_s=0.9,
    ),
    # Two that no user has: short prompts with long answers at many slots, and
    # long prompts with short answers.
    Layout(
        name='talk',
        engines=16,
        kv_tokens=80_000,
        slots=48,
        token_s=0.004,
        slot_s=0.00005,
        read_per_s=20_000,
        prompt=600,
        answer=1_500,
        event_tokens=8,
        rate=44.0,
        bursts=_BURSTS,
        crashes=_CRASHES,
        target_s=0.6,
    ),
    Layout(
        name='documents',
        engines=30,
        kv_tokens=150_000,
        slots=24,
        token_s=0.002,
        slot_s=0.00005,
        read_per_s=40_000,
        prompt=16_000,
        answer=400,
        event_tokens=4,
        rate=24.0,
        bursts=_BURSTS,
        crashes=_CRASHES,
        target_s=1.5,
    ),
)


class Tally:
    """What came of one play."""

    def __init__(self) -> None:
        self.asked = 0
        self.in_time = 0
        self.late = 0
        # Refused for good, and requests that were refused and came back.
        self.refused = 0
        self.came_back = 0
        self.wasted_tokens = 0
        self.preempted = 0
        # Time between the first refusal of a request and its arrival.
        self.refused_after: list[float] = []

    def worth(self) -> float:
        """Returns what callers got, in parts of what they could have."""
        paid = WASTE_PER_K * self.wasted_tokens / 1000
        return (self.in_time + LATE * self.late - paid) / self.asked


class Request:
    """One request of a caller, with its tries."""

    __slots__ = (
        'answer',
        'came_at',
        'digest',
        'guess',
        'longest',
        'made',
        'name',
        'paused',
        'prompt',
        'tries',
        'try_at',
    )

    def __init__(
        self, number: int, now: float, layout: Layout, rng: random.Random
    ) -> None:
        self.digest = number + 1
        self.came_at = self.try_at = now
        self.tries = 1
        self.name = f'{number}/1'
        most = int(PROMPT_MOST * layout.prompt)
        self.prompt = _draw(rng, layout.prompt, layout.prompt_spread, most)
        self.longest = int(ANSWER_MOST * layout.answer)
        self.answer = _draw(
            rng, layout.answer, layout.answer_spread, self.longest
        )
        spread = layout.guess_spread
        middle = self.answer * math.exp(spread**2 / 2)
        self.guess = _draw(rng, middle, spread, self.longest)
        # Tokens made so far, and whether their flow stopped for long.
        self.made = 0.0
        self.paused = False


def _draw(rng: random.Random, mean: float, spread: float, most: int) -> int:
    drawn = mean * math.exp(spread * rng.gauss(0.0, 1.0) - spread**2 / 2)
    return min(most, max(16, int(drawn)))


class Engine:
    """One engine; a decode worker's requests share its time evenly."""

    def __init__(
        self, name: str, play: 'Play', stage: forwarding.Stage
    ) -> None:
        self.name = name
        self.stage = stage
        self.up = True
        # Whether it is changing its stage.
        self.away = False
        # Prefill: when it has read what it was given.
        self.free_at = 0.0
        self._play = play
        self._layout = play.layout
        self._clock = play.clock
        # Decode: running requests, and who hears of their ends.
        self._running: dict[Request, Callable[[bool], None]] = {}
        self._since = 0.0
        self._timer: clock_lib.Timer | None = None
        # Put back for want of memory, oldest first.
        self._put_back: dict[Request, Callable[[bool], None]] = {}
        # Until when it reads a prompt itself, seconds.
        self._reads_until = 0.0

    def used(self) -> float:
        """Returns the memory in use, tokens."""
        return sum(req.prompt + req.made for req in self._running)

    def take(self, req: Request, ended: Callable[[bool], None]) -> bool:
        """Begins to answer; False if it has no room."""
        self._advance()
        if not self.up or self.away or self.stage != 'decode':
            return False
        if self.used() + req.prompt + req.made > self._layout.kv_tokens:
            return False
        if len(self._running) >= self._layout.slots:
            return False
        self._running[req] = ended
        self._plan_next()
        return True

    def read_itself(self, req: Request) -> float:
        """Reads a prompt between tokens; returns when it is read."""
        self._advance()
        took_s = req.prompt / (0.5 * self._layout.read_per_s)
        self._reads_until = max(self._reads_until, self._clock.now) + took_s
        self._plan_next()
        return self._reads_until

    def crash(self) -> None:
        """Loses all that runs."""
        self.up = False
        lost = self._running | self._put_back
        self._running, self._put_back = {}, {}
        for ended in lost.values():
            ended(False)

    def _rate(self) -> float:
        """Returns tokens that each request gets in a second."""
        many = len(self._running)
        return 1 / (self._layout.token_s + self._layout.slot_s * many)

    def _advance(self) -> None:
        now = self._clock.now
        # While it reads a prompt itself nothing else moves.
        began = max(self._since, min(now, self._reads_until))
        for req in self._running:
            req.made += max(0.0, now - began) * self._rate()
        self._since = now

    def _plan_next(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = None
        if not self._running:
            return
        left = min(req.answer - req.made for req in self._running)
        idle_s = max(0.0, self._reads_until - self._clock.now)
        free = self._layout.kv_tokens - self.used()
        until_full = max(1.0, free / len(self._running))
        wait_s = idle_s + max(0.0, min(left, until_full)) / self._rate()
        self._timer = self._clock.after(wait_s + 1e-6, self._look)

    def _look(self) -> None:
        self._advance()
        for req in [r for r in self._running if r.made >= r.answer - 0.5]:
            ended = self._running.pop(req)
            ended(True)
        while self.used() > self._layout.kv_tokens and len(self._running) > 1:
            # The newest is put back, and read again when there is room.
            req = next(reversed(self._running))
            self._put_back[req] = self._running.pop(req)
            self._play.tally.preempted += 1
            self._play.tally.wasted_tokens += req.prompt
            req.paused = True
        for req in list(self._put_back):
            need = req.prompt + req.made
            if self.used() + need < 0.9 * self._layout.kv_tokens:
                self._running[req] = self._put_back.pop(req)
                self.read_itself(req)
        self._plan_next()


class Play:
    """One play of a layout."""

    def __init__(self, layout: Layout, seed: int) -> None:
        self.layout = layout
        self.clock = clock_lib.Clock()
        self.rng = random.Random(seed)
        self.tally = Tally()
        self.plan = placement_plan.Plan()
        readers = max(2, round(layout.prefill * layout.engines))
        self.engines = {
            f'e{n}': Engine(
                f'e{n}', self, 'prefill' if n < readers else 'decode'
            )
            for n in range(layout.engines)
        }
        self.service = routes.Service(
            name=SERVICE,
            kv_tokens=layout.kv_tokens,
            slots=layout.slots,
            handle_s=layout.handle_s,
            hold_s=2.0,
            event_tokens=layout.event_tokens,
        )
        self.route = routes.Route(
            name='r',
            host='h',
            path_prefix='/',
            kind='stream',
            targets=(routes.Target(SERVICE, 1),),
            timeout_s=layout.deadline_s,
            target_s=layout.target_s,
            gap_s=layout.gap_s,
        )
        self._count = 0
        # What the plan sees, kept so that it may be handed out as it is.
        self._listed: dict[str, fleet.ServerState] = {}
        for name in self.engines:
            self._list(name)

    def run(self) -> Tally:
        """Plays it to its end."""
        self._next_request()
        self.clock.every(0.5, self._change_stages)
        for at, part, for_s in self.layout.crashes:
            self.clock.at(at, lambda p=part, f=for_s: self._crash(p, f))  # type: ignore[misc]
        self.clock.run(END_S + self.layout.deadline_s)
        return self.tally

    def engines_now(
        self,
    ) -> tuple[list[fleet.ServerState], list[fleet.ServerState]]:
        """Returns the decode workers and the prefill workers."""
        listed = list(self._listed.values())
        return (
            [t for t in listed if t.backend.stage == 'decode'],
            [t for t in listed if t.backend.stage == 'prefill'],
        )

    def _list(self, name: str) -> None:
        engine = self.engines[name]
        self._listed[name] = fleet.ServerState(
            forwarding.Backend(
                id=name, service=SERVICE, address='x:1', stage=engine.stage
            )
        )

    def _crash(self, part: float, for_s: float) -> None:
        names = [n for n in self.engines if self.engines[n].up]
        for name in self.rng.sample(names, int(part * len(names))):
            self.engines[name].crash()
            # Two VMs met it, and the plan heard of it.
            self.clock.after(0.1, lambda n=name: self._unlist(n))  # type: ignore[misc]
            self.clock.after(for_s, lambda n=name: self._restart(n))  # type: ignore[misc]

    def _unlist(self, name: str) -> None:
        self._listed.pop(name, None)

    def _restart(self, name: str) -> None:
        self.plan.forget(name)
        self.engines[name].up = True
        self._list(name)

    def _change_stages(self) -> None:
        now = self.clock.now
        changes = self.plan.stage_changes(now, self.service, self.engines_now)
        for change in changes:
            name = change.backend.id
            self.plan.balance.record_order(now, name)
            engine = self.engines[name]
            engine.away = True
            stage = change.stage
            self.clock.after(
                self.layout.switch_s,
                lambda n=name, s=stage: self._changed(n, s),  # type: ignore[misc]
            )

    def _changed(self, name: str, stage: forwarding.Stage) -> None:
        engine = self.engines[name]
        engine.stage = stage
        engine.away = False
        if name in self._listed:
            self._list(name)

    def _next_request(self) -> None:
        now = self.clock.now
        if now >= END_S:
            return
        times = next((x for a, b, x in self.layout.bursts if a <= now < b), 1.0)
        self._count += 1
        if now > 0.0:
            self.tally.asked += 1
            req = Request(self._count, now, self.layout, self.rng)
            Caller(self, req).ask()
        gap_s = self.rng.expovariate(self.layout.rate * times)
        self.clock.after(gap_s, self._next_request)


class Caller:
    """Follows one request, as an entry VM does."""

    def __init__(self, play: Play, req: Request) -> None:
        self.play = play
        self.req = req
        self._first_at: float | None = None
        self._decode_from = 0.0
        self._prefill_s = 0.0
        self._placed_at = 0.0
        self._number = 0

    def ask(self) -> None:
        """Asks the plan for a place."""
        play, req, now = self.play, self.req, self.play.clock.now
        if now - req.try_at > SILENCE_TARGETS * play.layout.target_s:
            self._leave()
            return
        msg = messages.PlacementRequest(
            service=SERVICE,
            request=req.name,
            holder='vm',
            prompt_tokens=req.prompt + int(req.made),
            hinted_tokens=max(16, req.guess - int(req.made)),
            max_output_tokens=max(16, req.longest - int(req.made)),
            waited_ms=int(1000 * (now - req.try_at)),
            target_ms=int(1000 * play.layout.target_s),
            priority=1,
            request_digest=req.digest,
            response_started=self._first_at is not None,
            max_gap_ms=int(1000 * play.layout.gap_s),
            remaining_ms=max(1, int(1000 * self._left_s())),
        )
        reply = play.plan.request_placement(
            now, msg, play.service, play.engines_now
        )
        if isinstance(reply, messages.PlacementGrant):
            self._placed(reply)
        elif isinstance(reply, messages.DeadlineUnreachable):
            self._refused(0.0)
        else:
            self._wait(reply)

    def _left_s(self) -> float:
        return (
            self.req.try_at + self.play.layout.deadline_s - self.play.clock.now
        )

    def _wait(self, reply: messages.Queued) -> None:
        waited_s = self.play.clock.now - self.req.try_at
        patience_s = wait_limits.patience_s(
            self.play.route, is_retry=reply.is_retry
        )
        wait_s = reply.wait_ms / 1000
        over = waited_s > patience_s
        hopeless = wait_limits.exceeds_patience(wait_s, patience_s - waited_s)
        if over or (waited_s > 0 and hopeless):
            self._end(
                messages.PlacementRelease(
                    service=SERVICE, request=self.req.name
                )
            )
            self._refused(wait_s)
            return
        self.play.clock.after(reply.retry_in_ms / 1000, self.ask)

    def _refused(self, wait_s: float) -> None:
        play, req, now = self.play, self.req, self.play.clock.now
        if req.tries == 2 or self._first_at is not None:
            self.play.tally.refused += 1
            return
        play.tally.came_back += 1
        play.tally.refused_after.append(now - req.try_at)
        after_s = retry_delays.retry_after_s(
            max(0.8, wait_s), self._left_s(), play.rng
        )
        play.clock.after(after_s, self._come_back)

    def _come_back(self) -> None:
        self.req.tries += 1
        self.req.try_at = self.play.clock.now
        self._rename()
        self.ask()

    def _rename(self) -> None:
        self._number += 1
        self.req.name = f'{self.req.digest}/{self.req.tries}/{self._number}'

    def _leave(self) -> None:
        self._end(
            messages.PlacementRelease(service=SERVICE, request=self.req.name)
        )
        self.play.tally.refused += 1

    def _end(self, msg: messages.PlacementRelease) -> None:
        now = self.play.clock.now
        self.play.clock.after(
            WAY_S, lambda: self.play.plan.release(now + WAY_S, msg)
        )

    def _placed(self, place: messages.PlacementGrant) -> None:
        play, now = self.play, self.play.clock.now
        self._placed_at = now
        if not place.prefill_worker:
            engine = play.engines[place.decode_worker]
            ready_at = engine.read_itself(self.req)
        else:
            reader = play.engines[place.prefill_worker]
            starts_at = max(now + WAY_S, reader.free_at)
            reader.free_at = (
                starts_at + self.req.prompt / play.layout.read_per_s
            )
            ready_at = reader.free_at + MOVE_S
        play.clock.at(ready_at, lambda: self._decode(place))

    def _decode(self, place: messages.PlacementGrant) -> None:
        play, now = self.play, self.play.clock.now
        self._prefill_s = now - self._placed_at
        if now - self.req.try_at > SILENCE_TARGETS * play.layout.target_s:
            play.tally.wasted_tokens += self.req.prompt
            self._leave()
            return
        self._decode_from = now
        taken = play.engines[place.decode_worker].take(
            self.req, lambda whole: self._stopped(whole=whole)
        )
        if not taken:
            play.tally.wasted_tokens += self.req.prompt
            self._end(
                messages.PlacementRelease(
                    service=SERVICE,
                    request=self.req.name,
                    prefill_ms=int(1000 * self._prefill_s),
                    prefill_rejected=True,
                )
            )
            self._rename()
            self.ask()
            return
        if self._first_at is None:
            self._first_at = now

    def _stopped(self, *, whole: bool) -> None:
        play, req, now = self.play, self.req, self.play.clock.now
        tokens = max(1, int(req.made))
        self._end(
            messages.PlacementRelease(
                service=SERVICE,
                request=req.name,
                prefill_ms=int(1000 * self._prefill_s),
                decode_ms=max(1, int(1000 * (now - self._decode_from))),
                output_tokens=tokens,
                complete=whole,
            )
        )
        if not whole:
            # It goes on elsewhere; what was read is read again.
            play.tally.wasted_tokens += req.prompt
            req.paused = True
            self._rename()
            self.ask()
            return
        assert self._first_at is not None
        took_s = self._first_at - req.came_at
        if took_s <= play.layout.target_s and not req.paused:
            play.tally.in_time += 1
        elif now - req.try_at <= play.layout.deadline_s:
            play.tally.late += 1
        else:
            play.tally.refused += 1


def measure(layout: Layout, seeds: int) -> tuple[float, float, str]:
    """Returns mean worth, its standard error, and a line of figures."""
    tallies = [Play(layout, seed).run() for seed in range(seeds)]
    worths = [tally.worth() for tally in tallies]
    error = statistics.stdev(worths) / seeds**0.5 if seeds > 1 else 0.0
    asked = sum(tally.asked for tally in tallies)

    def part(count: Callable[[Tally], float]) -> float:
        return sum(count(tally) for tally in tallies) / asked

    after = [s for tally in tallies for s in tally.refused_after]
    line = (
        f'late {part(lambda t: t.late):.3f}'
        f' refused {part(lambda t: t.refused):.3f}'
        f' came back {part(lambda t: t.came_back):.3f}'
        f' after {statistics.median(after) if after else 0.0:.2f} s'
        f' wasted {part(lambda t: t.wasted_tokens):.0f}'
        f' preempted {part(lambda t: t.preempted):.4f}'
    )
    return statistics.mean(worths), error, line


def main() -> None:
    """Prints a line for each layout."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('layouts', nargs='*')
    parser.add_argument('--seeds', type=int, default=8)
    args = parser.parse_args()
    total = []
    for layout in LAYOUTS:
        if args.layouts and layout.name not in args.layouts:
            continue
        worth, error, line = measure(layout, args.seeds)
        total.append(worth)
        print(f'{layout.name:14} {worth:.4f} +- {error:.4f}  {line}')
    print(f'{"mean":14} {statistics.mean(total):.4f}')


if __name__ == '__main__':
    main()
