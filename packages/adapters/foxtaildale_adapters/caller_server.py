"""The HTTP server for callers; `httpd` describes its connection handling."""

from collections.abc import Callable
import threading
import time
from typing import Final

from foxtaildale import errors
from foxtaildale_adapters import byte_budget
from foxtaildale_adapters import caller_exchange
from foxtaildale_adapters import httpd

# Timeout of `close` for handlers that are still running, seconds.
CLOSE_TIMEOUT_S: Final = 3.0
# Time that `close` leaves to connections in use by default, seconds.
IN_USE_S: Final = 1.0
# Interval between checks for connections that exceeded the idle timeout, and
# maximum delay of a close, seconds. Each check wakes a thread.
IDLE_CHECK_S: Final = 0.1
# Interval at which a drain closes connections that became idle, seconds.
_SWEEP_INTERVAL_S: Final = 0.05

Exchange = caller_exchange.Exchange
Handler = caller_exchange.Handler


class Server:
    """HTTP server for callers.

    Args:
        address: 'IP:PORT' to bind. With port 0 the kernel chooses the port.
        handler: Handles the exchanges, each in its own thread.
        threads: Maximum number of concurrent exchanges.
        timeout_s: Timeout for the complete request to arrive, and for a caller
            that does not read its response, seconds.
        max_body_bytes: Maximum body length, bytes.
        entry_vm: Entry VM to name in errors that occur before the handler.
        half_close: Whether a caller that closed its sending side may still
            read; it is probed then. If callers never do that, a FIN alone
            means that the caller disconnected.
        idle_check_s: Interval between checks for idle connections, seconds.
        has_peers: Returns whether other entry VMs are listed, which callers
            that are rejected here may reach; it must not block.
        budget: Bytes of the bodies under way; without a limit if None.
        on_body_refused: Called when a body was refused for lack of memory.
    """

    __slots__ = ('_server', '_thread')

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int,
        timeout_s: float,
        max_body_bytes: int,
        *,
        entry_vm: str = '',
        half_close: bool = True,
        idle_check_s: float = IDLE_CHECK_S,
        has_peers: Callable[[], bool] = lambda: False,
        budget: byte_budget.ByteBudget | None = None,
        on_body_refused: Callable[[], None] = lambda: None,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._server = httpd.HttpServer(
            (host, int(port)), handler, threads, idle_check_s
        )
        self._server.timeout = timeout_s  # type: ignore[assignment]
        self._server.max_request_body_size = max_body_bytes
        self._server.entry_vm = entry_vm
        self._server.allows_half_close = half_close
        self._server.has_peers = has_peers
        if budget is not None:
            self._server.byte_budget = budget
        self._server.on_body_refused = on_body_refused
        self._thread: threading.Thread | None = None

    def start(self) -> str:
        """Binds the address and starts serving.

        Returns:
            The bound address.

        Raises:
            errors.UnreachableError: The address can't be bound.
        """
        bound = threading.Event()
        failures: list[OSError] = []

        def serve() -> None:
            try:
                self._server.prepare()
            except OSError as exc:
                failures.append(exc)
                return
            finally:
                bound.set()
            self._server.serve()

        # The library's threads inherit the daemon flag of this thread, so a
        # handler that hangs can't keep a stopped process alive.
        self._thread = threading.Thread(
            target=serve, name='callers', daemon=True
        )
        self._thread.start()
        bound.wait()
        if failures:
            raise errors.UnreachableError(str(failures[0])) from failures[0]
        self._server.watcher.start()
        host, port = self._server.bind_addr
        return f'{host}:{port}'

    def set_limits(self, idle_s: float, read_s: float, body_bytes: int) -> None:
        """Sets new limits; requests in progress keep their previous limits.

        Args:
            idle_s: Idle timeout of a connection, seconds.
            read_s: Timeout for the complete request to arrive, seconds.
            body_bytes: Maximum body length, bytes.
        """
        self._server.timeout = idle_s  # type: ignore[assignment]
        self._server.request_timeout_s = read_s
        self._server.max_request_body_size = body_bytes

    def announce_stop(self) -> None:
        """Keeps accepting, but closes each connection after its response."""
        self._server.draining = True

    def stop_accepting(self) -> None:
        """Stops accepting; existing connections close after their response."""
        if self._server.accepting:
            self._server.accepting = False
            self._server.stop_accepting()

    def close_idle(self) -> None:
        """Closes the connections that wait for a request.

        A request that has arrived is served, and its connection is closed
        after the response.
        """
        self._server.request_idle_sweep()

    def drain(self, timeout_s: float) -> bool:
        """Waits until no exchange is in progress and none can begin.

        Idle connections are closed after the last exchange. Call
        `stop_accepting` before; a connection that is accepted later can bring
        another exchange.

        Returns:
            False if a connection was still open at the timeout.
        """
        deadline = time.monotonic() + timeout_s
        if not self._wait_for(
            lambda: not self._server.active_requests, deadline
        ):
            return False
        first_sweep = self._server.sweeps + 1
        while not self._is_closed(first_sweep):
            if time.monotonic() >= deadline:
                return False
            self._server.request_idle_sweep()
            self._wait_for(
                lambda: self._is_closed(first_sweep),
                min(deadline, time.monotonic() + _SWEEP_INTERVAL_S),
            )
        return True

    def _is_closed(self, sweep: int) -> bool:
        """Whether no connection is open after a sweep with this number.

        Until the sweep, the selector's thread may hold a connection that it has
        accepted and not counted yet.
        """
        server = self._server
        return server.sweeps >= sweep and not server.open_connections()

    def _wait_for(self, condition: Callable[[], bool], deadline: float) -> bool:
        with self._server.became_idle:
            return self._server.became_idle.wait_for(
                condition, max(0.0, deadline - time.monotonic())
            )

    def is_accepting(self) -> bool:
        """Whether new connections are accepted."""
        return self._server.accepting

    def busy(self) -> int:
        """Returns the number of exchanges in progress."""
        return self._server.active_requests

    def open_connections(self) -> int:
        """Returns the number of connections, with or without an exchange."""
        return self._server.open_connections()

    def close(self, in_use_s: float = IN_USE_S) -> None:
        """Closes every connection, also those in use.

        Returns after a few seconds at most, even if handlers hang.

        Args:
            in_use_s: Time until connections in use are cut, seconds.
        """
        if self._thread is None or not self._thread.is_alive():
            return
        self._server.closing = True
        self.stop_accepting()
        # The library waits for its threads without a timeout, so a handler
        # that hangs would keep a stopped process alive forever.
        self._server.shutdown_timeout = in_use_s  # type: ignore[assignment]
        stop = threading.Thread(target=self._server.stop, daemon=True)
        stop.start()
        deadline = time.monotonic() + CLOSE_TIMEOUT_S
        while stop.is_alive() and time.monotonic() < deadline:
            # Wakes the selector, which otherwise ends at its next idle check.
            self._server.request_idle_sweep()
            stop.join(_SWEEP_INTERVAL_S)
        self._thread.join(CLOSE_TIMEOUT_S)
        self._server.watcher.close()
