"""How the KV memory of the requests at one decode worker will grow.

A request takes its prompt at once and grows by a token at a time; when it ends
all of it comes free. Reserving the longest answer for each leaves half of the
memory empty; reserving the prompt alone lets the requests outgrow the memory,
and the engine then preempts one, whose prompt is read again. So the memory is
looked at as it will be: at each moment at which a request is thought to end,
what will all those have that still run?
"""

from collections.abc import Iterable
import math
from typing import Final

import msgspec

# A request that has outlived its expected length goes on for this part of
# what it has made: the mean rest of a log-normal length of spread 0.5.
_REST: Final = 0.35
# How much a caller's guess counts against what is typical, both on a log
# scale; guesses are right in the median and spread as the lengths themselves.
_GUESS_SHARE: Final = 0.5


class Running(msgspec.Struct, frozen=True):
    """One request at a decode worker."""

    prompt: int
    # Expected and longest answer, tokens.
    expected: float
    longest: int
    # When its first token comes or came, seconds.
    started_at: float


def expected_tokens(hinted: int, longest: int, typical: float) -> float:
    """Returns how long an answer is thought to get, tokens.

    Args:
        hinted: The caller's guess; 0 for none.
        longest: The bound that the caller gave.
        typical: What answers of the service usually have; 0 if not known.
    """
    if hinted and typical:
        log = math.log(hinted) * _GUESS_SHARE
        log += math.log(typical) * (1 - _GUESS_SHARE)
        found = math.exp(log)
    else:
        found = hinted or typical or longest
    return min(found, longest) if longest else found


def peak(requests: Iterable[Running], now: float, token_s: float) -> float:
    """Returns the most memory that the requests will have together, tokens.

    Args:
        requests: Those that run and the one that may be added.
        now: Seconds.
        token_s: Time of one token, seconds.
    """
    # Time until the end, memory now, and tokens that are yet to start.
    found = [_outlook(request, now, token_s) for request in requests]
    found.sort(reverse=True)
    most = bases = 0.0
    started = 0
    waits: list[float] = []
    # Latest end first: all before it in the list still run then. Those that
    # have started grow alike, so that only the few that have not are summed up
    # one by one; a home spends most of its time here.
    for end_s, base, delay_s in found:
        bases += base
        if delay_s > 0.0:
            waits.append(delay_s)
        else:
            started += 1
        grown_s = started * end_s
        for wait_s in waits:
            grown_s += max(0.0, end_s - wait_s)
        most = max(most, bases + grown_s / token_s)
    return most


def _outlook(
    request: Running, now: float, token_s: float
) -> tuple[float, float, float]:
    delay_s = max(0.0, request.started_at - now)
    made = max(0.0, now - request.started_at) / token_s
    if request.longest:
        made = min(made, request.longest)
    left = max(request.expected - made, _REST * made)
    if request.longest:
        left = min(left, request.longest - made)
    return delay_s + left * token_s, request.prompt + made, delay_s
