"""Ways to keep client accounts to their limits, side by side.

    python -m bench.quota

Plays the requests of one account over many entry VMs by three ways, against one
bucket that hears of every request at once. `home`: the account's home is asked
before a request runs. `shares`: each VM keeps to its part. `after`: each VM lets
in by what it heard last, and tells the home behind it. Prints for each: the
worst window as a part of what is allowed, what was refused below the limit as a
part of what the one bucket lets in, and messages a second over all VMs.

The paused time jumps from request to request; a message takes `DELAY_S`.
"""

from collections.abc import Callable
from collections.abc import Iterator
import heapq
import itertools
import random
from typing import Final
from typing import Protocol

import msgspec

from foxtaildale import accounts
from foxtaildale import allowances
from foxtaildale import shares
from foxtaildale import token_bucket

# One way of a message between entry VMs, seconds.
DELAY_S: Final = 0.001
# Until a home that is lost is found out, seconds: the wait for one answer.
LOST_S: Final = 0.15
# Time between tells of a home to those that follow it, seconds.
TELL_S: Final = 0.25
END_S: Final = 40.0
LIMIT: Final = accounts.Limit(
    unit='token', rate=29_000.0, burst=29_000.0, plain_tokens=200
)
TOLERANCE: Final = allowances.Tolerance(
    window_s=8.0, overage=0.1, slack=120_000.0
)
ACCOUNT: Final = accounts.Account(name='a', limit=LIMIT)
# Times of its rate that the account asks for, at ordinary times.
USUAL: Final = 1 / 1.8
# Part of its requests that carry a prompt, and what those count as.
PROMPTS: Final = 0.14
PROMPT_TOKENS: Final = (4_000, 15_000)


class Play(msgspec.Struct, frozen=True):
    """What happens in one play."""

    name: str
    entry_vms: int = 87
    # Spans with more requests: begin, end, times the usual.
    hot: tuple[tuple[float, float, float], ...] = ()
    # When the account's home is lost for good.
    home_lost: tuple[float, ...] = ()
    # When all VMs lose what they know.
    all_lost: tuple[float, ...] = ()


PLAYS: Final = (
    Play('usual', 16),
    Play('usual', 87),
    Play('usual', 300),
    Play('bursts', hot=((6, 11, 1.8), (17, 21, 2.3), (27, 31, 1.9))),
    Play('hot', 16, hot=((5, 16, 7.5),)),
    Play('hot', 87, hot=((5, 16, 7.5),)),
    Play('hot', 300, hot=((5, 16, 7.5),)),
    Play('hot, home lost', hot=((5, 16, 7.5),), home_lost=(8.0, 9.0, 10.0)),
    Play('hot, all lost', hot=((5, 16, 7.5),), all_lost=(8.0, 10.0)),
)


class Way(Protocol):
    """A way to keep the account to its limit."""

    # Messages sent so far.
    messages: int

    def ask(self, now: float, vm: int, cost: float) -> bool:
        """Whether a request that comes at a VM may run."""

    def home_lost(self, now: float) -> None:
        """The home is gone."""

    def all_lost(self, now: float) -> None:
        """All VMs start anew."""


class Ideal:
    """One bucket that hears of all at once; the measure for the others."""

    def __init__(self, _play: Play) -> None:
        self.messages = 0
        self._bucket = token_bucket.Bucket(LIMIT, 0.0, LIMIT.burst)

    def ask(self, now: float, vm: int, cost: float) -> bool:
        """Whether a request that comes at a VM may run."""
        return not self._bucket.try_spend(now, cost)

    def home_lost(self, now: float) -> None:
        """Loses nothing."""

    def all_lost(self, now: float) -> None:
        """Loses nothing."""


class Home:
    """The home is asked; those that follow it are told what it let in."""

    def __init__(self, play: Play) -> None:
        self.messages = 0
        self._vms = play.entry_vms
        self._lost_until = 0.0
        self._tell_at = 0.0
        self._home = _new_home(0.0, first=True)
        self._heir = _new_home(0.0, first=True)

    def ask(self, now: float, vm: int, cost: float) -> bool:
        """Whether a request that comes at a VM may run."""
        if now >= self._tell_at:
            self._tell(now)
        if now < self._lost_until:
            # The wait for the answer is over when the next one is asked.
            self.messages += 1
            now = self._lost_until
        self.messages += 2
        return not self._home.admit(now + DELAY_S, ACCOUNT, cost).wait_s

    def home_lost(self, now: float) -> None:
        """The next one follows, with what it was told."""
        self._lost_until = now + LOST_S
        self._home = self._heir
        self._heir = _new_home(now, first=False)

    def all_lost(self, now: float) -> None:
        """All VMs start anew."""
        self._home = _new_home(now, first=False)
        self._heir = _new_home(now, first=False)

    def _tell(self, now: float) -> None:
        self._tell_at = now + TELL_S
        for cost in self._home.drain_admitted().values():
            self.messages += 4
            self._heir.count_remote(now, ACCOUNT, cost)


class Shares:
    """Each VM keeps to its part."""

    def __init__(self, play: Play) -> None:
        self.messages = 0
        self._vms = play.entry_vms
        self.all_lost(0.0)

    def ask(self, now: float, vm: int, cost: float) -> bool:
        """Whether a request that comes at a VM may run."""
        answer = self._shares[vm].admit(now, ACCOUNT, cost, self._vms)
        return not answer.wait_s

    def home_lost(self, now: float) -> None:
        """Nobody is the home."""

    def all_lost(self, now: float) -> None:
        """All VMs start anew."""
        self._shares = [shares.Shares() for _ in range(self._vms)]


