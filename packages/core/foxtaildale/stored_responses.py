"""Complete responses, stored for callers that lost their connection.

A summary runs only once. Without a stored response, a caller whose connection
broke before the response arrived would learn that the request ran, but never
get its text. The keeper of the VM that ran the requests stores the responses up
to a number of bytes and evicts the oldest first; after that only the outcome
is known.
"""

import collections
from typing import Final

# Largest size of all stored responses and of one response, bytes. They share
# the 32 MB of the control process.
_MAX_TOTAL_BYTES: Final = 4 * 1024 * 1024
_MAX_RESPONSE_BYTES: Final = 512 * 1024


class StoredResponses:
    """Stored responses by service and key."""

    __slots__ = ('_bytes', '_limit', '_responses')

    _responses: collections.OrderedDict[tuple[str, str], bytes]
    # Size of all stored responses, bytes.
    _bytes: int
    _limit: int

    def __init__(self, limit: int = _MAX_TOTAL_BYTES) -> None:
        self._responses = collections.OrderedDict()
        self._bytes = 0
        self._limit = limit

    def put(self, service: str, key: str, response: bytes) -> None:
        """Stores a response unless it is too long."""
        if len(response) > min(_MAX_RESPONSE_BYTES, self._limit):
            return
        old = self._responses.pop((service, key), b'')
        self._responses[service, key] = response
        self._bytes += len(response) - len(old)
        while self._bytes > self._limit:
            _, evicted = self._responses.popitem(last=False)
            self._bytes -= len(evicted)

    def get(self, service: str, key: str) -> bytes:
        """Returns a stored response; empty if there is none."""
        return self._responses.get((service, key), b'')
