"""Finds out what became of a backend server whose connection broke.

A reset says nothing about the server: it may have ended, or only this connection
may have. A server that has ended refuses the next connection.
"""

from typing import Protocol

from foxtaildale import errors
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildaled import passage


class OnEnd(Protocol):
    """Takes a request that ran on a server as that ended."""

    def __call__(
        self,
        server: forwarding.Backend,
        request: int,
        *,
        ran_s: float,
    ) -> None:
        """Takes the fingerprint of a request; see `Quarantining.crashed`."""


class Breaks:
    """Probes servers under which a request broke off."""

    __slots__ = ('_clock', '_on_end', '_probe')

    def __init__(
        self, probe: ports.Probe, clock: ports.Clock, on_end: OnEnd
    ) -> None:
        self._probe = probe
        self._clock = clock
        self._on_end = on_end

    def note(
        self,
        req: passage.Passage,
        server: forwarding.Backend,
        exc: errors.PortError,
        *,
        began_at: float,
        began: bool = True,
    ) -> None:
        """Takes an error of a send.

        Args:
            req: The request.
            server: Where it was sent.
            exc: What came of it.
            began_at: When the server began to run it, seconds; when it was
                sent, if that is not known.
            began: Whether the server may have begun.
        """
        if not isinstance(exc, errors.BrokenOffError) or req.gone.is_set():
            return
        ran_s = self._clock() - began_at
        reach = self._probe.reach(server.address)
        req.counts.broken.add(1, req.service.name, reach)
        req.log(
            'server probed',
            server=server.id,
            reach=reach,
            fingerprint=fingerprint.text(req.fingerprint),
            began=began,
            ran_ms=int(ran_s * 1000),
        )
        if reach == 'refused':
            req.ended_stages.add(server.stage)
            self._on_end(server, req.fingerprint, ran_s=ran_s)
