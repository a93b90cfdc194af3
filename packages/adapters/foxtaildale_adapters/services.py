"""Plain services over HTTP.

    POST /CALL, header `Foxtaildale-Request` -> any status and body

A call may be one that must not run twice, so nothing is repeated and every
call takes a connection of its own: an idle one that closes, or that something
in between has forgotten, would leave a request's fate unknown for nothing.
"""

from typing import Final

from foxtaildale import ports
from foxtaildale_adapters import exchange

# Lets the service recognise a request.
REQUEST_HEADER: Final = 'Foxtaildale-Request'


class Services:
    """Implements `ports.Services`."""

    __slots__ = ('_exchange',)

    def __init__(self) -> None:
        self._exchange = exchange.Exchange()

    def call(
        self,
        address: str,
        call: str,
        body: bytes,
        request: str,
        timeout_s: float,
    ) -> ports.Reply:
        """Sends one call; `request` lets the service recognise it."""
        answer = self._exchange.send(
            address,
            'POST',
            '/' + exchange.quote(call),
            timeout_s=timeout_s,
            body=body,
            headers={
                REQUEST_HEADER: request,
                'Content-Type': 'application/json',
                'Connection': 'close',
            },
            reuse=False,
        )
        return ports.Reply(answer.status, answer.body)
