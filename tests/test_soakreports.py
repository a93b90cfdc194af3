"""What the soak's check of rest finds, and what it excuses."""

import pytest

from tests import soakreports
from tests.standins import wireworker

_ASKED_S = 100.0
_REST_S = 2.0
_LATE_S = (0.7, 0.9, 1.1)


def _judge(spans: list[soakreports.Span]) -> list[str]:
    """Judges a server that asks router 0 for rest, and three late requests."""
    worker = wireworker.WireWorker('s1', 'plain')
    try:
        worker.came.append(
            wireworker.Arrival(_ASKED_S, 'a-r0', 's1', False, _REST_S)
        )
        for number, after_s in enumerate(_LATE_S):
            worker.came.append(
                wireworker.Arrival(
                    _ASKED_S + after_s, f'{number}-r0', 's1', False, None
                )
            )
        checks = soakreports.Checks()
        checks.disturbed += spans
        return checks.judge([worker])
    finally:
        worker.close()


@pytest.mark.parametrize(
    'spans',
    [
        pytest.param([], id='undisturbed'),
        # Ended before the answer was sent, and after it must have been read.
        pytest.param(
            [soakreports.Span('connections 0', 99.0, 99.9)], id='before'
        ),
        pytest.param(
            [soakreports.Span('connections 0', 100.6, 100.7)], id='after'
        ),
        pytest.param(
            [soakreports.Span('connections 1', 100.0, 100.1)], id='other'
        ),
    ],
)
def test_requests_within_rest_are_found(spans: list[soakreports.Span]) -> None:
    """Guards against a check of rest that excuses answers that were read."""
    assert _judge(spans) == [
        's1 from router 0: 3 requests within 2.0 s of rest'
    ]


def test_rest_is_not_owed_for_an_answer_that_was_lost() -> None:
    """Guards against taking an answer lost with its connection for one heard."""
    lost = soakreports.Span('connections 0', 100.01, 100.02)
    assert _judge([lost]) == []
