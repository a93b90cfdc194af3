"""Failure rates of plain servers that entry VMs share with each other."""

import random

import pytest

from foxtaildale import failure_rates
from foxtaildale import fleet
from foxtaildale import forwarding

# Requests per second over all VMs, and seconds between two reports of a VM.
_REQUESTS_PER_S = 220.0
_REPORT_INTERVAL_S = 0.4
_DURATION_S = 8.0
# Period in seconds in which two servers lose responses, and the lost part.
_FAULT_PERIOD_S = (2.0, 6.0)
_LOST_PART = 0.4
# Seconds of a request at a server, and the part that must not be repeated.
_REQUEST_S = 0.045
_ONCE_PART = 0.6


class _Site:
    """Simulates many entry VMs with three servers of six slots each."""

    def __init__(self, vms: int, *, shared: bool) -> None:
        self.rng = random.Random(5)
        self.shared = shared
        self.reader = failure_rates.FailureRates()
        self.vms = [
            (fleet.Fleet('here', self.rng), failure_rates.FailureRates())
            for _ in range(vms)
        ]
        for servers, _ in self.vms:
            for name in 'abc':
                servers.put(
                    forwarding.Backend(
                        id=name, service='s', address='x:1', slots=6
                    )
                )
        # Non-repeatable requests sent, and those whose response was lost.
        self.sent = 0
        self.lost = 0
        self.sent_to: dict[str, int] = {'a': 0, 'b': 0, 'c': 0}

    def play(self) -> float:
        """Returns the part of the non-repeatable requests lost in the fault."""
        now = 0.0
        reports_due = [
            self.rng.uniform(0, _REPORT_INTERVAL_S) for _ in self.vms
        ]
        while now < _DURATION_S:
            now += self.rng.expovariate(_REQUESTS_PER_S)
            for number, due in enumerate(reports_due):
                if due <= now:
                    reports_due[number] = due + _REPORT_INTERVAL_S
                    self._exchange_rates(number, now)
            self._request(now)
        return self.lost / self.sent

    def _exchange_rates(self, number: int, now: float) -> None:
        servers, results = self.vms[number]
        if self.shared:
            self.reader.merge(now, results.take_unsent())
            servers.update_failure_rates(self.reader.rates(now), now)

    def _request(self, now: float) -> None:
        servers, results = self.rng.choice(self.vms)
        once = self.rng.random() < _ONCE_PART
        server = servers.candidates('s', now, repeatable=not once)[0].backend.id
        in_fault = _FAULT_PERIOD_S[0] <= now < _FAULT_PERIOD_S[1]
        lost = in_fault and server != 'c' and self.rng.random() < _LOST_PART
        results.record(server, failed=lost)
        if lost:
            servers.record_failure(server, now)
        else:
            servers.record_success(server, now, _REQUEST_S)
        if in_fault and once:
            self.sent += 1
            self.lost += lost
            self.sent_to[server] += 1


def test_non_repeatable_requests_avoid_servers_that_fail() -> None:
    """Two of three servers lose two in five responses for four seconds.

    A caller can't learn whether its lost non-repeatable request ran. 0.15 of
    them are lost if each of 87 VMs counts alone, 0.03 if the VMs share rates.
    """
    separate = _Site(87, shared=False).play()
    shared = _Site(87, shared=True).play()
    assert separate > 0.1
    assert shared <= 0.5 * separate
    assert shared <= 0.1


def test_errors_at_all_servers_alike_mark_no_server() -> None:
    """One read request in seven fails at each server."""
    servers = fleet.Fleet('here', random.Random(1))
    for name in 'ab':
        servers.put(forwarding.Backend(id=name, service='s', address='x:1'))
    servers.update_failure_rates({'a': 0.14, 'b': 0.14}, 1.0)
    assert all(
        tally.current_failure_rate(1.0) == 0.0
        for tally in servers.server_states()
    )
    servers.update_failure_rates({'a': 0.14, 'b': 0.5}, 2.0)
    assert servers.candidates('s', 2.0)[0].backend.id == 'a'


def test_servers_of_different_services_are_not_compared() -> None:
    servers = fleet.Fleet('here', random.Random(1))
    for name in 'ab':
        servers.put(
            forwarding.Backend(id=name, service=f's{name}', address='x:1')
        )
    servers.update_failure_rates({'a': 0.0, 'b': 0.5, 'gone': 0.2}, 1.0)
    assert all(
        tally.current_failure_rate(1.0) == 0.0
        for tally in servers.server_states()
    )


def test_old_failure_rates_expire() -> None:
    """The VM that reported the rates was removed; the fault may be over."""
    servers = fleet.Fleet('here', random.Random(1))
    for name in 'ab':
        servers.put(forwarding.Backend(id=name, service='s', address='x:1'))
    servers.update_failure_rates({'a': 0.0, 'b': 0.5}, 1.0)
    first = [
        servers.candidates('s', 1.0 + fleet.FAILURE_RATE_TTL_S)[0].backend.id
        for _ in range(40)
    ]
    assert set(first) == {'a', 'b'}


def test_a_few_requests_give_no_failure_rate() -> None:
    results = failure_rates.FailureRates()
    results.merge(0.0, {'a': (2.0, 2.0)})
    assert results.rates(0.0) == {}
    results.merge(0.0, {'a': (3.0, 2.0)})
    assert results.rates(0.0) == {'a': pytest.approx(0.8)}
    assert results.rates(10 * failure_rates.HALF_LIFE_S) == {}


def test_each_result_is_reported_once() -> None:
    results = failure_rates.FailureRates()
    results.record('a', failed=True)
    results.record('a', failed=False)
    assert results.take_unsent() == {'a': (2.0, 1.0)}
    assert results.take_unsent() == {}
