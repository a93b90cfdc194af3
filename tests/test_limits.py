"""Limits of client accounts: buckets, coordinators and shares of a VM."""

from collections.abc import Iterator
import random

import hypothesis
from hypothesis import strategies
import pytest

from bench import quota
from foxtaildale import accounts
from foxtaildale import allowances
from foxtaildale import shares
from foxtaildale import token_bucket

_LIMIT = accounts.Limit(unit='token', rate=1000.0, burst=2000.0)
_ACCOUNT = accounts.Account(name='a', limit=_LIMIT)


def _full(
    limit: accounts.Limit = _LIMIT, now: float = 0.0
) -> token_bucket.Bucket:
    return token_bucket.Bucket(limit, now, limit.burst)


@pytest.mark.parametrize(
    ('limit', 'prompt', 'output', 'cost'),
    [
        (accounts.Limit(unit='request', rate=5.0), 400, 80, 1),
        (accounts.Limit(unit='token', rate=5.0), 400, 80, 480),
        (accounts.Limit(unit='token', rate=5.0, plain_tokens=200), 0, 0, 200),
    ],
)
def test_cost_of_a_request(
    limit: accounts.Limit, prompt: int, output: int, cost: int
) -> None:
    assert limit.cost(prompt, output) == cost


def test_reported_wait_is_exact() -> None:
    """A refused caller is notified after which time to retry.

    If the time is too short, the caller is refused again; if it is too long,
    the delay is wasted.
    """
    account_bucket = _full()
    assert account_bucket.try_spend(0.0, 1800.0) == 0.0
    wait_s = account_bucket.try_spend(0.0, 900.0)
    assert wait_s == pytest.approx(0.7)
    assert account_bucket.try_spend(wait_s - 0.01, 900.0) > 0
    assert account_bucket.try_spend(wait_s + 0.01, 900.0) == 0.0


def test_requests_refused_together_get_successive_waits() -> None:
    """Six callers request more than the balance at the same moment.

    With the same wait all would retry at once, and five would be refused for
    good.
    """
    account_bucket = _full()
    assert account_bucket.try_spend(0.0, 2000.0) == 0.0
    waits = [account_bucket.try_spend(0.0, 400.0) for _ in range(6)]
    assert sorted(set(waits)) == waits
    for wait_s in waits:
        assert account_bucket.try_spend(wait_s + 0.001, 400.0) == 0.0


def test_cost_of_request_that_did_not_run_is_refunded() -> None:
    account_bucket = _full()
    assert account_bucket.try_spend(0.0, 2000.0) == 0.0
    account_bucket.refund(0.0, 2000.0)
    assert account_bucket.try_spend(0.0, 2000.0) == 0.0
    account_bucket.refund(5.0, 2000.0)
    assert account_bucket.level(5.0) == 2000.0


def test_request_above_the_burst_leaves_a_debt() -> None:
    """A limit is lowered below the cost of one request.

    If such requests were always refused, the account would never be served
    again; if they were always admitted, it would exceed its limit.
    """
    account_bucket = _full()
    assert account_bucket.try_spend(0.0, 5000.0) == 0.0
    assert account_bucket.level(0.0) == -3000.0
    assert account_bucket.try_spend(0.0, 5000.0) == pytest.approx(5.0)
    assert account_bucket.try_spend(2.9, 1.0) > 0


def test_raised_and_lowered_limits_apply_at_once() -> None:
    account_bucket = _full()
    account_bucket.try_spend(0.0, 2000.0)
    account_bucket.set_limit(0.0, accounts.Limit(rate=1000.0, burst=5000.0))
    assert account_bucket.try_spend(0.0, 3000.0) == 0.0
    full = _full()
    full.set_limit(0.0, accounts.Limit(rate=10.0, burst=100.0))
    assert full.try_spend(0.0, 100.0) == 0.0
    assert full.try_spend(0.0, 100.0) == pytest.approx(10.0)


def test_limit_without_a_burst_still_admits() -> None:
    account_bucket = token_bucket.Bucket(accounts.Limit(rate=100.0), 0.0, 1e9)
    assert account_bucket.try_spend(0.0, 20.0) == 0.0


