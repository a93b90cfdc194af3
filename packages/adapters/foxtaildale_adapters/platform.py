"""The platform's log and list of VMs over HTTP.

    POST /log/STREAM   msgpack list of bytes -> JSON {"first": n}
    GET  /log/STREAM?from=N&limit=K -> msgpack [first, end, [[offset, data]]]
    GET  /vms          JSON of `values.Listing`

A read of expired records returns status 410 with {"first": n}. Status 503
means that the store is down and did nothing.
"""

from collections.abc import Sequence
import threading
import time
from typing import Final
from typing import TypeVar

import msgspec

from foxtaildale import decoding
from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_adapters import breaker
from foxtaildale_adapters import http_client

# Time in which calls fail without being sent, after a call timed out; seconds.
RETRY_DELAY_S: Final = 1.0


class _First(msgspec.Struct):
    first: int


class _Batch(msgspec.Struct, array_like=True):
    first: int
    end: int
    records: tuple[tuple[int, bytes], ...]


_T = TypeVar('_T')

_first_decoder: Final = msgspec.json.Decoder(_First)
_batch_decoder: Final = msgspec.msgpack.Decoder(_Batch)
_listing: Final = msgspec.json.Decoder(values.Listing)


class Platform:
    """Implements `ports.Log` and `ports.Directory` over HTTP."""

    __slots__ = (
        '_address',
        '_breaker',
        '_clock',
        '_exchange',
        '_lock',
        '_timeout_s',
    )

    def __init__(
        self,
        address: str,
        timeout_s: float,
        clock: ports.Clock = time.monotonic,
        retry_delay_s: float = RETRY_DELAY_S,
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._clock = clock
        self._exchange = http_client.HttpClient(clock)
        self._breaker = breaker.Breaker(retry_delay_s)
        self._lock = threading.Lock()

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Appends all records atomically; returns the offset of the first."""
        body = msgspec.msgpack.encode(list(records))
        response = self._send('POST', f'/log/{http_client.quote(stream)}', body)
        return _decode(_first_decoder, response.body).first

    def read(self, stream: str, offset: int, limit: int = 1000) -> ports.Batch:
        """Reads up to `limit` records from an offset.

        Raises:
            errors.RecordsExpiredError: The record at the offset has expired.
        """
        path = f'/log/{http_client.quote(stream)}?from={offset}&limit={limit}'
        response = self._send('GET', path)
        batch = _decode(_batch_decoder, response.body)
        return ports.Batch(
            batch.first,
            batch.end,
            tuple(
                ports.Record(record_offset, data)
                for record_offset, data in batch.records
            ),
        )

    def listing(self) -> values.Listing:
        """Reads the list of VMs."""
        return _decode(_listing, self._send('GET', '/vms').body)

    def _send(
        self, method: str, path: str, body: bytes | None = None
    ) -> http_client.Response:
        with self._lock:
            if not self._breaker.try_admit(self._clock()):
                raise errors.UnreachableError('the platform is not answering')
        try:
            response = self._exchange.send(
                self._address,
                method,
                path,
                timeout_s=self._timeout_s,
                body=body,
            )
        except (
            http_client.ResponseTimeoutError,
            http_client.ConnectTimeoutError,
        ):
            with self._lock:
                self._breaker.record_timeout(self._clock())
            raise
        except BaseException:
            # A connection that was refused or closed at once delays no caller.
            with self._lock:
                self._breaker.record_response()
            raise
        with self._lock:
            self._breaker.record_response()
        _check(response)
        return response


def _check(response: http_client.Response) -> None:
    if response.status == 200:
        return
    if response.status == 503:
        raise errors.RejectedError('down')
    if response.status == 410:
        raise errors.RecordsExpiredError(
            _decode(_first_decoder, response.body).first
        )
    if 400 <= response.status < 500:
        raise errors.RejectedError('bad-request', f'status {response.status}')
    raise errors.NoReplyError(f'status {response.status}')


def _decode(
    decoder: msgspec.json.Decoder[_T] | msgspec.msgpack.Decoder[_T],
    data: bytes,
) -> _T:
    try:
        return decoding.decode(decoder.decode, data)
    except errors.DecodeError as exc:
        # A response arrived, so the request may have been executed.
        raise errors.NoReplyError(f'response cannot be decoded: {exc}') from exc
