"""Crashes of servers that are back under the ids that they had."""

from collections.abc import Iterator
import contextlib
import itertools
import random
import threading
import time
from typing import Any
from typing import Final
from typing import cast

import pytest

from foxtaildale import crashes
from foxtaildale import forwarding
from foxtaildale import messages
from foxtaildale import server_uptimes
from foxtaildale_platform import records
from foxtaildaled import crash_evidence
from foxtaildaled import router_state
from tests import site as sites
from tests.standins import crasher

_BAD: Final = '/bad'
# Crashes after which the request must reach no server any more, retries that may
# still reach one, and the time in which all entry VMs must know, seconds.
_CRASHES: Final = 3
_LATE: Final = 3
_KNOWN_S: Final = 3.0
# Interval of the sound requests of each caller, and their run time, seconds.
_INTERVAL_S: Final = 0.03
_WORK_S: Final = 0.02
_BORN: Final = 1_700_000_000_000


class _Site(sites.Site):
    """Three servers that a bad request crashes, and two entry VMs."""

    def __init__(self, **kwargs: Any) -> None:  # noqa: ANN401
        super().__init__()
        self.store.put('keyed.op', 'config', sites.config(1))
        self.crashers = []
        for name in ('s1', 's2', 's3'):
            worker = self.worker(name, 'plain')
            worker.work_s = _WORK_S
            self.crashers.append(
                crasher.Crasher(
                    worker, self.store, _BAD, keeps_id=True, **kwargs
                )
            )
        self._ids = (f'a{number}' for number in itertools.count())
        self.start_routers(2)

    def ask(self, target: str, number: int) -> int:
        status, _, _ = sites.send(
            self, 'POST', target, attempt=next(self._ids), number=number
        )
        return status

    @contextlib.contextmanager
    def sound_callers(self) -> Iterator[list[int]]:
        """Has sound requests sent; yields their statuses."""
        over = threading.Event()
        statuses: list[int] = []

        def call(number: int) -> None:
            for target in itertools.count():
                if over.wait(_INTERVAL_S):
                    return
                path = f'/safe/sound-{number}-{target}'
                statuses.append(self.ask(path, number % 2))

        threads = [
            threading.Thread(target=call, args=(number,)) for number in range(4)
        ]
        for thread in threads:
            thread.start()
        try:
            yield statuses
        finally:
            over.set()
            for thread in threads:
                thread.join()

    def crashes(self) -> int:
        return sum(made.bad_ends for made in self.crashers)

    def close(self) -> None:
        for made in self.crashers:
            made.close()
        super().close()


@pytest.mark.parametrize(
    ('kind', 'every_s', 'back'),
    [
        pytest.param('safe', 1.8, {'back_s': 0.6}, id='soon'),
        pytest.param('safe', 3.2, {'back_s': 2.5}, id='late'),
        pytest.param('once', 1.2, {'back_s': 0.6}, id='one-a-try'),
        pytest.param(
            'safe', 2.4, {'back_s': 0.6, 'runs_s': 0.7}, id='after-a-while'
        ),
        pytest.param(
            'safe',
            2.6,
            {'back_s': 0.6, 'listed_after_s': 1.2},
            id='listed-late',
        ),
    ],
)
def test_a_crash_is_not_refuted_by_the_next_start_of_its_server(
    kind: str, every_s: float, back: dict[str, float]
) -> None:
    """Guards against a deadly request that no restarted server remembers."""
    site = _Site(**back)
    try:
        with site.sound_callers() as statuses:
            late = 0
            known_at = float('inf')
            for number in range(10):
                before = site.crashes()
                if before >= _CRASHES:
                    known_at = min(known_at, time.monotonic() + _KNOWN_S)
                is_late = time.monotonic() > known_at
                site.ask(f'/{kind}{_BAD}', number % 2)
                time.sleep(every_s)
                late += is_late * (site.crashes() - before)
        assert late <= _LATE
        assert site.ask(f'/{kind}{_BAD}', 0) == 503
        assert statuses.count(200) > len(statuses) / 2
    finally:
        site.close()


