"""How long a transfer may take, and what is kept of answers."""

import pytest

from foxtaildale import kept
from foxtaildale import pace

# Tokens of the prompt, life of the result, bound: all seconds, after
# transfers of 1,000 tokens in 0.1 s each.
_BOUNDS = (
    # A short prompt is given up while its result still lives.
    (100, 1.0, 0.4),
    # A long one may take its usual time and more.
    (20_000, 1.0, 8.0),
    (100_000, 1.0, 10.0),
)


@pytest.mark.parametrize(('tokens', 'life_s', 'bound_s'), _BOUNDS)
def test_a_transfer_is_given_up_in_time_and_not_too_early(
    tokens: int, life_s: float, bound_s: float
) -> None:
    """A link stalls, or is merely slow under a long patrol log.

    Given up too late, the prefill is evicted; too early, it is wasted too.
    """
    item = pace.Pace()
    for _ in range(3):
        item.learn(1_000, 0.1)
    assert item.bound_s(tokens, life_s) == pytest.approx(bound_s)


def test_before_any_transfer_the_bound_is_generous() -> None:
    assert pace.Pace().bound_s(100, 1.0) == 2.0


def test_kept_answers_stay_below_their_limit() -> None:
    """Summaries come for hours; a keeper has a few megabytes for them."""
    answers = kept.Answers(limit=10)
    answers.put('reader', 'a', b'1234')
    answers.put('reader', 'a', b'12345')
    answers.put('reader', 'b', b'12345')
    answers.put('reader', 'c', b'123')
    assert answers.get('reader', 'a') == b''
    assert answers.get('reader', 'b') == b'12345'
    assert answers.get('reader', 'c') == b'123'
    answers.put('reader', 'd', b'x' * 11)
    assert answers.get('reader', 'd') == b''
