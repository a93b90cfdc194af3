"""Quarantined requests and the updates that VMs exchange about them."""

from foxtaildale import quarantine


def test_quarantine_expires() -> None:
    quarantined = quarantine.Quarantine()
    assert quarantined.hold(0.0, 1)
    assert quarantined.left_s(1.0, 1) == quarantine.HELD_S - 1.0
    assert quarantined.left_s(quarantine.HELD_S, 1) == 0.0
    assert quarantined.held(quarantine.HELD_S) == {}
    assert quarantined.left_s(0.0, 2) == 0.0


def test_exchanged_quarantine_expires_too() -> None:
    """Guards against two VMs that prolong a quarantine for each other."""
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
    quarantined = quarantine.Quarantine()
    for number in range(3 * quarantine.MOST):
        quarantined.hold(float(number) / 1000, number)
    assert len(quarantined.held(1.0)) == quarantine.MOST
    assert quarantined.left_s(1.0, 3 * quarantine.MOST - 1) > 0


def test_time_beyond_maximum_is_ignored() -> None:
    """Guards against a record whose time comes from a clock that is far off."""
    quarantined = quarantine.Quarantine()
    assert quarantined.take(0.0, {1: 1e12, 2: -5.0}, {3: 1e12}) == []
    assert quarantined.held(0.0) == {}
    assert quarantined.cleared(0.0) == {}
