"""The main job on stand-ins, from start to graceful stop.

Starts a deployment of two entry VMs as separate processes, publishes a preset
and switches to it, sends a dispatcher's question, a patrol log and a crew
check-in, shows one refusal with its explanation, and stops everything.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
from typing import Final

import msgspec
import urllib3

from foxtaildale import values
from tests import deployment

WORKERS: Final = (
    deployment.Worker(
        name='enteis-p1',
        service='enteis-llm',
        role='prefill',
        data_centre='halle-nord',
    ),
    deployment.Worker(
        name='enteis-d1',
        service='enteis-llm',
        role='decode',
        data_centre='halle-sued',
        fenced=True,
    ),
    deployment.Worker(
        name='patrol-p1',
        service='patrol-reader',
        role='prefill',
        data_centre='hall-doi',
    ),
    deployment.Worker(
        name='patrol-d1',
        service='patrol-reader',
        role='decode',
        data_centre='hall-ping',
    ),
    deployment.Worker(
        name='desk-1',
        service='dispatch-desk',
        role='plain',
        data_centre='hall-kok',
    ),
)
VMS: Final = (
    deployment.Vm('entry-1', 'halle-nord'),
    deployment.Vm('entry-2', 'halle-sued'),
)
PRESET: Final = values.Preset(
    name='ordinary',
    services={
        'enteis-llm': values.Service(
            kind='model',
            priority=1,
            first_answer_ms=2_000,
            between_tokens_ms=100,
            engine_settings={'version': '2'},
            patience_ms=1_500,
            expected_tokens=16,
        ),
        'patrol-reader': values.Service(
            kind='model',
            once='claim',
            priority=5,
            patience_ms=60_000,
            expected_tokens=32,
        ),
        'dispatch-desk': values.Service(
            kind='plain', once='ticket', priority=0
        ),
    },
)


def main() -> int:
    """Runs the demonstration; returns the exit status."""
    with (
        tempfile.TemporaryDirectory() as work,
        deployment.Deployment(pathlib.Path(work)) as dep,
    ):
        dep.start(WORKERS, VMS)
        say('started', ', '.join(proc.name for proc in dep.procs.procs))
        publish(dep, pathlib.Path(work))
        show_engines(dep)
        ask_question(dep)
        send_patrol_log(dep)
        check_in(dep)
        show_refusal(dep)
        return stop(dep)


def publish(dep: deployment.Deployment, work: pathlib.Path) -> None:
    """Publishes a preset and switches to it, as an operator does."""
    path = work / 'ordinary.json5'
    path.write_bytes(b'// The demonstration.\n' + msgspec.json.encode(PRESET))
    for command in (
        ('check', str(path)),
        ('publish', str(path)),
        ('switch', PRESET.name, '--expects', '0'),
        ('current',),
    ):
        operate(dep, 'preset', *command)
    dep.wait_in_force(PRESET.name)


def show_engines(dep: deployment.Deployment) -> None:
    """Waits until the engines are set as the preset says."""
    for name in ('enteis-p1', 'enteis-d1'):
        address = dep.workers[name].address
        dep.until(
            lambda a=address: b'"2"' in dep.get(a, '/orders').data,  # type: ignore[misc]
            f'{name} has version 2',
        )
        say('engine', f'{name} is set to version 2')


def operate(
    dep: deployment.Deployment, *command: str, quiet: bool = False
) -> int:
    """Runs the operators' program; returns its exit status."""
    if not quiet:
        say('operator', f'foxtaildale {" ".join(command)}')
    env = os.environ | {
        'FOXTAILDALE_PLATFORM': dep.platform.address,
        'PYTHONPATH': os.pathsep.join(path for path in sys.path if path),
    }
    done = subprocess.run(
        [sys.executable, '-m', 'foxtaildale_client.main', *command],
        env=env,
        capture_output=quiet,
        check=False,
    )
    return done.returncode


