"""The router role: passes requests through as callers sent them.

Each request is decoded, matched with a route of the configuration in force and
with the client account of its key, admitted by the limit of the account, and
passed to `plain_forwarder` or `generation`. A refusal states its reason, its
figures and when to retry.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import Final
from typing import Protocol

from foxtaildale import accounts
from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import ports
from foxtaildale import quarantine
from foxtaildale import routes
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics
from foxtaildaled import account_limits
from foxtaildaled import generation
from foxtaildaled import plain_forwarder
from foxtaildaled import routed_request

# Delay after which callers retry while the entry VM has no configuration yet,
# seconds.
NOT_READY_RETRY_S: Final = 0.3
# Least time that a process must have left for a request that it begins after it
# closed its port, seconds. A stream that lasts longer than what is left is cut.
MIN_REQUEST_TIME_S: Final = 2.0


class Decode(Protocol):
    """Decodes a request of a caller."""

    def __call__(
        self, exchange: caller_server.Exchange, *, keyed: bool = False
    ) -> forwarding.CallerRequest:
        """Returns the request.

        Args:
            exchange: The exchange with the caller.
            keyed: Whether the request is expected to contain the key of a
                client account.

        Raises:
            errors.DecodeError: The request is invalid; the text states the
                reason and does not contain the key.
        """


class Router:
    """Handles callers' requests."""

    __slots__ = (
        '_clock',
        '_decode',
        '_ends_at',
        '_entry_vm',
        '_find_quarantine',
        '_forward',
        '_generate',
        '_is_accepting',
        '_limiter',
        '_matcher',
        '_request_metrics',
    )

    def __init__(
        self,
        *,
        entry_vm: str,
        matcher: Callable[[], routes.Matcher | None],
        decode: Decode,
        forwarder: plain_forwarder.PlainForwarder,
        generator: generation.Generation,
        limiter: account_limits.Limiter,
        request_metrics: metrics.Metrics,
        clock: ports.Clock,
        ends_at: Callable[[], float],
        is_accepting: Callable[[], bool],
        find_quarantine: Callable[
            [int, Iterable[int]], quarantine.Entry | None
        ],
    ) -> None:
        self._entry_vm = entry_vm
        # Returns the time at which this process ends at the latest; infinity
        # while the process is not being stopped.
        self._ends_at = ends_at
        # Returns whether new connections are accepted.
        self._is_accepting = is_accepting
        # Returns what quarantines a request, by its fingerprint and those of the
        # parts of its prompt; a quarantined request must not be sent to any
        # server.
        self._find_quarantine = find_quarantine
        self._matcher = matcher
        self._decode = decode
        self._forward = forwarder
        self._generate = generator
        # Enforces the limits of client accounts.
        self._limiter = limiter
        self._request_metrics = request_metrics
        self._clock = clock

    def handle(self, exchange: caller_server.Exchange) -> None:
        """Serves or refuses one request."""
        matcher = self._matcher()
        if matcher is None:
            self._refuse(exchange, codes.NO_PRESET, NOT_READY_RETRY_S)
            return
        try:
            call = self._decode(exchange, keyed=matcher.requires_key)
        except errors.DecodeError as exc:
            self._refuse(exchange, codes.BAD_REQUEST, reason=str(exc))
            return
        version = matcher.table.version
        route = matcher.match(call.host, call.path)
        if route is None:
            self._refuse(exchange, codes.NO_ROUTE, version=version)
            return
        req = self._make_passage(exchange, call, matcher, route)
        req.must_finish = not self._is_accepting()
        if req.must_finish and self._ends_too_soon():
            req.refuse(codes.STOPPING)
            return
        if call.resumes or call.after_event:
            req.log(
                'resuming', resumes=call.resumes, after=call.after_event or 0
            )
        if self._is_admitted(req, matcher):
            self._serve(req)

    def _ends_too_soon(self) -> bool:
        """Whether a new request would probably be cut by the end of the process.

        It came on a connection that is still open after the port was closed;
        another VM has the time for it.
        """
        return self._ends_at() - self._clock() < MIN_REQUEST_TIME_S

    def _make_passage(
        self,
        exchange: caller_server.Exchange,
        call: forwarding.CallerRequest,
        matcher: routes.Matcher,
        route: routes.Route,
    ) -> routed_request.RoutedRequest:
        account = matcher.client_accounts.by_key(call.key)
        call.account = account.name if account is not None else ''
        # A resumed stream goes to the service that began it.
        name = routes.pick_service(route, call.resumes or call.id)
        return routed_request.RoutedRequest(
            exchange,
            caller_request=call,
            route=route,
            service=matcher.table.service(name),
            config_version=matcher.table.version,
            entry_vm=self._entry_vm,
            request_metrics=self._request_metrics,
            clock=self._clock,
            process_ends_at=self._ends_at,
            account=account,
            find_quarantine=self._find_quarantine,
        )

    def _is_admitted(
        self, req: routed_request.RoutedRequest, matcher: routes.Matcher
    ) -> bool:
        """Checks the account and its limit; refuses the request if needed."""
        if req.account is not None:
            return self._is_within_limit(req, req.account)
        if not matcher.requires_key or req.route.public:
            return True
        reason = 'no client account has its key'
        if req.caller_request.key is None:
            reason = 'it has no key of a client account'
        self._request_metrics.accounts.add(1, '', codes.UNAUTHORIZED.name)
        req.refuse(codes.UNAUTHORIZED, {'reason': reason})
        return False

    def _is_within_limit(
        self, req: routed_request.RoutedRequest, account: accounts.Account
    ) -> bool:
        limit = account.limit
        if not limit.rate:
            return True
        cost = limit.cost(
            req.caller_request.prompt_tokens, req.caller_request.output_tokens
        )
        started_at = self._clock()
        decision = self._limiter.admit(account, cost)
        took_ms = int((self._clock() - started_at) * 1000)
        remaining = int(decision.level)
        if not decision.wait_s:
            req.on_not_run = lambda: self._limiter.refund(
                account, cost, decision
            )
            self._request_metrics.accounts.add(1, account.name, codes.OK.name)
            req.log(
                'let in',
                account=account.name,
                cost=cost,
                remaining=remaining,
                by=decision.by,
                took_ms=took_ms,
            )
            return True
        self._request_metrics.accounts.add(
            1, account.name, codes.OVER_LIMIT.name
        )
        figures: dict[str, float | str] = {
            'account': account.name,
            'cost': cost,
            'remaining': remaining,
            'rate': limit.rate,
            'burst': limit.burst,
            'unit': limit.unit,
            'by': decision.by,
            'took_ms': took_ms,
        }
        req.refuse(codes.OVER_LIMIT, figures, decision.wait_s)
        return False

    def _serve(self, req: routed_request.RoutedRequest) -> None:
        entry = req.find_quarantine()
        if entry is not None:
            req.refuse_quarantined(entry)
            return
        req.watch_caller()
        if req.route.kind == 'stream':
            self._generate.serve(req)
        else:
            self._forward.serve(req)

    def _refuse(
        self,
        exchange: caller_server.Exchange,
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
        self._request_metrics.requests.add(1, '', code.name)
        routed_request.send_error(
            exchange, code, figures, self._entry_vm, retry_after_s
        )
