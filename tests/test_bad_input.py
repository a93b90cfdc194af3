"""Bad requests at a whole entry: a clear error each, and nothing held.

The cases stand in cases/bad_input.txt.
"""

from collections.abc import Iterator
import json
import pathlib
from typing import Final

import msgspec
import pytest

from tests import demo
from tests import deployment

_CASES: Final = pathlib.Path(__file__).parent / 'cases' / 'bad_input.txt'


class Case(msgspec.Struct, frozen=True):
    """One bad request and what it is told."""

    name: str
    method: str
    path: str
    headers: dict[str, str]
    body: str
    status: int
    code: str
    ran: str


def _cases() -> list[Case]:
    text = _CASES.read_text(encoding='utf-8')
    return [_case(part) for part in text.split('== ')[1:]]


def _case(part: str) -> Case:
    name, request, body, told = part.splitlines()[:4]
    method, path, *header = request.split(' ', 2)
    headers = dict([header[0].split(': ', 1)]) if header else {}
    status, code, ran = told.split()
    return Case(name, method, path, headers, body, int(status), code, ran)


@pytest.fixture(name='dep', scope='module')
def _dep(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[deployment.Deployment]:
    with deployment.Deployment(tmp_path_factory.mktemp('bad')) as dep:
        dep.start(demo.WORKERS, demo.VMS)
        dep.publish(demo.PRESET)
        dep.wait_in_force(demo.PRESET.name)
        yield dep


@pytest.mark.parametrize('case', _cases(), ids=lambda case: str(case.name))
def test_a_bad_request_is_told_what_is_wrong(
    dep: deployment.Deployment, case: Case
) -> None:
    address = dep.caller('entry-1')
    if case.method == 'GET':
        answer = dep.get(address, case.path, case.headers)
    else:
        answer = dep.post(address, case.path, case.body.encode(), case.headers)
    error = json.loads(answer.data)['error']
    found = (answer.status, error['code'], error['ran'])
    assert found == (case.status, case.code, case.ran)
    assert error['message']


@pytest.mark.parametrize('path', ['/v1/chat/completions', '/v1/tickets'])
@pytest.mark.parametrize('field', ['nobody-knows', 'model', 'count'])
def test_a_deeply_nested_body_is_a_bad_request(
    dep: deployment.Deployment, path: str, field: str
) -> None:
    """`RecursionError` out of the body was told as a fault of the router."""
    body = f'{{"{field}":'.encode() + b'[' * 100_000
    answer = dep.post(dep.caller('entry-1'), path, body)
    error = json.loads(answer.data)['error']
    assert (answer.status, error['code']) == (400, 'bad-request')
    assert error['ran'] == 'no'
    assert len(error['message']) < 1000


def test_a_ticket_of_another_deployment_is_not_run(
    dep: deployment.Deployment,
) -> None:
    """A caller holds a ticket that was signed with another secret."""
    wanted = json.dumps({'service': 'dispatch-desk'}).encode()
    answer = dep.post(dep.caller('entry-1'), '/v1/tickets', wanted)
    ticket = json.loads(answer.data)['tickets'][0]
    forged = ticket[:-6] + ('AAAAAA' if ticket[-6:] != 'AAAAAA' else 'BBBBBB')
    answer = dep.post(
        dep.caller('entry-1'),
        '/v1/services/dispatch-desk/check-in',
        b'{}',
        {'Foxtaildale-Ticket': forged},
    )
    assert json.loads(answer.data)['error']['code'] == 'ticket-bad'
    address = dep.workers['desk-1'].address
    assert json.loads(dep.get(address, '/executions').data) == []


def test_bad_requests_leave_nothing_held(dep: deployment.Deployment) -> None:
    for name in ('enteis-p1', 'enteis-d1', 'patrol-p1', 'patrol-d1'):
        address = dep.workers[name].address
        held = json.loads(dep.get(address, '/holdings').data)['holdings']
        assert held == []
    for entry in dep.entries.values():
        assert dep.state(entry)['busy'] == 0
