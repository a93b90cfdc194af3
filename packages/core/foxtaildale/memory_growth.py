"""How the KV memory of the requests at one decode worker will grow.

A request takes the memory of its prompt at once and grows by one token at a
time; all of it is freed when the request ends. Reserving the maximum output of
each request leaves half of the memory unused. Reserving only the prompts lets
the requests outgrow the memory, and the engine then preempts a request, whose
prompt is prefilled again. The forecast therefore takes each moment at which a
request is expected to end, and sums the memory of all requests that still run
at that moment.
"""

from collections.abc import Iterable
import math
from typing import Final

import msgspec

# A request that has outlived its expected length is expected to generate this
# part of its tokens in addition: the mean remainder of a log-normal length with
# a spread of 0.5.
_REMAINDER_PART: Final = 0.35
# Weight of the caller's hint against the typical length, both on a log scale.
# The median of the hints is right, and they spread as widely as the lengths.
_HINT_WEIGHT: Final = 0.5


class Running(msgspec.Struct, frozen=True):
    """One request at a decode worker."""

    # Tokens of the prompt.
    prompt: int
    # Expected and maximum output, tokens.
    expected: float
    longest: int
    # When it generates its first token, seconds; may be in the past.
    started_at: float


def expected_tokens(
    hinted_tokens: int, max_output_tokens: int, typical_tokens: float
) -> float:
    """Returns the expected length of a response, tokens.

    Args:
        hinted_tokens: The caller's hint; 0 for none.
        max_output_tokens: The maximum that the caller set; 0 for none.
        typical_tokens: Typical length of the service's responses; 0 if not
            known.
    """
    if hinted_tokens and typical_tokens:
        log = math.log(hinted_tokens) * _HINT_WEIGHT
        log += math.log(typical_tokens) * (1 - _HINT_WEIGHT)
        expected = math.exp(log)
    else:
        expected = hinted_tokens or typical_tokens or max_output_tokens
    return min(expected, max_output_tokens) if max_output_tokens else expected


def peak_tokens(
    requests: Iterable[Running], now: float, token_s: float
) -> float:
    """Returns the peak memory of the requests together, tokens.

    Args:
        requests: The running requests and the one that may be added.
        now: Seconds.
        token_s: Time of one token, seconds.
    """
    outlooks = [_forecast(request, now, token_s) for request in requests]
    outlooks.sort(reverse=True)
    max_tokens = total_base = 0.0
    started = 0
    delays: list[float] = []
    # The request that ends last comes first: those before a request in the list
    # still run when it ends. Started requests grow at the same rate, so only
    # the few that have not started are summed one by one. A coordinator spends
    # most of its processor time in this loop.
    for end_s, base, delay_s in outlooks:
        total_base += base
        if delay_s > 0.0:
            delays.append(delay_s)
        else:
            started += 1
        grown_s = started * end_s
        for other_delay_s in delays:
            grown_s += max(0.0, end_s - other_delay_s)
        max_tokens = max(max_tokens, total_base + grown_s / token_s)
    return max_tokens


def _forecast(
    request: Running, now: float, token_s: float
) -> tuple[float, float, float]:
    """Returns the time until its end, its memory now and its start delay.

    Times are in seconds, memory in tokens.
    """
    delay_s = max(0.0, request.started_at - now)
    generated = max(0.0, now - request.started_at) / token_s
    if request.longest:
        generated = min(generated, request.longest)
    remaining = max(request.expected - generated, _REMAINDER_PART * generated)
    if request.longest:
        remaining = min(remaining, request.longest - generated)
    return delay_s + remaining * token_s, request.prompt + generated, delay_s
