"""Selection of the route and the service of a request."""

import collections

import pytest

from foxtaildale import routes


def _route(prefix: str, host: str = 'a.example') -> routes.Route:
    return routes.Route(
        name=prefix,
        host=host,
        path_prefix=prefix,
        kind='idempotent',
        targets=(routes.Target('s', 1),),
        timeout_s=1.0,
        target_s=0.3,
    )


_TABLE = routes.RoutingTable(
    version=3,
    routes=(_route('/a/'), _route('/a/b/'), _route('/', 'b.example')),
)


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('a.example', '/a/x', '/a/'),
        ('a.example', '/a/b/x', '/a/b/'),
        ('A.Example:8080', '/a/b/', '/a/b/'),
        ('a.example', '/a', None),
        ('a.example', '/ab/x', None),
        ('b.example', '/ab/x', '/'),
        ('c.example', '/a/x', None),
        ('', '/a/x', None),
    ],
)
def test_longest_prefix_of_the_host_is_selected(
    host: str, path: str, expected: str | None
) -> None:
    route = routes.Matcher(_TABLE).match(host, path)
    assert (route.name if route else None) == expected


def test_split_follows_weights_and_is_stable_per_request() -> None:
    route = routes.Route(
        name='r',
        host='h',
        path_prefix='/',
        kind='stream',
        targets=(routes.Target('big', 9), routes.Target('small', 1)),
        timeout_s=1.0,
        target_s=0.3,
    )
    ids = [f'request-{number}' for number in range(4000)]
    drawn = collections.Counter(routes.pick_service(route, i) for i in ids)
    assert 0.08 < drawn['small'] / len(ids) < 0.12
    assert routes.pick_service(route, 'x') == routes.pick_service(route, 'x')


def test_split_without_weight_selects_first_service() -> None:
    route = routes.Route(
        name='r',
        host='h',
        path_prefix='/',
        kind='stream',
        targets=(routes.Target('a', 0), routes.Target('b', 0)),
        timeout_s=1.0,
        target_s=0.3,
    )
    assert routes.pick_service(route, 'x') == 'a'
