"""Send limits that a backend server names for all entry VMs together.

One VM is the coordinator of these limits. It grants send tokens, one for each
send, at the rate that a server named (`Quota`). The other VMs request tokens in
advance for their expected sends and spend those that they have (`Tokens`), so
that no request waits for a reply of the coordinator. A token expires after a
short time, so that unused tokens are granted again and no VM can accumulate
them. Servers without a limit cause no overhead here.

This module does no I/O; the time is an argument.
"""

from collections.abc import Iterator
import math
from typing import Final

from foxtaildale import messages

# Lifetime of a granted token, seconds.
TOKEN_TTL_S: Final = 1.0
# Tokens that accumulate at the coordinator while no VM requests them: a fixed
# number, plus the limit's tokens of this many seconds.
_MIN_BURST: Final = 2.0
_BURST_S: Final = 0.5
# Time for which a limit stays valid after the last response or VM that reported
# it, seconds.
LIMIT_TTL_S: Final = 60.0
# Minimum rate that is granted, tokens a second: without an occasional response
# no VM would learn that a server accepts more.
MIN_RATE: Final = 0.2
# A limit younger than this was named just now, seconds. If a coordinator learns
# of an older one, another coordinator has already granted tokens of it.
_NEW_S: Final = 1.0
# Time for which a token is reserved for a VM whose request was not met in full,
# seconds. It spans several requests of the VM.
_WAIT_S: Final = 0.8
# Maximum number of tokens granted to one VM at once.
_MAX_GRANT: Final = 64
# Maximum number of VMs remembered for each limit; those with the most recent
# requests stay.
MAX_VMS: Final = 1024
# Maximum number of servers whose limits are remembered.
MAX_SERVERS: Final = 512


class _Limit:
    """The limit of one server, as known to a VM that sends to it."""

    __slots__ = (
        'as_of',
        'level',
        'level_at',
        'limit',
        'tokens',
        'until',
        'wanted',
    )

    def __init__(self, limit: float, as_of: float) -> None:
        # Requests a second, and when the server named this limit, seconds.
        self.limit = limit
        self.as_of = as_of
        # Tokens left, and when they expire, seconds.
        self.tokens = 0
        self.until = -math.inf
        # Sends that were wanted since the last request to the coordinator.
        self.wanted = 0
        # Fraction of a token that accumulated while no coordinator replied, and
        # the time up to which it is counted, seconds.
        self.level = 0.0
        self.level_at: float | None = None


