"""Evidence of all entry VMs against a decision on crashes of servers.

Crashes are blamed on requests and on parts of prompts by the reports of broken
connections. Such a report may be wrong: a partition that refuses connections
looks like a crash, and a part that healthy requests have too is at every crash.
Each VM knows what completed there, so all VMs are queried before a decision.
"""

from collections.abc import Iterable
import itertools
import logging
import math
import threading
from typing import Final
from typing import TypeVar

from foxtaildale import fingerprint
from foxtaildale import messages
from foxtaildale import part_blame
from foxtaildale import part_completions
from foxtaildale import ports
from foxtaildale import server_uptimes
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import router_state

# Longest wait for the replies of all VMs, seconds.
REPLY_TIMEOUT_S: Final = 0.25
# How long after a crash a response must complete to show that the server did not
# crash, seconds: a slow VM reads the end of a response late.
RUNNING_MARGIN_S: Final = 0.3
# Time from a server's start until the list has its new entry, seconds. An older
# list does not tell whether a server that responds has restarted.
NEW_ENTRY_S: Final = 2.0
# Maximum number of servers in one log line.
MAX_LOGGED_SERVERS: Final = 8

_Item = TypeVar('_Item')


class CrashEvidence:
    """What this VM knows, and queries to all others; safe for concurrent use."""

    __slots__ = ('_clock', '_completions', '_lock', '_owner', '_peers')

    def __init__(
        self,
        *,
        owner: actors.StateOwner[router_state.RouterState],
        peers: ports.PeerGroup,
        clock: ports.Clock,
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._clock = clock
        # Guards `_completions`.
        self._lock = threading.Lock()
        self._completions = part_completions.PartCompletions()

    def record_completed(self, service: str, parts: Iterable[int]) -> None:
        """Records a request that completed without an error.

        Args:
            service: The service that ran it.
            parts: Fingerprints of the parts of its prompt.
        """
        now = self._clock()
        with self._lock:
            self._completions.record(now, service, parts)

    def completed(self, parts: Iterable[int]) -> tuple[int, ...]:
        """Returns those of some parts that completed on this VM recently."""
        now = self._clock()
        with self._lock:
            return self._completions.completed(now, parts)

    def reply_to(
        self, msg: messages.CrashEvidenceRequest
    ) -> messages.CrashEvidenceReply:
        """Returns what this VM knows against a decision."""
        now = self._clock()
        refuted = self._owner.run(
            lambda state, _: tuple(
                crashed
                for crashed in msg.servers
                if _is_refuted(state, crashed, now - crashed.age_ms / 1000)
            )
        )
        with self._lock:
            return messages.CrashEvidenceReply(
                running=_servers(refuted),
                refuted=refuted,
                completed=self._completions.completed(now, msg.parts),
                service_completes=self._completions.has_completed(
                    now, msg.service
                ),
            )

    def query(self, found: part_blame.PartSet) -> messages.CrashEvidenceReply:
        """Queries all VMs, and records what they know in the state.

        Args:
            found: The parts to decide on; empty for a decision on requests.

        Returns:
            What any of the VMs knows.
        """
        msg, addresses = self._owner.run(
            lambda state, now: (
                messages.CrashEvidenceRequest(
                    state.quarantine_state.crashes.crashed_servers(now),
                    found.service,
                    found.parts,
                ),
                state.peers(),
            )
        )
        received = self._peers.request_all(addresses, msg, REPLY_TIMEOUT_S)
        replies = [self.reply_to(msg)]
        replies += [
            reply
            for reply in received.values()
            if isinstance(reply, messages.CrashEvidenceReply)
        ]
        refuted = _union(reply.refuted for reply in replies)
        known = messages.CrashEvidenceReply(
            running=_servers(refuted),
            refuted=refuted,
            completed=_union(reply.completed for reply in replies),
            service_completes=any(reply.service_completes for reply in replies),
        )

        def record(state: router_state.RouterState, now: float) -> None:
            state.quarantine_state.crashes.remove_servers(known.refuted)
            state.quarantine_state.record_cleared_parts(now, known.completed)

        self._owner.run(record)
        logs.event(
            logging.INFO,
            'crashes examined',
            crashes=len(msg.servers),
            running=known.running[:MAX_LOGGED_SERVERS],
            service=found.service,
            parts=fingerprint.to_texts(found.parts),
            completed=fingerprint.to_texts(known.completed),
            service_completes=known.service_completes,
            asked=len(addresses) + 1,
            replied=len(replies),
        )
        return known


def _is_refuted(
    state: router_state.RouterState,
    crashed: messages.CrashedServer,
    crashed_at: float,
) -> bool:
    """Whether a server did not crash, by the responses to this VM.

    Args:
        state: The state of this VM.
        crashed: The incarnation of the server.
        crashed_at: When it is said to have crashed, seconds.
    """
    server, started_at = crashed.server, crashed.started_at
    ran_since = state.fleet.uptimes.ran_since(
        server, started_at, crashed_at + RUNNING_MARGIN_S
    )
    if ran_since <= crashed_at + server_uptimes.MIN_RESTART_S:
        return True
    if not started_at:
        # A server that does not name its start has a new id after each.
        return ran_since < math.inf
    # The incarnation that responded ran when the list was written, so it is the
    # one that the list names.
    server_state = state.fleet.server_state(server)
    current_at = state.servers_current_at
    return (
        server_state is not None
        and server_state.listed.born == started_at
        and current_at is not None
        and current_at >= ran_since + NEW_ENTRY_S
    )


def _servers(
    crashed: Iterable[messages.CrashedServer],
) -> tuple[str, ...]:
    """Returns the ids of servers, each once."""
    return tuple(dict.fromkeys(one.server for one in crashed))


def _union(collections: Iterable[Iterable[_Item]]) -> tuple[_Item, ...]:
    """Returns all items of some collections, each once."""
    return tuple(set(itertools.chain.from_iterable(collections)))
