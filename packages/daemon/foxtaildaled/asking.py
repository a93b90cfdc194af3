"""Chooses homes among the entry VMs, and asks them.

What has to be counted or planned over all entry VMs (places at engines, what
client accounts use) has one of them as its home, chosen by rendezvous hash of
its name, so all choose the same without agreement. A VM that does not answer, or
says that it is not fit, is passed over until it answers a probe (`suspects`),
whatever it was asked for, and the next one by the hash is asked instead.
"""

from collections.abc import Callable
import logging
import queue
import threading
from typing import Final
from typing import TypeVar

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import homes
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import suspects
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import beliefs

# Answers that may be lost under one ask before it is given up, two of each of
# two homes but one, and homes that may refuse it: those answer within
# milliseconds.
LOST: Final = 3
REFUSED: Final = 8
# Longest wait for the answer to a probe, seconds; a round trip takes two
# milliseconds.
PROBE_ANSWER_S: Final = 0.25
# Longest wait until a home has heard what it is told, seconds.
TELL_S: Final = 0.25
# News that may wait to be told. A lost end of a place is mended by the next
# survey, a lost report by the next failure, what was not given back comes back
# at the rate of the account.
QUEUE_LIMIT: Final = 500

# Name and peer address of an entry VM.
Home = tuple[str, str]
_Answer = TypeVar('_Answer')
Handle = Callable[[messages.Any], messages.Any]


class Asking:
    """The asking side of all homes; safe for concurrent use."""

    __slots__ = (
        '_clock',
        '_entry_vm',
        '_handle',
        '_heard',
        '_homes',
        '_lock',
        '_news',
        '_owner',
        '_peers',
        '_strong',
        '_suspects',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        handle: Handle,
        owner: actors.Owner[beliefs.Beliefs],
        peers: ports.PeerGroup,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        # Answers what this entry VM asks itself as a home.
        self._handle = handle
        self._owner = owner
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._suspects = suspects.Suspects()
        self._strong = homes.Strong(lambda vm: vm.cores)
        self._homes = homes.Homes()
        # Entry VMs that answered once, so that one which is gone for good is told
        # from one that is busy.
        self._heard: set[str] = set()
        # What homes are to hear of, in order.
        self._news: queue.Queue[tuple[str, messages.Any]] = queue.Queue(
            QUEUE_LIMIT
        )

    def start(self) -> None:
        """Starts the thread that tells news."""
        threading.Thread(
            target=self._tell_news, name='asking', daemon=True
        ).start()

    def ask(
        self,
        name: str,
        msg: messages.Any,
        answers: tuple[type[_Answer], ...],
        answer_s: float,
    ) -> _Answer | None:
        """Asks the home of something; None if no home answers.

        Args:
            name: What it is the home of.
            msg: What to ask.
            answers: The messages that answer it.
            answer_s: Longest wait for one home's answer, seconds.
        """
        lost = refused = 0
        while lost < LOST and refused < REFUSED:
            home = self._home(name)
            if home is None:
                return None
            try:
                reply = self._send(home, msg, answer_s)
            except errors.PortError as exc:
                if isinstance(exc, errors.AnswerLostError):
                    lost += 1
                else:
                    refused += 1
                self._suspect(home, exc)
                continue
            with self._lock:
                self._suspects.answered(home[0])
                self._heard.add(home[0])
            if isinstance(reply, answers):
                return reply
            refused += 1
        return None

    def tell(self, name: str, msg: messages.Any) -> None:
        """Tells the home of something a moment later, if it hears it."""
        try:
            self._news.put_nowait((name, msg))
        except queue.Full:
            logs.event(
                logging.WARNING, 'home not told', what=type(msg).__name__
            )

    def is_home(self, name: str) -> bool:
        """Whether this entry VM is the home of something."""
        home = self._home(name)
        return home is not None and home[0] == self._entry_vm

    def heirs(self, name: str, count: int) -> list[str]:
        """Returns the addresses of others that are home by turns.

        Those that are, or would be in turn, if those before them failed; this
        entry VM is never one.
        """
        known = self._known()
        with self._lock:
            fit = self._strong.among(known, self._suspects.passed())
        ranked = sorted(
            fit, key=lambda vm: (homes.score(name, vm), vm), reverse=True
        )
        others = [vm for vm in ranked if vm != self._entry_vm]
        return [known[vm].peer_address for vm in others[:count]]

    def probe(self) -> None:
        """Probes the suspects that are due."""
        with self._lock:
            due = self._suspects.due(self._clock())
        if not due:
            return
        known = self._known()
        addresses = {
            name: known[name].peer_address for name in due if name in known
        }
        replies = self._peers.ask_all(
            list(addresses.values()), messages.AskHome(), PROBE_ANSWER_S
        )
        for name, address in addresses.items():
            reply = replies.get(address)
            fit = isinstance(reply, messages.HomeReply) and reply.fit
            with self._lock:
                self._suspects.probed(self._clock(), name, fit=fit)
            if fit:
                logs.event(logging.INFO, 'home regained', entry_vm_asked=name)

    def greet(self, name: str) -> None:
        """Asks a home whether it lives, before a request needs it.

        The list of VMs also names some that are gone for good. Found out by the
        first requests of each new process, that costs each of them two lost
        answers, half a second of a target of 0.9 s.
        """
        home = self._home(name)
        if home is None or home[0] == self._entry_vm or home[0] in self._heard:
            return
        try:
            reply = self._peers.ask(home[1], messages.AskHome(), PROBE_ANSWER_S)
        except errors.PortError as exc:
            self._suspect(home, exc)
            return
        with self._lock:
            self._heard.add(home[0])
        if isinstance(reply, messages.HomeReply) and not reply.fit:
            self._suspect(home, errors.RejectedError('unfit', 'not fit'))

    def _tell_news(self) -> None:
        while True:
            name, msg = self._news.get()
            home = self._home(name)
            if home is None:
                continue
            try:
                self._send(home, msg, TELL_S)
            except errors.PortError as exc:
                self._suspect(home, exc)

    def _known(self) -> dict[str, forwarding.EntryVm]:
        return self._owner.run(lambda state, _: state.entry_vms)

    def _home(self, name: str) -> Home | None:
        """Returns the home of something; None if none is left."""
        known = self._known()
        with self._lock:
            fit = self._strong.among(known, self._suspects.passed())
            found = self._homes.home(name, fit)
        return (found, known[found].peer_address) if found else None

    def _send(
        self, home: Home, msg: messages.Any, answer_s: float
    ) -> messages.Any:
        name, address = home
        if name != self._entry_vm:
            return self._peers.ask(address, msg, answer_s)
        reply = self._handle(msg)
        if isinstance(reply, messages.Fail):
            raise errors.RejectedError(reply.code, reply.message)
        return reply

    def _suspect(self, home: Home, exc: errors.PortError) -> None:
        name, address = home
        lost = isinstance(exc, errors.AnswerLostError)
        with self._lock:
            passed = self._suspects.failed(self._clock(), name, lost=lost)
        if not passed:
            return
        logs.event(
            logging.INFO,
            'home lost',
            entry_vm_asked=name,
            address=address,
            error=str(exc),
        )