class Tokens:
    """Send tokens of one entry VM for servers with a limit."""

    __slots__ = ('_ended', '_limits', '_unreported')

    def __init__(self) -> None:
        # By server.
        self._limits: dict[str, _Limit] = {}
        # When servers reported that they no longer have a limit, seconds, and
        # the servers for which the coordinator was not yet notified of that.
        self._ended: dict[str, float] = {}
        self._unreported: set[str] = set()

    def limit(self, server: str) -> float | None:
        """Returns a server's limit, requests a second; None if it has none."""
        entry = self._limits.get(server)
        return None if entry is None else entry.limit

    def limits(self) -> dict[str, float]:
        """Returns all limits, requests a second, by server."""
        return {server: entry.limit for server, entry in self._limits.items()}

    def set_limit(self, now: float, server: str, limit: float | None) -> None:
        """Records the limit that a response of a server names."""
        if limit is None:
            if self._limits.pop(server, None) is not None:
                self._ended[server] = now
                self._unreported.add(server)
            return
        self._put(server, limit, now)

    def try_spend(self, now: float, server: str) -> bool:
        """Spends a token for one send to a server.

        Returns:
            Whether the send is allowed.
        """
        entry = self._limits.get(server)
        if entry is None:
            return True
        entry.wanted += 1
        if entry.tokens and now < entry.until:
            entry.tokens -= 1
            return True
        return False

    def request_exhausted(self, now: float) -> frozenset[str]:
        """Returns the servers without a token, and requests one for each."""
        exhausted = set()
        for server, entry in self._limits.items():
            if not entry.tokens or now >= entry.until:
                entry.wanted = max(entry.wanted, 1)
                exhausted.add(server)
        return frozenset(exhausted)

    def drain_requests(
        self, now: float
    ) -> dict[str, messages.ServerSendRequest]:
        """Returns the requests to the coordinator, by server.

        Resets the counts of wanted sends.
        """
        self._forget(now)
        requests = {}
        for server, entry in self._limits.items():
            left = entry.tokens if now < entry.until else 0
            lapsed, entry.tokens = entry.tokens - left, left
            wants = min(_MAX_GRANT, entry.wanted) - left
            entry.wanted = 0
            requests[server] = messages.ServerSendRequest(
                limit=entry.limit,
                age_s=now - entry.as_of,
                requested=max(0, wants),
                expired=lapsed,
            )
        for server in self._unreported & self._ended.keys():
            age_s = now - self._ended[server]
            requests[server] = messages.ServerSendRequest(
                limit=None, age_s=age_s, requested=0
            )
        self._unreported.clear()
        return {
            server: request
            for server, request in requests.items()
            if request.requested
            or request.expired
            or request.limit is None
            or request.age_s < _NEW_S
        }

    def apply_grants(
        self, now: float, grants: dict[str, messages.ServerSendGrant]
    ) -> None:
        """Applies the limits and tokens in a reply of the coordinator."""
        for server, grant in grants.items():
            as_of = now - grant.age_s
            entry = self._limits.get(server)
            if as_of <= self._ended.get(server, -math.inf):
                continue
            if entry is None or as_of > entry.as_of:
                if grant.limit is None:
                    self._limits.pop(server, None)
                    self._ended[server] = as_of
                    continue
                entry = self._put(server, grant.limit, as_of)
            entry.level_at = None
            if grant.granted:
                left = entry.tokens if now < entry.until else 0
                entry.tokens = left + grant.granted
                entry.until = now + TOKEN_TTL_S

    def grant_local_share(self, now: float, entry_vms: int) -> None:
        """Grants this VM its share of each limit if no coordinator replies."""
        for entry in self._limits.values():
            since = now if entry.level_at is None else entry.level_at
            rate = max(MIN_RATE, entry.limit) / max(1, entry_vms)
            entry.level = min(1.0, entry.level + rate * (now - since))
            entry.level_at = now
            if entry.level >= 1.0 and not (entry.tokens and now < entry.until):
                entry.level = 0.0
                entry.tokens = 1
                entry.until = now + TOKEN_TTL_S

    def _put(self, server: str, limit: float, as_of: float) -> _Limit:
        entry = self._limits.get(server)
        if entry is None:
            entry = self._limits[server] = _Limit(limit, as_of)
            if len(self._limits) > MAX_SERVERS:
                del self._limits[next(iter(self._limits))]
        entry.limit = limit
        entry.as_of = as_of
        self._ended.pop(server, None)
        return entry

    def _forget(self, now: float) -> None:
        for server, entry in list(self._limits.items()):
            if now - entry.as_of > LIMIT_TTL_S:
                del self._limits[server]
        for server, ended_at in list(self._ended.items()):
            if now - ended_at > LIMIT_TTL_S:
                del self._ended[server]


