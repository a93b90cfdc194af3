"""Client accounts and their keys in the configuration of the platform."""

from collections.abc import Iterator
import json
import random
from typing import Any

import hypothesis
from hypothesis import strategies
import pytest

from foxtaildale import accounts
from foxtaildale import errors
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import mirror
from foxtaildale import ports
from foxtaildale import routes
from foxtaildale_platform import caller_requests
from foxtaildale_platform import names
from foxtaildale_platform import records
from foxtaildaled import router_state
from tests import exchanges

_SECRET = 'k9m68k7b2ex5wa5xwyhk'
_TENANT: dict[str, Any] = {
    'name': 'huka270',
    'api_keys': ['banfqasnmgkcuyj8pjbv', _SECRET],
    'priority': 1,
    'unit': 'token_stream',
    'plain_tokens': 200,
    'rate_per_s': 104008,
    'burst': 104008,
}


def _config(version: int, *tenants: dict[str, Any]) -> bytes:
    return json.dumps({'version': version, 'tenants': tenants}).encode()


def _state() -> router_state.RouterState:
    return router_state.RouterState(
        records.Codec(), '10.0.0.1:1', (), 'here', random.Random(1)
    )


def _apply(state: router_state.RouterState, offset: int, value: bytes) -> None:
    entry = mirror.Entry(names.CONFIG_KEY, offset, value)
    keyed = ports.KeyedRecords(offset + 1, (entry,))
    state.apply_store_reply(
        names.CONFIG_TOPIC, keyed, 1.0, requested_at=1.0, is_snapshot=False
    )


def test_an_account_is_decoded_with_its_limit() -> None:
    table = records.decode_table(_config(3, _TENANT))
    assert table.client_accounts == (
        accounts.Account(
            name='huka270',
            keys=frozenset(accounts.digest(key) for key in _TENANT['api_keys']),
            priority=1,
            limit=accounts.Limit(
                unit='token', rate=104008, burst=104008, plain_tokens=200
            ),
        ),
    )
    known = routes.Matcher(table).client_accounts
    account = known.by_key(accounts.digest(_SECRET))
    assert account is not None
    assert account.name == 'huka270'
    assert known.by_key(accounts.digest('other')) is None
    assert known.by_key(None) is None


def test_account_without_limit_fields_has_no_limit() -> None:
    table = records.decode_table(_config(3, {'name': 'a', 'api_keys': ['k']}))
    assert table.client_accounts is not None
    account = table.client_accounts[0]
    assert account.priority is None
    assert not account.limit.rate


@pytest.mark.parametrize(
    ('change', 'fault'),
    [
        ({'name': ''}, "'' is no name"),
        ({'name': 'a\r\nX: 1'}, 'is no name'),
        ({'api_keys': ['']}, 'huka270 has an empty key'),
        ({'unit': 'parsec'}, "huka270 has the unit 'parsec'"),
        ({'rate_per_s': -1}, 'huka270 has the rate -1'),
        ({'rate_per_s': 1e300}, 'huka270 has the rate 1e+300'),
        ({'burst': -1}, 'huka270 has the burst -1'),
        ({'plain_tokens': -1}, 'huka270 has the tokens of a plain request -1'),
    ],
)
def test_fault_is_reported_by_name(change: dict[str, Any], fault: str) -> None:
    with pytest.raises(errors.DecodeError) as caught:
        records.decode_table(_config(3, _TENANT | change))
    assert fault in str(caught.value)


def test_faults_of_several_accounts_are_reported_without_keys() -> None:
    other = _TENANT | {'name': 'b', 'unit': 'x'}
    twice = {'name': 'b'}
    with pytest.raises(errors.DecodeError) as caught:
        records.decode_table(_config(3, _TENANT, other, twice))
    text = str(caught.value)
    assert 'b twice' in text
    assert 'b has a key of huka270' in text
    assert "b has the unit 'x'" in text
    assert not any(key in text for key in _TENANT['api_keys'])


def test_faulty_version_leaves_valid_one_in_force() -> None:
    """An operator publishes a key under two accounts.

    A partly applied version would refuse callers or serve them under another
    account.
    """
    state = _state()
    _apply(state, 0, _config(3, _TENANT))
    _apply(state, 1, _config(5, _TENANT, _TENANT | {'name': 'b'}))
    assert state.matcher is not None
    assert state.matcher.table.version == 3
    _apply(state, 2, _config(6))
    assert state.matcher.table.version == 6
    assert not state.matcher.client_accounts


