"""Enforces the limits of client accounts over all entry VMs together.

Each account has a coordinator (`coordinator_client`), which counts the usage of
the account (`UsageCounter`) and is asked before a request runs
(`CoordinatorLimiter`). If no coordinator replies, an entry VM enforces its own
share of the limit (`LocalShares`).
"""

from collections.abc import Callable
import threading
from typing import Final
from typing import Literal
from typing import Protocol

import msgspec

from foxtaildale import accounts
from foxtaildale import allowances
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import shares
from foxtaildaled import coordinator_client

# Timeout for a coordinator's reply, seconds. A round trip takes two
# milliseconds; a coordinator whose CPU quota is enforced in periods of a tenth
# of a second may need a full period.
REPLY_TIMEOUT_S: Final = 0.15
# Interval and timeout of the reports of admitted units, seconds.
REPORT_INTERVAL_S: Final = 0.25
# Number of VMs that receive these reports: the successors of the coordinator.
SUCCESSORS: Final = 2
# Number of VMs that are assumed to share a limit while their list is not known.
ASSUMED_VMS: Final = 8


class Decision(msgspec.Struct, frozen=True):
    """Whether a request of an account may run."""

    # 0 if it is admitted; otherwise the time until it would be, seconds.
    wait_s: float
    # Units that the account has left.
    level: float
    # Who decided: the account's coordinator, or this VM by its own share.
    by: Literal['home', 'share']


class Limiter(Protocol):
    """Enforces the limits of accounts; safe for concurrent use."""

    def admit(self, account: accounts.Account, cost: float) -> Decision:
        """Admits a request, or returns the time until it would be admitted."""

    def refund(
        self, account: accounts.Account, cost: float, decision: Decision
    ) -> None:
        """Refunds the cost of a request that did not run."""


class UsageCounter:
    """Counts the usage of accounts at their coordinator.

    Safe for concurrent use.
    """

    __slots__ = (
        '_accounts',
        '_allowances',
        '_clock',
        '_coordinators',
        '_lock',
        '_peers',
    )

    def __init__(
        self,
        *,
        configured: Callable[[], accounts.Accounts | None],
        usage: allowances.Allowances,
        coordinators: coordinator_client.CoordinatorClient,
        peers: ports.PeerGroup,
        clock: ports.Clock,
    ) -> None:
        # Returns the accounts of the configuration in force.
        self._accounts = configured
        self._allowances = usage
        self._coordinators = coordinators
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()

    def admit(
        self, msg: messages.CreditRequest
    ) -> messages.CreditReply | messages.ErrorReply:
        """Handles a request for credit as the coordinator of an account."""
        account = self._account(msg.account)
        if account is None:
            return messages.ErrorReply(code='account-not-known')
        with self._lock:
            decision = self._allowances.admit(self._clock(), account, msg.cost)
        return messages.CreditReply(
            wait_ms=int(decision.wait_s * 1000) + (decision.wait_s > 0),
            remaining=decision.level,
        )

    def refund(self, msg: messages.CreditRefund) -> messages.Pong:
        """Refunds the cost of a request that did not run."""
        account = self._account(msg.account)
        if account is not None:
            with self._lock:
                self._allowances.refund(self._clock(), account, msg.cost)
        return messages.Pong()

    def count_remote(self, msg: messages.UsageReport) -> messages.Pong:
        """Counts the units that another coordinator admitted."""
        for name, cost in msg.admitted.items():
            account = self._account(name)
            if account is not None:
                with self._lock:
                    self._allowances.count_remote(self._clock(), account, cost)
        return messages.Pong()

    def report_admitted(self) -> None:
        """Reports admitted units to the successors; called by a loop."""
        configured = self._accounts()
        with self._lock:
            used = self._allowances.drain_admitted()
            if configured is not None:
                self._allowances.retain(configured.names())
        if not used:
            return
        successors = {
            address
            for name in used
            for address in self._coordinators.successor_addresses(
                coordinator_name(name), SUCCESSORS
            )
        }
        msg = messages.UsageReport(admitted=used)
        self._peers.request_all(sorted(successors), msg, REPORT_INTERVAL_S)

    def levels(self) -> dict[str, dict[str, float]]:
        """Returns the levels of the accounts counted here, for operators."""
        with self._lock:
            return self._allowances.levels(self._clock())

    def _account(self, name: str) -> accounts.Account | None:
        configured = self._accounts()
        return configured.by_name(name) if configured is not None else None


class LocalShares:
    """Enforces this VM's own share of each limit; a `Limiter`."""

    __slots__ = ('_clock', '_lock', '_shares', '_vm_count')

    def __init__(
        self, entry_vms: Callable[[], int], clock: ports.Clock
    ) -> None:
        # Returns the number of entry VMs that are known.
        self._vm_count = entry_vms
        self._clock = clock
        self._shares = shares.Shares()
        self._lock = threading.Lock()

    def admit(self, account: accounts.Account, cost: float) -> Decision:
        """Admits a request, or returns the time until it would be admitted."""
        count = self._vm_count() or ASSUMED_VMS
        with self._lock:
            decision = self._shares.admit(self._clock(), account, cost, count)
        return Decision(decision.wait_s, decision.level, 'share')

    def refund(
        self, account: accounts.Account, cost: float, decision: Decision
    ) -> None:
        """Refunds the cost of a request that did not run."""
        with self._lock:
            self._shares.refund(self._clock(), account.name, cost)


class CoordinatorLimiter:
    """Asks the coordinator of each account; a `Limiter`."""

    __slots__ = ('_coordinators', '_local_shares')

    def __init__(
        self,
        coordinators: coordinator_client.CoordinatorClient,
        local_shares: LocalShares,
    ) -> None:
        self._coordinators = coordinators
        # Decides if no coordinator replies.
        self._local_shares = local_shares

    def admit(self, account: accounts.Account, cost: float) -> Decision:
        """Admits a request, or returns the time until it would be admitted."""
        reply = self._coordinators.request(
            coordinator_name(account.name),
            messages.CreditRequest(account=account.name, cost=cost),
            (messages.CreditReply,),
            REPLY_TIMEOUT_S,
        )
        if reply is None:
            return self._local_shares.admit(account, cost)
        return Decision(reply.wait_ms / 1000, reply.remaining, 'home')

    def refund(
        self, account: accounts.Account, cost: float, decision: Decision
    ) -> None:
        """Refunds the cost of a request that did not run."""
        if decision.by == 'share':
            self._local_shares.refund(account, cost, decision)
            return
        self._coordinators.notify(
            coordinator_name(account.name),
            messages.CreditRefund(account=account.name, cost=cost),
        )


def coordinator_name(account: str) -> str:
    """Returns the name by which the coordinator of an account is chosen.

    The prefix distinguishes accounts from services of the same name.
    """
    return f'account {account}'
