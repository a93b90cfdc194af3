"""Client accounts: who may send requests, under which keys, and how much.

A key is a secret. It is held and compared as a digest, made as soon as a
request or a configuration is decoded, so that nothing that is logged, dumped
or counted later can show it; people read the account's name.
"""

import hashlib
import re
from typing import Final
from typing import Literal

import msgspec

# What a limit counts: requests, or the tokens that they may take.
Unit = Literal['request', 'token']

_DIGEST_BYTES: Final = 16
# Scheme and key of an Authorization header.
_BEARER: Final = re.compile(r'(?i:bearer) +([!-~]{1,256})')


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """How much an account may ask for, over all entry VMs together."""

    unit: Unit = 'request'
    # Units a second; 0 for no limit.
    rate: float = 0.0
    # Units beyond that at once.
    burst: float = 0.0
    # Tokens that a request counts as which tells none.
    plain_tokens: int = 0

    def cost(self, prompt_tokens: int, output_tokens: int) -> int:
        """Returns what one request counts as, in units."""
        if self.unit == 'request':
            return 1
        return (prompt_tokens + output_tokens) or self.plain_tokens


class Account(msgspec.Struct, frozen=True, kw_only=True):
    """One client account."""

    name: str
    # Digests of its keys.
    keys: frozenset[bytes] = frozenset()
    # Goes before the priority of a route; None leaves that one in force.
    priority: int | None = None
    limit: Limit = Limit()


class Accounts:
    """The accounts of one version of the configuration, by key."""

    __slots__ = ('_by_key', '_by_name')

    def __init__(self, known: tuple[Account, ...]) -> None:
        self._by_name = {account.name: account for account in known}
        self._by_key = {
            key: account for account in known for key in account.keys
        }

    def __len__(self) -> int:
        return len(self._by_name)

    def names(self) -> frozenset[str]:
        """Returns the names of all."""
        return frozenset(self._by_name)

    def holder(self, key: bytes | None) -> Account | None:
        """Returns the account that has a key, given as its digest."""
        return None if key is None else self._by_key.get(key)

    def named(self, name: str) -> Account | None:
        """Returns an account."""
        return self._by_name.get(name)


def digest(key: str) -> bytes:
    """Returns what stands for a key wherever it is kept or compared."""
    return hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()


def from_header(value: str) -> bytes | None:
    """Returns the digest of the key in an Authorization header.

    None if there is none that can be read. A header that came twice has its
    values joined, and is none.
    """
    found = _BEARER.fullmatch(value)
    return digest(found[1]) if found else None
