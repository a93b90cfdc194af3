"""What decoders raise for bytes that another program wrote."""

import base64
from typing import Final

import msgspec
import pytest

from foxtaildale import chat
from foxtaildale import errors
from foxtaildale import messages
from foxtaildale import tickets
from foxtaildaled import ticket_handler

_DEPTH: Final = 100_000
_NESTED_JSON: Final = b'{"nobody-knows":' + b'[' * _DEPTH
_NESTED_MSGPACK: Final = b'\x91' * _DEPTH


def test_a_deeply_nested_chat_request_is_invalid() -> None:
    """`RecursionError` out of a body ended the request with status 502."""
    with pytest.raises(errors.DecodeError):
        chat.decode(_NESTED_JSON)


def test_a_deeply_nested_ticket_is_no_ticket() -> None:
    """`RecursionError` out of a header ended the request with status 502."""
    ticket = messages.Ticket(
        identity='t',
        service='s',
        executor='e',
        executor_address='a',
        witness='w',
        witness_address='a',
        issued_at=0.0,
        witness_clock=0.0,
    )
    fields = msgspec.msgpack.encode(ticket)
    assert tickets.from_text(tickets.to_text(ticket)) == ticket
    data = bytes((fields[0] + 1,)) + fields[1:] + b'\x91' * 1300
    nested = base64.urlsafe_b64encode(data).decode()
    assert tickets.from_text(nested) is None


def test_a_deeply_nested_saved_reply_is_no_reply() -> None:
    """`RecursionError` or `ValidationError` ended a request that had run."""
    for data in (_NESTED_MSGPACK, b'\x07', b'\x81\xa6status\xa1x', b'\xff'):
        assert ticket_handler.decode_reply(data) is None
