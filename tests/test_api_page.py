"""Each example of docs/API.md, run as it is written."""

from collections.abc import Iterator
import json
import os
import pathlib
import re
import subprocess
from typing import Final

import pytest

from tests import demo
from tests import deployment

_PAGE: Final = (
    pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'API.md'
)
# Beginnings of the indented blocks that are commands.
_COMMANDS: Final = ('curl ', 'PREFIX=', 'TICKET=')
_BLOCK: Final = re.compile(r'(?:^    .*\n)+', re.MULTILINE)


def _examples() -> list[str]:
    blocks = _BLOCK.findall(_PAGE.read_text(encoding='utf-8'))
    stripped = [re.sub(r'^    ', '', b, flags=re.MULTILINE) for b in blocks]
    return [block for block in stripped if block.startswith(_COMMANDS)]


@pytest.fixture(name='dep', scope='module')
def _dep(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[deployment.Deployment]:
    with deployment.Deployment(tmp_path_factory.mktemp('api')) as dep:
        dep.start(demo.WORKERS, demo.VMS)
        dep.publish(demo.PRESET)
        dep.wait_in_force(demo.PRESET.name)
        yield dep


def _run(dep: deployment.Deployment, example: str) -> str:
    env = os.environ | {
        'ENTRY': dep.caller('entry-1'),
        'OTHER': dep.caller('entry-2'),
    }
    done = subprocess.run(
        ['bash', '-ec', example],
        env=env,
        capture_output=True,
        check=True,
        text=True,
        timeout=deployment.WAIT_S,
    )
    return done.stdout


def test_the_page_has_its_examples() -> None:
    assert len(_examples()) == 5


def test_the_streamed_answer(dep: deployment.Deployment) -> None:
    lines = _run(dep, _examples()[0]).splitlines()
    events = [line for line in lines if line.startswith('data: ')]
    assert events[-1] == 'data: [DONE]'
    assert '"foxtaildale":{"count":4,"digest":"' in events[-2]


def test_reading_on(dep: deployment.Deployment) -> None:
    """The page's event is made up; it is put in place of a real one."""
    lines = _run(dep, _examples()[0]).splitlines()
    first = next(line for line in lines if line.startswith('id: '))[4:]
    made_up = re.search(r"Last-Event-ID: ([^']+)'", _examples()[1])
    assert made_up is not None
    rest = _run(dep, _examples()[1].replace(made_up[1], first))
    ids = [line for line in rest.splitlines() if line.startswith('id: ')]
    assert [line.rpartition('/')[2] for line in ids] == ['1', '2', '3', '4']


def test_a_key_at_two_vms(dep: deployment.Deployment) -> None:
    decoder = json.JSONDecoder()
    text = _run(dep, _examples()[2])
    first, end = decoder.raw_decode(text)
    second, _ = decoder.raw_decode(text[end:])
    assert first == second
    assert first['object'] == 'chat.completion'


def test_a_ticket_at_two_vms(dep: deployment.Deployment) -> None:
    decoder = json.JSONDecoder()
    text = _run(dep, _examples()[3])
    first, end = decoder.raw_decode(text)
    second, _ = decoder.raw_decode(text[end:])
    assert first == second


def test_an_error(dep: deployment.Deployment) -> None:
    found = json.loads(_run(dep, _examples()[4]))['error']
    assert (found['code'], found['ran']) == ('ticket-needed', 'no')
    assert len(found['tickets']) == 1
