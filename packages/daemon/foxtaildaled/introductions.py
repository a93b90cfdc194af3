"""What a process learns from others at its start."""

import logging
import random
import threading
import time
from typing import Final

from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import beliefs

# How long a process that starts asks others before it reads the store itself,
# seconds: at the first start of all, long before callers come, and else as long
# as an answer of one that is up takes. Then the longest wait for one answer, and
# the pause after all were asked.
FIRST_START_S: Final = 2.0
ANSWERED_S: Final = 0.1
SEED_ANSWER_S: Final = 0.12
SEED_PAUSE_S: Final = 0.03


class Introduction:
    """Learns at the start from an entry VM that is up, in place of the store.

    Each start would else read all there is, and with the store slow or down it
    would wait for it. The VMs that the settings name read the store; the others
    ask those. Where none knows enough at once, as when all VMs lost power, this
    one reads the store itself: callers wait for it. At the first start of all
    nobody does, and it can ask again.
    """

    __slots__ = (
        '_clock',
        '_done',
        '_limit_s',
        '_owner',
        '_patience_s',
        '_peers',
        '_seeds',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        peers: ports.Peers,
        own: str,
        seeds: tuple[str, ...],
        limit_s: float,
        first_start: bool,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        """Prepares it.

        Args:
            owner: Owns what the router believes.
            peers: The other entry VMs.
            own: Peer address of this entry VM.
            seeds: Peer addresses that the settings name.
            limit_s: Greatest age of what is taken, seconds.
            first_start: Whether all entry VMs start for the first time.
            clock: Seconds.
            rng: Chooses which seed is asked first.
        """
        self._owner = owner
        self._peers = peers
        # One that the settings name must read, since all others ask it.
        self._seeds = [] if own in seeds else rng.sample(seeds, len(seeds))
        self._limit_s = limit_s
        self._patience_s = FIRST_START_S if first_start else ANSWERED_S
        self._clock = clock
        self._done = threading.Event()

    def wait(self) -> None:
        """Returns when it is over, whatever came of it."""
        self._done.wait()

    def run(self) -> None:
        """Asks, for a while at most; does nothing once it is over."""
        if self._done.is_set():
            return
        end = self._clock() + self._patience_s
        asked = 0
        while self._seeds and (left_s := end - self._clock()) > 0:
            seed = self._seeds[asked % len(self._seeds)]
            if self._ask(seed, min(left_s, SEED_ANSWER_S)):
                break
            asked += 1
            if asked % len(self._seeds) == 0:
                time.sleep(SEED_PAUSE_S)
        self._done.set()

    def _ask(self, seed: str, answer_s: float) -> bool:
        """Asks one; returns whether it knew enough to begin with."""
        ask = self._owner.run(lambda state, now: state.ask(now))
        try:
            reply = self._peers.ask(seed, ask, answer_s)
        except errors.PortError as exc:
            logs.event(logging.INFO, 'peer lost', address=seed, error=str(exc))
            return False
        if not isinstance(reply, messages.RecordsReply):
            return False
        if reply.age_s > self._limit_s:
            return False

        def turn(state: beliefs.Beliefs, now: float) -> bool:
            state.take_reply(reply, now)
            return state.matcher is not None and bool(state.entry_vms)

        return self._owner.run(turn)
