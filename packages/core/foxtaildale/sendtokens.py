"""Sends to backend servers that name a limit for all entry VMs together.

One VM is the home of these limits. It lends tokens, one for each send, at the rate
that a server named (`Quota`); the other VMs ask ahead for what they will need and
spend what they have (`Tokens`), so that no request waits for an answer of the home.
A token lapses soon, so that what is not used is lent anew and nobody can save up.
Servers without a limit cost nothing here.

Nothing does I/O; the time is an argument.
"""

from collections.abc import Iterator
import math
from typing import Final

from foxtaildale import messages

# How long a token may be used, seconds.
LEASE_S: Final = 1.0
# Tokens that gather at the home while nobody asks, and seconds of the limit beyond
# those.
_GATHER: Final = 2.0
_GATHER_S: Final = 0.5
# How long a limit holds of which no answer and no VM tells any more, seconds.
HOLDS_S: Final = 60.0
# Least rate that is lent, a second: without an answer now and then nobody would
# learn that a server takes more.
LEAST: Final = 0.2
# A limit that is younger was named just now, seconds; of an older one that a home
# did not know, another home has lent before.
_NEW_S: Final = 1.0
# How long a VM that asked in vain is waited for, seconds: some of its asks.
_WAITS_S: Final = 0.8
# Tokens that one VM is lent at once.
_MOST: Final = 64
# VMs that are remembered of one limit, those that asked last.
VMS: Final = 1024
# Servers whose limits are remembered.
SERVERS: Final = 512


class _Limit:
    """The limit of one server, as a VM that sends to it knows it."""

    __slots__ = (
        'as_of',
        'level',
        'level_at',
        'limit',
        'tokens',
        'until',
        'wants',
    )

    def __init__(self, limit: float, as_of: float) -> None:
        # Requests a second, and when the server said so.
        self.limit = limit
        self.as_of = as_of
        # Sends left, and until when they may be used.
        self.tokens = 0
        self.until = -math.inf
        # Sends that were wanted since the home was last asked.
        self.wants = 0
        # Part of a token that has gathered without a home, and as of when.
        self.level = 0.0
        self.level_at: float | None = None


class Tokens:
    """What one entry VM may send to servers with a limit."""

    __slots__ = ('_ended', '_limits', '_untold')

    def __init__(self) -> None:
        # By server.
        self._limits: dict[str, _Limit] = {}
        # When servers said that they have no limit any more, and those of which
        # the home was not told.
        self._ended: dict[str, float] = {}
        self._untold: set[str] = set()

    def limit(self, server: str) -> float | None:
        """Returns a server's limit, requests a second; None if it has none."""
        found = self._limits.get(server)
        return None if found is None else found.limit

    def limits(self) -> dict[str, float]:
        """Returns all limits, requests a second, by server."""
        return {server: known.limit for server, known in self._limits.items()}

    def named(self, now: float, server: str, limit: float | None) -> None:
        """Takes what an answer of a server says."""
        if limit is None:
            if self._limits.pop(server, None) is not None:
                self._ended[server] = now
                self._untold.add(server)
            return
        self._put(server, limit, now)

    def take(self, now: float, server: str) -> bool:
        """Takes one send to a server; returns whether there is one."""
        found = self._limits.get(server)
        if found is None:
            return True
        found.wants += 1
        if found.tokens and now < found.until:
            found.tokens -= 1
            return True
        return False

    def spent(self, now: float) -> frozenset[str]:
        """Returns the servers that may get nothing now, and wants a send."""
        without = set()
        for server, found in self._limits.items():
            if not found.tokens or now >= found.until:
                found.wants = max(found.wants, 1)
                without.add(server)
        return frozenset(without)

    def asks(self, now: float) -> dict[str, messages.SendAsk]:
        """Returns what to ask the home, by server; begins to count anew."""
        self._forget(now)
        found = {}
        for server, known in self._limits.items():
            left = known.tokens if now < known.until else 0
            lapsed, known.tokens = known.tokens - left, left
            wants = min(_MOST, known.wants) - left
            known.wants = 0
            found[server] = messages.SendAsk(
                limit=known.limit,
                age_s=now - known.as_of,
                wants=max(0, wants),
                lapsed=lapsed,
            )
        for server in self._untold & self._ended.keys():
            age_s = now - self._ended[server]
            found[server] = messages.SendAsk(limit=None, age_s=age_s, wants=0)
        self._untold.clear()
        return {
            server: ask
            for server, ask in found.items()
            if ask.wants
            or ask.lapsed
            or ask.limit is None
            or ask.age_s < _NEW_S
        }

    def granted(
        self, now: float, grants: dict[str, messages.SendGrant]
    ) -> None:
        """Takes what the home says and lends."""
        for server, grant in grants.items():
            as_of = now - grant.age_s
            known = self._limits.get(server)
            if as_of <= self._ended.get(server, -math.inf):
                continue
            if known is None or as_of > known.as_of:
                if grant.limit is None:
                    self._limits.pop(server, None)
                    self._ended[server] = as_of
                    continue
                known = self._put(server, grant.limit, as_of)
            known.level_at = None
            if grant.tokens:
                left = known.tokens if now < known.until else 0
                known.tokens = left + grant.tokens
                known.until = now + LEASE_S

    def alone(self, now: float, entry_vms: int) -> None:
        """Lends this VM its part of each limit, since no home answers."""
        for known in self._limits.values():
            since = now if known.level_at is None else known.level_at
            rate = max(LEAST, known.limit) / max(1, entry_vms)
            known.level = min(1.0, known.level + rate * (now - since))
            known.level_at = now
            if known.level >= 1.0 and not (known.tokens and now < known.until):
                known.level = 0.0
                known.tokens = 1
                known.until = now + LEASE_S

    def _put(self, server: str, limit: float, as_of: float) -> _Limit:
        known = self._limits.get(server)
        if known is None:
            known = self._limits[server] = _Limit(limit, as_of)
            if len(self._limits) > SERVERS:
                del self._limits[next(iter(self._limits))]
        known.limit = limit
        known.as_of = as_of
        self._ended.pop(server, None)
        return known

    def _forget(self, now: float) -> None:
        for server, known in list(self._limits.items()):
            if now - known.as_of > HOLDS_S:
                del self._limits[server]
        for server, ended_at in list(self._ended.items()):
            if now - ended_at > HOLDS_S:
                del self._ended[server]


