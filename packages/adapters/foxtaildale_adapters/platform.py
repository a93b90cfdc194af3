"""The platform's log and list of VMs over HTTP.

    POST /log/STREAM   msgpack list of bytes -> JSON {"first": n}
    GET  /log/STREAM?from=N&limit=K -> msgpack [first, end, [[offset, data]]]
    GET  /vms          JSON of `values.Listing`

A read of lapsed records is answered 410 with {"first": n}. 503 means that the
store is down and did nothing.
"""

from collections.abc import Sequence
import threading
import time
from typing import Final
from typing import TypeVar

import msgspec

from foxtaildale import errors
from foxtaildale import ports
from foxtaildale import values
from foxtaildale_adapters import breaker
from foxtaildale_adapters import exchange

# How long calls fail at once after one was left without an answer, seconds.
HOLD_OFF_S: Final = 1.0


class _First(msgspec.Struct):
    first: int


class _Batch(msgspec.Struct, array_like=True):
    first: int
    end: int
    records: tuple[tuple[int, bytes], ...]


_T = TypeVar('_T')

_first: Final = msgspec.json.Decoder(_First)
_batch: Final = msgspec.msgpack.Decoder(_Batch)
_listing: Final = msgspec.json.Decoder(values.Listing)


class Platform:
    """Implements `ports.Log` and `ports.Directory`."""

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
        hold_off_s: float = HOLD_OFF_S,
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s
        self._clock = clock
        self._exchange = exchange.Exchange(clock)
        self._breaker = breaker.Breaker(hold_off_s)
        self._lock = threading.Lock()

    def append(self, stream: str, records: Sequence[bytes]) -> int:
        """Appends all records at once and returns the first one's offset."""
        body = msgspec.msgpack.encode(list(records))
        answer = self._send('POST', f'/log/{exchange.quote(stream)}', body)
        return _decode(_first, answer.body).first

    def read(self, stream: str, offset: int, limit: int = 1000) -> ports.Batch:
        """Reads from an offset.

        Raises:
            errors.LapsedError: The offset is older than what is kept.
        """
        path = f'/log/{exchange.quote(stream)}?from={offset}&limit={limit}'
        answer = self._send('GET', path)
        found = _decode(_batch, answer.body)
        return ports.Batch(
            found.first,
            found.end,
            tuple(ports.Record(at, data) for at, data in found.records),
        )

    def listing(self) -> values.Listing:
        """Reads the list."""
        return _decode(_listing, self._send('GET', '/vms').body)

    def _send(
        self, method: str, path: str, body: bytes | None = None
    ) -> exchange.Answer:
        with self._lock:
            if not self._breaker.admits(self._clock()):
                raise errors.UnreachableError('the platform is not answering')
        try:
            answer = self._exchange.send(
                self._address,
                method,
                path,
                timeout_s=self._timeout_s,
                body=body,
            )
        except (exchange.TimeoutLostError, exchange.SilentError):
            with self._lock:
                self._breaker.timed_out(self._clock())
            raise
        except BaseException:
            # Refused or cut at once: costs nobody a wait.
            with self._lock:
                self._breaker.answered()
            raise
        with self._lock:
            self._breaker.answered()
        _check(answer)
        return answer


def _check(answer: exchange.Answer) -> None:
    if answer.status == 200:
        return
    if answer.status == 503:
        raise errors.RejectedError('down')
    if answer.status == 410:
        raise errors.RecordsExpiredError(_decode(_first, answer.body).first)
    if 400 <= answer.status < 500:
        raise errors.RejectedError('bad-request', f'status {answer.status}')
    raise errors.NoReplyError(f'status {answer.status}')


def _decode(
    decoder: msgspec.json.Decoder[_T] | msgspec.msgpack.Decoder[_T],
    data: bytes,
) -> _T:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        # Something answered, so the request may have had its effect.
        raise errors.NoReplyError(f'not understood: {exc}') from exc
