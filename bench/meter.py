"""Counts of one run, and the figures made of them."""

import collections
from typing import Final

import msgspec

from bench import workload

# Results of a request, beside `refused-CODE`.
GOOD: Final = 'good'
LATE: Final = 'late'
SLOW: Final = 'slow'
LEFT: Final = 'left'
FAILED: Final = 'failed'


class Figures(msgspec.Struct, kw_only=True):
    """What one run comes to."""

    requests: int
    # Answers a second that met both targets, and their share of requests.
    goodput: float
    good_share: float
    # Goodput over what the clairvoyant planner reached, and over the bound.
    of_planner: float = 0.0
    of_bound: float = 0.0
    # Tokens prefilled for nobody over all prefilled: all, and those that the
    # caller's own leaving does not explain.
    wasted: float
    wasted_own: float
    # Whole answers, whatever the targets.
    whole: int
    results: dict[str, int]
    retries: int
    # Between VMs, a request.
    messages: float
    bytes: float
    # Largest difference of two entry VMs' good shares.
    unfair: float
    first_p50_ms: int
    first_p99_ms: int


class Meter:
    """Counts during one run."""

    def __init__(self, dep: workload.Deployment) -> None:
        self.dep = dep
        self.results: dict[str, str] = {}
        self.vms: dict[str, int] = {}
        self.first: list[float] = []
        self.whole = 0
        self.retries = 0
        self.messages = 0
        self.bytes = 0
        # Tokens prefilled by what became of them.
        self.tokens: collections.Counter[str] = collections.Counter()

    def result(self, request: str, vm: int, result: str) -> None:
        """Takes a request's result; a good one is never replaced."""
        if self.results.get(request) != GOOD:
            self.results[request] = result
            self.vms[request] = vm

    def answered(
        self, request: str, vm: int, first_s: float, token_s: float
    ) -> None:
        """Takes a whole answer: time to its first token, and between them."""
        self.whole += 1
        self.first.append(first_s)
        if first_s > self.dep.first_answer_s:
            self.result(request, vm, LATE)
        elif token_s > self.dep.between_tokens_s:
            self.result(request, vm, SLOW)
        else:
            self.result(request, vm, GOOD)

    def figures(self, requests: int, length_s: float, total: int) -> Figures:
        """Returns the figures of a run that prefilled `total` tokens."""
        results = collections.Counter(self.results.values())
        wasted = total - self.tokens['used']
        own = wasted - self.tokens['left']
        first = sorted(self.first) or [0.0]
        return Figures(
            requests=requests,
            goodput=round(results[GOOD] / length_s, 3),
            good_share=round(results[GOOD] / max(1, requests), 4),
            wasted=round(wasted / max(1, total), 5),
            wasted_own=round(own / max(1, total), 5),
            whole=self.whole,
            results=dict(sorted(results.items())),
            retries=self.retries,
            messages=round(self.messages / max(1, requests), 2),
            bytes=round(self.bytes / max(1, requests)),
            unfair=round(self._unfair(), 4),
            first_p50_ms=round(first[len(first) // 2] * 1000),
            first_p99_ms=round(first[len(first) * 99 // 100] * 1000),
        )

    def _unfair(self) -> float:
        total: collections.Counter[int] = collections.Counter()
        good: collections.Counter[int] = collections.Counter()
        for request, result in self.results.items():
            total[self.vms[request]] += 1
            good[self.vms[request]] += result == GOOD
        shares = [good[vm] / count for vm, count in total.items()]
        return max(shares, default=0) - min(shares, default=0)