class _Bucket:
    """What the home has left to lend of one server's limit."""

    __slots__ = ('as_of', 'level', 'level_at', 'limit', 'vms')

    def __init__(self, now: float, limit: float, as_of: float) -> None:
        # None once the server named none.
        self.limit: float | None = limit
        self.as_of = as_of
        is_new = now - as_of < _NEW_S
        self.level = self.most() if is_new else 0.0
        self.level_at = now
        # When each VM that uses it was last lent a token and last asked for more
        # than it got, seconds.
        self.vms: dict[str, tuple[float, float]] = {}

    def most(self) -> float:
        """Returns how many tokens may gather."""
        return _GATHER + _GATHER_S * self.rate()

    def rate(self) -> float:
        """Returns how many tokens a second are lent."""
        return max(LEAST, self.limit or 0.0)

    def lend(self, now: float, holder: str, wants: int, lapsed: int) -> int:
        """Lends tokens; keeps one for each VM that waits for longer.

        Args:
            now: Seconds.
            holder: The VM that asks.
            wants: Tokens that it wants.
            lapsed: Those that it was lent before and did not use.
        """
        gathered = self.rate() * (now - self.level_at) + lapsed
        self.level = min(self.most(), self.level + gathered)
        self.level_at = now
        lent_at, _ = self.vms.pop(holder, (-math.inf, 0.0))
        lent = 0
        if wants and self.level >= 1.0:
            before = sum(
                now - asked_at <= _WAITS_S and vm_lent_at < lent_at
                for vm_lent_at, asked_at in self.vms.values()
            )
            lent = min(wants, max(0, int(self.level) - before))
            self.level -= lent
        self.vms[holder] = (
            now if lent else lent_at,
            now if lent < wants else -math.inf,
        )
        if len(self.vms) > VMS:
            del self.vms[next(iter(self.vms))]
        return lent


class Quota:
    """The limits that this entry VM is the home of."""

    __slots__ = ('_buckets', '_news')

    def __init__(self) -> None:
        # By server.
        self._buckets: dict[str, _Bucket] = {}
        # Servers whose limit began or ended, which nobody was told of.
        self._news: set[str] = set()

    def ask(
        self, now: float, holder: str, asks: dict[str, messages.SendAsk]
    ) -> dict[str, messages.SendGrant]:
        """Takes what a VM heard of limits, and lends what it wants."""
        return dict(self._grants(now, holder, asks))

    def news(self, now: float) -> dict[str, messages.SendGrant]:
        """Returns what all VMs should hear of, once."""
        found = {
            server: _grant(now, self._buckets[server])
            for server in self._news
            if server in self._buckets
        }
        self._news.clear()
        return found

    def _grants(
        self, now: float, holder: str, asks: dict[str, messages.SendAsk]
    ) -> Iterator[tuple[str, messages.SendGrant]]:
        for server, ask in asks.items():
            bucket = self._heard(now, server, ask)
            if bucket is None:
                continue
            lent = 0
            if bucket.limit is not None and (ask.wants or ask.lapsed):
                lent = bucket.lend(now, holder, ask.wants, ask.lapsed)
            yield server, _grant(now, bucket, lent)

    def _heard(
        self, now: float, server: str, ask: messages.SendAsk
    ) -> _Bucket | None:
        as_of = now - ask.age_s
        bucket = self._buckets.get(server)
        if bucket is None or now - bucket.as_of > HOLDS_S:
            if ask.limit is None:
                return None
            bucket = _Bucket(now, ask.limit, as_of)
            self._buckets[server] = bucket
            self._news.add(server)
            if len(self._buckets) > SERVERS:
                del self._buckets[next(iter(self._buckets))]
        elif as_of > bucket.as_of:
            if (bucket.limit is None) != (ask.limit is None):
                self._news.add(server)
            bucket.limit = ask.limit
            bucket.as_of = as_of
        return bucket


def _grant(now: float, bucket: _Bucket, tokens: int = 0) -> messages.SendGrant:
    return messages.SendGrant(
        limit=bucket.limit, age_s=now - bucket.as_of, tokens=tokens
    )
