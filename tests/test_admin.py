"""What operators see: logs, metrics, readiness and state."""

import json
import logging
import sys
import threading

import pytest
import urllib3

from foxtaildale_adapters import admin
from foxtaildale_adapters import logs
from foxtaildale_adapters import metrics


def test_a_log_line_is_json_with_its_fields(
    capsys: pytest.CaptureFixture[str],
) -> None:
    logs.setup('entry', 'vm1', 'info')
    logs.event(logging.INFO, '100% done', request='r1', role='other')
    logs.event(logging.DEBUG, 'not logged')
    logging.getLogger('library').warning('odd %s', 'thing')
    try:
        raise KeyError('x')
    except KeyError as exc:
        logs.event(logging.ERROR, 'failed', exc=exc, what=object)
    first, second, third = [
        json.loads(line) for line in capsys.readouterr().err.splitlines()
    ]
    assert first.pop('at') > 0
    assert first == {
        'level': 'info',
        'role': 'entry',
        'entry_vm': 'vm1',
        'event': '100% done',
        'request': 'r1',
    }
    assert (second['event'], second['level']) == ('odd thing', 'warning')
    assert "KeyError: 'x'" in third['exc']
    assert third['what'] == repr(object)


def test_metrics_come_in_the_text_format() -> None:
    found = metrics.Metrics()
    found.requests.add(1, 'enteis-llm', 'ok')
    found.requests.add(2, 'enteis-llm', 'ok')
    found.messages.set(7, 'sent')
    found.between_tokens_seconds.observe([0.02, 0.2], 'enteis-llm')
    lines = found.render().decode().splitlines()
    assert (
        'foxtaildale_requests_total{code="ok",service="enteis-llm"} 3' in lines
    )
    assert 'foxtaildale_messages_total{direction="sent"} 7' in lines
    assert (
        'foxtaildale_between_tokens_seconds_bucket'
        '{le="0.029",service="enteis-llm"} 1.0'
    ) in lines


def test_counts_from_many_threads_add_up() -> None:
    """Two threads read a sum, and each writes back its own addition.

    Requests would be missing from the operators' figures.
    """
    found = metrics.Metrics()

    def add() -> None:
        for _ in range(2000):
            found.retries.add(1, 's')

    interval = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    threads = [threading.Thread(target=add) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    sys.setswitchinterval(interval)
    assert b'foxtaildale_retries_total{service="s"} 16000' in found.render()


def test_accounts_that_come_and_go_do_not_fill_the_memory() -> None:
    """Operators name accounts anew for months.

    Each one that was ever counted would stay a line of the metrics.
    """
    found = metrics.Metrics()
    for number in range(metrics.MAX_SERIES + 500):
        found.accounts.add(1, f'a{number}', 'ok')
    found.accounts.add(1, 'a0', 'ok')
    lines = found.render().decode().splitlines()
    counted = [line for line in lines if line.startswith('foxtaildale_account')]
    assert len(counted) == metrics.MAX_SERIES + 1
    assert any('account="a0"' in line and ' 2' in line for line in counted)
    assert any('account="other"' in line and ' 500' in line for line in counted)


def test_operators_read_each_page() -> None:
    reasons = ['']
    found = admin.Admin(
        '127.0.0.1:0',
        lambda: reasons[0],
        lambda: b'{"role":"entry"}',
        lambda: b'metric 1\n',
    )
    address = found.start()
    pool = urllib3.PoolManager(retries=False)

    def read(page: str) -> tuple[int, bytes]:
        resp = pool.request('GET', f'http://{address}/{page}')
        return resp.status, resp.data

    try:
        assert read('livez') == (200, b'live\n')
        assert read('readyz') == (200, b'ready\n')
        reasons[0] = 'no preset is known'
        assert read('readyz') == (503, b'no preset is known\n')
        assert read('metrics') == (200, b'metric 1\n')
        assert read('state') == (200, b'{"role":"entry"}')
        assert read('other')[0] == 404
    finally:
        found.close()
