"""One story of a request, out of the log lines of several entry VMs."""

import pathlib

import msgspec
import pytest

from foxtaildale_client import exits
from foxtaildale_client import main
from foxtaildale_client import request_trace
from foxtaildale_client import results


def _line(at: float, event: str, **fields: object) -> str:
    line = {'at': at, 'level': 'info', 'role': 'router', 'entry_vm': 'vm-1'}
    return msgspec.json.encode(line | {'event': event} | fields).decode()


_LINES = (
    _line(3.0, 'sent', request='r', server='d1', attempt=1, version=4),
    'noise of another program',
    _line(
        1.0,
        'backend server known',
        server='d1',
        service='s',
        source='store',
        offset=9,
    ),
    '   12.5 vm-2 '
    + _line(2.0, 'placed', request='r', server='d1', prefill=''),
    _line(3.1, 'not run', request='r', server='d1', status=503),
    _line(
        3.2,
        'refused',
        request='r',
        code='backend-refused',
        status=503,
        retry_after_s=0.4,
        reason='full',
    ),
    _line(3.3, 'sent', request='other', server='d1', attempt=1),
    '{"at": 4.0, "event": "cut off in the mid',
)


def test_a_refused_request_is_followed_to_its_cause() -> None:
    """A caller complains of a refusal; on-call has the lines of all VMs."""
    found = request_trace.trace_request(request_trace.parse(_LINES), 'r')
    assert isinstance(found, request_trace.RequestTrace)
    sentences = [sentence for _, _, sentence, _ in found.steps]
    assert sentences == [
        'd1 may get work of s, told by store',
        'the plan gave it d1, its prompt to ',
        'it was sent to d1 (attempt 1)',
        'd1 promised that it did not run it (status 503)',
        'refused as backend-refused (status 503), to come back after 0.4 s',
    ]
    assert found.conclusion.endswith('did not take it (full).')
    assert 'version=4' in found.text()


@pytest.mark.parametrize(
    ('last', 'conclusion'),
    [
        (
            _line(5.0, 'answered', request='r', status=200, whole=True),
            'The caller got its whole answer, status 200.',
        ),
        (
            _line(5.0, 'failed', request='r', code='broken', status=502),
            'The caller was told: The answer broke off and could not be'
            ' resumed; what came is not whole.',
        ),
        (
            _line(5.0, 'failed', request='r', code='outcome-unknown'),
            'The caller was told: It is not known whether the request ran.',
        ),
        (
            _line(5.0, 'sent', request='r', server='x', attempt=1),
            'The log does not tell how it ended.',
        ),
    ],
)
def test_the_conclusion_says_what_the_caller_was_told(
    last: str, conclusion: str
) -> None:
    found = request_trace.trace_request(request_trace.parse([last]), 'r')
    assert isinstance(found, request_trace.RequestTrace)
    assert found.conclusion == conclusion


def test_an_unknown_request_is_said_so() -> None:
    found = request_trace.trace_request(request_trace.parse(_LINES), 'none')
    assert isinstance(found, results.Problem)
    assert found.status == exits.Exit.NOT_FOUND


def test_the_command_reads_a_file(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / 'lines'
    file.write_text('\n'.join(_LINES))
    assert main.run(('explain', 'r', '--log', str(file))) == 0
    assert 'refused as backend-refused' in capsys.readouterr().out


def test_a_customer_over_its_limit_hears_what_was_counted() -> None:
    """A customer calls: it was refused although it sends little.

    On-call finds who counted, what this request counts as and what was left.
    """
    figures = {
        'account': 'pad-7',
        'cost': 7400,
        'remaining': 310,
        'rate': 29000.0,
        'burst': 29000.0,
        'unit': 'token',
        'by': 'home',
        'took_ms': 2,
    }
    line = _line(
        2.0,
        'refused',
        request='r',
        code='over-limit',
        status=429,
        retry_after_s=0.25,
        **figures,
    )
    found = request_trace.trace_request(request_trace.parse([line]), 'r')
    assert isinstance(found, request_trace.RequestTrace)
    assert 'client account pad-7 may take 29000.0 tokens' in found.conclusion
    assert 'counts as 7400 and 310 are left' in found.conclusion
    assert 'by=home' in found.text()
