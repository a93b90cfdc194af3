"""Tracks the flights (requests in flight) to each backend server.

Cancels the requests to a backend server that has restarted, and records what
backend servers report about themselves in their responses.

A server that loses power does not close its connections. Its responses never
arrive, and a request that may not be resumed at another server would wait until
its deadline. When the list of servers shows a new incarnation under the same
id, all requests to the earlier incarnation are lost, and are cancelled at once.
"""

import collections
from collections.abc import Callable
import threading

from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildaled import selfreports


class Running:
    """Open flights by server; safe for concurrent use."""

    __slots__ = ('_flights', '_lock')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._flights: dict[str, set[_Watched]] = collections.defaultdict(set)

    def add(self, flight: '_Watched') -> None:
        """Registers a flight that has been created."""
        with self._lock:
            self._flights[flight.server.id].add(flight)

    def remove(self, flight: '_Watched') -> None:
        """Removes a flight that has been closed."""
        with self._lock:
            flights = self._flights[flight.server.id]
            flights.discard(flight)
            if not flights:
                del self._flights[flight.server.id]

    def restarted(self, server: forwarding.Backend) -> int:
        """Cancels the flights to earlier incarnations of a server.

        Returns:
            The number of cancelled flights.
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
    """A flight that is registered until it is closed; a `ports.Flight`."""

    __slots__ = ('_flight', '_on_head', '_open_flights', 'server')

    def __init__(
        self,
        flight: ports.Flight,
        server: forwarding.Backend,
        open_flights: Running,
        on_head: Callable[[forwarding.Head], None],
    ) -> None:
        self.server = server
        self._flight = flight
        self._open_flights = open_flights
        self._on_head = on_head
        open_flights.add(self)

    def send(self, timeout_s: float) -> None:
        self._flight.send(timeout_s)

    def head(self, timeout_s: float) -> forwarding.Head:
        head = self._flight.head(timeout_s)
        if head.matches:
            self._on_head(head)
        return head

    def read(self, timeout_s: float) -> bytes:
        return self._flight.read(timeout_s)

    def cancel(self) -> None:
        self._flight.cancel()

    def close(self) -> None:
        self._open_flights.remove(self)
        self._flight.close()


class Workers:
    """A `ports.Workers` that tracks flights and reads self-reports."""

    __slots__ = ('_open_flights', '_reports', '_workers')

    def __init__(
        self,
        workers: ports.Workers,
        open_flights: Running,
        reports: selfreports.SelfReports,
    ) -> None:
        self._workers = workers
        self._open_flights = open_flights
        self._reports = reports

    def _watch(
        self,
        flight: ports.Flight,
        server: forwarding.Backend,
        *,
        streams: bool = False,
    ) -> _Watched:
        leave = self._reports.mark(server)

        def record_head(head: forwarding.Head) -> None:
            self._reports.hear(server, head, leave=leave, streams=streams)

        return _Watched(flight, server, self._open_flights, record_head)

    def plain(
        self,
        call: forwarding.Call,
        server: forwarding.Backend,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> ports.Flight:
        """Prepares a request to a plain service, as the caller sent it."""
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
        """Returns the handle in the response body of a prefill."""
        return self._workers.handle(body)

    def reserve(
        self, server: forwarding.Backend, tokens: int, ttl_s: float
    ) -> forwarding.Reply:
        """Reserves a slot and memory; the text is the reservation's name."""
        reply = self._workers.reserve(server, tokens, ttl_s)
        return self._record_reply(server, reply)

    def release(self, reserved: forwarding.Reserved) -> forwarding.Reply:
        """Releases a reservation that was not used."""
        self._reports.check_backoff(reserved.worker)
        reply = self._workers.release(reserved)
        return self._record_reply(reserved.worker, reply)

    def free(self, prefilled: forwarding.Prefilled) -> forwarding.Reply:
        """Frees a prefilled prompt that no decode worker has fetched."""
        self._reports.check_backoff(prefilled.worker)
        reply = self._workers.free(prefilled)
        return self._record_reply(prefilled.worker, reply)

    def order_stage(
        self,
        server: forwarding.Backend,
        stage: forwarding.Stage,
        holder: str,
        fence: int,
    ) -> forwarding.Reply:
        """Orders an engine to change its stage; the text is its reply."""
        self._reports.check_backoff(server)
        reply = self._workers.order_stage(server, stage, holder, fence)
        return self._record_reply(server, reply)

    def _record_reply(
        self, server: forwarding.Backend, reply: forwarding.Reply
    ) -> forwarding.Reply:
        self._reports.hear(server, reply)
        return reply
