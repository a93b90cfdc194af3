"""Model engines over HTTP; `backends` describes the interface.

Short calls share kept connections. A prefill or a transfer may take long and a
stream lasts as long as its answer, so each of these takes a connection of its
own: when it is closed the engine notices, and no other request suffers.
"""

import contextlib
from typing import Final
from typing import TypeVar

import msgspec

from foxtaildale import backends
from foxtaildale import errors
from foxtaildale_adapters import body
from foxtaildale_adapters import events
from foxtaildale_adapters import exchange

# Bound on the short calls: cancel, load, holdings, cache, orders; seconds.
SHORT_S: Final = 2.0

_HEADERS: Final = {'Content-Type': 'application/json'}
_ONCE: Final = {'Content-Type': 'application/json', 'Connection': 'close'}

_T = TypeVar('_T')


class Engines:
    """Implements `ports.Engines` and `ports.Orders`."""

    __slots__ = ('_exchange', '_short_s')

    def __init__(self, short_s: float = SHORT_S) -> None:
        self._short_s = short_s
        self._exchange = exchange.Exchange()

    def prefill(
        self, address: str, req: backends.PrefillReq, timeout_s: float
    ) -> backends.PrefillReply:
        """Runs a prefill and returns when its result is ready."""
        return self._long(
            address, '/prefill', req, backends.PrefillReply, timeout_s
        )

    def import_kv(
        self, address: str, req: backends.ImportReq, timeout_s: float
    ) -> backends.ImportReply:
        """Transfers a KV cache to the decode worker at `address`."""
        return self._long(
            address, '/import', req, backends.ImportReply, timeout_s
        )

    def decode(
        self, address: str, req: backends.DecodeReq, silence_s: float
    ) -> events.Stream:
        """Starts a stream; fails when silent for `silence_s`."""
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
        """Reads a stream on from a position."""
        path = (
            f'/streams/{exchange.quote(stream)}'
            f'?from={position}&holder={exchange.quote(holder)}'
        )
        return self._stream(address, 'GET', path, None, silence_s)

    def cancel(
        self, address: str, req: backends.CancelReq
    ) -> backends.CancelReply:
        """Frees what is held."""
        return self._short(
            address, 'POST', '/cancel', backends.CancelReply, req
        )

    def load(self, address: str) -> backends.Load:
        """Reads the lagging load report."""
        return self._short(address, 'GET', '/load', backends.Load)

    def holdings(self, address: str) -> backends.Holdings:
        """Reads what the engine holds."""
        return self._short(address, 'GET', '/holdings', backends.Holdings)

    def cache_events(self, address: str, after: int) -> backends.CacheEvents:
        """Reads cache events after a number."""
        path = f'/cache?after={after}'
        return self._short(address, 'GET', path, backends.CacheEvents)

    def order(self, address: str, order: backends.Order) -> backends.OrderReply:
        """Orders a wanted state."""
        return self._short(
            address, 'POST', '/orders', backends.OrderReply, order
        )

    def observe(self, address: str) -> backends.Observed:
        """Reads what the backend server is in fact set to."""
        return self._short(address, 'GET', '/orders', backends.Observed)

    def _short(
        self,
        address: str,
        method: str,
        path: str,
        kind: type[_T],
        req: msgspec.Struct | None = None,
    ) -> _T:
        answer = self._exchange.send(
            address,
            method,
            path,
            timeout_s=self._short_s,
            body=None if req is None else msgspec.json.encode(req),
            headers=_HEADERS,
        )
        return _decode(answer, kind)

    def _long(
        self,
        address: str,
        path: str,
        req: msgspec.Struct,
        kind: type[_T],
        timeout_s: float,
    ) -> _T:
        answer = self._exchange.send(
            address,
            'POST',
            path,
            timeout_s=timeout_s,
            body=msgspec.json.encode(req),
            headers=_ONCE,
            reuse=False,
        )
        return _decode(answer, kind)

    def _stream(
        self,
        address: str,
        method: str,
        path: str,
        data: bytes | None,
        silence_s: float,
    ) -> events.Stream:
        resp = exchange.request(
            exchange.connect(address),
            method,
            path,
            connect_s=exchange.CONNECT_S,
            silence_s=silence_s,
            body=data,
            headers=_ONCE,
        )
        if resp.status == 200:
            return events.Stream(body.Body(resp, silence_s), silence_s)
        with contextlib.closing(resp):
            raise _fault(exchange.Answer(resp.status, exchange.read(resp)))


def _decode(answer: exchange.Answer, kind: type[_T]) -> _T:
    if answer.status != 200:
        raise _fault(answer)
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        # Something answered, so the request may have had its effect.
        raise errors.NoReplyError(f'not understood: {exc}') from exc


def _fault(answer: exchange.Answer) -> errors.PortError:
    """Returns the error for an answer that is no success."""
    if answer.status >= 400:
        try:
            fault = msgspec.json.decode(answer.body, type=backends.BackendError)
            return errors.RejectedError(fault.code, fault.message)
        except (msgspec.DecodeError, UnicodeDecodeError):
            pass
    return errors.NoReplyError(f'status {answer.status} without a fault')
