"""Clients: one attempt at a router, and what came back."""

import contextlib
import math
import secrets
import time

from lib import record
from lib import wire

HOST = 'ficu95.example'
_EVENT_END = b'\n\n'
# Bytes that are sent at once at a limited rate.
_PIECE_BYTES = 65_536


class Answer:
    """What a client got for one attempt."""

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        # 0 if there was no response.
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        # Whether the response ended as a complete one.
        self.complete = False
        self.error = ''

    def event_ids(self) -> list[int]:
        """Returns the ids of the complete events."""
        return [int(lines[0][4:]) for lines in self._events()]

    def event_words(self, position: int) -> list[str]:
        """Returns a word of the data of each complete event."""
        return [
            lines[1][6:].split(b' ')[position].decode()
            for lines in self._events()
        ]

    def _events(self) -> list[list[bytes]]:
        complete = self.body[: self.body.rfind(_EVENT_END) + 2]
        return [
            event.split(b'\n')
            for event in complete.split(_EVENT_END)
            if event.startswith(b'id: ')
        ]


def new_attempt() -> str:
    """Returns the id of an attempt."""
    return secrets.token_hex(8)


def send(
    address: str,
    target: str,
    notes: record.Record,
    *,
    method: str = 'POST',
    deadline_s: float,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    conn: wire.Connection | None = None,
    attempt: str = '',
    bytes_per_s: float = math.inf,
) -> Answer:
    """Sends one attempt and reads its response.

    Args:
        address: Where a router takes clients.
        target: Path and query.
        notes: Gets what was sent and answered.
        method: HTTP method.
        deadline_s: How long the client waits, seconds.
        headers: Further headers.
        body: Body of the request.
        conn: A kept connection; a new one is used if None.
        attempt: Id of the attempt; a new one is used if empty.
        bytes_per_s: Rate at which the request is sent.
    """
    answer = Answer(attempt or new_attempt())
    until = time.monotonic() + deadline_s
    sent = {
        'Host': HOST,
        'Foxtaildale-Attempt-Id': answer.attempt,
        'Foxtaildale-Deadline-Ms': int(deadline_s * 1000),
    } | (headers or {})
    notes.note(
        'sent',
        to=address,
        attempt=answer.attempt,
        target=target,
        size=len(body),
    )
    is_own = conn is None
    try:
        conn = conn or wire.connect(address, 1.0)
        conn.sock.settimeout(deadline_s)
        _send(
            conn, wire.encode_request(method, target, sent, body), bytes_per_s
        )
        _read(conn, answer, until)
    except (OSError, ValueError) as exc:
        answer.error = f'{type(exc).__name__}: {exc}'
    finally:
        if is_own and conn is not None:
            with contextlib.suppress(OSError):
                conn.close()
    notes.note(
        'answered',
        attempt=answer.attempt,
        status=answer.status,
        complete=answer.complete,
        size=len(answer.body),
        error=repr(answer.error),
    )
    return answer


def stream_headers() -> dict[str, str]:
    """Returns the headers of a request with a prompt."""
    parts = f'{secrets.token_hex(4)}:200,{secrets.token_hex(4)}:1260'
    return {
        'Foxtaildale-Model': 'm',
        'Foxtaildale-Token-Count': '1460,80',
        'Foxtaildale-Prompt-Prefix': parts,
    }


def _send(conn: wire.Connection, data: bytes, bytes_per_s: float) -> None:
    if bytes_per_s == math.inf:
        conn.send(data)
        return
    begun_at = time.monotonic()
    for begin in range(0, len(data), _PIECE_BYTES):
        conn.send(data[begin : begin + _PIECE_BYTES])
        due_at = begun_at + (begin + _PIECE_BYTES) / bytes_per_s
        time.sleep(max(0.0, due_at - time.monotonic()))


def _read(conn: wire.Connection, answer: Answer, until: float) -> None:
    def wait() -> None:
        left_s = until - time.monotonic()
        if left_s <= 0:
            raise TimeoutError('deadline')
        conn.sock.settimeout(left_s)

    wait()
    first, answer.headers = conn.read_head()
    answer.status = int(first.split(' ')[1])
    if answer.headers.get('transfer-encoding', '').lower() == 'chunked':
        while True:
            wait()
            chunk = conn.read_chunk()
            if not chunk:
                break
            answer.body += chunk
    else:
        size = int(answer.headers.get('content-length', 0))
        while len(answer.body) < size:
            wait()
            answer.body += conn.read_exactly(
                min(65_536, size - len(answer.body))
            )
    answer.complete = True