def test_large_requests_are_not_starved_by_smaller_ones() -> None:
    """An account sends many times its limit, with prompts of several sizes.

    The balance suffices for a small prompt earlier than for a large one, so
    that no large one would be served.
    """
    account_bucket = _full(accounts.Limit(rate=10_000.0, burst=10_000.0))
    rng = random.Random(1)
    asked = {2000: 0, 8000: 0}
    served = {2000: 0, 8000: 0}
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(20.0)
        cost = 8000 if rng.random() < 0.3 else 2000
        asked[cost] += 1
        served[cost] += not account_bucket.try_spend(now, cost)
    share = {cost: served[cost] / asked[cost] for cost in asked}
    assert share[8000] >= 0.5 * share[2000], share


def test_very_small_request_overtakes_a_large_one() -> None:
    """A small request costs a fortieth of a large one that was refused.

    The large one waits slightly longer; otherwise forty small ones would wait
    for it.
    """
    account_bucket = _full()
    assert account_bucket.try_spend(0.0, 1000.0) == 0.0
    assert account_bucket.try_spend(0.0, 1500.0) > 0
    assert account_bucket.try_spend(0.0, 100.0) == 0.0
    assert account_bucket.try_spend(0.0, 500.0) > 0


def test_room_is_reserved_for_large_request_for_limited_time() -> None:
    account_bucket = _full(accounts.Limit(rate=100.0, burst=2000.0))
    assert account_bucket.try_spend(0.0, 1000.0) == 0.0
    assert account_bucket.try_spend(0.0, 2000.0) > 0
    for now in (0.5, 1.0, 1.5):
        assert account_bucket.try_spend(now, 300.0) > 0
    assert account_bucket.try_spend(token_bucket.HEADROOM_S, 300.0) == 0.0


_requests = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 2.0),
        strategies.integers(1, 3000),
        strategies.sampled_from(('take', 'take', 'give back')),
    ),
    max_size=60,
)


@hypothesis.given(requests=_requests)
def test_admitted_cost_never_exceeds_rate_and_burst(
    requests: list[tuple[float, int, str]],
) -> None:
    account_bucket = _full()
    now = 0.0
    # The time at which each request was admitted, and its cost.
    admitted: list[tuple[float, float]] = []
    for after_s, cost, kind in requests:
        now += after_s
        if kind == 'take':
            if not account_bucket.try_spend(now, cost):
                admitted.append((now, cost))
        elif admitted and admitted[-1][0] > now - 0.5:
            account_bucket.refund(now, admitted.pop()[1])
    for number, (begin, _) in enumerate(admitted):
        passed = 0.0
        for at, size in admitted[number:]:
            passed += size
            # One request may be larger than the burst.
            allowed = 2000.0 + 1000.0 * (at - begin) + max(0.0, size - 2000)
            # A refund lets later requests use the refunded cost.
            assert passed <= allowed + 1500.0


@hypothesis.given(requests=_requests)
def test_no_request_below_the_limit_is_refused(
    requests: list[tuple[float, int, str]],
) -> None:
    """Each refused request would exceed rate and burst in some span."""
    account_bucket = _full()
    now = 0.0
    admitted: list[tuple[float, float]] = []
    for after_s, size, _ in requests:
        now += after_s
        cost = min(size, 2000)
        if not account_bucket.try_spend(now, cost):
            admitted.append((now, cost))
            continue
        spans = [
            sum(c for at, c in admitted if at >= begin)
            + max(cost, account_bucket._headroom)
            > 2000.0 + 1000.0 * (now - begin) - 1e-6
            for begin, _ in admitted
        ]
        assert any(spans)


