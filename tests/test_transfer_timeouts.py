"""Timeouts of transfers, and the memory for retained responses."""

import pytest

from foxtaildale import stored_responses
from foxtaildale import transfer_timeouts

# Prompt tokens, lifetime of the result and timeout, both in seconds, after
# transfers of 1,000 tokens in 0.1 s each.
_BOUNDS = (
    # The transfer of a short prompt times out before its result expires.
    (100, 1.0, 0.4),
    # A long one may take longer than the median time.
    (20_000, 1.0, 8.0),
    (100_000, 1.0, 10.0),
)


@pytest.mark.parametrize(('tokens', 'life_s', 'bound_s'), _BOUNDS)
def test_transfer_timeout_is_neither_too_long_nor_too_short(
    tokens: int, life_s: float, bound_s: float
) -> None:
    """A link stalls, or is only slow because the prompt is long.

    If the timeout is too long, the prefill is evicted; if it is too short, the
    prefill is wasted too.
    """
    transfer_pace = transfer_timeouts.TransferTimeouts()
    for _ in range(3):
        transfer_pace.record(1_000, 0.1)
    assert transfer_pace.timeout_s(tokens, life_s) == pytest.approx(bound_s)


def test_timeout_before_any_transfer_is_long() -> None:
    assert transfer_timeouts.TransferTimeouts().timeout_s(100, 1.0) == 2.0


def test_retained_responses_stay_below_their_limit() -> None:
    """Responses arrive for hours; the memory that retains them is a few MB."""
    responses = stored_responses.StoredResponses(limit=10)
    responses.put('reader', 'a', b'1234')
    responses.put('reader', 'a', b'12345')
    responses.put('reader', 'b', b'12345')
    responses.put('reader', 'c', b'123')
    assert responses.get('reader', 'a') == b''
    assert responses.get('reader', 'b') == b'12345'
    assert responses.get('reader', 'c') == b'123'
    responses.put('reader', 'd', b'x' * 11)
    assert responses.get('reader', 'd') == b''
