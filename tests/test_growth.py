"""The memory that requests will take together."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import growth


def _running(
    prompt: int, expected: float, started_at: float = 0.0, longest: int = 8320
) -> growth.Running:
    return growth.Running(
        prompt=prompt,
        expected=expected,
        longest=longest,
        started_at=started_at,
    )


def test_one_request_peaks_at_its_end() -> None:
    assert growth.peak([_running(1000, 500)], 0.0, 0.001) == pytest.approx(1500)


def test_requests_that_end_one_after_the_other_share() -> None:
    """The first has ended before the second is long: less than the sum."""
    both = [_running(1000, 500), _running(1000, 2000)]
    assert growth.peak(both, 0.0, 0.001) == pytest.approx(3000)
    assert growth.peak(both, 0.0, 0.001) < 1500 + 3000


def test_requests_that_start_together_grow_together() -> None:
    same = [_running(1000, 1000)] * 3
    assert growth.peak(same, 0.0, 0.001) == pytest.approx(6000)


def test_one_that_starts_later_has_its_prompt_counted_at_once() -> None:
    """Its prompt is moved as it starts; room for it must be there then."""
    found = [_running(1000, 500), _running(4000, 100, started_at=0.2)]
    assert growth.peak(found, 0.0, 0.001) >= 1000 + 300 + 4000


def test_an_answer_longer_than_expected_goes_on() -> None:
    """A caller guessed far too low. The request is still there.

    Counted as ended, its memory would be given away and another preempted.
    """
    found = growth.peak([_running(1000, 100, longest=4000)], 1.0, 0.001)
    assert 2000 < found <= 5000


def test_nothing_grows_beyond_its_longest_answer() -> None:
    found = growth.peak([_running(1000, 9000, longest=200)], 50.0, 0.001)
    assert found == pytest.approx(1200)


@pytest.mark.parametrize(
    ('hinted', 'longest', 'typical', 'found'),
    [
        (0, 100, 0.0, 100),
        (50, 100, 0.0, 50),
        (0, 100, 40.0, 40),
        (900, 1000, 400.0, 600),
        (9000, 1000, 4000.0, 1000),
        (70, 0, 0.0, 70),
    ],
)
def test_the_expected_length(
    hinted: int, longest: int, typical: float, found: float
) -> None:
    got = growth.expected_tokens(hinted, longest, typical)
    assert got == pytest.approx(found)


def _each_by_itself(found: list[growth.Running], token_s: float) -> float:
    """Returns the peak summed up request by request."""
    outlooks = [growth._outlook(request, 0.0, token_s) for request in found]
    return max(
        sum(
            base + max(0.0, end_s - delay_s) / token_s
            for last_s, base, delay_s in outlooks
            if last_s >= end_s
        )
        for end_s, _, _ in outlooks
    )


@hypothesis.given(
    strategies.lists(
        strategies.builds(
            _running,
            strategies.integers(1, 9000),
            strategies.floats(1.0, 4000.0),
            strategies.floats(-3.0, 2.0),
        ),
        min_size=1,
        max_size=12,
        unique_by=lambda request: (request.expected, request.started_at),
    )
)
def test_the_peak_is_that_of_each_request_by_itself(
    found: list[growth.Running],
) -> None:
    expected = _each_by_itself(found, 0.004)
    assert growth.peak(found, 0.0, 0.004) == pytest.approx(expected)
