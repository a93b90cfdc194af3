"""Fingerprints, which identify the attempts of one request."""

import msgspec

from foxtaildale import fingerprint
from foxtaildale import forwarding

_CALL = forwarding.CallerRequest(
    id='a1',
    method='POST',
    target='/chat/x',
    path='/chat/x',
    host='h.example',
    headers=(),
    body=b'abc',
    account='acme',
)


def _fingerprint(**changed: object) -> int:
    return fingerprint.compute(msgspec.structs.replace(_CALL, **changed))


def test_attempts_of_one_request_share_a_fingerprint() -> None:
    same = {'id': 'b2', 'headers': (('x', 'y'),), 'prompt_tokens': 7}
    assert _fingerprint(**same) == _fingerprint()
    assert len(fingerprint.to_text(_fingerprint())) == 16


def test_different_requests_have_different_fingerprints() -> None:
    """Guards against quarantining a healthy request in place of another one."""
    changes: list[dict[str, object]] = [
        {},
        {'body': b'abd'},
        {'target': '/chat/y'},
        {'target': '/chat/x?page=2'},
        {'account': 'other'},
        {'account': ''},
        {'host': 'g.example'},
        {'method': 'GET'},
        {'prompt': 'f1:100,own1:100'},
        {'prompt': 'f1:100,own2:100'},
        {'account': 'ac', 'host': 'meh.example'},
    ]
    assert len({_fingerprint(**change) for change in changes}) == len(changes)
