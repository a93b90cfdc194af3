"""Runs a case: exit status 1 if the rule was broken, 0 if held, 2 if not run."""

from collections.abc import Callable
import contextlib
import os
import pathlib
import signal
import sys
import threading
import traceback
from typing import NoReturn

from lib import record
from lib import routers
from lib import store
from lib import workers

HELD = 0
BROKEN = 1
NOT_RUN = 2
# Time after which a run ends by itself, seconds.
_TIME_LIMIT_S = 110
_ENGINE = {
    'slots': 64,
    'kv_capacity_tokens': 102_942,
    'token_kv_bytes': 18_432,
    'link_mbps': 2_900_000.0,
    'most': 12,
    'kv_hold_s': 0.5,
    'stage_switch_s': 6.0,
    'pin_ms': 4000.0,
    'hold_ms': 2000.0,
    'models': [{'name': 'm'}],
}
_SERVICES = [
    {
        'name': 'model-1',
        'health_path': '/health',
        'max_conns': 370,
        'protocol': 'h1',
        'tls': False,
        'engine': _ENGINE,
    },
    {
        'name': 'plain-1',
        'health_path': '/health',
        'max_conns': 110,
        'protocol': 'h1',
        'tls': False,
    },
]
_ROUTE = {'host': 'ficu95.example', 'priority': 1, 'max_attempts': 2}
_ROUTES = [
    _ROUTE
    | {
        'name': 'resumable',
        'path_prefix': '/review/',
        'kind': 'streaming',
        'timeout_ms': 14_000,
        'target_latency_ms': 900,
        'target_gap_ms': 300,
        'service': 'model-1',
        'sticky_sessions': True,
        'resumable': True,
    },
    _ROUTE
    | {
        'name': 'not-resumable',
        'path_prefix': '/audit/',
        'kind': 'streaming',
        'timeout_ms': 14_000,
        'target_latency_ms': 900,
        'target_gap_ms': 300,
        'service': 'model-1',
        'sticky_sessions': True,
        'resumable': False,
        'max_attempts': 1,
    },
    _ROUTE
    | {
        'name': 'once',
        'path_prefix': '/dispatch/',
        'kind': 'non_idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 300,
        'service': 'plain-1',
        'max_attempts': 1,
    },
    _ROUTE
    | {
        'name': 'repeatable',
        'path_prefix': '/status/',
        'kind': 'idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 300,
        'service': 'plain-1',
    },
]


class Site:
    """A small deployment: a store, some workers and some routers."""

    def __init__(
        self,
        notes: record.Record,
        count: int,
        *,
        memory_mb: int = 150,
        event_tokens: int = 64,
    ) -> None:
        self.notes = notes
        self.store = store.Store()
        self.workers: list[workers.Worker] = []
        self.routers = routers.Routers(
            count, self.store.address, notes, memory_mb=memory_mb
        )
        self.store.put(
            'keyed.op',
            'config',
            {
                'version': 7,
                'routes': _ROUTES,
                'services': _services(event_tokens),
                'limits': {
                    'max_header_bytes': 16_384,
                    'max_body_bytes': 4_194_304,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15_000,
                },
            },
        )

    def add(
        self,
        kind: type[workers.Worker],
        service: str,
        stage: str = '',
        version: str = 'v1',
        slots: int = 6,
    ) -> workers.Worker:
        """Starts a worker."""
        worker = kind(
            self.store,
            self.notes,
            service=service,
            stage=stage,
            version=version,
            slots=slots,
        )
        self.workers.append(worker)
        return worker

    def close(self) -> None:
        """Ends everything."""
        self.routers.close()
        for worker in self.workers:
            worker.close()
        self.store.close()


def _services(event_tokens: int) -> list[dict[str, object]]:
    """Returns the services, with so many tokens in an event."""
    model, plain = _SERVICES
    return [model | {'engine': _ENGINE | {'stride': event_tokens}}, plain]


def has_trouble() -> bool:
    """Whether the run has its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def in_threads(functions: list[Callable[[], None]]) -> None:
    """Calls functions side by side and waits for all."""
    threads = [
        threading.Thread(target=function, daemon=True) for function in functions
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def main(
    file: str,
    play: Callable[[Site], int],
    *,
    count: int,
    memory_mb: int = 150,
    event_tokens: int = 64,
) -> NoReturn:
    """Plays a case and exits.

    Args:
        file: The program of the case; the record is written beside it.
        play: Plays the case on a site and returns the exit status.
        count: Number of routers.
        memory_mb: Memory of an entry VM, in its settings.
        event_tokens: Tokens in an event of a stream.
    """
    notes = record.Record(pathlib.Path(file).resolve().parent / 'record.txt')

    def stop(_signum: int, _frame: object) -> NoReturn:
        raise TimeoutError('the run takes too long')

    signal.signal(signal.SIGALRM, stop)
    signal.signal(signal.SIGTERM, stop)
    signal.alarm(_TIME_LIMIT_S)
    site = None
    try:
        site = Site(
            notes, count, memory_mb=memory_mb, event_tokens=event_tokens
        )
        result = play(site)
    except Exception:
        traceback.print_exc()
        notes.note('not run', error=traceback.format_exc().splitlines()[-1])
        result = NOT_RUN
    finally:
        if site is not None:
            site.close()
    word = {HELD: 'held', BROKEN: 'broken', NOT_RUN: 'not run'}[result]
    notes.note('result', rule=word, trouble=has_trouble())
    notes.write()
    # Nobody may read the output any more.
    with contextlib.suppress(OSError):
        print(f'rule: {word}')
        sys.stdout.flush()
    os._exit(result)
