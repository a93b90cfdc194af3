"""The HTTP server that faces callers; `httpd` says how it treats them."""

import threading

from foxtaildale import errors
from foxtaildale_adapters import httpd
from foxtaildale_adapters import incoming

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
    ) -> None:
        host, _, port = address.rpartition(':')
        self._server = httpd.HttpServer((host, int(port)), handler, threads)
        self._server.timeout = timeout_s  # type: ignore[assignment]
        self._server.max_request_body_size = max_body_bytes
        self._server.entry_vm = entry_vm
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

    def stop_accepting(self) -> None:
        """Takes no new connections; answers close the ones there are."""
        if self._server.socket is not None:
            self._server.stop_accepting()

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
        """Closes every connection, also those in use."""
        if self._thread is None or not self._thread.is_alive():
            return
        self.stop_accepting()
        self._server.stop()
        self._thread.join()
        self._server.watcher.close()
