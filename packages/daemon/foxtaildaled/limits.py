"""Keeps client accounts to their limits, over all entry VMs together.

Each account has a home (`asking`), which counts what it uses (`Counting`) and
is asked before a request runs (`Homes`). Where no home answers, an entry VM
keeps to its own part (`Shares`).
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

# Longest wait for a home's answer, seconds. A round trip takes two
# milliseconds; a home whose processor time is doled out by the tenth of a
# second may need all of that.
ANSWER_S: Final = 0.15
# Time between tells of what a home let in, seconds.
TELL_S: Final = 0.25
# VMs that hear of it: those that would be home next.
HEIRS: Final = 2
# VMs that are believed to share a limit while their list is not known.
VMS: Final = 8


class Verdict(msgspec.Struct, frozen=True):
    """Whether a request of an account may run."""

    # 0 if it may; else how long until it would, seconds.
    wait_s: float
    # What the account has left, units.
    level: float
    # Who decided: the account's home, or this VM by its own part.
    by: Literal['home', 'share']


class Limiter(Protocol):
    """A way to keep accounts to their limits; safe for concurrent use."""

    def admit(self, account: accounts.Account, cost: float) -> Verdict:
        """Lets a request in, or says when it would be."""

    def give_back(
        self, account: accounts.Account, cost: float, verdict: Verdict
    ) -> None:
        """Takes back what a request counted as that did not run."""


class Counting:
    """What accounts use, as their home counts it; safe for concurrent use."""

    __slots__ = (
        '_accounts',
        '_allowances',
        '_clock',
        '_homes',
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
        self._homes = homes
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()

    def ask(self, msg: messages.AskCredit) -> messages.Credit | messages.Fail:
        """Answers as the home of an account."""
        account = self._account(msg.account)
        if account is None:
            return messages.Fail(code='account-not-known')
        with self._lock:
            found = self._allowances.ask(self._clock(), account, msg.cost)
        return messages.Credit(
            wait_ms=int(found.wait_s * 1000) + (found.wait_s > 0),
            level=found.level,
        )

    def take_back(self, msg: messages.GiveBack) -> messages.Pong:
        """Takes back what a request counted as that did not run."""
        account = self._account(msg.account)
        if account is not None:
            with self._lock:
                self._allowances.give_back(self._clock(), account, msg.cost)
        return messages.Pong()

    def told(self, msg: messages.LetIn) -> messages.Pong:
        """Takes what another home let in."""
        for name, cost in msg.used.items():
            account = self._account(name)
            if account is not None:
                with self._lock:
                    self._allowances.told(self._clock(), account, cost)
        return messages.Pong()

    def step(self) -> None:
        """Tells those that would be home next what was let in, as a loop."""
        known = self._accounts()
        with self._lock:
            used = self._allowances.news()
            if known is not None:
                self._allowances.keep(known.names())
        if not used:
            return
        heirs = {
            address
            for name in used
            for address in self._homes.heirs(home_name(name), HEIRS)
        }
        msg = messages.LetIn(used=used)
        self._peers.ask_all(sorted(heirs), msg, TELL_S)

    def levels(self) -> dict[str, dict[str, float]]:
        """Returns the accounts that are counted here, for a person to read."""
        with self._lock:
            return self._allowances.levels(self._clock())

    def _account(self, name: str) -> accounts.Account | None:
        known = self._accounts()
        return known.named(name) if known is not None else None


class Shares:
    """Each entry VM keeps to its own part; a `Limiter`."""

    __slots__ = ('_clock', '_entry_vms', '_lock', '_shares')

    def __init__(
        self, entry_vms: Callable[[], int], clock: ports.Clock
    ) -> None:
        # Returns how many are known.
        self._entry_vms = entry_vms
        self._clock = clock
        self._shares = shares.Shares()
        self._lock = threading.Lock()

    def admit(self, account: accounts.Account, cost: float) -> Verdict:
        """Lets a request in, or says when it would be."""
        count = self._entry_vms() or VMS
        with self._lock:
            found = self._shares.ask(self._clock(), account, cost, count)
        return Verdict(found.wait_s, found.level, 'share')

    def give_back(
        self, account: accounts.Account, cost: float, verdict: Verdict
    ) -> None:
        """Takes back what a request counted as that did not run."""
        with self._lock:
            self._shares.give_back(self._clock(), account.name, cost)


class Homes:
    """The home of each account is asked; a `Limiter`."""

    __slots__ = ('_alone', '_homes')

    def __init__(self, homes: asking.Asking, alone: Shares) -> None:
        self._homes = homes
        # Decides where no home answers.
        self._alone = alone

    def admit(self, account: accounts.Account, cost: float) -> Verdict:
        """Lets a request in, or says when it would be."""
        reply = self._homes.ask(
            home_name(account.name),
            messages.AskCredit(account=account.name, cost=cost),
            (messages.Credit,),
            ANSWER_S,
        )
        if reply is None:
            return self._alone.admit(account, cost)
        return Verdict(reply.wait_ms / 1000, reply.level, 'home')

    def give_back(
        self, account: accounts.Account, cost: float, verdict: Verdict
    ) -> None:
        """Takes back what a request counted as that did not run."""
        if verdict.by == 'share':
            self._alone.give_back(account, cost, verdict)
            return
        self._homes.tell(
            home_name(account.name),
            messages.GiveBack(account=account.name, cost=cost),
        )


def home_name(account: str) -> str:
    """Returns what a home of an account is the home of.

    Apart from services, which may have the same names.
    """
    return f'account {account}'