class _Evidence:
    """What one entry VM knows of one server."""

    def __init__(self) -> None:
        self.now = 100.0
        self._state = router_state.RouterState(
            records.Codec(), 'vm-1:1', (), '', random.Random(1)
        )
        self._state.fleet.put(
            forwarding.Backend(
                id='s1', service='plain', address='127.0.0.1:1', born=_BORN
            )
        )
        self._evidence = crash_evidence.CrashEvidence(
            owner=cast(Any, self), peers=cast(Any, None), clock=lambda: self.now
        )

    def run(self, turn: Any) -> Any:  # noqa: ANN401
        """Takes the place of the owner of the state."""
        return turn(self._state, self.now)

    def responds(self, sent_at: float, at: float, born: int = _BORN) -> None:
        self._state.fleet.uptimes.record('s1', born, sent_at, at)

    def lists(self, at: float) -> None:
        self._state.servers_current_at = at

    def refutes(self, crashed_at: float, born: int = _BORN) -> bool:
        age_ms = round((self.now - crashed_at) * 1000)
        crashed = messages.CrashedServer('s1', born, age_ms)
        msg = messages.CrashEvidenceRequest(servers=(crashed,))
        return self._evidence.reply_to(msg).refuted == (crashed,)


def test_a_response_that_spans_a_crash_refutes_it() -> None:
    """Guards against sound requests that are held since a cut refused some."""
    vm = _Evidence()
    vm.responds(50.0, 51.0)
    assert vm.refutes(50.2)
    # Nothing can have ended and be back so soon.
    assert vm.refutes(49.7)
    assert not vm.refutes(49.5)
    assert not vm.refutes(50.8)
    # Responses that overlap are of one process.
    vm.responds(50.9, 51.5)
    vm.responds(51.4, 52.0)
    assert vm.refutes(50.8)
    assert vm.refutes(51.6)
    assert not vm.refutes(51.8)


def test_a_response_after_a_pause_refutes_no_crash_before_it() -> None:
    """Guards against the responses of the next start, under an old entry."""
    vm = _Evidence()
    vm.responds(49.0, 50.0)
    vm.responds(50.6, 53.0)
    vm.lists(52.0)
    assert not vm.refutes(50.0)
    assert vm.refutes(51.0)


def test_a_list_that_names_the_same_start_later_refutes_a_crash() -> None:
    """Guards against held requests of services with few requests."""
    vm = _Evidence()
    vm.responds(52.0, 52.1)
    vm.lists(52.5)
    assert not vm.refutes(50.0)
    vm.lists(52.0 + crash_evidence.NEW_ENTRY_S)
    assert vm.refutes(50.0)
    assert not vm.refutes(50.0, born=_BORN - 1)
    vm.responds(52.0, 52.1, born=_BORN - 1)
    assert not vm.refutes(50.0, born=_BORN - 1)


def test_a_server_that_names_no_start_has_a_new_id_after_each() -> None:
    """Guards against held requests of servers without a time of their start."""
    vm = _Evidence()
    vm.responds(55.0, 55.1, born=0)
    assert vm.refutes(50.0, born=0)
    assert not vm.refutes(55.0, born=0)


def test_uptimes_are_bounded() -> None:
    """Guards against memory that grows with restarts and pauses."""
    uptimes = server_uptimes.ServerUptimes()
    for number in range(10_000):
        uptimes.record(f's{number}', 1, number, number + 0.1)
        uptimes.record('s', 1, 2.0 * number, 2.0 * number + 0.1)
    assert len(uptimes._times) <= 4096
    assert max(len(times) for times in uptimes._times.values()) <= 32


def test_two_crashes_of_one_listed_start_are_two() -> None:
    """Guards against a list that is too old to tell two starts apart."""
    known = crashes.Crashes()
    for now in (10.0, 15.0, 20.0):
        for fingerprint, ran_ms in ((1, 10), (round(now), 300)):
            crash = messages.Crash(
                server='s1',
                started_at=_BORN,
                fingerprint=fingerprint,
                ran_ms=ran_ms,
            )
            known.record(now, crash)
    assert len(known.crashed_servers(21.0)) == 3
    assert known.newly_blamed(21.0, ()) == [1]
    copies = crashes.Crashes()
    for crash in known.reports(21.0):
        copies.record(21.1, crash)
    assert copies.newly_blamed(22.0, ()) == [1]
    first = known.crashed_servers(21.0)[0]
    known.remove_servers([first])
    assert [one.number for one in known.crashed_servers(21.0)] == [1, 2]
