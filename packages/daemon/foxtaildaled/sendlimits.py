"""Keeps to the limits that backend servers name, over all entry VMs together.

What answers say is noted as they come (`told`), a send to a server with a limit
takes a token (`take`), and a loop asks the home for more ahead of need (`step`). All
VMs hear of a limit as soon as the home does, so that not each of them finds out by
requests of its own. Where no home answers, each keeps to its part.
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
from foxtaildaled import asking

# What it is the home of.
HOME: Final = 'server limits'
# Time between asks while a limit is known, and between looks else, seconds.
ASK_S: Final = 0.2
REST_S: Final = 1.0
# Time between asks for each entry VM, seconds: all of them ask one home.
ASK_EACH_S: Final = 0.001
# Longest wait for the home's answer, and for those of all VMs, seconds.
ANSWER_S: Final = 0.15


class SendLimits:
    """Limits of backend servers; safe for concurrent use."""

    __slots__ = (
        '_addresses',
        '_clock',
        '_entry_vm',
        '_homes',
        '_lock',
        '_peers',
        '_quota',
        '_tokens',
        'on_told',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        homes: asking.Asking,
        peers: ports.PeerGroup,
        addresses: Callable[[], list[str]],
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        self._homes = homes
        self._peers = peers
        # Returns the peer addresses of the other entry VMs.
        self._addresses = addresses
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = sendtokens.Tokens()
        self._quota = sendtokens.Quota()
        # Wakes the loop.
        self.on_told: Callable[[], None] = lambda: None

    def told(self, server: forwarding.Backend, limit: float | None) -> None:
        """Takes what a server's answer says of its limit.

        Args:
            server: The server.
            limit: Requests a second; None if it names none.
        """
        before = self._tokens.limit(server.id)
        if limit is None and before is None:
            return
        with self._lock:
            self._tokens.named(self._clock(), server.id, limit)
        if limit != before:
            logs.event(
                logging.INFO,
                'server limit',
                server=server.id,
                limit=limit,
                before=before,
            )
            self.on_told()

    def take(self, server: str) -> bool:
        """Takes one send to a server; returns whether it may be sent."""
        if self._tokens.limit(server) is None:
            return True
        with self._lock:
            return self._tokens.take(self._clock(), server)

    def spent(self) -> frozenset[str]:
        """Returns the servers that may get nothing now, by id."""
        with self._lock:
            return self._tokens.spent(self._clock())

    def limits(self) -> dict[str, float]:
        """Returns the limits that are known, for a person to read."""
        with self._lock:
            return self._tokens.limits()

    def pace_s(self) -> float:
        """Returns when to ask again, seconds."""
        if not self.limits():
            return REST_S
        return max(ASK_S, ASK_EACH_S * len(self._addresses()))

    def step(self) -> None:
        """Asks the home for what will be needed, as a loop."""
        with self._lock:
            asks = self._tokens.asks(self._clock())
        if asks:
            self._ask(asks)
        with self._lock:
            news = self._quota.news(self._clock())
        if news:
            msg = messages.Sends(grants=news)
            self._peers.ask_all(self._addresses(), msg, ANSWER_S)

    def lend(self, msg: messages.AskSends) -> messages.Sends:
        """Answers as the home."""
        with self._lock:
            now = self._clock()
            return messages.Sends(
                grants=self._quota.ask(now, msg.holder, msg.asks)
            )

    def hear(self, msg: messages.Sends) -> messages.Pong:
        """Takes what the home tells all VMs."""
        with self._lock:
            self._tokens.granted(self._clock(), msg.grants)
        return messages.Pong()

    def _ask(self, asks: dict[str, messages.SendAsk]) -> None:
        msg = messages.AskSends(holder=self._entry_vm, asks=asks)
        reply = self._homes.ask(HOME, msg, (messages.Sends,), ANSWER_S)
        with self._lock:
            now = self._clock()
            if reply is not None:
                self._tokens.granted(now, reply.grants)
                return
            self._tokens.alone(now, len(self._addresses()) + 1)
