"""The HTTP server that faces operators: liveness, readiness, metrics, state.

It is the callers' server with a handler of its own and a few threads, on an
address of its own, so that busy callers can't hide a process from operators.
"""

from collections.abc import Callable
from typing import Final

from foxtaildale import codes
from foxtaildale_adapters import callers
from foxtaildale_adapters import incoming

TEXT: Final = {'Content-Type': 'text/plain; charset=utf-8'}
METRICS: Final = {'Content-Type': 'text/plain; version=0.0.4; charset=utf-8'}
_THREADS: Final = 2
_TIMEOUT_S: Final = 5.0
_BODY_BYTES: Final = 1024


class Admin:
    """Serves operators.

    Args:
        address: 'IP:PORT' to bind; port 0 lets the kernel choose.
        ready: Why the process is not ready; empty if it is.
        state: The state of the process as JSON.
        metrics: The metrics in the text exposition format.
        look_s: Time between looks for idle connections, seconds.
    """

    __slots__ = ('_metrics', '_ready', '_server', '_state')

    def __init__(
        self,
        address: str,
        ready: Callable[[], str],
        state: Callable[[], bytes],
        metrics: Callable[[], bytes],
        look_s: float = callers.LOOK_S,
    ) -> None:
        self._ready = ready
        self._state = state
        self._metrics = metrics
        self._server = callers.Server(
            address, self, _THREADS, _TIMEOUT_S, _BODY_BYTES, look_s=look_s
        )

    def start(self) -> str:
        """Binds and serves; returns the bound address."""
        return self._server.start()

    def close(self) -> None:
        """Unbinds."""
        self._server.close()

    def handle(self, exchange: callers.Exchange) -> None:
        """Answers one operator."""
        if exchange.path == '/livez':
            exchange.respond(200, TEXT, b'live\n')
        elif exchange.path == '/readyz':
            self._answer_ready(exchange)
        elif exchange.path == '/metrics':
            exchange.respond(200, METRICS, self._metrics())
        elif exchange.path == '/state':
            exchange.respond(200, incoming.JSON, self._state())
        else:
            figures = {'reason': f'no page {exchange.path}'}
            exchange.respond(
                404,
                incoming.JSON,
                incoming.error_body(codes.BAD_REQUEST, figures, ''),
            )

    def _answer_ready(self, exchange: callers.Exchange) -> None:
        reason = self._ready()
        if reason:
            exchange.respond(503, TEXT, f'{reason}\n'.encode())
        else:
            exchange.respond(200, TEXT, b'ready\n')
