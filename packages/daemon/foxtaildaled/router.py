"""The router role: requests that pass through as callers sent them.

Each request is decoded, matched with the configuration in force, and handed to
`forward` or `generate`. A refusal names its reason, its figures and when to
come back.
"""

from collections.abc import Callable
import logging
from typing import Final

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale import routes
from foxtaildale_adapters import callers
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics
from foxtaildaled import forward
from foxtaildaled import generate
from foxtaildaled import passage

# When to come back to an entry VM that knows no configuration yet, seconds.
UNREADY_S: Final = 0.3

Decode = Callable[[callers.Exchange], forwarding.Call]


class Router:
    """Handles callers' requests."""

    __slots__ = (
        '_clock',
        '_counts',
        '_decode',
        '_ends_at',
        '_entry_vm',
        '_forward',
        '_generate',
        '_matcher',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        matcher: Callable[[], routes.Matcher | None],
        decode: Decode,
        plain: forward.Forward,
        model: generate.Generate,
        counts: metrics.Metrics,
        clock: ports.Clock,
        ends_at: Callable[[], float],
    ) -> None:
        self._entry_vm = entry_vm
        # Returns when this process ends at the latest; infinity while it is not
        # being stopped.
        self._ends_at = ends_at
        self._matcher = matcher
        self._decode = decode
        self._forward = plain
        self._generate = model
        self._counts = counts
        self._clock = clock

    def handle(self, exchange: callers.Exchange) -> None:
        """Serves one request."""
        matcher = self._matcher()
        if matcher is None:
            self._refuse(exchange, codes.NO_PRESET, UNREADY_S)
            return
        try:
            call = self._decode(exchange)
        except errors.DecodeError as exc:
            self._refuse(exchange, codes.BAD_REQUEST, reason=str(exc))
            return
        version = matcher.table.version
        route = matcher.find(call.host, call.path)
        if route is None:
            self._refuse(exchange, codes.NO_ROUTE, version=version)
            return
        name = routes.pick_service(route, call.id)
        req = passage.Passage(
            exchange,
            call=call,
            route=route,
            service=matcher.table.service(name),
            version=version,
            entry_vm=self._entry_vm,
            counts=self._counts,
            clock=self._clock,
            ends_at=self._ends_at(),
        )
        req.watch()
        if route.kind == 'stream':
            self._generate.serve(req)
        else:
            self._forward.serve(req)

    def _refuse(
        self,
        exchange: callers.Exchange,
        code: codes.Code,
        retry_after_s: float = 0.0,
        **figures: float | str,
    ) -> None:
        logs.event(
            logging.INFO,
            'refused',
            code=code.name,
            status=code.status,
            target=exchange.target[:200],
            **figures,
        )
        self._counts.requests.add(1, '', code.name)
        passage.refuse(exchange, code, figures, self._entry_vm, retry_after_s)
