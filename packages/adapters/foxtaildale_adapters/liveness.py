"""Proves that a backend server went on beyond the end of a response.

A process that ends closes its connections too, and another process may listen
at its address before anyone looks. A response that ends with its connection is
therefore complete only if its server responds, after the end, on a connection
that it accepted before the request was sent: a connection belongs to one
process, and a server is one process.

A request to a service with unframed responses takes a connection that is kept
for reuse, or opens one. Before the first unframed response of a service it does
neither, so that only a connection that is still kept after the end can be used.
"""

import http.client
import logging
import math
import time
from typing import Final

import urllib3.connection
import urllib3.exceptions
import urllib3.util

from foxtaildale_adapters import connectors
from foxtaildale_adapters import idle_connections
from foxtaildale_adapters import logs
from foxtaildale_adapters import server_connection
from foxtaildale_adapters import unframed_services

# Time for the response, seconds. A sound server may be silent for a second.
CALL_TIMEOUT_S: Final = 1.5
_CALL_ERRORS: Final = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
    AttributeError,
)


class Liveness:
    """What the requests of a client share."""

    __slots__ = (
        'attempt_header',
        'connector',
        'idle_conns',
        'path',
        'unframed',
    )

    def __init__(
        self,
        connector: connectors.Connector,
        idle_conns: idle_connections.IdleConnections,
        *,
        path: str,
        attempt_header: str,
    ) -> None:
        self.connector = connector
        self.idle_conns = idle_conns
        # Path that any server responds to, with whatever status.
        self.path = path
        # Header of responses to other requests, of which a late one may be
        # left on a connection.
        self.attempt_header = attempt_header
        self.unframed = unframed_services.UnframedServices()

    def watch(self, address: str, service: str) -> 'Watch':
        """Returns a watch for one request to the server at 'IP:PORT'."""
        return Watch(self, address, service)


class Watch:
    """Watches the server of one request; one thread uses it."""

    __slots__ = (
        '_address',
        '_kept',
        '_opened',
        '_service',
        '_shared',
        '_started_at',
    )

    def __init__(self, shared: Liveness, address: str, service: str) -> None:
        self._shared = shared
        self._address = address
        self._service = service
        # The connection on which the server may be called: one that is kept for
        # reuse, or one of this watch; both None if there is none.
        self._kept: idle_connections.IdleConnection | None = None
        self._opened: server_connection.ServerConnection | None = None
        # Time before which a connection must have been opened, seconds.
        self._started_at = -math.inf

    def start(self) -> None:
        """Prepares the proof; called before the request is sent."""
        if self._service in self._shared.unframed:
            self._kept = self._shared.idle_conns.pop(self._address)
            if self._kept is None:
                self._open()
        self._started_at = time.monotonic()

    def _open(self) -> None:
        conn = server_connection.ServerConnection(
            self._address, self._shared.connector
        )
        try:
            conn.connect()
        except _CALL_ERRORS as exc:
            logs.event(
                logging.INFO,
                'server not watched',
                address=self._address,
                service=self._service,
                error=str(exc),
            )
            return
        self._opened = conn

    def record_framing(self, *, framed: bool) -> None:
        """Records whether the response has a length or chunks."""
        self._shared.unframed.record(self._service, framed=framed)

    def is_server_running(self, timeout_s: float) -> bool:
        """Returns whether the server is known to have gone on until now."""
        called_at = time.monotonic()
        proof = self._find_proof(min(timeout_s, CALL_TIMEOUT_S))
        logs.event(
            logging.INFO,
            'unframed response ended',
            address=self._address,
            service=self._service,
            proof=proof or 'none',
            took_ms=int((time.monotonic() - called_at) * 1000),
            watched_ms=int((called_at - self._started_at) * 1000),
        )
        return bool(proof)

    def close(self) -> None:
        """Releases the connection; may be called more than once."""
        kept, self._kept = self._kept, None
        opened, self._opened = self._opened, None
        if kept is not None:
            self._shared.idle_conns.put_back(self._address, kept)
        if opened is not None:
            # Servers limit the number of open connections.
            opened.close()

    def _find_proof(self, timeout_s: float) -> str:
        """Returns which connection the server responded on; '' if on none."""
        if self._opened is not None and self._responds(self._opened, timeout_s):
            return 'opened'
        kept, self._kept = self._kept, None
        if kept is not None and self._responds(kept.conn, timeout_s):
            return 'kept'
        kept = self._shared.idle_conns.pop(
            self._address, opened_before=self._started_at
        )
        if kept is not None and self._responds(kept.conn, timeout_s):
            return 'kept'
        return ''

    def _responds(
        self, conn: urllib3.connection.HTTPConnection, timeout_s: float
    ) -> bool:
        """Whether the server responds on a connection, which is closed."""
        # A new connection would prove nothing.
        conn.auto_open = 0
        try:
            if not idle_connections.is_quiet(conn):
                raise ConnectionError('closed')
            conn.timeout = timeout_s
            conn.sock.settimeout(max(0.001, timeout_s))
            conn.request(
                'GET',
                self._shared.path,
                headers={
                    'User-Agent': urllib3.util.SKIP_HEADER,
                    'Accept-Encoding': urllib3.util.SKIP_HEADER,
                },
                preload_content=False,
            )
            resp = conn.getresponse()
            if self._shared.attempt_header in resp.headers:
                raise ConnectionError('response to another request')
        except _CALL_ERRORS as exc:
            logs.event(
                logging.INFO,
                'server not seen to go on',
                address=self._address,
                service=self._service,
                error=str(exc),
            )
            return False
        finally:
            conn.close()
        return True
