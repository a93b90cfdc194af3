"""Client accounts: who may send requests, with which keys, and how many.

A key is a secret. It is stored and compared as a digest, which is computed as
soon as a request or a configuration is decoded. So no log line, dump or metric
can expose the key; they show the account's name instead.
"""

import hashlib
import re
from typing import Final
from typing import Literal

import msgspec

# What a limit counts: requests, or the tokens that they may use.
Unit = Literal['request', 'token']

_DIGEST_BYTES: Final = 16
# Scheme and key of an Authorization header.
_BEARER: Final = re.compile(r'(?i:bearer) +([!-~]{1,256})')


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """The rate limit of an account, over all entry VMs together."""

    unit: Unit = 'request'
    # Units a second; 0 for no limit.
    rate: float = 0.0
    # Units that may be used at once beyond the rate.
    burst: float = 0.0
    # Tokens that are counted for a request that states no token count.
    plain_tokens: int = 0

    def cost(self, prompt_tokens: int, output_tokens: int) -> int:
        """Returns the cost of one request, units."""
        if self.unit == 'request':
            return 1
        return (prompt_tokens + output_tokens) or self.plain_tokens


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """One client account."""

    name: str
    # Digests of its keys.
    keys: frozenset[bytes] = frozenset()
    # Overrides the priority of a route; None leaves the route's priority in
    # force.
    priority: int | None = None
    limit: Limit = Limit()


class Accounts:
    """The accounts of one version of the configuration, by key."""

    __slots__ = ('_by_key', '_by_name')

    def __init__(self, client_accounts: tuple[Account, ...]) -> None:
        self._by_name = {account.name: account for account in client_accounts}
        self._by_key = {
            key: account for account in client_accounts for key in account.keys
        }

    def __len__(self) -> int:
        return len(self._by_name)

    def names(self) -> frozenset[str]:
        """Returns the names of all accounts."""
        return frozenset(self._by_name)

    def by_key(self, key: bytes | None) -> Account | None:
        """Returns the account with a key, given as the key's digest."""
        return None if key is None else self._by_key.get(key)

    def by_name(self, name: str) -> Account | None:
        """Returns the account with a name; None if there is none."""
        return self._by_name.get(name)


def digest(key: str) -> bytes:
    """Returns the digest under which a key is stored and compared."""
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()


def from_header(value: str) -> bytes | None:
    """Returns the digest of the key in an Authorization header.

    Returns None if the header has no valid key. The values of a repeated header
    are joined, so that it has no valid key either.
    """
    match = _BEARER.fullmatch(value)
    return digest(match[1]) if match else None
