"""Work that reaches or leaves a process while it stops."""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import errno
import http.client
import os
import pathlib
import socket
import subprocess
import sys
import threading
import time
from typing import Final
from unittest import mock

import msgspec
import pytest

from foxtaildale import codes
from foxtaildale import errors
from foxtaildale import failure_reports
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import settings
from foxtaildale import values
from foxtaildale_adapters import caller_server
from foxtaildale_adapters import metrics
from foxtaildale_adapters import peers
from foxtaildale_adapters import zmq_responder
from foxtaildale_platform import settings_file
from foxtaildaled import outcome_records
from foxtaildaled import process
from foxtaildaled import quarantine_manager
from foxtaildaled import router_daemon
from foxtaildaled import router_state
from foxtaildaled import start
from foxtaildaled import wiring
from tests import site as sites

# Grace time of a stop that ends before the requests do, seconds.
_SHORT_GRACE_S: Final = 4.0
_LONG_WORK_S: Final = 6.0
# Time of a request that a close waits for, seconds.
_WORK_S: Final = 0.5
_ENDS_S: Final = 10.0
# Closes of a responder while its requester is busy.
_ROUNDS: Final = 5
# Time that a message takes that is handled slowly, seconds.
_SLOW_S: Final = 0.05
_ENTRY: Final = (
    pathlib.Path(__file__).parent.parent
    / 'examples/eisbrecher/vm-halle-nord-1-entry.json5'
)


class _Slow:
    """A handler that takes a while."""

    def __init__(self) -> None:
        # Paths of the requests that reached it, in order.
        self.begun: list[str] = []

    def handle(self, exchange: caller_server.Exchange) -> None:
        self.begun.append(exchange.path)
        time.sleep(_WORK_S)
        exchange.respond(200, {}, b'whole')


def _fail(*_: int) -> int:
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


@pytest.fixture(name='site')
def _site() -> Iterator[sites.Site]:
    with contextlib.closing(sites.Site()) as made:
        sites.make_calm(made)
        config = sites.config(2)
        for route in config['routes']:
            route['timeout_ms'] = 14_000
        made.store.put('keyed.op', 'config', config)
        sites.until(lambda: made.routers[0].config_version() == 2)
        yield made


