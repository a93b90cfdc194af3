"""HTTP client of the model engines; `backends` describes the interface.

Short calls reuse idle connections. A prefill or a transfer may take long, and a
stream lasts as long as its response, so each of these uses a connection of its
own: closing it notifies the engine and affects no other request.
"""

import contextlib
from typing import Final
from typing import TypeVar

import msgspec

from foxtaildale import backends
from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale_adapters import body
from foxtaildale_adapters import events
from foxtaildale_adapters import http_client

# Timeout of the short calls: cancel, load, holdings, cache, orders; seconds.
SHORT_CALL_TIMEOUT_S: Final = 2.0

_HEADERS: Final = {'Content-Type': 'application/json'}
_CLOSE_HEADERS: Final = {
    'Content-Type': 'application/json',
    'Connection': 'close',
}

_error_decoder: Final = msgspec.json.Decoder(backends.BackendError)

_T = TypeVar('_T')


class Engines:
    """Implements `ports.Engines` and `ports.Orders` over HTTP."""

    __slots__ = ('_exchange', '_short_s')

    def __init__(
        self, short_call_timeout_s: float = SHORT_CALL_TIMEOUT_S
    ) -> None:
        self._short_s = short_call_timeout_s
        self._exchange = http_client.HttpClient()

    def prefill(
        self, address: str, req: backends.PrefillReq, timeout_s: float
    ) -> backends.PrefillReply:
        """Runs a prefill and returns when its result is ready."""
        return self._call_on_new_connection(
            address, '/prefill', req, backends.PrefillReply, timeout_s
        )

    def import_kv(
        self, address: str, req: backends.ImportReq, timeout_s: float
    ) -> backends.ImportReply:
        """Transfers a KV cache to the decode worker at `address`."""
        return self._call_on_new_connection(
            address, '/import', req, backends.ImportReply, timeout_s
        )

    def decode(
        self, address: str, req: backends.DecodeReq, silence_s: float
    ) -> events.Stream:
        """Starts a stream that fails if no data arrives for `silence_s`."""
        data = msgspec.json.encode(req)
        return self._stream(address, 'POST', '/decode', data, silence_s)

    def resume(
        self,
        address: str,
        stream: str,
        position: int,
        holder: str,
        silence_s: float,
    ) -> events.Stream:
        """Resumes a stream from a position."""
        path = (
            f'/streams/{http_client.quote(stream)}'
            f'?from={position}&holder={http_client.quote(holder)}'
        )
        return self._stream(address, 'GET', path, None, silence_s)

    def cancel(
        self, address: str, req: backends.CancelReq
    ) -> backends.CancelReply:
        """Cancels a request and frees the resources reserved for it."""
        return self._call(address, 'POST', '/cancel', backends.CancelReply, req)

    def load(self, address: str) -> backends.Load:
        """Reads the load report, which lags behind the actual load."""
        return self._call(address, 'GET', '/load', backends.Load)

    def holdings(self, address: str) -> backends.Holdings:
        """Reads the requests and resources that the engine holds."""
        return self._call(address, 'GET', '/holdings', backends.Holdings)

    def cache_events(self, address: str, after: int) -> backends.CacheEvents:
        """Reads the cache events after sequence number `after`."""
        path = f'/cache?after={after}'
        return self._call(address, 'GET', path, backends.CacheEvents)

    def order(self, address: str, order: backends.Order) -> backends.OrderReply:
        """Orders the backend server to change to the wanted state."""
        return self._call(
            address, 'POST', '/orders', backends.OrderReply, order
        )

    def observe(self, address: str) -> backends.Observed:
        """Reads the actual state of the backend server."""
        return self._call(address, 'GET', '/orders', backends.Observed)

    def _call(
        self,
        address: str,
        method: str,
        path: str,
        reply_type: type[_T],
        req: msgspec.Struct | None = None,
    ) -> _T:
        response = self._exchange.send(
            address,
            method,
            path,
            timeout_s=self._short_s,
            body=None if req is None else msgspec.json.encode(req),
            headers=_HEADERS,
        )
        return _decode(response, reply_type)

    def _call_on_new_connection(
        self,
        address: str,
        path: str,
        req: msgspec.Struct,
        reply_type: type[_T],
        timeout_s: float,
    ) -> _T:
        response = self._exchange.send(
            address,
            'POST',
            path,
            timeout_s=timeout_s,
            body=msgspec.json.encode(req),
            headers=_CLOSE_HEADERS,
            reuse=False,
        )
        return _decode(response, reply_type)

    def _stream(
        self,
        address: str,
        method: str,
        path: str,
        data: bytes | None,
        silence_s: float,
    ) -> events.Stream:
        resp = http_client.send_request(
            http_client.stream_pool(address),
            method,
            path,
            connect_timeout_s=http_client.CONNECT_TIMEOUT_S,
            read_timeout_s=silence_s,
            body=data,
            headers=_CLOSE_HEADERS,
        )
        if resp.status == 200:
            return events.Stream(body.Body(resp, silence_s), silence_s)
        with contextlib.closing(resp):
            raise _error(
                http_client.Response(resp.status, http_client.read_chunk(resp))
            )


def _decode(response: http_client.Response, reply_type: type[_T]) -> _T:
    if response.status != 200:
        raise _error(response)
    try:
        return decoding.decode(
            lambda data: msgspec.json.decode(data, type=reply_type),
            response.body,
        )
    except errors.DecodeError as exc:
        # A response arrived, so the request may have been executed.
        raise errors.NoReplyError(f'response cannot be decoded: {exc}') from exc


def _error(response: http_client.Response) -> errors.PortError:
    """Returns the error for an unsuccessful response."""
    if response.status >= 400:
        try:
            backend_error = decoding.decode(
                _error_decoder.decode, response.body
            )
            return errors.RejectedError(
                backend_error.code, backend_error.message
            )
        except errors.DecodeError:
            pass
    return errors.NoReplyError(
        f'status {response.status} without an error body'
    )
