"""Enforces the rate limits that backend servers report, over all entry VMs.

Limits are recorded as responses report them (`record_limit`). A send to a
server with a limit spends a token (`acquire`), and a loop requests more tokens
from the coordinator ahead of need (`exchange_tokens`). The coordinator
announces a new limit to all VMs at once, so that they need not discover it by
requests of their own. While no coordinator replies, each VM uses its own share
of the limit.
"""

from collections.abc import Callable
import logging
import threading
from typing import Final

from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import sendtokens
from foxtaildale_adapters import logs
from foxtaildaled import coordinator_client

# Subject by which the coordinator of server limits is chosen.
COORDINATOR_SUBJECT: Final = 'server limits'
# Interval between requests while a limit is known, and between checks
# otherwise, seconds.
REQUEST_INTERVAL_S: Final = 0.2
IDLE_INTERVAL_S: Final = 1.0
# Interval between requests for each entry VM, seconds. All VMs send their
# requests to one coordinator, so the interval grows with their number.
REQUEST_INTERVAL_PER_VM_S: Final = 0.001
# Longest wait for the coordinator's reply, and for those of all VMs, seconds.
REPLY_TIMEOUT_S: Final = 0.15


class SendLimits:
    """Limits of backend servers; safe for concurrent use."""

    __slots__ = (
        '_addresses',
        '_clock',
        '_coordinators',
        '_entry_vm',
        '_lock',
        '_peers',
        '_quota',
        '_tokens',
        'on_limit_changed',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        coordinators: coordinator_client.CoordinatorClient,
        peers: ports.PeerGroup,
        addresses: Callable[[], list[str]],
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._coordinators = coordinators
        self._peers = peers
        # Returns the peer addresses of the other entry VMs.
        self._addresses = addresses
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = sendtokens.Tokens()
        self._quota = sendtokens.Quota()
        # Wakes the loop.
        self.on_limit_changed: Callable[[], None] = lambda: None

    def record_limit(
        self, server: forwarding.Backend, limit: float | None
    ) -> None:
        """Records the limit that a server's response reports.

        Args:
            server: The server.
            limit: Requests per second; None if the response contains none.
        """
        previous = self._tokens.limit(server.id)
        if limit is None and previous is None:
            return
        with self._lock:
            self._tokens.set_limit(self._clock(), server.id, limit)
        if limit != previous:
            logs.event(
                logging.INFO,
                'server limit',
                server=server.id,
                limit=limit,
                before=previous,
            )
            self.on_limit_changed()

    def acquire(self, server: str) -> bool:
        """Spends a token for a send; returns whether it may be sent."""
        if self._tokens.limit(server) is None:
            return True
        with self._lock:
            return self._tokens.try_spend(self._clock(), server)

    def exhausted_servers(self) -> frozenset[str]:
        """Returns the ids of the servers that have no token left."""
        with self._lock:
            return self._tokens.request_exhausted(self._clock())

    def limits(self) -> dict[str, float]:
        """Returns the known limits by server id, for the state dump."""
        with self._lock:
            return self._tokens.limits()

    def interval_s(self) -> float:
        """Returns the time until the next request, seconds."""
        if not self.limits():
            return IDLE_INTERVAL_S
        return max(
            REQUEST_INTERVAL_S,
            REQUEST_INTERVAL_PER_VM_S * len(self._addresses()),
        )

    def exchange_tokens(self) -> None:
        """Requests the tokens that will be needed and announces changes."""
        with self._lock:
            requests = self._tokens.drain_requests(self._clock())
        if requests:
            self._request_tokens(requests)
        with self._lock:
            changes = self._quota.drain_changes(self._clock())
        if changes:
            msg = messages.SendTokensReply(grants=changes)
            self._peers.request_all(self._addresses(), msg, REPLY_TIMEOUT_S)

    def grant_tokens(
        self, msg: messages.SendTokensRequest
    ) -> messages.SendTokensReply:
        """Grants tokens to an entry VM as coordinator."""
        with self._lock:
            now = self._clock()
            return messages.SendTokensReply(
                grants=self._quota.request_tokens(now, msg.holder, msg.requests)
            )

    def apply_grants(self, msg: messages.SendTokensReply) -> messages.Pong:
        """Applies what the coordinator announced to all VMs."""
        with self._lock:
            self._tokens.apply_grants(self._clock(), msg.grants)
        return messages.Pong()

    def _request_tokens(
        self, requests: dict[str, messages.ServerSendRequest]
    ) -> None:
        msg = messages.SendTokensRequest(
            holder=self._entry_vm, requests=requests
        )
        reply = self._coordinators.request(
            COORDINATOR_SUBJECT,
            msg,
            (messages.SendTokensReply,),
            REPLY_TIMEOUT_S,
        )
        with self._lock:
            now = self._clock()
            if reply is not None:
                self._tokens.apply_grants(now, reply.grants)
                return
            self._tokens.grant_local_share(now, len(self._addresses()) + 1)
