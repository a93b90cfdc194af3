"""Which service a request goes to: hosts, path prefixes and weighted splits.

A `RoutingTable` is one version of the operators' configuration, validated and
decoded. It is immutable. A request keeps the table with which it was matched,
so a configuration change never mixes two versions within one request.
"""

from typing import Final
from typing import Literal

import msgspec
import xxhash

from foxtaildale import accounts

# Whether a request may run again after it was sent once.
RequestKind = Literal['idempotent', 'non_idempotent', 'stream']


class Target(msgspec.Struct, frozen=True):
    """One service of a weighted split."""

    service: str
    # Weight of the service relative to the other targets of the route.
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests under one host and path prefix are handled."""

    name: str
    host: str
    # Begins and ends with a slash.
    path_prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    # Maximum time until the final response of a request, seconds.
    timeout_s: float
    # Time until the first event or the response within which it has full value,
    # seconds.
    target_s: float
    # Maximum time between two events that counts as on time, seconds.
    gap_s: float = 0.0
    # 0 is the highest priority.
    priority: int = 0
    # Maximum number of backend servers to which one request is sent.
    max_attempts: int = 1
    # Whether its requests contain a prompt for a model engine.
    model: bool = False
    # Whether an interrupted stream may be resumed at another backend server.
    resumable: bool = False
    # Whether requests are accepted without the key of a client account.
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again although it may have run."""
        return self.kind == 'idempotent'


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """The operators' settings for the backend servers of one service."""

    name: str
    # Capacity of the KV cache of one engine, tokens; 0 for a plain service.
    kv_tokens: int = 0
    # Maximum lifetime of a reservation at an engine, seconds.
    hold_s: float = 0.0
    # How long an engine keeps a prefilled prompt that is not fetched, seconds.
    handle_s: float = 0.0
    # Maximum number of requests in one batch of an engine.
    slots: int = 0
    # Output tokens in one event of a stream.
    event_tokens: int = 1


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on requests of callers: sizes in bytes, timeouts in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    # Client accounts; None if requests need no key. If the tuple is empty,
    # requests need a key but no key is valid.
    client_accounts: tuple[accounts.Account, ...] | None = None

    def service(self, name: str) -> Service:
        """Returns a service; an unknown one has default settings."""
        for service in self.services:
            if service.name == name:
                return service
        return Service(name=name)


class Matcher:
    """Finds the routes of requests in one table."""

    __slots__ = ('_by_host', 'client_accounts', 'table')

    table: RoutingTable
    client_accounts: accounts.Accounts
    # Routes by host, longest path prefix first.
    _by_host: dict[str, tuple[Route, ...]]

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self.client_accounts = accounts.Accounts(table.client_accounts or ())
        hosts: dict[str, list[Route]] = {}
        for route in table.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        self._by_host = {
            host: tuple(sorted(routes, key=_negative_prefix_length))
            for host, routes in hosts.items()
        }

    @property
    def requires_key(self) -> bool:
        """Whether requests need the key of a client account."""
        return self.table.client_accounts is not None

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, if any.

        Args:
            host: The Host header; its port is ignored.
            path: The path as the caller sent it, without the query.
        """
        name = host.strip().lower().partition(':')[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _negative_prefix_length(route: Route) -> int:
    return -len(route.path_prefix)


_HASH_RANGE: Final = 2**64


def pick_service(route: Route, request_id: str) -> str:
    """Returns the service of one request according to the weights of the split.

    The choice is a hash of the request's id, so that every entry VM makes the
    same choice for every attempt under one id.
    """
    total = sum(target.weight for target in route.targets)
    if total <= 0:
        return route.targets[0].service
    draw = xxhash.xxh3_64_intdigest(request_id.encode()) * total // _HASH_RANGE
    for target in route.targets:
        draw -= target.weight
        if draw < 0:
            return target.service
    return route.targets[-1].service
