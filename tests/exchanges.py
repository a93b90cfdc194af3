"""Requests of callers for tests that need no connection."""

from typing import Any

from foxtaildale_adapters import caller_exchange
from foxtaildale_platform import names


class _Sent:
    """Stands for a caller's request."""

    def __init__(self, headers: dict[str, str]) -> None:
        self.headers = {'host': 'h.example', names.ATTEMPT: 'id1'} | headers
        self.method = 'POST'
        self.target = '/a/%41?q=%20'
        self.body = b'body'


def make(headers: dict[str, str]) -> caller_exchange.Exchange:
    """Returns a request with some headers, named in lower case."""
    sent: Any = _Sent(headers)
    exchange: caller_exchange.Exchange = sent
    return exchange
