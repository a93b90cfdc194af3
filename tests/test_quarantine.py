"""Quarantined requests and the updates that VMs exchange about them."""

from foxtaildale import quarantine


def test_quarantine_expires() -> None:
    quarantined = quarantine.Quarantine()
    assert quarantined.add(0.0, 1)
    assert quarantined.left_s(1.0, 1) == quarantine.QUARANTINE_S - 1.0
    assert quarantined.left_s(quarantine.QUARANTINE_S, 1) == 0.0
    assert quarantined.quarantined(quarantine.QUARANTINE_S) == {}
    assert quarantined.left_s(0.0, 2) == 0.0


def test_exchanged_quarantine_expires_too() -> None:
    """Guards against two VMs that prolong a quarantine for each other."""
    one, other = quarantine.Quarantine(), quarantine.Quarantine()
    one.add(0.0, 1)
    now = 0.0
    while one.quarantined(now) or other.quarantined(now):
        other.merge(now + 0.2, one.quarantined(now), {})
        one.merge(now + 0.4, other.quarantined(now + 0.2), {})
        now += 0.4
        assert now < quarantine.QUARANTINE_S + 10.0


def test_late_update_does_not_quarantine_cleared_request() -> None:
    """Guards against a late update that quarantines a cleared request again."""
    one, other = quarantine.Quarantine(), quarantine.Quarantine()
    one.add(0.0, 1)
    other.merge(0.0, one.quarantined(0.0), {})
    other.clear(1.0, 1)
    assert other.merge(2.0, one.quarantined(2.0), {}) == []
    assert other.left_s(2.0, 1) == 0.0
    one.merge(2.0, {}, other.cleared(2.0))
    assert one.left_s(2.0, 1) == 0.0


def test_memory_is_bounded_and_newest_records_stay() -> None:
    quarantined = quarantine.Quarantine()
    for number in range(3 * quarantine.MAX_REQUESTS):
        quarantined.add(float(number) / 1000, number)
    assert len(quarantined.quarantined(1.0)) == quarantine.MAX_REQUESTS
    assert quarantined.left_s(1.0, 3 * quarantine.MAX_REQUESTS - 1) > 0


def test_time_beyond_maximum_is_ignored() -> None:
    """Guards against a record whose time comes from a clock that is far off."""
    quarantined = quarantine.Quarantine()
    assert quarantined.merge(0.0, {1: 1e12, 2: -5.0}, {3: 1e12}) == []
    assert quarantined.quarantined(0.0) == {}
    assert quarantined.cleared(0.0) == {}
