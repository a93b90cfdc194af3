"""Client accounts at a router, over real sockets: keys, limits, secrets."""

from collections.abc import Iterator
import contextlib
import logging
import threading
import time
from typing import Any

import pytest

from foxtaildale_adapters import logs
from tests import site as sites

_KEY = 'k9m68k7b2ex5wa5xwyhk'
_OTHER = 'banfqasnmgkcuyj8pjbv'
_NEVER = 'zzzzqasnmgkcuyj8pjbv'


def _account(
    name: str, *keys: str, rate: float = 0, burst: float = 0
) -> dict[str, Any]:
    return {
        'name': name,
        'api_keys': list(keys),
        'unit': 'token_stream',
        'plain_tokens': 200,
        'rate_per_s': rate,
        'burst': burst,
    }


def _config(version: int, *accounts: dict[str, Any]) -> dict[str, Any]:
    found = sites.config(version) | {'tenants': list(accounts)}
    found['routes'] = [
        route | {'public': route['name'] == 'open'}
        for route in (
            *found['routes'],
            found['routes'][0] | {'name': 'open', 'path_prefix': '/open/'},
        )
    ]
    return found


@pytest.fixture
def keyed() -> Iterator[sites.Site]:
    """Two accounts, of which one has a limit."""
    with contextlib.closing(sites.Site()) as made:
        sites.make_calm(made)
        _publish(
            made,
            _config(
                2,
                _account('big', _KEY),
                _account('small', _OTHER, rate=500, burst=2000),
            ),
        )
        yield made


def _publish(site: sites.Site, config: dict[str, Any]) -> None:
    site.store.put('keyed.op', 'config', config)
    sites.until(lambda: _version(site) == config['version'])


def _version(site: sites.Site) -> int:
    versions = [router.config_version() for router in site.routers]
    return min(version or 0 for version in versions)


def _send(
    site: sites.Site,
    path: str,
    key: str | None = _KEY,
    **sent: Any,  # noqa: ANN401
) -> tuple[int, dict[str, str], bytes]:
    headers = sent.pop('headers', {})
    if key is not None:
        headers = headers | {'Authorization': f'Bearer {key}'}
    method = 'GET' if path.startswith(('/safe/', '/open/')) else 'POST'
    return sites.send(site, method, path, headers=headers, **sent)


def _shown(site: sites.Site) -> tuple[bytes, bytes]:
    """Returns the state dump and the metrics of its router."""
    dump = sites.send(site, 'GET', '/state', use='admin')[2]
    return dump, sites.send(site, 'GET', '/metrics', use='admin')[2]


def _ran(site: sites.Site) -> list[dict[str, str]]:
    return [req.headers for w in site.workers.values() for req in w.ran]


@pytest.mark.parametrize('path', ['/safe/x', '/once/x', '/chat/x'])
def test_a_backend_server_gets_the_accounts_name_and_no_key(
    keyed: sites.Site, path: str
) -> None:
    """Whatever the caller sent under that name, on each kind of call."""
    status, _, _ = _send(keyed, path, headers={'Foxtaildale-Tenant': 'other'})
    assert status == 200
    seen = _ran(keyed)
    assert len(seen) == (2 if path == '/chat/x' else 1)
    for headers in seen:
        assert headers['foxtaildale-tenant'] == 'big'
        assert 'authorization' not in headers
        assert not any(_KEY in value for value in headers.values())


@pytest.mark.parametrize(
    ('headers', 'path'),
    [
        ({}, '/safe/x'),
        ({}, '/chat/x'),
        ({'Authorization': f'Bearer {_NEVER}'}, '/safe/x'),
        ({'Authorization': f'Basic {_KEY}'}, '/once/x'),
        ({'Authorization': _KEY}, '/safe/x'),
        ({'Authorization': f'Bearer {_KEY}, Bearer {_OTHER}'}, '/safe/x'),
        ({'Authorization': f'Bearer {_KEY.upper()}'}, '/chat/x'),
    ],
)
def test_what_no_account_has_the_key_of_is_refused(
    keyed: sites.Site, headers: dict[str, str], path: str
) -> None:
    status, answer, body = _send(keyed, path, None, headers=headers)
    assert status == 401
    assert answer['www-authenticate'] == 'Bearer'
    assert b'"unauthorized"' in body
    assert 'retry-after' not in answer
    assert not _ran(keyed)


def test_a_public_route_needs_no_key(keyed: sites.Site) -> None:
    for key in (None, _NEVER, _KEY):
        assert _send(keyed, '/open/x', key)[0] == 200
    seen = _ran(keyed)
    assert [head.get('foxtaildale-tenant') for head in seen].count('big') == 1
    assert not any('authorization' in head for head in seen)


def test_where_the_last_account_is_taken_away_no_key_is_good(
    keyed: sites.Site,
) -> None:
    """Without accounts nobody needs a key; with an empty list nobody has one.

    Taken for the former, the last account that is removed would open all routes
    to anybody.
    """
    _publish(keyed, _config(7))
    assert _send(keyed, '/safe/x')[0] == 401
    assert _send(keyed, '/safe/x', None)[0] == 401
    assert _send(keyed, '/open/x', None)[0] == 200


def test_a_route_that_is_not_there_is_not_there_without_a_key(
    keyed: sites.Site,
) -> None:
    assert _send(keyed, '/none/x', None)[0] == 404


def test_a_router_that_knows_no_configuration_judges_no_key() -> None:
    """A VM starts while the store is down.

    Told that its key is wrong, a caller would not try again.
    """
    site = sites.Site()
    try:
        site.store.down = True
        site.router()
        assert _send(site, '/safe/x')[0] == 503
    finally:
        site.close()


