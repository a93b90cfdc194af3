"""Decides whether this entry VM may be the coordinator of a service.

Entry VMs may be replaced one after the other, every two seconds. Rendezvous
hashing would assign the services of the old process to the new one immediately.
The coordinator would then change twice for each replaced VM, possibly during a
burst, and VMs that have not noticed a change would continue to use the other
one. A new process therefore becomes a coordinator only after a delay, unless no
other VM has been up for longer.
"""

import heapq
import threading
from typing import Final

from foxtaildale import coordinator_choice
from foxtaildale import messages
from foxtaildale import ports
from foxtaildaled import actors
from foxtaildaled import router_state

# Time after its start during which a process leaves the coordinator role to
# older processes, seconds. If VMs are replaced every two seconds, each is down
# for four seconds, so one of eight has been up for ten seconds at any moment.
MATURITY_DELAY_S: Final = 10.0
# Interval between checks for older processes, and timeout for the replies,
# seconds.
POLL_S: Final = 0.5
REPLY_TIMEOUT_S: Final = 0.25
# Number of VMs that are asked; they are always the same ones. It is large
# enough that almost every VM asks an older one after half of all VMs were
# killed at once. If many VMs started together and asked all others, they would
# open a connection for each pair.
SAMPLE_SIZE: Final = 8


class Eligibility:
    """Tracks the fitness of this entry VM.

    A loop calls `check_older_vms`.
    """

    __slots__ = (
        '_clock',
        '_entry_vm',
        '_is_oldest',
        '_mature_at',
        '_owner',
        '_peers',
        '_stopping',
    )

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
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
        self._mature_at = clock()
        if not first_start:
            self._mature_at += MATURITY_DELAY_S
        # Whether no other VM that replies has been up for longer.
        self._is_oldest = False

    def ineligibility_reason(self) -> str:
        """Returns the code why this VM is not fit; empty if it is fit."""
        if self._stopping.is_set():
            return 'stopping'
        return '' if self._is_mature or self._is_oldest else 'young'

    def probe_reply(self) -> messages.EligibilityReply:
        """Returns the reply to a probe."""
        stopping = self._stopping.is_set()
        return messages.EligibilityReply(
            eligible=not self.ineligibility_reason(),
            established=self._is_mature and not stopping,
        )

    def check_older_vms(self) -> None:
        """Checks for older VMs until the delay has passed."""
        if self._is_mature:
            return
        addresses = self._owner.run(lambda state, _: state.peers())
        if not addresses:
            return
        sample = heapq.nlargest(
            SAMPLE_SIZE,
            addresses,
            key=lambda peer: coordinator_choice.score(self._entry_vm, peer),
        )
        replies = self._peers.request_all(
            sample, messages.EligibilityRequest(), REPLY_TIMEOUT_S
        )
        self._is_oldest = not any(
            isinstance(reply, messages.EligibilityReply) and reply.established
            for reply in replies.values()
        )

    @property
    def _is_mature(self) -> bool:
        return self._clock() >= self._mature_at
