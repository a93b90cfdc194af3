"""Asks the home of a service for places, and says what is held.

The home is one of the entry VMs, chosen by rendezvous hash, so all choose the
same without agreement. One that does not answer, or says that it is not fit, is
passed over until it answers a probe (`suspects`), and the next one by the hash
is asked instead; what its plan lacks it asks all VMs for (`surveys`).
"""

from collections.abc import Callable
import logging
import queue
import threading
from typing import Final

import msgspec

from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import homes
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale import suspects
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import beliefs

# Longest wait for the home's answer, seconds. It decides without waiting; a
# round trip takes two milliseconds, and much of a target of 0.9 s is left.
ANSWER_S: Final = 0.25
# Answers that may be lost under one request before it goes on without a plan,
# two of each of two homes but one, and homes that may refuse it: those answer
# within milliseconds.
LOST: Final = 3
REFUSED: Final = 8
# Time between looks for suspects to probe, seconds.
PROBE_S: Final = 0.2
# Ends and reports that may wait to be told; a lost end is mended by the next
# survey, a lost report by the next failure.
QUEUE_LIMIT: Final = 500

Handle = Callable[[messages.Any], messages.Any]


class Places:
    """The asking side; safe for concurrent use."""

    __slots__ = (
        '_clock',
        '_entry_vm',
        '_handle',
        '_heard',
        '_held',
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
        # What this entry VM holds, and since when; by service and request.
        self._held: dict[str, dict[str, tuple[messages.KeptPlace, float]]] = {}
        # What the home is to hear of, in order.
        self._news: queue.Queue[messages.EndPlace | messages.ServerFailed] = (
            queue.Queue(QUEUE_LIMIT)
        )

    def start(self) -> None:
        """Starts the thread that tells ends and reports."""
        threading.Thread(
            target=self._tell_news, name='places', daemon=True
        ).start()

    def ask(
        self, msg: messages.AskPlace
    ) -> messages.Place | messages.Queued | messages.TooLate | None:
        """Asks for a place; None if no home answers."""
        lost = refused = 0
        while lost < LOST and refused < REFUSED:
            home = self._home(msg.service)
            if home is None:
                return None
            try:
                reply = self._send(home, msg)
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
            if isinstance(
                reply, messages.Place | messages.Queued | messages.TooLate
            ):
                return reply
            refused += 1
        return None

    def hold(self, service: str, place: messages.KeptPlace) -> None:
        """Notes a place that is in use from now on."""
        with self._lock:
            held = self._held.setdefault(service, {})
            held[place.request] = (place, self._clock())

    def end(self, msg: messages.EndPlace) -> None:
        """Gives a place back; the home hears of it a moment later."""
        with self._lock:
            self._held.get(msg.service, {}).pop(msg.request, None)
        self._put(msg)

    def report(self, service: str, server: str) -> None:
        """Reports a failed server; the home hears of it a moment later."""
        self._put(
            messages.ServerFailed(
                service=service, server=server, holder=self._entry_vm
            )
        )

    def held(self, service: str) -> messages.KeepPlaces:
        """Returns what this entry VM holds of a service."""
        now = self._clock()
        with self._lock:
            found = list(self._held.get(service, {}).values())
        return messages.KeepPlaces(
            service=service,
            holder=self._entry_vm,
            places=tuple(
                msgspec.structs.replace(place, age_ms=int((now - since) * 1000))
                for place, since in found
            ),
        )

    def step(self) -> None:
        """Probes homes that are not heard of yet and suspects, as a loop."""
        known, services = self._owner.run(
            lambda state, _: (state.entry_vms, state.planned_services())
        )
        for service in services:
            self._greet(self._home_among(known, service))
        with self._lock:
            due = self._suspects.due(self._clock())
        if not due:
            return
        addresses = {
            name: known[name].peer_address for name in due if name in known
        }
        replies = self._peers.ask_all(
            list(addresses.values()), messages.AskHome(), ANSWER_S
        )
        for name, address in addresses.items():
            reply = replies.get(address)
            fit = isinstance(reply, messages.HomeReply) and reply.fit
            with self._lock:
                self._suspects.probed(self._clock(), name, fit=fit)
            if fit:
                logs.event(logging.INFO, 'home regained', entry_vm_asked=name)

    def _greet(self, home: tuple[str, str] | None) -> None:
        """Asks a home whether it lives, before a request needs it.

        The list of VMs also names some that are gone for good. Found out by the
        first requests of each new process, that costs each of them two lost
        answers, half a second of a target of 0.9 s.
        """
        if home is None or home[0] == self._entry_vm or home[0] in self._heard:
            return
        try:
            reply = self._peers.ask(home[1], messages.AskHome(), ANSWER_S)
        except errors.PortError as exc:
            self._suspect(home, exc)
            return
        with self._lock:
            self._heard.add(home[0])
        if isinstance(reply, messages.HomeReply) and not reply.fit:
            self._suspect(home, errors.RejectedError('unfit', 'not fit'))

    def is_home(self, service: str) -> bool:
        """Whether this entry VM is the home of a service."""
        home = self._home(service)
        return home is not None and home[0] == self._entry_vm

    def _put(self, msg: messages.EndPlace | messages.ServerFailed) -> None:
        try:
            self._news.put_nowait(msg)
        except queue.Full:
            logs.event(
                logging.WARNING, 'home not told', what=type(msg).__name__
            )

    def _tell_news(self) -> None:
        while True:
            msg = self._news.get()
            self._tell(msg.service, msg)

    def _tell(self, service: str, msg: messages.Any) -> None:
        home = self._home(service)
        if home is None:
            return
        try:
            self._send(home, msg)
        except errors.PortError as exc:
            self._suspect(home, exc)

    def _send(self, home: tuple[str, str], msg: messages.Any) -> messages.Any:
        name, address = home
        if name != self._entry_vm:
            return self._peers.ask(address, msg, ANSWER_S)
        reply = self._handle(msg)
        if isinstance(reply, messages.Fail):
            raise errors.RejectedError(reply.code, reply.message)
        return reply

    def _home(self, service: str) -> tuple[str, str] | None:
        """Returns the name and address of the home; None if none is left."""
        known = self._owner.run(lambda state, _: state.entry_vms)
        return self._home_among(known, service)

    def _home_among(
        self, known: dict[str, forwarding.EntryVm], service: str
    ) -> tuple[str, str] | None:
        with self._lock:
            fit = self._strong.among(known, self._suspects.passed())
            name = self._homes.home(service, fit)
        return (name, known[name].peer_address) if name else None

    def _suspect(self, home: tuple[str, str], exc: errors.PortError) -> None:
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
