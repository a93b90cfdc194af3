"""Quarantined requests and the updates that VMs exchange about them."""

from foxtaildale import quarantine


def test_quarantine_expires() -> None:
    held = quarantine.Quarantine()
    assert held.hold(0.0, 1)
    assert held.left_s(1.0, 1) == quarantine.HELD_S - 1.0
    assert held.left_s(quarantine.HELD_S, 1) == 0.0
    assert held.held(quarantine.HELD_S) == {}
    assert held.left_s(0.0, 2) == 0.0


def test_exchanged_quarantine_expires_too() -> None:
    """Guards against two VMs that prolong each other's quarantine of a request."""
    one, other = quarantine.Quarantine(), quarantine.Quarantine()
    one.hold(0.0, 1)
    now = 0.0
    while one.held(now) or other.held(now):
        other.take(now + 0.2, one.held(now), {})
        one.take(now + 0.4, other.held(now + 0.2), {})
        now += 0.4
        assert now < quarantine.HELD_S + 10.0


def test_late_update_does_not_quarantine_cleared_request() -> None:
    """Guards against a late update that quarantines a cleared request again."""
    one, other = quarantine.Quarantine(), quarantine.Quarantine()
    one.hold(0.0, 1)
    other.take(0.0, one.held(0.0), {})
    other.clear(1.0, 1)
    assert other.take(2.0, one.held(2.0), {}) == []
    assert other.left_s(2.0, 1) == 0.0
    one.take(2.0, {}, other.cleared(2.0))
    assert one.left_s(2.0, 1) == 0.0


def test_memory_is_bounded_and_newest_records_stay() -> None:
    held = quarantine.Quarantine()
    for number in range(3 * quarantine.MOST):
        held.hold(float(number) / 1000, number)
    assert len(held.held(1.0)) == quarantine.MOST
    assert held.left_s(1.0, 3 * quarantine.MOST - 1) > 0


def test_time_beyond_maximum_is_ignored() -> None:
    """Guards against a record whose time comes from a clock that is far off."""
    held = quarantine.Quarantine()
    assert held.take(0.0, {1: 1e12, 2: -5.0}, {3: 1e12}) == []
    assert held.held(0.0) == {}
    assert held.cleared(0.0) == {}
