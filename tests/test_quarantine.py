"""Requests that are held back, as VMs tell each other of them."""

from foxtaildale import quarantine


def test_a_held_request_lapses() -> None:
    held = quarantine.Quarantine()
    assert held.hold(0.0, 1)
    assert held.left_s(1.0, 1) == quarantine.HELD_S - 1.0
    assert held.left_s(quarantine.HELD_S, 1) == 0.0
    assert held.held(quarantine.HELD_S) == {}
    assert held.left_s(0.0, 2) == 0.0


def test_what_vms_tell_each_other_lapses_all_the_same() -> None:
    """Guards against two VMs that keep a request held for each other."""
    one, other = quarantine.Quarantine(), quarantine.Quarantine()
    one.hold(0.0, 1)
    now = 0.0
    while one.held(now) or other.held(now):
        other.take(now + 0.2, one.held(now), {})
        one.take(now + 0.4, other.held(now + 0.2), {})
        now += 0.4
        assert now < quarantine.HELD_S + 10.0


def test_a_cleared_request_is_not_held_again_by_who_has_not_heard() -> None:
    """Guards against a healthy request that late word holds again."""
    one, other = quarantine.Quarantine(), quarantine.Quarantine()
    one.hold(0.0, 1)
    other.take(0.0, one.held(0.0), {})
    other.clear(1.0, 1)
    assert other.take(2.0, one.held(2.0), {}) == []
    assert other.left_s(2.0, 1) == 0.0
    one.take(2.0, {}, other.cleared(2.0))
    assert one.left_s(2.0, 1) == 0.0


def test_memory_is_bounded_and_the_newest_stay() -> None:
    held = quarantine.Quarantine()
    for number in range(3 * quarantine.MOST):
        held.hold(float(number) / 1000, number)
    assert len(held.held(1.0)) == quarantine.MOST
    assert held.left_s(1.0, 3 * quarantine.MOST - 1) > 0


def test_a_time_beyond_the_longest_is_not_taken() -> None:
    """Guards against a record dated by a clock that is far off."""
    held = quarantine.Quarantine()
    assert held.take(0.0, {1: 1e12, 2: -5.0}, {3: 1e12}) == []
    assert held.held(0.0) == {}
    assert held.cleared(0.0) == {}
