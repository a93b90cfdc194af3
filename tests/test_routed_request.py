"""What a request knows of its time."""

import math
from typing import Any
from typing import cast

import pytest

from foxtaildale import forwarding
from foxtaildale import routes
from foxtaildale_adapters import metrics
from foxtaildaled import routed_request


def _passage(
    patience_s: float | None, ends_at: list[float]
) -> routed_request.RoutedRequest:
    call = forwarding.CallerRequest(
        id='a1',
        method='POST',
        target='/chat/x',
        path='/chat/x',
        host='h',
        headers=(),
        body=b'',
        patience_s=patience_s,
    )
    route = routes.Route(
        name='chat',
        host='h',
        path_prefix='/chat/',
        kind='stream',
        targets=(),
        timeout_s=14.0,
        target_s=0.9,
    )
    return routed_request.RoutedRequest(
        cast(Any, None),
        caller_request=call,
        route=route,
        service=routes.Service(name='s'),
        config_version=1,
        entry_vm='vm-1',
        request_metrics=metrics.Metrics(),
        clock=lambda: 100.0,
        process_ends_at=lambda: ends_at[0],
    )


@pytest.mark.parametrize(
    ('patience_s', 'ends_at', 'left_s'),
    [
        pytest.param(None, math.inf, 14.0, id='the route bounds it'),
        pytest.param(3.0, math.inf, 3.0, id='its caller bounds it'),
        pytest.param(12.0, 104.7, 4.7, id='the end of the process bounds it'),
        pytest.param(3.0, 104.7, 3.0, id='its caller leaves before that'),
    ],
)
def test_a_request_ends_before_its_process(
    patience_s: float | None, ends_at: float, left_s: float
) -> None:
    """A VM that is being stopped goes on taking callers for three seconds.

    A stream of six seconds that begins then is cut when the VM is killed, and
    its caller has half an answer; a place is refused that lasts too long for
    what is left, so that it is told to come back and runs whole elsewhere.
    """
    req = _passage(patience_s, [ends_at])
    assert req.time_left_s() == pytest.approx(left_s)


def test_a_request_begun_before_a_stop_ends_before_the_process() -> None:
    """Guards against work that begins in a stop and that its end cuts."""
    ends_at = [math.inf]
    req = _passage(None, ends_at)
    ends_at[0] = 104.7
    assert req.time_left_s() == pytest.approx(4.7)
