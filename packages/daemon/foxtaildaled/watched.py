"""Watches requests on their way, for what concerns their backend server.

Ends those to a backend server that started again, and takes what servers say of
themselves in their answers.

A server that loses power says nothing on its connections. What a caller waits
for there never comes, and a request that may not go on elsewhere would be held
until its deadline. When the list of servers tells of a new start under the same
id, all that was sent to the one before is lost, and is ended at once.
"""

import collections
from collections.abc import Callable
import threading

from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildaled import selfreports


class Running:
    """Flights in progress, by server; safe for concurrent use."""

    __slots__ = ('_flights', '_lock')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._flights: dict[str, set[_Watched]] = collections.defaultdict(set)

    def add(self, flight: '_Watched') -> None:
        """Notes a flight that begins."""
        with self._lock:
            self._flights[flight.server.id].add(flight)

    def remove(self, flight: '_Watched') -> None:
        """Notes a flight that ended."""
        with self._lock:
            known = self._flights[flight.server.id]
            known.discard(flight)
            if not known:
                del self._flights[flight.server.id]

    def restarted(self, server: forwarding.Backend) -> int:
        """Ends the flights to earlier starts of a server.

        Returns:
            How many there were.
        """
        with self._lock:
            lost = [
                flight
                for flight in self._flights.get(server.id, ())
                if flight.server.born < server.born
            ]
        for flight in lost:
            flight.cancel()
        return len(lost)


class _Watched:
    """A flight that is registered while it lasts; a `ports.Flight`."""

    __slots__ = ('_flight', '_hear', '_running', 'server')

    def __init__(
        self,
        flight: ports.Flight,
        server: forwarding.Backend,
        running: Running,
        hear: Callable[[forwarding.Head], None],
    ) -> None:
        self.server = server
        self._flight = flight
        self._running = running
        self._hear = hear
        running.add(self)

    def send(self, timeout_s: float) -> None:
        self._flight.send(timeout_s)

    def head(self, timeout_s: float) -> forwarding.Head:
        head = self._flight.head(timeout_s)
        if head.matches:
            self._hear(head)
        return head

    def read(self, timeout_s: float) -> bytes:
        return self._flight.read(timeout_s)

    def cancel(self) -> None:
        self._flight.cancel()

    def close(self) -> None:
        self._running.remove(self)
        self._flight.close()


class Workers:
    """Backend servers whose flights and answers are seen; a `ports.Workers`."""

    __slots__ = ('_reports', '_running', '_workers')

    def __init__(
        self,
        workers: ports.Workers,
        running: Running,
        reports: selfreports.SelfReports,
    ) -> None:
        self._workers = workers
        self._running = running
        self._reports = reports

    def _watch(
        self,
        flight: ports.Flight,
        server: forwarding.Backend,
        *,
        streams: bool = False,
    ) -> _Watched:
        leave = self._reports.mark(server)

        def hear(head: forwarding.Head) -> None:
            self._reports.hear(server, head, leave=leave, streams=streams)

        return _Watched(flight, server, self._running, hear)

    def plain(
        self,
        call: forwarding.Call,
        server: forwarding.Backend,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> ports.Flight:
        """Prepares a request as the caller sent it."""
        flight = self._workers.plain(
            call, server, left_s, repeatable=repeatable
        )
        return self._watch(flight, server)

    def prefill(
        self, call: forwarding.Call, server: forwarding.Backend, left_s: float
    ) -> ports.Flight:
        """Prepares a prefill of a request's prompt."""
        flight = self._workers.prefill(call, server, left_s)
        return self._watch(flight, server)

    def decode(
        self,
        call: forwarding.Call,
        reserved: forwarding.Reserved,
        prefilled: forwarding.Prefilled | None,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> ports.Flight:
        """Prepares the decoding of a request."""
        flight = self._workers.decode(
            call, reserved, prefilled, left_s, repeatable=repeatable
        )
        return self._watch(flight, reserved.worker, streams=True)

    def handle(self, body: bytes) -> str:
        """Returns the handle that the answer of a prefill names."""
        return self._workers.handle(body)

    def reserve(
        self, server: forwarding.Backend, tokens: int, ttl_s: float
    ) -> forwarding.Reply:
        """Reserves a slot and memory; the reply's text names the reservation."""
        reply = self._workers.reserve(server, tokens, ttl_s)
        return self._heard(server, reply)

    def release(self, reserved: forwarding.Reserved) -> forwarding.Reply:
        """Gives up a reservation that was not used."""
        self._reports.check_backoff(reserved.worker)
        reply = self._workers.release(reserved)
        return self._heard(reserved.worker, reply)

    def free(self, prefilled: forwarding.Prefilled) -> forwarding.Reply:
        """Frees a prefilled prompt that was not taken."""
        self._reports.check_backoff(prefilled.worker)
        reply = self._workers.free(prefilled)
        return self._heard(prefilled.worker, reply)

    def order_stage(
        self,
        server: forwarding.Backend,
        stage: forwarding.Stage,
        holder: str,
        fence: int,
    ) -> forwarding.Reply:
        """Orders an engine to do another stage; the text is what it said."""
        self._reports.check_backoff(server)
        reply = self._workers.order_stage(server, stage, holder, fence)
        return self._heard(server, reply)

    def _heard(
        self, server: forwarding.Backend, reply: forwarding.Reply
    ) -> forwarding.Reply:
        self._reports.hear(server, reply)
        return reply