class _Bucket:
    """Tokens that the coordinator can still grant of one server's limit."""

    __slots__ = ('as_of', 'level', 'level_at', 'limit', 'vms')

    def __init__(self, now: float, limit: float, as_of: float) -> None:
        # Requests a second; None once the server reported that it has no limit.
        self.limit: float | None = limit
        self.as_of = as_of
        is_new = now - as_of < _NEW_S
        self.level = self.capacity() if is_new else 0.0
        self.level_at = now
        # For each VM that uses the limit: when it was last granted a token, and
        # when it last requested more than it was granted, seconds.
        self.vms: dict[str, tuple[float, float]] = {}

    def capacity(self) -> float:
        """Returns how many tokens can accumulate."""
        return _MIN_BURST + _BURST_S * self.rate()

    def rate(self) -> float:
        """Returns how many tokens a second are granted."""
        return max(MIN_RATE, self.limit or 0.0)

    def grant(self, now: float, vm: str, wants: int, lapsed: int) -> int:
        """Grants tokens.

        Reserves one token for each VM that has been waiting for longer.

        Args:
            now: Seconds.
            vm: The VM that requests tokens.
            wants: Tokens that it wants.
            lapsed: Tokens that it was granted before and that expired unused.
        """
        gained = self.rate() * (now - self.level_at) + lapsed
        self.level = min(self.capacity(), self.level + gained)
        self.level_at = now
        granted_at, _ = self.vms.pop(vm, (-math.inf, 0.0))
        granted = 0
        if wants and self.level >= 1.0:
            reserved = sum(
                now - requested_at <= _WAIT_S and vm_granted_at < granted_at
                for vm_granted_at, requested_at in self.vms.values()
            )
            granted = min(wants, max(0, int(self.level) - reserved))
            self.level -= granted
        self.vms[vm] = (
            now if granted else granted_at,
            now if granted < wants else -math.inf,
        )
        if len(self.vms) > MAX_VMS:
            del self.vms[next(iter(self.vms))]
        return granted


class Quota:
    """The send limits that this entry VM coordinates."""

    __slots__ = ('_buckets', '_unannounced')

    def __init__(self) -> None:
        # By server.
        self._buckets: dict[str, _Bucket] = {}
        # Servers whose limit began or ended and was not yet announced.
        self._unannounced: set[str] = set()

    def request_tokens(
        self,
        now: float,
        vm: str,
        requests: dict[str, messages.ServerSendRequest],
    ) -> dict[str, messages.ServerSendGrant]:
        """Records the limits that a VM reports, and grants tokens to it."""
        return dict(self._grants(now, vm, requests))

    def drain_changes(self, now: float) -> dict[str, messages.ServerSendGrant]:
        """Returns the changes to announce to all VMs; each is returned once."""
        changes = {
            server: _grant(now, self._buckets[server])
            for server in self._unannounced
            if server in self._buckets
        }
        self._unannounced.clear()
        return changes

    def _grants(
        self,
        now: float,
        vm: str,
        requests: dict[str, messages.ServerSendRequest],
    ) -> Iterator[tuple[str, messages.ServerSendGrant]]:
        for server, request in requests.items():
            bucket = self._record(now, server, request)
            if bucket is None:
                continue
            tokens = 0
            if bucket.limit is not None and (
                request.requested or request.expired
            ):
                tokens = bucket.grant(
                    now, vm, request.requested, request.expired
                )
            yield server, _grant(now, bucket, tokens)

    def _record(
        self, now: float, server: str, request: messages.ServerSendRequest
    ) -> _Bucket | None:
        as_of = now - request.age_s
        bucket = self._buckets.get(server)
        if bucket is None or now - bucket.as_of > LIMIT_TTL_S:
            if request.limit is None:
                return None
            bucket = _Bucket(now, request.limit, as_of)
            self._buckets[server] = bucket
            self._unannounced.add(server)
            if len(self._buckets) > MAX_SERVERS:
                del self._buckets[next(iter(self._buckets))]
        elif as_of > bucket.as_of:
            if (bucket.limit is None) != (request.limit is None):
                self._unannounced.add(server)
            bucket.limit = request.limit
            bucket.as_of = as_of
        return bucket


def _grant(
    now: float, bucket: _Bucket, tokens: int = 0
) -> messages.ServerSendGrant:
    return messages.ServerSendGrant(
        limit=bucket.limit, age_s=now - bucket.as_of, granted=tokens
    )
