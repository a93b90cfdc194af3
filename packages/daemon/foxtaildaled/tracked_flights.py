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
from foxtaildaled import self_reports


class OpenFlights:
    """Open flights by server; safe for concurrent use."""

    __slots__ = ('_flights', '_lock')

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._flights: dict[str, set[_TrackedFlight]] = collections.defaultdict(
            set
        )

    def add(self, flight: '_TrackedFlight') -> None:
        """Registers a flight that has been created."""
        with self._lock:
            self._flights[flight.server.id].add(flight)

    def remove(self, flight: '_TrackedFlight') -> None:
        """Removes a flight that has been closed."""
        with self._lock:
            flights = self._flights[flight.server.id]
            flights.discard(flight)
            if not flights:
                del self._flights[flight.server.id]

    def cancel_earlier(self, server: forwarding.Backend) -> int:
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

    def cancel_all(self) -> int:
        """Cancels every flight.

        Returns:
            The number of cancelled flights.
        """
        with self._lock:
            open_flights = [
                flight
                for flights in self._flights.values()
                for flight in flights
            ]
        for flight in open_flights:
            flight.cancel()
        return len(open_flights)


class _TrackedFlight:
    """A `ports.ServerExchange` that is registered until it is closed."""

    __slots__ = ('_flight', '_on_head', '_open_flights', 'server')

    def __init__(
        self,
        flight: ports.ServerExchange,
        server: forwarding.Backend,
        open_flights: OpenFlights,
        on_head: Callable[[forwarding.ResponseHead], None],
    ) -> None:
        self.server = server
        self._flight = flight
        self._open_flights = open_flights
        self._on_head = on_head
        open_flights.add(self)

    def send(self, timeout_s: float) -> None:
        self._flight.send(timeout_s)

    @property
    def via(self) -> str:
        return self._flight.via

    def await_response(self, timeout_s: float) -> bool:
        return self._flight.await_response(timeout_s)

    def read_head(self, timeout_s: float) -> forwarding.ResponseHead:
        head = self._flight.read_head(timeout_s)
        if head.matches:
            self._on_head(head)
        return head

    def read_chunk(self, timeout_s: float) -> bytes:
        return self._flight.read_chunk(timeout_s)

    def cancel(self) -> None:
        self._flight.cancel()

    def close(self) -> None:
        self._open_flights.remove(self)
        self._flight.close()


class TrackingWorkers:
    """A `ports.ServerClient` that tracks flights and reads self-reports."""

    __slots__ = ('_open_flights', '_reports', '_workers')

    def __init__(
        self,
        workers: ports.ServerClient,
        open_flights: OpenFlights,
        reports: self_reports.SelfReportHandler,
    ) -> None:
        self._workers = workers
        self._open_flights = open_flights
        self._reports = reports

    def _watch(
        self,
        flight: ports.ServerExchange,
        server: forwarding.Backend,
        *,
        streams: bool = False,
    ) -> _TrackedFlight:
        leave = self._reports.leave_revision(server)

        def record_head(head: forwarding.ResponseHead) -> None:
            self._reports.apply_response(
                server, head, leave_revision=leave, is_streaming=streams
            )

        return _TrackedFlight(flight, server, self._open_flights, record_head)

    def close_idle(self) -> None:
        """Closes the connections that are kept for reuse."""
        self._workers.close_idle()

    def forward(
        self,
        call: forwarding.CallerRequest,
        server: forwarding.Backend,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> ports.ServerExchange:
        """Prepares a request to a plain service, as the caller sent it."""
        flight = self._workers.forward(
            call, server, left_s, repeatable=repeatable
        )
        return self._watch(flight, server)

    def prefill(
        self,
        call: forwarding.CallerRequest,
        server: forwarding.Backend,
        left_s: float,
    ) -> ports.ServerExchange:
        """Prepares a prefill of a request's prompt."""
        flight = self._workers.prefill(call, server, left_s)
        return self._watch(flight, server)

    def decode(
        self,
        call: forwarding.CallerRequest,
        reserved: forwarding.Reserved,
        prefilled: forwarding.Prefilled | None,
        left_s: float,
        *,
        repeatable: bool = False,
    ) -> ports.ServerExchange:
        """Prepares the decoding of a request."""
        flight = self._workers.decode(
            call, reserved, prefilled, left_s, repeatable=repeatable
        )
        return self._watch(flight, reserved.worker, streams=True)

    def decode_handle(self, body: bytes) -> str:
        """Returns the handle in the response body of a prefill."""
        return self._workers.decode_handle(body)

    def reserve(
        self, server: forwarding.Backend, tokens: int, ttl_s: float
    ) -> forwarding.ControlResponse:
        """Reserves a slot and memory; the text is the reservation's name."""
        reply = self._workers.reserve(server, tokens, ttl_s)
        return self._record_reply(server, reply)

    def release_reservation(
        self, reserved: forwarding.Reserved
    ) -> forwarding.ControlResponse:
        """Releases a reservation that was not used."""
        self._reports.check_backoff(reserved.worker)
        reply = self._workers.release_reservation(reserved)
        return self._record_reply(reserved.worker, reply)

    def release_prefill(
        self, prefilled: forwarding.Prefilled
    ) -> forwarding.ControlResponse:
        """Frees a prefilled prompt that no decode worker has fetched."""
        self._reports.check_backoff(prefilled.worker)
        reply = self._workers.release_prefill(prefilled)
        return self._record_reply(prefilled.worker, reply)

    def order_stage(
        self,
        server: forwarding.Backend,
        stage: forwarding.Stage,
        holder: str,
        fence: int,
    ) -> forwarding.ControlResponse:
        """Orders an engine to change its stage; the text is its reply."""
        self._reports.check_backoff(server)
        reply = self._workers.order_stage(server, stage, holder, fence)
        return self._record_reply(server, reply)

    def _record_reply(
        self, server: forwarding.Backend, reply: forwarding.ControlResponse
    ) -> forwarding.ControlResponse:
        self._reports.apply_response(server, reply)
        return reply
