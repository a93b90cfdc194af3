"""Calls of plain services.

An idempotent call goes to the backend server that runs the fewest calls of this
entry server, and is retried within the retry budget. A non-idempotent call is
sent to at most one backend server: it goes to another one only if certainly
nothing was sent.
"""

import threading

import msgspec

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values
from foxtaildaled import entry_retry_budgets
from foxtaildaled import view


class Result(msgspec.Struct, frozen=True):
    """Outcome of a call."""

    code: codes.Code
    # The response of the service; None if there was none.
    reply: ports.Reply | None = None
    figures: tuple[values.Figure, ...] = ()
    retry_after_s: float = 0.0


class PlainServices:
    """Calls plain services."""

    __slots__ = ('_calls_in_progress', '_lock', '_retries', '_services')

    _services: ports.Services
    _retries: entry_retry_budgets.RetryBudgets
    # Number of calls in progress, by the name of the backend server.
    _calls_in_progress: dict[str, int]
    _lock: threading.Lock

    def __init__(
        self, services: ports.Services, budget: entry_retry_budgets.RetryBudgets
    ) -> None:
        self._services = services
        self._retries = budget
        self._calls_in_progress = {}
        self._lock = threading.Lock()

    def call(
        self,
        snapshot: view.Snapshot,
        name: str,
        call: str,
        body: bytes,
        request: str,
    ) -> Result:
        """Sends one call to a service, with retries where they are allowed."""
        service = snapshot.service(name)
        if service is None:
            return Result(codes.NO_SERVICE, None, _service_figure(name))
        self._retries.record_first_attempt(name, snapshot)
        timeout_s = service.call_timeout_ms / 1000
        tried: set[str] = set()
        sent = False
        while True:
            server = self._choose(snapshot.live_servers(name, 'plain'), tried)
            if server is None:
                return _no_server(sent)
            tried.add(server.name)
            try:
                reply = self._call(server, call, body, request, timeout_s)
                return Result(codes.OK, reply)
            except errors.UnreachableError:
                # Certainly nothing was sent, so another server may run it.
                continue
            except errors.PortError as exc:
                sent = True
                if service.once != 'none':
                    return _outcome_unknown(exc)
                if not self._retries.acquire(name, snapshot, None):
                    return _outcome_unknown(exc)

    def _call(
        self,
        server: values.BackendServer,
        call: str,
        body: bytes,
        request: str,
        timeout_s: float,
    ) -> ports.Reply:
        self._add_in_progress(server.name, 1)
        try:
            return self._services.call(
                server.address, call, body, request, timeout_s
            )
        finally:
            self._add_in_progress(server.name, -1)

    def _choose(
        self, servers: tuple[values.BackendServer, ...], tried: set[str]
    ) -> values.BackendServer | None:
        with self._lock:
            untried = [server for server in servers if server.name not in tried]
            return min(
                untried,
                key=lambda server: (
                    self._calls_in_progress.get(server.name, 0),
                    server.name,
                ),
                default=None,
            )

    def _add_in_progress(self, name: str, change: int) -> None:
        with self._lock:
            self._calls_in_progress[name] = (
                self._calls_in_progress.get(name, 0) + change
            )


def _service_figure(name: str) -> tuple[values.Figure, ...]:
    return (values.Figure('service', name),)


def _no_server(sent: bool) -> Result:
    if sent:
        return Result(codes.FAILED, None, (), 1.0)
    return Result(codes.NO_BACKEND, None, (), 1.0)


def _outcome_unknown(exc: errors.PortError) -> Result:
    return Result(codes.UNKNOWN, None, (values.Figure('reason', str(exc)),))
