"""Copies the router state from another entry VM at the start of a process."""

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
from foxtaildaled import router_state

# How long a starting process asks other VMs before it reads the store itself,
# seconds. `FIRST_START_TIMEOUT_S` applies when all entry VMs start for the
# first time, long before there are callers. Otherwise `RESTART_TIMEOUT_S`
# applies, which is as long as the reply of a running VM takes. `SEED_TIMEOUT_S`
# is the timeout for one reply, `SEED_PAUSE_S` the pause after all seeds were
# asked.
FIRST_START_TIMEOUT_S: Final = 2.0
RESTART_TIMEOUT_S: Final = 0.1
SEED_TIMEOUT_S: Final = 0.12
SEED_PAUSE_S: Final = 0.03


class InitialState:
    """Copies the state from a running entry VM instead of the store.

    Otherwise each start would read all records, and would wait while the store
    is slow or down. The VMs that the settings name as seeds read the store; the
    others ask the seeds. If no seed has a sufficient state in time, for example
    after a power failure of all VMs, this VM reads the store itself, because
    callers are waiting for it. At the first start of all VMs there are no
    callers yet, so it has time to ask again.
    """

    __slots__ = (
        '_clock',
        '_config_topic',
        '_done',
        '_max_age_s',
        '_owner',
        '_peers',
        '_seeds',
        '_timeout_s',
    )

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        config_topic: str,
        peers: ports.Peers,
        own_address: str,
        seeds: tuple[str, ...],
        max_age_s: float,
        first_start: bool,
        clock: ports.Clock,
        rng: random.Random,
    ) -> None:
        """Initializes the introduction.

        Args:
            owner: Owner of the router state.
            config_topic: Topic of the configuration. A large version of it is
                left to the loop that follows the topic.
            peers: The other entry VMs.
            own_address: Peer address of this entry VM.
            seeds: Peer addresses that the settings name.
            max_age_s: Maximum age of the state that is copied, seconds.
            first_start: Whether all entry VMs start for the first time.
            clock: Returns the current time, seconds.
            rng: Chooses the order of the seeds.
        """
        self._owner = owner
        self._config_topic = config_topic
        self._peers = peers
        # A seed must read the store itself, since all other VMs ask it.
        self._seeds = (
            [] if own_address in seeds else rng.sample(seeds, len(seeds))
        )
        self._max_age_s = max_age_s
        self._timeout_s = (
            FIRST_START_TIMEOUT_S if first_start else RESTART_TIMEOUT_S
        )
        self._clock = clock
        self._done = threading.Event()

    def wait(self) -> None:
        """Waits until the introduction has succeeded or failed."""
        self._done.wait()

    def run(self) -> None:
        """Asks the seeds for a limited time; does nothing once it is over."""
        if self._done.is_set():
            return
        deadline = self._clock() + self._timeout_s
        attempts = 0
        while self._seeds and (left_s := deadline - self._clock()) > 0:
            seed = self._seeds[attempts % len(self._seeds)]
            if self._ask_seed(seed, min(left_s, SEED_TIMEOUT_S)):
                break
            attempts += 1
            if attempts % len(self._seeds) == 0:
                time.sleep(SEED_PAUSE_S)
        self._done.set()

    def _ask_seed(self, seed: str, timeout_s: float) -> bool:
        """Asks a seed; returns whether the state is sufficient to start."""
        requested_at, request = self._owner.run(
            lambda state, now: (now, state.build_request(now, timeout_s))
        )
        try:
            reply = self._peers.request(seed, request, timeout_s)
        except errors.PortError as exc:
            logs.event(logging.INFO, 'peer lost', address=seed, error=str(exc))
            return False
        if not isinstance(reply, messages.RecordsReply):
            return False
        if reply.store_age_s > self._max_age_s:
            return False

        def apply_reply(state: router_state.RouterState, now: float) -> bool:
            state.apply_peer_reply(
                reply, now, requested_at=requested_at, sender=seed
            )
            return bool(state.entry_vms) and (
                state.matcher is not None or state.is_behind(self._config_topic)
            )

        return self._owner.run(apply_reply)
