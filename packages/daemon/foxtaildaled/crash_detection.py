"""Detects whether a backend server crashed when its connection broke.

A reset alone does not show whether the server crashed or only the connection
was closed. A crashed server refuses the next connection.

A server may also crash under a request that was just given up, since it took too
long, or be back before it is probed. Such requests are remembered for a moment, and
reported if the server is found down, or if the list names a later incarnation.
"""

import collections
from collections.abc import Iterable
import logging
import threading
from typing import Final
from typing import Protocol

from foxtaildale import errors
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale_adapters import logs
from foxtaildaled import routed_request

# Time within which a server may crash under a request that was given up, and until
# a later incarnation is listed, seconds.
GIVEN_UP_TTL_S: Final = 1.5
RESTART_TTL_S: Final = 6.0
# Maximum number of such requests, and of restarted servers, that are remembered.
MAX_GIVEN_UP: Final = 256
MAX_RESTARTED: Final = 1024


class _GivenUp:
    """A request that was given up while a server ran it."""

    __slots__ = ('at', 'began_at', 'parts', 'request', 'server')

    def __init__(
        self,
        server: forwarding.Backend,
        request: int,
        parts: Iterable[int],
        began_at: float,
        at: float,
    ) -> None:
        self.server = server
        self.request = request
        self.parts = parts
        # When the server began to run it, and when it was given up, seconds.
        self.began_at = began_at
        self.at = at


class OnCrash(Protocol):
    """Callback for a request that ran on a server when it crashed."""

    def __call__(
        self,
        server: forwarding.Backend,
        request: int,
        *,
        ran_s: float,
        parts: Iterable[int],
        ended_s: float | None = None,
    ) -> None:
        """Reports a request; see `QuarantineManager.record_crash`."""


class CrashDetector:
    """Probes servers whose connection broke during a request."""

    __slots__ = (
        '_clock',
        '_given_up',
        '_lock',
        '_on_crash',
        '_probe',
        '_restarted',
    )

    def __init__(
        self, probe: ports.Probe, clock: ports.Clock, on_crash: OnCrash
    ) -> None:
        self._probe = probe
        self._clock = clock
        self._on_crash = on_crash
        # Guards the fields below, whose oldest items come first.
        self._lock = threading.Lock()
        self._given_up: collections.deque[_GivenUp] = collections.deque(
            maxlen=MAX_GIVEN_UP
        )
        # When restarted servers started last, Unix milliseconds, by id.
        self._restarted: dict[str, int] = {}

    def handle_send_error(
        self,
        req: routed_request.RoutedRequest,
        server: forwarding.Backend,
        exc: errors.PortError,
        *,
        began_at: float,
        may_have_begun: bool = True,
    ) -> None:
        """Handles the error of a send and probes the server if it was a break.

        Args:
            req: The request.
            server: The server it was sent to.
            exc: The error of the send.
            began_at: When the server began to run the request, seconds; when
                it was sent, if that is not known.
            may_have_begun: Whether the server may have begun to run the
                request.
        """
        if req.is_abandoned():
            return
        if not isinstance(exc, errors.ConnectionBrokenError):
            self._handle_other_error(req, server, exc, began_at)
            return
        ran_s = self._clock() - began_at
        reach = self._probe.check(server.address)
        req.request_metrics.broken.add(1, req.service.name, reach)
        req.log(
            'server probed',
            server=server.id,
            reach=reach,
            fingerprint=fingerprint.to_text(req.fingerprint),
            parts=fingerprint.to_texts(req.prompt_parts),
            began=may_have_begun,
            ran_ms=int(ran_s * 1000),
        )
        if reach == 'refused':
            req.crashed_stages.add(server.stage)
            self._on_crash(
                server, req.fingerprint, ran_s=ran_s, parts=req.prompt_parts
            )
            self._report_given_up(server)
        elif may_have_begun:
            self._remember(req, server, began_at)

    def handle_restart(self, server: forwarding.Backend) -> None:
        """Handles a later incarnation of a server that the list names.

        It may be called in a turn of the owner of the state.
        """
        now = self._clock()
        with self._lock:
            ended = [
                given_up
                for given_up in self._given_up
                if given_up.server.id == server.id
                and given_up.server.born < server.born
            ]
            for given_up in ended:
                self._given_up.remove(given_up)
            self._restarted.pop(server.id, None)
            self._restarted[server.id] = server.born
            if len(self._restarted) > MAX_RESTARTED:
                del self._restarted[next(iter(self._restarted))]
        for given_up in ended:
            if now - given_up.at < RESTART_TTL_S:
                self._report(given_up, given_up.at, ended_s=now - given_up.at)

    def _remember(
        self,
        req: routed_request.RoutedRequest,
        server: forwarding.Backend,
        began_at: float,
    ) -> None:
        """Remembers a request that may have been given up before a crash."""
        now = self._clock()
        given_up = _GivenUp(
            server, req.fingerprint, req.prompt_parts, began_at, now
        )
        with self._lock:
            has_restarted = self._restarted.get(server.id, 0) > server.born
            if not has_restarted:
                self._given_up.append(given_up)
        if has_restarted:
            self._report(given_up, now, ended_s=0.0)

    def _handle_other_error(
        self,
        req: routed_request.RoutedRequest,
        server: forwarding.Backend,
        exc: errors.PortError,
        began_at: float,
    ) -> None:
        """Remembers a request that was given up, or looks for its crash."""
        if isinstance(exc, errors.NoReplyError):
            self._remember(req, server, began_at)
        elif (
            isinstance(exc, errors.UnreachableError)
            and not isinstance(exc, errors.NoPathError)
            and self._has_given_up(server)
            and self._probe.check(server.address) == 'refused'
        ):
            self._report_given_up(server)

    def _has_given_up(self, server: forwarding.Backend) -> bool:
        now = self._clock()
        with self._lock:
            return any(
                _is_due(given_up, server, now) for given_up in self._given_up
            )

    def _report_given_up(self, server: forwarding.Backend) -> None:
        """Reports the requests that were given up before a server crashed."""
        now = self._clock()
        with self._lock:
            reported = [
                given_up
                for given_up in self._given_up
                if _is_due(given_up, server, now)
            ]
            for given_up in reported:
                self._given_up.remove(given_up)
        for given_up in reported:
            self._report(given_up, now)

    def _report(
        self, given_up: _GivenUp, until: float, ended_s: float | None = None
    ) -> None:
        """Reports a request that was given up before its server crashed.

        Args:
            given_up: The request.
            until: Until when the server ran it, seconds.
            ended_s: Time since then, seconds, if the list named a later
                incarnation; None if the server was found down.
        """
        ran_s = until - given_up.began_at
        logs.event(
            logging.INFO,
            'crash under a request given up',
            server=given_up.server.id,
            born=given_up.server.born,
            fingerprint=fingerprint.to_text(given_up.request),
            ran_ms=int(ran_s * 1000),
            found='refused' if ended_s is None else 'restart',
        )
        self._on_crash(
            given_up.server,
            given_up.request,
            ran_s=ran_s,
            parts=given_up.parts,
            ended_s=ended_s,
        )


def _is_due(given_up: _GivenUp, server: forwarding.Backend, now: float) -> bool:
    """Whether an incarnation may have crashed under a request."""
    known = given_up.server
    return (known.id, known.born) == (
        server.id,
        server.born,
    ) and now - given_up.at < GIVEN_UP_TTL_S
