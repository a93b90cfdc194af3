"""What entry VMs learn together of plain servers that fail requests."""

import random

import pytest

from foxtaildale import experience
from foxtaildale import fleet
from foxtaildale import forwarding

# Requests a second over all VMs, and the time between two asks of a VM.
_RATE = 220.0
_ASK_S = 0.4
_END_S = 8.0
# When two of the servers lose answers, and how many.
_LOSSY = (2.0, 6.0)
_LOST = 0.4
# Time of a request at a server, seconds, and the part that may run once only.
_WORK_S = 0.045
_ONCE = 0.6


class _Site:
    """Many VMs before three servers of six slots each."""

    def __init__(self, vms: int, *, shared: bool) -> None:
        self.rng = random.Random(5)
        self.shared = shared
        self.reader = experience.Experience()
        self.vms = [
            (fleet.Fleet('here', self.rng), experience.Experience())
            for _ in range(vms)
        ]
        for found, _ in self.vms:
            for name in 'abc':
                found.put(
                    forwarding.Backend(
                        id=name, service='s', address='x:1', slots=6
                    )
                )
        # Bookings sent, and those whose answer was lost.
        self.sent = 0
        self.lost = 0
        self.to: dict[str, int] = {'a': 0, 'b': 0, 'c': 0}

    def play(self) -> float:
        """Returns the part of the bookings that was lost in the fault."""
        now = 0.0
        asks = [self.rng.uniform(0, _ASK_S) for _ in self.vms]
        while now < _END_S:
            now += self.rng.expovariate(_RATE)
            for number, due in enumerate(asks):
                if due <= now:
                    asks[number] = due + _ASK_S
                    self._ask(number, now)
            self._request(now)
        return self.lost / self.sent

    def _ask(self, number: int, now: float) -> None:
        found, seen = self.vms[number]
        if self.shared:
            self.reader.told(now, seen.news())
            found.told_failing(self.reader.rates(now), now)

    def _request(self, now: float) -> None:
        found, seen = self.rng.choice(self.vms)
        once = self.rng.random() < _ONCE
        server = found.candidates('s', now, repeatable=not once)[0].backend.id
        in_fault = _LOSSY[0] <= now < _LOSSY[1]
        lost = in_fault and server != 'c' and self.rng.random() < _LOST
        seen.note(server, failed=lost)
        if lost:
            found.failed(server, now)
        else:
            found.answered(server, now, _WORK_S)
        if in_fault and once:
            self.sent += 1
            self.lost += lost
            self.to[server] += 1


def test_bookings_go_where_answers_come() -> None:
    """Two of three servers lose two in five of their answers for four seconds.

    A booking may not be sent again, so its caller is told that nobody knows
    whether it ran. With each of 87 VMs finding out for itself 0.15 of them were
    lost so; with what all see, 0.03.
    """
    alone = _Site(87, shared=False).play()
    together = _Site(87, shared=True).play()
    assert alone > 0.1
    assert together <= 0.5 * alone
    assert together <= 0.1


def test_what_fails_wherever_it_runs_is_nobodys_fault() -> None:
    """One read in seven ends with an error at any server."""
    found = fleet.Fleet('here', random.Random(1))
    for name in 'ab':
        found.put(forwarding.Backend(id=name, service='s', address='x:1'))
    found.told_failing({'a': 0.14, 'b': 0.14}, 1.0)
    assert all(tally.failing_now(1.0) == 0.0 for tally in found.known())
    found.told_failing({'a': 0.14, 'b': 0.5}, 2.0)
    assert found.candidates('s', 2.0)[0].backend.id == 'a'


def test_services_are_not_held_against_each_other() -> None:
    found = fleet.Fleet('here', random.Random(1))
    for name in 'ab':
        found.put(
            forwarding.Backend(id=name, service=f's{name}', address='x:1')
        )
    found.told_failing({'a': 0.0, 'b': 0.5, 'gone': 0.2}, 1.0)
    assert all(tally.failing_now(1.0) == 0.0 for tally in found.known())


def test_what_was_told_long_ago_counts_no_more() -> None:
    """The VM that tells is gone; the fault may be over."""
    found = fleet.Fleet('here', random.Random(1))
    for name in 'ab':
        found.put(forwarding.Backend(id=name, service='s', address='x:1'))
    found.told_failing({'a': 0.0, 'b': 0.5}, 1.0)
    first = [
        found.candidates('s', 1.0 + fleet.FAILING_S)[0].backend.id
        for _ in range(40)
    ]
    assert set(first) == {'a', 'b'}


def test_a_few_requests_prove_nothing() -> None:
    seen = experience.Experience()
    seen.told(0.0, {'a': (2.0, 2.0)})
    assert seen.rates(0.0) == {}
    seen.told(0.0, {'a': (3.0, 2.0)})
    assert seen.rates(0.0) == {'a': pytest.approx(0.8)}
    assert seen.rates(10 * experience.HALF_S) == {}


def test_what_was_told_is_told_once() -> None:
    seen = experience.Experience()
    seen.note('a', failed=True)
    seen.note('a', failed=False)
    assert seen.news() == {'a': (2.0, 1.0)}
    assert seen.news() == {}
