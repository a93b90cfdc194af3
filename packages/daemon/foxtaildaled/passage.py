"""One request of a caller on its way through a router.

It knows how long it may take and whether its caller is still there. Whatever
is on its way for it to a backend server is registered here, so that a caller
that hangs up ends it at once, whatever stage it is in.
"""

from collections.abc import Callable
from collections.abc import Mapping
import logging
import math
import threading
from typing import Final

from foxtaildale import accounts
from foxtaildale import codes
from foxtaildale import fingerprint
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale import routes
from foxtaildale_adapters import incoming
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics

# Least time that a send is worth, seconds: a backend server that gets less can
# only time out.
MIN_LEFT_S: Final = 0.03


class Passage:
    """A request, its route, its time and its caller."""

    __slots__ = (
        '_clock',
        '_flight',
        '_held_s',
        '_lock',
        'account',
        'call',
        'counts',
        'deadline',
        'ended_stages',
        'entry_vm',
        'ex',
        'fingerprint',
        'gone',
        'on_not_run',
        'route',
        'service',
        'started_at',
        'version',
    )

    def __init__(
        self,
        exchange: incoming.Exchange,
        *,
        call: forwarding.Call,
        route: routes.Route,
        service: routes.Service,
        version: int,
        entry_vm: str,
        counts: metrics.Metrics,
        clock: ports.Clock,
        ends_at: float = math.inf,
        account: accounts.Account | None = None,
        held_s: Callable[[int], float] = lambda _: 0.0,
    ) -> None:
        self.ex = exchange
        self.call = call
        # The same for all sends of it, at all entry VMs.
        self.fingerprint = fingerprint.of(call)
        self._held_s = held_s
        # The client account that it is of; None where there are none.
        self.account = account
        # Called when it ends and did not run, nor will.
        self.on_not_run: Callable[[], None] = _nothing
        self.route = route
        self.service = service
        # Of the configuration that it is served by.
        self.version = version
        self.entry_vm = entry_vm
        self.counts = counts
        self._clock = clock
        self.started_at = clock()
        limit_s = route.timeout_s
        if call.patience_s is not None:
            limit_s = min(limit_s, call.patience_s)
        # When its final answer is due: also before this process ends, so that
        # what would be cut then is refused, and runs whole at another VM.
        self.deadline = min(self.started_at + limit_s, ends_at)
        # Stages of servers that ended as they had it.
        self.ended_stages: set[forwarding.Stage] = set()
        # Set when the caller has hung up.
        self.gone = threading.Event()
        # Guards the flight against a hang-up that comes as it starts.
        self._lock = threading.Lock()
        self._flight: ports.Flight | None = None

    @property
    def priority(self) -> int:
        """Returns how urgent it is; 0 is the most."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority

    def watch(self) -> None:
        """Begins to watch the caller."""
        self.ex.watch(self._on_gone)

    def left_s(self) -> float:
        """Returns how much time is left, seconds."""
        return self.deadline - self._clock()

    def age_s(self) -> float:
        """Returns how long ago it came, seconds."""
        return self._clock() - self.started_at

    def held_s(self) -> float:
        """Returns for how long it must be sent to no server, seconds."""
        return self._held_s(self.fingerprint)

    def caller_gone(self) -> bool:
        """Whether the caller has hung up; looks at the connection."""
        if not self.gone.is_set() and self.ex.gone():
            self.gone.set()
        return self.gone.is_set()

    def attach(self, flight: ports.Flight | None) -> None:
        """Names what a hang-up must end; None for nothing."""
        with self._lock:
            self._flight = flight
            gone = self.gone.is_set()
        if gone and flight is not None:
            flight.cancel()

    def refuse(
        self,
        code: codes.Code,
        figures: Mapping[str, float | str] | None = None,
        retry_after_s: float = 0.0,
    ) -> None:
        """Gives the final answer of one that no backend server answered."""
        figures = figures or {}
        self.log(
            'refused' if code.ran == 'no' else 'failed',
            code=code.name,
            status=code.status,
            retry_after_s=round(retry_after_s, 2),
            **figures,
        )
        self.counts.requests.add(1, self.service.name, code.name)
        if code.ran == 'no':
            self.on_not_run()
        if code.status == codes.CANCELLED.status:
            self.ex.cut()
            return
        refuse(self.ex, code, figures, self.entry_vm, retry_after_s)

    def refuse_held(self) -> None:
        """Refuses it, since it must be sent to no server."""
        left_s = self.held_s()
        self.refuse(codes.QUARANTINED, {'left_s': math.ceil(left_s)}, left_s)

    def answered(self, status: int, *, whole: bool, **fields: object) -> None:
        """Notes that a backend server's answer was given to the caller."""
        self.log('answered', status=status, whole=whole, **fields)
        name = self.service.name
        code = codes.OK if 200 <= status < 300 and whole else codes.FAILED
        self.counts.requests.add(1, name, code.name)
        self.counts.answer_seconds.observe((self.age_s(),), name)

    def log(self, event: str, **fields: object) -> None:
        """Logs a decision on this request."""
        logs.event(
            logging.INFO,
            event,
            request=self.call.id,
            route=self.route.name,
            version=self.version,
            age_ms=int(self.age_s() * 1000),
            **fields,
        )

    def _on_gone(self) -> None:
        with self._lock:
            self.gone.set()
            flight = self._flight
        if flight is not None:
            flight.cancel()


def _nothing() -> None:
    """Stands for what nobody wants to hear of."""


def refuse(
    exchange: incoming.Exchange,
    code: codes.Code,
    figures: Mapping[str, float | str],
    entry_vm: str,
    retry_after_s: float = 0.0,
) -> None:
    """Answers with an error; says when to come back if it did not run."""
    body = incoming.error_body(code, figures, entry_vm, retry_after_s)
    headers = dict(incoming.JSON)
    if code.status == codes.UNAUTHORIZED.status:
        headers['WWW-Authenticate'] = 'Bearer'
    if retry_after_s > 0:
        headers['Retry-After'] = f'{retry_after_s:.2f}'
    exchange.respond(code.status, headers, body)
