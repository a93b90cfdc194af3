"""The whole path as separate processes, from a caller and back."""

import json
import pathlib

import pytest

from tests import demo
from tests import deployment


@pytest.fixture(name='dep', scope='module')
def _dep(tmp_path_factory: pytest.TempPathFactory) -> deployment.Deployment:
    work: pathlib.Path = tmp_path_factory.mktemp('path')
    dep = deployment.Deployment(work)
    dep.start(demo.WORKERS, demo.VMS)
    dep.publish(demo.PRESET)
    dep.wait_in_force(demo.PRESET.name)
    return dep


@pytest.fixture(autouse=True, scope='module')
def _close(dep: deployment.Deployment) -> object:
    yield
    dep.procs.close()


def test_a_streamed_answer_is_whole(dep: deployment.Deployment) -> None:
    body = {
        'model': 'enteis-llm',
        'stream': True,
        'max_tokens': 8,
        'messages': [{'role': 'user', 'content': 'go or wait?'}],
    }
    answer = dep.post(
        dep.caller('entry-1'),
        '/v1/chat/completions',
        json.dumps(body).encode(),
    )
    lines = answer.data.decode().splitlines()
    events = [line for line in lines if line.startswith('data: ')]
    assert answer.status == 200
    assert events[-1] == 'data: [DONE]'
    last = json.loads(events[-2].removeprefix('data: '))
    assert last['foxtaildale']['count'] == len(events) - 2 == 8


def test_a_summary_runs_once_under_one_key(
    dep: deployment.Deployment,
) -> None:
    """A caller that lost the answer sends its request again elsewhere.

    Two runs would bill the summary twice.
    """
    prefix = json.loads(dep.get(dep.caller('entry-1'), '/v1/keys').data)
    headers = {'Idempotency-Key': prefix['prefix'] + 'tower-17'}
    body = {
        'model': 'patrol-reader',
        'messages': [{'role': 'user', 'content': 'tower 17 ' * 50}],
    }
    answers = [
        dep.post(
            dep.caller(name),
            '/v1/chat/completions',
            json.dumps(body).encode(),
            headers,
        )
        for name in ('entry-1', 'entry-2')
    ]
    assert json.loads(answers[0].data)['object'] == 'chat.completion'
    # The second is the text of the one run, not a run of its own.
    assert answers[1].data == answers[0].data
    record = json.loads(
        dep.get(dep.workers['patrol-d1'].address, '/record').data
    )
    begun = [
        entry
        for entry in record
        if (entry['kind'], entry['phase']) == ('decode', 'begun')
    ]
    assert len(begun) == 1


def test_a_check_in_is_logged_once_with_its_ticket(
    dep: deployment.Deployment,
) -> None:
    """A crew sends its check-in twice, since the first answer was late.

    Two records would corrupt the roster.
    """
    wanted = json.dumps({'service': 'dispatch-desk'}).encode()
    answer = dep.post(dep.caller('entry-1'), '/v1/tickets', wanted)
    headers = {'Foxtaildale-Ticket': json.loads(answer.data)['tickets'][0]}
    replies = [
        dep.post(
            dep.caller(name),
            '/v1/services/dispatch-desk/check-in',
            b'{"crew": 4}',
            headers,
        ).data
        for name in ('entry-1', 'entry-2')
    ]
    assert replies[0] == replies[1]
    executions = json.loads(
        dep.get(dep.workers['desk-1'].address, '/executions').data
    )
    assert len(executions) == 1


def test_a_refusal_explains_itself(dep: deployment.Deployment) -> None:
    answer = dep.post(
        dep.caller('entry-2'), '/v1/services/dispatch-desk/check-in', b'{}'
    )
    error = json.loads(answer.data)['error']
    assert (answer.status, error['code'], error['ran']) == (
        428,
        'ticket-needed',
        'no',
    )
    told = dep.get(dep.caller('entry-2'), f'/v1/outcomes/{error["request"]}')
    assert json.loads(told.data)['error']['message'] == error['message']


def test_metrics_count_what_passes_between_processes(
    dep: deployment.Deployment,
) -> None:
    for proc in (dep.entries['entry-1'], dep.keepers['entry-1']):
        page = dep.get(proc.addresses['admin'], '/metrics').data.decode()
        assert 'foxtaildale_messages_total{direction="sent"}' in page
        assert 'foxtaildale_message_bytes_total{direction="received"}' in page


def test_a_planned_stop_ends_with_status_0(
    dep: deployment.Deployment,
) -> None:
    procs = [*dep.entries.values(), *dep.keepers.values()]
    for proc in procs:
        proc.terminate()
    assert [proc.wait() for proc in procs] == [0] * len(procs)
