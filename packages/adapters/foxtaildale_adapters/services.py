"""Plain services over HTTP.

    POST /CALL, header `Foxtaildale-Request` -> any status and body

A call may be one that must not run twice, so no call is retried and every call
opens its own connection. If a call reused an idle connection that the service
closes, or that a middlebox on the path has dropped, it would be needlessly
unknown whether the request ran.
"""

from typing import Final

from foxtaildale import ports
from foxtaildale_adapters import http_client

# Carries the request id, by which the service recognises a request.
REQUEST_HEADER: Final = 'Foxtaildale-Request'


class Services:
    """Implements `ports.Services`."""

    __slots__ = ('_exchange',)

    def __init__(self) -> None:
        self._exchange = http_client.HttpClient()

    def call(
        self,
        address: str,
        call: str,
        body: bytes,
        request: str,
        timeout_s: float,
    ) -> ports.Reply:
        """Sends one call; the service recognises it by the id `request`."""
        response = self._exchange.send(
            address,
            'POST',
            '/' + http_client.quote(call),
            timeout_s=timeout_s,
            body=body,
            headers={
                REQUEST_HEADER: request,
                'Content-Type': 'application/json',
                'Connection': 'close',
            },
            reuse=False,
        )
        return ports.Reply(response.status, response.body)
