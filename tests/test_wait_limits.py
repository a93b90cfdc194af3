"""How long a request waits for a placement."""

from foxtaildale import routes
from foxtaildale import wait_limits

_ROUTE = routes.Route(
    name='r',
    host='h',
    path_prefix='/',
    kind='stream',
    targets=(routes.Target('s', 1),),
    timeout_s=14.0,
    target_s=0.9,
)


def test_a_retried_request_waits_as_long_as_its_caller() -> None:
    """Callers disconnect after four times the target and retry once.

    A caller that is refused a second time gets no response at all.
    """
    first_patience_s = wait_limits.patience_s(_ROUTE)
    retry_patience_s = wait_limits.patience_s(_ROUTE, is_retry=True)
    assert first_patience_s < retry_patience_s < 4 * _ROUTE.target_s - 0.4
