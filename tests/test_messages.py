"""Encoding and decoding of messages between processes."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import errors
from foxtaildale import messages


def test_decode_returns_the_encoded_message() -> None:
    msg = messages.StartRequest(
        identity='i', witness='w', body_digest='b', witness_clock=1.5
    )
    assert messages.decode(messages.encode(msg)) == msg


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_invalid_bytes_raise_only_decode_error(data: bytes) -> None:
    """Guards against a process that crashes on bytes it cannot decode.

    Another program may send data to the port between processes. After a
    crash, all callers of that process would be refused.
    """
    try:
        messages.decode(data)
    except errors.DecodeError:
        pass


def test_an_oversized_message_is_rejected() -> None:
    """Guards against a faulty peer whose message is too large for memory."""
    with pytest.raises(errors.DecodeError):
        messages.decode(b'\x00' * (messages.MAX_BYTES + 1))
