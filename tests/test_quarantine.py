"""Quarantined requests and the updates that VMs exchange about them."""

from foxtaildale import forwarding
from foxtaildale import mirror
from foxtaildale import part_blame
from foxtaildale import quarantine
from foxtaildale_platform import records
from foxtaildaled import quarantine_state


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


def test_set_that_was_saved_without_its_parts_is_saved_again() -> None:
    """Guards against a record of an earlier version that quarantines nothing."""
    codec = records.Codec()
    state = quarantine_state.QuarantineState(codec, lambda: 1000.0)
    found = part_blame.PartSet('model', (1, 2))
    assert state.quarantine_parts(0.0, found)
    ((key, value),) = state.unsaved_records(0.0)
    _, without_parts = codec.encode_quarantined(
        forwarding.QuarantinedRequest(found.fingerprint(), 1900.0)
    )
    state.apply_record(_entry(key, without_parts), 0.0, 'store')
    assert state.unsaved_records(0.0) == [(key, value)]
    state.apply_record(_entry(key, value), 0.0, 'store')
    assert state.unsaved_records(0.0) == []


def test_saved_set_is_quarantined_with_its_parts() -> None:
    """Guards against a quarantine that ends with the VMs that decided on it."""
    codec = records.Codec()
    one = quarantine_state.QuarantineState(codec, lambda: 1000.0)
    one.quarantine_parts(0.0, part_blame.PartSet('model', (1, 2)))
    ((key, value),) = one.unsaved_records(0.0)
    other = quarantine_state.QuarantineState(codec, lambda: 1100.0)
    other.apply_record(_entry(key, value), 0.0, 'store')
    assert other.quarantine.left_s(0.0, 5, (1, 2, 3)) == 800.0
    assert other.quarantine.left_s(0.0, 5, (1, 3)) == 0.0


def _entry(key: str, value: bytes) -> mirror.Entry:
    return mirror.Entry(key, 1, value)
