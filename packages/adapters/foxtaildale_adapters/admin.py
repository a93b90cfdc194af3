"""HTTP server for operators: liveness, readiness, metrics and state.

It uses the same server class as the callers' server, with its own handler, a
few threads of its own and its own address, so that operators can reach a
process while callers occupy all threads of the callers' server.
"""

from collections.abc import Callable
from typing import Final

from foxtaildale import codes
from foxtaildale_adapters import caller_exchange
from foxtaildale_adapters import caller_server

TEXT: Final = {'Content-Type': 'text/plain; charset=utf-8'}
METRICS: Final = {'Content-Type': 'text/plain; version=0.0.4; charset=utf-8'}
_THREADS: Final = 2
_TIMEOUT_S: Final = 5.0
_BODY_BYTES: Final = 1024


class Admin:
    """HTTP server for operators.

    Args:
        address: 'IP:PORT' to bind; port 0 lets the kernel choose.
        ready: Returns why the process is not ready; empty if it is ready.
        state: Returns the state of the process as JSON.
        metrics: Returns the metrics in the text exposition format.
        idle_check_s: Time between checks for expired idle connections, seconds.
    """

    __slots__ = ('_metrics', '_ready', '_server', '_state')

    def __init__(
        self,
        address: str,
        ready: Callable[[], str],
        state: Callable[[], bytes],
        metrics: Callable[[], bytes],
        idle_check_s: float = caller_server.IDLE_CHECK_S,
    ) -> None:
        self._ready = ready
        self._state = state
        self._metrics = metrics
        self._server = caller_server.Server(
            address,
            self,
            _THREADS,
            _TIMEOUT_S,
            _BODY_BYTES,
            idle_check_s=idle_check_s,
        )

    def start(self) -> str:
        """Binds the address and starts to serve; returns the bound address."""
        return self._server.start()

    def close(self, in_use_s: float = caller_server.IN_USE_S) -> None:
        """Stops the server and closes its address.

        Args:
            in_use_s: Time until connections in use are cut, seconds.
        """
        self._server.close(in_use_s)

    def handle(self, exchange: caller_server.Exchange) -> None:
        """Responds to one request of an operator."""
        if exchange.path == '/livez':
            exchange.respond(200, TEXT, b'live\n')
        elif exchange.path == '/readyz':
            self._respond_ready(exchange)
        elif exchange.path == '/metrics':
            exchange.respond(200, METRICS, self._metrics())
        elif exchange.path == '/state':
            exchange.respond(200, caller_exchange.JSON_HEADERS, self._state())
        else:
            figures = {'reason': f'no page {exchange.path}'}
            exchange.respond(
                404,
                caller_exchange.JSON_HEADERS,
                caller_exchange.error_body(codes.BAD_REQUEST, figures, ''),
            )

    def _respond_ready(self, exchange: caller_server.Exchange) -> None:
        reason = self._ready()
        if reason:
            exchange.respond(503, TEXT, f'{reason}\n'.encode())
        else:
            exchange.respond(200, TEXT, b'ready\n')
