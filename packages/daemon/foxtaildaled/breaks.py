"""Finds out what became of a backend server whose connection broke.

A reset says nothing about the server: it may have ended, or only this connection
may have. A server that has ended refuses the next connection.
"""

from typing import Final

from foxtaildale import errors
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildaled import passage


class Breaks:
    """Probes servers under which a request broke off."""

    __slots__ = ('_clock', '_probe')

    def __init__(self, probe: ports.Probe, clock: ports.Clock) -> None:
        self._probe: Final = probe
        self._clock = clock

    def note(
        self,
        req: passage.Passage,
        server: forwarding.Backend,
        exc: errors.PortError,
        *,
        sent_at: float,
        head_at: float | None = None,
    ) -> None:
        """Takes an error of a send.

        Args:
            req: The request.
            server: Where it was sent.
            exc: What came of it.
            sent_at: When it was sent, seconds.
            head_at: When the head of its answer came, seconds; None if none
                did.
        """
        if not isinstance(exc, errors.BrokenOffError) or req.gone.is_set():
            return
        began_at = sent_at if head_at is None else head_at
        ran_s = self._clock() - began_at
        reach = self._probe.reach(server.address)
        req.counts.broken.add(1, req.service.name, reach)
        req.log(
            'server probed',
            server=server.id,
            reach=reach,
            fingerprint=fingerprint.text(req.fingerprint),
            began=head_at is not None,
            ran_ms=int(ran_s * 1000),
        )
