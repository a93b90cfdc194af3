"""Which service a request goes to: hosts, path prefixes and weighted splits.

A `Table` is one version of the operators' configuration, checked and decoded.
It is immutable; a request keeps the table that it was matched with, so a change
of the configuration never mixes two versions within one request.
"""

from typing import Final
from typing import Literal

import msgspec
import xxhash

from foxtaildale import accounts

# Whether a request may be run again after it was sent once.
Kind = Literal['idempotent', 'non_idempotent', 'stream']


class Target(msgspec.Struct, frozen=True):
    """One service of a split."""

    service: str
    # Share of the route's requests, relative to the other targets.
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """What requests under one host and path prefix need."""

    name: str
    host: str
    # Begins and ends with a slash.
    path_prefix: str
    kind: Kind
    targets: tuple[Target, ...]
    # Longest time that a request may be kept without its final answer, seconds.
    timeout_s: float
    # Time within which the first event or the answer is of full use, seconds.
    target_s: float
    # Longest pause between two events that is still on time, seconds.
    gap_s: float = 0.0
    # 0 is the most urgent.
    priority: int = 0
    # Backend servers that one request may be sent to.
    max_attempts: int = 1
    # Whether its requests carry a prompt for a model engine.
    model: bool = False
    # Whether a broken stream may go on at another backend server.
    resumable: bool = False
    # Whether requests need no key of a client account.
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind == 'idempotent'


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """What the operators say of the backend servers of one service."""

    name: str
    # KV cache that one engine holds, tokens; 0 for a plain service.
    kv_tokens: int = 0
    # Longest life of a reservation at an engine, seconds.
    hold_s: float = 0.0
    # How long an engine keeps a prefilled prompt that nobody took, seconds.
    handle_s: float = 0.0
    # Requests in one batch of an engine.
    slots: int = 0
    # Tokens of the answer in one event of a stream.
    event_tokens: int = 1


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What callers may send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class Table(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()
    # Client accounts; None where requests need no key. Where there are to be
    # accounts and none is left, nobody has a key.
    client_accounts: tuple[accounts.Account, ...] | None = None

    def service(self, name: str) -> Service:
        """Returns a service; an unknown one has no special features."""
        for service in self.services:
            if service.name == name:
                return service
        return Service(name=name)


class Matcher:
    """Finds the route of a request in one table."""

    __slots__ = ('_by_host', 'client_accounts', 'table')

    table: Table
    client_accounts: accounts.Accounts
    # Routes of each host, longest prefix first.
    _by_host: dict[str, tuple[Route, ...]]

    def __init__(self, table: Table) -> None:
        self.table = table
        self.client_accounts = accounts.Accounts(table.client_accounts or ())
        hosts: dict[str, list[Route]] = {}
        for route in table.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        self._by_host = {
            host: tuple(sorted(routes, key=_longest_first))
            for host, routes in hosts.items()
        }

    @property
    def keyed(self) -> bool:
        """Whether requests need the key of a client account."""
        return self.table.client_accounts is not None

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path.

        Args:
            host: The Host header; a port in it is ignored.
            path: As the caller sent it, without the query.
        """
        name = host.strip().lower().partition(':')[0]
        for route in self._by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _longest_first(route: Route) -> int:
    return -len(route.path_prefix)


_HASH_RANGE: Final = 2**64


def pick_service(route: Route, request_id: str) -> str:
    """Returns the service of one request, by the weights of the split.

    The choice is a hash of the request's id, so every entry VM and every try
    under one id chooses alike.
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