def test_a_key_that_is_taken_away_is_refused_soon_everywhere(
    keyed: sites.Site,
) -> None:
    """One VM learns of it from the store, another only from its peer.

    It has no store while the key is taken away; callers with that key would be
    served there for as long as the store stays away.
    """
    keyed.router(seeds=(keyed.peers[0],))
    sites.until(lambda: sites.ready(keyed, 1))
    sites.until(lambda: len(keyed.routers[0].entry_vms()) == 2)
    keyed.cut_store(1)
    assert _send(keyed, '/safe/x', number=1)[0] == 200
    began = time.monotonic()
    _publish(keyed, _config(5, _account('small', _OTHER)))
    assert time.monotonic() - began < 2.0
    for number in (0, 1):
        for path in ('/safe/x', '/chat/x'):
            assert _send(keyed, path, number=number)[0] == 401
            assert _send(keyed, path, _OTHER, number=number)[0] == 200


def test_what_lies_beyond_the_limit_is_refused_at_once(
    keyed: sites.Site,
) -> None:
    """An account sends more than it may.

    Each stream counts as 1,140 tokens of the 2,000 that it may have at once.
    It is told when there will be enough for this one, and then served.
    """
    assert _send(keyed, '/chat/x', _OTHER)[0] == 200
    began = time.monotonic()
    status, answer, body = _send(keyed, '/chat/x', _OTHER, attempt='a2')
    assert status == 429
    assert time.monotonic() - began < 0.2
    assert b'"over-limit"' in body
    wait_s = float(answer['retry-after'])
    assert 0 < wait_s <= 1140 / 500
    assert 'a2' not in [head['foxtaildale-attempt-id'] for head in _ran(keyed)]
    assert _send(keyed, '/chat/x', attempt='a3')[0] == 200
    time.sleep(wait_s)
    assert _send(keyed, '/chat/x', _OTHER, attempt='a4')[0] == 200


def test_a_limit_holds_over_all_vms_together(keyed: sites.Site) -> None:
    keyed.router(seeds=(keyed.peers[0],))
    sites.until(lambda: sites.ready(keyed, 1))
    for router in keyed.routers:
        sites.until(lambda router=router: len(router.entry_vms()) == 2)  # type: ignore[misc]
    statuses = [
        _send(keyed, '/chat/x', _OTHER, attempt=f'a{n}', number=n % 2)[0]
        for n in range(6)
    ]
    assert sorted(statuses) == [200, 429, 429, 429, 429, 429]


def test_what_did_not_run_costs_nothing(keyed: sites.Site) -> None:
    """All engines are full, and refuse each request of an account.

    Counted all the same, it would be over its limit without having had
    anything.
    """
    for worker in keyed.workers.values():
        worker.refuse = True
    for number in range(4):
        status, _, _ = _send(keyed, '/once/x', _OTHER, attempt=f'b{number}')
        assert status == 503
        time.sleep(0.05)
    for worker in keyed.workers.values():
        worker.refuse = False
    assert _send(keyed, '/chat/x', _OTHER)[0] == 200


def test_many_at_once_do_not_pass_the_limit(keyed: sites.Site) -> None:
    statuses: list[int] = []

    def ask(number: int) -> None:
        sent = _send(keyed, '/safe/x', _OTHER, attempt=f'a{number}')
        statuses.append(sent[0])

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    # Each counts as 1,140 tokens.
    assert statuses.count(200) == 1
    assert statuses.count(429) == 7


def test_no_key_is_told_anywhere(
    keyed: sites.Site, caplog: pytest.LogCaptureFixture
) -> None:
    """On-call reads logs, dumps and metrics, and may pass them on."""
    logs.setup('router', 'vm', 'info')
    with caplog.at_level(logging.DEBUG):
        answers = [
            _send(keyed, path, key, attempt=f'{number}{path[1:3]}')
            for number, key in enumerate((_KEY, _OTHER, _NEVER, _OTHER))
            for path in ('/safe/x', '/chat/x', '/once/x', '/none/x')
        ]
        dump, metrics = _shown(keyed)
        # What an account has used is forgotten a while after its account is gone.
        _publish(
            keyed,
            _config(6, _account('a', _KEY), _account('b', _KEY))
            | {'version': 6, 'tenants': []},
        )
        after = _shown(keyed)
    told = repr([vars(record) for record in caplog.records]).encode()
    assert b'over-limit' in told
    assert b'unauthorized' in told
    assert b'small' in metrics
    assert b'"small"' in dump
    for key in (_KEY, _OTHER, _NEVER):
        for text in (told, dump, metrics, *after, repr(answers).encode()):
            assert key.encode() not in text


def test_each_decision_on_an_account_has_its_line(
    keyed: sites.Site, caplog: pytest.LogCaptureFixture
) -> None:
    logs.setup('router', 'vm', 'info')
    with caplog.at_level(logging.INFO):
        _send(keyed, '/chat/x', _OTHER, attempt='a1')
        _send(keyed, '/chat/x', _OTHER, attempt='a2')
        _send(keyed, '/chat/x', None, attempt='a3')
    lines = [
        {'event': record.getMessage(), **vars(record)['foxtaildale_fields']}
        for record in caplog.records
        if 'foxtaildale_fields' in vars(record)
    ]
    let_in = [line for line in lines if line['event'] == 'let in']
    assert let_in[0]['account'] == 'small'
    assert let_in[0]['cost'] == 1140
    assert let_in[0]['by'] == 'home'
    refused = {
        line['request']: line for line in lines if line['event'] == 'refused'
    }
    assert refused['a2']['code'] == 'over-limit'
    assert refused['a2']['account'] == 'small'
    assert refused['a2']['rate'] == 500
    assert refused['a3']['code'] == 'unauthorized'
    assert refused['a3']['version'] == 2