class _Coordinators:
    """Several coordinators of one account and the requests they admitted."""

    def __init__(
        self, count: int, tolerance: allowances.Tolerance, *, first: bool
    ) -> None:
        self.tolerance = tolerance
        self.coordinators = [
            allowances.Allowances(tolerance, 0.0, first_start=first)
            for _ in range(count)
        ]
        self.admitted: list[tuple[float, float]] = []

    def request(self, now: float, number: int, cost: float) -> bool:
        answer = self.coordinators[number].admit(now, _ACCOUNT, cost)
        if not answer.wait_s:
            self.admitted.append((now, cost))
        return not answer.wait_s

    def send_updates(self, now: float) -> None:
        for number, coordinator in enumerate(self.coordinators):
            for cost in coordinator.drain_admitted().values():
                for other in (
                    self.coordinators[:number] + self.coordinators[number + 1 :]
                ):
                    other.count_remote(now, _ACCOUNT, cost)

    def max_cost(self, window_s: float) -> float:
        return max(
            sum(c for at, c in self.admitted if begin <= at < begin + window_s)
            for begin, _ in self.admitted
        )


def _allowed(tolerance: allowances.Tolerance) -> float:
    limit = _ACCOUNT.limit
    bound = limit.rate * tolerance.window_s + limit.burst
    return bound + tolerance.allowed_excess(limit)


_TOLERANCE = allowances.Tolerance(window_s=8.0, overage=0.1, slack=1500.0)


def _times(end: float, step: float) -> Iterator[float]:
    now = 0.0
    while now < end:
        yield now
        now += step


def test_two_coordinators_admit_no_more_than_one() -> None:
    """VMs disagree for some seconds on the coordinator of an account.

    Without updates to each other, both would admit the full rate.
    """
    site = _Coordinators(2, _TOLERANCE, first=True)
    for number, now in enumerate(_times(30.0, 0.02)):
        site.request(now, number % 2, 100.0)
        if not number % 12:
            site.send_updates(now)
    assert site.max_cost(8.0) <= _allowed(_TOLERANCE)
    assert sum(c for _, c in site.admitted) >= 0.95 * 1000.0 * 30.0


def test_restarted_coordinators_grant_no_new_burst() -> None:
    """All VMs lose power repeatedly while an account sends all it can.

    A new coordinator has no state of the earlier ones. With a full burst from
    each one the account would get twice its limit.
    """
    site = _Coordinators(1, _TOLERANCE, first=True)
    for number, now in enumerate(_times(30.0, 0.01)):
        if number and not number % 200:
            site.coordinators = [
                allowances.Allowances(_TOLERANCE, now, first_start=False)
            ]
        site.request(now, 0, 100.0)
    assert site.max_cost(8.0) <= _allowed(_TOLERANCE)


def test_successor_knows_what_was_admitted() -> None:
    """The coordinator of an account stops, and its successor takes over."""
    site = _Coordinators(2, _TOLERANCE, first=True)
    for number, now in enumerate(_times(4.0, 0.02)):
        site.request(now, 0, 100.0)
        if not number % 12:
            site.send_updates(now)
    site.send_updates(4.0)
    level = site.coordinators[1].admit(4.0, _ACCOUNT, 1.0).level
    assert level < 500.0


def test_refunds_are_sent_in_updates() -> None:
    site = _Coordinators(2, _TOLERANCE, first=True)
    site.request(0.0, 0, 2000.0)
    site.send_updates(0.0)
    site.coordinators[0].refund(0.0, _ACCOUNT, 2000.0)
    site.send_updates(0.0)
    assert site.request(0.0, 1, 2000.0)


def test_removed_account_is_forgotten() -> None:
    site = _Coordinators(1, _TOLERANCE, first=True)
    site.request(0.0, 0, 2000.0)
    assert set(site.coordinators[0].levels(0.0)) == {'a'}
    site.coordinators[0].retain(frozenset())
    assert not site.coordinators[0].levels(0.0)


def test_disconnected_vms_stay_within_their_shares() -> None:
    """All VMs are disconnected while an account sends all it can.

    Over a longer time the shares add up to the limit; at first each VM admits
    one request, since its share is less than the cost of any.
    """
    vms = [shares.Shares() for _ in range(20)]
    admitted = 0.0
    for now in _times(60.0, 0.05):
        for vm in vms:
            admitted += 500.0 * (not vm.admit(now, _ACCOUNT, 500.0, 20).wait_s)
    assert 0.9 * 60_000 <= admitted <= 62_000 + 20 * 500.0