class After:
    """Each VM lets in by what it heard last, and tells the home behind it."""

    def __init__(self, play: Play) -> None:
        self.messages = 0
        self._vms = play.entry_vms
        self._order = itertools.count()
        # Replies on their way: when, number, VM, level at the home.
        self._replies: list[tuple[float, int, int, float]] = []
        self._begin(0.0, first=True)

    def ask(self, now: float, vm: int, cost: float) -> bool:
        """Whether a request that comes at a VM may run."""
        self._hear(now)
        if self._levels[vm].try_spend(now, cost):
            return False
        self.messages += 2
        self._home.count_remote(now + DELAY_S, ACCOUNT, cost)
        level = self._home.admit(now + DELAY_S, ACCOUNT, 0.0).level
        reply = (now + 2 * DELAY_S, next(self._order), vm, level)
        heapq.heappush(self._replies, reply)
        return True

    def home_lost(self, now: float) -> None:
        """The next one knows nothing."""
        self._home = _new_home(now, first=False)

    def all_lost(self, now: float) -> None:
        """All VMs start anew."""
        self._begin(now, first=False)

    def _begin(self, now: float, *, first: bool) -> None:
        self._home = _new_home(now, first=first)
        self._levels = [
            token_bucket.Bucket(LIMIT, now, LIMIT.burst)
            for _ in range(self._vms)
        ]

    def _hear(self, now: float) -> None:
        while self._replies and self._replies[0][0] <= now:
            at, _, vm, level = heapq.heappop(self._replies)
            self._levels[vm] = token_bucket.Bucket(LIMIT, at, level)


def _new_home(now: float, *, first: bool) -> allowances.Allowances:
    return allowances.Allowances(TOLERANCE, now, first_start=first)


WAYS: Final[dict[str, Callable[[Play], Way]]] = {
    'home': Home,
    'shares': Shares,
    'after': After,
}


class Figures(msgspec.Struct, frozen=True):
    """What came of one play by one way."""

    # Worst window, as a part of what is allowed in it.
    worst: float
    # Refused below the limit, as a part of what the measure lets in.
    below: float
    messages_per_s: float


def requests(play: Play, seed: int) -> Iterator[tuple[float, int, float]]:
    """Yields time, VM and cost of each request."""
    rng = random.Random(seed)
    mean = (1 - PROMPTS) * LIMIT.plain_tokens + PROMPTS * sum(PROMPT_TOKENS) / 2
    usual_per_s = USUAL * LIMIT.rate / mean
    now = 0.0
    while now < END_S:
        times = next((x for a, b, x in play.hot if a <= now < b), 1.0)
        now += rng.expovariate(usual_per_s * times)
        prompt = rng.random() < PROMPTS
        cost = rng.uniform(*PROMPT_TOKENS) if prompt else LIMIT.plain_tokens
        yield now, rng.randrange(play.entry_vms), cost


def let_in(play: Play, way: Way, seed: int) -> list[tuple[float, float]]:
    """Returns time and cost of what a way lets in."""
    faults = sorted(
        [(at, way.home_lost) for at in play.home_lost]
        + [(at, way.all_lost) for at in play.all_lost],
        key=lambda fault: fault[0],
    )
    found = []
    for now, vm, cost in requests(play, seed):
        while faults and faults[0][0] <= now:
            at, strike = faults.pop(0)
            strike(at)
        if way.ask(now, vm, cost):
            found.append((now, cost))
    return found


def measure(play: Play, name: str, seed: int) -> Figures:
    """Plays one way against the measure."""
    way = WAYS[name](play)
    found = let_in(play, way, seed)
    wanted = sum(cost for _, cost in let_in(play, Ideal(play), seed))
    allowed = LIMIT.rate * TOLERANCE.window_s + LIMIT.burst
    allowed += TOLERANCE.allowed_excess(LIMIT)
    return Figures(
        worst=_worst(found) / allowed,
        below=max(0.0, 1 - sum(cost for _, cost in found) / wanted),
        messages_per_s=way.messages / END_S,
    )


def _worst(found: list[tuple[float, float]]) -> float:
    worst = total = 0.0
    begin = 0
    for now, cost in found:
        total += cost
        while found[begin][0] <= now - TOLERANCE.window_s:
            total -= found[begin][1]
            begin += 1
        worst = max(worst, total)
    return worst


def main() -> None:
    """Prints the table; each figure is the mean of five seeds, worst the most."""
    print(f'{"play":16} {"VMs":>4}  ' + '  '.join(f'{w:>22}' for w in WAYS))
    for play in PLAYS:
        cells = []
        for name in WAYS:
            seen = [measure(play, name, seed) for seed in range(5)]
            worst = max(one.worst for one in seen)
            below = sum(one.below for one in seen) / len(seen)
            rate = sum(one.messages_per_s for one in seen) / len(seen)
            cells.append(f'{worst:6.2f} {below:7.3f} {rate:7.1f}')
        print(f'{play.name:16} {play.entry_vms:4}  ' + '  '.join(cells))


if __name__ == '__main__':
    main()
