"""Enforces the limits of client accounts over all entry VMs together.

Each account has a coordinator (`asking`), which counts the usage of the account
(`Counting`) and is asked before a request runs (`Homes`). If no coordinator
replies, an entry VM enforces its own share of the limit (`Shares`).
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
from foxtaildaled import asking

# Timeout for a coordinator's reply, seconds. A round trip takes two
# milliseconds; a coordinator whose CPU quota is enforced in periods of a tenth
# of a second may need a full period.
ANSWER_S: Final = 0.15
# Interval and timeout of the reports of admitted units, seconds.
TELL_S: Final = 0.25
# Number of VMs that receive these reports: the successors of the coordinator.
HEIRS: Final = 2
# Number of VMs that are assumed to share a limit while their list is not known.
VMS: Final = 8


class Verdict(msgspec.Struct, frozen=True):
    """Whether a request of an account may run."""

    # 0 if it is admitted; otherwise the time until it would be, seconds.
    wait_s: float
    # Units that the account has left.
    level: float
    # Who decided: the account's coordinator, or this VM by its own share.
    by: Literal['home', 'share']


class Limiter(Protocol):
    """Enforces the limits of accounts; safe for concurrent use."""

    def admit(self, account: accounts.Account, cost: float) -> Verdict:
        """Admits a request, or returns the time until it would be admitted."""

    def give_back(
        self, account: accounts.Account, cost: float, verdict: Verdict
    ) -> None:
        """Refunds the cost of a request that did not run."""


class Counting:
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
        known: Callable[[], accounts.Accounts | None],
        book: allowances.Allowances,
        homes: asking.Asking,
        peers: ports.PeerGroup,
        clock: ports.Clock,
    ) -> None:
        # Returns the accounts of the configuration in force.
        self._accounts = known
        self._allowances = book
        self._coordinators = homes
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()

    def ask(self, msg: messages.AskCredit) -> messages.Credit | messages.Fail:
        """Handles a request for credit as the coordinator of an account."""
        account = self._account(msg.account)
        if account is None:
            return messages.Fail(code='account-not-known')
        with self._lock:
            decision = self._allowances.ask(self._clock(), account, msg.cost)
        return messages.Credit(
            wait_ms=int(decision.wait_s * 1000) + (decision.wait_s > 0),
            level=decision.level,
        )

    def take_back(self, msg: messages.GiveBack) -> messages.Pong:
        """Refunds the cost of a request that did not run."""
        account = self._account(msg.account)
        if account is not None:
            with self._lock:
                self._allowances.give_back(self._clock(), account, msg.cost)
        return messages.Pong()

    def told(self, msg: messages.LetIn) -> messages.Pong:
        """Counts the units that another coordinator admitted."""
        for name, cost in msg.used.items():
            account = self._account(name)
            if account is not None:
                with self._lock:
                    self._allowances.told(self._clock(), account, cost)
        return messages.Pong()

    def step(self) -> None:
        """Reports admitted units to the successors; called by a loop."""
        configured = self._accounts()
        with self._lock:
            used = self._allowances.news()
            if configured is not None:
                self._allowances.keep(configured.names())
        if not used:
            return
        successors = {
            address
            for name in used
            for address in self._coordinators.heirs(home_name(name), HEIRS)
        }
        msg = messages.LetIn(used=used)
        self._peers.ask_all(sorted(successors), msg, TELL_S)

    def levels(self) -> dict[str, dict[str, float]]:
        """Returns the levels of the accounts counted here, for operators."""
        with self._lock:
            return self._allowances.levels(self._clock())

    def _account(self, name: str) -> accounts.Account | None:
        configured = self._accounts()
        return configured.named(name) if configured is not None else None


class Shares:
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

    def admit(self, account: accounts.Account, cost: float) -> Verdict:
        """Admits a request, or returns the time until it would be admitted."""
        count = self._vm_count() or VMS
        with self._lock:
            decision = self._shares.ask(self._clock(), account, cost, count)
        return Verdict(decision.wait_s, decision.level, 'share')

    def give_back(
        self, account: accounts.Account, cost: float, verdict: Verdict
    ) -> None:
        """Refunds the cost of a request that did not run."""
        with self._lock:
            self._shares.give_back(self._clock(), account.name, cost)


class Homes:
    """Asks the coordinator of each account; a `Limiter`."""

    __slots__ = ('_coordinators', '_local_shares')

    def __init__(self, homes: asking.Asking, alone: Shares) -> None:
        self._coordinators = homes
        # Decides if no coordinator replies.
        self._local_shares = alone

    def admit(self, account: accounts.Account, cost: float) -> Verdict:
        """Admits a request, or returns the time until it would be admitted."""
        reply = self._coordinators.ask(
            home_name(account.name),
            messages.AskCredit(account=account.name, cost=cost),
            (messages.Credit,),
            ANSWER_S,
        )
        if reply is None:
            return self._local_shares.admit(account, cost)
        return Verdict(reply.wait_ms / 1000, reply.level, 'home')

    def give_back(
        self, account: accounts.Account, cost: float, verdict: Verdict
    ) -> None:
        """Refunds the cost of a request that did not run."""
        if verdict.by == 'share':
            self._local_shares.give_back(account, cost, verdict)
            return
        self._coordinators.tell(
            home_name(account.name),
            messages.GiveBack(account=account.name, cost=cost),
        )


def home_name(account: str) -> str:
    """Returns the name by which the coordinator of an account is chosen.

    The prefix distinguishes accounts from services of the same name.
    """
    return f'account {account}'
