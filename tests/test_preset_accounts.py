"""Client accounts in the product's own presets."""

from collections.abc import Iterator
import json
from typing import Any

import msgspec
import pytest

from foxtaildale import accounts
from foxtaildale import errors
from foxtaildale import settings
from foxtaildale import values
from tests import demo
from tests import deployment

_KEY = 'k9m68k7b2ex5wa5xwyhk'
_OTHER = 'banfqasnmgkcuyj8pjbv'
_DIGEST = accounts.digest(_KEY).hex()
_PRESET: dict[str, Any] = {
    'name': 'ordinary',
    'services': {'desk': {'kind': 'plain'}},
}


@pytest.mark.parametrize(
    ('found', 'fault'),
    [
        ({'a': {}}, 'accounts.a.keys: found nothing'),
        ({'A b': {'keys': []}}, 'accounts: found key "A b"'),
        ({'a': {'keys': [_KEY]}}, 'accounts.a.keys.0: found a text of 20'),
        (
            {'a': {'keys': [_DIGEST]}, 'b': {'keys': [_DIGEST]}},
            'accounts.b.keys: found a key of a',
        ),
        (
            {'a': {'keys': [], 'requests_per_s': -1}},
            'accounts.a.requests_per_s: found -1',
        ),
        ({'a': {'keys': [], 'burst': 5}}, 'accounts.a.burst: found 5'),
        ({'a': {'keys': [], 'rate': 5}}, 'accounts.a.rate: found an unknown'),
    ],
)
def test_a_fault_is_told_without_a_key(
    found: dict[str, Any], fault: str
) -> None:
    text = json.dumps(_PRESET | {'accounts': found})
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse_preset(text, 'p.json5')
    assert any(fault in line for line in caught.value.faults)
    assert _KEY not in str(caught.value)
    assert _DIGEST not in str(caught.value)


def test_accounts_are_read() -> None:
    known = {'a': {'keys': [_DIGEST], 'requests_per_s': 2.5, 'burst': 10}}
    preset = settings.parse_preset(
        json.dumps(_PRESET | {'accounts': known}), 'p.json5'
    )
    assert preset.accounts == {
        'a': values.Account(keys=(_DIGEST,), requests_per_s=2.5, burst=10)
    }


@pytest.fixture(name='dep', scope='module')
def _dep(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[deployment.Deployment]:
    dep = deployment.Deployment(tmp_path_factory.mktemp('accounts'))
    dep.start(demo.WORKERS, demo.VMS)
    digest = accounts.digest(_OTHER).hex()
    preset = msgspec.structs.replace(
        demo.PRESET,
        accounts={
            'big': values.Account(keys=(_DIGEST,)),
            'small': values.Account(
                keys=(digest,), requests_per_s=0.5, burst=4
            ),
        },
    )
    dep.publish(preset)
    dep.wait_in_force(preset.name)
    yield dep
    dep.procs.close()


def _ask(dep: deployment.Deployment, key: str | None) -> tuple[int, Any]:
    body = {
        'model': 'enteis-llm',
        'max_tokens': 4,
        'messages': [{'role': 'user', 'content': 'go or wait?'}],
    }
    headers = {} if key is None else {'Authorization': f'Bearer {key}'}
    answer = dep.post(
        dep.caller('entry-1'),
        '/v1/chat/completions',
        json.dumps(body).encode(),
        headers,
    )
    assert _KEY.encode() not in answer.data
    return answer.status, json.loads(answer.data)


def test_a_request_needs_the_key_of_an_account(
    dep: deployment.Deployment,
) -> None:
    assert _ask(dep, _KEY)[0] == 200
    for key in (None, 'zzzz', _KEY.upper()):
        status, found = _ask(dep, key)
        assert status == 401
        assert found['error']['code'] == 'account-unknown'


def test_an_account_has_its_part_of_the_limit_at_each_vm(
    dep: deployment.Deployment,
) -> None:
    """An account may have four requests at once; there are two entry VMs."""
    statuses = [_ask(dep, _OTHER)[0] for _ in range(4)]
    assert statuses.count(200) == 2
    status, found = _ask(dep, _OTHER)
    assert status == 429
    assert found['error']['code'] == 'over-limit'
    assert found['error']['ran'] == 'no'
    assert found['error']['retry_after_s'] > 0
    assert _ask(dep, _KEY)[0] == 200


def test_no_state_of_a_process_has_a_key(dep: deployment.Deployment) -> None:
    for proc in dep.procs.procs:
        if 'admin' in proc.addresses:
            assert _KEY not in json.dumps(dep.state(proc))
