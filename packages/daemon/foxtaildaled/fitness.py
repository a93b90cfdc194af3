"""Whether this entry VM may be the home of a service.

Load answered: entry VMs that are replaced one after the other, every two
seconds. Rendezvous hashing gives a new process the services of its predecessor
back at once; the home then moves twice for each VM, in the middle of a burst,
and whoever has not noticed goes on with the other one. A new process is a home
only after a while, unless no other VM has been up for longer.
"""

import heapq
import threading
from typing import Final

from foxtaildale import homes
from foxtaildale import messages
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import beliefs

# Time after its start in which a process leaves homes to older ones, seconds.
# Of VMs that are replaced every two seconds each is gone for four, so that one
# of eight is up for ten at any moment.
GROWN_S: Final = 10.0
# Time between looks for older ones, and the longest wait for answers, seconds.
LOOK_S: Final = 0.5
ANSWER_S: Final = 0.25
# VMs that are asked, always the same ones: enough that hardly any asks none that
# is older where half of all were killed at once. Many that start together and
# ask all others would open a connection for each pair.
SAMPLE: Final = 8


class Fitness:
    """Says whether to ask this entry VM; `step` is called by a loop."""

    __slots__ = (
        '_clock',
        '_entry_vm',
        '_grown_at',
        '_oldest',
        '_owner',
        '_peers',
        '_stopping',
    )

    def __init__(
        self,
        *,
        owner: actors.Owner[beliefs.Beliefs],
        peers: ports.PeerGroup,
        stopping: threading.Event,
        clock: ports.Clock,
        first_start: bool,
        entry_vm: str,
    ) -> None:
        self._entry_vm = entry_vm
        self._owner = owner
        self._peers = peers
        self._stopping = stopping
        self._clock = clock
        self._grown_at = clock()
        if not first_start:
            self._grown_at += GROWN_S
        # Whether no other VM that answers has been up for longer.
        self._oldest = False

    def reason(self) -> str:
        """Returns why it is not fit, as a code; empty if it is."""
        if self._stopping.is_set():
            return 'stopping'
        return '' if self._grown or self._oldest else 'young'

    def reply(self) -> messages.HomeReply:
        """Answers a probe."""
        stopping = self._stopping.is_set()
        return messages.HomeReply(
            fit=not self.reason(), grown=self._grown and not stopping
        )

    def step(self) -> None:
        """Looks for older VMs, as long as this one is young."""
        if self._grown:
            return
        known = self._owner.run(lambda state, _: state.peers())
        if not known:
            return
        addresses = heapq.nlargest(
            SAMPLE, known, key=lambda peer: homes.score(self._entry_vm, peer)
        )
        replies = self._peers.ask_all(addresses, messages.AskHome(), ANSWER_S)
        self._oldest = not any(
            isinstance(reply, messages.HomeReply) and reply.grown
            for reply in replies.values()
        )

    @property
    def _grown(self) -> bool:
        return self._clock() >= self._grown_at