@pytest.mark.parametrize('play', quota.PLAYS, ids=lambda p: p.name)
def test_coordinator_enforces_limit_without_needless_refusals(
    play: quota.Play,
) -> None:
    """Many VMs admit requests of one account, at several sizes.

    Worst window and part refused below the limit were 0.73 and 0.003 of the
    permitted maximum; 1.66 and 0.3 with a fixed share for each VM; 1.63 and 0
    with counting after the requests.
    """
    measured = quota.measure(play, 'home', 1)
    assert measured.worst <= 1.0
    assert measured.below <= 0.01


class _LossyCoordinators:
    """Coordinators whose messages are lost, delayed and duplicated."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.coordinators = [
            allowances.Allowances(_TOLERANCE, 0.0, first_start=True)
            for _ in range(3)
        ]
        # Messages in transit: arrival time, receiver, kind and cost.
        self.in_transit: list[tuple[float, int, str, float]] = []
        # Requests that ran: start time and cost.
        self.completed: list[tuple[float, float]] = []
        self.coordinator = 0

    def play(self) -> None:
        """Simulates an account that requests three times its limit."""
        for number, now in enumerate(_times(40.0, 0.02)):
            self._deliver(now)
            if not number % 12:
                self._send_updates(now)
            if not number % 150:
                self._change_coordinator()
            self._request(now, self.rng.choice((20.0, 60.0, 100.0)))

    def _change_coordinator(self) -> None:
        """Moves to the next coordinator as if the current one was lost."""
        self.coordinator = (self.coordinator + 1) % 3

    def _request(self, now: float, cost: float) -> None:
        # One VM in ten has not applied the change and uses the previous one.
        target = (
            self.coordinator
            if self.rng.random() > 0.1
            else (self.coordinator - 1) % 3
        )
        answer = self.coordinators[target].admit(now, _ACCOUNT, cost)
        if self.rng.random() < 0.05:
            # The reply is lost, and the next coordinator gets the request.
            target = (target + 1) % 3
            answer = self.coordinators[target].admit(now, _ACCOUNT, cost)
        if answer.wait_s:
            return
        if self.rng.random() < 0.1:
            # The request did not run, so its cost is refunded.
            self._send(now, target, 'refund', cost)
            return
        self.completed.append((now, cost))

    def _send_updates(self, now: float) -> None:
        for number, coordinator in enumerate(self.coordinators):
            for cost in coordinator.drain_admitted().values():
                for other in {0, 1, 2} - {number}:
                    self._send(now, other, 'update', cost)

    def _send(self, now: float, to: int, kind: str, cost: float) -> None:
        draw = self.rng.random()
        if draw < 0.1:
            return
        delay_s = self.rng.uniform(0.0, 0.5 if draw > 0.8 else 0.01)
        self.in_transit.append((now + delay_s, to, kind, cost))
        if kind == 'update' and draw < 0.2:
            # A sender that received no reply sends the update again.
            self.in_transit.append((now + 0.2, to, kind, cost))

    def _deliver(self, now: float) -> None:
        due = [message for message in self.in_transit if message[0] <= now]
        self.in_transit = [
            message for message in self.in_transit if message[0] > now
        ]
        for _, to, kind, cost in due:
            if kind == 'update':
                self.coordinators[to].count_remote(now, _ACCOUNT, cost)
            else:
                self.coordinators[to].refund(now, _ACCOUNT, cost)


@pytest.mark.parametrize('seed', range(20))
def test_lost_late_and_duplicated_messages_exceed_no_limit(seed: int) -> None:
    """The coordinator of a busy account changes every three seconds.

    A tenth of the VMs use the wrong one, replies are lost after counting, and
    updates and refunds are late, duplicated or lost. The account must get no
    more than its limit, nor much less.
    """
    site = _LossyCoordinators(seed)
    site.play()
    worst = max(
        sum(c for at, c in site.completed if begin <= at < begin + 8.0)
        for begin, _ in site.completed
    )
    assert worst <= _allowed(_TOLERANCE)
    assert sum(c for _, c in site.completed) >= 0.75 * 1000.0 * 40.0