@pytest.fixture(name='failed')
def _failed(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Returns the servers that were recorded as failed, in order."""
    found: list[str] = []
    record = failure_reports.FailureReports.record
    record_plain = router_state.RouterState.record_plain_failure

    def on_report(
        reports: failure_reports.FailureReports,
        now: float,
        server: str,
        holder: str,
        *,
        replaced: bool = False,
    ) -> None:
        found.append(server)
        record(reports, now, server, holder, replaced=replaced)

    def on_plain_failure(
        state: router_state.RouterState, server: str, now: float
    ) -> None:
        found.append(server)
        record_plain(state, server, now)

    monkeypatch.setattr(failure_reports.FailureReports, 'record', on_report)
    monkeypatch.setattr(
        router_state.RouterState, 'record_plain_failure', on_plain_failure
    )
    return found


@pytest.mark.parametrize(
    ('path', 'sent_s'), [('/once/x', 0.2), ('/single/x', 0.2), ('/chat/x', 2.5)]
)
def test_a_stop_reports_no_server_whose_request_it_cancels(
    site: sites.Site, failed: list[str], path: str, sent_s: float
) -> None:
    """Guards against sound servers excluded by all VMs when some VMs stop."""
    for worker in site.workers.values():
        worker.work_s = _LONG_WORK_S
        worker.events, worker.pace_s = 100, 0.1
    if path == '/single/x':
        site.workers['p1'].work_s = 0
    site.start_routers(1)
    router = site.routers[0]
    router.cfg = msgspec.structs.replace(router.cfg, grace_s=_SHORT_GRACE_S)
    conn = http.client.HTTPConnection(router.addresses['caller'], timeout=9)
    with futures.ThreadPoolExecutor(1) as pool:
        stopped = pool.submit(router.stop)
        time.sleep(sent_s)
        headers = {
            'Host': 'h.example',
            'Foxtaildale-Attempt-Id': 'a1',
            'Foxtaildale-Deadline-Ms': '14000',
            'Foxtaildale-Token-Count': '500,640',
        }
        conn.request('POST', path, headers=headers)
        sites.until(lambda: any(w.ids() for w in site.workers.values()))
        stopped.result(9)
    conn.close()
    assert not failed


def test_a_closing_server_begins_no_request_that_waits_for_a_thread() -> None:
    """Guards against a request begun after the close, and cut by it."""
    handler = _Slow()
    server = caller_server.Server('127.0.0.1:0', handler, 1, 5.0, 1000)
    host, _, port = server.start().rpartition(':')
    conns = [http.client.HTTPConnection(host, int(port)) for _ in range(2)]
    conns[0].request('GET', '/first')
    sites.until(lambda: handler.begun == ['/first'])
    conns[1].request('GET', '/second')
    sites.until(lambda: server.busy() == len(conns))
    server.close()
    for conn in conns:
        conn.close()
    assert handler.begun == ['/first']


def test_a_drain_without_a_free_descriptor_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a stop that fails, and cuts all, for lack of descriptors."""
    server = caller_server.Server('127.0.0.1:0', _Slow(), 1, 5.0, 1000)
    host, _, port = server.start().rpartition(':')
    conn = socket.create_connection((host, int(port)))
    sites.until(lambda: server.open_connections() == 1)
    server.stop_accepting()
    with monkeypatch.context() as patch:
        patch.setattr(os, 'eventfd', _fail)
        server.close_idle()
        assert not server.drain(0.1)
    assert server.drain(_ENDS_S)
    conn.close()
    server.close()


def test_a_closing_responder_refuses_what_arrives_meanwhile() -> None:
    """Guards against a timeout of each message that reaches a closing process."""
    begun = threading.Event()

    def handle(msg: messages.Message) -> messages.Message:
        if isinstance(msg, messages.InventoryRequest):
            begun.set()
            time.sleep(_WORK_S)
        return messages.Pong()

    responder = zmq_responder.Responder('127.0.0.1:0', handle, 2)
    address = responder.start()
    requester = peers.Peers(1.0, 3.0)
    slow = messages.InventoryRequest(service='model')
    with futures.ThreadPoolExecutor(2) as pool:
        first = pool.submit(requester.request, address, slow, _ENDS_S)
        assert begun.wait(_ENDS_S)
        closed = pool.submit(responder.close)
        time.sleep(_WORK_S / 5)
        try:
            with pytest.raises(errors.RejectedError):
                requester.request(
                    address, messages.EligibilityRequest(), _WORK_S / 2
                )
        finally:
            closed.result(_ENDS_S)
        assert isinstance(first.result(_ENDS_S), messages.Pong)
    requester.close()


def test_a_busy_requester_gets_the_last_reply_of_a_closing_responder(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against replies that are lost as their connection ends."""
    monkeypatch.setattr(
        peers.Peers, '_send_heartbeats', lambda *_: time.sleep(_SLOW_S)
    )

    def handle(_: messages.Message) -> messages.Message:
        begun.set()
        time.sleep(_WORK_S)
        return messages.Pong()

    replies: list[messages.Message] = []
    for _ in range(_ROUNDS):
        begun = threading.Event()
        responder = zmq_responder.Responder('127.0.0.1:0', handle, 1)
        address = responder.start()
        requester = peers.Peers(_SLOW_S / 5, _ENDS_S)
        msg = messages.EligibilityRequest()
        with futures.ThreadPoolExecutor(1) as pool:
            reply = pool.submit(requester.request, address, msg, _ENDS_S)
            assert begun.wait(_ENDS_S)
            responder.close()
            replies.append(reply.result(_ENDS_S))
        requester.close()
    assert replies == [messages.Pong()] * _ROUNDS


_VIOLATION: Final = """
from foxtaildale import errors
from foxtaildale_adapters import logs
from foxtaildaled import process

def violate():
    raise errors.InvariantError('two outcomes')

logs.setup_bounded('router', 'vm-1', 'info')
loop = process.Loop('any', 1.0, violate)
loop.start()
loop._thread.join()
"""


def test_a_violated_invariant_is_logged_before_the_process_ends() -> None:
    """Guards against a process that ends by itself and leaves no trace."""
    found = subprocess.run(
        [sys.executable, '-c', _VIOLATION],
        capture_output=True,
        text=True,
        check=False,
        env=os.environ | {'PYTHONPATH': os.pathsep.join(sys.path)},
    )
    assert found.returncode == process.INVARIANT_STATUS, found.stderr
    assert 'two outcomes' in found.stdout


@pytest.mark.parametrize(
    'exc', [KeyError('x'), errors.PortError('x')], ids=['bug', 'port']
)
def test_a_failed_step_of_a_loop_is_logged(
    caplog: pytest.LogCaptureFixture, exc: Exception
) -> None:
    """Guards against a background loop that fails for hours and says nothing."""
    begun = threading.Event()

    def fail() -> None:
        begun.set()
        raise exc

    loop = process.Loop('any', _ENDS_S, fail)
    loop.start()
    assert begun.wait(_ENDS_S)
    loop.stop()
    assert [record.message for record in caplog.records] == ['loop']


def test_settings_that_are_no_text_are_refused(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a router that ends at once as its settings are rewritten."""
    path = tmp_path / 'boot.toml'
    path.write_bytes(b'node_name = "\xff"')
    monkeypatch.setenv(settings_file.SETTINGS_PATH_VARIABLE, str(path))
    assert start.run(check=True) == start.CONFIG_STATUS


def test_an_entry_stores_the_outcomes_of_what_its_close_cuts() -> None:
    """Guards against requests that a stop cut and nobody can explain."""
    cfg = settings.parse_options(_ENTRY.read_text(), str(_ENTRY))
    entry = wiring.EntryDaemon(cfg)
    log = mock.MagicMock()
    records = outcome_records.OutcomeRecords(log, metrics.Metrics())
    cut = values.Outcome(
        request='late',
        code=codes.CANCELLED.name,
        sentence='',
        revision=0,
        entry_vm='vm-1',
        at=0.0,
    )
    entry._server = mock.MagicMock()
    entry._server.drain.return_value = False
    entry._server.close.side_effect = lambda: records.add(cut)
    entry._records = records
    entry._loops = []
    for name in ('_gate', '_cancels', '_view', '_pump', '_admin'):
        setattr(entry, name, mock.MagicMock())
    entry.stop()
    assert log.append.call_count == 1


def test_crash_reports_reach_another_vm_when_both_successors_stop() -> None:
    """Guards against reports copied only to VMs that stop in turn."""
    with contextlib.closing(sites.Site()) as made:
        sites.make_calm(made)
        made.start_routers(3)
        subject = quarantine_manager.COORDINATOR_SUBJECT
        count = quarantine_manager.SUCCESSORS
        first = next(
            router
            for router in made.routers
            if router._coordinators.is_coordinator(subject)
        )
        addresses = first._coordinators.successor_addresses(subject, count)
        second = [r for r in made.routers if r.cfg.peer_address in addresses]
        (last,) = [
            r for r in made.routers if r is not first and r not in second
        ]
        with futures.ThreadPoolExecutor(count) as pool:
            stopped = [pool.submit(router.stop) for router in second]
            time.sleep(_WORK_S)
            for server in ('s1', 's2'):
                backend = forwarding.Backend(
                    id=server, service='plain', address='127.0.0.1:1'
                )
                first._quarantining.record_crash(backend, 7, ran_s=0.01)
            for done in stopped:
                done.result(_ENDS_S)
        sites.until(
            lambda: bool(
                last._state.quarantine_state.crashes.reports(
                    router_daemon.clock()
                )
            )
        )


def test_a_close_sends_the_releases_that_are_queued(site: sites.Site) -> None:
    """Guards against memory that stays taken for requests that have ended."""
    router = site.routers[0]
    worker = site.workers['p1']
    backend = forwarding.Backend(
        id=worker.name, service='model', address=worker.address, stage='prefill'
    )
    names = [f'kv-{number}' for number in range(150)]
    for name in names:
        router._cleanup.release_prefill(
            forwarding.Prefilled(worker=backend, handle=name)
        )
    with mock.patch.object(router_daemon, '_FLUSH_S', _ENDS_S):
        router.close()
    assert worker.freed == names


def test_no_thread_outlives_the_state_that_it_uses(site: sites.Site) -> None:
    """Guards against a thread that dies as its process closes."""
    died: list[BaseException | None] = []
    with mock.patch.object(
        threading, 'excepthook', lambda args: died.append(args.exc_value)
    ):
        router = site.routers[0]
        handle = router._coordinators._handle

        def handle_slowly(msg: messages.Message) -> messages.Message:
            time.sleep(_SLOW_S)
            return handle(msg)

        router._coordinators._handle = handle_slowly
        for number in range(200):
            router._coordinators.notify(
                f'name-{number}', messages.EligibilityRequest()
            )
        router.close()
        time.sleep(_WORK_S)
    assert died == []
