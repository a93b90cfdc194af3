"""A caller gets the whole answer to its own request, or is told that not.

Real processes: two entry VMs, one prefill and two decode workers, whose
streams come crossed, doubled, cut short, silent or not at all.
"""

from collections.abc import Iterator
import contextlib
import json
from typing import Final

import pytest

from foxtaildale import values
from tests import caller as caller_lib
from tests import deployment
from tests.standins import answers
from tests.standins import relay

_SERVICE: Final = 'enteis-llm'
_CLAIMED: Final = 'patrol-reader'
_COUNT: Final = 24


def _engine(name: str, service: str, role: values.Role) -> deployment.Worker:
    return deployment.Worker(
        name=name, service=service, role=role, data_centre='halle-nord'
    )


_WORKERS: Final = (
    _engine('p1', _SERVICE, 'prefill'),
    _engine('d1', _SERVICE, 'decode'),
    _engine('d2', _SERVICE, 'decode'),
    _engine('p3', _CLAIMED, 'prefill'),
    _engine('d3', _CLAIMED, 'decode'),
    _engine('d4', _CLAIMED, 'decode'),
)
_VMS: Final = (
    deployment.Vm('entry-1', 'halle-nord'),
    deployment.Vm('entry-2', 'halle-sued'),
)
_PRESET: Final = values.Preset(
    name='ordinary',
    services={
        _SERVICE: values.Service(kind='model', patience_ms=30_000),
        _CLAIMED: values.Service(
            kind='model', once='claim', patience_ms=30_000
        ),
    },
)
# Faults of both decode workers under which every answer is still whole.
_MENDED: Final = {
    'the stream ends early': {'truncate': 7},
    'the connection is cut': {'cut_after': 7},
    'pieces come twice': {'duplicate': 3},
    'pieces of another request come between': {'cross': 6},
}


@pytest.fixture(name='dep', scope='module')
def _dep(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[deployment.Deployment]:
    with deployment.Deployment(tmp_path_factory.mktemp('whole')) as dep:
        dep.start(_WORKERS, _VMS)
        dep.publish(_PRESET)
        dep.wait_in_force(_PRESET.name)
        yield dep


def _ask(
    dep: deployment.Deployment, prompt: str, count: int = _COUNT
) -> caller_lib.Caller:
    return caller_lib.Caller(
        dep.caller('entry-1'), _SERVICE, prompt=prompt, max_tokens=count
    )


def _body(prompt: str) -> bytes:
    return json.dumps(
        {
            'model': _CLAIMED,
            'messages': [{'role': 'user', 'content': prompt}],
        }
    ).encode()


def _expected(prompt: str, count: int = _COUNT) -> str:
    return ''.join(answers.answer(f'user: {prompt}', count))


def _set(dep: deployment.Deployment, **faults: object) -> None:
    for name in ('d1', 'd2'):
        dep.faults(dep.workers[name], **faults)


def _begun(dep: deployment.Deployment, *names: str) -> list[str]:
    """Returns the requests whose decode was begun, one for each time."""
    begun = []
    for name in names:
        record = json.loads(dep.get(dep.workers[name].address, '/record').data)
        begun += [
            entry['request']
            for entry in record
            if (entry['kind'], entry['phase']) == ('decode', 'begun')
        ]
    return begun


@pytest.mark.parametrize('fault', _MENDED)
def test_a_faulty_stream_is_mended(
    dep: deployment.Deployment, fault: str
) -> None:
    """An engine's stream breaks off, repeats itself or mixes answers.

    A dispatcher would read half an answer, the same aircraft twice, or what
    another had asked.
    """
    _set(dep, **_MENDED[fault])
    caller = _ask(dep, fault)
    caller.read_all()
    _set(dep, **dict.fromkeys(_MENDED[fault], 0))
    assert caller.whole()
    assert caller.text() == _expected(fault)


def test_a_stream_that_goes_silent_is_read_on_over_a_new_connection(
    dep: deployment.Deployment,
) -> None:
    """Something between entry and engine has forgotten an open connection.

    It stays open and nothing comes; waiting longer would never help.
    """
    with contextlib.ExitStack() as stack:
        relays = [
            stack.enter_context(relay.Relay(dep.workers[name].address))
            for name in ('d1', 'd2')
        ]
        dep.relayed = dict(
            zip(('d1', 'd2'), (r.address for r in relays), strict=True)
        )
        dep.publish_list(_WORKERS)
        dep.wait_listed()
        caller = _ask(dep, 'silence', 200)
        caller.read(b'/20\n')
        for item in relays:
            item.silence()
        caller.read_all()
    dep.relayed = {}
    dep.publish_list(_WORKERS)
    dep.wait_listed()
    assert caller.whole()
    assert caller.text() == _expected('silence', 200)


def test_an_entry_dies_and_the_caller_reads_on_at_another_vm(
    dep: deployment.Deployment,
) -> None:
    """A VM is lost in mid-stream; the caller reconnects to the next one.

    It goes on with the event behind the last it has seen, and nothing is
    generated twice.
    """
    caller = _ask(dep, 'reconnect', 300)
    caller.read(b'/30\n')
    before = len(_begun(dep, 'd1', 'd2'))
    dep.entries['entry-1'].kill()
    events = [event for event in caller.events() if event.id]
    rest = caller_lib.Caller.resumed(dep.caller('entry-2'), events[-1].id)
    rest.read_all()
    dep.start_entry('entry-1')
    dep.wait_in_force(_PRESET.name)
    assert rest.whole()
    assert caller.text() + rest.text() == _expected('reconnect', 300)
    assert len(_begun(dep, 'd1', 'd2')) == before


def test_answers_of_many_callers_do_not_cross(
    dep: deployment.Deployment,
) -> None:
    """Many dispatchers ask at once while streams mix and repeat pieces."""
    _set(dep, cross=9, duplicate=4)
    callers = {
        f'question {number}': _ask(dep, f'question {number}')
        for number in range(16)
    }
    for caller in callers.values():
        caller.read_all()
    _set(dep, cross=0, duplicate=0)
    for prompt, caller in callers.items():
        assert caller.whole()
        assert caller.text() == _expected(prompt)


def test_a_claimed_summary_that_breaks_off_is_not_begun_again(
    dep: deployment.Deployment,
) -> None:
    """The engine that writes a billed summary dies in the middle.

    A second run would bill it twice; half of it must not pass for the whole.
    The caller is told so, and so is whoever asks again.
    """
    answer = dep.get(dep.caller('entry-1'), '/v1/keys')
    key = json.loads(answer.data)['prefix'] + 'tower-9'
    for name in ('d3', 'd4'):
        dep.faults(dep.workers[name], die_after=5)
    errors = [
        json.loads(
            dep.post(
                dep.caller(name),
                '/v1/chat/completions',
                _body('tower 9'),
                {'Idempotency-Key': key},
            ).data
        )['error']
        for name in ('entry-1', 'entry-2')
    ]
    assert [error['ran'] for error in errors] == ['unknown', 'unknown']
    alive = [name for name in ('d3', 'd4') if dep.workers[name].running()]
    assert len(alive) == 1
    assert not _begun(dep, *alive)