def test_stored_and_forwarded_configuration_has_no_key() -> None:
    """An entry VM sends the configuration to the others.

    Neither the messages between them nor a memory dump may contain a key.
    """
    state = _state()
    _apply(state, 0, _config(3, _TENANT))
    request = messages.RecordsRequest(positions={})
    encoded = messages.encode(state.build_reply(request, 1.0))
    assert b'huka270' in encoded
    other = _state()
    reply = messages.decode(encoded)
    assert isinstance(reply, messages.RecordsReply)
    other.apply_peer_reply(reply, 1.0, requested_at=1.0, sender='a:1')
    for known in (state, other):
        assert known.matcher is not None
        holder = known.matcher.client_accounts.by_key
        assert holder(accounts.digest(_SECRET)) is not None
    assert not any(key.encode() in encoded for key in _TENANT['api_keys'])


@pytest.mark.parametrize(
    'value',
    [
        b'{"api_keys": ',
        b'["api_keys"]',
        b'{"tenants": 7, "x": "api_keys"}',
        b'{"tenants": [7], "x": "api_keys"}',
        b'{"tenants": [{"api_keys": 7}]}',
        b'{"tenants": [{"api_keys": ["k", 7]}]}',
    ],
)
def test_record_that_can_not_be_sealed_is_not_stored(value: bytes) -> None:
    assert records.redact_keys(names.CONFIG_TOPIC, value) == b''


def _decode(
    headers: dict[str, str], *, keyed: bool = True
) -> forwarding.CallerRequest:
    sent = {names.ATTEMPT: 'a1', 'host': 'h'} | headers
    return caller_requests.decode_request(
        exchanges.make(headers=sent), keyed=keyed
    )


@pytest.mark.parametrize(
    ('sent', 'key'),
    [
        (f'Bearer {_SECRET}', _SECRET),
        (f'bearer  {_SECRET}', _SECRET),
        (f'Basic {_SECRET}', None),
        (_SECRET, None),
        ('Bearer', None),
        ('Bearer ', None),
        (f'Bearer {_SECRET} x', None),
        # The header was sent twice.
        (f'Bearer {_SECRET}, Bearer other', None),
        (f'Bearer {_SECRET}, Bearer {_SECRET}', None),
        ('Bearer ' + 300 * 'k', None),
        (f'Bearer {_SECRET}\x00', None),
    ],
)
def test_key_of_a_request(sent: str, key: str | None) -> None:
    call = _decode({names.AUTHORIZATION: sent})
    assert call.key == (None if key is None else accounts.digest(key))
    assert names.AUTHORIZATION not in dict(call.headers)


def test_header_is_forwarded_without_accounts() -> None:
    sent = {names.AUTHORIZATION: 'Basic x'}
    call = _decode(sent, keyed=False)
    assert call.key is None
    assert dict(call.headers)[names.AUTHORIZATION] == 'Basic x'


def test_caller_can_not_choose_its_account() -> None:
    call = _decode({names.ACCOUNT: 'other'}, keyed=False)
    assert names.ACCOUNT not in dict(call.headers)


@hypothesis.given(
    value=strategies.text(
        strategies.characters(min_codepoint=0, max_codepoint=255), max_size=60
    )
)
def test_any_header_is_a_key_or_none_and_is_not_forwarded(value: str) -> None:
    for sent in (value, f'Bearer {value}', f'Bearer {_SECRET}{value}'):
        call = _decode({names.AUTHORIZATION: sent, 'x': 'y'})
        assert names.AUTHORIZATION not in dict(call.headers)
        assert call.key is None or len(call.key) == len(accounts.digest(''))
        assert _SECRET not in repr(call)


def _walk(value: object) -> Iterator[object]:
    yield value
    for field in getattr(value, '__struct_fields__', ()):
        yield from _walk(getattr(value, field))


def test_a_decoded_account_holds_no_key() -> None:
    table = records.decode_table(_config(3, _TENANT))
    assert _SECRET not in repr(table)
    assert table.client_accounts is not None
    assert not any(part == _SECRET for part in _walk(table.client_accounts[0]))
