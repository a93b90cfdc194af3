"""Calls of plain services.

An idempotent call goes to the backend server with the fewest calls of this
entry, and is tried again within the retry budget. A non-idempotent one is sent
to a backend server at most once: it is tried elsewhere only when surely
nothing was sent.
"""

import threading

import msgspec

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values
from foxtaildaled import retries
from foxtaildaled import view


class Result(msgspec.Struct, frozen=True):
    """What came of a call."""

    code: codes.Code
    # The service's own answer, if there was one.
    reply: ports.Reply | None = None
    figures: tuple[values.Figure, ...] = ()
    retry_after_s: float = 0.0


class Plain:
    """Calls plain services."""

    __slots__ = ('_lock', '_open', '_retries', '_services')

    _services: ports.Services
    _retries: retries.Retries
    # Calls under way, by backend server.
    _open: dict[str, int]
    _lock: threading.Lock

    def __init__(
        self, services: ports.Services, budget: retries.Retries
    ) -> None:
        self._services = services
        self._retries = budget
        self._open = {}
        self._lock = threading.Lock()

    def call(
        self,
        snapshot: view.Snapshot,
        name: str,
        call: str,
        body: bytes,
        request: str,
    ) -> Result:
        """Runs one call."""
        service = snapshot.service(name)
        if service is None:
            return Result(codes.NO_SERVICE, None, _named(name))
        self._retries.first(name, snapshot)
        timeout_s = service.call_timeout_ms / 1000
        tried: set[str] = set()
        sent = False
        while True:
            server = self._choose(snapshot.live(name, 'plain'), tried)
            if server is None:
                return _nobody(sent)
            tried.add(server.name)
            try:
                reply = self._call(server, call, body, request, timeout_s)
                return Result(codes.OK, reply)
            except errors.UnreachableError:
                # Surely nothing was sent: another one may run it.
                continue
            except errors.PortError as exc:
                sent = True
                if service.once != 'none':
                    return _lost(exc)
                if not self._retries.take(name, snapshot, None):
                    return _lost(exc)

    def _call(
        self,
        server: values.BackendServer,
        call: str,
        body: bytes,
        request: str,
        timeout_s: float,
    ) -> ports.Reply:
        self._count(server.name, 1)
        try:
            return self._services.call(
                server.address, call, body, request, timeout_s
            )
        finally:
            self._count(server.name, -1)

    def _choose(
        self, servers: tuple[values.BackendServer, ...], tried: set[str]
    ) -> values.BackendServer | None:
        with self._lock:
            left = [server for server in servers if server.name not in tried]
            return min(
                left,
                key=lambda server: (
                    self._open.get(server.name, 0),
                    server.name,
                ),
                default=None,
            )

    def _count(self, name: str, step: int) -> None:
        with self._lock:
            self._open[name] = self._open.get(name, 0) + step


def _named(name: str) -> tuple[values.Figure, ...]:
    return (values.Figure('service', name),)


def _nobody(sent: bool) -> Result:
    if sent:
        return Result(codes.FAILED, None, (), 1.0)
    return Result(codes.NO_BACKEND, None, (), 1.0)


def _lost(exc: errors.PortError) -> Result:
    return Result(codes.UNKNOWN, None, (values.Figure('reason', str(exc)),))
