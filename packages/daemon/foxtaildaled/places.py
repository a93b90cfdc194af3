"""Asks the home of a service for places, and repeats what is held.

The home is one of the entry VMs, chosen by rendezvous hash, so all choose the
same without agreement. One that does not answer is passed over for a while and
the next one by the hash asked instead; what its plan lacks, the repeats of the
holders bring within a second.
"""

from collections.abc import Callable
import logging
import queue
import threading
from typing import Final

from foxtaildale import errors
from foxtaildale import homes
from foxtaildale import messages
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import actors
from foxtaildaled import beliefs

# Longest wait for the home's answer, seconds. It decides without waiting; a
# round trip takes two milliseconds, and much of a target of 0.9 s is left.
ANSWER_S: Final = 0.25
# Answers of a home that may fail to come in a row. One is lost with a broken
# connection or a busy moment; giving the home up at once would have two homes
# give the same memory.
MISSES: Final = 2
# A home that did not answer is passed over for this long, seconds, and twice
# as long with each time that it did not, up to the longest.
SUSPECT_S: Final = 2.0
SUSPECT_MOST_S: Final = 60.0
# Homes asked for one request before it goes on without a plan.
HOMES: Final = 2
# Ends and reports that may wait to be told; a lost end is mended by the next
# repeat, a lost report by the next failure.
QUEUE_LIMIT: Final = 500

Handle = Callable[[messages.Any], messages.Any]


class _Suspect:
    """A home that did not answer."""

    __slots__ = ('misses', 'span_s', 'until')

    def __init__(self) -> None:
        self.misses = 0
        self.span_s = SUSPECT_S
        self.until = 0.0


class Places:
    """The asking side; safe for concurrent use."""

    __slots__ = (
        '_clock',
        '_entry_vm',
        '_handle',
        '_held',
        '_lock',
        '_news',
        '_owner',
        '_peers',
        '_suspects',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        handle: Handle,
        owner: actors.Owner[beliefs.Beliefs],
        peers: ports.Peers,
        clock: ports.Clock,
    ) -> None:
        self._entry_vm = entry_vm
        # Answers what this entry VM asks itself as a home.
        self._handle = handle
        self._owner = owner
        self._peers = peers
        self._clock = clock
        self._lock = threading.Lock()
        self._suspects: dict[str, _Suspect] = {}
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
    ) -> messages.Place | messages.Queued | None:
        """Asks for a place; None if no home answers."""
        for _ in range(HOMES + MISSES - 1):
            home = self._home(msg.service)
            if home is None:
                return None
            try:
                reply = self._send(home, msg)
            except errors.PortError as exc:
                self._suspect(home, exc)
                continue
            self._trust(home)
            if isinstance(reply, messages.Place | messages.Queued):
                return reply
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

    def step(self) -> None:
        """Repeats to each home what this entry VM holds, as a loop."""
        now = self._clock()
        with self._lock:
            held = {
                service: tuple(
                    messages.KeptPlace(
                        request=place.request,
                        worker=place.worker,
                        prompt=place.prompt,
                        hinted=place.hinted,
                        longest=place.longest,
                        age_ms=int((now - since) * 1000),
                    )
                    for place, since in places.values()
                )
                for service, places in self._held.items()
            }
            for service in [name for name, found in held.items() if not found]:
                # Told once more, empty, so that the home forgets lost ends.
                del self._held[service]
        for service, places in held.items():
            msg = messages.KeepPlaces(
                service=service, holder=self._entry_vm, places=places
            )
            self._tell(service, msg)

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
        if name == self._entry_vm:
            return self._handle(msg)
        return self._peers.ask(address, msg, ANSWER_S)

    def _home(self, service: str) -> tuple[str, str] | None:
        """Returns the name and address of the home; None if none is left."""
        now = self._clock()
        known = self._owner.run(lambda state, _: dict(state.entry_vms))
        with self._lock:
            names = [
                name
                for name in known
                if name not in self._suspects
                or self._suspects[name].until <= now
            ]
        fit = homes.strong({name: known[name].cores for name in names})
        name = homes.home(service, fit)
        return (name, known[name].peer_address) if name else None

    def _suspect(self, home: tuple[str, str], exc: errors.PortError) -> None:
        name, address = home
        with self._lock:
            suspect = self._suspects.setdefault(name, _Suspect())
            suspect.misses += 1
            lost = isinstance(exc, errors.AnswerLostError)
            if lost and suspect.misses < MISSES:
                return
            suspect.until = self._clock() + suspect.span_s
            suspect.span_s = min(2 * suspect.span_s, SUSPECT_MOST_S)
        logs.event(
            logging.INFO,
            'home lost',
            entry_vm_asked=name,
            address=address,
            error=str(exc),
        )

    def _trust(self, home: tuple[str, str]) -> None:
        with self._lock:
            if self._suspects.pop(home[0], None) is None:
                return
        logs.event(logging.INFO, 'home regained', entry_vm_asked=home[0])
