"""The HTTP server that faces callers; `httpd` says how it treats them."""

import threading
from typing import Final

from foxtaildale import errors
from foxtaildale_adapters import httpd
from foxtaildale_adapters import incoming

# How long `close` waits for handlers that are still at work, seconds.
CLOSE_S: Final = 3.0
# Time between looks for connections that were idle for too long, which is also
# how long a close waits, seconds. A look wakes a thread.
LOOK_S: Final = 0.1
# An idle timeout of minus this closes every idle connection at the library's
# next look, whatever the time of day did meanwhile; seconds.
NEVER_IDLE_S: Final = 1e6

Exchange = incoming.Exchange
Handler = incoming.Handler


class Server:
    """Serves callers.

    Args:
        address: 'IP:PORT' to bind; port 0 lets the kernel choose.
        handler: Answers the exchanges, each in a thread of its own.
        threads: Exchanges at once.
        timeout_s: Time for a request to arrive whole, and longest wait for a
            caller that does not read its answer, seconds.
        max_body_bytes: Longest body taken.
        entry_vm: Name for errors that no handler sees.
        half_close: Whether a caller that closed its sending side may still
            listen; it is probed then. Where callers never do that, a FIN
            alone says that the caller is gone.
        look_s: Time between looks for idle connections, seconds.
    """

    __slots__ = ('_server', '_thread')

    def __init__(
        self,
        address: str,
        handler: Handler,
        threads: int,
        timeout_s: float,
        max_body_bytes: int,
        *,
        entry_vm: str = '',
        half_close: bool = True,
        look_s: float = LOOK_S,
    ) -> None:
        host, _, port = address.rpartition(':')
        self._server = httpd.HttpServer(
            (host, int(port)), handler, threads, look_s
        )
        self._server.timeout = timeout_s  # type: ignore[assignment]
        self._server.max_request_body_size = max_body_bytes
        self._server.entry_vm = entry_vm
        self._server.half_close = half_close
        self._thread: threading.Thread | None = None

    def start(self) -> str:
        """Binds and serves.

        Returns:
            The bound address.

        Raises:
            errors.UnreachableError: The address can't be bound.
        """
        bound = threading.Event()
        failed: list[OSError] = []

        def run() -> None:
            try:
                self._server.prepare()
            except OSError as exc:
                failed.append(exc)
                return
            finally:
                bound.set()
            self._server.serve()

        # The library's threads inherit that this one is a daemon: a handler
        # that hangs can't keep a stopped process alive.
        self._thread = threading.Thread(target=run, name='callers', daemon=True)
        self._thread.start()
        bound.wait()
        if failed:
            raise errors.UnreachableError(str(failed[0])) from failed[0]
        self._server.watcher.start()
        host, port = self._server.bind_addr
        return f'{host}:{port}'

    def on_limits(self, idle_s: float, read_s: float, body_bytes: int) -> None:
        """Takes new limits; requests in progress keep what they began with.

        Args:
            idle_s: How long a connection may wait for its next request.
            read_s: Time for a request to arrive whole.
            body_bytes: Longest body taken.
        """
        self._server.timeout = idle_s  # type: ignore[assignment]
        self._server.read_s = read_s
        self._server.max_request_body_size = body_bytes

    def announce_stop(self) -> None:
        """Goes on accepting; every answer closes its connection."""
        self._server.draining = True

    def stop_accepting(self) -> None:
        """Takes no new connections; answers close the ones there are."""
        if self._server.accepting:
            self._server.accepting = False
            self._server.stop_accepting()

    def close_idle(self) -> None:
        """Closes connections that wait for a request, within a moment.

        One whose request is under way is answered and closes after it.
        """
        self._server.timeout = -NEVER_IDLE_S  # type: ignore[assignment]

    def drain(self, timeout_s: float) -> bool:
        """Waits until every exchange ended.

        Returns:
            False if some were still going on at the timeout.
        """
        with self._server.idle_again:
            return self._server.idle_again.wait_for(
                lambda: not self._server.busy, timeout_s
            )

    def busy(self) -> int:
        """Returns how many exchanges are going on."""
        return self._server.busy

    def close(self) -> None:
        """Closes every connection, also those in use.

        Takes a few seconds at most, whatever the handlers do.
        """
        if self._thread is None or not self._thread.is_alive():
            return
        self.stop_accepting()
        # The library waits for its threads without a bound; a handler that
        # hangs would keep a stopped process alive for good.
        stop = threading.Thread(target=self._server.stop, daemon=True)
        stop.start()
        stop.join(CLOSE_S)
        self._thread.join(CLOSE_S)
        self._server.watcher.close()
