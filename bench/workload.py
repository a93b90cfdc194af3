"""The two deployments of the brief, and their seeded arrivals.

Speeds and sizes are assumptions, chosen so that prefill and decode are near
full together at capacity and a prefill costs as much as some eighty output
tokens. They are here in one place; every figure of the bench rests on them.
"""

import random
from typing import Final

import msgspec

from foxtaildale import values

# Speed of a prefill worker, tokens a second, and its piece in tokens.
PREFILL_RATE: Final = 14_000.0
PIECE: Final = 1_000
# How long a finished prefill lives unless fetched, seconds.
LIVES_S: Final = 0.9
# Time of a decode step: fixed part and part for each stream, seconds.
STEP_S: Final = 0.008
STEP_STREAM_S: Final = 0.0008
# Speed of the link out of a prefill worker, tokens of KV cache a second.
LINK_RATE: Final = 30_000.0
SLOTS: Final = 20
# Prefixes that an engine's cache holds.
CACHE_PREFIXES: Final = 5


class Deployment(msgspec.Struct, frozen=True, kw_only=True):
    """One user's places, services and load."""

    name: str
    data_centres: tuple[str, ...]
    entry_vms: int
    # The model service, and how many workers prefill and decode.
    model: str
    prefills: int
    decodes: int
    service: values.Service
    # The plain service beside it.
    plain: str
    # Targets that answers are measured by, seconds.
    first_answer_s: float
    between_tokens_s: float
    # Prompt and answer lengths: median, spread of the logarithm, least, most.
    prompt: tuple[float, float, int, int]
    answer: tuple[float, float, int, int]
    # Shared prefixes: how many, their length, share of requests with one.
    prefixes: tuple[int, int, float]
    # Length of a long and of a short run, seconds.
    long_s: float
    short_s: float


EISBRECHER: Final = Deployment(
    name='eisbrecher',
    data_centres=('halle-nord', 'halle-sued', 'halle-west'),
    entry_vms=6,
    model='enteis-llm',
    prefills=2,
    decodes=3,
    service=values.Service(
        kind='model',
        priority=1,
        first_answer_ms=1_000,
        between_tokens_ms=30,
        expected_tokens=128,
    ),
    plain='queue-app',
    first_answer_s=1.0,
    between_tokens_s=0.030,
    prompt=(1_100, 0.6, 100, 8_000),
    answer=(110, 0.5, 10, 400),
    prefixes=(8, 600, 0.6),
    long_s=120,
    short_s=40,
)

LANNA: Final = Deployment(
    name='lanna',
    data_centres=('hall-doi', 'hall-ping', 'hall-kok'),
    entry_vms=8,
    model='patrol-reader',
    prefills=2,
    decodes=3,
    service=values.Service(
        kind='model',
        once='claim',
        priority=6,
        between_tokens_ms=60,
        patience_ms=20_000,
        queue_limit=200,
        expected_tokens=600,
    ),
    plain='dispatch-desk',
    first_answer_s=25.0,
    between_tokens_s=0.060,
    prompt=(6_000, 0.5, 1_000, 24_000),
    answer=(560, 0.4, 100, 1_500),
    prefixes=(4, 500, 0.5),
    long_s=400,
    short_s=150,
)

ALL: Final = (EISBRECHER, LANNA)


class Arrival(msgspec.Struct, frozen=True):
    """One caller's request."""

    request: str
    # Seconds from the start.
    at: float
    # Number of the entry VM that the balancer picked.
    vm: int
    prompt: int
    answer: int
    # Digest of the shared prefix and its length; '' and 0 for none.
    prefix: str
    prefix_tokens: int
    # When the caller leaves unless answered whole; 0 for never, seconds.
    leaves_after: float


# Share of callers who leave on their own, and within how long, seconds.
LEAVERS: Final = 0.01
LEAVE_WITHIN_S: Final = 4.0


def _length(rng: random.Random, shape: tuple[float, float, int, int]) -> int:
    median, spread, least, most = shape
    drawn = median * rng.lognormvariate(0, spread)
    return round(min(max(drawn, least), most))


def step_s(batch: float) -> float:
    """Returns the time of a decode step at a batch size, seconds."""
    return STEP_S + STEP_STREAM_S * batch


def capacity(dep: Deployment) -> float:
    """Returns requests a second at which the first resource is full.

    Prefix reuse is left out: it is what a policy may gain.
    """
    rng = random.Random(f'{dep.name}-capacity')
    drawn = 20_000
    prompt = sum(_length(rng, dep.prompt) for _ in range(drawn)) / drawn
    answer = sum(_length(rng, dep.answer) for _ in range(drawn)) / drawn
    decode = dep.decodes * SLOTS / (answer * step_s(SLOTS))
    return min(dep.prefills * PREFILL_RATE / prompt, decode)


def arrivals(
    dep: Deployment, load: float, length_s: float, seed: int = 1
) -> list[Arrival]:
    """Returns seeded arrivals at a share of capacity."""
    rng = random.Random(f'{dep.name}-{load}-{seed}')
    rate = load * capacity(dep)
    found: list[Arrival] = []
    at = rng.expovariate(rate)
    kinds, prefix_tokens, share = dep.prefixes
    while at < length_s:
        prompt = _length(rng, dep.prompt)
        number = rng.randrange(kinds)
        shared = rng.random() < share and prompt > prefix_tokens
        leaves = rng.random() < LEAVERS
        found.append(
            Arrival(
                request=f'r{len(found)}',
                at=at,
                vm=rng.randrange(dep.entry_vms),
                prompt=prompt,
                answer=_length(rng, dep.answer),
                prefix=f'prefix-{number}' if shared else '',
                prefix_tokens=prefix_tokens if shared else 0,
                leaves_after=rng.uniform(0, LEAVE_WITHIN_S) if leaves else 0.0,
            )
        )
        at += rng.expovariate(rate)
    return found
