"""How long requests wait for a place."""

from foxtaildale import room
from foxtaildale import routes

_ROUTE = routes.Route(
    name='r',
    host='h',
    path_prefix='/',
    kind='stream',
    targets=(routes.Target('s', 1),),
    timeout_s=14.0,
    target_s=0.9,
)


def test_one_that_came_back_waits_as_long_as_its_caller() -> None:
    """Callers leave after four times the target, and come back once.

    Refused a second time, the caller has no answer at all.
    """
    first = room.patience_s(_ROUTE)
    last = room.patience_s(_ROUTE, came_back=True)
    assert first < last < 4 * _ROUTE.target_s - 0.4
