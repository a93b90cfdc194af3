"""Detects whether a backend server crashed when its connection broke.

A reset alone does not show whether the server crashed or only the connection
was closed. A crashed server refuses the next connection.
"""

from collections.abc import Iterable
from typing import Protocol

from foxtaildale import errors
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildaled import routed_request


class OnCrash(Protocol):
    """Callback for a request that ran on a server when it crashed."""

    def __call__(
        self,
        server: forwarding.Backend,
        request: int,
        *,
        ran_s: float,
        parts: Iterable[int],
    ) -> None:
        """Reports a request; see `QuarantineManager.record_crash`."""


class CrashDetector:
    """Probes servers whose connection broke during a request."""

    __slots__ = ('_clock', '_on_crash', '_probe')

    def __init__(
        self, probe: ports.Probe, clock: ports.Clock, on_crash: OnCrash
    ) -> None:
        self._probe = probe
        self._clock = clock
        self._on_crash = on_crash

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
        if (
            not isinstance(exc, errors.ConnectionBrokenError)
            or req.is_abandoned()
        ):
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
