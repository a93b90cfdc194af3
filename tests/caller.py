"""A caller of the tests: sends one chat request over a socket of its own."""

import json
import re
import socket
from typing import Final

import msgspec

# Longest wait for a byte, seconds; only a broken run gets there.
_WAIT_S: Final = 30.0
_END: Final = b'\r\n0\r\n\r\n'
# In the chunk that ends a whole answer, which is no piece.
_FINISH: Final = b'"delta":{},"finish_reason":"stop"'


class Event(msgspec.Struct, frozen=True):
    """One server-sent event of an answer."""

    # Value of the id line; empty if there is none.
    id: str
    data: str


class Caller:
    """Sends a request, reads its events, and can hang up at any time."""

    __slots__ = ('_data', '_sock')

    def __init__(
        self,
        address: str,
        service: str,
        *,
        prompt: str = 'go or wait?',
        max_tokens: int = 16,
        headers: tuple[str, ...] = (),
    ) -> None:
        body = json.dumps(
            {
                'model': service,
                'stream': True,
                'max_tokens': max_tokens,
                'messages': [{'role': 'user', 'content': prompt}],
            }
        ).encode()
        lines = [
            'POST /v1/chat/completions HTTP/1.1',
            'Host: entry',
            f'Content-Length: {len(body)}',
            *headers,
        ]
        self._data = b''
        self._send(address, '\r\n'.join(lines).encode() + b'\r\n\r\n' + body)

    @classmethod
    def resumed(cls, address: str, event_id: str) -> 'Caller':
        """Returns a caller that reads a stream on behind an event."""
        caller = cls.__new__(cls)
        caller._data = b''
        caller._send(
            address,
            b'GET /v1/streams HTTP/1.1\r\nHost: entry\r\n'
            b'Last-Event-ID: %b\r\n\r\n' % event_id.encode(),
        )
        return caller

    def read(self, wanted: bytes) -> bytes:
        """Reads until some bytes have come, or the end; returns all so far."""
        while wanted not in self._data:
            try:
                block = self._sock.recv(65536)
            except ConnectionError:
                break
            if not block:
                break
            self._data += block
        return self._data

    def read_block(self) -> None:
        """Reads what comes next."""
        self._data += self._sock.recv(65536) or _END

    def ended(self) -> bool:
        """Tells whether the answer has come to its end."""
        return self._data.endswith(_END) or self._is_document()

    def count_pieces(self) -> int:
        """Returns how many pieces have come."""
        return self._data.count(b'"delta":{') - self._data.count(_FINISH)

    def read_all(self) -> bytes:
        """Reads to the end of the answer."""
        return self.read(_END)

    def events(self) -> list[Event]:
        """Returns the whole events that have come so far."""
        text = b''.join(_chunks(self._data)).decode()
        return [_event(part) for part in text.split('\n\n')[:-1]]

    def text(self) -> str:
        """Returns the answer's text that has come so far."""
        return ''.join(
            choice['delta'].get('content', '')
            for event in self.events()
            if event.data.startswith('{"id"')
            for choice in json.loads(event.data)['choices']
        )

    def whole(self) -> bool:
        """Tells whether the answer says that it is whole."""
        events = self.events()
        return bool(events) and events[-1].data == '[DONE]'

    def leave(self) -> None:
        """Hangs up."""
        self._sock.close()

    def _is_document(self) -> bool:
        """Tells whether a whole document came in place of a stream."""
        head, _, body = _without_interim(self._data).partition(b'\r\n\r\n')
        found = re.search(rb'Content-Length: (\d+)', head, re.IGNORECASE)
        return found is not None and len(body) >= int(found[1])

    def _send(self, address: str, data: bytes) -> None:
        host, _, port = address.rpartition(':')
        self._sock = socket.create_connection((host, int(port)), _WAIT_S)
        self._sock.sendall(data)


def _without_interim(data: bytes) -> bytes:
    """Returns an answer behind its interim responses."""
    while data.startswith(b'HTTP/1.1 100'):
        data = data.partition(b'\r\n\r\n')[2]
    return data


def _chunks(data: bytes) -> list[bytes]:
    """Returns the bodies of the whole chunks in an answer."""
    rest = _without_interim(data).partition(b'\r\n\r\n')[2]
    chunks = []
    while b'\r\n' in rest:
        head, _, rest = rest.partition(b'\r\n')
        length = int(head or b'0', 16)
        if length == 0 or len(rest) < length + 2:
            break
        chunks.append(rest[:length])
        rest = rest[length + 2 :]
    return chunks


def _event(text: str) -> Event:
    lines = text.splitlines()
    ids = [line[4:] for line in lines if line.startswith('id: ')]
    data = [line[6:] for line in lines if line.startswith('data: ')]
    return Event(''.join(ids), '\n'.join(data))