def ask_question(dep: deployment.Deployment) -> None:
    """Streams a dispatcher's question."""
    body = {
        'model': 'enteis-llm',
        'stream': True,
        'max_tokens': 12,
        'messages': [{'role': 'user', 'content': 'type IV at -3, go or wait?'}],
    }
    say('question', 'to entry-1, streamed')
    show_stream(
        dep.post(
            dep.caller('entry-1'),
            '/v1/chat/completions',
            json.dumps(body).encode(),
            stream=True,
        )
    )


def send_patrol_log(dep: deployment.Deployment) -> None:
    """Sends a patrol log twice under one key; it runs once."""
    body = {
        'model': 'patrol-reader',
        'messages': [{'role': 'user', 'content': 'tower 17 insulator ' * 200}],
    }
    prefix = json.loads(dep.get(dep.caller('entry-1'), '/v1/keys').data)
    headers = {'Idempotency-Key': prefix['prefix'] + 'patrol-tower-17'}
    for name in ('entry-1', 'entry-2'):
        answer = dep.post(
            dep.caller(name),
            '/v1/chat/completions',
            json.dumps(body).encode(),
            headers,
        )
        say('patrol log', f'at {name}: {answer.status} {shorten(answer.data)}')


def check_in(dep: deployment.Deployment) -> None:
    """Fetches a ticket and logs a check-in with it, twice."""
    answer = dep.post(
        dep.caller('entry-1'),
        '/v1/tickets',
        json.dumps({'service': 'dispatch-desk', 'count': 1}).encode(),
    )
    ticket = json.loads(answer.data)['tickets'][0]
    for name in ('entry-1', 'entry-2'):
        answer = dep.post(
            dep.caller(name),
            '/v1/services/dispatch-desk/check-in',
            b'{"crew": 4, "tower": 17, "safe": true}',
            {'Foxtaildale-Ticket': ticket},
        )
        say('check-in', f'at {name}: {answer.status} {shorten(answer.data)}')
    record = json.loads(
        dep.get(dep.workers['desk-1'].address, '/executions').data
    )
    say('executions', shorten(json.dumps(record).encode()))


def show_refusal(dep: deployment.Deployment) -> None:
    """Shows a refusal, and its explanation afterwards."""
    answer = dep.post(
        dep.caller('entry-1'),
        '/v1/services/dispatch-desk/check-in',
        b'{"crew": 5}',
    )
    error = json.loads(answer.data)['error']
    say('refused', f'{answer.status} {error["code"]}: {error["message"]}')
    # The entry writes its outcomes to the log about once a second.
    dep.until(
        lambda: operate(dep, 'explain', error['request'], quiet=True) == 0,
        'the refusal is in the log',
    )
    operate(dep, 'explain', error['request'])
    operate(dep, 'status')


def stop(dep: deployment.Deployment) -> int:
    """Stops everything gracefully; returns the worst exit status."""
    statuses = []
    for proc in [*dep.entries.values(), *dep.keepers.values()]:
        proc.terminate()
    for proc in [*dep.entries.values(), *dep.keepers.values()]:
        statuses.append(proc.wait())
    for proc in [*dep.workers.values(), dep.platform]:
        statuses.append(proc.stop())
    say('stopped', f'exit codes {sorted(set(statuses))}')
    return max(map(abs, statuses))


def show_stream(answer: urllib3.BaseHTTPResponse) -> None:
    """Prints an answer as it streams."""
    for raw in answer:
        line = raw.decode().rstrip()
        if line.startswith('data: '):
            print('   ', line[:160], flush=True)


def shorten(data: bytes) -> str:
    """Returns the beginning of a text."""
    text = data.decode()
    return text if len(text) <= 300 else text[:300] + '…'


def say(what: str, text: str) -> None:
    """Prints one step."""
    print(f'[{what}] {text}', flush=True)


if __name__ == '__main__':
    sys.exit(main())
