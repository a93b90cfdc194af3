"""The platform's store: keyed and plain topics, one partition each."""

import base64
import collections
import json
import struct
import threading
import time

from lib import wire

# Time of an answer, seconds.
_ANSWER_S = 0.004
# Maximum size of what one read returns, bytes.
_MAX_READ_BYTES = 1024 * 1024


class Store:
    """Keeps every record of a run; the newest one of each key is found."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._topics: dict[str, list[bytes]] = collections.defaultdict(list)
        self._server = wire.Server(self._handle)
        self.address = self._server.address

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a record as the operator or a worker does; None removes."""
        data = b'' if value is None else json.dumps(value).encode()
        name = key.encode()
        with self._changed:
            self._topics[topic].append(bytes((len(name),)) + name + data)
            self._changed.notify_all()

    def close(self) -> None:
        """Ends the store."""
        self._server.close()

    def _handle(self, conn: wire.Connection, req: wire.Request) -> None:
        time.sleep(_ANSWER_S)
        topic = req.query.get('topic', '')
        if req.path == '/api/log-append':
            self._append(conn, req, topic)
        elif req.path == '/api/log-read':
            self._read(conn, req, topic)
        elif req.path == '/api/log-newest':
            self._newest(conn, topic)
        else:
            conn.respond(404)

    def _append(
        self, conn: wire.Connection, req: wire.Request, topic: str
    ) -> None:
        records = []
        index = 0
        while index < len(req.body):
            (size,) = struct.unpack_from('>I', req.body, index)
            records.append(req.body[index + 4 : index + 4 + size])
            index += 4 + size
        with self._changed:
            end = len(self._topics[topic])
            is_met = 'at' not in req.query or int(req.query['at']) == end
            if is_met:
                self._topics[topic].extend(records)
                self._changed.notify_all()
        if is_met:
            conn.respond_json(200, {'offset': end, 'end': end + len(records)})
        else:
            conn.respond_json(412, {'end': end})

    def _read(
        self, conn: wire.Connection, req: wire.Request, topic: str
    ) -> None:
        begin = int(req.query['from'])
        until = time.monotonic() + int(req.query.get('wait_ms', '0')) / 1000
        with self._changed:
            while len(self._topics[topic]) <= begin:
                left_s = until - time.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(left_s)
            end = len(self._topics[topic])
            found = self._topics[topic][begin:]
        body = struct.pack('>QQ', end, 0)
        for record in found:
            if len(body) > _MAX_READ_BYTES:
                break
            body += struct.pack('>I', len(record)) + record
        conn.respond(200, body)

    def _newest(self, conn: wire.Connection, topic: str) -> None:
        newest: dict[str, tuple[int, bytes]] = {}
        with self._changed:
            end = len(self._topics[topic])
            for offset, record in enumerate(self._topics[topic]):
                key = record[1 : 1 + record[0]].decode()
                newest[key] = (offset, record[1 + record[0] :])
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        conn.respond_json(200, {'items': items, 'more': False, 'end': end})
