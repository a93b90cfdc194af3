"""What tells that two sends are of one request."""

import msgspec

from foxtaildale import fingerprint
from foxtaildale import forwarding

_CALL = forwarding.Call(
    id='a1',
    method='POST',
    target='/chat/x',
    path='/chat/x',
    host='h.example',
    headers=(),
    body=b'abc',
    account='acme',
)


def _of(**changed: object) -> int:
    return fingerprint.of(msgspec.structs.replace(_CALL, **changed))


def test_tries_of_one_request_have_one_fingerprint() -> None:
    same = {'id': 'b2', 'headers': (('x', 'y'),), 'prompt_tokens': 7}
    assert _of(**same) == _of()
    assert len(fingerprint.text(_of())) == 16


def test_other_requests_have_others() -> None:
    """Guards against holding a healthy request for another one."""
    changes: list[dict[str, object]] = [
        {},
        {'body': b'abd'},
        {'target': '/chat/y'},
        {'target': '/chat/x?page=2'},
        {'account': 'other'},
        {'account': ''},
        {'host': 'g.example'},
        {'method': 'GET'},
        {'account': 'ac', 'host': 'meh.example'},
    ]
    assert len({_of(**change) for change in changes}) == len(changes)
