"""Messages between processes survive any bytes."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import errors
from foxtaildale import messages


def test_a_message_comes_back_as_it_was_sent() -> None:
    msg = messages.Note(identity='i', witness='w', body='b', witness_at=1.5)
    assert messages.decode(messages.encode(msg)) == msg


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.binary(max_size=200))
def test_garbage_is_a_decode_error_and_nothing_else(data: bytes) -> None:
    """Something else than our processes writes to the port between them.

    A process that died of it would refuse every caller behind it.
    """
    try:
        messages.decode(data)
    except errors.DecodeError:
        pass


def test_an_oversized_message_is_not_looked_at() -> None:
    """A peer gone wrong sends a message too large to hold in memory."""
    with pytest.raises(errors.DecodeError):
        messages.decode(b'\x00' * (messages.MAX_BYTES + 1))
