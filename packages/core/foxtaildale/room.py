"""How long a request may wait for a place, and what is reserved without a plan.

Load answered: bursts of twice the usual traffic, in which the decode workers'
memory is full for seconds. A place at a decode worker is sure before the prompt
is read, since a prefilled prompt lives half a second and one that finds no
place is a prefill in vain.
"""

from typing import Final

from foxtaildale import forwarding
from foxtaildale import routes

# Engines count memory in blocks of this many tokens.
BLOCK: Final = 16
# Part of the guessed answer that is reserved where there is no plan. With the
# longest answer reserved half of the memory would stand empty; with less than
# what is guessed, requests outgrow their share and others are preempted.
OUTPUT_SHARE: Final = 1.25
# A caller of a stream leaves after a silence of two seconds, or of four times
# the target for the first event if that is longer. What waits this many times
# the target still leaves the time for prefill and a first event.
PATIENCE_TARGETS: Final = 2.6
PATIENCE_S: Final = 1.4
# A caller that came back does not come a second time, so its request waits for
# almost as long as its caller does; the rest is for the first event.
LAST_TARGETS: Final = 3.4
LAST_S: Final = 1.7
# Part of the target after which a request that waits is taken for late, until
# it is known how long prompts take; the prefill and the transfer take the rest.
LATE_PART: Final = 0.8
# What is left for the prefill is this many times its mean, and for the way and
# the first token this long, seconds.
READING_ROOM: Final = 1.3
FIRST_S: Final = 0.05
# Estimates of the wait are off by about this factor while a burst begins or
# ends; a request is given up early only beyond it.
HOPELESS: Final = 1.3
# Part of the time that an answer is thought to need in which it may end after
# all: guesses of the length are off by a factor of 1.5 to either side in two of
# three, so that one in ten needs less than this.
LUCKY: Final = 0.6
# Life of a reservation beyond which the prefill has failed, seconds.
HOLD_S: Final = 2.0


def tokens(call: forwarding.Call) -> int:
    """Returns the KV memory that a request grows to, tokens."""
    hinted = call.hinted_tokens or call.output_tokens
    grown = min(call.output_tokens, int(hinted * OUTPUT_SHARE))
    need = call.prompt_tokens + grown
    return -(-need // BLOCK) * BLOCK


def patience_s(route: routes.Route, *, came_back: bool = False) -> float:
    """Returns how long a request may wait for a place, seconds.

    Args:
        route: Of the request.
        came_back: Whether it was refused once and came back.
    """
    if came_back:
        return max(LAST_S, LAST_TARGETS * route.target_s)
    return max(PATIENCE_S, PATIENCE_TARGETS * route.target_s)


def hopeless(wait_s: float, patience_s: float) -> bool:
    """Whether a request is refused now rather than after its whole wait.

    The sooner its caller hears of it, the more of its time is left for coming
    back when the burst is over.

    Args:
        wait_s: How long it is thought to wait from now on.
        patience_s: How long it may still wait.
    """
    return wait_s > HOPELESS * patience_s


def unfinished(needs_s: float, left_s: float) -> bool:
    """Whether an answer would hardly end before its caller leaves.

    An answer that is cut by its caller's deadline has held memory for longer
    than most, for nobody. Refused at once, it costs nothing.

    Args:
        needs_s: How long prompt and answer are thought to take.
        left_s: How long the caller still waits.
    """
    return LUCKY * needs_s > left_s


def too_late(age_s: float, target_s: float, reading_s: float = 0.0) -> bool:
    """Whether the target for the first event can't be met any more.

    Those that can still meet it go first: serving a late one before them makes
    two late.

    Args:
        age_s: Time since the request came.
        target_s: Its target.
        reading_s: Mean time from a place to a read prompt; 0 if not known.
    """
    if not reading_s:
        return age_s > LATE_PART * target_s
    return age_s > target_s - READING_ROOM * reading_s - FIRST_S
