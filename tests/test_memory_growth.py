"""The peak of the memory that concurrent requests will use."""

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import memory_growth


def _running(
    prompt: int, expected: float, started_at: float = 0.0, longest: int = 8320
) -> memory_growth.Running:
    return memory_growth.Running(
        prompt=prompt,
        expected=expected,
        longest=longest,
        started_at=started_at,
    )


def test_one_request_peaks_at_its_end() -> None:
    assert memory_growth.peak_tokens(
        [_running(1000, 500)], 0.0, 0.001
    ) == pytest.approx(1500)


def test_the_peak_is_below_the_sum_if_requests_end_in_turn() -> None:
    """The first ends before the second grows, so the peak is below the sum."""
    both = [_running(1000, 500), _running(1000, 2000)]
    assert memory_growth.peak_tokens(both, 0.0, 0.001) == pytest.approx(3000)
    assert memory_growth.peak_tokens(both, 0.0, 0.001) < 1500 + 3000


def test_requests_that_start_together_grow_together() -> None:
    same = [_running(1000, 1000)] * 3
    assert memory_growth.peak_tokens(same, 0.0, 0.001) == pytest.approx(6000)


def test_a_prompt_counts_from_the_start_of_its_request() -> None:
    """The prompt is transferred at the start and needs its memory then."""
    requests = [_running(1000, 500), _running(4000, 100, started_at=0.2)]
    assert memory_growth.peak_tokens(requests, 0.0, 0.001) >= 1000 + 300 + 4000


def test_a_response_longer_than_expected_still_counts() -> None:
    """A caller's length hint is far too low, and the request still runs.

    If it counted as ended, its memory would be granted to another request,
    and the engine would preempt one of them.
    """
    peak = memory_growth.peak_tokens(
        [_running(1000, 100, longest=4000)], 1.0, 0.001
    )
    assert 2000 < peak <= 5000


def test_no_request_grows_beyond_its_maximum_output() -> None:
    peak = memory_growth.peak_tokens(
        [_running(1000, 9000, longest=200)], 50.0, 0.001
    )
    assert peak == pytest.approx(1200)


@pytest.mark.parametrize(
    ('hinted', 'longest', 'typical', 'expected'),
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
    hinted: int, longest: int, typical: float, expected: float
) -> None:
    tokens = memory_growth.expected_tokens(hinted, longest, typical)
    assert tokens == pytest.approx(expected)


def _peak_by_request(
    requests: list[memory_growth.Running], token_s: float
) -> float:
    """Returns the peak, computed as a sum over all requests."""
    outlooks = [
        memory_growth._forecast(request, 0.0, token_s) for request in requests
    ]
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
def test_the_peak_equals_the_sum_by_request(
    requests: list[memory_growth.Running],
) -> None:
    expected = _peak_by_request(requests, 0.004)
    assert memory_growth.peak_tokens(requests, 0.0, 0.004) == pytest.approx(
        expected
    )
