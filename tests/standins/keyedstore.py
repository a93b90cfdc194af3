"""The users' store of keyed topics, in this process.

Faults: `down` answers 503 and does nothing; `mute` cuts each connection
without an answer; `append_fault` is one for the writes of routers alone.
`restore` brings it back from a copy.
"""

import base64
import collections
import struct
import threading
import time
from typing import Any
from typing import Final
from typing import Literal

import msgspec

from tests.standins import serving

# Time for which a write without a reply is held, seconds; longer than a router
# waits.
_SILENCE_S: Final = 1.5

# What becomes of a write: a refusal, a close, or no reply.
AppendFault = Literal['', 'rejects', 'closes', 'silent']
APPEND_FAULTS: Final[tuple[AppendFault, ...]] = ('rejects', 'closes', 'silent')


class KeyedStore:
    """Topics with one partition each, and the HTTP handler."""

    def __init__(self) -> None:
        self.down = False
        self.mute = False
        self.append_fault: AppendFault = ''
        self.calls = 0
        # How often it has come back from a copy; None if it does not tell.
        self.epoch: int | None = 1
        self._changed = threading.Condition()
        self._topics: dict[str, list[tuple[str, bytes]]] = (
            collections.defaultdict(list)
        )
        # Offset of the oldest record kept, by topic.
        self._first: dict[str, int] = collections.defaultdict(int)
        self._server, self.address = serving.start(
            self._handle, '127.0.0.1:0', 16
        )

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a record as the operator or a server does; None removes."""
        data = b'' if value is None else msgspec.json.encode(value)
        self._append(topic, key, data)

    def put_bytes(self, topic: str, key: str, data: bytes) -> None:
        """Writes a record as another writer may, whatever its bytes are."""
        self._append(topic, key, data)

    def forget(self, topic: str) -> None:
        """Drops the records; the newest of each key stay readable."""
        with self._changed:
            self._first[topic] = len(self._topics[topic])
            self._changed.notify_all()

    def mark(self) -> dict[str, int]:
        """Returns where each topic ends, for a copy."""
        with self._changed:
            return {topic: len(found) for topic, found in self._topics.items()}

    def restore(self, ends: dict[str, int]) -> None:
        """Comes back from a copy; what was written since is lost."""
        with self._changed:
            for topic, found in self._topics.items():
                del found[ends.get(topic, 0) :]
                self._first[topic] = min(self._first[topic], len(found))
            self.epoch = (self.epoch or 0) + 1
            self._changed.notify_all()

    def keys(self, topic: str) -> set[str]:
        """Returns the keys that have a value."""
        with self._changed:
            newest = dict(self._topics[topic])
        return {key for key, data in newest.items() if data}

    def close(self) -> None:
        """Ends the server."""
        with self._changed:
            self.down = True
            self._changed.notify_all()
        self._server.stop()

    def _append(
        self, topic: str, key: str, data: bytes, at: int | None = None
    ) -> tuple[int, bool]:
        """Writes, unless the topic ends elsewhere; returns where it ended."""
        with self._changed:
            end = len(self._topics[topic])
            if at is not None and at != end:
                return end, False
            self._topics[topic].append((key, data))
            self._changed.notify_all()
            return end, True

    def _handle(self, req: serving.Request) -> serving.Response:
        self.calls += 1
        if self.mute:
            raise serving.Cut
        answer = self._answer(req)
        if self.epoch is not None:
            epoch = ('Store-Era', str(self.epoch))
            answer.headers = (*answer.headers, epoch)
        return answer

    def _answer(self, req: serving.Request) -> serving.Response:
        if self.down:
            return serving.Response(status=503)
        topic = req.query['topic']
        if req.path == '/api/log-newest':
            return self._newest(topic)
        if req.path == '/api/log-read':
            wait_s = int(req.query.get('wait_ms', '0')) / 1000
            return self._read(topic, int(req.query['from']), wait_s)
        if req.path == '/api/log-append':
            return self._append_for(req, topic)
        return serving.Response(status=404)

    def _append_for(self, req: serving.Request, topic: str) -> serving.Response:
        if self.append_fault == 'rejects':
            return serving.Response(status=503)
        if self.append_fault:
            time.sleep(_SILENCE_S if self.append_fault == 'silent' else 0.0)
            raise serving.Cut
        size = req.body[4]
        key, data = req.body[5 : 5 + size], req.body[5 + size :]
        at = int(req.query['at']) if 'at' in req.query else None
        end, done = self._append(topic, key.decode(), data, at)
        if not done:
            return serving.as_json({'end': end}, 412)
        return serving.as_json({'offset': end, 'end': end + 1})

    def _newest(self, topic: str) -> serving.Response:
        with self._changed:
            found: dict[str, Any] = {}
            for offset, (key, data) in enumerate(self._topics[topic]):
                found[key] = {
                    'key': key,
                    'value': base64.b64encode(data).decode(),
                    'offset': offset,
                }
                if not data:
                    del found[key]
            end = len(self._topics[topic])
        items = list(found.values())
        return serving.as_json({'items': items, 'more': False, 'end': end})

    def _read(self, topic: str, offset: int, wait_s: float) -> serving.Response:
        end_at = time.monotonic() + wait_s
        with self._changed:
            while True:
                first = self._first[topic]
                if not first <= offset <= len(self._topics[topic]):
                    return serving.as_json({'first': first}, 410)
                left_s = end_at - time.monotonic()
                if offset < len(self._topics[topic]) or left_s <= 0:
                    break
                if self.down:
                    break
                self._changed.wait(left_s)
            records = self._topics[topic][offset:]
            end = len(self._topics[topic])
        body = struct.pack('>QQ', end, first)
        for key, data in records:
            name = key.encode()
            record = bytes((len(name),)) + name + data
            body += struct.pack('>I', len(record)) + record
        return serving.Response(body, kind='application/octet-stream')
