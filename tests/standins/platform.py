"""The platform: append-only log, lagging list of VMs, weight store.

Faults: `down` answers 503 and does nothing; `slow_ms` delays every answer;
`lose_answers` has the effect and cuts the connection instead of answering, for
that many appends (-1: for all); `list_frozen` shows the list as it was.
"""

import collections
import threading
import time

import defopt
import msgspec

from foxtaildale import values
from tests.standins import serving


class Faults(msgspec.Struct):
    """What is wrong with the platform just now."""

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    list_frozen: bool = False


class _Stream:
    """Records of one stream, the oldest dropped by count and age."""

    __slots__ = ('first', 'records')

    def __init__(self) -> None:
        self.first = 0
        # Pairs of time and data.
        self.records: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )

    def trim(self, keep: int, oldest: float) -> None:
        """Drops records beyond a count or older than a time."""
        while self.records and (
            len(self.records) > keep or self.records[0][0] < oldest
        ):
            self.records.popleft()
            self.first += 1


class Platform:
    """State of the stand-in, and its handler."""

    def __init__(
        self,
        keep_records: int,
        keep_s: float,
        list_lag_s: float,
        appends_s: float,
        weights_bytes_s: float,
    ) -> None:
        self._keep_records = keep_records
        self._keep_s = keep_s
        self._list_lag_s = list_lag_s
        self._appends_s = appends_s
        self._weights_bytes_s = weights_bytes_s
        self._lock = threading.Lock()
        self._streams: dict[str, _Stream] = {}
        # Lists with the time from which each is shown, oldest first.
        self._lists = [(0.0, values.Listing(0, (), ()))]
        self._newest = self._lists[0][1]
        # When the rate limits let the next append or download pass.
        self._next_append = 0.0
        self._next_weights = 0.0
        self._faults = Faults()
        self._appends = 0

    def handle(self, req: serving.Request) -> serving.Response:
        """Answers one request."""
        if req.path == '/faults':
            self._faults = serving.merge(self._faults, req.body)
            return serving.as_json(self._faults)
        if req.path == '/record':
            return serving.as_json({'appends': self._appends})
        if req.path == '/vms' and req.method == 'PUT':
            return self._put_list(req.body)
        time.sleep(self._faults.slow_ms / 1000)
        if self._faults.down:
            return serving.Response(status=503)
        return self._serve(req)

    def _serve(self, req: serving.Request) -> serving.Response:
        head, _, name = req.path[1:].partition('/')
        match req.method, head:
            case 'POST', 'log':
                return self._append(name, req.body)
            case 'GET', 'log':
                return self._read(name, req.query)
            case 'GET', 'vms':
                return serving.as_json(self._list())
            case 'GET', 'weights':
                return self._weights(req.query)
        return serving.Response(status=404)

    def _append(self, name: str, body: bytes) -> serving.Response:
        try:
            records = msgspec.msgpack.decode(body, type=list[bytes])
        except msgspec.DecodeError:
            return serving.Response(status=400)
        with self._lock:
            now = time.monotonic()
            self._next_append = max(now, self._next_append) + (
                1 / self._appends_s
            )
            wait = self._next_append - now - 1 / self._appends_s
        time.sleep(max(0.0, wait))
        with self._lock:
            stream = self._streams.setdefault(name, _Stream())
            now = time.monotonic()
            first = stream.first + len(stream.records)
            stream.records.extend((now, data) for data in records)
            stream.trim(self._keep_records, now - self._keep_s)
            self._appends += 1
            lose = self._faults.lose_answers
            if lose > 0:
                self._faults.lose_answers -= 1
        if lose:
            raise serving.Cut
        return serving.as_json({'first': first})

    def _read(self, name: str, query: dict[str, str]) -> serving.Response:
        offset = int(query.get('from', '0'))
        limit = int(query.get('limit', '1000'))
        with self._lock:
            stream = self._streams.setdefault(name, _Stream())
            stream.trim(self._keep_records, time.monotonic() - self._keep_s)
            if offset < stream.first:
                return serving.as_json({'first': stream.first}, 410)
            skip = offset - stream.first
            shown = list(stream.records)[skip : skip + limit]
            end = stream.first + len(stream.records)
            found = (
                stream.first,
                end,
                [(offset + i, data) for i, (_, data) in enumerate(shown)],
            )
        return serving.Response(
            msgspec.msgpack.encode(found), kind='application/msgpack'
        )

    def _put_list(self, body: bytes) -> serving.Response:
        try:
            listing = msgspec.json.decode(body, type=values.Listing)
        except msgspec.DecodeError as exc:
            return serving.as_json({'error': str(exc)}, 400)
        with self._lock:
            version = self._newest.version + 1
            self._newest = msgspec.structs.replace(listing, version=version)
            shown_from = time.monotonic() + self._list_lag_s
            self._lists.append((shown_from, self._newest))
        return serving.as_json({'version': version})

    def _list(self) -> values.Listing:
        with self._lock:
            now = time.monotonic()
            frozen = self._faults.list_frozen
            while not frozen and len(self._lists) > 1:
                if self._lists[1][0] > now:
                    break
                self._lists.pop(0)
            return self._lists[0][1]

    def _weights(self, query: dict[str, str]) -> serving.Response:
        """Gives as many zero bytes as asked for, no faster than the limit."""
        size = min(int(query.get('bytes', '1000000')), 100_000_000)
        with self._lock:
            now = time.monotonic()
            self._next_weights = (
                max(now, self._next_weights) + size / self._weights_bytes_s
            )
            wait = self._next_weights - now
        time.sleep(wait)
        return serving.Response(bytes(size), kind='application/octet-stream')


def main(
    *,
    address: str = '127.0.0.1:0',
    keep_records: int = 100_000,
    keep_s: float = 3600.0,
    list_lag_s: float = 0.5,
    appends_s: float = 500.0,
    weights_bytes_s: float = 50e6,
) -> None:
    """Runs the platform stand-in.

    Args:
        address: Where to listen; port 0 lets the kernel choose.
        keep_records: Records kept in each stream.
        keep_s: How long a record is kept, seconds.
        list_lag_s: How long a change of the list stays unseen, seconds.
        appends_s: Appends taken a second; more have to wait.
        weights_bytes_s: Rate of the weight store, bytes a second.
    """
    platform = Platform(
        keep_records, keep_s, list_lag_s, appends_s, weights_bytes_s
    )
    serving.run(platform.handle, address, threads=48)


if __name__ == '__main__':
    defopt.run(main)
